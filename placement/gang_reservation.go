package placement

import (
	"cmp"
	"slices"

	"caperlatch/internal/micros"
)

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
