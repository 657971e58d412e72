package leader

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
)

// assign records an attempt on its machine and in its job, and adds its resources to its team's usage.
func (l *Leader) assign(a *state.Attempt) {
	l.zones.RecordAssigned(a)
	a.Attach()
	team := a.Job.Spec.Team
	l.teamUsage[team] = l.teamUsage[team].Add(a.Job.Need, 1)
	l.publishAssigned(a)
}

// releaseAll releases all attempts on a machine whose tasks are all known to have left it.
func (l *Leader) releaseAll(m *state.Machine, reason string) {
	for _, a := range m.Attempts {
		l.release(a, reason)
	}
	m.Reconciliation.Knowledge = state.TasksConfirmed
	m.PlannedStarts = nil
	l.scheduler.RequestPlan()
	l.publishMachine(m)
}

// release removes the assignment of an attempt that is known to have left its machine. Operators see reason, unless
// the attempt was stopped for a reason of its own, which they see instead.
func (l *Leader) release(a *state.Attempt, reason string) {
	job := a.Job
	l.publishRemoved(a)
	l.teamUsage[job.Spec.Team] = l.teamUsage[job.Spec.Team].Add(job.Need, -1)
	if a.Detach(micros.Now()) {
		if len(job.Attempts) == 0 {
			delete(l.cancelledJobs, job.Spec.ID)
		}
		l.gangs.ObserveRelease(a)
	}
	if a.StopReason != "" {
		reason = a.StopReason
	}
	if !job.Ended && !job.Done.Has(a.Index) {
		l.zones.RecordDisplaced(a)
		l.recordStop(a, reason)
		l.scheduler.RequestPlan() // the task is waiting again
	}
}

// stopTask marks an attempt as stopping and sends its worker the stop command with a grace period.
func (l *Leader) stopTask(a *state.Attempt, grace micros.Micros, reason string) {
	if l.markStopping(a, grace, reason) {
		l.dispatcher.Send(commandTarget(a.Machine), stopCommand(a))
	}
}

// markStopping marks an attempt as stopping and reports whether the stop command must be sent to its worker. An
// attempt whose start was never sent is released instead.
func (l *Leader) markStopping(a *state.Attempt, grace micros.Micros, reason string) (mustSend bool) {
	if a.Reserved {
		l.gangs.ReleaseUnsent(a, reason)
		return false
	}
	if !a.MarkStopping(grace, reason, micros.Now()) {
		return false
	}
	l.publishAssigned(a)
	return true
}
