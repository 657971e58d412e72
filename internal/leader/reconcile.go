package leader

import (
	"fmt"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

// reconcile compares a heartbeat with what should be on the machine. The heartbeat carries this term's fencing
// token, so the worker made it after it had accepted a response of this term: starts of earlier terms can no
// longer be executed.
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
	for i := range h.Tasks {
		l.observeTask(m, &h.Tasks[i], now)
	}
	for name, a := range m.Attempts {
		// A worker has one heartbeat in flight, and drops late responses: if the start in the response
		// to an earlier heartbeat does not show in a newer one, it never will.
		if !listed[name] && a.StartSequence < h.Sequence && !a.Reserved {
			l.release(a, "the start was lost")
		}
	}
	if !confirmed {
		l.scaler.RestorePoolMembership(m)
	}
}

// observation is the status of a job's task in a heartbeat, with what was known of it before.
type observation struct {
	machine *state.Machine
	job     *state.Job
	index   int            // of the task in its job
	attempt *state.Attempt // nil if the task was not known to be on the machine
	status  *wire.TaskStatus
	at      micros.Micros // when the heartbeat was received
}

// observeTask takes over the status of one task.
func (l *Leader) observeTask(m *state.Machine, t *wire.TaskStatus, now micros.Micros) {
	a := m.Attempts[t.TaskID]
	if a != nil && t.State == wire.TaskExited && a.Number != t.Attempt && t.ExitReason != wire.ExitDone {
		// An older attempt that was not cleared yet, or a refusal of a newer one that never ran;
		// what should be on the machine is not it.
		if t.Attempt > a.Number && t.ExitReason != wire.ExitOtherAttemptPresent {
			l.release(a, "the worker shows another attempt")
		}
		followUp(m, clearCommand(t))
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
	o := observation{machine: m, job: j, index: index, attempt: a, status: t, at: now}
	switch {
	case err != nil || j == nil || index >= j.Spec.Tasks:
		l.rejectTask(m, t)
	case t.State != wire.TaskExited:
		l.observePresentTask(o)
	case a != nil && a.Reserved && t.ExitReason != wire.ExitDone:
		// An earlier start of the same attempt, whose place is reserved for this one.
		followUp(m, clearCommand(t))
	default:
		l.observeExit(o)
	}
}

// followUp adds a command to the next response to a machine's heartbeat.
func followUp(m *state.Machine, c wire.Command) {
	m.Delivery.FollowUps = append(m.Delivery.FollowUps, c)
}

// rejectTask has a task of no known job stopped, or cleared if it has exited.
func (l *Leader) rejectTask(m *state.Machine, t *wire.TaskStatus) {
	if t.State == wire.TaskExited {
		followUp(m, clearCommand(t))
		return
	}
	l.dispatcher.Send(commandTarget(m), stopAtOnce(t))
	followUp(m, stopAtOnce(t))
}

// observePresentTask takes over a task that is on its machine.
func (l *Leader) observePresentTask(o observation) {
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
		l.events.Add("unknown task state, the task is taken to be present", fmt.Sprintf("%.40q", t.State), m.ID)
	}
	a.ReportedState = t.State
	l.gangs.ObserveTask(a, o.at)
}

// adoptTask assigns a task to a machine that was not known to have it. If the task is done or on another
// machine, it has the task stopped instead, and returns nil.
func (l *Leader) adoptTask(o observation) *state.Attempt {
	m, j := o.machine, o.job
	if other := j.Attempts[o.index]; other != nil && other.Reserved {
		l.gangs.ReleaseUnsent(other, "an earlier start of it is on "+m.ID)
	}
	if other := j.Attempts[o.index]; !j.Ended && (other != nil && other.Machine != m || j.Done.Has(o.index)) {
		followUp(m, stopAtOnce(o.status))
		return nil
	}
	a := &state.Attempt{Job: j, Index: o.index, Number: o.status.Attempt, Machine: m, StartedAt: o.at}
	l.assign(a)
	if j.Ended {
		l.stopTask(a, 0, "job is over")
	}
	return a
}

// cancelledJob is a job that was cancelled before this term saw it, but that a machine still has tasks of:
// these were not stopped yet, or the machine hung. Until they have left they take their places, and
// count against their team's limit; when they did not, a leader that succeeded one which had been cut off
// filled the team up beside them. It is nil if there is no such job.
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

// recordRunning notes that an attempt was seen running for the first time.
func (l *Leader) recordRunning(a *state.Attempt, now micros.Micros) {
	j, m := a.Job, a.Machine
	a.RunningSince = now
	if j.Attempts[a.Index] == a {
		j.RunningCount++
	}
	j.LastStart = micros.Wall()
	if j.FirstStart == 0 {
		j.FirstStart = j.LastStart
	}
	if t := l.scaler.Type(m.Offering.Type); t != nil {
		m.Images.Use(j.Spec.Image, j.Spec.ImageSizeGB, t.ImageCacheGB)
		l.refreshImageSet(m)
	}
}

// refreshImageSet determines anew which images a machine has cached or is pulling.
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
