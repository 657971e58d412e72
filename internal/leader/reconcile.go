package leader

import (
	"fmt"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

// reconcile compares a report with what should be on the machine. The report
// carries this term's token, so the worker made it after it had accepted an
// answer of this term: starts of earlier terms can no longer be executed.
func (l *Leader) reconcile(m *state.Machine, r *wire.Heartbeat, now micros.Micros) {
	confirmed := m.TasksConfirmed()
	if !confirmed {
		m.Reconciliation.Knowledge = state.TasksConfirmed
		l.replan = true
	}
	listed := make(map[string]bool, len(r.Tasks))
	for i := range r.Tasks {
		listed[r.Tasks[i].TaskID] = true
	}
	l.liveness.CheckDelivery(m, listed, now)
	m.Delivery.FollowUps = m.Delivery.FollowUps[:0]
	for i := range r.Tasks {
		l.observeTask(m, &r.Tasks[i], now)
	}
	for name, a := range m.Attempts {
		// A worker has one report in flight, and drops late answers: if the
		// start that went with an earlier report's answer does not show in a
		// newer report, it never will.
		if !listed[name] && a.StartSequence < r.Sequence && !a.Reserved {
			l.release(a, "the start was lost")
		}
	}
	if !confirmed {
		l.scaler.RestorePoolMembership(m)
	}
}

// observeTask takes over one task of a report.
func (l *Leader) observeTask(m *state.Machine, t *wire.TaskStatus, now micros.Micros) {
	a := m.Attempts[t.TaskID]
	if a != nil && t.State == wire.TaskExited && a.Number != t.Attempt && t.ExitReason != wire.ExitDone {
		// An older attempt that was not cleared yet, or a refusal of a newer
		// one that never ran; what should be on the machine is not it.
		if t.Attempt > a.Number && t.ExitReason != wire.ExitOtherAttemptPresent {
			l.release(a, "the worker shows another attempt")
		}
		m.Delivery.FollowUps = append(m.Delivery.FollowUps, clearCommand(t))
		return
	}
	if a != nil && a.Number == t.Attempt && a.ReportedState == "" && a.StartSequence != 0 {
		l.zoneCounters(m).startsSeen++
	}
	id, task, err := state.ParseTaskID(t.TaskID)
	j := l.jobs[id]
	if a != nil {
		j = a.Job
	} else if j == nil {
		j = l.cancelledJob(id)
	}
	switch {
	case err != nil || j == nil || task >= j.Spec.Tasks:
		l.rejectTask(m, t)
	case t.State != wire.TaskExited:
		l.observePresentTask(m, j, task, a, t, now)
	case a != nil && a.Reserved && t.ExitReason != wire.ExitDone:
		// An earlier start of the same attempt, for whose place this one is held.
		m.Delivery.FollowUps = append(m.Delivery.FollowUps, clearCommand(t))
	default:
		l.observeExit(m, j, task, a, t, now)
	}
}

// rejectTask has a task that belongs to no job stopped, or cleared if it has ended.
func (l *Leader) rejectTask(m *state.Machine, t *wire.TaskStatus) {
	if t.State == wire.TaskExited {
		m.Delivery.FollowUps = append(m.Delivery.FollowUps, clearCommand(t))
		return
	}
	l.dispatcher.Send(commandTarget(m), stopAtOnce(t))
	m.Delivery.FollowUps = append(m.Delivery.FollowUps, stopAtOnce(t))
}

// observePresentTask takes over a task that is on its machine. a is nil if it was not known there.
func (l *Leader) observePresentTask(m *state.Machine, j *state.Job, task int, a *state.Attempt, t *wire.TaskStatus, now micros.Micros) {
	if a == nil {
		if a = l.adoptTask(m, j, task, t, now); a == nil {
			return
		}
	}
	if a.Number != t.Attempt || a.Reserved {
		a.Number, a.Reserved = t.Attempt, false
		l.publishAssigned(a)
	}
	if t.State == wire.TaskRunning && a.RunningSince == 0 {
		l.recordRunning(m, a, now)
	}
	if t.State != a.ReportedState && !wire.IsKnownTaskState(t.State) {
		l.events.Add("a task's state is unknown, it is taken to be there", fmt.Sprintf("%.40q", t.State), m.ID)
	}
	a.ReportedState = t.State
	l.observeGangTask(a, now)
}

// adoptTask counts a task as being on a machine that was not known to have it. It has the
// task stopped instead, and gives nil, if that is done or on another machine.
func (l *Leader) adoptTask(m *state.Machine, j *state.Job, task int, t *wire.TaskStatus, now micros.Micros) *state.Attempt {
	if other := j.Attempts[task]; other != nil && other.Reserved {
		l.releaseReservation(other, "an earlier start of it is on "+m.ID)
	}
	if other := j.Attempts[task]; !j.Ended && (other != nil && other.Machine != m || j.Done.Has(task)) {
		m.Delivery.FollowUps = append(m.Delivery.FollowUps, stopAtOnce(t))
		return nil
	}
	a := &state.Attempt{Job: j, Index: task, Number: t.Attempt, Machine: m, StartedAt: now}
	l.assign(a)
	if j.Ended {
		l.stopTask(a, 0, "job is over")
	}
	return a
}

// cancelledJob is a job that was cancelled before this term saw it, but that a machine still
// has tasks of: they were not told to stop, or the machine hung. Until they are gone they
// take their places, and count against their team's limit; when they did not, a leader that
// took over from one which had been cut off filled the team up beside them.
func (l *Leader) cancelledJob(id string) *state.Job {
	if j := l.cancelledJobs[id]; j != nil {
		return j
	}
	r, _, ok := l.Replica.Job(id)
	if !ok || !r.IsFinal() || r.Spec == nil {
		return nil
	}
	j := state.NewJob(r, true)
	j.Ended = true
	j.Image = l.imageIndex(j.Spec.Image)
	l.cancelledJobs[id] = j
	return j
}

// recordRunning notes that a task was seen running for the first time.
func (l *Leader) recordRunning(m *state.Machine, a *state.Attempt, now micros.Micros) {
	j := a.Job
	a.RunningSince = now
	if j.Attempts[a.Index] == a {
		j.RunningCount++
	}
	j.LastStart = micros.Wall()
	if j.FirstStart == 0 {
		j.FirstStart = j.LastStart
	}
	if mt := l.scaler.Type(m.Offering.Type); mt != nil {
		m.Images.Use(j.Spec.Image, j.Spec.ImageSizeGB, mt.ImageCacheGB)
		l.refreshImageSet(m)
	}
}

// refreshImageSet takes anew what images a machine has or is fetching.
func (l *Leader) refreshImageSet(m *state.Machine) {
	var s placement.ImageSet
	for _, name := range m.Images.Names {
		s = s.With(l.imageIndex(name))
	}
	for _, a := range m.Attempts {
		s = s.With(a.Job.Image)
	}
	m.ImageSet = s
}
