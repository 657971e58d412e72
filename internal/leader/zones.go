package leader

import (
	"fmt"
	"log/slog"
	"maps"
	"math"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// zoneState is the policy on zones, and what its decisions come to.
type zoneState struct {
	zones    zone.Policy
	counters map[string]*zoneCounters
	closed   bool // some machines are closed to work that is not bound to their zone
	replaces bool // some machines are to be replaced in other zones
}

// zoneCounters counts what happened in a zone during this term. See zone.Evidence and
// zone.Work.
type zoneCounters struct {
	relapses, sent, started     int
	displaced, moved, restarted map[string]int // tasks by class
}

// zoneMembership is a machine's part in the return of its zone.
type zoneMembership struct {
	heardAt micros.Micros // first report since the zone was lost, or the machine fell silent
	session uint64        // and what the last report before that was
	seq     uint64
	back    bool // it is heard anew for certain
	closed  bool // to work that is not bound to the zone
}

// newZoneState begins a term with a policy, the default one if there is none.
func newZoneState(p zone.Policy) zoneState {
	if p == nil {
		p = zone.NewThreshold()
	}
	return zoneState{zones: p, counters: map[string]*zoneCounters{}}
}

// zoneCounters are those of a machine's zone.
func (l *Leader) zoneCounters(m *machine) *zoneCounters {
	name := m.kind.Zone
	c := l.counters[name]
	if c == nil {
		c = &zoneCounters{displaced: map[string]int{}, moved: map[string]int{}, restarted: map[string]int{}}
		l.counters[name] = c
	}
	return c
}

// restoreZones goes on from what an earlier term stored of zones. What cannot be read is
// derived anew.
func (l *Leader) restoreZones(now micros.Micros) {
	var r zone.Record
	stamp, err := l.Replica.Get(replica.ZonesKey, &r)
	if err != nil {
		slog.Error("zones", "stored", err)
		return
	}
	if stamp != 0 {
		l.zones.Restore(&r, now, micros.Wall())
		l.applyZones(l.zoneEvidence(now))
	}
}

// buildZones makes the record of zones for a next leader.
func (l *Leader) buildZones(w write) (write, bool) {
	r := l.zones.Record(micros.Now(), micros.Wall())
	if r == nil || len(r.Zones) == 0 {
		return w, w.stamp != 0
	}
	w.value = r
	if !l.Store.ValueAlwaysFits(r) {
		slog.Error("zones", "not_stored", "the record is larger than a value may be", "zones", len(r.Zones))
		return w, false
	}
	return w, true
}

// watchZones shows the policy the machines as they are, and carries out what it decides.
func (l *Leader) watchZones(now micros.Micros) {
	evidence := l.zoneEvidence(now)
	changes := l.zones.Observe(now, zone.Observation{Zones: evidence, Isolated: l.IsIsolated != nil && l.IsIsolated()})
	for _, t := range changes {
		l.zoneChanged(t)
	}
	l.applyZones(evidence)
	if len(changes) > 0 && l.zones.Record(now, micros.Wall()) != nil {
		l.dirty[replica.ZonesKey] = true
		l.wakeFlush()
	}
}

// zoneChanged tells of a transition. A loss makes what was heard before no evidence of a
// return.
func (l *Leader) zoneChanged(t zone.Transition) {
	e := t.Evidence
	slog.Info("zone", "zone", t.Zone, "from", t.From.String(), "to", t.To.String(), "step", t.Step, "why", string(t.Reason),
		"up", e.Up, "late", e.Late, "silent", e.Silent, "deaf", e.Deaf, "vanished", e.Vanished, "failing", e.Failing, "back", e.Back)
	if t.To != zone.Lost || t.From == zone.Lost {
		return
	}
	for _, m := range l.order {
		if m.kind.Zone == t.Zone {
			m.forgetHeard()
		}
	}
}

// zoneEvidence counts the machines by zone. Each stands in one group, the gravest.
func (l *Leader) zoneEvidence(now micros.Micros) map[string]zone.Evidence {
	counted := map[string]*zone.Evidence{}
	of := func(name string) *zone.Evidence {
		if counted[name] == nil {
			counted[name] = &zone.Evidence{}
		}
		return counted[name]
	}
	for _, m := range l.order {
		if m.up && !m.leaving {
			e := of(m.kind.Zone)
			e.Up++
			l.countEvidence(m, e, now)
		}
	}
	for name, c := range l.counters {
		e := of(name)
		e.Relapses, e.Sent, e.Started = c.relapses, c.sent, c.started
	}
	zones := make(map[string]zone.Evidence, len(counted))
	for name, e := range counted {
		zones[name] = *e
	}
	return zones
}

// countEvidence adds a machine to its group.
func (l *Leader) countEvidence(m *machine, e *zone.Evidence, now micros.Micros) {
	silent := l.silentFor(m, now)
	late := l.lateReport(m, now)
	switch {
	case silent > 2*l.report+micros.Second:
		e.Silent++
	case m.notReceiving >= notReceivingAfter:
		e.Deaf++
	case late && m.listed && m.missing >= 2:
		e.Vanished++
	default:
		if late {
			e.Late++
		} else if m.draining == faulty {
			e.Failing++
		}
		if m.inZone.back {
			e.Back++
		}
		return
	}
	if m.inZone.back {
		l.zoneCounters(m).relapses++
	}
	m.forgetHeard()
}

// lateReport tells whether a machine's report is overdue.
func (l *Leader) lateReport(m *machine, now micros.Micros) bool {
	return l.silentFor(m, now) > l.report+l.report/4+micros.Second
}

// heardAnew notes a report that its worker made in this term. A single one that was on its way
// when the zone was cut, and was held back, is no evidence of a return. A later session is, and
// a report that skips a number: its worker has given up the one between, so made it in the cut
// or after, and what is held back arrives when the cut ends. So is a second report half a report
// time later, and the first of a machine that was not heard in this term: its worker has had an
// answer of this term.
func (l *Leader) heardAnew(m *machine, now micros.Micros) {
	z := &m.inZone
	switch {
	case z.back || m.notReceiving >= notReceivingAfter:
	case z.session == 0 || m.session > z.session || m.seq > z.seq+1:
		z.back = true
	case z.heardAt == 0:
		z.heardAt = now
	case now-z.heardAt >= l.report/2:
		z.back = true
	}
}

// forgetHeard forgets that a machine was heard. What it reported last is no news later.
func (m *machine) forgetHeard() {
	m.inZone = zoneMembership{session: m.session, seq: m.seq, closed: m.inZone.closed}
}

// applyZones closes and opens machines as the policy decides. Of a returning zone the first
// that are heard again open; what runs on a closed one runs on.
func (l *Leader) applyZones(evidence map[string]zone.Evidence) {
	quota, before := map[string]int{}, l.closed
	l.closed, l.replaces = false, false
	for name, e := range evidence {
		d := l.zones.Decide(name)
		quota[name] = int(math.Ceil(d.Open * float64(e.Up)))
		l.closed = l.closed || e.Up > 0 && d.Open < 1
		l.replaces = l.replaces || e.Up > 0 && d.Replace > 0
	}
	if !l.closed && !before {
		return
	}
	for _, m := range l.order {
		closed := false
		if name := m.kind.Zone; l.zones.Decide(name).Open < 1 {
			closed = !m.inZone.back || quota[name] == 0
			if !closed {
				quota[name]--
			}
		}
		l.setClosed(m, closed)
	}
}

// setClosed closes a machine to work that is not bound to its zone, or opens it.
func (l *Leader) setClosed(m *machine, closed bool) {
	if m.inZone.closed == closed {
		return
	}
	m.inZone.closed = closed
	m.planned = m.planned[:0]
	l.replan = true
}

// openToAll tells whether a machine may get tasks of any job that its kind allows.
func (m *machine) openToAll(now micros.Micros) bool { return m.open(now) && !m.inZone.closed }

// unusable tells whether the room of a machine that is up is not to be had now. One that boots
// counts as supply: it is open once it is heard, and was rented for that.
func (l *Leader) unusable(m *machine, now micros.Micros) bool {
	return m.up && (m.inZone.closed || l.lateReport(m, now) || m.notReceiving >= notReceivingAfter)
}

// replacedMachines picks the machines that do not count as supply, since their zone is
// suspected or not all there: a share of those that cannot be used.
func (l *Leader) replacedMachines(now micros.Micros) map[*machine]bool {
	if !l.replaces {
		return nil
	}
	unusable := map[string]int{}
	for _, m := range l.order {
		if !m.leaving && l.unusable(m, now) {
			unusable[m.kind.Zone]++
		}
	}
	quota := map[string]int{}
	for name, n := range unusable {
		quota[name] = int(math.Round(l.zones.Decide(name).Replace * float64(n)))
	}
	picked := map[*machine]bool{}
	for _, m := range l.order {
		if quota[m.kind.Zone] > 0 && !m.leaving && l.unusable(m, now) {
			picked[m] = true
			quota[m.kind.Zone]--
		}
	}
	return picked
}

// mayRent is how many more machines may be rented in a zone.
func (l *Leader) mayRent(name string) int {
	most := l.zones.Decide(name).Rent
	if most == zone.AnyNumber {
		return most
	}
	for _, m := range l.order {
		if m.kind.Zone == name && !m.leaving {
			most--
		}
	}
	for _, b := range l.bookings {
		if b.Zone == name && !b.Answered {
			most -= b.Count
		}
	}
	return max(0, most)
}

// band is a job's place in the order in which work leaves a lost zone.
func (l *Leader) band(j *job) int {
	return l.zones.Band(j.spec.Class, j.priority >= wire.PriorityRank(wire.PriorityUrgent))
}

// boundTo is the only zone in which a job may start tasks now, empty if there are others. It
// matters only while machines are closed.
func (l *Leader) boundTo(j *job) string {
	if !l.closed {
		return ""
	}
	if j.spec.Zone != "" {
		return j.spec.Zone
	}
	if j.spec.SingleZone {
		for name, n := range j.zones {
			if n > 0 {
				return name
			}
		}
	}
	only := ""
	for _, o := range l.offersFor(j) {
		if only != "" && o.Zone != only {
			return ""
		}
		only = o.Zone
	}
	return only
}

// checkZone tells of a worker that names another zone than its booking. The booking counts.
func (l *Leader) checkZone(m *machine, r *wire.Heartbeat) {
	if r.Zone != m.kind.Zone && m.first == 0 {
		l.tallies.add(fmt.Sprintf("a worker reports zone %.40q, it was booked in zone %s, which counts", r.Zone, m.kind.Zone), m.id)
	}
}

// noteDisplaced counts a task that was lost on a machine of a zone that is not all there.
func (l *Leader) noteDisplaced(a *attempt) {
	if !a.machine.inZone.closed {
		return
	}
	l.zoneCounters(a.machine).displaced[a.job.spec.Class]++
	if a.job.displaced == nil {
		a.job.displaced = map[int]*machine{}
	}
	a.job.displaced[a.task] = a.machine
}

// noteMoved counts a start, and where a task begins anew that was lost with a zone.
func (l *Leader) noteMoved(a *attempt) {
	if a.sentAt != 0 || a.reserved {
		l.zoneCounters(a.machine).sent++
	}
	from := a.job.displaced[a.task]
	if from == nil {
		return
	}
	delete(a.job.displaced, a.task)
	if from.kind.Zone == a.machine.kind.Zone {
		l.zoneCounters(from).restarted[a.job.spec.Class]++
	} else {
		l.zoneCounters(from).moved[a.job.spec.Class]++
	}
}

// ZoneStatus tells of all zones; nil if the policy has nothing to tell.
func (l *Leader) ZoneStatus() []zone.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := micros.Now()
	all := l.zones.Status(now)
	replaced := l.replacedMachines(now)
	for i := range all {
		l.addWork(&all[i], replaced, now)
	}
	return all
}

// addWork adds to a zone's status what is known of its machines' work.
func (l *Leader) addWork(s *zone.Status, replaced map[*machine]bool, now micros.Micros) {
	if c := l.counters[s.Zone]; c != nil {
		s.Work.Displaced, s.Work.Moved, s.Work.Restarted = maps.Clone(c.displaced), maps.Clone(c.moved), maps.Clone(c.restarted)
	}
	for _, m := range l.order {
		if m.kind.Zone != s.Zone || m.leaving {
			continue
		}
		if m.inZone.closed {
			s.Work.Closed++
		}
		if replaced[m] {
			s.Work.Replaced++
		}
		if ends := (l.leaseOver(m) - now).Seconds(); l.unusable(m, now) && len(m.tasks) > 0 && ends > 0 {
			s.Work.AddLease(len(m.tasks), ends)
		}
	}
}

// whyZones says what a job's tasks have to do with zones that are not all there.
func (l *Leader) whyZones(j *job) (why []string) {
	if !l.closed {
		return nil
	}
	now := micros.Now()
	bound := l.boundTo(j)
	for _, s := range l.zones.Status(now) {
		if s.OpenPart == 1 {
			continue
		}
		if bound == s.Zone && j.waiting() > 0 {
			why = append(why, fmt.Sprintf("it can run in zone %s only, which is %s", s.Zone, s.State))
		}
		if line := l.whyHeld(j, s, now); line != "" {
			why = append(why, line)
		}
	}
	return why
}

// whyHeld says why tasks in a zone that is not all there do not move, empty if none does.
func (l *Leader) whyHeld(j *job, s zone.Status, now micros.Micros) string {
	var held zone.Work
	for _, a := range j.on {
		if a.machine.kind.Zone == s.Zone && l.unusable(a.machine, now) {
			held.AddLease(1, max(0, (l.leaseOver(a.machine)-now).Seconds()))
		}
	}
	switch {
	case held.Tasks == 0:
		return ""
	case j.isGang():
		return fmt.Sprintf("%d of its gang's tasks are in zone %s, which is %s: the gang starts elsewhere only as a whole, once all are gone (leases end in %.0f s at the latest)",
			held.Tasks, s.Zone, s.State, held.LastEndS)
	}
	return fmt.Sprintf("%d of its tasks are in zone %s, which is %s: each may run on until its machine's lease ends, in %.0f to %.0f s",
		held.Tasks, s.Zone, s.State, held.NextEndS, held.LastEndS)
}
