package leader

import (
	"slices"

	"caperlatch/internal/leader/liveness"
	"caperlatch/internal/leader/quarantine"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
)

// newMonitor makes what judges the machines of this term.
func (l *Leader) newMonitor() *liveness.Monitor {
	workers := l.Settings.Params.Workers
	return liveness.New(liveness.Config{
		TermStartedAt:           l.startedAt,
		HeartbeatInterval:       l.heartbeatInterval,
		LeaseDuration:           l.leaseDuration,
		LeaseRenewalWindow:      workers.LeaseRenewalWindow(),
		CancellationTimeout:     workers.CancellationTimeout(),
		EarlierTermsFencedSince: l.Term.EarlierTermsFencedSince,
		RetainsSilentMachines:   func(zone string) bool { return l.zones.Policy.Decide(zone).KeepSilent },
		Fleet:                   l.fleet,
		Queries:                 l.taskQueries,
	})
}

// superviseMachines acts on silence, interruption notices and stops that take too long.
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

// checkLease releases the tasks of a machine whose lease has expired, and reports whether it has.
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

// faultyDrainHeartbeats is for how many heartbeat intervals the tasks of a machine at fault may run on.
const faultyDrainHeartbeats = 3

// terminationReason is why a machine should be terminated, empty if it should not.
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
		// What still runs there had time to save a checkpoint and would fail as well. A next leader
		// would have to find the fault anew.
		return m.DrainReason
	}
	return ""
}
