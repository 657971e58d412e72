package leader

import (
	"fmt"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// observeExit takes over a task that has ended on its machine.
func (l *Leader) observeExit(m *state.Machine, j *state.Job, task int, a *state.Attempt, t *wire.TaskStatus, now micros.Micros) {
	if t.ExitReason == wire.ExitDone && j.Spec.Kind != wire.KindService {
		l.observeCompletion(m, j, task, a, t, now)
		return
	}
	if !wire.IsKnownExitReason(t.ExitReason) {
		l.events.Add("a task's exit reason is unknown", fmt.Sprintf("%.40q", t.ExitReason), m.ID)
	}
	m.Delivery.FollowUps = append(m.Delivery.FollowUps, clearCommand(t))
	l.observeGangExit(j, task, a, t)
	if a == nil {
		return
	}
	switch t.ExitReason {
	case wire.ExitError:
		j.Failures.Count++
		j.Failures.LastMachine = m.ID
		if a.RunningSince != 0 {
			j.Failures.LongestRun = max(j.Failures.LongestRun, now-a.RunningSince)
		}
		l.attributeFailure(m, j, now)
	case wire.ExitInsufficientResources:
		// Our count of what is free was wrong: wait for the next reports.
		m.StartBackoffUntil = now + 2*l.heartbeatInterval
	case wire.ExitJobNotFound:
		// The worker cannot find the job yet.
		j.BackoffUntil = now + 5*micros.Second
		j.BackoffReason = "the workers do not find its description"
	case wire.ExitOtherAttemptPresent:
		// Another attempt of the task is there; the report lists it too.
	}
	l.release(a, "ended: "+t.ExitReason)
}

// observeCompletion takes over a task that is done.
func (l *Leader) observeCompletion(m *state.Machine, j *state.Job, task int, a *state.Attempt, t *wire.TaskStatus, now micros.Micros) {
	if !j.Done.Has(task) && !j.Ended {
		j.Done.Set(task)
		j.DoneCount++
		l.recordSuccess(m, j, a, now)
		if a != nil {
			l.scaler.ObserveCompletion(a, now)
		}
		l.writes.Mark(state.ProgressKey(j.Spec.ID, task/state.ChunkTasks))
		l.completions.count++
		l.completeGang(j)
	} else if a != nil && j.IsGang() && !j.Ended {
		l.scaler.ObserveCompletion(a, now)
	}
	if a != nil {
		l.release(a, "")
	}
	if other := j.Attempts[task]; other != nil {
		l.stopTask(other, 0, "done elsewhere")
	}
	l.finishIfDone(j)
	// The worker keeps the result until it is surely stored.
	if j.Ended || j.StoredDone.Has(task) {
		m.Delivery.FollowUps = append(m.Delivery.FollowUps, clearCommand(t))
	}
	l.writes.Wake()
}
