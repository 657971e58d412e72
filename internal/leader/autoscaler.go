package leader

import (
	"log/slog"

	"caperlatch/internal/leader/autoscaler"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// newScaler makes the autoscaler of this term.
func (l *Leader) newScaler() *autoscaler.Scaler {
	return autoscaler.New(autoscaler.Config{
		Tuning:               l.Tuning,
		Term:                 l.Term,
		Fleet:                l.fleet,
		Workload:             l.workload,
		Jobs:                 l.jobs,
		HeartbeatInterval:    l.heartbeatInterval,
		TeamUse:              l.worstCaseTeamUse,
		AwaitsReconciliation: l.awaitsReconciliation,
		ReplacedMachines:     l.zones.ReplacedMachines,
		ZonePolicy:           l.zones.Policy,
		LaunchAllowance:      l.zones.LaunchAllowance,
		OnChange:             func() { l.scheduler.RequestPlan() },
	})
}

// setInstanceTypes takes over the instance types that the cloud offers. It takes the lock.
func (l *Leader) setInstanceTypes(list wire.InstanceTypeList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scaler.SetInstanceTypes(list)
}

// autoscale scales out and in, and once in each RecordInterval has stored what a next leader goes on from.
func (l *Leader) autoscale(now micros.Micros) {
	if !l.ready {
		return
	}
	l.scaler.Step(now)
	l.scheduler.Consolidate(now)
	if interval := int64(l.Tuning.RecordInterval / micros.Second); interval < 1 || int64(now/micros.Second)%interval == 0 {
		l.writes.Enqueue(replica.AutoscalerKey)
		l.publishEstimates()
		l.deleteLeftovers()
		l.writes.Wake()
	}
}

// autoscalerRecord is what is stored for a next leader.
func (l *Leader) autoscalerRecord(now micros.Micros) autoscaler.Record {
	r := l.scaler.Record(now)
	r.Quarantined = l.quarantine.Snapshot()
	if !l.Store.ValueAlwaysFits(r) {
		r.Quarantined = nil // a next leader will find them again
	}
	return r
}

// restoreAutoscaler goes on from what an earlier leader stored.
func (l *Leader) restoreAutoscaler(now micros.Micros) error {
	var r autoscaler.Record
	if _, err := l.Replica.Get(replica.AutoscalerKey, &r); err != nil {
		return err
	}
	l.quarantine.Restore(r.Quarantined, now)
	l.scaler.Restore(r, now)
	slog.Info("staffing model restored", "instance_types", len(r.Types), "quarantined_jobs", len(r.Quarantined))
	return nil
}
