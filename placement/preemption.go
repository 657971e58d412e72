package placement

import (
	"cmp"
	"slices"

	"caperlatch/internal/micros"
)

// Preempt preempts running tasks for jobs that are at risk and found no capacity. For jobs that are not at risk but
// have PreemptsBestEffort set, it preempts only best-effort tasks. It considers at most limit jobs. The machines with
// the room for a gang, whether freed by preemption or free before, are returned as reservations.
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

// isPreemptibleFor reports whether a task may be preempted for a job. A job that is not at risk may preempt only
// best-effort tasks. A job covered by its team's guarantee may preempt what another team uses beyond its own
// guarantee, regardless of priority. Otherwise, the task must have a lower priority, and must not be covered by a
// guarantee unless the job is.
func isPreemptibleFor(v *Victim, j *Job) bool {
	if v.JobID == j.ID || !j.AtRisk && !v.BestEffort {
		return false
	}
	if j.WithinGuarantee && !v.WithinGuarantee && v.Team != j.Team {
		return true
	}
	return v.Priority < j.Priority && (j.WithinGuarantee || !v.WithinGuarantee)
}

// findPreemptions finds the tasks to preempt so that the waiting tasks of a job find room. It updates machines as if
// these tasks were being stopped and the room were claimed for the job. In the result, unplaced is the number of tasks
// that still find no room.
func findPreemptions(machines []Machine, j *Job, team *Team) preemptionSearch {
	s := preemptionSearch{machines: machines, job: j, unplaced: team.CountAllowed(j.Need, j.WaitingTasks)}
	// Resources that are already being released go to the first job in the queue.
	s.claimAvailableRoom()
	if s.unplaced > 0 {
		s.findCandidates()
	}
	for s.unplaced > 0 && len(s.candidates) > 0 {
		s.preemptFirstCandidate()
	}
	return s
}

// preemptionSearch is the state of a search for the tasks to preempt for one job.
type preemptionSearch struct {
	machines         []Machine
	job              *Job
	unplaced         int // number of tasks that have no room yet
	preemptions      []Preemption
	machinesWithRoom []int                 // for tasks of a gang; may contain duplicates
	candidates       []preemptionCandidate // in ascending order of cost
}

// preemptionCandidate is a machine with the tasks that must be preempted there to make room for the job: for one
// of its tasks, or for the whole gang in PreemptOnSingleMachine.
type preemptionCandidate struct {
	machine int
	victims []int         // indexes into the machine's Victims, ascending
	cost    micros.Micros // lost work plus the time to pull the image
}

// compareCandidates orders candidates by cost, lowest first.
func compareCandidates(a, b preemptionCandidate) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.machine, b.machine))
}

// claimAvailableRoom claims, for the job's tasks, resources that are free or being released.
func (s *preemptionSearch) claimAvailableRoom() {
	for k := range s.machines {
		m := &s.machines[k]
		if s.unplaced == 0 || !m.accepts(s.job) {
			continue
		}
		count := m.Free.Add(m.Releasing, 1).CountFitting(s.job.Need, min(s.unplaced, s.job.remainingInZone(m.Zone)))
		if count > 0 {
			s.claimRoom(k, count)
		}
	}
}

// claimRoom records that count tasks of the job have room on a machine.
func (s *preemptionSearch) claimRoom(machine, count int) {
	m := &s.machines[machine]
	m.Releasing = m.Releasing.Add(s.job.Need, -int64(count))
	s.unplaced -= count
	if s.job.Gang {
		s.job.TasksPerZone[m.Zone] += count
		s.machinesWithRoom = append(s.machinesWithRoom, machine)
	}
}

// findCandidates computes the candidate on each machine. A machine's candidate is computed again only after tasks
// on it were preempted.
func (s *preemptionSearch) findCandidates() {
	s.candidates = s.candidates[:0]
	for k := range s.machines {
		if c, ok := s.candidateOn(k); ok {
			s.candidates = append(s.candidates, c)
		}
	}
	slices.SortFunc(s.candidates, compareCandidates)
}

// candidateOn returns the tasks that must be preempted on a machine to make room for one task of the job. ok is false
// if that is impossible, or if nothing needs to be preempted.
func (s *preemptionSearch) candidateOn(machine int) (c preemptionCandidate, ok bool) {
	m := &s.machines[machine]
	if !m.accepts(s.job) || s.job.remainingInZone(m.Zone) == 0 {
		return preemptionCandidate{}, false
	}
	victims, lost := pickVictims(m, s.job, s.job.Need)
	// The task starts only after its image has been pulled there.
	return preemptionCandidate{machine, victims, lost + imagePullTime(m, s.job)}, victims != nil
}

// preemptFirstCandidate preempts the victims of the candidate with the lowest cost, and all other tasks of the gangs
// among them. It claims the room for one task of the job, and updates the candidates.
func (s *preemptionSearch) preemptFirstCandidate() {
	c := s.candidates[0]
	s.candidates = s.candidates[1:]
	stopped := preemptVictims(s.machines, c.machine, c.victims, s.job.ID)
	s.preemptions = append(s.preemptions, stopped...)
	s.claimRoom(c.machine, 1)
	if rest := preemptRestOfGangs(s.machines, stopped, s.job.ID); len(rest) > 0 {
		// Use the capacity that the other tasks of the gangs free on other machines before preempting more.
		s.preemptions = append(s.preemptions, rest...)
		s.claimAvailableRoom()
		s.findCandidates()
		return
	}
	if c, ok := s.candidateOn(c.machine); ok {
		position, _ := slices.BinarySearchFunc(s.candidates, c, compareCandidates)
		s.candidates = slices.Insert(s.candidates, position, c)
	}
}

// pickVictims picks the tasks to preempt on a machine so that it has room for need, in the order of
// compareVictims: those with the lowest entitlement and the least lost work first. It returns them as ascending
// indexes into Victims. victims is nil if nothing needs to be preempted, or if preempting all eligible tasks does
// not free enough.
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

// compareVictims orders tasks by which is preempted first: those not covered by a guarantee, then those of lower
// priority, then those with less lost work.
func compareVictims(a, b *Victim) int {
	return cmp.Or(cmp.Compare(boolRank(b.WithinGuarantee), boolRank(a.WithinGuarantee)), cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.LostWork, b.LostWork), cmp.Compare(a.JobID, b.JobID), cmp.Compare(a.Task, b.Task))
}

// lostWorkSum adds up the work that preemptions lose. The lost work of a gang, which covers all its tasks, is
// counted once.
type lostWorkSum struct {
	lost    micros.Micros
	counted map[string]bool // by job ID
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

// preemptVictims preempts tasks of a machine for a job. victims are ascending indexes into the machine's Victims.
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

// preemptRestOfGangs preempts, on all machines, the remaining tasks of each gang that has a task among the stopped
// ones.
func preemptRestOfGangs(machines []Machine, stopped []Preemption, forJobID string) (preemptions []Preemption) {
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
