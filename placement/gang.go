package placement

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"caperlatch/internal/micros"
)

// perMachineStartCost is what each further machine costs a whole job: it starts when its last task
// does, and one more report may be late or lost.
const perMachineStartCost = micros.Second / 2

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
