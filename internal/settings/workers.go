package settings

import (
	"cmp"

	"caperlatch/internal/micros"
)

// Workers holds the intervals and timeouts of workers, in seconds.
type Workers struct {
	HeartbeatIntervalS   float64 `toml:"report_s"`
	LeaseDurationS       float64 `toml:"lease_s"`
	CancellationTimeoutS float64 `toml:"cancel_s"`
	// Timeouts of gangs. 0 means not set, as in deployments without gangs.
	GangAssemblyTimeoutS float64 `toml:"gang_wait_s"`
	GangLossTimeoutS     float64 `toml:"gang_peer_s"`
}

// HeartbeatInterval returns the usual time between two heartbeats.
func (w Workers) HeartbeatInterval() micros.Micros { return micros.FromSeconds(w.HeartbeatIntervalS) }

// LeaseDuration returns the time for which a worker runs its tasks without a response that renews its lease.
func (w Workers) LeaseDuration() micros.Micros { return micros.FromSeconds(w.LeaseDurationS) }

// CancellationTimeout returns the time within which the tasks of a cancelled job must have stopped on all machines.
func (w Workers) CancellationTimeout() micros.Micros {
	return micros.FromSeconds(w.CancellationTimeoutS)
}

// GangAssemblyTimeout returns the time for which a task of a gang waits for the other tasks before it exits. If it is
// not set, it is the duration of a lease: no task waits longer than that without a response.
func (w Workers) GangAssemblyTimeout() micros.Micros {
	return micros.FromSeconds(cmp.Or(w.GangAssemblyTimeoutS, w.LeaseDurationS))
}

// GangLossTimeout returns the time within which all tasks of a gang must receive their commands to stop, and within
// which they notice that one of them is lost. If it is not set, it is two heartbeat intervals.
func (w Workers) GangLossTimeout() micros.Micros {
	return micros.FromSeconds(cmp.Or(w.GangLossTimeoutS, 2*w.HeartbeatIntervalS))
}

// leaseRenewalMargin is a safety margin in addition to the maximum clock drift.
const leaseRenewalMargin = 2 * micros.Second

// LeaseRenewalWindow returns how long a node may still renew the leases of workers after its last contact with the
// state service. A lease renewed at the end of the window expires before the timeout of a cancellation that the node
// could not see.
func (w Workers) LeaseRenewalWindow() micros.Micros {
	return max(0, w.CancellationTimeout()-w.LeaseDuration()-micros.MaxClockDrift(w.CancellationTimeout())-leaseRenewalMargin)
}
