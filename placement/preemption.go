package placement

import (
	"cmp"
	"slices"

	"caperlatch/internal/micros"
)

// Preempt looks for running tasks to stop for jobs that are at risk and found no room, and for
// best-effort tasks to stop for any other job; for at most limit jobs. What it frees for a gang, and
// the room that was there, is to be reserved for it.
func Preempt(machines []Machine, jobs []*Job, teams map[string]*Team, limit int) (preemptions []Preemption, reservations []Reservation) {
	for _, j := range jobs {
		if limit == 0 {
			break
		}
		if j.WaitingTasks == 0 || !j.AtRisk && !j.PreemptsBestEffort {
			continue
		}
		limit--
		if !j.Gang {
			search := findPreemptions(machines, j, teams[j.Team])
			preemptions = append(preemptions, search.preemptions...)
			continue
		}
		found, reserved := preemptForGang(machines, j, teams[j.Team])
		preemptions, reservations = append(preemptions, found...), append(reservations, reserved...)
	}
	return preemptions, reservations
}

// isPreemptibleFor reports whether a task may be stopped for a job: for a higher priority, or to
// give the job's team its guarantee out of what another team uses beyond its own.
func isPreemptibleFor(v *Victim, j *Job) bool {
	if v.JobID == j.ID || !j.AtRisk && !v.BestEffort {
		return false
	}
	if j.WithinGuarantee && !v.WithinGuarantee && v.Team != j.Team {
		return true
	}
	return v.Priority < j.Priority && (j.WithinGuarantee || !v.WithinGuarantee)
}

// findPreemptions searches for what to stop so that the waiting tasks of a job find room, and stops
// it in machines. Tasks that find none all the same are left in unplaced.
func findPreemptions(machines []Machine, j *Job, team *Team) preemptionSearch {
	s := preemptionSearch{machines: machines, job: j, unplaced: team.CountAllowed(j.Need, j.WaitingTasks)}
	// What is being freed already will serve the first in the queue.
	s.useRoom()
	if s.unplaced > 0 {
		s.findCandidates()
	}
	for s.unplaced > 0 && len(s.candidates) > 0 {
		s.preemptFirstCandidate()
	}
	return s
}

// preemptionSearch is the state of a search for what to stop for one job.
type preemptionSearch struct {
	machines         []Machine
	job              *Job
	unplaced         int // tasks that have no room yet
	preemptions      []Preemption
	machinesWithRoom []int                 // for tasks of a gang; a machine may be there repeatedly
	candidates       []preemptionCandidate // the least cost first
}

// preemptionCandidate is a machine with the tasks that must stop there for one task of the job.
type preemptionCandidate struct {
	machine int
	victims []int         // indexes into the machine's Victims, rising
	cost    micros.Micros // work that is lost, and the time to pull the image
}

func compareCandidates(a, b preemptionCandidate) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.machine, b.machine))
}

// useRoom takes the room that is free or is being freed.
func (s *preemptionSearch) useRoom() {
	for k := range s.machines {
		m := &s.machines[k]
		if s.unplaced == 0 || !m.accepts(s.job) {
			continue
		}
		count := m.Free.Add(m.Releasing, 1).CountFitting(s.job.Need, min(s.unplaced, s.job.remainingInZone(m.Zone)))
		if count > 0 {
			s.takeRoom(k, count)
		}
	}
}

// takeRoom counts some tasks as having room on a machine.
func (s *preemptionSearch) takeRoom(machine, count int) {
	m := &s.machines[machine]
	m.Releasing = m.Releasing.Add(s.job.Need, -int64(count))
	s.unplaced -= count
	if s.job.Gang {
		s.job.TasksPerZone[m.Zone] += count
		s.machinesWithRoom = append(s.machinesWithRoom, machine)
	}
}

// findCandidates looks at each machine once. It is looked at again only after something on it is to
// be stopped.
func (s *preemptionSearch) findCandidates() {
	s.candidates = s.candidates[:0]
	for k := range s.machines {
		if c, ok := s.candidateOn(k); ok {
			s.candidates = append(s.candidates, c)
		}
	}
	slices.SortFunc(s.candidates, compareCandidates)
}

// candidateOn is what must stop on a machine for one task; ok is false if that is not possible.
func (s *preemptionSearch) candidateOn(machine int) (c preemptionCandidate, ok bool) {
	m := &s.machines[machine]
	if !m.accepts(s.job) || s.job.remainingInZone(m.Zone) == 0 {
		return preemptionCandidate{}, false
	}
	victims, lost := pickVictims(m, s.job, s.job.Need)
	// The image must be pulled there as well before the task starts.
	return preemptionCandidate{machine, victims, lost + imagePullTime(m, s.job)}, victims != nil
}

// preemptFirstCandidate stops the victims of the first candidate.
func (s *preemptionSearch) preemptFirstCandidate() {
	c := s.candidates[0]
	s.candidates = s.candidates[1:]
	stopped := preemptVictims(s.machines, c.machine, c.victims, s.job.ID)
	s.preemptions = append(s.preemptions, stopped...)
	s.takeRoom(c.machine, 1)
	if freed := preemptGangMates(s.machines, stopped, s.job.ID); len(freed) > 0 {
		// Their room serves as well, before anything more is stopped.
		s.preemptions = append(s.preemptions, freed...)
		s.useRoom()
		s.findCandidates()
		return
	}
	if c, ok := s.candidateOn(c.machine); ok {
		position, _ := slices.BinarySearchFunc(s.candidates, c, compareCandidates)
		s.candidates = slices.Insert(s.candidates, position, c)
	}
}

// pickVictims picks the tasks to stop on a machine so that it has room for need, as indexes into its
// Victims, rising: what is entitled to least and loses least work first. victims is nil if nothing
// needs to be stopped, or stopping all that may be stopped is not enough.
func pickVictims(m *Machine, j *Job, need Resources) (victims []int, lost micros.Micros) {
	order := make([]int, 0, len(m.Victims))
	for i := range m.Victims {
		if isPreemptibleFor(&m.Victims[i], j) {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return compareVictims(&m.Victims[a], &m.Victims[b]) })
	free := m.Free.Add(m.Releasing, 1)
	sum := lostWorkSum{}
	for _, i := range order {
		if free.Fits(need) {
			break
		}
		free = free.Add(m.Victims[i].Need, 1)
		sum.add(&m.Victims[i])
		victims = append(victims, i)
	}
	if !free.Fits(need) || victims == nil {
		return nil, 0
	}
	slices.Sort(victims)
	return victims, sum.lost
}

// compareVictims is the order in which tasks are stopped.
func compareVictims(a, b *Victim) int {
	return cmp.Or(cmp.Compare(boolRank(b.WithinGuarantee), boolRank(a.WithinGuarantee)), cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.LostWork, b.LostWork), cmp.Compare(a.JobID, b.JobID), cmp.Compare(a.Task, b.Task))
}

// lostWorkSum adds up the work that preemptions lose. A gang's, which is that of all its tasks,
// counts once.
type lostWorkSum struct {
	lost    micros.Micros
	counted map[string]bool // by IDs of jobs
}

func (s *lostWorkSum) add(v *Victim) {
	if v.Gang && s.counted[v.JobID] {
		return
	}
	s.lost += v.LostWork
	if s.counted == nil {
		s.counted = map[string]bool{}
	}
	s.counted[v.JobID] = true
}

// preemptVictims stops tasks of a machine, given by rising indexes into its Victims, for a job.
func preemptVictims(machines []Machine, machine int, victims []int, forJobID string) (preemptions []Preemption) {
	m := &machines[machine]
	for _, i := range slices.Backward(victims) {
		victim := m.Victims[i]
		preemptions = append(preemptions, Preemption{Machine: machine, Victim: victim, ForJobID: forJobID})
		m.Releasing = m.Releasing.Add(victim.Need, 1)
		m.Victims = slices.Delete(m.Victims, i, i+1)
	}
	return preemptions
}

// preemptGangMates stops the other tasks of the gangs of which tasks were stopped, wherever they are.
func preemptGangMates(machines []Machine, stopped []Preemption, forJobID string) (preemptions []Preemption) {
	gangs := map[string]bool{}
	for i := range stopped {
		gangs[stopped[i].Victim.JobID] = stopped[i].Victim.Gang
	}
	for k := range machines {
		m := &machines[k]
		m.Victims = slices.DeleteFunc(m.Victims, func(v Victim) bool {
			if !v.Gang || !gangs[v.JobID] {
				return false
			}
			preemptions = append(preemptions, Preemption{Machine: k, Victim: v, ForJobID: forJobID})
			m.Releasing = m.Releasing.Add(v.Need, 1)
			return true
		})
	}
	return preemptions
}
