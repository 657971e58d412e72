package leader

import (
	"fmt"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

// reconcile compares the tasks that a heartbeat lists with those assigned to the machine. The heartbeat contains this
// term's fencing token. So the worker sent it after accepting a response of this term, and no longer executes starts of
// earlier terms.
func (l *Leader) reconcile(m *state.Machine, h *wire.Heartbeat, now micros.Micros) {
	confirmed := m.TasksConfirmed()
	if !confirmed {
		m.Reconciliation.Knowledge = state.TasksConfirmed
		l.scheduler.RequestPlan()
	}
	listed := make(map[string]bool, len(h.Tasks))
	for i := range h.Tasks {
		listed[h.Tasks[i].TaskID] = true
	}
	l.liveness.CheckDelivery(m, listed, now)
	m.Delivery.FollowUps = m.Delivery.FollowUps[:0]
	exited := 0
	for i := range h.Tasks {
		l.observeTask(m, &h.Tasks[i], now)
		if h.Tasks[i].State == wire.TaskExited {
			exited++
		}
	}
	m.RecordExitedTasks(exited)
	for taskID, a := range m.Attempts {
		// A worker has one heartbeat in flight and drops late responses. The response to an earlier heartbeat started
		// the task. If this newer heartbeat does not list the task, the worker will never execute that start.
		if !listed[taskID] && a.StartSequence < h.Sequence && !a.Reserved {
			l.release(a, "the start was lost")
		}
	}
	if !confirmed {
		l.scaler.RestorePoolMembership(m)
	}
}

// taskObservation is the status of a job's task in a heartbeat, with the attempt that was known before.
type taskObservation struct {
	machine *state.Machine
	job     *state.Job
	index   int            // of the task in its job
	attempt *state.Attempt // nil if the task was not known to be on the machine
	status  *wire.TaskStatus
	at      micros.Micros // when the heartbeat was received
}

// observeTask processes the status of one task in a heartbeat.
func (l *Leader) observeTask(m *state.Machine, t *wire.TaskStatus, now micros.Micros) {
	a := m.Attempts[t.TaskID]
	if a != nil && t.State == wire.TaskExited && a.Number != t.Attempt && t.ExitReason != wire.ExitDone {
		// The status is of an older attempt that was not cleared yet, or of a newer one that the worker refused to
		// start, and not of the attempt that is assigned to the machine.
		if t.Attempt > a.Number && t.ExitReason != wire.ExitOtherAttemptPresent {
			l.release(a, "the worker shows another attempt")
		}
		addFollowUp(m, clearCommand(t))
		return
	}
	if a != nil && a.Number == t.Attempt && a.ReportedState == "" && a.StartSequence != 0 {
		l.zones.RecordStartSeen(m)
	}
	id, index, err := state.ParseTaskID(t.TaskID)
	j := l.jobs[id]
	if a != nil {
		j = a.Job
	} else if j == nil {
		j = l.cancelledJob(id)
	}
	o := taskObservation{machine: m, job: j, index: index, attempt: a, status: t, at: now}
	switch {
	case err != nil || j == nil || index >= j.Spec.Tasks:
		l.rejectTask(m, t)
	case t.State != wire.TaskExited:
		l.observePresentTask(o)
	case a != nil && a.Reserved && t.ExitReason != wire.ExitDone:
		// The exit is that of an earlier start with the same attempt number. The new start has not been sent yet.
		addFollowUp(m, clearCommand(t))
	default:
		l.observeExit(o)
	}
}

// addFollowUp adds a command to the next response to a machine's heartbeat.
func addFollowUp(m *state.Machine, c wire.Command) {
	m.Delivery.FollowUps = append(m.Delivery.FollowUps, c)
}

// rejectTask stops a task that belongs to no known job, or clears it if it has exited.
func (l *Leader) rejectTask(m *state.Machine, t *wire.TaskStatus) {
	if t.State == wire.TaskExited {
		addFollowUp(m, clearCommand(t))
		return
	}
	l.dispatcher.Send(commandTarget(m), immediateStopCommand(t))
	addFollowUp(m, immediateStopCommand(t))
}

// observePresentTask processes the status of a task that has not exited.
func (l *Leader) observePresentTask(o taskObservation) {
	m, a, t := o.machine, o.attempt, o.status
	if a == nil {
		if a = l.adoptTask(o); a == nil {
			return
		}
	}
	if a.Number != t.Attempt || a.Reserved {
		a.Number, a.Reserved = t.Attempt, false
		l.publishAssigned(a)
	}
	if t.State == wire.TaskRunning && a.RunningSince == 0 {
		l.recordRunning(a, o.at)
	}
	if t.State != a.ReportedState && !wire.IsKnownTaskState(t.State) {
		l.events.Add("unknown task state, the task is treated as present on its machine", fmt.Sprintf("%.40q", t.State), m.ID)
	}
	a.ReportedState = t.State
	l.gangs.ObserveTask(a, o.at)
}

// adoptTask assigns a task to a machine that was not known to hold it. If the task was assigned elsewhere and the start
// was not sent, that assignment is released. If the task is done or on another machine, and its job has not ended,
// adoptTask stops the reported task instead and returns nil.
func (l *Leader) adoptTask(o taskObservation) *state.Attempt {
	m, j := o.machine, o.job
	if other := j.Attempts[o.index]; other != nil && other.Reserved {
		l.gangs.ReleaseUnsent(other, "an earlier start of it is on "+m.ID)
	}
	if other := j.Attempts[o.index]; !j.Ended && (other != nil && other.Machine != m || j.Done.Has(o.index)) {
		addFollowUp(m, immediateStopCommand(o.status))
		return nil
	}
	a := &state.Attempt{Job: j, Index: o.index, Number: o.status.Attempt, Machine: m, StartedAt: o.at}
	l.assign(a)
	if j.Ended {
		l.stopTask(a, 0, "job is over")
	}
	return a
}

// cancelledJob returns a job that was cancelled before this term knew it, while a machine still holds tasks of it: the
// tasks have not been stopped yet, or the machine hung. It returns nil if there is no such job. Until these tasks have
// left their machines, they use capacity there and count against their team's limit. If they did not count, the
// successor of a leader that was cut off would start other tasks of the team beside them, up to the full limit.
func (l *Leader) cancelledJob(id string) *state.Job {
	if j := l.cancelledJobs[id]; j != nil {
		return j
	}
	stored, _, ok := l.Replica.Job(id)
	if !ok || !stored.IsFinal() || stored.Spec == nil {
		return nil
	}
	j := state.NewJob(stored, true)
	j.Ended = true
	j.Image = l.imageIndex(j.Spec.Image)
	l.cancelledJobs[id] = j
	return j
}

// recordRunning records the first heartbeat that shows an attempt running.
func (l *Leader) recordRunning(a *state.Attempt, now micros.Micros) {
	j, m := a.Job, a.Machine
	a.RunningSince = now
	if j.Attempts[a.Index] == a {
		j.RunningCount++
	}
	j.LastStart = micros.WallTime()
	if j.FirstStart == 0 {
		j.FirstStart = j.LastStart
	}
	if t := l.scaler.Type(m.Offering.Type); t != nil {
		m.Images.Use(j.Spec.Image, j.Spec.ImageSizeGB, t.ImageCacheGB)
		l.refreshImageSet(m)
	}
}

// refreshImageSet recomputes which images a machine has cached or is pulling.
func (l *Leader) refreshImageSet(m *state.Machine) {
	var images placement.ImageSet
	for _, name := range m.Images.Names {
		images = images.With(l.imageIndex(name))
	}
	for _, a := range m.Attempts {
		images = images.With(a.Job.Image)
	}
	m.ImageSet = images
}
