package placement

import (
	"cmp"
	"slices"

	"caperlatch/internal/micros"
)

// Preempt looks for running work of less claim to stop for pressing jobs that
// found no room, and for best-effort tasks to stop for any other job; at most limit jobs. What it
// frees for a whole job, and the room that was there, is to be gathered for it.
func Preempt(machines []Machine, jobs []*Job, teams map[string]*Team, limit int) (stops []Preemption, reservations []Reservation) {
	for _, j := range jobs {
		if limit == 0 {
			break
		}
		if j.WaitingTasks > 0 && (j.AtRisk || j.PreemptsBestEffort) {
			limit--
			if j.Gang {
				s, k := preemptForGang(machines, j, teams[j.Team])
				stops, reservations = append(stops, s...), append(reservations, k...)
				continue
			}
			s, _, _ := findPreemptions(machines, j, teams[j.Team])
			stops = append(stops, s...)
		}
	}
	return stops, reservations
}

// isPreemptibleFor tells whether v may be stopped for j: for a higher priority, or to
// give j's team its guarantee from another team's borrowed room.
func isPreemptibleFor(v *Victim, j *Job) bool {
	if v.JobID == j.ID || !j.AtRisk && !v.BestEffort {
		return false
	}
	if j.WithinGuarantee && !v.WithinGuarantee && v.Team != j.Team {
		return true
	}
	return v.Priority < j.Priority && (j.WithinGuarantee || !v.WithinGuarantee)
}

// findPreemptions also tells on which machines there is room, or will be, and how many tasks
// found none.
func findPreemptions(machines []Machine, j *Job, team *Team) (stops []Preemption, machinesWithRoom []int, unplaced int) {
	p := preemptionSearch{machines: machines, job: j, unplaced: team.CountAllowed(j.Need, j.WaitingTasks)}
	// What is being freed already will serve the first in the queue.
	p.useFreeRoom()
	if p.unplaced > 0 {
		p.findCandidates()
	}
	for p.unplaced > 0 && len(p.candidates) > 0 {
		p.preemptFirstCandidate()
	}
	return p.stops, p.machinesWithRoom, p.unplaced
}

// preemptionSearch is the state of a search for what to stop for one job.
type preemptionSearch struct {
	machines         []Machine
	job              *Job
	unplaced         int // tasks that have no room yet
	stops            []Preemption
	machinesWithRoom []int              // machines with room for tasks of a whole job
	candidates       []preemptCandidate // the least loss first
}

// useFreeRoom takes the room that is there or is being freed.
func (p *preemptionSearch) useFreeRoom() {
	for k := range p.machines {
		m := &p.machines[k]
		if p.unplaced == 0 || !acceptsJob(m, p.job) {
			continue
		}
		n := m.Free.Add(m.Releasing, 1).CountFitting(p.job.Need, min(p.unplaced, remainingInZone(p.job, m.Zone)))
		if n > 0 {
			p.reserveRoom(k, n)
		}
	}
}

// reserveRoom counts n tasks as having room on machine k.
func (p *preemptionSearch) reserveRoom(k, n int) {
	m := &p.machines[k]
	m.Releasing = m.Releasing.Add(p.job.Need, -int64(n))
	p.unplaced -= n
	if p.job.Gang {
		p.job.TasksPerZone[m.Zone] += n
		p.machinesWithRoom = append(p.machinesWithRoom, k)
	}
}

// findCandidates looks at each machine once. It is looked at again only after something
// on it is to be stopped.
func (p *preemptionSearch) findCandidates() {
	p.candidates = p.candidates[:0]
	for k := range p.machines {
		if c, ok := p.candidateOn(k); ok {
			p.candidates = append(p.candidates, c)
		}
	}
	slices.SortFunc(p.candidates, compareCandidates)
}

// candidateOn tells what must stop on machine k for one task, if that is possible.
func (p *preemptionSearch) candidateOn(k int) (preemptCandidate, bool) {
	m := &p.machines[k]
	if !acceptsJob(m, p.job) || remainingInZone(p.job, m.Zone) == 0 {
		return preemptCandidate{}, false
	}
	take, lost := pickVictims(m, p.job)
	// The image must be fetched there as well before the task starts.
	return preemptCandidate{k, take, lost + imagePullTime(m, p.job)}, take != nil
}

// preemptFirstCandidate stops what the first candidate names.
func (p *preemptionSearch) preemptFirstCandidate() {
	c := p.candidates[0]
	p.candidates = p.candidates[1:]
	gangs := p.preemptVictims(c)
	p.reserveRoom(c.machine, 1)
	if freed := preemptGangMates(p.machines, gangs, p.job.ID); len(freed) > 0 {
		// Their room serves as well, before anything more is stopped.
		p.stops = append(p.stops, freed...)
		p.useFreeRoom()
		p.findCandidates()
		return
	}
	if c, ok := p.candidateOn(c.machine); ok {
		at, _ := slices.BinarySearchFunc(p.candidates, c, compareCandidates)
		p.candidates = slices.Insert(p.candidates, at, c)
	}
}

// preemptVictims stops a candidate's victims, and tells of their jobs which are gangs.
func (p *preemptionSearch) preemptVictims(c preemptCandidate) map[string]bool {
	m := &p.machines[c.machine]
	gangs := map[string]bool{}
	for _, v := range slices.Backward(c.victims) {
		victim := m.Victims[v]
		gangs[victim.JobID] = victim.Gang
		p.stops = append(p.stops, Preemption{Machine: c.machine, Victim: victim, ForJobID: p.job.ID})
		m.Releasing = m.Releasing.Add(victim.Need, 1)
		m.Victims = slices.Delete(m.Victims, v, v+1)
	}
	return gangs
}

// preemptCandidate is a machine with what must stop there for one task, and what that loses.
type preemptCandidate struct {
	machine int
	victims []int
	cost    micros.Micros
}

func compareCandidates(a, b preemptCandidate) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.machine, b.machine))
}

// pickVictims picks, in order of their indexes, the tasks to stop on m for one
// task of j, the least claim and the least lost work first.
func pickVictims(m *Machine, j *Job) (victims []int, cost micros.Micros) {
	order := make([]int, 0, len(m.Victims))
	for i := range m.Victims {
		if isPreemptibleFor(&m.Victims[i], j) {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		first, second := &m.Victims[a], &m.Victims[b]
		return cmp.Or(cmp.Compare(boolRank(second.WithinGuarantee), boolRank(first.WithinGuarantee)), cmp.Compare(first.Priority, second.Priority),
			cmp.Compare(first.LostWork, second.LostWork), cmp.Compare(first.JobID, second.JobID), cmp.Compare(first.Task, second.Task))
	})
	free := m.Free.Add(m.Releasing, 1)
	counted := map[string]bool{} // gangs whose loss is in lost
	for _, i := range order {
		if free.Fits(j.Need) {
			break
		}
		free = free.Add(m.Victims[i].Need, 1)
		if v := &m.Victims[i]; !v.Gang || !counted[v.JobID] {
			cost += v.LostWork
			counted[v.JobID] = true
		}
		victims = append(victims, i)
	}
	if !free.Fits(j.Need) || victims == nil {
		return nil, 0
	}
	slices.Sort(victims)
	return victims, cost
}
