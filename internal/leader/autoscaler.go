package leader

import (
	"log/slog"

	"caperlatch/internal/leader/autoscaler"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// newAutoscaler returns the autoscaler for this term.
func (l *Leader) newAutoscaler() *autoscaler.Scaler {
	return autoscaler.New(autoscaler.Config{
		Tuning:               l.Tuning,
		Term:                 l.Term,
		Fleet:                l.fleet,
		Workload:             l.workload,
		Jobs:                 l.jobs,
		HeartbeatInterval:    l.heartbeatInterval,
		TermStartedAt:        l.startedAtWall,
		TeamUsage:            l.worstCaseTeamUsage,
		AwaitsReconciliation: l.awaitsReconciliation,
		ReplacedMachines:     l.zones.ReplacedMachines,
		ZonePolicy:           l.zones.Policy,
		LaunchAllowance:      l.zones.LaunchAllowance,
		OnChange:             func() { l.scheduler.RequestPlan() },
	})
}

// setInstanceTypes passes the instance types that the cloud offers to the autoscaler. It acquires l.mu.
func (l *Leader) setInstanceTypes(list wire.InstanceTypeList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scaler.SetInstanceTypes(list)
}

// autoscale scales the fleet out and in, and consolidates tasks on fewer machines. Once every RecordInterval it also
// publishes the run time estimates, and queues writes to the state service: the autoscaler's state, from which the next
// leader continues, and the deletion of orphaned keys.
func (l *Leader) autoscale(now micros.Micros) {
	if !l.ready {
		return
	}
	l.scaler.Step(now)
	l.scheduler.Consolidate(now)
	if interval := int64(l.Tuning.RecordInterval / micros.Second); interval < 1 || int64(now/micros.Second)%interval == 0 {
		l.writes.Enqueue(replica.AutoscalerKey)
		l.publishEstimates()
		l.deleteOrphanedKeys()
		l.writes.Wake()
	}
}

// autoscalerRecord returns the state that is stored for the next leader: that of the autoscaler, and the quarantined
// jobs if they fit into a value.
func (l *Leader) autoscalerRecord(now micros.Micros) autoscaler.Record {
	r := l.scaler.Record(now)
	r.Quarantined = l.quarantine.Snapshot()
	if !l.Store.ValueAlwaysFits(r) {
		r.Quarantined = nil // the next leader must detect these jobs again
	}
	return r
}

// restoreAutoscaler restores the autoscaler and the quarantine from the state that an earlier leader stored.
func (l *Leader) restoreAutoscaler(now micros.Micros) error {
	var r autoscaler.Record
	if _, err := l.Replica.Get(replica.AutoscalerKey, &r); err != nil {
		return err
	}
	l.quarantine.Restore(r.Quarantined, now)
	l.scaler.Restore(r, now)
	slog.Info("autoscaler state restored", "instance_types", len(r.Types), "quarantined_jobs", len(r.Quarantined))
	return nil
}
