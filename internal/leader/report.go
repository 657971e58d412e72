package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

// ErrCannotRespond says that this node must not answer a report now.
var ErrCannotRespond = errors.New("not entitled to answer")

// maxCommands keeps an answer to a worker well within wire.MaxBody.
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
	m := l.machines[r.MachineID]
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
		l.termLostOnce.Do(func() { close(l.termLost) })
		return false
	}
	return l.ready && !l.handingOver && now < l.Term.LastConfirmed()+l.Settings.Params.Workers.LeaseRenewalWindow()
}

// acceptsHeartbeat tells whether a known machine's report is to be answered.
func (l *Leader) acceptsHeartbeat(m *machine, r *wire.Heartbeat, now micros.Micros) bool {
	if !l.Term.IsExclusive() && now-m.lease.deferredAt > deferralWindow {
		// Another node may lead by now. A worker that finds no other answer
		// comes back and has its lease renewed.
		m.lease.deferredAt = now
		return false
	}
	// A late copy is refused. Its worker gave up waiting for the answer.
	late := r.Incarnation < m.heartbeat.incarnation || r.Incarnation == m.heartbeat.incarnation && r.Sequence <= m.heartbeat.sequence
	return !late
}

// endEarlierIncarnation frees the tasks of a worker's session when a later one reports.
func (l *Leader) endEarlierIncarnation(m *machine, r *wire.Heartbeat) {
	if m.heartbeat.incarnation == 0 || r.Incarnation <= m.heartbeat.incarnation {
		return
	}
	// That an earlier session ended says nothing of what earlier terms started in this
	// one: a report held back from before a take-over may be all that is known of it.
	knowledge := m.reconciliation.knowledge
	l.releaseAll(m, "the worker's session ended")
	m.reconciliation.knowledge = knowledge
	m.reconciliation.queriedSequence = 0
	m.delivery.sent = m.delivery.sent[:0]
}

// recordHeartbeat notes what a report tells besides the tasks.
func (l *Leader) recordHeartbeat(m *machine, r *wire.Heartbeat, now micros.Micros) {
	m.heartbeat.incarnation, m.heartbeat.sequence, m.instance.address = r.Incarnation, r.Sequence, r.Address
	l.checkZone(m, r)
	m.heartbeat.receivedAt = now
	m.lease.renewedAt = now
	m.heartbeat.interruptionAt = 0
	if r.InterruptionNoticeS != nil {
		m.heartbeat.interruptionAt = now + micros.FromSeconds(*r.InterruptionNoticeS)
	}
	if m.instance.firstHeartbeatAt == 0 {
		m.instance.firstHeartbeatAt = now
		if !m.instance.running {
			l.recordBoot(m, now)
		}
	}
	if !m.instance.running {
		l.registerRunning(m)
	}
}

// reconcileIfCurrent takes over the tasks of a report that is a snapshot of its machine.
func (l *Leader) reconcileIfCurrent(m *machine, r *wire.Heartbeat, now micros.Micros) {
	// One that is older than what the machine answered when asked tells nothing new.
	m.heartbeat.ofThisTerm = r.FencingToken == l.FencingToken && r.Sequence > m.reconciliation.queriedSequence
	if !m.heartbeat.ofThisTerm && m.delivery.respondedThisTerm {
		l.recordLostResponse(m, now)
	}
	m.delivery.respondedThisTerm = true
	if m.heartbeat.ofThisTerm {
		l.observeZoneReturn(m, now)
		l.reconcile(m, r, now)
	} else {
		// The answer may renew the machine's lease, whatever is thought of the report.
		m.delivery.followUps = l.stopsForEndedJobs(r)
	}
}

// planCommands plans anew if that is due, and gives the orders for the machine that reports.
func (l *Leader) planCommands(m *machine, now micros.Micros) []wire.Command {
	l.responding = m
	defer func() { l.responding = nil }()
	l.planIfNeeded(now)
	return l.commandsForMachine(m, now)
}

// reconcile compares a report with what should be on the machine. The report
// carries this term's token, so the worker made it after it had accepted an
// answer of this term: starts of earlier terms can no longer be executed.
func (l *Leader) reconcile(m *machine, r *wire.Heartbeat, now micros.Micros) {
	confirmed := m.tasksConfirmed()
	if !confirmed {
		m.reconciliation.knowledge = tasksConfirmed
		l.replan = true
	}
	listed := make(map[string]bool, len(r.Tasks))
	for i := range r.Tasks {
		listed[r.Tasks[i].TaskID] = true
	}
	l.checkDelivery(m, listed, now)
	m.delivery.followUps = m.delivery.followUps[:0]
	for i := range r.Tasks {
		l.observeTask(m, &r.Tasks[i], now)
	}
	for name, a := range m.attempts {
		// A worker has one report in flight, and drops late answers: if the
		// start that went with an earlier report's answer does not show in a
		// newer report, it never will.
		if !listed[name] && a.startSequence < r.Sequence && !a.reserved {
			l.release(a, "the start was lost")
		}
	}
	if !confirmed {
		l.restorePoolMembership(m)
	}
}

// checkDelivery compares a report with what the answer before it told. A machine
// whose reports arrive while answers don't reach it looks healthy: fed with work, it
// would lose every start until its lease ends.
func (l *Leader) checkDelivery(m *machine, listed map[string]bool, now micros.Micros) {
	obeyed, missed := false, false
	for _, c := range m.delivery.sent {
		if listed[c.TaskID] == (c.Verb == wire.VerbStart) {
			obeyed = true
		} else {
			missed = true
		}
	}
	m.delivery.sent = m.delivery.sent[:0]
	switch {
	case obeyed:
		m.delivery.lostResponses = 0
	case missed:
		l.recordLostResponse(m, now)
	}
}

// recordLostResponse counts an answer that did not reach a machine. One may get lost; from the
// second in a row on, starts wait longer each time. See superviseMachines for what
// becomes of a machine that hears nothing at all.
func (l *Leader) recordLostResponse(m *machine, now micros.Micros) {
	if m.delivery.lostResponses == 0 {
		m.delivery.losingSince = now
	}
	m.delivery.lostResponses++
	if m.delivery.lostResponses >= 2 {
		m.startBackoffUntil = max(m.startBackoffUntil, now+min(l.leaseDuration, micros.Second<<min(m.delivery.lostResponses, 10)))
	}
}

// refreshImageSet takes anew what images a machine has or is fetching.
func (l *Leader) refreshImageSet(m *machine) {
	var s placement.ImageSet
	for _, name := range m.images.names {
		s = s.With(l.imageIndex(name))
	}
	for _, a := range m.attempts {
		s = s.With(a.job.image)
	}
	m.imageSet = s
}

// observeTask takes over one task of a report.
func (l *Leader) observeTask(m *machine, t *wire.TaskStatus, now micros.Micros) {
	a := m.attempts[t.TaskID]
	if a != nil && t.State == wire.TaskExited && a.number != t.Attempt && t.ExitReason != wire.ExitDone {
		// An older attempt that was not cleared yet, or a refusal of a newer
		// one that never ran; what should be on the machine is not it.
		if t.Attempt > a.number && t.ExitReason != wire.ExitOtherAttemptPresent {
			l.release(a, "the worker shows another attempt")
		}
		m.delivery.followUps = append(m.delivery.followUps, clearCommand(t))
		return
	}
	if a != nil && a.number == t.Attempt && a.reportedState == "" && a.startSequence != 0 {
		l.zoneCounters(m).startsSeen++
	}
	id, task, err := parseTaskID(t.TaskID)
	j := l.jobs[id]
	if a != nil {
		j = a.job
	} else if j == nil {
		j = l.cancelledJob(id)
	}
	switch {
	case err != nil || j == nil || task >= j.spec.Tasks:
		l.rejectTask(m, t)
	case t.State != wire.TaskExited:
		l.observePresentTask(m, j, task, a, t, now)
	case a != nil && a.reserved && t.ExitReason != wire.ExitDone:
		// An earlier start of the same attempt, for whose place this one is held.
		m.delivery.followUps = append(m.delivery.followUps, clearCommand(t))
	default:
		l.observeExit(m, j, task, a, t, now)
	}
}

// rejectTask has a task that belongs to no job stopped, or cleared if it has ended.
func (l *Leader) rejectTask(m *machine, t *wire.TaskStatus) {
	if t.State == wire.TaskExited {
		m.delivery.followUps = append(m.delivery.followUps, clearCommand(t))
		return
	}
	l.sendDirect(m, stopAtOnce(t))
	m.delivery.followUps = append(m.delivery.followUps, stopAtOnce(t))
}

// observePresentTask takes over a task that is on its machine. a is nil if it was not known there.
func (l *Leader) observePresentTask(m *machine, j *job, task int, a *attempt, t *wire.TaskStatus, now micros.Micros) {
	if a == nil {
		if a = l.adoptTask(m, j, task, t, now); a == nil {
			return
		}
	}
	if a.number != t.Attempt || a.reserved {
		a.number, a.reserved = t.Attempt, false
		l.publishAssigned(a)
	}
	if t.State == wire.TaskRunning && a.runningSince == 0 {
		l.recordRunning(m, a, now)
	}
	if t.State != a.reportedState && !wire.IsKnownTaskState(t.State) {
		l.aggregatedLog.add(fmt.Sprintf("a task's state is unknown, it is taken to be there: %.40q", t.State), m.id)
	}
	a.reportedState = t.State
	l.observeGangTask(a, now)
}

// adoptTask counts a task as being on a machine that was not known to have it. It has the
// task stopped instead, and gives nil, if that is done or on another machine.
func (l *Leader) adoptTask(m *machine, j *job, task int, t *wire.TaskStatus, now micros.Micros) *attempt {
	if other := j.attempts[task]; other != nil && other.reserved {
		l.releaseReservation(other, "an earlier start of it is on "+m.id)
	}
	if other := j.attempts[task]; !j.ended && (other != nil && other.machine != m || j.done.has(task)) {
		m.delivery.followUps = append(m.delivery.followUps, stopAtOnce(t))
		return nil
	}
	a := &attempt{job: j, index: task, number: t.Attempt, machine: m, startedAt: now}
	l.assign(a)
	if j.ended {
		l.stopTask(a, 0, "job is over")
	}
	return a
}

// recordRunning notes that a task was seen running for the first time.
func (l *Leader) recordRunning(m *machine, a *attempt, now micros.Micros) {
	j := a.job
	a.runningSince = now
	if j.attempts[a.index] == a {
		j.runningCount++
	}
	j.lastStart = micros.Wall()
	if j.firstStart == 0 {
		j.firstStart = j.lastStart
	}
	if mt := l.types[m.offering.Type]; mt != nil {
		m.images.use(j.spec.Image, j.spec.ImageSizeGB, mt.ImageCacheGB)
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
		id, _, err := parseTaskID(t.TaskID)
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
func (l *Leader) cancelledJob(id string) *job {
	if j := l.cancelledJobs[id]; j != nil {
		return j
	}
	r, _, ok := l.Replica.Job(id)
	if !ok || !r.IsFinal() || r.Spec == nil {
		return nil
	}
	j := newJob(r, true)
	j.ended = true
	j.image = l.imageIndex(j.spec.Image)
	l.cancelledJobs[id] = j
	return j
}

// observeExit takes over a task that has ended on its machine.
func (l *Leader) observeExit(m *machine, j *job, task int, a *attempt, t *wire.TaskStatus, now micros.Micros) {
	if t.ExitReason == wire.ExitDone && j.spec.Kind != wire.KindService {
		l.observeCompletion(m, j, task, a, t, now)
		return
	}
	if !wire.IsKnownExitReason(t.ExitReason) {
		l.aggregatedLog.add(fmt.Sprintf("a task ended for an unknown cause: %.40q", t.ExitReason), m.id)
	}
	m.delivery.followUps = append(m.delivery.followUps, clearCommand(t))
	l.observeGangExit(j, task, a, t)
	if a == nil {
		return
	}
	switch t.ExitReason {
	case wire.ExitError:
		j.failures.count++
		j.failures.lastMachine = m.id
		if a.runningSince != 0 {
			j.failures.longestRun = max(j.failures.longestRun, now-a.runningSince)
		}
		l.attributeFailure(m, j, now)
	case wire.ExitInsufficientResources:
		// Our count of what is free was wrong: wait for the next reports.
		m.startBackoffUntil = now + 2*l.heartbeatInterval
	case wire.ExitJobNotFound:
		// The worker cannot find the job yet.
		j.backoffUntil = now + 5*micros.Second
		j.backoffReason = "the workers do not find its description"
	case wire.ExitOtherAttemptPresent:
		// Another attempt of the task is there; the report lists it too.
	}
	l.release(a, "ended: "+t.ExitReason)
}

// observeCompletion takes over a task that is done.
func (l *Leader) observeCompletion(m *machine, j *job, task int, a *attempt, t *wire.TaskStatus, now micros.Micros) {
	if !j.done.has(task) && !j.ended {
		j.done.set(task)
		j.doneCount++
		l.recordSuccess(m, j, a, now)
		if a != nil {
			l.learnFromCompletion(j, m, a, now)
		}
		l.dirty[progressKey(j.spec.ID, task/chunkTasks)] = true
		l.completions.count++
		l.completeGang(j)
	} else if a != nil && j.isGang() && !j.ended {
		l.learnFromCompletion(j, m, a, now)
	}
	if a != nil {
		l.release(a, "")
	}
	if other := j.attempts[task]; other != nil {
		l.stopTask(other, 0, "done elsewhere")
	}
	l.finishIfDone(j)
	// The worker keeps the result until it is surely stored.
	if j.ended || j.storedDone.has(task) {
		m.delivery.followUps = append(m.delivery.followUps, clearCommand(t))
	}
	l.wakeFlush()
}

func clearCommand(t *wire.TaskStatus) wire.Command {
	return wire.Command{Verb: wire.VerbClear, TaskID: t.TaskID, Attempt: t.Attempt}
}

// commandsForMachine are the commands for a machine that has just reported.
func (l *Leader) commandsForMachine(m *machine, now micros.Micros) (orders []wire.Command) {
	// Stops first, and all of them: an answer that renews the lease must not leave one out.
	// There are no more than tasks on the machine.
	orders = make([]wire.Command, 0, len(m.delivery.followUps)+m.stoppingCount+len(m.planned))
	for name, a := range m.attempts {
		if a.stopRequestedAt != 0 && a.number != 0 {
			orders = append(orders, wire.Command{Verb: wire.VerbStop, TaskID: name, Attempt: a.number, GracePeriodS: secondsPtr(a.gracePeriod)})
		}
	}
	for _, c := range m.delivery.followUps {
		if c.Verb == wire.VerbStop || len(orders) < maxCommands {
			orders = append(orders, c)
		}
	}
	defer func() {
		m.delivery.sent = m.delivery.sent[:0]
		for _, c := range orders {
			if c.Verb != wire.VerbStop {
				m.delivery.sent = append(m.delivery.sent, c)
			}
		}
	}()
	if !l.canReceiveStarts(m, now) {
		return orders
	}
	l.fillMachine(m, now)
	orders = l.commandReservedStarts(m, orders)
	for _, j := range m.planned {
		if len(orders) >= maxCommands || j.ended || j.startableTasks(now) == 0 || !m.free.Fits(j.need) || !l.canStartTask(j, m) {
			continue
		}
		task, ok := j.takeWaitingTask()
		if !ok {
			continue
		}
		n := l.nextAttemptNumber()
		a := &attempt{job: j, index: task, number: n, machine: m, startSequence: m.heartbeat.sequence, startedAt: now, protected: j.protectedTasks < 1+j.spec.Tasks/agingDivisor}
		if a.protected {
			j.protectedTasks++
		}
		l.assign(a)
		orders = append(orders, wire.Command{Verb: wire.VerbStart, TaskID: taskID(j.spec.ID, task), Attempt: n})
	}
	m.planned = m.planned[:0]
	return orders
}

// canStartTask tells whether a task of a job may begin on a machine as things are at this
// moment. Plans see to all this, but are older: since then a machine may have shown tasks
// that nobody knew of, or jobs may have lost the tasks that bound them to a zone.
func (l *Leader) canStartTask(j *job, m *machine) bool { return l.canStartTasks(j, m, 1) }

// canStartTasks tells it of so many more tasks; none more: of one that has its place there.
func (l *Leader) canStartTasks(j *job, m *machine, more int) bool {
	s := j.spec
	if len(s.InstanceTypes) > 0 && !slices.Contains(s.InstanceTypes, m.offering.Type) || s.Zone != "" && s.Zone != m.offering.Zone || m.offering.Spot && !s.AllowSpot {
		return false
	}
	if t := l.teams[s.Team]; t.MaxCPUs > 0 || t.MaxGPUs > 0 {
		used := l.teamUsage[s.Team].Add(l.unknownUsage, 1).Add(j.need, int64(more))
		if t.MaxCPUs > 0 && used.CPU > floor(t.MaxCPUs) || t.MaxGPUs > 0 && used.GPU > floor(t.MaxGPUs) {
			return false
		}
	}
	if !s.SingleZone && !s.SpreadZones {
		return true
	}
	here := j.attemptsPerZone[m.offering.Zone]
	return (!s.SingleZone || here == len(j.attempts)) && (!s.SpreadZones || 2*(here+more) <= s.Tasks+1)
}

// nextAttemptNumber is a new number for a start: rising across terms without a write, as the
// term's token stands above.
func (l *Leader) nextAttemptNumber() uint64 {
	l.attempts++
	return l.FencingToken<<32 | l.attempts
}

// canReceiveStarts tells whether tasks may be started on a machine now.
func (l *Leader) canReceiveStarts(m *machine, now micros.Micros) bool {
	return m.isSchedulable(now) && l.Term.IsExclusive()
}

// isSchedulable tells what of that is the machine's part. Its last report must have been
// made in this term: a late copy of an older one, perhaps of a machine that is long
// gone, must not draw tasks.
func (m *machine) isSchedulable(now micros.Micros) bool {
	return m.instance.running && m.tasksKnown() && m.heartbeat.ofThisTerm && !m.instance.terminating && m.drainReason == "" && m.heartbeat.interruptionAt == 0 && now >= m.startBackoffUntil && m.instance.intentStored && m.instance.listStored
}

// drainOnInterruption empties a machine that the cloud will take.
func (l *Leader) drainOnInterruption(m *machine, now micros.Micros) {
	if m.heartbeat.interruptionAt == 0 {
		return
	}
	if m.drainReason == "" {
		m.drainReason = "spot notice"
		l.replan = true
	}
	for _, a := range m.attempts {
		s := a.job.spec
		if a.job.isGang() {
			l.evictGangTask(a, max(checkpointGrace(a.job), m.heartbeat.interruptionAt-now), "its spot machine is being taken", now)
		} else if s.CheckpointIntervalS > 0 && a.stopRequestedAt == 0 {
			l.stopTask(a, max(micros.FromSeconds(s.CheckpointDurationS), m.heartbeat.interruptionAt-now), "its spot machine is being taken")
		}
	}
}

// adoptUnknownMachine handles a machine that no answered booking explains: a rental
// carried out late.
func (l *Leader) adoptUnknownMachine(r *wire.Heartbeat, now micros.Micros) error {
	if l.terminated[r.MachineID] {
		return ErrCannotRespond
	}
	for _, b := range l.intents {
		if !b.Answered && b.Type == r.InstanceType && b.Zone == r.Zone && b.Spot == r.Spot {
			return nil // the booking's answer will name it
		}
	}
	if r.FencingToken != l.FencingToken {
		// It may be a late copy, and its machine long gone: taken for a machine it would
		// count as supply, and a next leader would wait for what it may hold. The answer
		// tells a live one this term's token, and it reports again at once.
		return nil
	}
	b := &launchIntent{
		id: "x-" + r.MachineID, Type: r.InstanceType, Zone: r.Zone, Spot: r.Spot, Count: 1, Answered: true,
		Machines: []string{r.MachineID}, At: micros.Wall(),
	}
	slog.Info("adopting a machine", "machine", r.MachineID)
	l.intents[b.id] = b
	l.addMachine(r.MachineID, b, now)
	l.markIntent(b)
	return nil
}

// sendDirect sends a stop straight to a worker. It is also part of the answers to
// the worker's reports until it is obeyed, so a failure here needs no care.
// The answer is not used: a report made there may be newer than the last and
// still lack a start that is on its way.
func (l *Leader) sendDirect(m *machine, c wire.Command) {
	if m.instance.address == "" || !l.Term.IsExclusive() {
		return
	}
	select {
	case l.slots <- struct{}{}:
	default:
		return
	}
	address, body := m.instance.address, wire.CommandRequest{FencingToken: l.FencingToken, Incarnation: m.heartbeat.incarnation, Commands: []wire.Command{c}}
	go func() {
		defer func() { <-l.slots }()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		if _, _, err := wire.Call(ctx, l.WorkerClient, http.MethodPost, "http://"+address+"/commands", body); err != nil {
			slog.Debug("direct command", "machine", address, "error", err)
		}
	}()
}
