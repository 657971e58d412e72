package scheduler

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// Limits of preemption.
const (
	preemptInterval = micros.Second
	maxPreemptJobs  = 8 // how many jobs a plan preempts tasks for
	// gangPreemptInterval limits how often all running tasks are searched for victims for gangs.
	gangPreemptInterval = micros.Second / 2
)

// preemptionReason returns the reason given for stopping a task to make room for a job. It is shown to users,
// so its text must not change.
func preemptionReason(forJobID string) string { return "stopped to make room for " + forJobID }

// preempt stops running tasks to make room for jobs that found none and are at risk or take precedence over
// best-effort work.
func (s *Scheduler) preempt(now micros.Micros) {
	q := &s.queue
	count := 0
	for _, w := range q.waiting {
		if w.AtRisk || w.PreemptsBestEffort {
			count += w.WaitingTasks
		}
	}
	// If enough tasks end by themselves to make room for these jobs very soon, preempting others would only
	// waste the others' checkpoints and image pulls.
	expectedCompletions := s.completions.perSecond(now) * preemptInterval.Seconds()
	s.preemptedAt = now
	if count == 0 || float64(count) <= expectedCompletions {
		return
	}
	view := s.viewWithVictims(now)
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

// preemptVictim stops a task, or the whole gang that it belongs to, to make room for a job.
func (s *Scheduler) preemptVictim(a *state.Attempt, forJobID string, now micros.Micros) {
	if a.Job.IsGang() {
		s.Gangs.StopIfReachable(a.Job, state.CheckpointGrace(a.Job), preemptionReason(forJobID), now)
		return
	}
	s.Stop(a, checkpointGraceIfWorthwhile(a, now), preemptionReason(forJobID))
}

// checkpointGraceIfWorthwhile returns the time that a task gets to save a checkpoint, or 0 if saving would take
// longer than repeating its work.
func checkpointGraceIfWorthwhile(a *state.Attempt, now micros.Micros) micros.Micros {
	grace := micros.FromSeconds(a.Job.Spec.CheckpointDurationS)
	if a.RunningSince == 0 || now-a.RunningSince < grace {
		return 0
	}
	return grace
}

// preemptForGangs stops lower-ranked tasks for gangs that would otherwise be late, on a single machine for each
// gang. The worker sends a heartbeat at once when tasks on it end, so that the gang starts with the response to
// that heartbeat, sooner than on a machine with room whose next heartbeat may come much later. A task that
// would take too long to save a checkpoint is stopped without one: the work that it loses matters little
// compared with a gang's delay.
func (s *Scheduler) preemptForGangs(now micros.Micros) {
	wall := micros.WallTime()
	var lateGangs []*placement.Job
	for _, w := range s.queue.waiting {
		if w.Gang && w.AtRisk && !w.Late && s.ReservedMachines(w.ID) == 0 && (w.EarliestStart == 0 || wall+w.EarliestStart > w.StartDeadline) {
			lateGangs = append(lateGangs, w)
		}
	}
	if len(lateGangs) == 0 || now-s.preemptedForGangsAt < gangPreemptInterval {
		return
	}
	s.preemptedForGangsAt = now
	view := s.viewWithVictims(now)
	for _, w := range lateGangs[:min(len(lateGangs), maxReservationJobs)] {
		preemptions, machineIndex := placement.PreemptOnSingleMachine(view.placement, w, s.queue.teams[w.Team])
		if len(preemptions) == 0 {
			continue
		}
		m := view.machines[machineIndex]
		s.reserve(w.ID, m, now)
		for _, p := range preemptions {
			a := m.Attempts[state.TaskID(p.Victim.JobID, p.Victim.Task)]
			if a == nil {
				continue
			}
			grace := checkpointGraceIfWorthwhile(a, now)
			if wall+grace > w.StartDeadline {
				grace = 0
			}
			s.Stop(a, grace, preemptionReason(w.ID))
		}
	}
}

// CountCompletion counts a completed task.
func (s *Scheduler) CountCompletion() { s.completions.count++ }

// completionRate measures how many tasks have recently completed per second.
type completionRate struct {
	count int           // tasks completed since the measurement began
	since micros.Micros // start of the measurement
	rate  float64       // weighted mean of past measurements, per second
}

// completionRateInterval is the shortest duration of a measurement.
const completionRateInterval = micros.Second

// perSecond returns the completion rate. The weight of each measurement halves with every later one.
func (r *completionRate) perSecond(now micros.Micros) float64 {
	if since := now - r.since; since >= completionRateInterval {
		r.rate = r.rate/2 + float64(r.count)/since.Seconds()/2
		r.count, r.since = 0, now
	}
	return r.rate
}
