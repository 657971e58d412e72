package leader

import (
	"errors"
	"fmt"
	"slices"

	"caperlatch/internal/leader/dispatch"
	"caperlatch/internal/leader/scheduler"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

// ErrCannotRespond says that this node must not answer a report now.
var ErrCannotRespond = errors.New("not entitled to answer")

// maxCommands keeps an answer to a worker well within wire.MaxBodyBytes.
const maxCommands = 300

// deferralWindow is how long a worker that was sent away in doubt may come back
// for an answer.
const deferralWindow = 15 * micros.Second

// HandleHeartbeat takes a worker's report and answers with its orders.
func (l *Leader) HandleHeartbeat(r *wire.Heartbeat) (wire.HeartbeatResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := micros.Now()
	answer := wire.HeartbeatResponse{FencingToken: l.FencingToken, Commands: []wire.Command{}}
	if !l.canRespond(r, now) {
		return answer, ErrCannotRespond
	}
	// What this node has told a user, or was told by a peer, holds for the answer: no
	// task of a job that is known here as cancelled may start.
	l.applyJobChanges()
	m := l.fleet.Machines[r.MachineID]
	if m == nil {
		answer.Commands = append(answer.Commands, l.stopsForEndedJobs(r)...)
		return answer, l.adoptUnknownMachine(r, now)
	}
	if !l.acceptsHeartbeat(m, r, now) {
		return answer, ErrCannotRespond
	}
	l.endEarlierIncarnation(m, r)
	l.recordHeartbeat(m, r, now)
	l.reconcileIfCurrent(m, r, now)
	l.drainOnInterruption(m, now)
	l.publishMachine(m)
	answer.Commands = l.planCommands(m, now)
	return answer, nil
}

// canRespond tells whether this node may answer a report now. A report with a higher
// token ends the term.
func (l *Leader) canRespond(r *wire.Heartbeat, now micros.Micros) bool {
	if l.superseded || r.FencingToken > l.FencingToken {
		l.superseded = true
		l.loseTerm()
		return false
	}
	return l.ready && !l.handingOver && now < l.Term.LastConfirmed()+l.Settings.Params.Workers.LeaseRenewalWindow()
}

// acceptsHeartbeat tells whether a known machine's report is to be answered.
func (l *Leader) acceptsHeartbeat(m *state.Machine, r *wire.Heartbeat, now micros.Micros) bool {
	if !l.Term.IsExclusive() && now-m.Lease.DeferredAt > deferralWindow {
		// Another node may lead by now. A worker that finds no other answer
		// comes back and has its lease renewed.
		m.Lease.DeferredAt = now
		return false
	}
	// A late copy is refused. Its worker gave up waiting for the answer.
	late := r.Incarnation < m.Heartbeat.Incarnation || r.Incarnation == m.Heartbeat.Incarnation && r.Sequence <= m.Heartbeat.Sequence
	return !late
}

// endEarlierIncarnation frees the tasks of a worker's session when a later one reports.
func (l *Leader) endEarlierIncarnation(m *state.Machine, r *wire.Heartbeat) {
	if m.Heartbeat.Incarnation == 0 || r.Incarnation <= m.Heartbeat.Incarnation {
		return
	}
	// That an earlier session ended says nothing of what earlier terms started in this
	// one: a report held back from before a take-over may be all that is known of it.
	knowledge := m.Reconciliation.Knowledge
	l.releaseAll(m, "the worker's session ended")
	m.Reconciliation.Knowledge = knowledge
	m.Reconciliation.QueriedSequence = 0
	m.Delivery.Sent = m.Delivery.Sent[:0]
}

// recordHeartbeat notes what a report tells besides the tasks.
func (l *Leader) recordHeartbeat(m *state.Machine, r *wire.Heartbeat, now micros.Micros) {
	m.Heartbeat.Incarnation, m.Heartbeat.Sequence, m.Instance.Address = r.Incarnation, r.Sequence, r.Address
	l.checkZone(m, r)
	m.Heartbeat.ReceivedAt = now
	m.Lease.RenewedAt = now
	m.Heartbeat.InterruptionAt = 0
	if r.InterruptionNoticeS != nil {
		m.Heartbeat.InterruptionAt = now + micros.FromSeconds(*r.InterruptionNoticeS)
	}
	if m.Instance.FirstHeartbeatAt == 0 {
		m.Instance.FirstHeartbeatAt = now
		if !m.Instance.Running {
			l.fleet.RecordBoot(m, now)
		}
	}
	if !m.Instance.Running {
		l.fleet.RegisterRunning(m)
	}
}

// reconcileIfCurrent takes over the tasks of a report that is a snapshot of its machine.
func (l *Leader) reconcileIfCurrent(m *state.Machine, r *wire.Heartbeat, now micros.Micros) {
	// One that is older than what the machine answered when asked tells nothing new.
	m.Heartbeat.OfThisTerm = r.FencingToken == l.FencingToken && r.Sequence > m.Reconciliation.QueriedSequence
	if !m.Heartbeat.OfThisTerm && m.Delivery.RespondedThisTerm {
		l.recordLostResponse(m, now)
	}
	m.Delivery.RespondedThisTerm = true
	if m.Heartbeat.OfThisTerm {
		l.observeZoneReturn(m, now)
		l.reconcile(m, r, now)
	} else {
		// The answer may renew the machine's lease, whatever is thought of the report.
		m.Delivery.FollowUps = l.stopsForEndedJobs(r)
	}
}

// planCommands plans anew if that is due, and gives the orders for the machine that reports.
func (l *Leader) planCommands(m *state.Machine, now micros.Micros) []wire.Command {
	l.scheduler.PlanIfNeeded(m, now)
	return l.commandsForMachine(m, now)
}

// reconcile compares a report with what should be on the machine. The report
// carries this term's token, so the worker made it after it had accepted an
// answer of this term: starts of earlier terms can no longer be executed.
func (l *Leader) reconcile(m *state.Machine, r *wire.Heartbeat, now micros.Micros) {
	confirmed := m.TasksConfirmed()
	if !confirmed {
		m.Reconciliation.Knowledge = state.TasksConfirmed
		l.scheduler.RequestPlan()
	}
	listed := make(map[string]bool, len(r.Tasks))
	for i := range r.Tasks {
		listed[r.Tasks[i].TaskID] = true
	}
	l.checkDelivery(m, listed, now)
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

// checkDelivery compares a report with what the answer before it told. A machine
// whose reports arrive while answers don't reach it looks healthy: fed with work, it
// would lose every start until its lease ends.
func (l *Leader) checkDelivery(m *state.Machine, listed map[string]bool, now micros.Micros) {
	obeyed, missed := false, false
	for _, c := range m.Delivery.Sent {
		if listed[c.TaskID] == (c.Verb == wire.VerbStart) {
			obeyed = true
		} else {
			missed = true
		}
	}
	m.Delivery.Sent = m.Delivery.Sent[:0]
	switch {
	case obeyed:
		m.Delivery.LostResponses = 0
	case missed:
		l.recordLostResponse(m, now)
	}
}

// recordLostResponse counts an answer that did not reach a machine. One may get lost; from the
// second in a row on, starts wait longer each time. See superviseMachines for what
// becomes of a machine that hears nothing at all.
func (l *Leader) recordLostResponse(m *state.Machine, now micros.Micros) {
	if m.Delivery.LostResponses == 0 {
		m.Delivery.LosingSince = now
	}
	m.Delivery.LostResponses++
	if m.Delivery.LostResponses >= 2 {
		m.StartBackoffUntil = max(m.StartBackoffUntil, now+min(l.leaseDuration, micros.Second<<min(m.Delivery.LostResponses, 10)))
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
	l.gangs.ObserveTask(a, now)
}

// adoptTask counts a task as being on a machine that was not known to have it. It has the
// task stopped instead, and gives nil, if that is done or on another machine.
func (l *Leader) adoptTask(m *state.Machine, j *state.Job, task int, t *wire.TaskStatus, now micros.Micros) *state.Attempt {
	if other := j.Attempts[task]; other != nil && other.Reserved {
		l.gangs.ReleaseUnsent(other, "an earlier start of it is on "+m.ID)
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

// stopAtOnce stops a reported task without time to save.
func stopAtOnce(t *wire.TaskStatus) wire.Command {
	return wire.Command{Verb: wire.VerbStop, TaskID: t.TaskID, Attempt: t.Attempt, GracePeriodS: secondsPtr(0)}
}

// stopsForEndedJobs has the tasks of jobs that are over stopped by the answer to a report which is
// not taken for the machine's snapshot. Every answer that renews a lease must do that: one
// that came first after a take-over, to a machine which then heard nothing more, kept
// cancelled tasks for a lease too long.
func (l *Leader) stopsForEndedJobs(r *wire.Heartbeat) (stops []wire.Command) {
	for i := range r.Tasks {
		t := &r.Tasks[i]
		id, _, err := state.ParseTaskID(t.TaskID)
		if err != nil || t.State == wire.TaskExited {
			continue
		}
		if j, _, ok := l.Replica.Job(id); ok && j.IsFinal() {
			stops = append(stops, stopAtOnce(t))
		}
	}
	return stops
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
	l.gangs.ObserveExit(j, task, a, t)
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
		l.scheduler.CountCompletion()
		l.gangs.Complete(j)
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

func clearCommand(t *wire.TaskStatus) wire.Command {
	return wire.Command{Verb: wire.VerbClear, TaskID: t.TaskID, Attempt: t.Attempt}
}

// commandsForMachine are the commands for a machine that has just reported.
func (l *Leader) commandsForMachine(m *state.Machine, now micros.Micros) (orders []wire.Command) {
	// Stops first, and all of them: an answer that renews the lease must not leave one out.
	// There are no more than tasks on the machine.
	orders = make([]wire.Command, 0, len(m.Delivery.FollowUps)+m.StoppingCount+len(m.Planned))
	for name, a := range m.Attempts {
		if a.StopRequestedAt != 0 && a.Number != 0 {
			orders = append(orders, wire.Command{Verb: wire.VerbStop, TaskID: name, Attempt: a.Number, GracePeriodS: secondsPtr(a.GracePeriod)})
		}
	}
	for _, c := range m.Delivery.FollowUps {
		if c.Verb == wire.VerbStop || len(orders) < maxCommands {
			orders = append(orders, c)
		}
	}
	defer func() {
		m.Delivery.Sent = m.Delivery.Sent[:0]
		for _, c := range orders {
			if c.Verb != wire.VerbStop {
				m.Delivery.Sent = append(m.Delivery.Sent, c)
			}
		}
	}()
	if !l.canReceiveStarts(m, now) {
		return orders
	}
	l.scheduler.FillMachine(m, now)
	orders = l.gangs.AppendStarts(m, orders, maxCommands)
	for _, j := range m.Planned {
		if len(orders) >= maxCommands || j.Ended || j.StartableTasks(now) == 0 || !m.Free.Fits(j.Need) || !l.canStartTask(j, m) {
			continue
		}
		task, ok := j.TakeWaitingTask()
		if !ok {
			continue
		}
		n := l.nextAttemptNumber()
		a := &state.Attempt{Job: j, Index: task, Number: n, Machine: m, StartSequence: m.Heartbeat.Sequence, StartedAt: now, Protected: scheduler.ProtectsNextStart(j)}
		if a.Protected {
			j.ProtectedTasks++
		}
		l.assign(a)
		orders = append(orders, wire.Command{Verb: wire.VerbStart, TaskID: state.TaskID(j.Spec.ID, task), Attempt: n})
	}
	m.Planned = m.Planned[:0]
	return orders
}

// canStartTask tells whether a task of a job may begin on a machine as things are at this
// moment. Plans see to all this, but are older: since then a machine may have shown tasks
// that nobody knew of, or jobs may have lost the tasks that bound them to a zone.
func (l *Leader) canStartTask(j *state.Job, m *state.Machine) bool {
	return l.canStartTasks(j, m, 1)
}

// canStartTasks tells it of so many more tasks; none more: of one that has its place there.
func (l *Leader) canStartTasks(j *state.Job, m *state.Machine, more int) bool {
	s := j.Spec
	if len(s.InstanceTypes) > 0 && !slices.Contains(s.InstanceTypes, m.Offering.Type) || s.Zone != "" && s.Zone != m.Offering.Zone || m.Offering.Spot && !s.AllowSpot {
		return false
	}
	if !l.workload.WithinLimit(s.Team, l.teamUsage[s.Team].Add(l.unknownUsage, 1).Add(j.Need, int64(more))) {
		return false
	}
	if !s.SingleZone && !s.SpreadZones {
		return true
	}
	here := j.AttemptsPerZone[m.Offering.Zone]
	return (!s.SingleZone || here == len(j.Attempts)) && (!s.SpreadZones || 2*(here+more) <= s.Tasks+1)
}

// nextAttemptNumber is a new number for a start: rising across terms without a write, as the
// term's token stands above.
func (l *Leader) nextAttemptNumber() uint64 {
	l.attempts++
	return l.FencingToken<<32 | l.attempts
}

// canReceiveStarts tells whether tasks may be started on a machine now.
func (l *Leader) canReceiveStarts(m *state.Machine, now micros.Micros) bool {
	return m.IsSchedulable(now) && l.Term.IsExclusive()
}

// drainOnInterruption empties a machine that the cloud will take.
func (l *Leader) drainOnInterruption(m *state.Machine, now micros.Micros) {
	if m.Heartbeat.InterruptionAt == 0 {
		return
	}
	if m.DrainReason == "" {
		m.DrainReason = "spot notice"
		l.scheduler.RequestPlan()
	}
	for _, a := range m.Attempts {
		s := a.Job.Spec
		if a.Job.IsGang() {
			l.gangs.EvictTask(a, max(state.CheckpointGrace(a.Job), m.Heartbeat.InterruptionAt-now), "its spot machine is being taken", now)
		} else if s.CheckpointIntervalS > 0 && a.StopRequestedAt == 0 {
			l.stopTask(a, max(micros.FromSeconds(s.CheckpointDurationS), m.Heartbeat.InterruptionAt-now), "its spot machine is being taken")
		}
	}
}

// adoptUnknownMachine handles a machine that no answered booking explains: a rental
// carried out late.
func (l *Leader) adoptUnknownMachine(r *wire.Heartbeat, now micros.Micros) error {
	if l.fleet.WasTerminated(r.MachineID) {
		return ErrCannotRespond
	}
	offering := state.Offering{Type: r.InstanceType, Zone: r.Zone, Spot: r.Spot}
	if l.fleet.HasOpenIntent(offering) {
		return nil // the answer to its launch will name it
	}
	if r.FencingToken != l.FencingToken {
		// It may be a late copy, and its machine long gone: taken for a machine it would
		// count as supply, and a next leader would wait for what it may hold. The answer
		// tells a live one this term's token, and it reports again at once.
		return nil
	}
	l.fleet.Adopt(r.MachineID, offering, now)
	return nil
}

// commandTarget is where a machine takes direct commands. These are also part of the responses to
// its heartbeats until they are obeyed, so a failure of a direct call needs no care.
func commandTarget(m *state.Machine) dispatch.Target {
	return dispatch.Target{MachineID: m.ID, Address: m.Instance.Address, Incarnation: m.Heartbeat.Incarnation}
}
