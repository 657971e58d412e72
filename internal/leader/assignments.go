package leader

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
)

// assign counts an attempt on its machine, in its job and in its team's use.
func (l *Leader) assign(a *state.Attempt) {
	l.zones.RecordAssigned(a)
	a.Attach()
	team := a.Job.Spec.Team
	l.teamUsage[team] = l.teamUsage[team].Add(a.Job.Need, 1)
	l.publishAssigned(a)
}

// releaseAll releases all tasks of a machine that are known to have left it.
func (l *Leader) releaseAll(m *state.Machine, reason string) {
	for _, a := range m.Attempts {
		l.release(a, reason)
	}
	m.Reconciliation.Knowledge = state.TasksConfirmed
	m.PlannedStarts = nil
	l.scheduler.RequestPlan()
	l.publishMachine(m)
}

// release takes back the assignment of an attempt that is known to have left its machine. The reason is shown to
// operators, unless the attempt was stopped for another.
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
		l.scheduler.RequestPlan() // it waits again
	}
}

// stopTask has an attempt stopped within a grace period.
func (l *Leader) stopTask(a *state.Attempt, grace micros.Micros, reason string) {
	if l.markStopping(a, grace, reason) {
		l.dispatcher.Send(commandTarget(a.Machine), stopCommand(a))
	}
}

// markStopping notes that an attempt is to stop, and reports whether its worker must get the command.
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
