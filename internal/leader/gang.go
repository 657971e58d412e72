package leader

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
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

// immediateStartLimit is how late places may start a gang that are taken as soon as they are found.
// Later ones are taken only when it has waited for as long: of many machines some report
// soon, so it starts at most twice as late as it could, and mostly sooner. Places
// on machines that had reported just before once cost gangs a whole report time.
const immediateStartLimit = micros.Second

// planStarts has tasks of a job start with a machine's next answer. A gang's have their
// places from now on; others' plans bind nobody.
func (l *Leader) planStarts(m *state.Machine, j *state.Job, count int, now micros.Micros) {
	if !j.IsGang() {
		for range count {
			m.Planned = append(m.Planned, j)
		}
		return
	}
	l.dropReservation(j)
	if len(j.Attempts) == 0 {
		j.Gang = state.GangAttempt{Number: l.nextAttemptNumber()}
		slog.Debug("gang", "job", j.Spec.ID, "attempt", j.Gang.Number, "tasks", j.Spec.Tasks)
	}
	for range count {
		task, ok := j.TakeWaitingTask()
		if !ok {
			return
		}
		a := &state.Attempt{Job: j, Index: task, Number: j.Gang.Number, Machine: m, StartedAt: now, Reserved: true, Protected: true}
		j.ProtectedTasks++
		l.assign(a)
	}
}

// commandReservedStarts adds the starts of reserved tasks to a machine's orders.
func (l *Leader) commandReservedStarts(m *state.Machine, orders []wire.Command) []wire.Command {
	var starts []*state.Attempt
	for _, a := range m.Attempts {
		if a.Reserved {
			starts = append(starts, a)
		}
	}
	slices.SortFunc(starts, func(a, b *state.Attempt) int {
		return cmp.Or(cmp.Compare(a.Job.Spec.ID, b.Job.Spec.ID), cmp.Compare(a.Index, b.Index))
	})
	for _, a := range starts[:min(len(starts), max(0, maxCommands-len(orders)))] {
		if !l.canStartTasks(a.Job, m, 0) {
			// A task that nobody knew of has shown itself since the places were reserved.
			l.releaseReservation(a, "it may not start there any more")
			continue
		}
		a.Reserved, a.StartSequence = false, m.Heartbeat.Sequence
		l.publishAssigned(a)
		orders = append(orders, wire.Command{Verb: wire.VerbStart, TaskID: a.TaskID(), Attempt: a.Number})
	}
	return orders
}

// releaseReservation gives a reserved place back: its start was never sent.
func (l *Leader) releaseReservation(a *state.Attempt, why string) {
	a.Reserved = false
	l.release(a, why)
}

// observeGangTask takes over what a report says of a gang's task that is on its machine.
func (l *Leader) observeGangTask(a *state.Attempt, now micros.Micros) {
	j := a.Job
	if !j.IsGang() || j.Ended {
		return
	}
	g := &j.Gang
	if a.Number > g.Number {
		// Adopted from an earlier term, whose latest attempt has the highest number.
		*g = state.GangAttempt{Number: a.Number}
		for _, other := range j.Attempts {
			if other.Number < a.Number {
				l.stopTask(other, 0, "a later attempt of its gang is there")
			}
		}
	}
	switch {
	case a.Number < g.Number:
		l.stopTask(a, 0, "a later attempt of its gang is there")
	case a.ReportedState == wire.TaskWaitingForGang && g.WaitingSince == 0:
		g.WaitingSince = now
	case a.ReportedState == wire.TaskRunning:
		g.Started = true
	case a.ReportedState == wire.TaskCheckpointing:
		g.Started = true
		if !g.Ending {
			// An earlier leader was stopping the gang: all must be told in time.
			l.endGangAttempt(j, state.CheckpointGrace(j), "an earlier leader stopped its gang")
		}
	}
	if g.Ending && a.StopRequestedAt == 0 {
		l.endGangAttempt(j, state.CheckpointGrace(j), "its gang is being stopped")
	}
	l.endInconsistentGang(j)
}

// endInconsistentGang ends an attempt of which a report shows that it can't be complete, or is being
// stopped.
func (l *Leader) endInconsistentGang(j *state.Job) {
	g := &j.Gang
	reserved, leaving := false, false
	for _, a := range j.Attempts {
		reserved = reserved || a.Reserved
		leaving = leaving || a.Number == g.Number && a.StopRequestedAt != 0
	}
	switch {
	case g.Ending:
	case g.Number <= j.LastEndedAttempt || g.Started && reserved:
		// Its exits say so, or one of its starts was never sent.
		l.endGangAttempt(j, 0, "another task of its gang is gone")
	case g.Started && leaving:
		// One that was to leave while it waited runs by now: all must be told in time.
		l.endGangAttempt(j, state.CheckpointGrace(j), "one of its gang's machines is given up")
	}
}

// completeGang notes that all tasks of a gang are done, as one is: they complete together.
func (l *Leader) completeGang(j *state.Job) {
	if !j.IsGang() {
		return
	}
	for t := range j.Spec.Tasks {
		if !j.Done.Has(t) {
			j.Done.Set(t)
			j.DoneCount++
			l.writes.Mark(state.ProgressKey(j.Spec.ID, t/state.ChunkTasks))
		}
	}
}

// observeGangExit has the other tasks stopped when one ended in a way that tells of the whole
// attempt, whether or not it was known here.
func (l *Leader) observeGangExit(j *state.Job, task int, a *state.Attempt, t *wire.TaskStatus) {
	if !j.IsGang() || j.Ended || j.DoneCount > 0 {
		return
	}
	if t.ExitReason == wire.ExitGangTaskLost || t.ExitReason == wire.ExitGangTimeout {
		j.LastEndedAttempt = max(j.LastEndedAttempt, t.Attempt)
	}
	if j.Gang.Ending || t.Attempt != j.Gang.Number || a != nil && a.StopRequestedAt != 0 {
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
		if j.Gang.Started && (a != nil || j.Attempts[task] == nil) {
			l.endGangAttempt(j, state.CheckpointGrace(j), "an earlier leader stopped its gang")
		}
	}
}

// observeGangTaskLost takes note that a task is no longer on its machine.
func (l *Leader) observeGangTaskLost(a *state.Attempt) {
	j := a.Job
	if !j.IsGang() {
		return
	}
	if !j.Ended && j.DoneCount == 0 && a.Number == j.Gang.Number && j.Gang.Started && !j.Gang.Ending {
		l.endGangAttempt(j, 0, "another task of its gang is gone")
	}
	if len(j.Attempts) == 0 {
		j.Gang = state.GangAttempt{}
	}
}

// stopGangIfReachable has all tasks of a gang stop, with time to save. It is done only when all
// of them can be told in time: a gang of which a part is stopped falls back to its last
// checkpoint, so one that can't be told whole is left alone, and loses no more.
func (l *Leader) stopGangIfReachable(j *state.Job, grace micros.Micros, why string, now micros.Micros) bool {
	if !j.Gang.Ending && !l.allTasksReachable(j, now) {
		return false
	}
	l.endGangAttempt(j, grace, why)
	return true
}

// evictGangTask has a gang's task leave a machine that is given up. One that waits for the
// others is replaced; once they run, all stop, if that saves their work. It may run unseen
// already: then it saves, and shows that. One that waits exits at once all the same.
func (l *Leader) evictGangTask(a *state.Attempt, grace micros.Micros, why string, now micros.Micros) {
	switch {
	case !a.Job.Gang.Started && a.StopRequestedAt == 0:
		l.stopTask(a, grace, why)
	case a.Job.Spec.CheckpointIntervalS > 0 && a.StopRequestedAt == 0:
		l.stopGangIfReachable(a.Job, grace, why, now)
	}
}

// allTasksReachable tells whether all tasks of a gang should hear a stop in time.
func (l *Leader) allTasksReachable(j *state.Job, now micros.Micros) bool {
	if !l.Term.IsExclusive() {
		return false
	}
	for _, a := range j.Attempts {
		m := a.Machine
		if m.Instance.Terminating || m.Delivery.LostResponses > 0 || m.Instance.Address == "" || !l.zones.Policy.Decide(m.Offering.Zone).Reachable ||
			l.liveness.IsHeartbeatLate(m, now) {
			return false
		}
	}
	return true
}

// carryOut ends a gang's attempt: places whose start was not sent are released, and the
// others' machines are told at once. The next attempt begins when all are gone.
func (l *Leader) endGangAttempt(j *state.Job, grace micros.Micros, why string) {
	j.Gang.Ending = true
	byMachine := map[*state.Machine][]wire.Command{}
	for _, task := range slices.Sorted(maps.Keys(j.Attempts)) {
		if a := j.Attempts[task]; a != nil && l.markStopping(a, grace, why) {
			byMachine[a.Machine] = append(byMachine[a.Machine], stopCommand(a))
		}
	}
	for m, commands := range byMachine {
		l.dispatcher.SendUntilDelivered(commandTarget(m), commands, l.Settings.Params.Workers.GangLossTimeout())
	}
	if len(j.Attempts) == 0 {
		j.Gang = state.GangAttempt{}
	}
}

// checkGangs moves reservations whose machines do not come for them, and ends attempts
// that will not be complete in time.
func (l *Leader) checkGangs(now micros.Micros) {
	if !l.ready {
		return
	}
	unresolved := l.findUnknownMachines()
	for _, j := range state.Gangs(l.jobs) {
		if j.DoneCount > 0 {
			continue
		}
		if g := l.reservations[j.Spec.ID]; g != nil && now >= g.ExpiresAt && (len(g.Machines) > 0 || now >= g.RetryAt) {
			l.dropReservation(j)
		}
		if len(j.Attempts) == 0 {
			continue
		}
		for _, a := range j.Attempts {
			late := now-a.StartedAt > l.heartbeatInterval+l.heartbeatInterval/4+micros.Second && l.liveness.Silence(a.Machine, now) > l.heartbeatInterval+l.heartbeatInterval/4+micros.Second
			if a.Reserved && (late || !a.Machine.IsSchedulable(now)) {
				l.releaseReservation(a, "its machine did not come for it")
			}
		}
		switch {
		case j.Gang.Ending:
			// What an adopted or repeated start brought is stopped as well.
			l.endGangAttempt(j, state.CheckpointGrace(j), "its gang is being stopped")
		case j.Gang.Started && j.WaitingTasks() > 0 && !l.mustAwaitReconciliation(j, unresolved):
			// Its task was lost in an earlier term, or between two.
			l.endGangAttempt(j, 0, "another task of its gang is gone")
		case !j.Gang.Started && j.Gang.WaitingSince != 0 && now-j.Gang.WaitingSince > gangAssemblyLimit(l.Settings.Params.Workers.GangAssemblyTimeout()):
			l.endGangAttempt(j, state.CheckpointGrace(j), "its gang was not complete in time") // it may run unseen already
		}
	}
}

// gangAssemblyLimit is how long a gang's tasks are let wait for the last: what is to be
// undone should be so before the first of them gives up.
func gangAssemblyLimit(wait micros.Micros) micros.Micros { return wait * 2 / 3 }

// nonPreemptibleGangs lists the gangs that must not be stopped for other work: until all tasks run, and
// while not all can be told.
func (l *Leader) nonPreemptibleGangs(now micros.Micros) map[*state.Job]bool {
	out := map[*state.Job]bool{}
	for _, j := range state.Gangs(l.jobs) {
		out[j] = !j.Gang.Started || j.DoneCount > 0 || !l.allTasksReachable(j, now)
	}
	return out
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
	var ms []*state.Machine
	gathered, tries := l.countReserved(), 0
	for i, w := range q.waiting {
		if !l.canReserve(w, now) || gathered > 0 && reservationDivisor*gathered >= len(l.fleet.Sorted) {
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
			l.reserveMachineFor(q.jobs[i].Spec.ID, ms[n], now)
			gathered++
		}
	}
}

// countReserved counts the machines that are gathered for gangs.
func (l *Leader) countReserved() int {
	n := 0
	for _, m := range l.fleet.Sorted {
		if m.Reservation != nil {
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
	return g == nil || len(g.Machines) == 0 && now >= g.RetryAt
}

// machinesWithCompletions lists the machines that may get tasks, with when what runs there should end.
func (l *Leader) machinesWithCompletions(now micros.Micros) ([]placement.Machine, []*state.Machine) {
	machines, ms := l.schedulableMachines(now, placement.Resources{})
	for n, m := range ms {
		p := &machines[n]
		for _, j := range m.Planned {
			p.Free = p.Free.Add(j.Need, -1)
		}
		for _, a := range m.Attempts {
			e := placement.Completion{Remaining: micros.FromSeconds(l.workload.RemainingRuntime(a, now)), Need: a.Job.Need}
			if a.StopRequestedAt != 0 {
				e.Remaining = a.GracePeriod
			}
			p.Completions = append(p.Completions, e)
		}
	}
	return machines, ms
}

// reserveMachineFor adds a machine to a gang's gathering.
func (l *Leader) reserveMachineFor(id string, m *state.Machine, now micros.Micros) {
	j := l.jobs[id]
	if j == nil || m.Reservation != nil {
		return
	}
	g := l.reservations[id]
	if g == nil || len(g.Machines) == 0 {
		g = &state.GangReservation{ExpiresAt: now + reservationHorizon + l.heartbeatInterval, RetryAt: now + 2*(reservationHorizon+l.heartbeatInterval)}
		l.reservations[id] = g
		for _, w := range l.queue.waiting {
			if w.ID == id {
				g.Waiting = w
			}
		}
	}
	m.Reservation = g
	g.Machines = append(g.Machines, m)
}

// dropReservation opens to all what is gathered for a gang.
func (l *Leader) dropReservation(j *state.Job) {
	g := l.reservations[j.Spec.ID]
	if g == nil {
		return
	}
	for _, m := range g.Machines {
		if m.Reservation == g {
			m.Reservation = nil
			l.replan = true
		}
	}
	g.Machines = nil
	if j.Ended || micros.Now() >= g.RetryAt {
		delete(l.reservations, j.Spec.ID)
	}
}
