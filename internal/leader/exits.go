package leader

import (
	"fmt"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

const (
	// jobNotFoundBackoff is for how long a job is not started that workers do not find.
	jobNotFoundBackoff = 5 * micros.Second
	// noRoomHeartbeats is for how many heartbeat intervals a machine gets no starts that had no room for one.
	noRoomHeartbeats = 2
)

// observeExit takes over a task that has exited on its machine.
func (l *Leader) observeExit(o observation) {
	m, j, a, t := o.machine, o.job, o.attempt, o.status
	if t.ExitReason == wire.ExitDone && j.Spec.Kind != wire.KindService {
		l.observeCompletion(o)
		return
	}
	if !wire.IsKnownExitReason(t.ExitReason) {
		l.events.Add("unknown exit reason of a task", fmt.Sprintf("%.40q", t.ExitReason), m.ID)
	}
	followUp(m, clearCommand(t))
	l.gangs.ObserveExit(j, o.index, a, t)
	if a == nil {
		return
	}
	switch t.ExitReason {
	case wire.ExitError:
		j.Failures.Count++
		j.Failures.LastMachine = m.ID
		if a.RunningSince != 0 {
			j.Failures.LongestRun = max(j.Failures.LongestRun, o.at-a.RunningSince)
		}
		l.quarantine.AttributeFailure(m, j, o.at)
	case wire.ExitInsufficientResources:
		// The count of what is free was wrong: wait for the next heartbeats.
		m.StartBackoffUntil = o.at + noRoomHeartbeats*l.heartbeatInterval
	case wire.ExitJobNotFound:
		// The worker cannot find the job yet.
		j.BackoffUntil = o.at + jobNotFoundBackoff
		j.BackoffReason = "the workers do not find its description"
	case wire.ExitOtherAttemptPresent:
		// Another attempt of the task is there; the heartbeat lists it too.
	}
	l.release(a, "ended: "+t.ExitReason)
}

// observeCompletion takes over a task that is done.
func (l *Leader) observeCompletion(o observation) {
	m, j, a := o.machine, o.job, o.attempt
	if !j.Done.Has(o.index) && !j.Ended {
		l.recordCompletion(o)
	} else if a != nil && j.IsGang() && !j.Ended {
		l.scaler.ObserveCompletion(a, o.at)
	}
	if a != nil {
		l.release(a, "")
	}
	if other := j.Attempts[o.index]; other != nil {
		l.stopTask(other, 0, "done elsewhere")
	}
	l.finishIfDone(j)
	// The worker keeps the result until it is known to be stored.
	if j.Ended || j.StoredDone.Has(o.index) {
		followUp(m, clearCommand(o.status))
	}
	l.writes.Wake()
}

// recordCompletion notes that a task is done which was not before.
func (l *Leader) recordCompletion(o observation) {
	j, a := o.job, o.attempt
	j.MarkDone(o.index)
	l.quarantine.RecordSuccess(o.machine, j, a, o.at)
	if a != nil {
		l.scaler.ObserveCompletion(a, o.at)
	}
	l.writes.Enqueue(state.ProgressKey(j.Spec.ID, o.index/state.ChunkTasks))
	l.scheduler.CountCompletion()
	l.gangs.Complete(j)
}
