package placement

import (
	"maps"
	"slices"

	"caperlatch/internal/micros"
)

// PreemptOnSingleMachine finds the machine where the least is lost if all waiting tasks of a gang
// get room there at once, and stops what is in the way; machine is -1 if there is none. Nothing is
// stopped where another gang runs, as all its tasks would have to stop.
func PreemptOnSingleMachine(machines []Machine, j *Job, team *Team) (preemptions []Preemption, machine int) {
	if !team.canStartWhole(j) {
		return nil, -1
	}
	need := Resources{}.Add(j.Need, int64(j.WaitingTasks))
	var best preemptionCandidate
	for k := range machines {
		m := &machines[k]
		if !canFreeForGang(m, j) {
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

// canFreeForGang reports whether tasks on a machine may be stopped for a whole gang.
func canFreeForGang(m *Machine, j *Job) bool {
	_, failed := j.FailedOn[m.ID]
	return !failed && m.accepts(j) && j.remainingInZone(m.Zone) >= j.WaitingTasks &&
		!slices.ContainsFunc(m.Victims, func(v Victim) bool { return v.Gang })
}

// preemptForGang stops what loses least so that all waiting tasks of a gang find room, or nothing.
// Their room is reserved for it.
func preemptForGang(machines []Machine, j *Job, team *Team) (preemptions []Preemption, reservations []Reservation) {
	if !team.canStartWhole(j) {
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

// simulatePreemptions is findPreemptions on copies of a set of the machines. Its results refer to
// machines by their places in the set.
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

// totalLostWork is the work that preemptions lose.
func totalLostWork(preemptions []Preemption) micros.Micros {
	sum := lostWorkSum{}
	for i := range preemptions {
		sum.add(&preemptions[i].Victim)
	}
	return sum.lost
}

// applyPreemptions stops in machines what a simulation found to stop in a set of them, and all other
// tasks of the gangs among that.
func applyPreemptions(machines []Machine, set []int, found []Preemption, forJobID string) (preemptions []Preemption) {
	for _, p := range found {
		p.Machine = set[p.Machine]
		preemptions = append(preemptions, p)
		m := &machines[p.Machine]
		m.Releasing = m.Releasing.Add(p.Victim.Need, 1)
		m.Victims = slices.DeleteFunc(m.Victims, func(v Victim) bool { return v.JobID == p.Victim.JobID && v.Task == p.Victim.Task })
	}
	return append(preemptions, preemptGangMates(machines, found, forJobID)...)
}
