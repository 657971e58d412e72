package leader

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
)

// assign records an attempt on its machine and in its job, adds its resources to its team's usage, and publishes it to
// the followers.
func (l *Leader) assign(a *state.Attempt) {
	l.zones.RecordAssigned(a)
	a.Attach()
	team := a.Job.Spec.Team
	l.teamUsage[team] = l.teamUsage[team].Add(a.Job.Need, 1)
	l.publishAssigned(a)
}

// releaseAll releases all attempts on a machine that is known to hold no tasks any more. From then on the machine's
// tasks count as confirmed.
func (l *Leader) releaseAll(m *state.Machine, reason string) {
	for _, a := range m.Attempts {
		l.release(a, reason)
	}
	m.Reconciliation.Knowledge = state.TasksConfirmed
	m.PlannedStarts = nil
	l.scheduler.RequestPlan()
	l.publishMachine(m)
}

// release removes the assignment of an attempt that is known to have left its machine. If its task is not done, the
// task waits again, and operators are shown reason. An attempt that was stopped has a reason of its own, which is shown
// instead.
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

// stopTask marks an attempt as stopping and sends its worker the stop command with a grace period. An attempt whose
// start was never sent is released instead.
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
