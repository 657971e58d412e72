package placement

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"caperlatch/internal/micros"
)

// Ending is a task that should end by itself.
type Ending struct {
	Left micros.Micros
	Need Resources
}

// Gathering tells to gather a machine's room for a whole job.
type Gathering struct {
	Machine int
	For     string
}

// skew is what each further machine costs a whole job: it starts when its last task
// does, and one more report may be late or lost.
const skew = micros.Second / 2

// choices lists the sets of machines that a whole job may be spread over: a zone's if it
// must be together, else all.
func choices(machines []Machine, j *Job, admit func(m *Machine) bool) (sets [][]int) {
	byZone := map[string][]int{}
	for k := range machines {
		m := &machines[k]
		if !admits(m, j) || zoneRoom(j, m.Zone) == 0 || !admit(m) {
			continue
		}
		zone := ""
		if j.OneZone {
			zone = m.Zone
		}
		byZone[zone] = append(byZone[zone], k)
	}
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		sets = append(sets, byZone[zone])
	}
	return sets
}

// share is how many of a whole job's tasks a machine takes.
type share struct{ machine, count int }

// divide shares want tasks of j among machines in their order, by the room that each
// has; nil if they have too little.
func divide(machines []Machine, set []int, j *Job, want int, room func(k int) Resources) (out []share) {
	inZone := map[string]int{}
	for _, k := range set {
		zone := machines[k].Zone
		n := room(k).Times(j.Need, min(want, zoneRoom(j, zone)-inZone[zone]))
		if n <= 0 {
			continue
		}
		out = append(out, share{k, n})
		inZone[zone] += n
		if want -= n; want == 0 {
			return out
		}
	}
	return nil
}

// placeWhole places all waiting tasks of a job or none, so that the last of them starts
// as soon as can be: on one machine with room for all, or else on the fewest of those
// that report soonest. A fetch counts as a late report does, so that machines with the
// image and without it meet only when no others have room.
func placeWhole(machines []Machine, open []int, index int, j *Job, team *Team) (starts []Start) {
	if team.Room(j.Need, j.Waiting) < j.Waiting {
		return nil
	}
	p := wholePlacement{machines: machines, job: j}
	for _, set := range choices(machines, j, func(m *Machine) bool { return m.Free.Fits(j.Need) }) {
		slices.SortFunc(set, func(a, b int) int {
			return cmp.Or(cmp.Compare(cost(&machines[a], j), cost(&machines[b], j)), cmp.Compare(machines[a].ID, machines[b].ID))
		})
		p.considerOne(set)
		p.considerSeveral(set)
	}
	if j.Accept > 0 && (p.startsIn > j.Accept || waitsForReport(machines, p.best)) {
		return nil
	}
	for _, s := range p.best {
		take(&machines[s.machine], j, team, s.count)
		starts = append(starts, Start{Job: index, Machine: s.machine, Count: s.count})
	}
	return starts
}

// wholePlacement is the state of a search for a whole job's place.
type wholePlacement struct {
	machines []Machine
	job      *Job
	best     []share
	bestCost micros.Micros
	startsIn micros.Micros // when the last task starts in the best place
}

// divide shares all waiting tasks among a set of machines, by their free room.
func (p *wholePlacement) divide(set []int) []share {
	free := func(k int) Resources { return p.machines[k].Free }
	return divide(p.machines, set, p.job, p.job.Waiting, free)
}

// considerOne considers the first machine of a set that has room for all tasks.
func (p *wholePlacement) considerOne(set []int) {
	for _, k := range set {
		if shares := p.divide([]int{k}); shares != nil {
			p.consider(shares)
			return
		}
	}
}

// considerSeveral considers the shortest beginning of a set that has room, and of it the
// roomiest machines.
func (p *wholePlacement) considerSeveral(set []int) {
	if p.divide(set) == nil {
		return
	}
	n := sort.Search(len(set), func(n int) bool { return p.divide(set[:n]) != nil })
	soonest := slices.Clone(set[:n])
	count := func(k int) int { return p.machines[k].Free.Times(p.job.Need, p.job.Waiting) }
	slices.SortStableFunc(soonest, func(a, b int) int { return cmp.Compare(count(b), count(a)) })
	if shares := p.divide(soonest); shares != nil {
		p.consider(shares)
	}
}

// consider takes a place if it is better than the best so far.
func (p *wholePlacement) consider(shares []share) {
	worst := micros.Micros(0)
	for _, s := range shares {
		worst = max(worst, cost(&p.machines[s.machine], p.job))
	}
	worst += micros.Micros(len(shares)-1) * skew
	if p.best != nil && worst >= p.bestCost {
		return
	}
	p.best, p.bestCost, p.startsIn = shares, worst, 0
	for _, s := range shares {
		m := &p.machines[s.machine]
		p.startsIn = max(p.startsIn, m.Delay+fetch(m, p.job))
	}
}

// waitsForReport tells whether the best place is one machine of several that are held
// free for whole jobs. The first that reports takes the job (Fill); to choose one
// beforehand would be to wait for its report alone.
func waitsForReport(machines []Machine, best []share) bool {
	return len(best) == 1 && machines[best[0].machine].WholeOnly && machines[best[0].machine].Delay > 0
}

// takesWhole tells whether a machine that has reported, with room for count tasks of a
// whole job, should take it: alone, as then no other's report is waited for, where no task
// of it failed, and if fetching its image takes no longer than another machine's report.
func takesWhole(m *Machine, j *Job, count int) bool {
	_, failed := j.Failed[m.ID]
	return count >= j.Waiting && !failed && (j.Soonest == 0 || fetch(m, j) <= j.Soonest)
}

// SoonestWhole is when a whole job should start that is taken by the first to report of
// the machines with room for all of it; 0 if there are none. Machines report once in each
// interval. To wait for those that fetch its image fast takes longer, as they are fewer.
func SoonestWhole(machines []Machine, j *Job, interval micros.Micros) (soonest micros.Micros) {
	var fetches []micros.Micros
	for k := range machines {
		m := &machines[k]
		if admits(m, j) && m.Free.Times(j.Need, min(j.Waiting, zoneRoom(j, m.Zone))) == j.Waiting {
			fetches = append(fetches, fetch(m, j))
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

// Gather picks the machines whose room should be gathered for a whole job that found none,
// until enough of what is on them has ended by itself: the fewest of those where that
// takes least. It picks none if it takes longer than within.
func Gather(machines []Machine, j *Job, team *Team, within micros.Micros) []int {
	if team.Room(j.Need, j.Waiting) < j.Waiting {
		return nil
	}
	for by := 2 * micros.Second; by <= within; by *= 2 {
		room := make([]Resources, len(machines))
		for k := range machines {
			m := &machines[k]
			room[k] = m.Free.Plus(m.Soon, 1)
			for _, e := range m.Ending {
				if e.Left <= by {
					room[k] = room[k].Plus(e.Need, 1)
				}
			}
		}
		var best []share
		for _, set := range choices(machines, j, func(*Machine) bool { return true }) {
			slices.SortStableFunc(set, func(a, b int) int {
				return cmp.Compare(room[b].Times(j.Need, j.Waiting), room[a].Times(j.Need, j.Waiting))
			})
			shares := divide(machines, set, j, j.Waiting, func(k int) Resources { return room[k] })
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

// PreemptOnOne picks the machine on which the least is lost when all waiting tasks of a
// whole job get room there at once, and what to stop on it. Nothing is stopped where a
// gang runs, as all its tasks would have to stop.
func PreemptOnOne(machines []Machine, j *Job, team *Team) (stops []Stop, machine int) {
	if team.Room(j.Need, j.Waiting) < j.Waiting {
		return nil, -1
	}
	all := *j
	all.Need = Resources{}.Plus(j.Need, int64(j.Waiting))
	var best []int
	var bestLost micros.Micros
	machine = -1
	for k := range machines {
		m := &machines[k]
		if !admits(m, j) || zoneRoom(j, m.Zone) < j.Waiting || slices.ContainsFunc(m.Victims, func(v Victim) bool { return v.Gang }) {
			continue
		}
		if _, failed := j.Failed[m.ID]; failed {
			continue
		}
		take, lost := victims(m, &all)
		lost += fetch(m, j)
		if take != nil && (best == nil || lost < bestLost) {
			best, bestLost, machine = take, lost, k
		}
	}
	if best == nil {
		return nil, -1
	}
	m := &machines[machine]
	for _, v := range slices.Backward(best) {
		stops = append(stops, Stop{Machine: machine, Victim: m.Victims[v], For: j.ID})
		m.Soon = m.Soon.Plus(m.Victims[v].Need, 1)
		m.Victims = slices.Delete(m.Victims, v, v+1)
	}
	m.GatheredFor = j
	return stops, machine
}

// preemptWhole stops what loses least for all tasks of a job, or nothing.
func preemptWhole(machines []Machine, j *Job, team *Team) (stops []Stop, gatherings []Gathering) {
	if team.Room(j.Need, j.Waiting) < j.Waiting {
		return nil, nil
	}
	var best []Stop
	var bestSet, bestRoom []int
	var bestLost micros.Micros
	for _, set := range choices(machines, j, func(*Machine) bool { return true }) {
		s, room, left := tryPreempt(machines, set, j, team)
		if left > 0 {
			continue
		}
		if lost := lostBy(s); bestRoom == nil || lost < bestLost {
			best, bestSet, bestRoom, bestLost = s, set, room, lost
		}
	}
	stops = stopAll(machines, bestSet, best, j.ID)
	slices.Sort(bestRoom)
	for _, i := range slices.Compact(bestRoom) {
		gatherings = append(gatherings, Gathering{Machine: bestSet[i], For: j.ID})
		machines[bestSet[i]].GatheredFor = j
	}
	return stops, gatherings
}

// tryPreempt is preempt on copies of a set of the machines, to which its results refer.
func tryPreempt(machines []Machine, set []int, j *Job, team *Team) (stops []Stop, room []int, want int) {
	part := make([]Machine, len(set))
	for i, k := range set {
		part[i] = machines[k]
		part[i].Victims = slices.Clone(machines[k].Victims)
	}
	trial := *j
	trial.PerZone = maps.Clone(j.PerZone)
	if trial.PerZone == nil {
		trial.PerZone = map[string]int{}
	}
	return preempt(part, &trial, team)
}

// lostBy is the work that stops lose; a gang's is lost once.
func lostBy(stops []Stop) micros.Micros {
	lost, counted := micros.Micros(0), map[string]bool{}
	for _, s := range stops {
		if !s.Victim.Gang || !counted[s.Victim.Job] {
			lost += s.Victim.Lost
			counted[s.Victim.Job] = true
		}
	}
	return lost
}

// stopAll carries out on machines the stops that were found on a set of them, with all
// other tasks of the gangs among them.
func stopAll(machines []Machine, set []int, found []Stop, by string) (stops []Stop) {
	gangs := map[string]bool{}
	for _, s := range found {
		s.Machine = set[s.Machine]
		stops = append(stops, s)
		m := &machines[s.Machine]
		m.Soon = m.Soon.Plus(s.Victim.Need, 1)
		m.Victims = slices.DeleteFunc(m.Victims, func(v Victim) bool { return v.Job == s.Victim.Job && v.Task == s.Victim.Task })
		gangs[s.Victim.Job] = s.Victim.Gang
	}
	return append(stops, stopWith(machines, gangs, by)...)
}

// stopWith stops the other tasks of gangs of which one is stopped, wherever they are.
func stopWith(machines []Machine, gangs map[string]bool, by string) (stops []Stop) {
	for k := range machines {
		m := &machines[k]
		m.Victims = slices.DeleteFunc(m.Victims, func(v Victim) bool {
			if !v.Gang || !gangs[v.Job] {
				return false
			}
			stops = append(stops, Stop{Machine: k, Victim: v, For: by})
			m.Soon = m.Soon.Plus(v.Need, 1)
			return true
		})
	}
	return stops
}
