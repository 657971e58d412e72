package liveness

import (
	"testing"

	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/leader/taskquery"
	"caperlatch/internal/micros"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

var testWorkers = settings.Workers{HeartbeatIntervalS: 2, LeaseDurationS: 16, CancellationTimeoutS: 41}

const termStart = 1000 * micros.Second

// newTestMonitor makes a monitor of a fleet without machines. Earlier terms have been fenced since an instant, 0 if
// that is not known.
func newTestMonitor(fencedSince micros.Micros) *Monitor {
	return New(Config{
		TermStartedAt:           termStart,
		HeartbeatInterval:       testWorkers.HeartbeatInterval(),
		LeaseDuration:           testWorkers.LeaseDuration(),
		LeaseRenewalWindow:      testWorkers.LeaseRenewalWindow(),
		CancellationTimeout:     testWorkers.CancellationTimeout(),
		EarlierTermsFencedSince: func() micros.Micros { return fencedSince },
		RetainsSilentMachines:   func(string) bool { return false },
		Fleet:                   &fleet.Fleet{},
		Queries:                 taskquery.New(taskquery.Config{}),
	})
}

// TestLeaseExpiry checks when a silent machine's tasks have ended for certain.
func TestLeaseExpiry(t *testing.T) {
	w := testWorkers
	cases := []struct {
		name                 string
		knowledge            state.TaskKnowledge
		fencedSince, renewed micros.Micros
		after, notAfter      micros.Micros // since the term began
	}{
		{"an earlier leader may renew it", state.TasksUnknown, 0, 0, w.LeaseRenewalWindow() + w.LeaseDuration(), w.CancellationTimeout()},
		{"all peers know of this term", state.TasksUnknown, termStart + micros.Second, 0, w.LeaseDuration() + micros.Second, w.LeaseDuration() + 3*micros.Second},
		{"renewed in this term", state.TasksConfirmed, 0, termStart + 5*micros.Second, w.LeaseDuration() + 5*micros.Second, w.LeaseDuration() + 7*micros.Second},
		{"renewed, and its tasks unknown", state.TasksUnknown, termStart + micros.Second, termStart + 5*micros.Second, w.LeaseDuration() + 5*micros.Second, w.LeaseDuration() + 7*micros.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := &state.Machine{Lease: state.LeaseState{RenewedAt: c.renewed}, Reconciliation: state.ReconciliationState{Knowledge: c.knowledge}}
			o := newTestMonitor(c.fencedSince)
			expiry := o.LeaseExpiry(m)
			if got := expiry - termStart; got <= c.after || got > c.notAfter {
				t.Errorf("expires after %v s, want within (%v, %v]", got.Seconds(), c.after.Seconds(), c.notAfter.Seconds())
			}
			if o.HasLeaseExpired(m, expiry) || !o.HasLeaseExpired(m, expiry+1) {
				t.Error("it must count as expired after its expiry, and not before")
			}
		})
	}
}

// TestRecordLease notes since when a lease has expired.
func TestRecordLease(t *testing.T) {
	cases := []struct {
		name             string
		running, expired bool
		before, want     micros.Micros // ExpiredSince
	}{
		{"not expired", true, false, 0, 0},
		{"expired", true, true, 0, 50},
		{"expired before", true, true, 40, 40},
		{"renewed", true, false, 40, 0},
		{"of a machine that has not come up", false, true, 0, 0},
	}
	for _, c := range cases {
		m := &state.Machine{Instance: state.InstanceState{Running: c.running}, Lease: state.LeaseState{ExpiredSince: c.before}}
		newTestMonitor(0).RecordLeaseExpiry(m, c.expired, 50)
		if got := m.Lease.ExpiredSince; got != c.want {
			t.Errorf("%s: expired since %d, want %d", c.name, got, c.want)
		}
	}
}

// TestIsHeartbeatLate counts silence from the latest heartbeat, or from the start of the term.
func TestIsHeartbeatLate(t *testing.T) {
	cases := []struct {
		name     string
		received micros.Micros
		silent   micros.Micros // since then
		want     bool
	}{
		{"within the usual delay", termStart + 10*micros.Second, 3500 * micros.Millisecond, false},
		{"beyond it", termStart + 10*micros.Second, 3501 * micros.Millisecond, true},
		{"none in this term, which has just begun", 0, termStart + 3500*micros.Millisecond, false},
		{"none in this term", 0, termStart + 3501*micros.Millisecond, true},
	}
	for _, c := range cases {
		m := &state.Machine{Heartbeat: state.HeartbeatState{ReceivedAt: c.received}}
		if got := newTestMonitor(0).IsHeartbeatLate(m, c.received+c.silent); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}

// TestCheckDelivery compares heartbeats with the commands of the responses before them.
func TestCheckDelivery(t *testing.T) {
	start := wire.Command{Verb: wire.VerbStart, TaskID: "j-000001/0"}
	clearing := wire.Command{Verb: wire.VerbClear, TaskID: "j-000001/1"}
	cases := []struct {
		name   string
		sent   []wire.Command
		listed []string
		before int // lost responses in a row
		want   int
	}{
		{"no commands", nil, nil, 2, 2},
		{"a start that shows", []wire.Command{start}, []string{"j-000001/0"}, 2, 0},
		{"a start that does not", []wire.Command{start}, nil, 2, 3},
		{"a clear that was obeyed", []wire.Command{clearing}, nil, 2, 0},
		{"a clear that was not", []wire.Command{clearing}, []string{"j-000001/1"}, 0, 1},
		{"one of two was obeyed", []wire.Command{start, clearing}, []string{"j-000001/0", "j-000001/1"}, 1, 0},
	}
	for _, c := range cases {
		m := &state.Machine{Delivery: state.DeliveryState{Sent: c.sent, LostResponses: c.before}}
		listed := map[string]bool{}
		for _, task := range c.listed {
			listed[task] = true
		}
		newTestMonitor(0).CheckDelivery(m, listed, termStart)
		if got := m.Delivery.LostResponses; got != c.want || len(m.Delivery.Sent) != 0 {
			t.Errorf("%s: %d lost responses in a row, %d commands kept; want %d, none", c.name, got, len(m.Delivery.Sent), c.want)
		}
	}
}

// TestLostResponseBackoff holds starts back for longer with each response that is lost, and for a lease at most.
func TestLostResponseBackoff(t *testing.T) {
	o, m := newTestMonitor(0), &state.Machine{}
	for i, want := range []micros.Micros{0, 4, 8, 16, 16} {
		now := termStart + micros.Micros(i)*micros.Second
		o.RecordLostResponse(m, now)
		if want != 0 {
			want = now + want*micros.Second
		}
		if m.StartBackoffUntil != want || m.Delivery.FirstLostAt != termStart {
			t.Errorf("after %d: no starts until %v, losing since %v; want %v, %v", i+1, m.StartBackoffUntil, m.Delivery.FirstLostAt, want, termStart)
		}
	}
}

// TestIgnoresStop finds machines that do not stop tasks of jobs that have ended.
func TestIgnoresStop(t *testing.T) {
	limit := (testWorkers.CancellationTimeout() - testWorkers.LeaseDuration()) / 2
	cases := []struct {
		name    string
		ended   bool
		stopped micros.Micros // since its stop was first requested, 0 if it was not
		want    bool
	}{
		{"not stopped", true, 0, false},
		{"stopped lately", true, limit, false},
		{"stopped long ago", true, limit + 1, true},
		{"stopped long ago, of a job that goes on", false, limit + 1, false},
	}
	for _, c := range cases {
		m := &state.Machine{Attempts: map[string]*state.Attempt{}}
		a := &state.Attempt{Job: &state.Job{Ended: c.ended}, Machine: m}
		m.Attempts["j-000001/0"] = a
		if c.stopped != 0 {
			a.StopRequestedAt, m.StoppingCount = termStart, 1
		}
		if got := newTestMonitor(0).IgnoresStop(m, termStart+c.stopped); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}
