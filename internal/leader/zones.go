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
	policy      zone.Policy
	counters    map[string]*zoneCounters
	anyClosed   bool // some machines are closed to work that is not bound to their zone
	anyReplaced bool // some machines are to be replaced in other zones
}

// zoneCounters counts what happened in a zone during this term. See zone.Evidence and
// zone.Work.
type zoneCounters struct {
	relapses, startsSent, startsSeen int
	displaced, moved, restarted      map[string]int // tasks by class
}

// zoneReturn is a machine's part in the return of its zone.
type zoneReturn struct {
	heardAt           micros.Micros // first report since the zone was lost, or the machine fell silent
	incarnationBefore uint64        // and what the last report before that was
	sequenceBefore    uint64
	returned          bool // it is heard anew for certain
	closed            bool // to work that is not bound to the zone
}

// newZoneState begins a term with a policy, the default one if there is none.
func newZoneState(p zone.Policy) zoneState {
	if p == nil {
		p = zone.NewThresholdPolicy()
	}
	return zoneState{policy: p, counters: map[string]*zoneCounters{}}
}

// zoneCounters are those of a machine's zone.
func (l *Leader) zoneCounters(m *machine) *zoneCounters {
	name := m.offering.Zone
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
		l.policy.Restore(&r, now, micros.Wall())
		l.applyZoneDecisions(l.zoneEvidence(now))
	}
}

// encodeZones makes the record of zones for a next leader.
func (l *Leader) encodeZones(w pendingWrite) (pendingWrite, bool) {
	r := l.policy.Record(micros.Now(), micros.Wall())
	if r == nil || len(r.Zones) == 0 {
		return w, w.modRevision != 0
	}
	w.value = r
	if !l.Store.ValueAlwaysFits(r) {
		slog.Error("zones", "not_stored", "the record is larger than a value may be", "zones", len(r.Zones))
		return w, false
	}
	return w, true
}

// observeZones shows the policy the machines as they are, and carries out what it decides.
func (l *Leader) observeZones(now micros.Micros) {
	evidence := l.zoneEvidence(now)
	changes := l.policy.Observe(now, zone.Observation{Zones: evidence, ObserverIsolated: l.IsIsolated != nil && l.IsIsolated()})
	for _, t := range changes {
		l.recordZoneTransition(t)
	}
	l.applyZoneDecisions(evidence)
	if len(changes) > 0 && l.policy.Record(now, micros.Wall()) != nil {
		l.dirty[replica.ZonesKey] = true
		l.wakeFlush()
	}
}

// recordZoneTransition tells of a transition. A loss makes what was heard before no evidence of a
// return.
func (l *Leader) recordZoneTransition(t zone.Transition) {
	e := t.Evidence
	slog.Info("zone", "zone", t.Zone, "from", t.From.String(), "to", t.To.String(), "step", t.Step, "why", string(t.Reason),
		"up", e.Running, "late", e.Late, "silent", e.Silent, "deaf", e.LostResponses, "vanished", e.Unlisted, "failing", e.Quarantined, "back", e.Recovered)
	if t.To != zone.FullDisruption || t.From == zone.FullDisruption {
		return
	}
	for _, m := range l.sorted {
		if m.offering.Zone == t.Zone {
			m.resetZoneReturn()
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
	for _, m := range l.sorted {
		if m.instance.running && !m.instance.terminating {
			e := of(m.offering.Zone)
			e.Running++
			l.addEvidence(m, e, now)
		}
	}
	for name, c := range l.counters {
		e := of(name)
		e.Relapses, e.StartsSent, e.StartsSeen = c.relapses, c.startsSent, c.startsSeen
	}
	zones := make(map[string]zone.Evidence, len(counted))
	for name, e := range counted {
		zones[name] = *e
	}
	return zones
}

// addEvidence adds a machine to its group.
func (l *Leader) addEvidence(m *machine, e *zone.Evidence, now micros.Micros) {
	silent := l.silence(m, now)
	late := l.isHeartbeatLate(m, now)
	switch {
	case silent > 2*l.heartbeatInterval+micros.Second:
		e.Silent++
	case m.delivery.lostResponses >= maxLostResponses:
		e.LostResponses++
	case late && m.instance.listed && m.instance.missingLists >= 2:
		e.Unlisted++
	default:
		if late {
			e.Late++
		} else if m.drainReason == drainFaulty {
			e.Quarantined++
		}
		if m.zoneReturn.returned {
			e.Recovered++
		}
		return
	}
	if m.zoneReturn.returned {
		l.zoneCounters(m).relapses++
	}
	m.resetZoneReturn()
}

// isHeartbeatLate tells whether a machine's report is overdue.
func (l *Leader) isHeartbeatLate(m *machine, now micros.Micros) bool {
	return l.silence(m, now) > l.heartbeatInterval+l.heartbeatInterval/4+micros.Second
}

// observeZoneReturn notes a report that its worker made in this term. A single one that was on its way
// when the zone was cut, and was held back, is no evidence of a return. A later session is, and
// a report that skips a number: its worker has given up the one between, so made it in the cut
// or after, and what is held back arrives when the cut ends. So is a second report half a report
// time later, and the first of a machine that was not heard in this term: its worker has had an
// answer of this term.
func (l *Leader) observeZoneReturn(m *machine, now micros.Micros) {
	z := &m.zoneReturn
	switch {
	case z.returned || m.delivery.lostResponses >= maxLostResponses:
	case z.incarnationBefore == 0 || m.heartbeat.incarnation > z.incarnationBefore || m.heartbeat.sequence > z.sequenceBefore+1:
		z.returned = true
	case z.heardAt == 0:
		z.heardAt = now
	case now-z.heardAt >= l.heartbeatInterval/2:
		z.returned = true
	}
}

// resetZoneReturn forgets that a machine was heard. What it reported last is no news later.
func (m *machine) resetZoneReturn() {
	m.zoneReturn = zoneReturn{incarnationBefore: m.heartbeat.incarnation, sequenceBefore: m.heartbeat.sequence, closed: m.zoneReturn.closed}
}

// applyZoneDecisions closes and opens machines as the policy decides. Of a returning zone the first
// that are heard again open; what runs on a closed one runs on.
func (l *Leader) applyZoneDecisions(evidence map[string]zone.Evidence) {
	quota, before := map[string]int{}, l.anyClosed
	l.anyClosed, l.anyReplaced = false, false
	for name, e := range evidence {
		d := l.policy.Decide(name)
		quota[name] = int(math.Ceil(d.OpenShare * float64(e.Running)))
		l.anyClosed = l.anyClosed || e.Running > 0 && d.OpenShare < 1
		l.anyReplaced = l.anyReplaced || e.Running > 0 && d.ReplacementShare > 0
	}
	if !l.anyClosed && !before {
		return
	}
	for _, m := range l.sorted {
		closed := false
		if name := m.offering.Zone; l.policy.Decide(name).OpenShare < 1 {
			closed = !m.zoneReturn.returned || quota[name] == 0
			if !closed {
				quota[name]--
			}
		}
		l.setClosed(m, closed)
	}
}

// setClosed closes a machine to work that is not bound to its zone, or opens it.
func (l *Leader) setClosed(m *machine, closed bool) {
	if m.zoneReturn.closed == closed {
		return
	}
	m.zoneReturn.closed = closed
	m.planned = m.planned[:0]
	l.replan = true
}

// isOpenToAllZones tells whether a machine may get tasks of any job that its kind allows.
func (m *machine) isOpenToAllZones(now micros.Micros) bool {
	return m.isSchedulable(now) && !m.zoneReturn.closed
}

// isUnusable tells whether the room of a machine that is up is not to be had now. One that boots
// counts as supply: it is open once it is heard, and was rented for that.
func (l *Leader) isUnusable(m *machine, now micros.Micros) bool {
	return m.instance.running && (m.zoneReturn.closed || l.isHeartbeatLate(m, now) || m.delivery.lostResponses >= maxLostResponses)
}

// replacedMachines picks the machines that do not count as supply, since their zone is
// suspected or not all there: a share of those that cannot be used.
func (l *Leader) replacedMachines(now micros.Micros) map[*machine]bool {
	if !l.anyReplaced {
		return nil
	}
	unusable := map[string]int{}
	for _, m := range l.sorted {
		if !m.instance.terminating && l.isUnusable(m, now) {
			unusable[m.offering.Zone]++
		}
	}
	quota := map[string]int{}
	for name, n := range unusable {
		quota[name] = int(math.Round(l.policy.Decide(name).ReplacementShare * float64(n)))
	}
	picked := map[*machine]bool{}
	for _, m := range l.sorted {
		if quota[m.offering.Zone] > 0 && !m.instance.terminating && l.isUnusable(m, now) {
			picked[m] = true
			quota[m.offering.Zone]--
		}
	}
	return picked
}

// launchAllowance is how many more machines may be rented in a zone.
func (l *Leader) launchAllowance(name string) int {
	most := l.policy.Decide(name).MaxMachines
	if most == zone.Unlimited {
		return most
	}
	for _, m := range l.sorted {
		if m.offering.Zone == name && !m.instance.terminating {
			most--
		}
	}
	for _, b := range l.intents {
		if b.Zone == name && !b.Answered {
			most -= b.Count
		}
	}
	return max(0, most)
}

// evacuationRank is a job's place in the order in which work leaves a lost zone.
func (l *Leader) evacuationRank(j *job) int {
	return l.policy.EvacuationRank(j.spec.Class, j.priority >= wire.PriorityRank(wire.PriorityUrgent))
}

// onlyZone is the only zone in which a job may start tasks now, empty if there are others. It
// matters only while machines are closed.
func (l *Leader) onlyZone(j *job) string {
	if !l.anyClosed {
		return ""
	}
	if j.spec.Zone != "" {
		return j.spec.Zone
	}
	if j.spec.SingleZone {
		for name, n := range j.attemptsPerZone {
			if n > 0 {
				return name
			}
		}
	}
	only := ""
	for _, o := range l.offeringsFor(j) {
		if only != "" && o.Zone != only {
			return ""
		}
		only = o.Zone
	}
	return only
}

// checkZone tells of a worker that names another zone than its booking. The booking counts.
func (l *Leader) checkZone(m *machine, r *wire.Heartbeat) {
	if r.Zone != m.offering.Zone && m.instance.firstHeartbeatAt == 0 {
		l.aggregatedLog.add(fmt.Sprintf("a worker reports zone %.40q, it was booked in zone %s, which counts", r.Zone, m.offering.Zone), m.id)
	}
}

// recordDisplaced counts a task that was lost on a machine of a zone that is not all there.
func (l *Leader) recordDisplaced(a *attempt) {
	if !a.machine.zoneReturn.closed {
		return
	}
	l.zoneCounters(a.machine).displaced[a.job.spec.Class]++
	if a.job.displaced == nil {
		a.job.displaced = map[int]*machine{}
	}
	a.job.displaced[a.index] = a.machine
}

// recordMoved counts a start, and where a task begins anew that was lost with a zone.
func (l *Leader) recordMoved(a *attempt) {
	if a.startSequence != 0 || a.reserved {
		l.zoneCounters(a.machine).startsSent++
	}
	from := a.job.displaced[a.index]
	if from == nil {
		return
	}
	delete(a.job.displaced, a.index)
	if from.offering.Zone == a.machine.offering.Zone {
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
	all := l.policy.Status(now)
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
	for _, m := range l.sorted {
		if m.offering.Zone != s.Zone || m.instance.terminating {
			continue
		}
		if m.zoneReturn.closed {
			s.Work.ClosedMachines++
		}
		if replaced[m] {
			s.Work.ReplacedMachines++
		}
		if ends := (l.leaseExpiry(m) - now).Seconds(); l.isUnusable(m, now) && len(m.attempts) > 0 && ends > 0 {
			s.Work.AddLease(len(m.attempts), ends)
		}
	}
}

// zoneReasons says what a job's tasks have to do with zones that are not all there.
func (l *Leader) zoneReasons(j *job) (why []string) {
	if !l.anyClosed {
		return nil
	}
	now := micros.Now()
	bound := l.onlyZone(j)
	for _, s := range l.policy.Status(now) {
		if s.OpenShare == 1 {
			continue
		}
		if bound == s.Zone && j.waiting() > 0 {
			why = append(why, fmt.Sprintf("it can run in zone %s only, which is %s", s.Zone, s.State))
		}
		if line := l.zoneLeaseReason(j, s, now); line != "" {
			why = append(why, line)
		}
	}
	return why
}

// zoneLeaseReason says why tasks in a zone that is not all there do not move, empty if none does.
func (l *Leader) zoneLeaseReason(j *job, s zone.Status, now micros.Micros) string {
	var held zone.WorkStatus
	for _, a := range j.attempts {
		if a.machine.offering.Zone == s.Zone && l.isUnusable(a.machine, now) {
			held.AddLease(1, max(0, (l.leaseExpiry(a.machine)-now).Seconds()))
		}
	}
	switch {
	case held.LeasedTasks == 0:
		return ""
	case j.isGang():
		return fmt.Sprintf("%d of its gang's tasks are in zone %s, which is %s: the gang starts elsewhere only as a whole, once all are gone (leases end in %.0f s at the latest)",
			held.LeasedTasks, s.Zone, s.State, held.LastLeaseEndS)
	}
	return fmt.Sprintf("%d of its tasks are in zone %s, which is %s: each may run on until its machine's lease ends, in %.0f to %.0f s",
		held.LeasedTasks, s.Zone, s.State, held.NextLeaseEndS, held.LastLeaseEndS)
}
