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

// gang is an attempt of a gang's tasks.
type gang struct {
	n       uint64        // its number, 0 if there is none
	waits   micros.Micros // since when a report shows a task to wait for the others, 0 if none did
	started bool          // all have been running at once
	ending  bool          // all are to stop
	short   micros.Micros // since when machines lack for those that are missing, 0 if they don't
}

func (j *job) isGang() bool { return j.spec.Kind == wire.KindGang }

// gangReady is how many tasks may be started: all of a new attempt, or those that are
// missing in one that has not started.
func (j *job) gangReady() int {
	if j.gang.started || j.gang.ending {
		return 0
	}
	return j.waiting()
}

// saveGrace is enough time for a gang to save.
func saveGrace(j *job) micros.Micros {
	// The wire's amount may be a trace more than whole microseconds.
	return micros.FromSeconds(j.spec.CheckpointDurationS) + micros.Millisecond
}

// acceptAtOnce is how late places may start a gang that are taken as soon as they are found.
// Later ones are taken only when it has waited for as long: of many machines some report
// soon, so it starts at most twice as late as it could, and mostly sooner. Places
// on machines that had reported just before once cost gangs a whole report time.
const acceptAtOnce = micros.Second

// planStarts has tasks of a job start with a machine's next answer. A gang's have their
// places from now on; others' plans bind nobody.
func (l *Leader) planStarts(m *machine, j *job, count int, now micros.Micros) {
	if !j.isGang() {
		for range count {
			m.planned = append(m.planned, j)
		}
		return
	}
	l.dropGathering(j)
	if len(j.on) == 0 {
		j.gang = gang{n: l.attempt()}
		slog.Debug("gang", "job", j.spec.ID, "attempt", j.gang.n, "tasks", j.spec.Tasks)
	}
	for range count {
		task, ok := j.take()
		if !ok {
			return
		}
		a := &attempt{job: j, task: task, n: j.gang.n, machine: m, began: now, reserved: true, protected: true}
		j.protectedTasks++
		l.hold(a)
	}
}

// launch adds the starts of reserved tasks to a machine's orders.
func (l *Leader) launch(m *machine, orders []wire.Command) []wire.Command {
	var starts []*attempt
	for _, a := range m.tasks {
		if a.reserved {
			starts = append(starts, a)
		}
	}
	slices.SortFunc(starts, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.job.spec.ID, b.job.spec.ID), cmp.Compare(a.task, b.task))
	})
	for _, a := range starts[:min(len(starts), max(0, maxOrders-len(orders)))] {
		if !l.allowedMore(a.job, m, 0) {
			// A task that nobody knew of has shown itself since the places were reserved.
			l.release(a, "it may not start there any more")
			continue
		}
		a.reserved, a.sentAt = false, m.seq
		l.publishPlaced(a)
		orders = append(orders, wire.Command{Verb: wire.VerbStart, TaskID: taskName(a.job.spec.ID, a.task), Attempt: a.n})
	}
	return orders
}

// release gives a reserved place back: its start was never sent.
func (l *Leader) release(a *attempt, why string) {
	a.reserved = false
	l.ended(a, why)
}

// gangListed takes over what a report says of a gang's task that is on its machine.
func (l *Leader) gangListed(a *attempt, now micros.Micros) {
	j := a.job
	if !j.isGang() || j.over {
		return
	}
	g := &j.gang
	if a.n > g.n {
		// Adopted from an earlier term, whose latest attempt has the highest number.
		*g = gang{n: a.n}
		for _, other := range j.on {
			if other.n < a.n {
				l.stop(other, 0, "a later attempt of its gang is there")
			}
		}
	}
	switch {
	case a.n < g.n:
		l.stop(a, 0, "a later attempt of its gang is there")
	case a.state == wire.TaskWaitingForGang && g.waits == 0:
		g.waits = now
	case a.state == wire.TaskRunning:
		g.started = true
	case a.state == wire.TaskCheckpointing:
		g.started = true
		if !g.ending {
			// An earlier leader was stopping the gang: all must be told in time.
			l.stopAll(j, saveGrace(j), "an earlier leader stopped its gang")
		}
	}
	if g.ending && a.stopped == 0 {
		l.stopAll(j, saveGrace(j), "its gang is being stopped")
	}
	l.gangShown(j)
}

// gangShown ends an attempt of which a report shows that it can't be complete, or is being
// stopped.
func (l *Leader) gangShown(j *job) {
	g := &j.gang
	reserved, leaving := false, false
	for _, a := range j.on {
		reserved = reserved || a.reserved
		leaving = leaving || a.n == g.n && a.stopped != 0
	}
	switch {
	case g.ending:
	case g.n <= j.attemptOver || g.started && reserved:
		// Its exits say so, or one of its starts was never sent.
		l.stopAll(j, 0, "another task of its gang is gone")
	case g.started && leaving:
		// One that was to leave while it waited runs by now: all must be told in time.
		l.stopAll(j, saveGrace(j), "one of its gang's machines is given up")
	}
}

// gangDone notes that all tasks of a gang are done, as one is: they complete together.
func (l *Leader) gangDone(j *job) {
	if !j.isGang() {
		return
	}
	for t := range j.spec.Tasks {
		if !j.done.has(t) {
			j.done.set(t)
			j.ndone++
			l.dirty[progressKey(j.spec.ID, t/chunkTasks)] = true
		}
	}
}

// gangExited has the other tasks stopped when one ended in a way that tells of the whole
// attempt, whether or not it was known here.
func (l *Leader) gangExited(j *job, task int, a *attempt, t *wire.TaskStatus) {
	if !j.isGang() || j.over || j.ndone > 0 {
		return
	}
	if t.ExitReason == wire.ExitGangTaskLost || t.ExitReason == wire.ExitGangTimeout {
		j.attemptOver = max(j.attemptOver, t.Attempt)
	}
	if j.gang.ending || t.Attempt != j.gang.n || a != nil && a.stopped != 0 {
		return
	}
	switch t.ExitReason {
	case wire.ExitGangTaskLost:
		l.stopAll(j, 0, "another task of its gang is gone")
	case wire.ExitGangTimeout:
		l.stopAll(j, 0, "its gang was not complete in time")
	case wire.ExitStopped:
		// An earlier leader's stop. Once one has saved, so have all. One that waited is
		// replaced, and its exit may be listed again beside its replacement.
		if j.gang.started && (a != nil || j.on[task] == nil) {
			l.stopAll(j, saveGrace(j), "an earlier leader stopped its gang")
		}
	}
}

// gangLost takes note that a task is no longer on its machine.
func (l *Leader) gangLost(a *attempt) {
	j := a.job
	if !j.isGang() {
		return
	}
	if !j.over && j.ndone == 0 && a.n == j.gang.n && j.gang.started && !j.gang.ending {
		l.stopAll(j, 0, "another task of its gang is gone")
	}
	if len(j.on) == 0 {
		j.gang = gang{}
	}
}

// stopGang has all tasks of a gang stop, with time to save. It is done only when all
// of them can be told in time: a gang of which a part is stopped falls back to its last
// checkpoint, so one that can't be told whole is left alone, and loses no more.
func (l *Leader) stopGang(j *job, grace micros.Micros, why string, now micros.Micros) bool {
	if !j.gang.ending && !l.reachable(j, now) {
		return false
	}
	l.stopAll(j, grace, why)
	return true
}

// leaveWith has a gang's task leave a machine that is given up. One that waits for the
// others is replaced; once they run, all stop, if that saves their work. It may run unseen
// already: then it saves, and shows that. One that waits exits at once all the same.
func (l *Leader) leaveWith(a *attempt, grace micros.Micros, why string, now micros.Micros) {
	switch {
	case !a.job.gang.started && a.stopped == 0:
		l.stop(a, grace, why)
	case a.job.spec.CheckpointIntervalS > 0 && a.stopped == 0:
		l.stopGang(a.job, grace, why, now)
	}
}

// reachable tells whether all tasks of a gang should hear a stop in time.
func (l *Leader) reachable(j *job, now micros.Micros) bool {
	if !l.Term.IsExclusive() {
		return false
	}
	for _, a := range j.on {
		m := a.machine
		if m.leaving || m.notReceiving > 0 || m.address == "" || !l.zones.Decide(m.kind.Zone).Reachable ||
			l.lateReport(m, now) {
			return false
		}
	}
	return true
}

// carryOut ends a gang's attempt: places whose start was not sent are released, and the
// others' machines are told at once. The next attempt begins when all are gone.
func (l *Leader) stopAll(j *job, grace micros.Micros, why string) {
	j.gang.ending = true
	byMachine := map[*machine][]wire.Command{}
	for _, task := range slices.Sorted(maps.Keys(j.on)) {
		if a := j.on[task]; a != nil && l.mustStop(a, grace, why) {
			byMachine[a.machine] = append(byMachine[a.machine], stopCommand(a))
		}
	}
	for m, commands := range byMachine {
		l.tell(m, commands)
	}
	if len(j.on) == 0 {
		j.gang = gang{}
	}
}

// Sending stops of gangs.
const (
	tellTimeout = micros.Second
	tellPause   = 200 * micros.Millisecond
)

// tell sends stops straight to a worker until it answers, as long as that can be in time
// for its gang. They also stand in the answers to its reports.
func (l *Leader) tell(m *machine, commands []wire.Command) {
	if m.address == "" {
		return
	}
	address, body := m.address, wire.CommandRequest{FencingToken: l.FencingToken, Incarnation: m.session, Commands: commands}
	until := micros.Now() + l.Settings.Params.Workers.GangLossTimeout()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), (until - micros.Now()).Duration())
		defer cancel()
		for ctx.Err() == nil && l.Term.IsExclusive() {
			select {
			case l.calls <- struct{}{}:
			case <-ctx.Done():
				return
			}
			callCtx, done := context.WithTimeout(ctx, tellTimeout.Duration())
			_, _, err := wire.Call(callCtx, l.WorkerClient, http.MethodPost, "http://"+address+"/commands", body)
			done()
			<-l.calls
			if err == nil {
				return
			}
			slog.Debug("stop of a gang", "machine", address, "error", err)
			time.Sleep(tellPause.Duration())
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

// watchGangs moves reservations whose machines do not come for them, and ends attempts
// that will not be complete in time.
func (l *Leader) watchGangs(now micros.Micros) {
	if !l.ready {
		return
	}
	unresolved := l.unknownTasks()
	for _, j := range l.gangs() {
		if j.ndone > 0 {
			continue
		}
		if g := l.gatherings[j.spec.ID]; g != nil && now >= g.until && (len(g.machines) > 0 || now >= g.again) {
			l.dropGathering(j)
		}
		if len(j.on) == 0 {
			continue
		}
		for _, a := range j.on {
			late := now-a.began > l.report+l.report/4+micros.Second && l.silentFor(a.machine, now) > l.report+l.report/4+micros.Second
			if a.reserved && (late || !a.machine.open(now)) {
				l.release(a, "its machine did not come for it")
			}
		}
		switch {
		case j.gang.ending:
			// What an adopted or repeated start brought is stopped as well.
			l.stopAll(j, saveGrace(j), "its gang is being stopped")
		case j.gang.started && j.waiting() > 0 && !l.mustWait(j, unresolved):
			// Its task was lost in an earlier term, or between two.
			l.stopAll(j, 0, "another task of its gang is gone")
		case !j.gang.started && j.gang.waits != 0 && now-j.gang.waits > launchLimit(l.Settings.Params.Workers.GangAssemblyTimeout()):
			l.stopAll(j, saveGrace(j), "its gang was not complete in time") // it may run unseen already
		}
	}
}

// launchLimit is how long a gang's tasks are let wait for the last: what is to be
// undone should be so before the first of them gives up.
func launchLimit(wait micros.Micros) micros.Micros { return wait * 2 / 3 }

// spared lists the gangs that must not be stopped for other work: until all tasks run, and
// while not all can be told.
func (l *Leader) spared(now micros.Micros) map[*job]bool {
	out := map[*job]bool{}
	for _, j := range l.gangs() {
		out[j] = !j.gang.started || j.ndone > 0 || !l.reachable(j, now)
	}
	return out
}

// gathering is room that is gathered for a gang that found none: on its machines only work
// that goes before the gang may start. It ends after a time, and the gang then waits as
// long for the next: no room is held for ever.
type gathering struct {
	view     *placement.Job // the gang, as of the latest queue
	machines []*machine
	until    micros.Micros
	again    micros.Micros // not before
}

// Bounds of what is gathered for gangs.
const (
	gatherWithin = 16 * micros.Second // in what time its room must come free
	gatherShare  = 8                  // part of the machines
	gatherJobs   = 8                  // that a plan looks for room for
)

// gatherRoom gathers room for gangs that found none, in the queue's order. Machines are held
// for one gang each, so none waits for another's.
func (l *Leader) gatherRoom(now micros.Micros) {
	q := &l.queue
	var machines []placement.Machine
	var ms []*machine
	gathered, tries := l.countGathered(), 0
	for i, w := range q.waiting {
		if !l.mayGather(w, now) || gathered > 0 && gatherShare*gathered >= len(l.order) {
			continue
		}
		if tries++; tries > gatherJobs {
			break
		}
		if machines == nil {
			machines, ms = l.withEndings(now)
		}
		for _, n := range placement.PickReservation(machines, w, q.teams[w.Team], gatherWithin) {
			machines[n].ReservedFor = w
			l.gatherFor(q.jobs[i].spec.ID, ms[n], now)
			gathered++
		}
	}
}

// countGathered counts the machines that are gathered for gangs.
func (l *Leader) countGathered() int {
	n := 0
	for _, m := range l.order {
		if m.gathering != nil {
			n++
		}
	}
	return n
}

// mayGather tells whether room may be gathered for a waiting job: a gang that has none
// gathered, and none let go of lately.
func (l *Leader) mayGather(w *placement.Job, now micros.Micros) bool {
	if !w.Gang || w.Waiting == 0 {
		return false
	}
	g := l.gatherings[w.ID]
	return g == nil || len(g.machines) == 0 && now >= g.again
}

// withEndings lists the machines that may get tasks, with when what runs there should end.
func (l *Leader) withEndings(now micros.Micros) ([]placement.Machine, []*machine) {
	machines, ms := l.placeable(now, placement.Resources{})
	for n, m := range ms {
		p := &machines[n]
		for _, j := range m.planned {
			p.Free = p.Free.Add(j.need, -1)
		}
		for _, a := range m.tasks {
			e := placement.Completion{Remaining: micros.FromSeconds(l.left(a, now)), Need: a.job.need}
			if a.stopped != 0 {
				e.Remaining = a.grace
			}
			p.Completions = append(p.Completions, e)
		}
	}
	return machines, ms
}

// gatherFor adds a machine to a gang's gathering.
func (l *Leader) gatherFor(id string, m *machine, now micros.Micros) {
	j := l.jobs[id]
	if j == nil || m.gathering != nil {
		return
	}
	g := l.gatherings[id]
	if g == nil || len(g.machines) == 0 {
		g = &gathering{until: now + gatherWithin + l.report, again: now + 2*(gatherWithin+l.report)}
		l.gatherings[id] = g
		for _, w := range l.queue.waiting {
			if w.ID == id {
				g.view = w
			}
		}
	}
	m.gathering = g
	g.machines = append(g.machines, m)
}

// dropGathering opens to all what is gathered for a gang.
func (l *Leader) dropGathering(j *job) {
	g := l.gatherings[j.spec.ID]
	if g == nil {
		return
	}
	for _, m := range g.machines {
		if m.gathering == g {
			m.gathering = nil
			l.replan = true
		}
	}
	g.machines = nil
	if j.over || micros.Now() >= g.again {
		delete(l.gatherings, j.spec.ID)
	}
}

// shortFor is how long a gang that lost a task before its start waits for another place to
// come free, until a machine is booked for it.
const shortFor = 2 * micros.Second

// rentForGangs books machines for gangs that not even an empty fleet could take: the types'
// targets count machines, and a gang may need more of them at once, or more in one zone,
// than the work alone would. One that has begun to start needs room now: its other tasks
// hold theirs in vain until it comes.
func (l *Leader) rentForGangs(now micros.Micros) {
	teams, unresolved := l.teamUse(), l.unknownTasks()
	for _, j := range l.gangs() {
		if l.mustWait(j, unresolved) || !l.Term.IsExclusive() {
			continue
		}
		want := j.ready(now)
		if want == 0 || teams[j.spec.Team].Room(j.need, want) < want {
			j.gang.short = 0
			continue
		}
		room := func(m *machine, t *machineType) placement.Resources {
			if len(j.on) > 0 {
				return m.free
			}
			return t.capacity
		}
		inZone, sum, most := l.gangRoom(j, want, room)
		if sum >= want {
			j.gang.short = 0
			continue
		}
		if j.gang.short == 0 {
			j.gang.short = now
		}
		if len(j.on) > 0 && now-j.gang.short < shortFor {
			continue
		}
		var best offer
		for _, o := range l.offersFor(j) {
			if l.pending(o) {
				best = offer{}
				break // its answer comes first
			}
			if st := l.offers[o]; st != nil && now < st.until || l.zones.Decide(o.Zone).Rent < zone.AnyNumber || most(o.Zone) <= inZone[o.Zone] {
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
			l.book(best, (missing+per-1)/max(1, per))
		}
	}
}

// gangRoom counts the tasks of a gang, at most want, for which its machines would have
// room: by zone, and where they may all be; most is how many may be in a zone.
func (l *Leader) gangRoom(j *job, want int, room func(*machine, *machineType) placement.Resources) (inZone map[string]int, sum int, most func(string) int) {
	s := j.spec
	held := map[string]int{}
	for _, a := range j.on {
		held[a.machine.kind.Zone]++
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
	for _, m := range l.order {
		t := l.types[m.kind.Type]
		if t == nil || m.leaving || m.draining != "" || !placement.ConstraintsAdmit(&probe, m.kind.Type, m.kind.Zone, m.kind.Spot) {
			continue
		}
		n := room(m, t).CountFitting(j.need, most(m.kind.Zone)-inZone[m.kind.Zone])
		inZone[m.kind.Zone] += n
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
