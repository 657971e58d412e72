package scheduler

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// Limits of preemption.
const (
	preemptInterval = micros.Second // minimum time between two calls of preempt
	maxPreemptJobs  = 8             // maximum number of jobs for which a call of preempt stops tasks
	// gangPreemptInterval is the minimum time between two searches for tasks to preempt for gangs. Each search
	// examines all running tasks.
	gangPreemptInterval = micros.Second / 2
)

// preemptionReason returns the reason given for stopping a task to make room for a job. It is shown to users,
// so its text must not change.
func preemptionReason(forJobID string) string { return "stopped to make room for " + forJobID }

// preempt stops running tasks to make room for queued jobs that are at risk of missing their start deadlines, or that
// may preempt best-effort tasks.
func (s *Scheduler) preempt(now micros.Micros) {
	q := &s.queue
	count := 0
	for _, w := range q.waiting {
		if w.AtRisk || w.PreemptsBestEffort {
			count += w.WaitingTasks
		}
	}
	// If at least as many tasks are expected to complete within preemptInterval as these jobs have waiting, preempting
	// tasks would only waste their checkpoints and image pulls.
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

// checkpointGraceIfWorthwhile returns the time that a task gets to save a checkpoint. It returns 0 if saving would take
// longer than the task has run, as repeating the work is faster then.
func checkpointGraceIfWorthwhile(a *state.Attempt, now micros.Micros) micros.Micros {
	grace := micros.FromSeconds(a.Job.Spec.CheckpointDurationS)
	if a.RunningSince == 0 || now-a.RunningSince < grace {
		return 0
	}
	return grace
}

// preemptForGangs stops lower-ranked tasks for gangs that have no reserved machines and would otherwise miss their
// start deadlines. All tasks that are stopped for a gang are on a single machine. Its worker sends a heartbeat at once
// when tasks on it end, and the gang starts with the response. That is sooner than on a machine with room whose next
// heartbeat may come much later.
//
// A task that could not save its checkpoint by the gang's start deadline is stopped without one: the work that it loses
// matters little compared with a gang's delay.
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

// CountCompletion counts a completed task for the completion rate.
func (s *Scheduler) CountCompletion() { s.completions.count++ }

// completionRate measures how many tasks have recently completed per second.
type completionRate struct {
	count int           // tasks completed since the measurement began
	since micros.Micros // start of the measurement
	rate  float64       // weighted mean of past measurements, per second
}

// completionRateInterval is the minimum duration of a measurement.
const completionRateInterval = micros.Second

// perSecond returns the completion rate. The weight of each measurement halves with every later one.
func (r *completionRate) perSecond(now micros.Micros) float64 {
	if elapsed := now - r.since; elapsed >= completionRateInterval {
		r.rate = r.rate/2 + float64(r.count)/elapsed.Seconds()/2
		r.count, r.since = 0, now
	}
	return r.rate
}
