package placement

import (
	"maps"
	"slices"

	"caperlatch/internal/micros"
)

// PreemptOnSingleMachine preempts tasks on a single machine so that it has room for all waiting tasks of a gang, and
// reserves the machine for the gang. It picks the machine with the lowest sum of lost work and image pull time. If no
// machine is suitable, it returns -1 as machine. It leaves out machines on which another gang has a task that may be
// preempted, as all tasks of that gang would have to stop.
func PreemptOnSingleMachine(machines []Machine, j *Job, team *Team) (preemptions []Preemption, machine int) {
	if !team.canStartGang(j) {
		return nil, -1
	}
	need := Resources{}.Add(j.Need, int64(j.WaitingTasks))
	var best preemptionCandidate
	for k := range machines {
		m := &machines[k]
		if !canPreemptForGang(m, j) {
			continue
		}
		victims, lost := pickVictims(m, j, need)
		cost := lost + imagePullTime(m, j)
		if victims != nil && (best.victims == nil || cost < best.cost) {
			best = preemptionCandidate{k, victims, cost}
		}
	}
	if best.victims == nil {
		return nil, -1
	}
	preemptions = preemptVictims(machines, best.machine, best.victims, j.ID)
	machines[best.machine].ReservedFor = j
	return preemptions, best.machine
}

// canPreemptForGang reports whether PreemptOnSingleMachine may consider a machine. A machine on which a task of the
// gang failed is not considered.
func canPreemptForGang(m *Machine, j *Job) bool {
	_, failed := j.FailedOn[m.ID]
	return !failed && m.accepts(j) && j.remainingInZone(m.Zone) >= j.WaitingTasks &&
		!slices.ContainsFunc(m.Victims, func(v Victim) bool { return v.Gang })
}

// preemptForGang preempts tasks so that all waiting tasks of a gang find room, or preempts nothing if that is
// impossible. If the gang must be in a single zone, it picks the zone where the least work is lost. It reserves the
// machines on which the gang's tasks have room.
func preemptForGang(machines []Machine, j *Job, team *Team) (preemptions []Preemption, reservations []Reservation) {
	if !team.canStartGang(j) {
		return nil, nil
	}
	var best preemptionSearch
	var bestSet []int
	var leastLost micros.Micros
	for _, set := range candidateMachineSets(machines, j, anyMachine) {
		search := simulatePreemptions(machines, set, j, team)
		if search.unplaced > 0 {
			continue
		}
		if lost := totalLostWork(search.preemptions); best.machinesWithRoom == nil || lost < leastLost {
			best, bestSet, leastLost = search, set, lost
		}
	}
	preemptions = applyPreemptions(machines, bestSet, best.preemptions, j.ID)
	slices.Sort(best.machinesWithRoom)
	for _, i := range slices.Compact(best.machinesWithRoom) {
		reservations = append(reservations, Reservation{Machine: bestSet[i], ForJobID: j.ID})
		machines[bestSet[i]].ReservedFor = j
	}
	return preemptions, reservations
}

// simulatePreemptions runs findPreemptions on copies of a set of the machines. Its results refer to machines by
// their indexes in the set.
func simulatePreemptions(machines []Machine, set []int, j *Job, team *Team) preemptionSearch {
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

// totalLostWork returns the work that preemptions lose.
func totalLostWork(preemptions []Preemption) micros.Micros {
	sum := lostWorkSum{}
	for i := range preemptions {
		sum.add(&preemptions[i].Victim)
	}
	return sum.lost
}

// applyPreemptions applies to machines the preemptions that a simulation found for a set of them. If a preempted task
// belongs to a gang, it also preempts all other tasks of that gang.
func applyPreemptions(machines []Machine, set []int, found []Preemption, forJobID string) (preemptions []Preemption) {
	for _, p := range found {
		p.Machine = set[p.Machine]
		preemptions = append(preemptions, p)
		m := &machines[p.Machine]
		m.Releasing = m.Releasing.Add(p.Victim.Need, 1)
		m.Victims = slices.DeleteFunc(m.Victims, func(v Victim) bool { return v.JobID == p.Victim.JobID && v.Task == p.Victim.Task })
	}
	return append(preemptions, preemptRestOfGangs(machines, found, forJobID)...)
}
