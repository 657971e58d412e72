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

// machine is a rented machine.
type machine struct {
	id                string
	booking           *booking
	kind              offer
	address           string
	session           uint64
	seq               uint64
	up                bool           // it has reported, or is stored as up
	stored            bool           // with its booking
	upStored          bool           // as up: only with both may it get tasks
	runningList       int            // where
	first             micros.Micros  // first report in this term, 0 if none
	current           bool           // its last report carried this term's token
	told              bool           // it was answered in this term
	listed            bool           // it has been in the cloud\'s list
	missing           int            // lists in a row since then without it
	sent              []wire.Command // starts and clears of the last answer
	notReceiving      int            // answers in a row that did not reach it
	notReceivingSince micros.Micros
	resolved          bool          // its tasks are known: it reported with this term's token
	asked             uint64        // seq of its answer when asked for its tasks, see askLoop
	asks              int           // that it gave no answer to
	expired           micros.Micros // since when its lease is over
	rentedAt          micros.Micros
	reported          micros.Micros // last newer report
	answered          micros.Micros // last answer that may have renewed its lease
	bounced           micros.Micros // when last sent away in doubt
	tasks             map[string]*attempt
	stopping          int                 // tasks that were told to stop
	free              placement.Resources // what no task holds
	clears            []wire.Command
	planned           []*job       // one entry a start
	gathering         *gathering   // its room is gathered for a gang
	reserve           *gangReserve // only gangs start on it
	images            imageCache
	have              placement.ImageSet // these, and what is being fetched
	surplus           bool               // not wanted by the formula
	surplusAt         micros.Micros      // since when, 0 if it is not
	closedToPatient   bool               // an ordinary one that only patient work would use
	draining          string             // why it gets no more tasks
	leaving           bool               // a return has been asked for
	recallAt          micros.Micros
	faultyAt          micros.Micros        // when found faulty
	strikes           int                  // failures of good jobs since its last success
	failed            map[string]bool      // other jobs that failed on it since then, see faults.go
	proven            micros.Micros        // when the latest task began that was done
	notUntil          micros.Micros        // no starts before
	busyTill          micros.Micros        // idle since, for returns
	withMost          bool                 // it is late as most that were rented with it
	expected          *standby.Machine     // what the term before was seen to know of it
	unconfirmed       bool                 // its tasks are known by a handover, and not by itself
	published         standby.MachineState // to the followers
	inZone            zoneMembership
}

func (l *Leader) addMachine(id string, b *booking, now micros.Micros) *machine {
	m := &machine{
		id:       id,
		booking:  b,
		kind:     offer{b.Type, b.Zone, b.Spot},
		tasks:    map[string]*attempt{},
		rentedAt: now - max(0, micros.Wall()-b.At),
		failed:   map[string]bool{},
		busyTill: now,
	}
	m.resolved = true // unless it is stored as up, it cannot have got tasks from an earlier term
	if t := l.types[b.Type]; t != nil {
		m.free = t.capacity
	}
	l.machines[id] = m
	at, _ := slices.BinarySearchFunc(l.order, id, func(m *machine, id string) int { return cmp.Compare(m.id, id) })
	l.order = slices.Insert(l.order, at, m)
	return m
}

// unresolved counts the machines that may hold tasks of earlier terms.
func (l *Leader) unresolved() int {
	n := 0
	for _, m := range l.machines {
		if !m.resolved {
			n++
		}
	}
	return n
}

// leaseOver tells when a silent machine has surely ended its tasks.
func (l *Leader) leaseOver(m *machine) micros.Micros {
	if !m.resolved {
		w := l.Settings.Params.Workers
		// Another node may have renewed the lease until LeaseRenewalWindow after it
		// last saw itself entitled, which was before this term began, unless
		// all are known to have heard of this term sooner.
		last := l.began + w.LeaseRenewalWindow()
		if alone := l.Term.EarlierTermsFencedSince(); alone != 0 {
			last = min(last, alone)
		}
		return max(last, m.answered) + w.LeaseDuration() + micros.Drift(w.CancellationTimeout()) + micros.Second
	}
	return m.answered + l.lease + micros.Drift(l.lease) + micros.Second
}

// silentLimit is how long a machine may be silent before it is returned to
// the cloud, which proves its tasks gone and stops its cost.
func (l *Leader) silentLimit(m *machine) micros.Micros {
	if !m.resolved {
		// Old jobs wait for these, so a machine or two is the smaller loss. A live
		// worker reports within five quarters of the usual time; it may have to
		// give a node up before (4 s, and a pause of 1 s).
		late := l.report + l.report/4 + 2*micros.Second
		if m.asks >= 2 && l.zoneAnswers[m.kind.Zone].most() && 10*l.unresolvedMachines <= len(l.order) {
			return min(late, askedLimit)
		}
		if 50*l.unresolvedMachines <= len(l.order) || m.asks >= 2 && l.mostAnswered() {
			return late
		}
		return late + 5*micros.Second
	}
	return max(3*l.report+4*micros.Second, min(l.lease, 20*micros.Second))
}

// notReceivingAfter is how many answers in a row must have been lost before a machine is
// taken for one that receives none.
const notReceivingAfter = 3

// taken tells whether the cloud seems to have taken a machine without a notice: it is
// silent, and was listed before and is so no longer. That proves nothing, as lists
// lag; but it is a reason to return it now, which does.
func (l *Leader) taken(m *machine, now micros.Micros) bool {
	return m.listed && m.missing >= 2 && l.lateReport(m, now)
}

// silentFor is how long a machine has not been heard of in this term.
func (l *Leader) silentFor(m *machine, now micros.Micros) micros.Micros {
	return now - max(m.reported, l.began)
}

// watchMachines acts on silence, notices and stops that take too long.
func (l *Leader) watchMachines(now micros.Micros) {
	l.watchZones(now)
	l.watchBoots(now)
	l.probeBoots(now)
	l.unresolvedMachines = l.unresolved()
	for _, m := range slices.Clone(l.order) {
		over := l.watchLease(m, now)
		if why := l.whyReturn(m, over, now); why != "" {
			l.giveUp(m, why)
		}
		if !m.leaving && l.disobeys(m, now) {
			l.giveUp(m, "a cancelled task does not stop")
		}
	}
}

// watchLease takes the tasks off a machine whose lease is over, and tells whether it is.
func (l *Leader) watchLease(m *machine, now micros.Micros) (over bool) {
	over = now > l.leaseOver(m)
	if over && (len(m.tasks) > 0 || !m.resolved) {
		l.tallies.add(fmt.Sprintf("lease ended, tasks lost: %t", len(m.tasks) > 0), m.id)
		l.lose(m, "its lease ended")
	}
	if !over || !m.up {
		m.expired = 0
	} else if m.expired == 0 {
		m.expired = now
	}
	return over
}

// whyReturn is why a machine should be returned to the cloud, empty if it should not; over
// says that its lease is. Where many are silent at once the network is more likely at fault
// than they are: they are kept as long as their leases last, and as long again.
func (l *Leader) whyReturn(m *machine, over bool, now micros.Micros) string {
	report := l.Settings.Params.Workers.HeartbeatInterval()
	kept := func() bool { return l.zones.Decide(m.kind.Zone).KeepSilent }
	switch {
	case m.leaving:
	case m.up && l.silentFor(m, now) > l.silentLimit(m) && (!kept() || m.expired != 0 && now-m.expired > l.lease):
		return "silent"
	case m.up && l.taken(m, now):
		return "silent and no longer listed"
	case m.notReceiving >= notReceivingAfter && now-m.notReceivingSince > l.silentLimit(m) && (!kept() || over):
		return "it hears nothing"
	case !m.up && m.first == 0 && now-m.rentedAt > l.bootLimit(m) && now-l.began > 2*report:
		l.lateBoots.add(false)
		return "did not boot"
	case m.draining != "" && len(m.tasks) == 0 && m.resolved:
		return m.draining
	case m.draining == faulty && now-m.faultyAt > 3*report:
		// What still runs there had time to save and would fail as well. A next leader
		// would have to find the fault anew.
		return m.draining
	}
	return ""
}

// disobeys tells whether a machine has not stopped a task of a job that is over. It is
// returned well before cancel_s.
func (l *Leader) disobeys(m *machine, now micros.Micros) bool {
	if m.stopping == 0 {
		return false
	}
	w := l.Settings.Params.Workers
	limit := (w.CancellationTimeout() - w.LeaseDuration()) / 2
	for _, a := range m.tasks {
		if a.stopped != 0 && a.job.over && now-a.stopped > limit {
			return true
		}
	}
	return false
}

// hold counts a task as being on its machine.
func (l *Leader) hold(a *attempt) {
	a.machine.tasks[taskName(a.job.spec.ID, a.task)] = a
	if other := a.job.on[a.task]; other != nil {
		a.job.zones[other.machine.kind.Zone]--
	}
	l.noteMoved(a)
	a.job.on[a.task] = a
	a.job.zones[a.machine.kind.Zone]++
	a.machine.free = a.machine.free.Add(a.job.need, -1)
	a.machine.have = a.machine.have.With(a.job.image)
	l.used[a.job.spec.Team] = l.used[a.job.spec.Team].Add(a.job.need, 1)
	l.publishPlaced(a)
}

// lose frees all tasks of a machine that are surely gone.
func (l *Leader) lose(m *machine, why string) {
	for _, a := range m.tasks {
		l.ended(a, why)
	}
	m.resolved, m.unconfirmed = true, false
	m.planned = nil
	l.replan = true
	l.publishMachine(m)
}

// ended frees a task that is no longer on its machine.
func (l *Leader) ended(a *attempt, why string) {
	delete(a.machine.tasks, taskName(a.job.spec.ID, a.task))
	l.publishLeft(a)
	if a.stopped != 0 {
		a.machine.stopping--
	}
	if a.protected {
		a.job.protectedTasks--
	}
	a.machine.free = a.machine.free.Add(a.job.need, 1)
	l.used[a.job.spec.Team] = l.used[a.job.spec.Team].Add(a.job.need, -1)
	if len(a.machine.tasks) == 0 {
		a.machine.busyTill = micros.Now()
	}
	if a.job.on[a.task] == a {
		delete(a.job.on, a.task)
		a.job.zones[a.machine.kind.Zone]--
		if a.running != 0 {
			a.job.running--
		}
		a.job.giveBack(a.task)
		if len(a.job.on) == 0 {
			delete(l.orphans, a.job.spec.ID)
		}
		if a.running != 0 && !a.job.done.has(a.task) {
			a.job.resumed[a.task] = true
		}
		l.gangLost(a)
	}
	if a.why != "" {
		why = a.why
	}
	if !a.job.over && !a.job.done.has(a.task) {
		l.noteDisplaced(a)
		l.note(a, why)
		l.replan = true // it waits again
	}
}

// stop tells a task to stop.
func (l *Leader) stop(a *attempt, grace micros.Micros, why string) {
	if l.mustStop(a, grace, why) {
		l.direct(a.machine, stopCommand(a))
	}
}

// mustStop notes that a task is to stop, and tells whether its machine must be told.
func (l *Leader) mustStop(a *attempt, grace micros.Micros, why string) bool {
	if a.reserved {
		l.release(a, why)
		return false
	}
	if a.stopped != 0 && grace >= a.grace {
		return false
	}
	if a.stopped == 0 {
		a.machine.stopping++
		a.stopped = micros.Now()
	}
	a.grace, a.why = grace, why
	l.publishPlaced(a)
	return true
}

func stopCommand(a *attempt) wire.Command {
	return wire.Command{Verb: wire.VerbStop, TaskID: taskName(a.job.spec.ID, a.task), Attempt: a.n, GracePeriodS: seconds(a.grace)}
}

func seconds(m micros.Micros) *float64 {
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
