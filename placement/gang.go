package placement

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"caperlatch/internal/micros"
)

// perMachinePenalty is the cost of each additional machine for a gang. A gang starts when its last task does, and
// each machine adds a heartbeat that may be late or lost.
const perMachinePenalty = micros.Second / 2

// placeGang places all waiting tasks of a gang or none, so that the last of them starts as soon as possible: on one
// machine with room for all, or on the fewest of the machines whose heartbeats come next. An image pull counts as much
// as an equally long wait for a heartbeat. A gang with a MaxStartDelay is not placed if it would start later than
// that, or if isDecidedByHeartbeat returns true. index is the job's index in the queue.
func placeGang(machines []Machine, available []int, index int, j *Job, team *Team) (starts []Start) {
	if !team.canStartGang(j) {
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

// gangSearch is the state of a search for the best machines for a gang.
type gangSearch struct {
	machines   []Machine
	job        *Job
	best       []allocation
	bestCost   micros.Micros
	startDelay micros.Micros // time until the last task starts on the best machines
}

// considerSingleMachine considers the first machine of a set that has room for all tasks.
func (s *gangSearch) considerSingleMachine(set []int) {
	for _, k := range set {
		if allocations := s.allocateFree([]int{k}); allocations != nil {
			s.consider(allocations)
			return
		}
	}
}

// considerSeveralMachines considers the shortest prefix of a set that has room for all tasks, and within it
// prefers the machines with the most room.
func (s *gangSearch) considerSeveralMachines(set []int) {
	if s.allocateFree(set) == nil {
		return
	}
	enough := sort.Search(len(set), func(n int) bool { return s.allocateFree(set[:n]) != nil })
	soonest := slices.Clone(set[:enough])
	fitting := func(k int) int { return s.machines[k].Free.CountFitting(s.job.Need, s.job.WaitingTasks) }
	slices.SortStableFunc(soonest, func(a, b int) int { return cmp.Compare(fitting(b), fitting(a)) })
	if allocations := s.allocateFree(soonest); allocations != nil {
		s.consider(allocations)
	}
}

// allocateFree distributes the job's waiting tasks over a set of machines according to their free resources.
func (s *gangSearch) allocateFree(set []int) []allocation {
	free := func(k int) Resources { return s.machines[k].Free }
	return allocate(s.machines, set, s.job, free)
}

// consider keeps the allocations if they cost less than the best so far.
func (s *gangSearch) consider(allocations []allocation) {
	cost := micros.Micros(0)
	for _, a := range allocations {
		cost = max(cost, startCost(&s.machines[a.machine], s.job))
	}
	cost += micros.Micros(len(allocations)-1) * perMachinePenalty
	if s.best != nil && cost >= s.bestCost {
		return
	}
	s.best, s.bestCost, s.startDelay = allocations, cost, 0
	for _, a := range allocations {
		m := &s.machines[a.machine]
		s.startDelay = max(s.startDelay, m.CommandDelay+imagePullTime(m, s.job))
	}
}

// isDecidedByHeartbeat reports whether the best allocation is a single machine of the gang pool whose next
// heartbeat is not due yet. The first machine of the pool that sends a heartbeat takes the job in Fill; choosing a
// machine in advance would mean waiting for the heartbeat of that machine alone.
func isDecidedByHeartbeat(machines []Machine, best []allocation) bool {
	return len(best) == 1 && machines[best[0].machine].GangsOnly && machines[best[0].machine].CommandDelay > 0
}

// EarliestGangStart returns the expected delay until a gang starts on whichever machine with room for all of it
// sends a heartbeat first; 0 if no machine has room. Each machine sends its heartbeat at an independent time
// within the interval, so the first of n heartbeats is expected after 1/(n+1) of the interval. The gang may wait for
// all these machines, or only for those that pull the image quickly; their first heartbeat takes longer, as there are
// fewer of them. The result is the shortest delay of all these choices.
func EarliestGangStart(machines []Machine, j *Job, heartbeatInterval micros.Micros) (earliest micros.Micros) {
	var pullTimes []micros.Micros
	for k := range machines {
		m := &machines[k]
		if m.accepts(j) && m.Free.CountFitting(j.Need, min(j.WaitingTasks, j.remainingInZone(m.Zone))) == j.WaitingTasks {
			pullTimes = append(pullTimes, imagePullTime(m, j))
		}
	}
	slices.Sort(pullTimes)
	for i, pullTime := range pullTimes {
		start := pullTime + heartbeatInterval/micros.Micros(i+2)
		if earliest == 0 || start < earliest {
			earliest = start
		}
	}
	return earliest
}

// candidateMachineSets returns the sets of machines over which a gang may be distributed: one set for each zone if
// the gang must be in a single zone, otherwise one set for all zones. It leaves out machines that do not accept the
// gang, machines in zones where no more of its tasks may run, and machines for which hasRoom returns false.
func candidateMachineSets(machines []Machine, j *Job, hasRoom func(m *Machine) bool) (sets [][]int) {
	byZone := map[string][]int{}
	for k := range machines {
		m := &machines[k]
		if !m.accepts(j) || j.remainingInZone(m.Zone) == 0 || !hasRoom(m) {
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

// anyMachine is a hasRoom function for candidateMachineSets that accepts every machine, for callers that also
// count resources that are not free yet.
func anyMachine(*Machine) bool { return true }

// allocation is the number of a gang's tasks that a machine takes.
type allocation struct{ machine, count int }

// allocate distributes a job's waiting tasks over a set of machines, in the order of the set, according to the
// room on each machine. It returns nil if the machines do not have enough room for all tasks.
func allocate(machines []Machine, set []int, j *Job, room func(k int) Resources) (allocations []allocation) {
	unplaced := j.WaitingTasks
	inZone := map[string]int{}
	for _, k := range set {
		zone := machines[k].Zone
		count := room(k).CountFitting(j.Need, min(unplaced, j.remainingInZone(zone)-inZone[zone]))
		if count <= 0 {
			continue
		}
		allocations = append(allocations, allocation{k, count})
		inZone[zone] += count
		if unplaced -= count; unplaced == 0 {
			return allocations
		}
	}
	return nil
}
