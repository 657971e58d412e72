package settings

import (
	"cmp"

	"caperlatch/internal/micros"
)

// Workers holds the times that workers keep.
type Workers struct {
	HeartbeatIntervalS   float64 `toml:"report_s"`
	LeaseDurationS       float64 `toml:"lease_s"`
	CancellationTimeoutS float64 `toml:"cancel_s"`
	// Of gangs; 0: not given, as by deployments that have none.
	GangAssemblyTimeoutS float64 `toml:"gang_wait_s"`
	GangLossTimeoutS     float64 `toml:"gang_peer_s"`
}

// GangAssemblyTimeout is how long a gang's task waits for the others before it exits. If nobody
// says, a task's lease is taken: longer than that no task waits unheard.
func (w Workers) GangAssemblyTimeout() micros.Micros {
	return micros.FromSeconds(cmp.Or(w.GangAssemblyTimeoutS, w.LeaseDurationS))
}

// GangLossTimeout is within what time all tasks of a gang must be told to stop, and how soon
// they notice that one is gone. If nobody says, two reports are taken.
func (w Workers) GangLossTimeout() micros.Micros {
	return micros.FromSeconds(cmp.Or(w.GangLossTimeoutS, 2*w.HeartbeatIntervalS))
}

// LeaseDuration is the worker lease.
func (w Workers) LeaseDuration() micros.Micros { return micros.FromSeconds(w.LeaseDurationS) }

// HeartbeatInterval is the usual time between two reports.
func (w Workers) HeartbeatInterval() micros.Micros { return micros.FromSeconds(w.HeartbeatIntervalS) }

// CancellationTimeout is how soon a cancelled job's tasks must be gone.
func (w Workers) CancellationTimeout() micros.Micros {
	return micros.FromSeconds(w.CancellationTimeoutS)
}

// renewMargin is to spare beside what the clocks may run apart.
const renewMargin = 2 * micros.Second

// LeaseRenewalWindow is how long after the last contact with the state service a node
// may still renew worker leases: a lease renewed at the end of it runs out
// before a cancellation that the node could not see is due.
func (w Workers) LeaseRenewalWindow() micros.Micros {
	return max(0, w.CancellationTimeout()-w.LeaseDuration()-micros.MaxClockDrift(w.CancellationTimeout())-renewMargin)
}
