// Package liveness determines the state of machines from their heartbeats: whether a heartbeat is late, whether
// responses reach the worker, when the lease of a silent machine has expired, and when a machine should be terminated.
//
// The package defines the silence limits and counts lost responses. It must never release a task or terminate a
// machine itself: that is left to the leader, which calls its methods with the leader's lock held.
package liveness

import (
	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/leader/taskquery"
	"caperlatch/internal/micros"
)

// Config holds the parameters and dependencies of a Monitor. Its functions are called with the leader's lock held.
type Config struct {
	TermStartedAt micros.Micros
	// HeartbeatInterval is the usual time between a worker's heartbeats.
	HeartbeatInterval micros.Micros
	LeaseDuration     micros.Micros // duration of a worker's lease
	// LeaseRenewalWindow is the time after its last proof of leadership during which a node may respond to heartbeats
	// and thereby renew leases.
	LeaseRenewalWindow micros.Micros
	// CancellationTimeout is the time within which a cancelled job's tasks must have left all machines.
	CancellationTimeout micros.Micros
	// EarlierTermsFencedSince returns the time since when no node responds with a lower fencing token, 0 if unknown.
	EarlierTermsFencedSince func() micros.Micros
	// RetainsSilentMachines reports whether silent machines of a zone are kept until their leases have expired and for
	// another lease duration after that: when many machines are silent at once, a network fault is more likely than
	// faults of the machines.
	RetainsSilentMachines func(zone string) bool
	Fleet                 *fleet.Fleet
	Queries               *taskquery.Queries
}

// Monitor determines the liveness of the machines of a fleet for one term.
type Monitor struct {
	Config
	unknownCount int // number of machines whose tasks are not known, as of the last CountUnknown
}

// New returns a monitor with the configuration c.
func New(c Config) *Monitor { return &Monitor{Config: c} }

// CountUnknown updates the number of machines whose tasks are not known. The silence limits depend on that number.
func (mon *Monitor) CountUnknown() { mon.unknownCount = mon.Fleet.CountWithUnknownTasks() }

// Silence returns how long a machine has sent no heartbeat in this term.
func (mon *Monitor) Silence(m *state.Machine, now micros.Micros) micros.Micros {
	return m.Silence(mon.TermStartedAt, now)
}

// IsHeartbeatLate reports whether a machine's heartbeat is overdue.
func (mon *Monitor) IsHeartbeatLate(m *state.Machine, now micros.Micros) bool {
	return mon.Silence(m, now) > state.HeartbeatTimeout(mon.HeartbeatInterval)
}

// leaseMargin is the safety margin that is added to the maximum clock drift when lease expiries are computed.
const leaseMargin = micros.Second

// LeaseExpiry returns the time at which a machine is certain to have ended its tasks if no response renews its lease.
func (mon *Monitor) LeaseExpiry(m *state.Machine) micros.Micros {
	if m.TasksKnown() {
		return m.Lease.RenewedAt + mon.LeaseDuration + micros.MaxClockDrift(mon.LeaseDuration) + leaseMargin
	}
	// An earlier leader may have renewed the lease until LeaseRenewalWindow after its last proof of leadership, which
	// was before this term started, unless all nodes are known to have seen this term's fencing token sooner.
	lastRenewal := mon.TermStartedAt + mon.LeaseRenewalWindow
	if fenced := mon.EarlierTermsFencedSince(); fenced != 0 {
		lastRenewal = min(lastRenewal, fenced)
	}
	return max(lastRenewal, m.Lease.RenewedAt) + mon.LeaseDuration + micros.MaxClockDrift(mon.CancellationTimeout) + leaseMargin
}

// HasLeaseExpired reports whether a machine's lease has expired, so that its tasks have ended.
func (mon *Monitor) HasLeaseExpired(m *state.Machine, now micros.Micros) bool {
	return now > mon.LeaseExpiry(m)
}

// RecordLeaseExpiry records the time since which the lease of a running machine has been expired. If it is not expired,
// or the machine is not running, the recorded time is cleared.
func (mon *Monitor) RecordLeaseExpiry(m *state.Machine, expired bool, now micros.Micros) {
	if !expired || !m.Instance.Running {
		m.Lease.ExpiredSince = 0
	} else if m.Lease.ExpiredSince == 0 {
		m.Lease.ExpiredSince = now
	}
}
