package leader

import (
	"testing"

	"caperlatch/internal/leader/liveness"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/leader/taskquery"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestLeaseExpiry checks the time at which a silent machine's tasks are certain to have ended. It uses the liveness
// monitor as the leader configures it.
func TestLeaseExpiry(t *testing.T) {
	l, term := newTestLeader(t)
	m, w := l.fleet.Machines["i-1"], l.Settings.Params.Workers
	cases := []struct {
		name                 string
		confirmed            bool
		fencedSince, renewed micros.Micros // 0 if unknown, or if this term has not renewed the lease
		after, notAfter      micros.Micros // bounds of the lease expiry, since the start of the term
	}{
		{"an earlier leader may have renewed the lease", false, 0, 0, w.LeaseRenewalWindow() + w.LeaseDuration(), w.CancellationTimeout()},
		{"all peers know this term's fencing token", false, l.startedAt + micros.Second, 0, w.LeaseDuration() + micros.Second, w.LeaseDuration() + 3*micros.Second},
		{"the lease was renewed in this term", true, 0, l.startedAt + 5*micros.Second, w.LeaseDuration() + 5*micros.Second, w.LeaseDuration() + 7*micros.Second},
		{"the lease was renewed, and the machine's tasks are unknown", false, l.startedAt + micros.Second, l.startedAt + 5*micros.Second, w.LeaseDuration() + 5*micros.Second, w.LeaseDuration() + 7*micros.Second},
	}
	for _, c := range cases {
		m.Lease.RenewedAt, term.earlierTermsFencedSince = c.renewed, c.fencedSince
		m.Reconciliation.Knowledge = taskKnowledge(c.confirmed)
		if got := l.liveness.LeaseExpiry(m) - l.startedAt; got <= c.after || got > c.notAfter {
			t.Errorf("%s: the lease expires %v s after the start of the term, want a time in (%v, %v]", c.name, got.Seconds(), c.after.Seconds(), c.notAfter.Seconds())
		}
	}
}

// TestSilentMachineTermination checks when silent machines are terminated. A single one is terminated soon. Many silent
// machines are terminated only once their leases have been expired for another lease duration, and none while the
// leader's session may have ended. The test guards against the termination of a whole fleet: an isolated leader once
// requested it, and the requests were carried out after a delay.
func TestSilentMachineTermination(t *testing.T) {
	cases := []struct {
		name         string
		silent       int // silent machines, of six
		holdsSession bool
		silence      micros.Micros
		terminated   bool
	}{
		{"one machine", 1, true, 17 * micros.Second, true},
		{"one machine, for a short time", 1, true, 5 * micros.Second, false},
		{"one machine, while the session may have ended", 1, false, 17 * micros.Second, false},
		{"half of the machines", 3, true, 17 * micros.Second, false},
		{"half of the machines, with expired leases", 3, true, 20 * micros.Second, false},
		{"half of the machines, with leases expired for another lease duration", 3, true, 40 * micros.Second, true},
	}
	for _, c := range cases {
		l, term := newTestLeader(t)
		term.holdsSession = c.holdsSession
		intent := l.fleet.Intent("r-1")
		for _, id := range []string{"i-2", "i-3", "i-4", "i-5", "i-6"} {
			l.fleet.Add(id, intent, l.startedAt).Instance.Running = true
		}
		now := l.startedAt + 100*micros.Second
		for i, m := range l.fleet.Sorted {
			m.Heartbeat.ReceivedAt, m.Lease.RenewedAt = now, now
			m.Reconciliation.Knowledge = state.TasksConfirmed
			if i < c.silent {
				m.Heartbeat.ReceivedAt, m.Lease.RenewedAt = now-c.silence, now-c.silence
			}
		}
		// The first call records the leases that have expired by then. The second finds them expired for 20 s, which is
		// longer than the lease duration of 16 s.
		l.superviseMachines(now - 20*micros.Second)
		l.superviseMachines(now)
		if got := l.fleet.Machines["i-1"].Instance.Terminating; got != c.terminated {
			t.Errorf("%s: terminated: %v, want %v", c.name, got, c.terminated)
		}
	}
}

// TestUnlistedMachineTermination checks when a machine that the cloud no longer lists is terminated. The cloud stops
// listing a machine if it reclaims the machine without notice. The machine must also be silent.
func TestUnlistedMachineTermination(t *testing.T) {
	for _, c := range []struct {
		name       string
		lists      []bool // whether each of the cloud's lists contains the machine
		silence    micros.Micros
		terminated bool
	}{
		{"silent and no longer listed", []bool{true, false, false}, 5 * micros.Second, true},
		{"missing from one list, which may be out of date", []bool{true, false}, 5 * micros.Second, false},
		{"never listed", []bool{false, false, false}, 5 * micros.Second, false},
		{"listed again", []bool{true, false, false, true}, 5 * micros.Second, false},
		{"no longer listed, but its heartbeats still arrive", []bool{true, false, false}, micros.Second, false},
	} {
		l, _ := newTestLeader(t)
		m := l.fleet.Machines["i-1"]
		for _, listed := range c.lists {
			var list []wire.InstanceStatus
			if listed {
				list = append(list, wire.InstanceStatus{ID: "i-1", State: wire.InstanceRunning})
			}
			l.fleet.ReconcileInstances(list)
		}
		now := l.startedAt + 100*micros.Second
		m.Heartbeat.ReceivedAt, m.Lease.RenewedAt = now-c.silence, now-c.silence
		m.Reconciliation.Knowledge = state.TasksConfirmed
		l.superviseMachines(now)
		if m.Instance.Terminating != c.terminated {
			t.Errorf("%s: terminated: %v, want %v", c.name, m.Instance.Terminating, c.terminated)
		}
	}
}

// TestUnresponsiveMachineTermination checks when a machine that does not respond to task queries after a failover is
// terminated. All jobs of earlier terms wait for the machine, so it is terminated soon, unless this node may be cut off
// from the machine's zone.
func TestUnresponsiveMachineTermination(t *testing.T) {
	for _, c := range []struct {
		name               string
		queried, responded int // numbers of machines of the zone that were queried, and that responded
		tasksUnknown       int // unresponsive machines with unknown tasks, of 20
		terminated         bool
	}{
		{"the only unresponsive machine", 20, 19, 1, true},
		{"no machine of the zone has responded", 20, 0, 1, false},
		{"many machines of the zone have not responded", 20, 12, 8, false},
	} {
		l, _ := newTestLeader(t)
		intent := l.fleet.Intent("r-1")
		for i := range 19 {
			l.fleet.Add(string(rune('a'+i)), intent, l.startedAt).Instance.Running = true
		}
		now := l.startedAt + liveness.UnresponsiveLimit + 100*micros.Millisecond
		for i, m := range l.fleet.Sorted {
			m.Heartbeat.ReceivedAt, m.Lease.RenewedAt = now, now
			m.Reconciliation.Knowledge = state.TasksConfirmed
			if i < c.tasksUnknown {
				m.Heartbeat.ReceivedAt, m.Lease.RenewedAt, m.Reconciliation.FailedQueries = 0, 0, 2
				m.Reconciliation.Knowledge = state.TasksUnknown
			}
		}
		l.taskQueries.ByZone["a"] = taskquery.ResponseCounts{Queried: c.queried, Responded: c.responded}
		l.superviseMachines(now)
		if got := l.fleet.Sorted[0].Instance.Terminating; got != c.terminated {
			t.Errorf("%s: terminated: %v, want %v", c.name, got, c.terminated)
		}
	}
}
