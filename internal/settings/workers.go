package settings

import (
	"cmp"

	"caperlatch/internal/micros"
)

// Workers holds the times that workers keep, in seconds.
type Workers struct {
	HeartbeatIntervalS   float64 `toml:"report_s"`
	LeaseDurationS       float64 `toml:"lease_s"`
	CancellationTimeoutS float64 `toml:"cancel_s"`
	// Of gangs; 0: not given, as by deployments that have none.
	GangAssemblyTimeoutS float64 `toml:"gang_wait_s"`
	GangLossTimeoutS     float64 `toml:"gang_peer_s"`
}

// HeartbeatInterval is the usual time between two heartbeats.
func (w Workers) HeartbeatInterval() micros.Micros { return micros.FromSeconds(w.HeartbeatIntervalS) }

// LeaseDuration is how long a worker runs its tasks without a response that renews its lease.
func (w Workers) LeaseDuration() micros.Micros { return micros.FromSeconds(w.LeaseDurationS) }

// CancellationTimeout is how soon a cancelled job's tasks must be gone from all machines.
func (w Workers) CancellationTimeout() micros.Micros {
	return micros.FromSeconds(w.CancellationTimeoutS)
}

// GangAssemblyTimeout is how long a gang's task waits for the others before it exits. If it is
// not given, it is the duration of a lease: no task waits longer without a response.
func (w Workers) GangAssemblyTimeout() micros.Micros {
	return micros.FromSeconds(cmp.Or(w.GangAssemblyTimeoutS, w.LeaseDurationS))
}

// GangLossTimeout is within what time all tasks of a gang must get their commands to stop, and
// how soon they notice that one is lost. If it is not given, it is the time of two heartbeats.
func (w Workers) GangLossTimeout() micros.Micros {
	return micros.FromSeconds(cmp.Or(w.GangLossTimeoutS, 2*w.HeartbeatIntervalS))
}

// renewMargin is to spare besides what clocks may run apart.
const renewMargin = 2 * micros.Second

// LeaseRenewalWindow is how long after its last contact with the state service a node may still
// renew workers' leases: a lease renewed at the end of it expires before a cancellation that the
// node could not see is due.
func (w Workers) LeaseRenewalWindow() micros.Micros {
	return max(0, w.CancellationTimeout()-w.LeaseDuration()-micros.MaxClockDrift(w.CancellationTimeout())-renewMargin)
}
