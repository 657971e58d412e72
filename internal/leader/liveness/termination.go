package liveness

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
)

// Limits of how long a machine may be silent before it is terminated; see silenceLimit.
const (
	// UnresponsiveLimit is the silence limit of a machine with unknown tasks that did not respond to minFailedQueries queries
	// for its tasks, while most machines of its zone respond.
	UnresponsiveLimit = 4 * micros.Second
	// minFailedQueries is the number of failed queries after which a machine is unresponsive.
	minFailedQueries = 2
	// heartbeatMargin is added to the heartbeat timeout to get the silence limit of a machine with unknown tasks.
	heartbeatMargin = micros.Second
	// nodeFailoverTime is added to the silence limit because the worker may first have called another node that does not
	// respond: a timeout of 4 s and a pause of 1 s.
	nodeFailoverTime = 5 * micros.Second
	// UnresponsiveLimit applies while the tasks of at most one machine in unresponsiveLimitDivisor are unknown.
	unresponsiveLimitDivisor = 10
	// nodeFailoverTime is not added while the tasks of at most one machine in noFailoverTimeDivisor are unknown, nor
	// for an unresponsive machine while most machines of all zones respond.
	noFailoverTimeDivisor = 50

	allowedMissedHeartbeats = 3                  // heartbeats that a machine with known tasks may miss
	silenceMargin           = 4 * micros.Second  // added to allowedMissedHeartbeats heartbeat intervals
	maxSilence              = 20 * micros.Second // for a machine with known tasks, unless allowedMissedHeartbeats take longer
	// minMissedLists is the number of consecutive lists from the cloud that must lack a machine for it to count as
	// reclaimed.
	minMissedLists = 2
)

// silenceLimit returns how long a machine may be silent before it is terminated. Termination proves that its tasks have
// ended, and stops its cost.
func (mon *Monitor) silenceLimit(m *state.Machine) micros.Micros {
	if m.TasksKnown() {
		return max(allowedMissedHeartbeats*mon.HeartbeatInterval+silenceMargin, min(mon.LeaseDuration, maxSilence))
	}
	// Jobs of earlier terms wait for machines whose tasks are unknown, so terminating one or two live machines is the
	// smaller loss. A live worker sends a heartbeat within five quarters of the usual interval, but it may first have
	// called another node that does not respond.
	lateLimit := state.HeartbeatTimeout(mon.HeartbeatInterval) + heartbeatMargin
	unresponsive := m.Reconciliation.FailedQueries >= minFailedQueries
	fleetSize := len(mon.Fleet.Sorted)
	if unresponsive && mon.Queries.MostOfZoneRespond(m.Offering.Zone) && unresponsiveLimitDivisor*mon.unknownCount <= fleetSize {
		return min(lateLimit, UnresponsiveLimit)
	}
	if noFailoverTimeDivisor*mon.unknownCount <= fleetSize || unresponsive && mon.Queries.MostRespond() {
		return lateLimit
	}
	return lateLimit + nodeFailoverTime
}

// seemsReclaimed reports whether the cloud has probably reclaimed a machine without an interruption notice: its
// heartbeat is late, and the cloud's list no longer contains it. This does not prove that its tasks have ended, because
// lists lag behind, but it justifies terminating the machine now, which does prove it.
func (mon *Monitor) seemsReclaimed(m *state.Machine, now micros.Micros) bool {
	return m.Instance.SeenInCloudList && m.Instance.MissedCloudLists >= minMissedLists && mon.IsHeartbeatLate(m, now)
}

// TerminationReason returns why a machine should be terminated: because it is silent, seems to be reclaimed, receives
// no responses or does not boot. It returns an empty string if the machine should not be terminated. When many
// machines of a zone are silent at once, a network fault is more likely than faults of the machines. So while
// RetainsSilentMachines is true for the zone, a silent machine is kept until its lease has expired and for another
// lease duration after that, and a machine that receives no responses is kept until its lease has expired. A machine
// that seems to be reclaimed is not kept. TerminationReason also records a stuck boot with the fleet.
func (mon *Monitor) TerminationReason(m *state.Machine, leaseExpired bool, now micros.Micros) string {
	retained := func() bool { return mon.RetainsSilentMachines(m.Offering.Zone) }
	i := &m.Instance
	switch {
	case i.Running && mon.Silence(m, now) > mon.silenceLimit(m) && (!retained() || m.Lease.ExpiredSince != 0 && now-m.Lease.ExpiredSince > mon.LeaseDuration):
		return "silent"
	case i.Running && mon.seemsReclaimed(m, now):
		return "silent and no longer listed"
	case m.LosesResponses() && now-m.Delivery.FirstLostAt > mon.silenceLimit(m) && (!retained() || leaseExpired):
		return "it hears nothing"
	case mon.isStuckInBoot(m, now):
		mon.Fleet.RecordStuckBoot()
		return "did not boot"
	}
	return ""
}

// isStuckInBoot reports whether a machine has not booted in time. A new leader first waits two heartbeat intervals for
// the machine's heartbeat.
func (mon *Monitor) isStuckInBoot(m *state.Machine, now micros.Micros) bool {
	i := &m.Instance
	return !i.Running && i.FirstHeartbeatAt == 0 && now-i.LaunchedAt > mon.Fleet.BootTimeout(m) && now-mon.TermStartedAt > 2*mon.HeartbeatInterval
}

// IgnoresStop reports whether a machine has not stopped a task of an ended job in time. The time limit is well below
// CancellationTimeout, so that the machine can be terminated before the time by which the task must have ended.
func (mon *Monitor) IgnoresStop(m *state.Machine, now micros.Micros) bool {
	if m.StoppingCount == 0 {
		return false
	}
	limit := (mon.CancellationTimeout - mon.LeaseDuration) / 2
	for _, a := range m.Attempts {
		if a.StopRequestedAt != 0 && a.Job.Ended && now-a.StopRequestedAt > limit {
			return true
		}
	}
	return false
}
