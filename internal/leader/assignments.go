package leader

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
)

// assign counts a task as being on its machine.
func (l *Leader) assign(a *state.Attempt) {
	l.recordMoved(a)
	a.Attach()
	team := a.Job.Spec.Team
	l.teamUsage[team] = l.teamUsage[team].Add(a.Job.Need, 1)
	l.publishAssigned(a)
}

// release frees a task that is no longer on its machine.
func (l *Leader) release(a *state.Attempt, why string) {
	job := a.Job
	l.publishRemoved(a)
	l.teamUsage[job.Spec.Team] = l.teamUsage[job.Spec.Team].Add(job.Need, -1)
	if a.Detach(micros.Now()) {
		if len(job.Attempts) == 0 {
			delete(l.cancelledJobs, job.Spec.ID)
		}
		l.observeGangTaskLost(a)
	}
	if a.StopReason != "" {
		why = a.StopReason
	}
	if !job.Ended && !job.Done.Has(a.Index) {
		l.recordDisplaced(a)
		l.recordStop(a, why)
		l.replan = true // it waits again
	}
}

// releaseAll frees all tasks of a machine that are surely gone.
func (l *Leader) releaseAll(m *state.Machine, why string) {
	for _, a := range m.Attempts {
		l.release(a, why)
	}
	m.Reconciliation.Knowledge = state.TasksConfirmed
	m.Planned = nil
	l.replan = true
	l.publishMachine(m)
}

// stopTask tells a task to stop.
func (l *Leader) stopTask(a *state.Attempt, grace micros.Micros, why string) {
	if l.markStopping(a, grace, why) {
		l.dispatcher.Send(commandTarget(a.Machine), stopCommand(a))
	}
}

// markStopping notes that a task is to stop, and tells whether its machine must be told.
func (l *Leader) markStopping(a *state.Attempt, grace micros.Micros, reason string) (mustTell bool) {
	if a.Reserved {
		l.releaseReservation(a, reason)
		return false
	}
	if !a.MarkStopping(grace, reason, micros.Now()) {
		return false
	}
	l.publishAssigned(a)
	return true
}
