package placement

import (
	"maps"
	"slices"

	"caperlatch/internal/micros"
)

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
