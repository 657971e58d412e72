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

// newTestMonitor returns a monitor of a fleet without machines. Earlier terms have been fenced since fencedSince, 0 if
// unknown.
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

// TestLeaseExpiry checks the time at which a silent machine's tasks are certain to have ended.
func TestLeaseExpiry(t *testing.T) {
	w := testWorkers
	cases := []struct {
		name                 string
		knowledge            state.TaskKnowledge
		fencedSince, renewed micros.Micros
		after, notAfter      micros.Micros // bounds of the expiry, relative to the start of the term
	}{
		{"an earlier leader may renew the lease", state.TasksUnknown, 0, 0, w.LeaseRenewalWindow() + w.LeaseDuration(), w.CancellationTimeout()},
		{"all peers know this term", state.TasksUnknown, termStart + micros.Second, 0, w.LeaseDuration() + micros.Second, w.LeaseDuration() + 3*micros.Second},
		{"renewed in this term", state.TasksConfirmed, 0, termStart + 5*micros.Second, w.LeaseDuration() + 5*micros.Second, w.LeaseDuration() + 7*micros.Second},
		{"renewed in this term, with unknown tasks", state.TasksUnknown, termStart + micros.Second, termStart + 5*micros.Second, w.LeaseDuration() + 5*micros.Second, w.LeaseDuration() + 7*micros.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := &state.Machine{Lease: state.LeaseState{RenewedAt: c.renewed}, Reconciliation: state.ReconciliationState{Knowledge: c.knowledge}}
			mon := newTestMonitor(c.fencedSince)
			expiry := mon.LeaseExpiry(m)
			if got := expiry - termStart; got <= c.after || got > c.notAfter {
				t.Errorf("lease expires %v s after the start of the term, want a time in (%v, %v]", got.Seconds(), c.after.Seconds(), c.notAfter.Seconds())
			}
			if mon.HasLeaseExpired(m, expiry) || !mon.HasLeaseExpired(m, expiry+1) {
				t.Errorf("HasLeaseExpired is %t at the expiry and %t 1 µs later, want false and true", mon.HasLeaseExpired(m, expiry), mon.HasLeaseExpired(m, expiry+1))
			}
		})
	}
}

// TestRecordLeaseExpiry checks since when a lease is recorded as expired.
func TestRecordLeaseExpiry(t *testing.T) {
	cases := []struct {
		name             string
		running, expired bool
		before, want     micros.Micros // values of ExpiredSince
	}{
		{"not expired", true, false, 0, 0},
		{"expired", true, true, 0, 50},
		{"expired since earlier", true, true, 40, 40},
		{"renewed", true, false, 40, 0},
		{"expired, of a machine that has not booted", false, true, 0, 0},
	}
	for _, c := range cases {
		m := &state.Machine{Instance: state.InstanceState{Running: c.running}, Lease: state.LeaseState{ExpiredSince: c.before}}
		newTestMonitor(0).RecordLeaseExpiry(m, c.expired, 50)
		if got := m.Lease.ExpiredSince; got != c.want {
			t.Errorf("%s: expired since %d µs, want %d µs", c.name, got, c.want)
		}
	}
}

// TestIsHeartbeatLate checks that silence counts from the latest heartbeat, or from the start of the term.
func TestIsHeartbeatLate(t *testing.T) {
	cases := []struct {
		name     string
		received micros.Micros
		silent   micros.Micros // time since received
		want     bool
	}{
		{"within the timeout", termStart + 10*micros.Second, 3500 * micros.Millisecond, false},
		{"beyond the timeout", termStart + 10*micros.Second, 3501 * micros.Millisecond, true},
		{"no heartbeat in this term, within the timeout", 0, termStart + 3500*micros.Millisecond, false},
		{"no heartbeat in this term, beyond the timeout", 0, termStart + 3501*micros.Millisecond, true},
	}
	for _, c := range cases {
		m := &state.Machine{Heartbeat: state.HeartbeatState{ReceivedAt: c.received}}
		if got := newTestMonitor(0).IsHeartbeatLate(m, c.received+c.silent); got != c.want {
			t.Errorf("%s: late is %t, want %t", c.name, got, c.want)
		}
	}
}

// TestCheckDelivery checks which heartbeats show that the previous response was lost, and which show that it arrived.
func TestCheckDelivery(t *testing.T) {
	startCommand := wire.Command{Verb: wire.VerbStart, TaskID: "j-000001/0"}
	clearCommand := wire.Command{Verb: wire.VerbClear, TaskID: "j-000001/1"}
	cases := []struct {
		name   string
		sent   []wire.Command
		listed []string
		before int // consecutive lost responses
		want   int
	}{
		{"no commands", nil, nil, 2, 2},
		{"the started task is listed", []wire.Command{startCommand}, []string{"j-000001/0"}, 2, 0},
		{"the started task is not listed", []wire.Command{startCommand}, nil, 2, 3},
		{"the cleared task is not listed", []wire.Command{clearCommand}, nil, 2, 0},
		{"the cleared task is still listed", []wire.Command{clearCommand}, []string{"j-000001/1"}, 0, 1},
		{"one of two commands was executed", []wire.Command{startCommand, clearCommand}, []string{"j-000001/0", "j-000001/1"}, 1, 0},
	}
	for _, c := range cases {
		m := &state.Machine{Delivery: state.DeliveryState{Sent: c.sent, LostResponses: c.before}}
		listed := map[string]bool{}
		for _, task := range c.listed {
			listed[task] = true
		}
		newTestMonitor(0).CheckDelivery(m, listed, termStart)
		if got := m.Delivery.LostResponses; got != c.want || len(m.Delivery.Sent) != 0 {
			t.Errorf("%s: %d consecutive lost responses, %d commands kept; want %d lost responses, no commands", c.name, got, len(m.Delivery.Sent), c.want)
		}
	}
}

// TestLostResponseBackoff checks that starts are delayed for longer with each consecutive lost response, and for one
// lease duration at most.
func TestLostResponseBackoff(t *testing.T) {
	mon, m := newTestMonitor(0), &state.Machine{}
	for i, want := range []micros.Micros{0, 4, 8, 16, 16} {
		now := termStart + micros.Micros(i)*micros.Second
		mon.RecordLostResponse(m, now)
		if want != 0 {
			want = now + want*micros.Second
		}
		if m.StartBackoffUntil != want || m.Delivery.FirstLostAt != termStart {
			t.Errorf("after %d lost responses: starts delayed until %v, first lost at %v; want %v, %v", i+1, m.StartBackoffUntil.Duration(), m.Delivery.FirstLostAt.Duration(), want.Duration(), termStart.Duration())
		}
	}
}

// TestIgnoresStop checks that machines which do not stop the tasks of ended jobs are detected.
func TestIgnoresStop(t *testing.T) {
	limit := (testWorkers.CancellationTimeout() - testWorkers.LeaseDuration()) / 2
	cases := []struct {
		name    string
		ended   bool
		stopped micros.Micros // time since the stop was first requested, 0 if it was not
		want    bool
	}{
		{"no stop requested", true, 0, false},
		{"stop requested within the limit", true, limit, false},
		{"stop requested longer ago than the limit", true, limit + 1, true},
		{"stop requested longer ago than the limit, of a job that has not ended", false, limit + 1, false},
	}
	for _, c := range cases {
		m := &state.Machine{Attempts: map[string]*state.Attempt{}}
		a := &state.Attempt{Job: &state.Job{Ended: c.ended}, Machine: m}
		m.Attempts["j-000001/0"] = a
		if c.stopped != 0 {
			a.StopRequestedAt, m.StoppingCount = termStart, 1
		}
		if got := newTestMonitor(0).IgnoresStop(m, termStart+c.stopped); got != c.want {
			t.Errorf("%s: IgnoresStop is %t, want %t", c.name, got, c.want)
		}
	}
}
