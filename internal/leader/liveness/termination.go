package liveness

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
)

// Limits of silence.
const (
	// UnresponsiveLimit is for a machine that twice gave no response to a query for its tasks.
	UnresponsiveLimit = 4 * micros.Second
	// minFailedQueries is after how many queries in vain a machine counts as unresponsive.
	minFailedQueries = 2
	// heartbeatMargin is allowed beside the timeout of a live worker's heartbeat, and nodeChangeTime where the
	// worker may have to give a node up before (4 s, and a pause of 1 s).
	heartbeatMargin = micros.Second
	nodeChangeTime  = 5 * micros.Second
	// Parts of the fleet whose tasks are unknown: one in mostDivisor at most is little enough for
	// UnresponsiveLimit, one in fewDivisor for no allowance of nodeChangeTime.
	mostDivisor = 10
	fewDivisor  = 50

	missedHeartbeats = 3                  // that a machine with known tasks may miss
	silenceMargin    = 4 * micros.Second  // beside them
	maxSilence       = 20 * micros.Second // of such a machine, unless missedHeartbeats take longer
	// minMissingLists is from how many of the cloud's lists in a row a machine is missing that seems to be
	// taken back.
	minMissingLists = 2
)

// silenceLimit is how long a machine may be silent before it is terminated, which proves that its tasks have ended and
// stops its cost.
func (o *Monitor) silenceLimit(m *state.Machine) micros.Micros {
	if m.TasksKnown() {
		return max(missedHeartbeats*o.HeartbeatInterval+silenceMargin, min(o.LeaseDuration, maxSilence))
	}
	// Jobs of earlier terms wait for these, so a machine or two is the smaller loss. A live worker sends a
	// heartbeat within five quarters of the usual time; it may have to give a node up before.
	late := state.HeartbeatTimeout(o.HeartbeatInterval) + heartbeatMargin
	unresponsive := m.Reconciliation.FailedQueries >= minFailedQueries
	fleetSize := len(o.Fleet.Sorted)
	if unresponsive && o.Queries.MostOfZoneRespond(m.Offering.Zone) && mostDivisor*o.unknownCount <= fleetSize {
		return min(late, UnresponsiveLimit)
	}
	if fewDivisor*o.unknownCount <= fleetSize || unresponsive && o.Queries.MostRespond() {
		return late
	}
	return late + nodeChangeTime
}

// seemsReclaimed reports whether the cloud seems to have taken a machine back without a notice: it is
// silent, and was listed before and is so no longer. That proves nothing, as lists lag; but it is a reason to
// terminate it now, which does.
func (o *Monitor) seemsReclaimed(m *state.Machine, now micros.Micros) bool {
	return m.Instance.SeenInCloudList && m.Instance.MissedCloudLists >= minMissingLists && o.IsHeartbeatLate(m, now)
}

// TerminationReason is why a machine should be terminated as it is silent, gets no response or does not come
// up; empty if it should not. Where many are silent at once the network is more likely at fault than they
// are: they are kept as long as their leases last, and as long again.
func (o *Monitor) TerminationReason(m *state.Machine, leaseExpired bool, now micros.Micros) string {
	kept := func() bool { return o.RetainsSilentMachines(m.Offering.Zone) }
	i := &m.Instance
	switch {
	case i.Running && o.Silence(m, now) > o.silenceLimit(m) && (!kept() || m.Lease.ExpiredSince != 0 && now-m.Lease.ExpiredSince > o.LeaseDuration):
		return "silent"
	case i.Running && o.seemsReclaimed(m, now):
		return "silent and no longer listed"
	case m.LosesResponses() && now-m.Delivery.FirstLostAt > o.silenceLimit(m) && (!kept() || leaseExpired):
		return "it hears nothing"
	case o.isStuckInBoot(m, now):
		o.Fleet.RecordStuckBoot()
		return "did not boot"
	}
	return ""
}

// isStuckInBoot reports whether a machine has not come up in time. A new leader waits for its heartbeat for a
// while.
func (o *Monitor) isStuckInBoot(m *state.Machine, now micros.Micros) bool {
	i := &m.Instance
	return !i.Running && i.FirstHeartbeatAt == 0 && now-i.LaunchedAt > o.Fleet.BootTimeout(m) && now-o.TermStartedAt > 2*o.HeartbeatInterval
}

// IgnoresStop reports whether a machine has not stopped a task of a job that has ended. It is terminated well
// before the task must have ended.
func (o *Monitor) IgnoresStop(m *state.Machine, now micros.Micros) bool {
	if m.StoppingCount == 0 {
		return false
	}
	limit := (o.CancellationTimeout - o.LeaseDuration) / 2
	for _, a := range m.Attempts {
		if a.StopRequestedAt != 0 && a.Job.Ended && now-a.StopRequestedAt > limit {
			return true
		}
	}
	return false
}
