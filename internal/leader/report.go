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

// maxOrders keeps an answer to a worker well within wire.MaxBody.
const maxOrders = 300

// bounceAgain is how long a worker that was sent away in doubt may come back
// for an answer.
const bounceAgain = 15 * micros.Second

// HandleHeartbeat takes a worker's report and answers with its orders.
func (l *Leader) HandleHeartbeat(r *wire.Heartbeat) (wire.HeartbeatResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := micros.Now()
	answer := wire.HeartbeatResponse{FencingToken: l.FencingToken, Commands: []wire.Command{}}
	if !l.mayAnswer(r, now) {
		return answer, ErrCannotRespond
	}
	// What this node has told a user, or was told by a peer, holds for the answer: no
	// task of a job that is known here as cancelled may start.
	l.takeChanges()
	m := l.machines[r.MachineID]
	if m == nil {
		answer.Commands = append(answer.Commands, l.stopsOf(r)...)
		return answer, l.unknown(r, now)
	}
	if !l.accepts(m, r, now) {
		return answer, ErrCannotRespond
	}
	l.endEarlierSession(m, r)
	l.recordReport(m, r, now)
	l.takeTasks(m, r, now)
	l.drainOnNotice(m, now)
	l.publishMachine(m)
	answer.Commands = l.planOrders(m, now)
	return answer, nil
}

// mayAnswer tells whether this node may answer a report now. A report with a higher
// token ends the term.
func (l *Leader) mayAnswer(r *wire.Heartbeat, now micros.Micros) bool {
	if l.superseded || r.FencingToken > l.FencingToken {
		l.superseded = true
		l.lostOnce.Do(func() { close(l.lost) })
		return false
	}
	return l.ready && !l.handing && now < l.Term.LastConfirmed()+l.Settings.Params.Workers.LeaseRenewalWindow()
}

// accepts tells whether a known machine's report is to be answered.
func (l *Leader) accepts(m *machine, r *wire.Heartbeat, now micros.Micros) bool {
	if !l.Term.IsExclusive() && now-m.bounced > bounceAgain {
		// Another node may lead by now. A worker that finds no other answer
		// comes back and has its lease renewed.
		m.bounced = now
		return false
	}
	// A late copy is refused. Its worker gave up waiting for the answer.
	late := r.Incarnation < m.session || r.Incarnation == m.session && r.Sequence <= m.seq
	return !late
}

// endEarlierSession frees the tasks of a worker's session when a later one reports.
func (l *Leader) endEarlierSession(m *machine, r *wire.Heartbeat) {
	if m.session == 0 || r.Incarnation <= m.session {
		return
	}
	// That an earlier session ended says nothing of what earlier terms started in this
	// one: a report held back from before a take-over may be all that is known of it.
	resolved, unconfirmed := m.resolved, m.unconfirmed
	l.lose(m, "the worker's session ended")
	m.resolved, m.unconfirmed = resolved, unconfirmed
	m.asked = 0
	m.sent = m.sent[:0]
}

// recordReport notes what a report tells besides the tasks.
func (l *Leader) recordReport(m *machine, r *wire.Heartbeat, now micros.Micros) {
	m.session, m.seq, m.address = r.Incarnation, r.Sequence, r.Address
	l.checkZone(m, r)
	m.reported = now
	m.answered = now
	m.recallAt = 0
	if r.InterruptionNoticeS != nil {
		m.recallAt = now + micros.FromSeconds(*r.InterruptionNoticeS)
	}
	if m.first == 0 {
		m.first = now
		if !m.up {
			l.booted(m, now)
		}
	}
	if !m.up {
		l.markUp(m)
	}
}

// takeTasks takes over the tasks of a report that is a snapshot of its machine.
func (l *Leader) takeTasks(m *machine, r *wire.Heartbeat, now micros.Micros) {
	// One that is older than what the machine answered when asked tells nothing new.
	m.current = r.FencingToken == l.FencingToken && r.Sequence > m.asked
	if !m.current && m.told {
		l.unheard(m, now)
	}
	m.told = true
	if m.current {
		l.heardAnew(m, now)
		l.reconcile(m, r, now)
	} else {
		// The answer may renew the machine's lease, whatever is thought of the report.
		m.clears = l.stopsOf(r)
	}
}

// planOrders plans anew if that is due, and gives the orders for the machine that reports.
func (l *Leader) planOrders(m *machine, now micros.Micros) []wire.Command {
	l.answering = m
	defer func() { l.answering = nil }()
	l.planIfNeeded(now)
	return l.orders(m, now)
}

// reconcile compares a report with what should be on the machine. The report
// carries this term's token, so the worker made it after it had accepted an
// answer of this term: starts of earlier terms can no longer be executed.
func (l *Leader) reconcile(m *machine, r *wire.Heartbeat, now micros.Micros) {
	confirmed := m.confirmed()
	if !confirmed {
		m.resolved, m.unconfirmed = true, false
		l.replan = true
	}
	listed := make(map[string]bool, len(r.Tasks))
	for i := range r.Tasks {
		listed[r.Tasks[i].TaskID] = true
	}
	l.judgeHearing(m, listed, now)
	m.clears = m.clears[:0]
	for i := range r.Tasks {
		l.listed(m, &r.Tasks[i], now)
	}
	for name, a := range m.tasks {
		// A worker has one report in flight, and drops late answers: if the
		// start that went with an earlier report's answer does not show in a
		// newer report, it never will.
		if !listed[name] && a.sentAt < r.Sequence && !a.reserved {
			l.ended(a, "the start was lost")
		}
	}
	if !confirmed {
		l.rejoinReserve(m)
	}
}

// judgeHearing compares a report with what the answer before it told. A machine
// whose reports arrive while answers don't reach it looks healthy: fed with work, it
// would lose every start until its lease ends.
func (l *Leader) judgeHearing(m *machine, listed map[string]bool, now micros.Micros) {
	obeyed, missed := false, false
	for _, c := range m.sent {
		if listed[c.TaskID] == (c.Verb == wire.VerbStart) {
			obeyed = true
		} else {
			missed = true
		}
	}
	m.sent = m.sent[:0]
	switch {
	case obeyed:
		m.notReceiving = 0
	case missed:
		l.unheard(m, now)
	}
}

// unheard counts an answer that did not reach a machine. One may get lost; from the
// second in a row on, starts wait longer each time. See watchMachines for what
// becomes of a machine that hears nothing at all.
func (l *Leader) unheard(m *machine, now micros.Micros) {
	if m.notReceiving == 0 {
		m.notReceivingSince = now
	}
	m.notReceiving++
	if m.notReceiving >= 2 {
		m.notUntil = max(m.notUntil, now+min(l.lease, micros.Second<<min(m.notReceiving, 10)))
	}
}

// countImages takes anew what images a machine has or is fetching.
func (l *Leader) countImages(m *machine) {
	var s placement.ImageSet
	for _, name := range m.images.names {
		s = s.With(l.image(name))
	}
	for _, a := range m.tasks {
		s = s.With(a.job.image)
	}
	m.have = s
}

// listed takes over one task of a report.
func (l *Leader) listed(m *machine, t *wire.TaskStatus, now micros.Micros) {
	a := m.tasks[t.TaskID]
	if a != nil && t.State == wire.TaskExited && a.n != t.Attempt && t.ExitReason != wire.ExitDone {
		// An older attempt that was not cleared yet, or a refusal of a newer
		// one that never ran; what should be on the machine is not it.
		if t.Attempt > a.n && t.ExitReason != wire.ExitOtherAttemptPresent {
			l.ended(a, "the worker shows another attempt")
		}
		m.clears = append(m.clears, clearCommand(t))
		return
	}
	if a != nil && a.n == t.Attempt && a.state == "" && a.sentAt != 0 {
		l.zoneCounters(m).started++
	}
	id, task, err := parseTask(t.TaskID)
	j := l.jobs[id]
	if a != nil {
		j = a.job
	} else if j == nil {
		j = l.orphan(id)
	}
	switch {
	case err != nil || j == nil || task >= j.spec.Tasks:
		l.rejectTask(m, t)
	case t.State != wire.TaskExited:
		l.present(m, j, task, a, t, now)
	case a != nil && a.reserved && t.ExitReason != wire.ExitDone:
		// An earlier start of the same attempt, for whose place this one is held.
		m.clears = append(m.clears, clearCommand(t))
	default:
		l.exited(m, j, task, a, t, now)
	}
}

// rejectTask has a task that belongs to no job stopped, or cleared if it has ended.
func (l *Leader) rejectTask(m *machine, t *wire.TaskStatus) {
	if t.State == wire.TaskExited {
		m.clears = append(m.clears, clearCommand(t))
		return
	}
	l.direct(m, stopAtOnce(t))
	m.clears = append(m.clears, stopAtOnce(t))
}

// present takes over a task that is on its machine. a is nil if it was not known there.
func (l *Leader) present(m *machine, j *job, task int, a *attempt, t *wire.TaskStatus, now micros.Micros) {
	if a == nil {
		if a = l.adopt(m, j, task, t, now); a == nil {
			return
		}
	}
	if a.n != t.Attempt || a.reserved {
		a.n, a.reserved = t.Attempt, false
		l.publishPlaced(a)
	}
	if t.State == wire.TaskRunning && a.running == 0 {
		l.noteRunning(m, a, now)
	}
	if t.State != a.state && !wire.IsKnownTaskState(t.State) {
		l.tallies.add(fmt.Sprintf("a task's state is unknown, it is taken to be there: %.40q", t.State), m.id)
	}
	a.state = t.State
	l.gangListed(a, now)
}

// adopt counts a task as being on a machine that was not known to have it. It has the
// task stopped instead, and gives nil, if that is done or on another machine.
func (l *Leader) adopt(m *machine, j *job, task int, t *wire.TaskStatus, now micros.Micros) *attempt {
	if other := j.on[task]; other != nil && other.reserved {
		l.release(other, "an earlier start of it is on "+m.id)
	}
	if other := j.on[task]; !j.over && (other != nil && other.machine != m || j.done.has(task)) {
		m.clears = append(m.clears, stopAtOnce(t))
		return nil
	}
	a := &attempt{job: j, task: task, n: t.Attempt, machine: m, began: now}
	l.hold(a)
	if j.over {
		l.stop(a, 0, "job is over")
	}
	return a
}

// noteRunning notes that a task was seen running for the first time.
func (l *Leader) noteRunning(m *machine, a *attempt, now micros.Micros) {
	j := a.job
	a.running = now
	if j.on[a.task] == a {
		j.running++
	}
	j.lastStart = micros.Wall()
	if j.firstStart == 0 {
		j.firstStart = j.lastStart
	}
	if mt := l.types[m.kind.Type]; mt != nil {
		m.images.use(j.spec.Image, j.spec.ImageSizeGB, mt.ImageCacheGB)
		l.countImages(m)
	}
}

// stopAtOnce stops a reported task without time to save.
func stopAtOnce(t *wire.TaskStatus) wire.Command {
	return wire.Command{Verb: wire.VerbStop, TaskID: t.TaskID, Attempt: t.Attempt, GracePeriodS: seconds(0)}
}

// stopsOf has the tasks of jobs that are over stopped by the answer to a report which is
// not taken for the machine's snapshot. Every answer that renews a lease must do that: one
// that came first after a take-over, to a machine which then heard nothing more, kept
// cancelled tasks for a lease too long.
func (l *Leader) stopsOf(r *wire.Heartbeat) (stops []wire.Command) {
	for i := range r.Tasks {
		t := &r.Tasks[i]
		id, _, err := parseTask(t.TaskID)
		if err != nil || t.State == wire.TaskExited {
			continue
		}
		if j, _, ok := l.Replica.Job(id); ok && j.IsFinal() {
			stops = append(stops, stopAtOnce(t))
		}
	}
	return stops
}

// orphan is a job that was cancelled before this term saw it, but that a machine still
// has tasks of: they were not told to stop, or the machine hung. Until they are gone they
// take their places, and count against their team's limit; when they did not, a leader that
// took over from one which had been cut off filled the team up beside them.
func (l *Leader) orphan(id string) *job {
	if j := l.orphans[id]; j != nil {
		return j
	}
	r, _, ok := l.Replica.Job(id)
	if !ok || !r.IsFinal() || r.Spec == nil {
		return nil
	}
	j := newJob(r, true)
	j.over = true
	j.image = l.image(j.spec.Image)
	l.orphans[id] = j
	return j
}

// exited takes over a task that has ended on its machine.
func (l *Leader) exited(m *machine, j *job, task int, a *attempt, t *wire.TaskStatus, now micros.Micros) {
	if t.ExitReason == wire.ExitDone && j.spec.Kind != wire.KindService {
		l.exitedDone(m, j, task, a, t, now)
		return
	}
	if !wire.IsKnownExitReason(t.ExitReason) {
		l.tallies.add(fmt.Sprintf("a task ended for an unknown cause: %.40q", t.ExitReason), m.id)
	}
	m.clears = append(m.clears, clearCommand(t))
	l.gangExited(j, task, a, t)
	if a == nil {
		return
	}
	switch t.ExitReason {
	case wire.ExitError:
		j.failures++
		j.lastFailed = m.id
		if a.running != 0 {
			j.failTook = max(j.failTook, now-a.running)
		}
		l.attributeFault(m, j, now)
	case wire.ExitInsufficientResources:
		// Our count of what is free was wrong: wait for the next reports.
		m.notUntil = now + 2*l.report
	case wire.ExitJobNotFound:
		// The worker cannot find the job yet.
		j.notBefore = now + 5*micros.Second
		j.waitsFor = "the workers do not find its description"
	case wire.ExitOtherAttemptPresent:
		// Another attempt of the task is there; the report lists it too.
	}
	l.ended(a, "ended: "+t.ExitReason)
}

// exitedDone takes over a task that is done.
func (l *Leader) exitedDone(m *machine, j *job, task int, a *attempt, t *wire.TaskStatus, now micros.Micros) {
	if !j.done.has(task) && !j.over {
		j.done.set(task)
		j.ndone++
		l.succeeded(m, j, a, now)
		if a != nil {
			l.finishedTask(j, m, a, now)
		}
		l.dirty[progressKey(j.spec.ID, task/chunkTasks)] = true
		l.taskEnds.count++
		l.gangDone(j)
	} else if a != nil && j.isGang() && !j.over {
		l.finishedTask(j, m, a, now)
	}
	if a != nil {
		l.ended(a, "")
	}
	if other := j.on[task]; other != nil {
		l.stop(other, 0, "done elsewhere")
	}
	l.finishIfDone(j)
	// The worker keeps the result until it is surely stored.
	if j.over || j.stored.has(task) {
		m.clears = append(m.clears, clearCommand(t))
	}
	l.wakeFlush()
}

func clearCommand(t *wire.TaskStatus) wire.Command {
	return wire.Command{Verb: wire.VerbClear, TaskID: t.TaskID, Attempt: t.Attempt}
}

// orders are the commands for a machine that has just reported.
func (l *Leader) orders(m *machine, now micros.Micros) (orders []wire.Command) {
	// Stops first, and all of them: an answer that renews the lease must not leave one out.
	// There are no more than tasks on the machine.
	orders = make([]wire.Command, 0, len(m.clears)+m.stopping+len(m.planned))
	for name, a := range m.tasks {
		if a.stopped != 0 && a.n != 0 {
			orders = append(orders, wire.Command{Verb: wire.VerbStop, TaskID: name, Attempt: a.n, GracePeriodS: seconds(a.grace)})
		}
	}
	for _, c := range m.clears {
		if c.Verb == wire.VerbStop || len(orders) < maxOrders {
			orders = append(orders, c)
		}
	}
	defer func() {
		m.sent = m.sent[:0]
		for _, c := range orders {
			if c.Verb != wire.VerbStop {
				m.sent = append(m.sent, c)
			}
		}
	}()
	if !l.mayStart(m, now) {
		return orders
	}
	l.fill(m, now)
	orders = l.launch(m, orders)
	for _, j := range m.planned {
		if len(orders) >= maxOrders || j.over || j.ready(now) == 0 || !m.free.Fits(j.need) || !l.allowed(j, m) {
			continue
		}
		task, ok := j.take()
		if !ok {
			continue
		}
		n := l.attempt()
		a := &attempt{job: j, task: task, n: n, machine: m, sentAt: m.seq, began: now, protected: j.protectedTasks < 1+j.spec.Tasks/agedPart}
		if a.protected {
			j.protectedTasks++
		}
		l.hold(a)
		orders = append(orders, wire.Command{Verb: wire.VerbStart, TaskID: taskName(j.spec.ID, task), Attempt: n})
	}
	m.planned = m.planned[:0]
	return orders
}

// allowed tells whether a task of a job may begin on a machine as things are at this
// moment. Plans see to all this, but are older: since then a machine may have shown tasks
// that nobody knew of, or jobs may have lost the tasks that bound them to a zone.
func (l *Leader) allowed(j *job, m *machine) bool { return l.allowedMore(j, m, 1) }

// allowedMore tells it of so many more tasks; none more: of one that has its place there.
func (l *Leader) allowedMore(j *job, m *machine, more int) bool {
	s := j.spec
	if len(s.InstanceTypes) > 0 && !slices.Contains(s.InstanceTypes, m.kind.Type) || s.Zone != "" && s.Zone != m.kind.Zone || m.kind.Spot && !s.AllowSpot {
		return false
	}
	if t := l.teams[s.Team]; t.MaxCPUs > 0 || t.MaxGPUs > 0 {
		used := l.used[s.Team].Add(l.hidden, 1).Add(j.need, int64(more))
		if t.MaxCPUs > 0 && used.CPU > floor(t.MaxCPUs) || t.MaxGPUs > 0 && used.GPU > floor(t.MaxGPUs) {
			return false
		}
	}
	if !s.SingleZone && !s.SpreadZones {
		return true
	}
	here := j.zones[m.kind.Zone]
	return (!s.SingleZone || here == len(j.on)) && (!s.SpreadZones || 2*(here+more) <= s.Tasks+1)
}

// attempt is a new number for a start: rising across terms without a write, as the
// term's token stands above.
func (l *Leader) attempt() uint64 {
	l.attempts++
	return l.FencingToken<<32 | l.attempts
}

// mayStart tells whether tasks may be started on a machine now.
func (l *Leader) mayStart(m *machine, now micros.Micros) bool {
	return m.open(now) && l.Term.IsExclusive()
}

// open tells what of that is the machine's part. Its last report must have been
// made in this term: a late copy of an older one, perhaps of a machine that is long
// gone, must not draw tasks.
func (m *machine) open(now micros.Micros) bool {
	return m.up && m.resolved && m.current && !m.leaving && m.draining == "" && m.recallAt == 0 && now >= m.notUntil && m.stored && m.upStored
}

// drainOnNotice empties a machine that the cloud will take.
func (l *Leader) drainOnNotice(m *machine, now micros.Micros) {
	if m.recallAt == 0 {
		return
	}
	if m.draining == "" {
		m.draining = "spot notice"
		l.replan = true
	}
	for _, a := range m.tasks {
		s := a.job.spec
		if a.job.isGang() {
			l.leaveWith(a, max(saveGrace(a.job), m.recallAt-now), "its spot machine is being taken", now)
		} else if s.CheckpointIntervalS > 0 && a.stopped == 0 {
			l.stop(a, max(micros.FromSeconds(s.CheckpointDurationS), m.recallAt-now), "its spot machine is being taken")
		}
	}
}

// unknown handles a machine that no answered booking explains: a rental
// carried out late.
func (l *Leader) unknown(r *wire.Heartbeat, now micros.Micros) error {
	if l.gone[r.MachineID] {
		return ErrCannotRespond
	}
	for _, b := range l.bookings {
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
	b := &booking{
		id: "x-" + r.MachineID, Type: r.InstanceType, Zone: r.Zone, Spot: r.Spot, Count: 1, Answered: true,
		Machines: []string{r.MachineID}, At: micros.Wall(),
	}
	slog.Info("adopting a machine", "machine", r.MachineID)
	l.bookings[b.id] = b
	l.addMachine(r.MachineID, b, now)
	l.markBooking(b)
	return nil
}

// direct sends a stop straight to a worker. It is also part of the answers to
// the worker's reports until it is obeyed, so a failure here needs no care.
// The answer is not used: a report made there may be newer than the last and
// still lack a start that is on its way.
func (l *Leader) direct(m *machine, c wire.Command) {
	if m.address == "" || !l.Term.IsExclusive() {
		return
	}
	select {
	case l.calls <- struct{}{}:
	default:
		return
	}
	address, body := m.address, wire.CommandRequest{FencingToken: l.FencingToken, Incarnation: m.session, Commands: []wire.Command{c}}
	go func() {
		defer func() { <-l.calls }()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		if _, _, err := wire.Call(ctx, l.WorkerClient, http.MethodPost, "http://"+address+"/commands", body); err != nil {
			slog.Debug("direct command", "machine", address, "error", err)
		}
	}()
}
