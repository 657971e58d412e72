package leader

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
	"caperlatch/placement"
)

// A gang's tasks run at the same time or not at all. They find each other by their
// attempt number: so all of an attempt have one, and it is changed only when every task
// of the last one is surely gone.
//
// Launch. At one moment places are reserved for all tasks, as if they had started: in the
// machines' room, the team's use and the zones. Nothing else can take them, and no
// gang waits for another's room. Each start goes with the next answer to its machine.
//
// Until all run, a task that disappears is replaced under the same number. From then on
// one that disappears ends the attempt, and all are told to stop.

// gangAttempt is an attempt of a gang's tasks.
type gangAttempt struct {
	number       uint64        // its number, 0 if there is none
	waitingSince micros.Micros // since when a report shows a task to wait for the others, 0 if none did
	started      bool          // all have been running at once
	ending       bool          // all are to stop
	shortSince   micros.Micros // since when machines lack for those that are missing, 0 if they don't
}

func (j *job) isGang() bool { return j.spec.Kind == wire.KindGang }

// startableGangTasks is how many tasks may be started: all of a new attempt, or those that are
// missing in one that has not started.
func (j *job) startableGangTasks() int {
	if j.gang.started || j.gang.ending {
		return 0
	}
	return j.waiting()
}

// checkpointGrace is enough time for a gang to save.
func checkpointGrace(j *job) micros.Micros {
	// The wire's amount may be a trace more than whole microseconds.
	return micros.FromSeconds(j.spec.CheckpointDurationS) + micros.Millisecond
}

// immediateStartLimit is how late places may start a gang that are taken as soon as they are found.
// Later ones are taken only when it has waited for as long: of many machines some report
// soon, so it starts at most twice as late as it could, and mostly sooner. Places
// on machines that had reported just before once cost gangs a whole report time.
const immediateStartLimit = micros.Second

// planStarts has tasks of a job start with a machine's next answer. A gang's have their
// places from now on; others' plans bind nobody.
func (l *Leader) planStarts(m *machine, j *job, count int, now micros.Micros) {
	if !j.isGang() {
		for range count {
			m.planned = append(m.planned, j)
		}
		return
	}
	l.dropReservation(j)
	if len(j.attempts) == 0 {
		j.gang = gangAttempt{number: l.nextAttemptNumber()}
		slog.Debug("gang", "job", j.spec.ID, "attempt", j.gang.number, "tasks", j.spec.Tasks)
	}
	for range count {
		task, ok := j.takeWaitingTask()
		if !ok {
			return
		}
		a := &attempt{job: j, index: task, number: j.gang.number, machine: m, startedAt: now, reserved: true, protected: true}
		j.protectedTasks++
		l.assign(a)
	}
}

// commandReservedStarts adds the starts of reserved tasks to a machine's orders.
func (l *Leader) commandReservedStarts(m *machine, orders []wire.Command) []wire.Command {
	var starts []*attempt
	for _, a := range m.attempts {
		if a.reserved {
			starts = append(starts, a)
		}
	}
	slices.SortFunc(starts, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.job.spec.ID, b.job.spec.ID), cmp.Compare(a.index, b.index))
	})
	for _, a := range starts[:min(len(starts), max(0, maxCommands-len(orders)))] {
		if !l.canStartTasks(a.job, m, 0) {
			// A task that nobody knew of has shown itself since the places were reserved.
			l.releaseReservation(a, "it may not start there any more")
			continue
		}
		a.reserved, a.startSequence = false, m.heartbeat.sequence
		l.publishAssigned(a)
		orders = append(orders, wire.Command{Verb: wire.VerbStart, TaskID: taskID(a.job.spec.ID, a.index), Attempt: a.number})
	}
	return orders
}

// releaseReservation gives a reserved place back: its start was never sent.
func (l *Leader) releaseReservation(a *attempt, why string) {
	a.reserved = false
	l.release(a, why)
}

// observeGangTask takes over what a report says of a gang's task that is on its machine.
func (l *Leader) observeGangTask(a *attempt, now micros.Micros) {
	j := a.job
	if !j.isGang() || j.ended {
		return
	}
	g := &j.gang
	if a.number > g.number {
		// Adopted from an earlier term, whose latest attempt has the highest number.
		*g = gangAttempt{number: a.number}
		for _, other := range j.attempts {
			if other.number < a.number {
				l.stopTask(other, 0, "a later attempt of its gang is there")
			}
		}
	}
	switch {
	case a.number < g.number:
		l.stopTask(a, 0, "a later attempt of its gang is there")
	case a.reportedState == wire.TaskWaitingForGang && g.waitingSince == 0:
		g.waitingSince = now
	case a.reportedState == wire.TaskRunning:
		g.started = true
	case a.reportedState == wire.TaskCheckpointing:
		g.started = true
		if !g.ending {
			// An earlier leader was stopping the gang: all must be told in time.
			l.endGangAttempt(j, checkpointGrace(j), "an earlier leader stopped its gang")
		}
	}
	if g.ending && a.stopRequestedAt == 0 {
		l.endGangAttempt(j, checkpointGrace(j), "its gang is being stopped")
	}
	l.endInconsistentGang(j)
}

// endInconsistentGang ends an attempt of which a report shows that it can't be complete, or is being
// stopped.
func (l *Leader) endInconsistentGang(j *job) {
	g := &j.gang
	reserved, leaving := false, false
	for _, a := range j.attempts {
		reserved = reserved || a.reserved
		leaving = leaving || a.number == g.number && a.stopRequestedAt != 0
	}
	switch {
	case g.ending:
	case g.number <= j.lastEndedAttempt || g.started && reserved:
		// Its exits say so, or one of its starts was never sent.
		l.endGangAttempt(j, 0, "another task of its gang is gone")
	case g.started && leaving:
		// One that was to leave while it waited runs by now: all must be told in time.
		l.endGangAttempt(j, checkpointGrace(j), "one of its gang's machines is given up")
	}
}

// completeGang notes that all tasks of a gang are done, as one is: they complete together.
func (l *Leader) completeGang(j *job) {
	if !j.isGang() {
		return
	}
	for t := range j.spec.Tasks {
		if !j.done.has(t) {
			j.done.set(t)
			j.doneCount++
			l.dirty[progressKey(j.spec.ID, t/chunkTasks)] = true
		}
	}
}

// observeGangExit has the other tasks stopped when one ended in a way that tells of the whole
// attempt, whether or not it was known here.
func (l *Leader) observeGangExit(j *job, task int, a *attempt, t *wire.TaskStatus) {
	if !j.isGang() || j.ended || j.doneCount > 0 {
		return
	}
	if t.ExitReason == wire.ExitGangTaskLost || t.ExitReason == wire.ExitGangTimeout {
		j.lastEndedAttempt = max(j.lastEndedAttempt, t.Attempt)
	}
	if j.gang.ending || t.Attempt != j.gang.number || a != nil && a.stopRequestedAt != 0 {
		return
	}
	switch t.ExitReason {
	case wire.ExitGangTaskLost:
		l.endGangAttempt(j, 0, "another task of its gang is gone")
	case wire.ExitGangTimeout:
		l.endGangAttempt(j, 0, "its gang was not complete in time")
	case wire.ExitStopped:
		// An earlier leader's stop. Once one has saved, so have all. One that waited is
		// replaced, and its exit may be listed again beside its replacement.
		if j.gang.started && (a != nil || j.attempts[task] == nil) {
			l.endGangAttempt(j, checkpointGrace(j), "an earlier leader stopped its gang")
		}
	}
}

// observeGangTaskLost takes note that a task is no longer on its machine.
func (l *Leader) observeGangTaskLost(a *attempt) {
	j := a.job
	if !j.isGang() {
		return
	}
	if !j.ended && j.doneCount == 0 && a.number == j.gang.number && j.gang.started && !j.gang.ending {
		l.endGangAttempt(j, 0, "another task of its gang is gone")
	}
	if len(j.attempts) == 0 {
		j.gang = gangAttempt{}
	}
}

// stopGangIfReachable has all tasks of a gang stop, with time to save. It is done only when all
// of them can be told in time: a gang of which a part is stopped falls back to its last
// checkpoint, so one that can't be told whole is left alone, and loses no more.
func (l *Leader) stopGangIfReachable(j *job, grace micros.Micros, why string, now micros.Micros) bool {
	if !j.gang.ending && !l.allTasksReachable(j, now) {
		return false
	}
	l.endGangAttempt(j, grace, why)
	return true
}

// evictGangTask has a gang's task leave a machine that is given up. One that waits for the
// others is replaced; once they run, all stop, if that saves their work. It may run unseen
// already: then it saves, and shows that. One that waits exits at once all the same.
func (l *Leader) evictGangTask(a *attempt, grace micros.Micros, why string, now micros.Micros) {
	switch {
	case !a.job.gang.started && a.stopRequestedAt == 0:
		l.stopTask(a, grace, why)
	case a.job.spec.CheckpointIntervalS > 0 && a.stopRequestedAt == 0:
		l.stopGangIfReachable(a.job, grace, why, now)
	}
}

// allTasksReachable tells whether all tasks of a gang should hear a stop in time.
func (l *Leader) allTasksReachable(j *job, now micros.Micros) bool {
	if !l.Term.IsExclusive() {
		return false
	}
	for _, a := range j.attempts {
		m := a.machine
		if m.instance.terminating || m.delivery.lostResponses > 0 || m.instance.address == "" || !l.policy.Decide(m.offering.Zone).Reachable ||
			l.isHeartbeatLate(m, now) {
			return false
		}
	}
	return true
}

// carryOut ends a gang's attempt: places whose start was not sent are released, and the
// others' machines are told at once. The next attempt begins when all are gone.
func (l *Leader) endGangAttempt(j *job, grace micros.Micros, why string) {
	j.gang.ending = true
	byMachine := map[*machine][]wire.Command{}
	for _, task := range slices.Sorted(maps.Keys(j.attempts)) {
		if a := j.attempts[task]; a != nil && l.markStopping(a, grace, why) {
			byMachine[a.machine] = append(byMachine[a.machine], stopCommand(a))
		}
	}
	for m, commands := range byMachine {
		l.sendUntilDelivered(m, commands)
	}
	if len(j.attempts) == 0 {
		j.gang = gangAttempt{}
	}
}

// Sending stops of gangs.
const (
	gangStopTimeout       = micros.Second
	gangStopRetryInterval = 200 * micros.Millisecond
)

// sendUntilDelivered sends stops straight to a worker until it answers, as long as that can be in time
// for its gang. They also stand in the answers to its reports.
func (l *Leader) sendUntilDelivered(m *machine, commands []wire.Command) {
	if m.instance.address == "" {
		return
	}
	address, body := m.instance.address, wire.CommandRequest{FencingToken: l.FencingToken, Incarnation: m.heartbeat.incarnation, Commands: commands}
	until := micros.Now() + l.Settings.Params.Workers.GangLossTimeout()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), (until - micros.Now()).Duration())
		defer cancel()
		for ctx.Err() == nil && l.Term.IsExclusive() {
			select {
			case l.slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			callCtx, done := context.WithTimeout(ctx, gangStopTimeout.Duration())
			_, _, err := wire.Call(callCtx, l.WorkerClient, http.MethodPost, "http://"+address+"/commands", body)
			done()
			<-l.slots
			if err == nil {
				return
			}
			slog.Debug("stop of a gang", "machine", address, "error", err)
			time.Sleep(gangStopRetryInterval.Duration())
		}
	}()
}

// gangs lists the gangs that are not over, by name.
func (l *Leader) gangs() (out []*job) {
	for _, j := range l.jobs {
		if j.isGang() {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
	return out
}

// checkGangs moves reservations whose machines do not come for them, and ends attempts
// that will not be complete in time.
func (l *Leader) checkGangs(now micros.Micros) {
	if !l.ready {
		return
	}
	unresolved := l.unknownMachinesNow()
	for _, j := range l.gangs() {
		if j.doneCount > 0 {
			continue
		}
		if g := l.reservations[j.spec.ID]; g != nil && now >= g.expiresAt && (len(g.machines) > 0 || now >= g.retryAt) {
			l.dropReservation(j)
		}
		if len(j.attempts) == 0 {
			continue
		}
		for _, a := range j.attempts {
			late := now-a.startedAt > l.heartbeatInterval+l.heartbeatInterval/4+micros.Second && l.silence(a.machine, now) > l.heartbeatInterval+l.heartbeatInterval/4+micros.Second
			if a.reserved && (late || !a.machine.isSchedulable(now)) {
				l.releaseReservation(a, "its machine did not come for it")
			}
		}
		switch {
		case j.gang.ending:
			// What an adopted or repeated start brought is stopped as well.
			l.endGangAttempt(j, checkpointGrace(j), "its gang is being stopped")
		case j.gang.started && j.waiting() > 0 && !l.mustAwaitReconciliation(j, unresolved):
			// Its task was lost in an earlier term, or between two.
			l.endGangAttempt(j, 0, "another task of its gang is gone")
		case !j.gang.started && j.gang.waitingSince != 0 && now-j.gang.waitingSince > gangAssemblyLimit(l.Settings.Params.Workers.GangAssemblyTimeout()):
			l.endGangAttempt(j, checkpointGrace(j), "its gang was not complete in time") // it may run unseen already
		}
	}
}

// gangAssemblyLimit is how long a gang's tasks are let wait for the last: what is to be
// undone should be so before the first of them gives up.
func gangAssemblyLimit(wait micros.Micros) micros.Micros { return wait * 2 / 3 }

// nonPreemptibleGangs lists the gangs that must not be stopped for other work: until all tasks run, and
// while not all can be told.
func (l *Leader) nonPreemptibleGangs(now micros.Micros) map[*job]bool {
	out := map[*job]bool{}
	for _, j := range l.gangs() {
		out[j] = !j.gang.started || j.doneCount > 0 || !l.allTasksReachable(j, now)
	}
	return out
}

// gangReservation is room that is gathered for a gang that found none: on its machines only work
// that goes before the gang may start. It ends after a time, and the gang then waits as
// long for the next: no room is held for ever.
type gangReservation struct {
	waiting   *placement.Job // the gang, as of the latest queue
	machines  []*machine
	expiresAt micros.Micros
	retryAt   micros.Micros // not before
}

// Bounds of what is gathered for gangs.
const (
	reservationHorizon = 16 * micros.Second // in what time its room must come free
	reservationDivisor = 8                  // part of the machines
	maxReservationJobs = 8                  // that a plan looks for room for
)

// reserveRoom gathers room for gangs that found none, in the queue's order. Machines are held
// for one gang each, so none waits for another's.
func (l *Leader) reserveRoom(now micros.Micros) {
	q := &l.queue
	var machines []placement.Machine
	var ms []*machine
	gathered, tries := l.countReserved(), 0
	for i, w := range q.waiting {
		if !l.canReserve(w, now) || gathered > 0 && reservationDivisor*gathered >= len(l.sorted) {
			continue
		}
		if tries++; tries > maxReservationJobs {
			break
		}
		if machines == nil {
			machines, ms = l.machinesWithCompletions(now)
		}
		for _, n := range placement.PickReservation(machines, w, q.teams[w.Team], reservationHorizon) {
			machines[n].ReservedFor = w
			l.reserveMachineFor(q.jobs[i].spec.ID, ms[n], now)
			gathered++
		}
	}
}

// countReserved counts the machines that are gathered for gangs.
func (l *Leader) countReserved() int {
	n := 0
	for _, m := range l.sorted {
		if m.reservation != nil {
			n++
		}
	}
	return n
}

// canReserve tells whether room may be gathered for a waiting job: a gang that has none
// gathered, and none let go of lately.
func (l *Leader) canReserve(w *placement.Job, now micros.Micros) bool {
	if !w.Gang || w.WaitingTasks == 0 {
		return false
	}
	g := l.reservations[w.ID]
	return g == nil || len(g.machines) == 0 && now >= g.retryAt
}

// machinesWithCompletions lists the machines that may get tasks, with when what runs there should end.
func (l *Leader) machinesWithCompletions(now micros.Micros) ([]placement.Machine, []*machine) {
	machines, ms := l.schedulableMachines(now, placement.Resources{})
	for n, m := range ms {
		p := &machines[n]
		for _, j := range m.planned {
			p.Free = p.Free.Add(j.need, -1)
		}
		for _, a := range m.attempts {
			e := placement.Completion{Remaining: micros.FromSeconds(l.remainingRuntime(a, now)), Need: a.job.need}
			if a.stopRequestedAt != 0 {
				e.Remaining = a.gracePeriod
			}
			p.Completions = append(p.Completions, e)
		}
	}
	return machines, ms
}

// reserveMachineFor adds a machine to a gang's gathering.
func (l *Leader) reserveMachineFor(id string, m *machine, now micros.Micros) {
	j := l.jobs[id]
	if j == nil || m.reservation != nil {
		return
	}
	g := l.reservations[id]
	if g == nil || len(g.machines) == 0 {
		g = &gangReservation{expiresAt: now + reservationHorizon + l.heartbeatInterval, retryAt: now + 2*(reservationHorizon+l.heartbeatInterval)}
		l.reservations[id] = g
		for _, w := range l.queue.waiting {
			if w.ID == id {
				g.waiting = w
			}
		}
	}
	m.reservation = g
	g.machines = append(g.machines, m)
}

// dropReservation opens to all what is gathered for a gang.
func (l *Leader) dropReservation(j *job) {
	g := l.reservations[j.spec.ID]
	if g == nil {
		return
	}
	for _, m := range g.machines {
		if m.reservation == g {
			m.reservation = nil
			l.replan = true
		}
	}
	g.machines = nil
	if j.ended || micros.Now() >= g.retryAt {
		delete(l.reservations, j.spec.ID)
	}
}

// launchDelayWhenShort is how long a gang that lost a task before its start waits for another place to
// come free, until a machine is booked for it.
const launchDelayWhenShort = 2 * micros.Second

// launchForGangs books machines for gangs that not even an empty fleet could take: the types'
// targets count machines, and a gang may need more of them at once, or more in one zone,
// than the work alone would. One that has begun to start needs room now: its other tasks
// hold theirs in vain until it comes.
func (l *Leader) launchForGangs(now micros.Micros) {
	teams, unresolved := l.worstCaseTeamUse(), l.unknownMachinesNow()
	for _, j := range l.gangs() {
		if l.mustAwaitReconciliation(j, unresolved) || !l.Term.IsExclusive() {
			continue
		}
		want := j.startableTasks(now)
		if want == 0 || teams[j.spec.Team].CountAllowed(j.need, want) < want {
			j.gang.shortSince = 0
			continue
		}
		room := func(m *machine, t *scaledType) placement.Resources {
			if len(j.attempts) > 0 {
				return m.free
			}
			return t.capacity
		}
		inZone, sum, most := l.gangRoom(j, want, room)
		if sum >= want {
			j.gang.shortSince = 0
			continue
		}
		if j.gang.shortSince == 0 {
			j.gang.shortSince = now
		}
		if len(j.attempts) > 0 && now-j.gang.shortSince < launchDelayWhenShort {
			continue
		}
		var best offering
		for _, o := range l.offeringsFor(j) {
			if l.hasOpenIntent(o) {
				best = offering{}
				break // its answer comes first
			}
			if st := l.capacityBackoffs[o]; st != nil && now < st.until || l.policy.Decide(o.Zone).MaxMachines < zone.Unlimited || most(o.Zone) <= inZone[o.Zone] {
				continue
			}
			if best.Type == "" || j.spec.SingleZone && inZone[o.Zone] > inZone[best.Zone] {
				best = o
			}
		}
		if t := l.types[best.Type]; t != nil {
			missing := min(want-sum, most(best.Zone)-inZone[best.Zone])
			if j.spec.SingleZone {
				missing = want - inZone[best.Zone]
			}
			per := t.capacity.CountFitting(j.need, missing)
			slog.Debug("room for a gang", "job", j.spec.ID, "tasks", want, "room", sum, "type", best.Type, "zone", best.Zone)
			l.createIntent(best, (missing+per-1)/max(1, per))
		}
	}
}

// gangRoom counts the tasks of a gang, at most want, for which its machines would have
// room: by zone, and where they may all be; most is how many may be in a zone.
func (l *Leader) gangRoom(j *job, want int, room func(*machine, *scaledType) placement.Resources) (inZone map[string]int, sum int, most func(string) int) {
	s := j.spec
	held := map[string]int{}
	for _, a := range j.attempts {
		held[a.machine.offering.Zone]++
	}
	most = func(zone string) int {
		switch {
		case s.SpreadZones:
			return max(0, min(want, (s.Tasks+1)/2-held[zone]))
		case s.SingleZone && len(held) > 0 && held[zone] == 0:
			return 0
		}
		return want
	}
	probe := placement.Job{InstanceTypes: s.InstanceTypes, Zone: s.Zone, AllowSpot: s.AllowSpot}
	inZone = map[string]int{}
	for _, m := range l.sorted {
		t := l.types[m.offering.Type]
		if t == nil || m.instance.terminating || m.drainReason != "" || !placement.ConstraintsAdmit(&probe, m.offering.Type, m.offering.Zone, m.offering.Spot) {
			continue
		}
		n := room(m, t).CountFitting(j.need, most(m.offering.Zone)-inZone[m.offering.Zone])
		inZone[m.offering.Zone] += n
		sum += n
	}
	if s.SingleZone {
		sum = 0
		for _, n := range inZone {
			sum = max(sum, n)
		}
	}
	return inZone, sum, most
}
