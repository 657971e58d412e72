package leader

import (
	"fmt"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

const (
	// jobNotFoundBackoff is the time for which no tasks of a job are started after a worker did not find the job's
	// description.
	jobNotFoundBackoff = 5 * micros.Second
	// noRoomBackoffHeartbeats is the number of heartbeat intervals for which a machine gets no starts after it lacked
	// the resources for a task.
	noRoomBackoffHeartbeats = 2
)

// observeExit processes a heartbeat's report that a task has exited. The exit of a service's task is never a
// completion, even if the task succeeded.
func (l *Leader) observeExit(o taskObservation) {
	m, j, a, t := o.machine, o.job, o.attempt, o.status
	if t.ExitReason == wire.ExitDone && j.Spec.Kind != wire.KindService {
		l.observeCompletion(o)
		return
	}
	if !wire.IsKnownExitReason(t.ExitReason) {
		l.events.Add("unknown task exit reason", fmt.Sprintf("%.40q", t.ExitReason), m.ID)
	}
	addFollowUp(m, clearCommand(t))
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
		// The leader's record of the machine's free resources was wrong, so nothing is started there for the next
		// heartbeats.
		m.StartBackoffUntil = o.at + noRoomBackoffHeartbeats*l.heartbeatInterval
	case wire.ExitJobNotFound:
		j.BackoffUntil = o.at + jobNotFoundBackoff
		j.BackoffReason = "the workers do not find its description"
	case wire.ExitOtherAttemptPresent:
		// Another attempt of the task is on the machine. The same heartbeat lists it, so nothing is done here.
	}
	l.release(a, "ended: "+t.ExitReason)
}

// observeCompletion processes a heartbeat's report that a task is done. It releases the attempt, and stops an attempt
// of the same task on another machine.
func (l *Leader) observeCompletion(o taskObservation) {
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
	// The worker keeps the task's result until the leader clears it. The leader does so only once the completion is
	// stored or the job has ended.
	if j.Ended || j.StoredDone.Has(o.index) {
		addFollowUp(m, clearCommand(o.status))
	}
	l.writes.Wake()
}

// recordCompletion records the first completion of a task.
func (l *Leader) recordCompletion(o taskObservation) {
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
