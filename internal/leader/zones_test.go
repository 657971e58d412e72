package leader

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// newZonesTest returns a leader with the lifecycle policy and two zones, a and b, of ten machines each. All machines
// sent their latest heartbeat at the returned time now.
func newZonesTest(t *testing.T) (l *Leader, now micros.Micros) {
	t.Helper()
	l, term := newTestLeader(t)
	config := zone.DefaultConfig(l.heartbeatInterval)
	config.ConfirmationTime = 0
	l.zones.Policy = zone.NewLifecyclePolicy(config)
	l.scaler.ZonePolicy = l.zones.Policy
	l.setInstanceTypes(wire.InstanceTypeList{Types: []wire.InstanceType{{Name: "m4", CPUs: 4, MemoryGB: 16, ImageCacheGB: 50, ImagePullGBPerS: 1, OnDemandPrice: 1, SpotPrice: 1, Zones: []string{"a", "b"}}}})
	l.fleet.Sorted, l.fleet.Machines = nil, map[string]*state.Machine{}
	now = micros.Now() + 1000*micros.Second
	term.lastConfirmed = now
	for i := range 20 {
		m := l.fleet.Add(fmt.Sprintf("i-%02d", i), l.fleet.AddIntent(fmt.Sprintf("r-1%02d", i), fleet.LaunchIntent{Type: "m4", Zone: string("ab"[i/10]), Spot: true, Answered: true, At: micros.WallTime()}), now)
		m.Instance.Running, m.Instance.IntentStored, m.Instance.ListStored, m.Heartbeat.FromCurrentTerm, m.Delivery.RespondedThisTerm = true, true, true, true, true
		m.Heartbeat.ReceivedAt, m.Lease.RenewedAt, m.Heartbeat.Incarnation, m.Heartbeat.Sequence, m.Instance.Address = now, now, 1, 100, m.ID+":9000"
	}
	return l, now
}

// loseZone makes the machines of zone b silent for so long that the zone is lost.
func loseZone(l *Leader, now micros.Micros) {
	const silence = 6 * micros.Second
	for _, m := range l.fleet.Sorted[10:] {
		m.Heartbeat.ReceivedAt, m.Lease.RenewedAt = now-silence, now-silence
	}
	for range 3 {
		l.zones.Observe(now)
	}
}

// TestZoneReturn checks which heartbeats of a machine are evidence that its lost zone has returned. Heartbeats that the
// worker sent before the zone was cut off are not.
func TestZoneReturn(t *testing.T) {
	type arrival struct {
		afterS       float64 // seconds since the previous arrival
		incarnation  uint64
		sequence     uint64
		fencingToken uint64
	}
	cases := []struct {
		name     string
		arrivals []arrival
		returned bool
	}{
		{"no heartbeat", nil, false},
		{"a duplicate of the latest heartbeat", []arrival{{1, 1, 100, testToken}}, false},
		{"a heartbeat that was in flight", []arrival{{1, 1, 101, testToken}}, false},
		// The worker gave up the first heartbeat before it sent the second.
		{"two that arrive at once", []arrival{{1, 1, 101, testToken}, {0, 1, 102, testToken}}, true},
		{"a skipped sequence number", []arrival{{1, 1, 103, testToken}}, true},
		{"a later incarnation", []arrival{{1, 2, 105, testToken}}, true},
		{"two at the usual interval", []arrival{{1, 1, 101, testToken}, {2, 1, 102, testToken}}, true},
		{"a lower fencing token", []arrival{{1, 1, 103, testToken - 1}}, false},
		{"an earlier incarnation", []arrival{{1, 0, 300, testToken}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, now := newZonesTest(t)
			loseZone(l, now)
			m := l.fleet.Machines["i-15"]
			for _, a := range c.arrivals {
				now += micros.FromSeconds(a.afterS)
				h := &wire.Heartbeat{MachineID: m.ID, Address: m.Instance.Address, InstanceType: "m4", Zone: "b", Incarnation: a.incarnation, Sequence: a.sequence, FencingToken: a.fencingToken}
				if l.acceptsHeartbeat(m, h, now) {
					l.recordHeartbeat(m, h, now)
					l.reconcileIfCurrent(m, h, now)
				}
			}
			if m.ZoneReturn.Returned != c.returned {
				t.Errorf("%s counts as evidence that its zone has returned: %v, want %v", m.ID, m.ZoneReturn.Returned, c.returned)
			}
		})
	}
}

// TestDisplacedTasks checks the job explanation and the zone status when tasks are lost with a zone and start again.
func TestDisplacedTasks(t *testing.T) {
	l, now := newZonesTest(t)
	j := l.jobs["j-000001"]
	for task := range 3 {
		j.TakeWaitingTask()
		l.assign(&state.Attempt{Job: j, Index: task, Number: 1, Machine: l.fleet.Sorted[10+task], StartSequence: 90, StartedAt: now, RunningSince: now, ReportedState: wire.TaskRunning})
	}
	loseZone(l, now)
	if e, _ := l.Explain("j-000001"); len(e.Reasons) != 1 || !strings.Contains(e.Reasons[0], "3 of its tasks are in zone b, which is lost") {
		t.Errorf("reasons %q, want one that 3 tasks are in zone b, which is lost", e.Reasons)
	}
	for task, target := range []*state.Machine{l.fleet.Sorted[0], l.fleet.Sorted[19]} {
		l.releaseAll(l.fleet.Sorted[10+task], "its lease ended")
		l.assign(&state.Attempt{Job: j, Index: task, Number: 2, Machine: target, StartSequence: 100})
	}
	s, class := l.ZoneStatus()[1], j.Spec.Class
	if w := s.Work; s.Zone != "b" || w.Displaced[class] != 2 || w.Moved[class] != 1 || w.Restarted[class] != 1 || w.LeasedTasks != 2 || w.LeasedMachines != 2 || w.ClosedMachines != 10 || w.ReplacedMachines != 5 {
		t.Errorf("status of the second zone: %+v, want zone b with 2 tasks displaced, 1 moved and 1 restarted, 2 leased tasks on 2 machines, 10 machines closed and 5 replaced", s)
	}
}

// TestReportedZone checks that the zone of a machine's launch is used if its worker reports a different one, and that
// one event is logged.
func TestReportedZone(t *testing.T) {
	l, now := newZonesTest(t)
	m := l.fleet.Sorted[0]
	m.Instance.FirstHeartbeatAt = 0
	for sequence := uint64(101); sequence < 104; sequence++ {
		l.recordHeartbeat(m, &wire.Heartbeat{MachineID: m.ID, InstanceType: "m4", Zone: "c", Incarnation: 1, Sequence: sequence, FencingToken: testToken}, now)
	}
	events := l.events.Counts()
	logged := slices.DeleteFunc(slices.Collect(maps.Keys(events)), func(event string) bool { return !strings.Contains(event, "launched in a") })
	if len(logged) != 1 || events[logged[0]] != 1 || m.Offering.Zone != "a" {
		t.Errorf("logged %q, want one event with a count of 1; the machine is in zone %s, want a", logged, m.Offering.Zone)
	}
}

// TestHeartbeatLate checks that a machine's heartbeat is late if it is overdue by more than a quarter of the interval
// plus one second. Before the first heartbeat of a term, this is counted from the start of the term.
func TestHeartbeatLate(t *testing.T) {
	l, _ := newTestLeader(t)
	m, now := l.fleet.Machines["i-1"], l.startedAt+100*micros.Second
	for _, c := range []struct {
		name    string
		silence micros.Micros
		late    bool
	}{
		{"no silence", 0, false},
		{"not late yet", 3500 * micros.Millisecond, false},
		{"late", 3500*micros.Millisecond + 1, true},
	} {
		if m.Heartbeat.ReceivedAt = now - c.silence; l.liveness.IsHeartbeatLate(m, now) != c.late {
			t.Errorf("%s: late: %v, want %v", c.name, !c.late, c.late)
		}
		if m.Heartbeat.ReceivedAt = 0; l.liveness.IsHeartbeatLate(m, l.startedAt+c.silence) != c.late {
			t.Errorf("%s, since the start of the term: late: %v, want %v", c.name, !c.late, c.late)
		}
	}
}
