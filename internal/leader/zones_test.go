package leader

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// newZonesTest makes a leader with the policy on zones over two zones of ten machines that
// have just reported.
func newZonesTest(t *testing.T) (l *Leader, now micros.Micros) {
	t.Helper()
	l, term := newTestLeader(t)
	c := zone.DefaultConfig(l.heartbeatInterval)
	c.ConfirmationTime = 0
	l.zoneState = newZoneState(zone.NewLifecyclePolicy(c))
	l.setInstanceTypes(wire.InstanceTypeList{Types: []wire.InstanceType{{Name: "m4", CPUs: 4, MemoryGB: 16, ImageCacheGB: 50, ImagePullGBPerS: 1, OnDemandPrice: 1, SpotPrice: 1, Zones: []string{"a", "b"}}}})
	l.sorted, l.machines = nil, map[string]*machine{}
	now = micros.Now() + 1000*micros.Second
	term.lastConfirmed = now
	for i := range 20 {
		m := l.addMachine(fmt.Sprintf("i-%02d", i), &launchIntent{Type: "m4", Zone: string("ab"[i/10]), Spot: true, At: micros.Wall()}, now)
		m.instance.running, m.instance.intentStored, m.instance.listStored, m.heartbeat.ofThisTerm, m.delivery.respondedThisTerm = true, true, true, true, true
		m.heartbeat.receivedAt, m.lease.renewedAt, m.heartbeat.incarnation, m.heartbeat.sequence, m.instance.address = now, now, 1, 100, m.id+":9000"
	}
	return l, now
}

// silence has the machines of zone b last report so long ago, and the policy look at that.
func silence(l *Leader, now, ago micros.Micros) {
	for _, m := range l.sorted[10:] {
		m.heartbeat.receivedAt, m.lease.renewedAt = now-ago, now-ago
	}
	for range 3 {
		l.observeZones(now)
	}
}

// A machine is silent after the second of these times, and overdue after the first.
const overdueFor, silentEnough = 4 * micros.Second, 6 * micros.Second

// TestZoneEvidence counts machines in several states, each in the gravest group.
func TestZoneEvidence(t *testing.T) {
	cases := []struct {
		name string
		edit func(m *machine, now micros.Micros)
		want zone.Evidence
	}{
		{"heard", func(*machine, micros.Micros) {}, zone.Evidence{Running: 10}},
		{"late", func(m *machine, now micros.Micros) { m.heartbeat.receivedAt = now - overdueFor }, zone.Evidence{Running: 10, Late: 1}},
		{"silent", func(m *machine, now micros.Micros) { m.heartbeat.receivedAt = now - silentEnough }, zone.Evidence{Running: 10, Silent: 1}},
		{"late and gone from the list", func(m *machine, now micros.Micros) {
			m.heartbeat.receivedAt, m.instance.listed, m.instance.missingLists = now-overdueFor, true, 2
		}, zone.Evidence{Running: 10, Unlisted: 1}},
		{"gone from the list and heard", func(m *machine, _ micros.Micros) { m.instance.listed, m.instance.missingLists = true, 9 }, zone.Evidence{Running: 10}},
		{"deaf", func(m *machine, _ micros.Micros) { m.delivery.lostResponses = maxLostResponses }, zone.Evidence{Running: 10, LostResponses: 1}},
		{"silent and deaf", func(m *machine, now micros.Micros) {
			m.heartbeat.receivedAt, m.delivery.lostResponses = now-silentEnough, maxLostResponses
		}, zone.Evidence{Running: 10, Silent: 1}},
		{"faulty", func(m *machine, _ micros.Micros) { m.drainReason = drainFaulty }, zone.Evidence{Running: 10, Quarantined: 1}},
		{"being returned", func(m *machine, _ micros.Micros) { m.instance.terminating = true }, zone.Evidence{Running: 9}},
		{"booting", func(m *machine, _ micros.Micros) { m.instance.running = false }, zone.Evidence{Running: 9}},
		{"back", func(m *machine, _ micros.Micros) { m.zoneReturn.returned = true }, zone.Evidence{Running: 10, Recovered: 1}},
		{"back and silent anew", func(m *machine, now micros.Micros) {
			m.zoneReturn.returned, m.heartbeat.receivedAt = true, now-silentEnough
		}, zone.Evidence{Running: 10, Silent: 1, Relapses: 1}},
	}
	for _, c := range cases {
		l, now := newZonesTest(t)
		c.edit(l.machines["i-15"], now)
		l.zoneEvidence(now)
		if got := l.zoneEvidence(now); got["b"] != c.want || got["a"] != (zone.Evidence{Running: 10}) {
			t.Errorf("%s: %+v, want %+v, and the other zone well", c.name, got, c.want)
		}
	}
}

// TestHeardAnew has reports of a machine arrive after its zone was lost. What it made before
// the cut is no evidence of a return.
func TestHeardAnew(t *testing.T) {
	type arrival struct {
		afterS       float64
		session, seq uint64
		token        uint64
	}
	cases := []struct {
		name     string
		arrivals []arrival
		back     bool
	}{
		{"nothing", nil, false},
		{"a copy of the last", []arrival{{1, 1, 100, testToken}}, false},
		{"one that was on its way", []arrival{{1, 1, 101, testToken}}, false},
		{"two that were held back", []arrival{{1, 1, 101, testToken}, {0, 1, 102, testToken}}, true}, // its worker gave up the first
		{"a later one", []arrival{{1, 1, 103, testToken}}, true},
		{"a later session", []arrival{{1, 2, 105, testToken}}, true},
		{"two in the usual time", []arrival{{1, 1, 101, testToken}, {2, 1, 102, testToken}}, true},
		{"of a lower token", []arrival{{1, 1, 103, testToken - 1}}, false},
		{"of an earlier session", []arrival{{1, 0, 300, testToken}}, false},
	}
	for _, c := range cases {
		l, now := newZonesTest(t)
		silence(l, now, silentEnough)
		m := l.machines["i-15"]
		for _, a := range c.arrivals {
			now += micros.FromSeconds(a.afterS)
			r := &wire.Heartbeat{MachineID: m.id, Address: m.instance.address, InstanceType: "m4", Zone: "b", Incarnation: a.session, Sequence: a.seq, FencingToken: a.token}
			if l.acceptsHeartbeat(m, r, now) {
				l.recordHeartbeat(m, r, now)
				l.reconcileIfCurrent(m, r, now)
			}
		}
		if m.zoneReturn.returned != c.back {
			t.Errorf("%s: back is %v", c.name, m.zoneReturn.returned)
		}
	}
}

// TestZoneCarriedOut has what the policy decides be carried out: which machines are closed, for
// whom, which do not count as supply, and what is rented there.
func TestZoneCarriedOut(t *testing.T) {
	l, now := newZonesTest(t)
	bound := newJob(replica.Job{Spec: &wire.Job{ID: "j-000002", Team: "blue", Zone: "b", Tasks: 1, AllowSpot: true}}, false)
	together := newJob(replica.Job{Spec: &wire.Job{ID: "j-000003", Team: "blue", SingleZone: true, Tasks: 2, AllowSpot: true}}, false)
	together.attemptsPerZone["b"] = 1
	expect := func(state string, wantClosed, wantReplaced, wantRent int, wantBound string) {
		t.Helper()
		closed := 0
		for _, m := range l.sorted {
			if m.zoneReturn.closed {
				closed++
			}
		}
		replaced := l.replacedMachines(now)
		supply, ofBound, ofTogether := l.countSupply(replaced, now)["m4"].have, l.onlyZone(bound), l.onlyZone(together)
		if closed != wantClosed || len(replaced) != wantReplaced || supply != 20-wantReplaced || l.launchAllowance("b") != wantRent ||
			ofBound != wantBound || ofTogether != wantBound || l.onlyZone(l.jobs["j-000001"]) != "" {
			t.Errorf("%s: %d closed, %d replaced, supply %d, %d to rent, bound to %q and %q", state, closed, len(replaced), supply, l.launchAllowance("b"), ofBound, ofTogether)
		}
	}
	expect("well", 0, 0, zone.Unlimited, "")
	silence(l, now, overdueFor)
	expect("suspected", 0, 5, 0, "")
	silence(l, now, silentEnough)
	expect("lost", 10, 5, 0, "b")
	if w, ok := l.encodeZones(pendingWrite{key: replica.ZonesKey}); !ok || w.value.(*zone.Record).Zones["b"].State != zone.FullDisruption || !l.dirty[replica.ZonesKey] {
		t.Errorf("stored is %+v (%v)", w.value, ok)
	}
	l.sorted[10].instance.running = false // half of the nine others, rounded
	if expect("one boots", 10, 5, 0, "b"); l.replacedMachines(now)[l.sorted[10]] {
		t.Error("a machine that boots is replaced")
	}
	l.sorted[10].instance.running = true
	for range 4 { // held down, and then the first step
		now += 2 * micros.Second
		for _, m := range l.sorted {
			m.heartbeat.receivedAt, m.zoneReturn.returned = now, true
		}
		if l.observeZones(now); l.policy.Status(now)[1].Step == 1 {
			break
		}
	}
	expect("first step", 9, 5, 0, "b")
}

// TestZoneMoves has tasks be lost with a zone, and begin again: what is told of them.
func TestZoneMoves(t *testing.T) {
	l, now := newZonesTest(t)
	j := l.jobs["j-000001"]
	for task := range 3 {
		j.takeWaitingTask()
		l.assign(&attempt{job: j, index: task, number: 1, machine: l.sorted[10+task], startSequence: 90, startedAt: now, runningSince: now, reportedState: wire.TaskRunning})
	}
	silence(l, now, silentEnough)
	if e, _ := l.Explain("j-000001"); len(e.Reasons) != 1 || !strings.Contains(e.Reasons[0], "3 of its tasks are in zone b, which is lost") {
		t.Errorf("why: %q", e.Reasons)
	}
	for task, to := range []*machine{l.sorted[0], l.sorted[19]} {
		l.releaseAll(l.sorted[10+task], "its lease ended")
		l.assign(&attempt{job: j, index: task, number: 2, machine: to, startSequence: 100})
	}
	s, class := l.ZoneStatus()[1], j.spec.Class
	if w := s.Work; s.Zone != "b" || w.Displaced[class] != 2 || w.Moved[class] != 1 || w.Restarted[class] != 1 || w.LeasedTasks != 2 || w.LeasedMachines != 2 || w.ClosedMachines != 10 || w.ReplacedMachines != 5 {
		t.Errorf("%+v", s)
	}
}

// TestZoneReported has a worker name another zone than its booking: that counts, and one line
// tells of it.
func TestZoneReported(t *testing.T) {
	l, now := newZonesTest(t)
	m := l.sorted[0]
	m.instance.firstHeartbeatAt = 0
	for seq := uint64(101); seq < 104; seq++ {
		l.recordHeartbeat(m, &wire.Heartbeat{MachineID: m.id, InstanceType: "m4", Zone: "c", Incarnation: 1, Sequence: seq, FencingToken: testToken}, now)
	}
	told := slices.DeleteFunc(slices.Collect(maps.Keys(l.aggregatedLog)), func(line string) bool { return !strings.Contains(line, "booked in zone a, which counts") })
	if len(told) != 1 || l.aggregatedLog[told[0]].count != 1 || m.offering.Zone != "a" {
		t.Errorf("told %q, the machine is in zone %s", told, m.offering.Zone)
	}
}

// TestZonesRestored has a term go on from what the one before stored, though its machines have
// not been heard and are not silent for long; and begin anew where that cannot be read.
func TestZonesRestored(t *testing.T) {
	lost := zone.Record{Version: zone.RecordVersion, Zones: map[string]zone.RecordedZone{"b": {State: zone.FullDisruption, Since: micros.Wall(), Flaps: 2}}}
	for want, stored := range map[string]any{"lost": lost, "healthy": "nonsense"} {
		l, now := newZonesTest(t)
		l.Replica.ApplyPut(replica.ZonesKey, stored, 3)
		l.restoreZones(now)
		for range 3 {
			l.observeZones(now)
		}
		if s := l.policy.Status(now)[1]; s.Zone != "b" || s.State != want || l.sorted[15].zoneReturn.closed != (want == "lost") || l.sorted[5].zoneReturn.closed {
			t.Errorf("from %v: %+v, want %s", stored, s, want)
		}
	}
}
