package leader

import (
	"cmp"
	"fmt"
	"slices"

	"caperlatch/internal/micros"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

// machine is the leader's record of one rented machine.
//
// Its parts are grouped by what changes them. A task may start on the machine only while
// isSchedulable says so.
type machine struct {
	id       string
	intent   *launchIntent // that it was rented for
	offering offering

	instance       instanceState
	heartbeat      heartbeatState
	lease          leaseState
	delivery       deliveryState
	reconciliation reconciliationState
	quarantine     quarantineState
	zoneReturn     zoneReturn

	// Assignments. free is the capacity less the needs of all attempts, so it changes only in
	// assign and release.
	attempts      map[string]*attempt // by task ID
	stoppingCount int                 // attempts that were told to stop
	free          placement.Resources
	planned       []*job // one entry a start that the next response carries

	images   imageCache
	imageSet placement.ImageSet // cached images, and those that are being pulled

	// Who may use its room.
	reservation          *gangReservation // its room is reserved for one gang
	pool                 *gangPool        // only gangs start on it
	surplus              bool             // not wanted by the staffing formula
	surplusSince         micros.Micros    // 0 if it is not
	rejectsDelayTolerant bool             // an on-demand machine that only delay-tolerant jobs would use
	drainReason          string           // why it gets no more tasks, empty if it does
	startBackoffUntil    micros.Micros    // no starts before
	published            standby.MachineState
}

// instanceState is what is known of a machine as the cloud's instance.
//
// intentStored and listStored are both needed before a task may be placed: a leader that
// takes over must find every machine that may hold tasks.
type instanceState struct {
	address          string
	launchedAt       micros.Micros
	running          bool          // it has reported, or is stored as running
	intentStored     bool          // its launch intent is stored with its name
	listStored       bool          // the machine list that names it is stored
	list             int           // index of that list
	firstHeartbeatAt micros.Micros // in this term, 0 if there was none
	listed           bool          // it has been in the cloud's list
	missingLists     int           // consecutive lists without it since
	lateWithCohort   bool          // it boots late, as most that were launched with it
	terminating      bool          // its termination was requested; that is never taken back
	idleSince        micros.Micros // when its last task ended
}

// heartbeatState is what a machine's latest heartbeat said of the worker itself. incarnation
// and sequence only grow.
type heartbeatState struct {
	incarnation    uint64
	sequence       uint64        // within the incarnation
	receivedAt     micros.Micros // of the latest heartbeat that was newer than the one before
	ofThisTerm     bool          // the worker made it after it had seen this term's fencing token
	interruptionAt micros.Micros // when the cloud takes the machine back, 0 without a notice
}

// leaseState is what decides when a silent worker has ended its tasks; see leaseExpiry.
type leaseState struct {
	renewedAt    micros.Micros // of the latest response that may have renewed it
	expiredSince micros.Micros // 0 while it has not expired
	deferredAt   micros.Micros // when a heartbeat was last refused while leadership was in doubt
}

// deliveryState tells whether responses reach the worker.
type deliveryState struct {
	respondedThisTerm bool
	sent              []wire.Command // starts and clears of the latest response
	lostResponses     int            // in a row
	losingSince       micros.Micros  // of the first of these
	followUps         []wire.Command // clears and stops that the latest heartbeat calls for
}

// taskKnowledge says how the leader knows which tasks are on a machine.
type taskKnowledge int

const (
	// tasksUnknown: it may hold tasks of earlier terms that this one has not seen.
	tasksUnknown taskKnowledge = iota
	// tasksHandedOver: the leader before named them in a complete handover.
	tasksHandedOver
	// tasksConfirmed: the worker has reported them in this term, or can hold none of an earlier one.
	tasksConfirmed
)

// reconciliationState is how far a machine's tasks are known after a failover.
type reconciliationState struct {
	knowledge       taskKnowledge
	queriedSequence uint64 // of the worker's answer to a task query; see queryTasksLoop
	failedQueries   int
	previousTerm    *standby.Machine // what the term before was seen to know of it, nil if nothing
}

// quarantineState is the evidence for a machine being at fault when tasks fail; see faults.go.
type quarantineState struct {
	since       micros.Micros   // when it was found faulty, 0 if it was not
	failures    int             // of jobs that succeed elsewhere, since its last success
	suspectJobs map[string]bool // other jobs that failed on it since then
	provenAt    micros.Micros   // start of the latest task that succeeded on it
}

func (l *Leader) addMachine(id string, intent *launchIntent, now micros.Micros) *machine {
	m := &machine{
		id:       id,
		intent:   intent,
		offering: offering{intent.Type, intent.Zone, intent.Spot},
		attempts: map[string]*attempt{},
	}
	m.instance.launchedAt = now - max(0, micros.Wall()-intent.At)
	m.instance.idleSince = now
	m.quarantine.suspectJobs = map[string]bool{}
	// Unless it is stored as running, it cannot have got tasks from an earlier term.
	m.reconciliation.knowledge = tasksConfirmed
	if t := l.types[intent.Type]; t != nil {
		m.free = t.capacity
	}
	l.machines[id] = m
	at, _ := slices.BinarySearchFunc(l.sorted, id, func(m *machine, id string) int { return cmp.Compare(m.id, id) })
	l.sorted = slices.Insert(l.sorted, at, m)
	return m
}

// countUnknownMachines counts the machines that may hold tasks of earlier terms.
func (l *Leader) countUnknownMachines() int {
	n := 0
	for _, m := range l.machines {
		if !m.tasksKnown() {
			n++
		}
	}
	return n
}

// leaseExpiry tells when a silent machine has surely ended its tasks.
func (l *Leader) leaseExpiry(m *machine) micros.Micros {
	if !m.tasksKnown() {
		w := l.Settings.Params.Workers
		// Another node may have renewed the lease until LeaseRenewalWindow after it
		// last saw itself entitled, which was before this term began, unless
		// all are known to have heard of this term sooner.
		last := l.startedAt + w.LeaseRenewalWindow()
		if alone := l.Term.EarlierTermsFencedSince(); alone != 0 {
			last = min(last, alone)
		}
		return max(last, m.lease.renewedAt) + w.LeaseDuration() + micros.Drift(w.CancellationTimeout()) + micros.Second
	}
	return m.lease.renewedAt + l.leaseDuration + micros.Drift(l.leaseDuration) + micros.Second
}

// silenceLimit is how long a machine may be silent before it is returned to
// the cloud, which proves its tasks gone and stops its cost.
func (l *Leader) silenceLimit(m *machine) micros.Micros {
	if !m.tasksKnown() {
		// Old jobs wait for these, so a machine or two is the smaller loss. A live
		// worker reports within five quarters of the usual time; it may have to
		// give a node up before (4 s, and a pause of 1 s).
		late := l.heartbeatInterval + l.heartbeatInterval/4 + 2*micros.Second
		if m.reconciliation.failedQueries >= 2 && l.zoneQueries[m.offering.Zone].mostResponded() && 10*l.unknownMachines <= len(l.sorted) {
			return min(late, unresponsiveLimit)
		}
		if 50*l.unknownMachines <= len(l.sorted) || m.reconciliation.failedQueries >= 2 && l.mostMachinesRespond() {
			return late
		}
		return late + 5*micros.Second
	}
	return max(3*l.heartbeatInterval+4*micros.Second, min(l.leaseDuration, 20*micros.Second))
}

// maxLostResponses is how many answers in a row must have been lost before a machine is
// taken for one that receives none.
const maxLostResponses = 3

// seemsReclaimed tells whether the cloud seems to have taken a machine without a notice: it is
// silent, and was listed before and is so no longer. That proves nothing, as lists
// lag; but it is a reason to return it now, which does.
func (l *Leader) seemsReclaimed(m *machine, now micros.Micros) bool {
	return m.instance.listed && m.instance.missingLists >= 2 && l.isHeartbeatLate(m, now)
}

// silence is how long a machine has not been heard of in this term.
func (l *Leader) silence(m *machine, now micros.Micros) micros.Micros {
	return now - max(m.heartbeat.receivedAt, l.startedAt)
}

// superviseMachines acts on silence, notices and stops that take too long.
func (l *Leader) superviseMachines(now micros.Micros) {
	l.observeZones(now)
	l.markLateCohorts(now)
	l.replaceLateSample(now)
	l.unknownMachines = l.countUnknownMachines()
	for _, m := range slices.Clone(l.sorted) {
		over := l.checkLease(m, now)
		if why := l.terminationReason(m, over, now); why != "" {
			l.terminate(m, why)
		}
		if !m.instance.terminating && l.ignoresStop(m, now) {
			l.terminate(m, "a cancelled task does not stop")
		}
	}
}

// checkLease takes the tasks off a machine whose lease is over, and tells whether it is.
func (l *Leader) checkLease(m *machine, now micros.Micros) (over bool) {
	over = now > l.leaseExpiry(m)
	if over && (len(m.attempts) > 0 || !m.tasksKnown()) {
		l.aggregatedLog.add(fmt.Sprintf("lease ended, tasks lost: %t", len(m.attempts) > 0), m.id)
		l.releaseAll(m, "its lease ended")
	}
	if !over || !m.instance.running {
		m.lease.expiredSince = 0
	} else if m.lease.expiredSince == 0 {
		m.lease.expiredSince = now
	}
	return over
}

// terminationReason is why a machine should be returned to the cloud, empty if it should not; over
// says that its lease is. Where many are silent at once the network is more likely at fault
// than they are: they are kept as long as their leases last, and as long again.
func (l *Leader) terminationReason(m *machine, over bool, now micros.Micros) string {
	report := l.Settings.Params.Workers.HeartbeatInterval()
	kept := func() bool { return l.policy.Decide(m.offering.Zone).KeepSilent }
	switch {
	case m.instance.terminating:
	case m.instance.running && l.silence(m, now) > l.silenceLimit(m) && (!kept() || m.lease.expiredSince != 0 && now-m.lease.expiredSince > l.leaseDuration):
		return "silent"
	case m.instance.running && l.seemsReclaimed(m, now):
		return "silent and no longer listed"
	case m.delivery.lostResponses >= maxLostResponses && now-m.delivery.losingSince > l.silenceLimit(m) && (!kept() || over):
		return "it hears nothing"
	case !m.instance.running && m.instance.firstHeartbeatAt == 0 && now-m.instance.launchedAt > l.bootTimeout(m) && now-l.startedAt > 2*report:
		l.bootOutcomes.add(false)
		return "did not boot"
	case m.drainReason != "" && len(m.attempts) == 0 && m.tasksKnown():
		return m.drainReason
	case m.drainReason == drainFaulty && now-m.quarantine.since > 3*report:
		// What still runs there had time to save and would fail as well. A next leader
		// would have to find the fault anew.
		return m.drainReason
	}
	return ""
}

// ignoresStop tells whether a machine has not stopped a task of a job that is over. It is
// returned well before cancel_s.
func (l *Leader) ignoresStop(m *machine, now micros.Micros) bool {
	if m.stoppingCount == 0 {
		return false
	}
	w := l.Settings.Params.Workers
	limit := (w.CancellationTimeout() - w.LeaseDuration()) / 2
	for _, a := range m.attempts {
		if a.stopRequestedAt != 0 && a.job.ended && now-a.stopRequestedAt > limit {
			return true
		}
	}
	return false
}

// assign counts a task as being on its machine.
func (l *Leader) assign(a *attempt) {
	a.machine.attempts[taskID(a.job.spec.ID, a.index)] = a
	if other := a.job.attempts[a.index]; other != nil {
		a.job.attemptsPerZone[other.machine.offering.Zone]--
	}
	l.recordMoved(a)
	a.job.attempts[a.index] = a
	a.job.attemptsPerZone[a.machine.offering.Zone]++
	a.machine.free = a.machine.free.Add(a.job.need, -1)
	a.machine.imageSet = a.machine.imageSet.With(a.job.image)
	l.teamUsage[a.job.spec.Team] = l.teamUsage[a.job.spec.Team].Add(a.job.need, 1)
	l.publishAssigned(a)
}

// releaseAll frees all tasks of a machine that are surely gone.
func (l *Leader) releaseAll(m *machine, why string) {
	for _, a := range m.attempts {
		l.release(a, why)
	}
	m.reconciliation.knowledge = tasksConfirmed
	m.planned = nil
	l.replan = true
	l.publishMachine(m)
}

// release frees a task that is no longer on its machine.
func (l *Leader) release(a *attempt, why string) {
	delete(a.machine.attempts, taskID(a.job.spec.ID, a.index))
	l.publishRemoved(a)
	if a.stopRequestedAt != 0 {
		a.machine.stoppingCount--
	}
	if a.protected {
		a.job.protectedTasks--
	}
	a.machine.free = a.machine.free.Add(a.job.need, 1)
	l.teamUsage[a.job.spec.Team] = l.teamUsage[a.job.spec.Team].Add(a.job.need, -1)
	if len(a.machine.attempts) == 0 {
		a.machine.instance.idleSince = micros.Now()
	}
	if a.job.attempts[a.index] == a {
		delete(a.job.attempts, a.index)
		a.job.attemptsPerZone[a.machine.offering.Zone]--
		if a.runningSince != 0 {
			a.job.runningCount--
		}
		a.job.requeue(a.index)
		if len(a.job.attempts) == 0 {
			delete(l.cancelledJobs, a.job.spec.ID)
		}
		if a.runningSince != 0 && !a.job.done.has(a.index) {
			a.job.ranBefore[a.index] = true
		}
		l.observeGangTaskLost(a)
	}
	if a.stopReason != "" {
		why = a.stopReason
	}
	if !a.job.ended && !a.job.done.has(a.index) {
		l.recordDisplaced(a)
		l.recordStop(a, why)
		l.replan = true // it waits again
	}
}

// stopTask tells a task to stop.
func (l *Leader) stopTask(a *attempt, grace micros.Micros, why string) {
	if l.markStopping(a, grace, why) {
		l.sendDirect(a.machine, stopCommand(a))
	}
}

// markStopping notes that a task is to stop, and tells whether its machine must be told.
func (l *Leader) markStopping(a *attempt, grace micros.Micros, why string) bool {
	if a.reserved {
		l.releaseReservation(a, why)
		return false
	}
	if a.stopRequestedAt != 0 && grace >= a.gracePeriod {
		return false
	}
	if a.stopRequestedAt == 0 {
		a.machine.stoppingCount++
		a.stopRequestedAt = micros.Now()
	}
	a.gracePeriod, a.stopReason = grace, why
	l.publishAssigned(a)
	return true
}

func stopCommand(a *attempt) wire.Command {
	return wire.Command{Verb: wire.VerbStop, TaskID: taskID(a.job.spec.ID, a.index), Attempt: a.number, GracePeriodS: secondsPtr(a.gracePeriod)}
}

func secondsPtr(m micros.Micros) *float64 {
	s := m.Seconds()
	return &s
}

// imageCache guesses which images a machine has, from what ran on it.
type imageCache struct {
	names []string // least recently used first
	gb    map[string]float64
}

func (c *imageCache) use(name string, gb, limit float64) {
	if c.gb == nil {
		c.gb = map[string]float64{}
	}
	if i := slices.Index(c.names, name); i >= 0 {
		c.names = slices.Delete(c.names, i, i+1)
	}
	c.names = append(c.names, name)
	c.gb[name] = gb
	sum := 0.0
	for _, n := range c.names {
		sum += c.gb[n]
	}
	for sum > limit && len(c.names) > 1 {
		sum -= c.gb[c.names[0]]
		delete(c.gb, c.names[0])
		c.names = c.names[1:]
	}
}
