package scheduler

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// Bounds of preemption.
const (
	preemptInterval = micros.Second
	maxPreemptJobs  = 8 // for which a plan stops others
	// gangPreemptInterval bounds how often all running tasks are looked at for gangs.
	gangPreemptInterval = micros.Second / 2
)

// preemptionReason is why a task is stopped for a job. It is shown to users: its text does not change.
func preemptionReason(forJobID string) string { return "stopped to make room for " + forJobID }

// preempt stops running tasks for jobs that are at risk, or go before best-effort work, and found no room.
func (s *Scheduler) preempt(now micros.Micros) {
	q := &s.queue
	count := 0
	for _, w := range q.waiting {
		if w.AtRisk || w.PreemptsBestEffort {
			count += w.WaitingTasks
		}
	}
	// Where so many tasks end by themselves that their room serves these jobs very soon, stopping
	// others would only waste their checkpoints and image pulls.
	soon := s.completions.perSecond(now) * preemptInterval.Seconds()
	s.preemptedAt = now
	if count == 0 || float64(count) <= soon {
		return
	}
	view := s.withVictims(now)
	preemptions, reservations := placement.Preempt(view.placement, q.waiting, q.teams, maxPreemptJobs)
	for _, r := range reservations {
		s.reserve(r.ForJobID, view.machines[r.Machine], now)
	}
	for _, p := range preemptions {
		if a := view.machines[p.Machine].Attempts[state.TaskID(p.Victim.JobID, p.Victim.Task)]; a != nil {
			s.preemptVictim(a, p.ForJobID, now)
		}
	}
}

// preemptVictim stops a task, or the gang that it is of, to make room for a job.
func (s *Scheduler) preemptVictim(a *state.Attempt, forJobID string, now micros.Micros) {
	if a.Job.IsGang() {
		s.Gangs.StopIfReachable(a.Job, state.CheckpointGrace(a.Job), preemptionReason(forJobID), now)
		return
	}
	s.Stop(a, graceIfWorthSaving(a, now), preemptionReason(forJobID))
}

// graceIfWorthSaving is the time that a task gets to save a checkpoint, none if saving would take longer
// than doing its work again.
func graceIfWorthSaving(a *state.Attempt, now micros.Micros) micros.Micros {
	grace := micros.FromSeconds(a.Job.Spec.CheckpointDurationS)
	if a.RunningSince == 0 || now-a.RunningSince < grace {
		return 0
	}
	return grace
}

// preemptForGangs stops work of less claim for gangs that would otherwise be late, for each on one machine:
// its worker sends a heartbeat at once when tasks on it end, so the gang starts with the response to that, sooner
// than on a machine with room whose heartbeat may come much later. A task that would take too long to save is
// stopped at once; what it loses is little against a gang.
func (s *Scheduler) preemptForGangs(now micros.Micros) {
	wall := micros.Wall()
	var late []*placement.Job
	for _, w := range s.queue.waiting {
		if w.Gang && w.AtRisk && !w.Late && s.ReservedMachines(w.ID) == 0 && (w.EarliestStart == 0 || wall+w.EarliestStart > w.StartDeadline) {
			late = append(late, w)
		}
	}
	if len(late) == 0 || now-s.preemptedForGangsAt < gangPreemptInterval {
		return
	}
	s.preemptedForGangsAt = now
	view := s.withVictims(now)
	for _, w := range late[:min(len(late), maxReservationJobs)] {
		preemptions, at := placement.PreemptOnSingleMachine(view.placement, w, s.queue.teams[w.Team])
		if len(preemptions) == 0 {
			continue
		}
		m := view.machines[at]
		s.reserve(w.ID, m, now)
		for _, p := range preemptions {
			a := m.Attempts[state.TaskID(p.Victim.JobID, p.Victim.Task)]
			if a == nil {
				continue
			}
			grace := graceIfWorthSaving(a, now)
			if wall+grace > w.StartDeadline {
				grace = 0
			}
			s.Stop(a, grace, preemptionReason(w.ID))
		}
	}
}

// CountCompletion counts a task that was done.
func (s *Scheduler) CountCompletion() { s.completions.count++ }

// completionRate measures how many tasks end in a second, lately.
type completionRate struct {
	count int // tasks that were done since then
	since micros.Micros
	rate  float64
}

// completionRateInterval is how long a measurement takes at least.
const completionRateInterval = micros.Second

// perSecond is the rate, in which the weight of each measurement halves with the next one.
func (r *completionRate) perSecond(now micros.Micros) float64 {
	if since := now - r.since; since >= completionRateInterval {
		r.rate = r.rate/2 + float64(r.count)/since.Seconds()/2
		r.count, r.since = 0, now
	}
	return r.rate
}
