package placement

import (
	"cmp"
	"slices"

	"caperlatch/internal/micros"
)

// firstHorizon is within what time PickReservation looks for room at first; it doubles from there.
const firstHorizon = 2 * micros.Second

// PickReservation picks the machines whose room should be held for a gang that found none, until
// enough tasks on them have ended by themselves: the fewest machines of those where that takes
// least. It picks none if it takes longer than maxWait.
func PickReservation(machines []Machine, j *Job, team *Team, maxWait micros.Micros) []int {
	if !team.canStartWhole(j) {
		return nil
	}
	for horizon := firstHorizon; horizon <= maxWait; horizon *= 2 {
		if best := allocateToFewest(machines, j, roomWithin(machines, horizon)); best != nil {
			chosen := make([]int, len(best))
			for i, a := range best {
				chosen[i] = a.machine
			}
			return chosen
		}
	}
	return nil
}

// roomWithin is the room that each machine should have after some time, if it starts nothing.
func roomWithin(machines []Machine, horizon micros.Micros) []Resources {
	room := make([]Resources, len(machines))
	for k := range machines {
		m := &machines[k]
		room[k] = m.Free.Add(m.Releasing, 1)
		for _, c := range m.Completions {
			if c.Remaining <= horizon {
				room[k] = room[k].Add(c.Need, 1)
			}
		}
	}
	return room
}

// allocateToFewest distributes a gang over the fewest machines that have the room; nil if all have
// too little.
func allocateToFewest(machines []Machine, j *Job, room []Resources) (best []allocation) {
	for _, set := range candidateMachineSets(machines, j, anyMachine) {
		slices.SortStableFunc(set, func(a, b int) int {
			return cmp.Compare(room[b].CountFitting(j.Need, j.WaitingTasks), room[a].CountFitting(j.Need, j.WaitingTasks))
		})
		allocations := allocate(machines, set, j, func(k int) Resources { return room[k] })
		if allocations != nil && (best == nil || len(allocations) < len(best)) {
			best = allocations
		}
	}
	return best
}
