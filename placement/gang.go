package placement

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"caperlatch/internal/micros"
)

// Completion is a task that should end by itself.
type Completion struct {
	Remaining micros.Micros
	Need      Resources
}

// Reservation tells to gather a machine's room for a whole job.
type Reservation struct {
	Machine  int
	ForJobID string
}

// machineSkew is what each further machine costs a whole job: it starts when its last task
// does, and one more report may be late or lost.
const machineSkew = micros.Second / 2

// candidateSets lists the sets of machines that a whole job may be spread over: a zone's if it
// must be together, else all.
func candidateSets(machines []Machine, j *Job, admit func(m *Machine) bool) (sets [][]int) {
	byZone := map[string][]int{}
	for k := range machines {
		m := &machines[k]
		if !admits(m, j) || remainingInZone(j, m.Zone) == 0 || !admit(m) {
			continue
		}
		zone := ""
		if j.SingleZone {
			zone = m.Zone
		}
		byZone[zone] = append(byZone[zone], k)
	}
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		sets = append(sets, byZone[zone])
	}
	return sets
}

// allocation is how many of a whole job's tasks a machine takes.
type allocation struct{ machine, count int }

// distribute shares want tasks of j among machines in their order, by the room that each
// has; nil if they have too little.
func distribute(machines []Machine, set []int, j *Job, want int, room func(k int) Resources) (out []allocation) {
	inZone := map[string]int{}
	for _, k := range set {
		zone := machines[k].Zone
		n := room(k).CountFitting(j.Need, min(want, remainingInZone(j, zone)-inZone[zone]))
		if n <= 0 {
			continue
		}
		out = append(out, allocation{k, n})
		inZone[zone] += n
		if want -= n; want == 0 {
			return out
		}
	}
	return nil
}

// placeGang places all waiting tasks of a job or none, so that the last of them starts
// as soon as can be: on one machine with room for all, or else on the fewest of those
// that report soonest. A fetch counts as a late report does, so that machines with the
// image and without it meet only when no others have room.
func placeGang(machines []Machine, open []int, index int, j *Job, team *Team) (starts []Start) {
	if team.CountAllowed(j.Need, j.WaitingTasks) < j.WaitingTasks {
		return nil
	}
	p := gangPlacement{machines: machines, job: j}
	for _, set := range candidateSets(machines, j, func(m *Machine) bool { return m.Free.Fits(j.Need) }) {
		slices.SortFunc(set, func(a, b int) int {
			return cmp.Or(cmp.Compare(startCost(&machines[a], j), startCost(&machines[b], j)), cmp.Compare(machines[a].ID, machines[b].ID))
		})
		p.considerOne(set)
		p.considerSeveral(set)
	}
	if j.MaxStartDelay > 0 && (p.startsIn > j.MaxStartDelay || awaitsHeartbeat(machines, p.best)) {
		return nil
	}
	for _, s := range p.best {
		assign(&machines[s.machine], j, team, s.count)
		starts = append(starts, Start{Job: index, Machine: s.machine, Count: s.count})
	}
	return starts
}

// gangPlacement is the state of a search for a whole job's place.
type gangPlacement struct {
	machines []Machine
	job      *Job
	best     []allocation
	bestCost micros.Micros
	startsIn micros.Micros // when the last task starts in the best place
}

// distribute shares all waiting tasks among a set of machines, by their free room.
func (p *gangPlacement) distribute(set []int) []allocation {
	free := func(k int) Resources { return p.machines[k].Free }
	return distribute(p.machines, set, p.job, p.job.WaitingTasks, free)
}

// considerOne considers the first machine of a set that has room for all tasks.
func (p *gangPlacement) considerOne(set []int) {
	for _, k := range set {
		if shares := p.distribute([]int{k}); shares != nil {
			p.consider(shares)
			return
		}
	}
}

// considerSeveral considers the shortest beginning of a set that has room, and of it the
// roomiest machines.
func (p *gangPlacement) considerSeveral(set []int) {
	if p.distribute(set) == nil {
		return
	}
	n := sort.Search(len(set), func(n int) bool { return p.distribute(set[:n]) != nil })
	soonest := slices.Clone(set[:n])
	count := func(k int) int { return p.machines[k].Free.CountFitting(p.job.Need, p.job.WaitingTasks) }
	slices.SortStableFunc(soonest, func(a, b int) int { return cmp.Compare(count(b), count(a)) })
	if shares := p.distribute(soonest); shares != nil {
		p.consider(shares)
	}
}

// consider takes a place if it is better than the best so far.
func (p *gangPlacement) consider(shares []allocation) {
	worst := micros.Micros(0)
	for _, s := range shares {
		worst = max(worst, startCost(&p.machines[s.machine], p.job))
	}
	worst += micros.Micros(len(shares)-1) * machineSkew
	if p.best != nil && worst >= p.bestCost {
		return
	}
	p.best, p.bestCost, p.startsIn = shares, worst, 0
	for _, s := range shares {
		m := &p.machines[s.machine]
		p.startsIn = max(p.startsIn, m.CommandDelay+imagePullTime(m, p.job))
	}
}

// awaitsHeartbeat tells whether the best place is one machine of several that are held
// free for whole jobs. The first that reports takes the job (Fill); to choose one
// beforehand would be to wait for its report alone.
func awaitsHeartbeat(machines []Machine, best []allocation) bool {
	return len(best) == 1 && machines[best[0].machine].GangsOnly && machines[best[0].machine].CommandDelay > 0
}

// takesGang tells whether a machine that has reported, with room for count tasks of a
// whole job, should take it: alone, as then no other's report is waited for, where no task
// of it failed, and if fetching its image takes no longer than another machine's report.
func takesGang(m *Machine, j *Job, count int) bool {
	_, failed := j.FailedOn[m.ID]
	return count >= j.WaitingTasks && !failed && (j.EarliestStart == 0 || imagePullTime(m, j) <= j.EarliestStart)
}

// EarliestGangStart is when a whole job should start that is taken by the first to report of
// the machines with room for all of it; 0 if there are none. Machines report once in each
// interval. To wait for those that fetch its image fast takes longer, as they are fewer.
func EarliestGangStart(machines []Machine, j *Job, interval micros.Micros) (soonest micros.Micros) {
	var fetches []micros.Micros
	for k := range machines {
		m := &machines[k]
		if admits(m, j) && m.Free.CountFitting(j.Need, min(j.WaitingTasks, remainingInZone(j, m.Zone))) == j.WaitingTasks {
			fetches = append(fetches, imagePullTime(m, j))
		}
	}
	slices.Sort(fetches)
	for i, f := range fetches {
		start := f + interval/micros.Micros(i+2)
		if soonest == 0 || start < soonest {
			soonest = start
		}
	}
	return soonest
}

// PickReservation picks the machines whose room should be gathered for a whole job that found none,
// until enough of what is on them has ended by itself: the fewest of those where that
// takes least. It picks none if it takes longer than within.
func PickReservation(machines []Machine, j *Job, team *Team, within micros.Micros) []int {
	if team.CountAllowed(j.Need, j.WaitingTasks) < j.WaitingTasks {
		return nil
	}
	for by := 2 * micros.Second; by <= within; by *= 2 {
		room := make([]Resources, len(machines))
		for k := range machines {
			m := &machines[k]
			room[k] = m.Free.Add(m.Releasing, 1)
			for _, e := range m.Completions {
				if e.Remaining <= by {
					room[k] = room[k].Add(e.Need, 1)
				}
			}
		}
		var best []allocation
		for _, set := range candidateSets(machines, j, func(*Machine) bool { return true }) {
			slices.SortStableFunc(set, func(a, b int) int {
				return cmp.Compare(room[b].CountFitting(j.Need, j.WaitingTasks), room[a].CountFitting(j.Need, j.WaitingTasks))
			})
			shares := distribute(machines, set, j, j.WaitingTasks, func(k int) Resources { return room[k] })
			if shares != nil && (best == nil || len(shares) < len(best)) {
				best = shares
			}
		}
		if best != nil {
			chosen := make([]int, len(best))
			for i, s := range best {
				chosen[i] = s.machine
			}
			return chosen
		}
	}
	return nil
}

// PreemptOnSingleMachine picks the machine on which the least is lost when all waiting tasks of a
// whole job get room there at once, and what to stop on it. Nothing is stopped where a
// gang runs, as all its tasks would have to stop.
func PreemptOnSingleMachine(machines []Machine, j *Job, team *Team) (stops []Preemption, machine int) {
	if team.CountAllowed(j.Need, j.WaitingTasks) < j.WaitingTasks {
		return nil, -1
	}
	all := *j
	all.Need = Resources{}.Add(j.Need, int64(j.WaitingTasks))
	var best []int
	var bestLost micros.Micros
	machine = -1
	for k := range machines {
		m := &machines[k]
		if !admits(m, j) || remainingInZone(j, m.Zone) < j.WaitingTasks || slices.ContainsFunc(m.Victims, func(v Victim) bool { return v.Gang }) {
			continue
		}
		if _, failed := j.FailedOn[m.ID]; failed {
			continue
		}
		take, lost := pickVictims(m, &all)
		lost += imagePullTime(m, j)
		if take != nil && (best == nil || lost < bestLost) {
			best, bestLost, machine = take, lost, k
		}
	}
	if best == nil {
		return nil, -1
	}
	m := &machines[machine]
	for _, v := range slices.Backward(best) {
		stops = append(stops, Preemption{Machine: machine, Victim: m.Victims[v], ForJobID: j.ID})
		m.Releasing = m.Releasing.Add(m.Victims[v].Need, 1)
		m.Victims = slices.Delete(m.Victims, v, v+1)
	}
	m.ReservedFor = j
	return stops, machine
}

// preemptForGang stops what loses least for all tasks of a job, or nothing.
func preemptForGang(machines []Machine, j *Job, team *Team) (stops []Preemption, gatherings []Reservation) {
	if team.CountAllowed(j.Need, j.WaitingTasks) < j.WaitingTasks {
		return nil, nil
	}
	var best []Preemption
	var bestSet, bestRoom []int
	var bestLost micros.Micros
	for _, set := range candidateSets(machines, j, func(*Machine) bool { return true }) {
		s, room, left := simulatePreemption(machines, set, j, team)
		if left > 0 {
			continue
		}
		if lost := totalLostWork(s); bestRoom == nil || lost < bestLost {
			best, bestSet, bestRoom, bestLost = s, set, room, lost
		}
	}
	stops = carryOut(machines, bestSet, best, j.ID)
	slices.Sort(bestRoom)
	for _, i := range slices.Compact(bestRoom) {
		gatherings = append(gatherings, Reservation{Machine: bestSet[i], ForJobID: j.ID})
		machines[bestSet[i]].ReservedFor = j
	}
	return stops, gatherings
}

// simulatePreemption is preempt on copies of a set of the machines, to which its results refer.
func simulatePreemption(machines []Machine, set []int, j *Job, team *Team) (stops []Preemption, room []int, want int) {
	part := make([]Machine, len(set))
	for i, k := range set {
		part[i] = machines[k]
		part[i].Victims = slices.Clone(machines[k].Victims)
	}
	trial := *j
	trial.TasksPerZone = maps.Clone(j.TasksPerZone)
	if trial.TasksPerZone == nil {
		trial.TasksPerZone = map[string]int{}
	}
	return preempt(part, &trial, team)
}

// totalLostWork is the work that stops lose; a gang's is lost once.
func totalLostWork(stops []Preemption) micros.Micros {
	lost, counted := micros.Micros(0), map[string]bool{}
	for _, s := range stops {
		if !s.Victim.Gang || !counted[s.Victim.JobID] {
			lost += s.Victim.LostWork
			counted[s.Victim.JobID] = true
		}
	}
	return lost
}

// carryOut carries out on machines the stops that were found on a set of them, with all
// other tasks of the gangs among them.
func carryOut(machines []Machine, set []int, found []Preemption, by string) (stops []Preemption) {
	gangs := map[string]bool{}
	for _, s := range found {
		s.Machine = set[s.Machine]
		stops = append(stops, s)
		m := &machines[s.Machine]
		m.Releasing = m.Releasing.Add(s.Victim.Need, 1)
		m.Victims = slices.DeleteFunc(m.Victims, func(v Victim) bool { return v.JobID == s.Victim.JobID && v.Task == s.Victim.Task })
		gangs[s.Victim.JobID] = s.Victim.Gang
	}
	return append(stops, preemptGangMates(machines, gangs, by)...)
}

// preemptGangMates stops the other tasks of gangs of which one is stopped, wherever they are.
func preemptGangMates(machines []Machine, gangs map[string]bool, by string) (stops []Preemption) {
	for k := range machines {
		m := &machines[k]
		m.Victims = slices.DeleteFunc(m.Victims, func(v Victim) bool {
			if !v.Gang || !gangs[v.JobID] {
				return false
			}
			stops = append(stops, Preemption{Machine: k, Victim: v, ForJobID: by})
			m.Releasing = m.Releasing.Add(v.Need, 1)
			return true
		})
	}
	return stops
}
