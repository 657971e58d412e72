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

// newZonesTest makes a leader with the lifecycle policy over two zones of ten machines that have just sent a
// heartbeat.
func newZonesTest(t *testing.T) (l *Leader, now micros.Micros) {
	t.Helper()
	l, term := newTestLeader(t)
	c := zone.DefaultConfig(l.heartbeatInterval)
	c.ConfirmationTime = 0
	l.zones.Policy = zone.NewLifecyclePolicy(c)
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

// loseZone has the machines of zone b be silent for long enough that it is lost.
func loseZone(l *Leader, now micros.Micros) {
	const silence = 6 * micros.Second
	for _, m := range l.fleet.Sorted[10:] {
		m.Heartbeat.ReceivedAt, m.Lease.RenewedAt = now-silence, now-silence
	}
	for range 3 {
		l.zones.Observe(now)
	}
}

// TestZoneReturn has heartbeats of a machine arrive after its zone was lost. What it made before the cut is no
// evidence of a return.
func TestZoneReturn(t *testing.T) {
	type arrival struct {
		afterS       float64
		incarnation  uint64
		sequence     uint64
		fencingToken uint64
	}
	cases := []struct {
		name     string
		arrivals []arrival
		returned bool
	}{
		{"nothing", nil, false},
		{"a copy of the last", []arrival{{1, 1, 100, testToken}}, false},
		{"one that was on its way", []arrival{{1, 1, 101, testToken}}, false},
		{"two that were held back", []arrival{{1, 1, 101, testToken}, {0, 1, 102, testToken}}, true}, // its worker gave up the first
		{"a later one", []arrival{{1, 1, 103, testToken}}, true},
		{"a later incarnation", []arrival{{1, 2, 105, testToken}}, true},
		{"two in the usual time", []arrival{{1, 1, 101, testToken}, {2, 1, 102, testToken}}, true},
		{"of a lower fencing token", []arrival{{1, 1, 103, testToken - 1}}, false},
		{"of an earlier incarnation", []arrival{{1, 0, 300, testToken}}, false},
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
				t.Errorf("returned is %v", m.ZoneReturn.Returned)
			}
		})
	}
}

// TestDisplacedTasks has tasks be lost with a zone, and start again: what is shown of them.
func TestDisplacedTasks(t *testing.T) {
	l, now := newZonesTest(t)
	j := l.jobs["j-000001"]
	for task := range 3 {
		j.TakeWaitingTask()
		l.assign(&state.Attempt{Job: j, Index: task, Number: 1, Machine: l.fleet.Sorted[10+task], StartSequence: 90, StartedAt: now, RunningSince: now, ReportedState: wire.TaskRunning})
	}
	loseZone(l, now)
	if e, _ := l.Explain("j-000001"); len(e.Reasons) != 1 || !strings.Contains(e.Reasons[0], "3 of its tasks are in zone b, which is lost") {
		t.Errorf("reasons: %q", e.Reasons)
	}
	for task, to := range []*state.Machine{l.fleet.Sorted[0], l.fleet.Sorted[19]} {
		l.releaseAll(l.fleet.Sorted[10+task], "its lease ended")
		l.assign(&state.Attempt{Job: j, Index: task, Number: 2, Machine: to, StartSequence: 100})
	}
	s, class := l.ZoneStatus()[1], j.Spec.Class
	if w := s.Work; s.Zone != "b" || w.Displaced[class] != 2 || w.Moved[class] != 1 || w.Restarted[class] != 1 || w.LeasedTasks != 2 || w.LeasedMachines != 2 || w.ClosedMachines != 10 || w.ReplacedMachines != 5 {
		t.Errorf("%+v", s)
	}
}

// TestReportedZone has a worker name another zone than its launch: that of the launch counts, and one line
// is logged.
func TestReportedZone(t *testing.T) {
	l, now := newZonesTest(t)
	m := l.fleet.Sorted[0]
	m.Instance.FirstHeartbeatAt = 0
	for seq := uint64(101); seq < 104; seq++ {
		l.recordHeartbeat(m, &wire.Heartbeat{MachineID: m.ID, InstanceType: "m4", Zone: "c", Incarnation: 1, Sequence: seq, FencingToken: testToken}, now)
	}
	events := l.events.Counts()
	logged := slices.DeleteFunc(slices.Collect(maps.Keys(events)), func(line string) bool { return !strings.Contains(line, "launched in a") })
	if len(logged) != 1 || events[logged[0]] != 1 || m.Offering.Zone != "a" {
		t.Errorf("logged %q, the machine is in zone %s", logged, m.Offering.Zone)
	}
}

// TestHeartbeatLate has a machine be late once its heartbeat is overdue by a quarter of the interval and a
// second; before this term saw one, that counts from the term's start.
func TestHeartbeatLate(t *testing.T) {
	l, _ := newTestLeader(t)
	m, now := l.fleet.Machines["i-1"], l.startedAt+100*micros.Second
	for _, c := range []struct {
		name    string
		silence micros.Micros
		late    bool
	}{
		{"just sent", 0, false},
		{"not overdue yet", 3500 * micros.Millisecond, false},
		{"overdue", 3500*micros.Millisecond + 1, true},
	} {
		if m.Heartbeat.ReceivedAt = now - c.silence; l.liveness.IsHeartbeatLate(m, now) != c.late {
			t.Errorf("%s: late %v, want %v", c.name, !c.late, c.late)
		}
		if m.Heartbeat.ReceivedAt = 0; l.liveness.IsHeartbeatLate(m, l.startedAt+c.silence) != c.late {
			t.Errorf("%s, since the term started: late %v, want %v", c.name, !c.late, c.late)
		}
	}
}
