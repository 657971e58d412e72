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

// perMachineStartCost is what each further machine costs a whole job: it starts when its last task
// does, and one more report may be late or lost.
const perMachineStartCost = micros.Second / 2

// candidateMachineSets lists the sets of machines that a whole job may be spread over: a zone's if it
// must be together, else all.
func candidateMachineSets(machines []Machine, j *Job, admit func(m *Machine) bool) (sets [][]int) {
	byZone := map[string][]int{}
	for k := range machines {
		m := &machines[k]
		if !acceptsJob(m, j) || remainingInZone(j, m.Zone) == 0 || !admit(m) {
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

// allocate shares want tasks of j among machines in their order, by the room that each
// has; nil if they have too little.
func allocate(machines []Machine, set []int, j *Job, count int, room func(k int) Resources) (allocations []allocation) {
	inZone := map[string]int{}
	for _, k := range set {
		zone := machines[k].Zone
		fitting := room(k).CountFitting(j.Need, min(count, remainingInZone(j, zone)-inZone[zone]))
		if fitting <= 0 {
			continue
		}
		allocations = append(allocations, allocation{k, fitting})
		inZone[zone] += fitting
		if count -= fitting; count == 0 {
			return allocations
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
	search := gangSearch{machines: machines, job: j}
	for _, set := range candidateMachineSets(machines, j, func(m *Machine) bool { return m.Free.Fits(j.Need) }) {
		slices.SortFunc(set, func(a, b int) int {
			return cmp.Or(cmp.Compare(startCost(&machines[a], j), startCost(&machines[b], j)), cmp.Compare(machines[a].ID, machines[b].ID))
		})
		search.considerSingleMachine(set)
		search.considerSeveralMachines(set)
	}
	if j.MaxStartDelay > 0 && (search.startDelay > j.MaxStartDelay || isDecidedByHeartbeat(machines, search.best)) {
		return nil
	}
	for _, a := range search.best {
		assign(&machines[a.machine], j, team, a.count)
		starts = append(starts, Start{Job: index, Machine: a.machine, Count: a.count})
	}
	return starts
}

// gangSearch is the state of a search for a whole job's place.
type gangSearch struct {
	machines   []Machine
	job        *Job
	best       []allocation
	bestCost   micros.Micros
	startDelay micros.Micros // when the last task starts in the best place
}

// allocateFree shares all waiting tasks among a set of machines, by their free room.
func (p *gangSearch) allocateFree(set []int) []allocation {
	free := func(k int) Resources { return p.machines[k].Free }
	return allocate(p.machines, set, p.job, p.job.WaitingTasks, free)
}

// considerSingleMachine considers the first machine of a set that has room for all tasks.
func (p *gangSearch) considerSingleMachine(set []int) {
	for _, k := range set {
		if allocations := p.allocateFree([]int{k}); allocations != nil {
			p.considerAllocations(allocations)
			return
		}
	}
}

// considerSeveralMachines considers the shortest beginning of a set that has room, and of it the
// roomiest machines.
func (p *gangSearch) considerSeveralMachines(set []int) {
	if p.allocateFree(set) == nil {
		return
	}
	enough := sort.Search(len(set), func(n int) bool { return p.allocateFree(set[:n]) != nil })
	soonest := slices.Clone(set[:enough])
	fitting := func(k int) int { return p.machines[k].Free.CountFitting(p.job.Need, p.job.WaitingTasks) }
	slices.SortStableFunc(soonest, func(a, b int) int { return cmp.Compare(fitting(b), fitting(a)) })
	if allocations := p.allocateFree(soonest); allocations != nil {
		p.considerAllocations(allocations)
	}
}

// considerAllocations takes a place if it is better than the best so far.
func (p *gangSearch) considerAllocations(allocations []allocation) {
	cost := micros.Micros(0)
	for _, a := range allocations {
		cost = max(cost, startCost(&p.machines[a.machine], p.job))
	}
	cost += micros.Micros(len(allocations)-1) * perMachineStartCost
	if p.best != nil && cost >= p.bestCost {
		return
	}
	p.best, p.bestCost, p.startDelay = allocations, cost, 0
	for _, a := range allocations {
		m := &p.machines[a.machine]
		p.startDelay = max(p.startDelay, m.CommandDelay+imagePullTime(m, p.job))
	}
}

// isDecidedByHeartbeat tells whether the best place is one machine of several that are held
// free for whole jobs. The first that reports takes the job (Fill); to choose one
// beforehand would be to wait for its report alone.
func isDecidedByHeartbeat(machines []Machine, best []allocation) bool {
	return len(best) == 1 && machines[best[0].machine].GangsOnly && machines[best[0].machine].CommandDelay > 0
}

// shouldTakeGang tells whether a machine that has reported, with room for count tasks of a
// whole job, should take it: alone, as then no other's report is waited for, where no task
// of it failed, and if fetching its image takes no longer than another machine's report.
func shouldTakeGang(m *Machine, j *Job, count int) bool {
	_, failed := j.FailedOn[m.ID]
	return count >= j.WaitingTasks && !failed && (j.EarliestStart == 0 || imagePullTime(m, j) <= j.EarliestStart)
}

// EarliestGangStart is when a whole job should start that is taken by the first to report of
// the machines with room for all of it; 0 if there are none. Machines report once in each
// interval. To wait for those that fetch its image fast takes longer, as they are fewer.
func EarliestGangStart(machines []Machine, j *Job, interval micros.Micros) (earliest micros.Micros) {
	var pullTimes []micros.Micros
	for k := range machines {
		m := &machines[k]
		if acceptsJob(m, j) && m.Free.CountFitting(j.Need, min(j.WaitingTasks, remainingInZone(j, m.Zone))) == j.WaitingTasks {
			pullTimes = append(pullTimes, imagePullTime(m, j))
		}
	}
	slices.Sort(pullTimes)
	for i, pullTime := range pullTimes {
		start := pullTime + interval/micros.Micros(i+2)
		if earliest == 0 || start < earliest {
			earliest = start
		}
	}
	return earliest
}

// PickReservation picks the machines whose room should be gathered for a whole job that found none,
// until enough of what is on them has ended by itself: the fewest of those where that
// takes least. It picks none if it takes longer than within.
func PickReservation(machines []Machine, j *Job, team *Team, maxWait micros.Micros) []int {
	if team.CountAllowed(j.Need, j.WaitingTasks) < j.WaitingTasks {
		return nil
	}
	for horizon := 2 * micros.Second; horizon <= maxWait; horizon *= 2 {
		futureRoom := make([]Resources, len(machines))
		for k := range machines {
			m := &machines[k]
			futureRoom[k] = m.Free.Add(m.Releasing, 1)
			for _, completion := range m.Completions {
				if completion.Remaining <= horizon {
					futureRoom[k] = futureRoom[k].Add(completion.Need, 1)
				}
			}
		}
		var best []allocation
		for _, set := range candidateMachineSets(machines, j, func(*Machine) bool { return true }) {
			slices.SortStableFunc(set, func(a, b int) int {
				return cmp.Compare(futureRoom[b].CountFitting(j.Need, j.WaitingTasks), futureRoom[a].CountFitting(j.Need, j.WaitingTasks))
			})
			allocations := allocate(machines, set, j, j.WaitingTasks, func(k int) Resources { return futureRoom[k] })
			if allocations != nil && (best == nil || len(allocations) < len(best)) {
				best = allocations
			}
		}
		if best != nil {
			chosen := make([]int, len(best))
			for i, a := range best {
				chosen[i] = a.machine
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
	gang := *j
	gang.Need = Resources{}.Add(j.Need, int64(j.WaitingTasks))
	var bestVictims []int
	var bestCost micros.Micros
	machine = -1
	for k := range machines {
		m := &machines[k]
		if !acceptsJob(m, j) || remainingInZone(j, m.Zone) < j.WaitingTasks || slices.ContainsFunc(m.Victims, func(v Victim) bool { return v.Gang }) {
			continue
		}
		if _, failed := j.FailedOn[m.ID]; failed {
			continue
		}
		victims, cost := pickVictims(m, &gang)
		cost += imagePullTime(m, j)
		if victims != nil && (bestVictims == nil || cost < bestCost) {
			bestVictims, bestCost, machine = victims, cost, k
		}
	}
	if bestVictims == nil {
		return nil, -1
	}
	m := &machines[machine]
	for _, v := range slices.Backward(bestVictims) {
		stops = append(stops, Preemption{Machine: machine, Victim: m.Victims[v], ForJobID: j.ID})
		m.Releasing = m.Releasing.Add(m.Victims[v].Need, 1)
		m.Victims = slices.Delete(m.Victims, v, v+1)
	}
	m.ReservedFor = j
	return stops, machine
}

// preemptForGang stops what loses least for all tasks of a job, or nothing.
func preemptForGang(machines []Machine, j *Job, team *Team) (stops []Preemption, reservations []Reservation) {
	if team.CountAllowed(j.Need, j.WaitingTasks) < j.WaitingTasks {
		return nil, nil
	}
	var best []Preemption
	var bestSet, bestRoom []int
	var leastLost micros.Micros
	for _, set := range candidateMachineSets(machines, j, func(*Machine) bool { return true }) {
		found, room, unplaced := simulatePreemption(machines, set, j, team)
		if unplaced > 0 {
			continue
		}
		if lost := totalLostWork(found); bestRoom == nil || lost < leastLost {
			best, bestSet, bestRoom, leastLost = found, set, room, lost
		}
	}
	stops = applyPreemptions(machines, bestSet, best, j.ID)
	slices.Sort(bestRoom)
	for _, i := range slices.Compact(bestRoom) {
		reservations = append(reservations, Reservation{Machine: bestSet[i], ForJobID: j.ID})
		machines[bestSet[i]].ReservedFor = j
	}
	return stops, reservations
}

// simulatePreemption is preempt on copies of a set of the machines, to which its results refer.
func simulatePreemption(machines []Machine, set []int, j *Job, team *Team) (stops []Preemption, machinesWithRoom []int, unplaced int) {
	copies := make([]Machine, len(set))
	for i, k := range set {
		copies[i] = machines[k]
		copies[i].Victims = slices.Clone(machines[k].Victims)
	}
	trial := *j
	trial.TasksPerZone = maps.Clone(j.TasksPerZone)
	if trial.TasksPerZone == nil {
		trial.TasksPerZone = map[string]int{}
	}
	return findPreemptions(copies, &trial, team)
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

// applyPreemptions carries out on machines the stops that were found on a set of them, with all
// other tasks of the gangs among them.
func applyPreemptions(machines []Machine, set []int, found []Preemption, forJobID string) (stops []Preemption) {
	gangs := map[string]bool{}
	for _, s := range found {
		s.Machine = set[s.Machine]
		stops = append(stops, s)
		m := &machines[s.Machine]
		m.Releasing = m.Releasing.Add(s.Victim.Need, 1)
		m.Victims = slices.DeleteFunc(m.Victims, func(v Victim) bool { return v.JobID == s.Victim.JobID && v.Task == s.Victim.Task })
		gangs[s.Victim.JobID] = s.Victim.Gang
	}
	return append(stops, preemptGangMates(machines, gangs, forJobID)...)
}

// preemptGangMates stops the other tasks of gangs of which one is stopped, wherever they are.
func preemptGangMates(machines []Machine, gangs map[string]bool, forJobID string) (stops []Preemption) {
	for k := range machines {
		m := &machines[k]
		m.Victims = slices.DeleteFunc(m.Victims, func(v Victim) bool {
			if !v.Gang || !gangs[v.JobID] {
				return false
			}
			stops = append(stops, Preemption{Machine: k, Victim: v, ForJobID: forJobID})
			m.Releasing = m.Releasing.Add(v.Need, 1)
			return true
		})
	}
	return stops
}
