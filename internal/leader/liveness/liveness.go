// Package liveness judges from a machine's heartbeats whether it is there: whether they are late, whether
// responses reach its worker, when the lease of a silent one has expired, and when it is to be terminated.
//
// It owns the limits of silence and the counts of lost responses. It must never release a task or terminate a
// machine: it judges, and the leader acts. Its methods are called with the leader's lock held.
package liveness

import (
	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/leader/taskquery"
	"caperlatch/internal/micros"
)

// Config is what a monitor works with. The functions are called with the lock held.
type Config struct {
	TermStartedAt micros.Micros
	// HeartbeatInterval is the workers' usual time between heartbeats.
	HeartbeatInterval micros.Micros
	LeaseDuration     micros.Micros // of workers
	// LeaseRenewalWindow is for how long after its last proof of leadership a node may respond.
	LeaseRenewalWindow micros.Micros
	// CancellationTimeout is how soon a cancelled job's tasks must have left all machines.
	CancellationTimeout micros.Micros
	// EarlierTermsFencedSince is since when nobody responds with a lower fencing token, 0 if that is not known.
	EarlierTermsFencedSince func() micros.Micros
	// RetainsSilentMachines reports whether silent machines of a zone are kept for as long as their leases last, and as
	// long again: where many are silent at once, the network is more likely at fault than they are.
	RetainsSilentMachines func(zone string) bool
	Fleet                 *fleet.Fleet
	Queries               *taskquery.Queries
}

// Monitor judges the machines of a fleet for one term.
type Monitor struct {
	Config
	unknownCount int // machines whose tasks are not known, as of the last CountUnknown
}

// New makes a monitor.
func New(c Config) *Monitor { return &Monitor{Config: c} }

// CountUnknown counts the machines whose tasks are not known, which the limits of silence depend on.
func (o *Monitor) CountUnknown() { o.unknownCount = o.Fleet.CountWithUnknownTasks() }

// Silence is for how long a machine has sent no heartbeat in this term.
func (o *Monitor) Silence(m *state.Machine, now micros.Micros) micros.Micros {
	return m.Silence(o.TermStartedAt, now)
}

// IsHeartbeatLate reports whether a machine's heartbeat is overdue.
func (o *Monitor) IsHeartbeatLate(m *state.Machine, now micros.Micros) bool {
	return o.Silence(m, now) > state.HeartbeatTimeout(o.HeartbeatInterval)
}

// leaseMargin is kept free beside the drift of clocks.
const leaseMargin = micros.Second

// LeaseExpiry is when a silent machine has ended its tasks for certain.
func (o *Monitor) LeaseExpiry(m *state.Machine) micros.Micros {
	if m.TasksKnown() {
		return m.Lease.RenewedAt + o.LeaseDuration + micros.MaxClockDrift(o.LeaseDuration) + leaseMargin
	}
	// Another node may have renewed the lease until LeaseRenewalWindow after its last proof of
	// leadership, which was before this term started, unless all are known to have seen this term's
	// fencing token sooner.
	lastRenewal := o.TermStartedAt + o.LeaseRenewalWindow
	if fenced := o.EarlierTermsFencedSince(); fenced != 0 {
		lastRenewal = min(lastRenewal, fenced)
	}
	return max(lastRenewal, m.Lease.RenewedAt) + o.LeaseDuration + micros.MaxClockDrift(o.CancellationTimeout) + leaseMargin
}

// HasLeaseExpired reports whether a machine's lease has expired.
func (o *Monitor) HasLeaseExpired(m *state.Machine, now micros.Micros) bool {
	return now > o.LeaseExpiry(m)
}

// RecordLeaseExpiry notes since when the lease of a running machine has expired, or that it has not.
func (o *Monitor) RecordLeaseExpiry(m *state.Machine, expired bool, now micros.Micros) {
	if !expired || !m.Instance.Running {
		m.Lease.ExpiredSince = 0
	} else if m.Lease.ExpiredSince == 0 {
		m.Lease.ExpiredSince = now
	}
}
