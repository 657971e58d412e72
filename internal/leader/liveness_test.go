package leader

import (
	"testing"

	"caperlatch/internal/leader/liveness"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/leader/taskquery"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestLeaseExpiry checks by a leader's settings when a silent machine's tasks have ended for certain.
func TestLeaseExpiry(t *testing.T) {
	l, term := newTestLeader(t)
	m, w := l.fleet.Machines["i-1"], l.Settings.Params.Workers
	cases := []struct {
		name                 string
		confirmed            bool
		fencedSince, renewed micros.Micros
		after, notAfter      micros.Micros // since the term began
	}{
		{"an earlier leader may renew it", false, 0, 0, w.LeaseRenewalWindow() + w.LeaseDuration(), w.CancellationTimeout()},
		{"all peers know of this term", false, l.startedAt + micros.Second, 0, w.LeaseDuration() + micros.Second, w.LeaseDuration() + 3*micros.Second},
		{"renewed in this term", true, 0, l.startedAt + 5*micros.Second, w.LeaseDuration() + 5*micros.Second, w.LeaseDuration() + 7*micros.Second},
		{"renewed, and its tasks unknown", false, l.startedAt + micros.Second, l.startedAt + 5*micros.Second, w.LeaseDuration() + 5*micros.Second, w.LeaseDuration() + 7*micros.Second},
	}
	for _, c := range cases {
		m.Lease.RenewedAt, term.earlierTermsFencedSince = c.renewed, c.fencedSince
		m.Reconciliation.Knowledge = taskKnowledge(c.confirmed)
		if got := l.liveness.LeaseExpiry(m) - l.startedAt; got <= c.after || got > c.notAfter {
			t.Errorf("%s: expires after %v s, want within (%v, %v]", c.name, got.Seconds(), c.after.Seconds(), c.notAfter.Seconds())
		}
	}
}

// TestSilentMachines has machines fall silent. One is terminated soon; many at once, or any while the leader's
// session is in doubt, are not: an isolated leader once had a whole fleet terminated by requests that were
// held back and carried out late.
func TestSilentMachines(t *testing.T) {
	cases := []struct {
		name         string
		silent       int // of six
		holdsSession bool
		since        micros.Micros
		terminated   bool
	}{
		{"one", 1, true, 17 * micros.Second, true},
		{"one, for a short time", 1, true, 5 * micros.Second, false},
		{"one, while the session is in doubt", 1, false, 17 * micros.Second, false},
		{"half", 3, true, 17 * micros.Second, false},
		{"half, their leases expired", 3, true, 20 * micros.Second, false},
		{"half, their leases expired for as long again", 3, true, 40 * micros.Second, true},
	}
	for _, c := range cases {
		l, term := newTestLeader(t)
		term.holdsSession = c.holdsSession
		b := l.fleet.Intent("r-1")
		for _, id := range []string{"i-2", "i-3", "i-4", "i-5", "i-6"} {
			l.fleet.Add(id, b, l.startedAt).Instance.Running = true
		}
		now := l.startedAt + 100*micros.Second
		for i, m := range l.fleet.Sorted {
			m.Heartbeat.ReceivedAt, m.Lease.RenewedAt = now, now
			m.Reconciliation.Knowledge = state.TasksConfirmed
			if i < c.silent {
				m.Heartbeat.ReceivedAt, m.Lease.RenewedAt = now-c.since, now-c.since
			}
		}
		// An expired machine is noted first, and given up when that lasts.
		l.superviseMachines(now - 20*micros.Second)
		l.superviseMachines(now)
		if got := l.fleet.Machines["i-1"].Instance.Terminating; got != c.terminated {
			t.Errorf("%s: terminated %v, want %v", c.name, got, c.terminated)
		}
	}
}

// TestReclaimedWithoutNotice has machines silent that the cloud's list still names, or no longer does.
func TestReclaimedWithoutNotice(t *testing.T) {
	for _, c := range []struct {
		name       string
		lists      []bool // whether it was in each
		silent     micros.Micros
		terminated bool
	}{
		{"silent and no longer listed", []bool{true, false, false}, 5 * micros.Second, true},
		{"missing in one list, which may be an old one", []bool{true, false}, 5 * micros.Second, false},
		{"never listed yet", []bool{false, false, false}, 5 * micros.Second, false},
		{"listed again", []bool{true, false, false, true}, 5 * micros.Second, false},
		{"no longer listed, and its heartbeats go on", []bool{true, false, false}, micros.Second, false},
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
		m.Heartbeat.ReceivedAt, m.Lease.RenewedAt = now-c.silent, now-c.silent
		m.Reconciliation.Knowledge = state.TasksConfirmed
		l.superviseMachines(now)
		if m.Instance.Terminating != c.terminated {
			t.Errorf("%s: terminated %v, want %v", c.name, m.Instance.Terminating, c.terminated)
		}
	}
}

// TestUnresponsiveMachineTermination has a machine give no response to queries after a failover. All
// jobs of earlier terms wait for it, so it is terminated soon; but not where this node may be cut off.
func TestUnresponsiveMachineTermination(t *testing.T) {
	for _, c := range []struct {
		name               string
		queried, responded int // of its zone
		tasksUnknown       int
		terminated         bool
	}{
		{"the only one", 20, 19, 1, true},
		{"its whole zone is silent", 20, 0, 1, false},
		{"many are", 20, 12, 8, false},
	} {
		l, _ := newTestLeader(t)
		b := l.fleet.Intent("r-1")
		for i := range 19 {
			l.fleet.Add(string(rune('a'+i)), b, l.startedAt).Instance.Running = true
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
		l.taskQueries.ByZone["a"] = taskquery.Counts{Queried: c.queried, Responded: c.responded}
		l.superviseMachines(now)
		if got := l.fleet.Sorted[0].Instance.Terminating; got != c.terminated {
			t.Errorf("%s: terminated %v, want %v", c.name, got, c.terminated)
		}
	}
}
