package placement

import (
	"cmp"
	"slices"

	"caperlatch/internal/micros"
)

// initialHorizon is the first horizon for which PickReservation computes the free capacity; it doubles the horizon
// from there.
const initialHorizon = 2 * micros.Second

// PickReservation picks the machines to reserve for a gang that found no capacity. Nothing is preempted: the gang
// waits until enough tasks on these machines have ended by themselves. PickReservation tries horizons of increasing
// length, and picks the fewest machines that have enough capacity within the first horizon where that is possible. It
// picks none if that horizon exceeds maxWait.
func PickReservation(machines []Machine, j *Job, team *Team, maxWait micros.Micros) []int {
	if !team.canStartGang(j) {
		return nil
	}
	for horizon := initialHorizon; horizon <= maxWait; horizon *= 2 {
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

// roomWithin returns the resources that each machine is expected to have free at the horizon if it starts nothing
// until then.
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

// allocateToFewest distributes a gang over the fewest machines that have enough room; it returns nil if all
// machines together do not.
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
