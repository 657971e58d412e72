package leader

import (
	"slices"

	"caperlatch/internal/leader/liveness"
	"caperlatch/internal/leader/quarantine"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
)

// newLivenessMonitor returns the liveness monitor for this term's machines.
func (l *Leader) newLivenessMonitor() *liveness.Monitor {
	workers := l.Settings.Params.Workers
	return liveness.New(liveness.Config{
		TermStartedAt:           l.startedAt,
		HeartbeatInterval:       l.heartbeatInterval,
		LeaseDuration:           l.leaseDuration,
		LeaseRenewalWindow:      workers.LeaseRenewalWindow(),
		CancellationTimeout:     workers.CancellationTimeout(),
		EarlierTermsFencedSince: l.Term.EarlierTermsFencedSince,
		RetainsSilentMachines:   func(zone string) bool { return l.zones.Policy.Decide(zone).RetainSilentMachines },
		Fleet:                   l.fleet,
		Queries:                 l.taskQueries,
	})
}

// superviseMachines updates the state of zones and boots, releases the tasks of machines whose leases have expired, and
// terminates machines that are silent, receive no responses, do not boot, are drained, or do not stop the tasks of an
// ended job in time.
func (l *Leader) superviseMachines(now micros.Micros) {
	l.zones.Observe(now)
	l.fleet.CheckBoots(now)
	l.liveness.CountUnknown()
	for _, m := range slices.Clone(l.fleet.Sorted) {
		leaseExpired := l.checkLease(m, now)
		if reason := l.terminationReason(m, leaseExpired, now); reason != "" {
			l.fleet.Terminate(m, reason)
		}
		if !m.Instance.Terminating && l.liveness.IgnoresStop(m, now) {
			l.fleet.Terminate(m, "a cancelled task does not stop")
		}
	}
}

// checkLease releases the tasks of a machine whose lease has expired, and reports whether the lease has expired.
func (l *Leader) checkLease(m *state.Machine, now micros.Micros) (expired bool) {
	expired = l.liveness.HasLeaseExpired(m, now)
	if expired && (len(m.Attempts) > 0 || !m.TasksKnown()) {
		if len(m.Attempts) > 0 {
			l.events.Add("lease expired, tasks lost", "", m.ID)
		} else {
			l.events.Add("lease expired", "", m.ID)
		}
		l.releaseAll(m, "its lease ended")
	}
	l.liveness.RecordLeaseExpiry(m, expired, now)
	return expired
}

// faultyDrainHeartbeats is the number of heartbeat intervals for which tasks may keep running on a quarantined machine.
const faultyDrainHeartbeats = 3

// terminationReason returns why a machine should be terminated, or an empty string if it should not.
func (l *Leader) terminationReason(m *state.Machine, leaseExpired bool, now micros.Micros) string {
	if m.Instance.Terminating {
		return ""
	}
	if reason := l.liveness.TerminationReason(m, leaseExpired, now); reason != "" {
		return reason
	}
	switch {
	case m.DrainReason != "" && len(m.Attempts) == 0 && m.TasksKnown():
		return m.DrainReason
	case m.DrainReason == quarantine.DrainReason && now-m.Quarantine.Since > faultyDrainHeartbeats*l.Settings.Params.Workers.HeartbeatInterval():
		// The tasks that still run there had time to save a checkpoint, and would fail as well. If the machine were
		// kept, the next leader would have to detect the fault again.
		return m.DrainReason
	}
	return ""
}
