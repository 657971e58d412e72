package leader

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/leader/zoning"
	"caperlatch/internal/micros"
	"caperlatch/internal/zone"
)

// newZones returns the zone state for this term. The autoscaler and the liveness monitor are created later, so they are
// called through functions.
func (l *Leader) newZones() *zoning.Zones {
	return zoning.New(zoning.Config{
		Policy:            l.ZonePolicy,
		Fleet:             l.fleet,
		Replica:           l.Replica,
		Writes:            l.writes,
		Events:            l.events,
		ValueFits:         l.Store.ValueAlwaysFits,
		TermStartedAt:     l.startedAt,
		HeartbeatInterval: l.heartbeatInterval,
		LeaseExpiry:       func(m *state.Machine) micros.Micros { return l.liveness.LeaseExpiry(m) },
		Offerings:         func(j *state.Job) []state.Offering { return l.scaler.OfferingsFor(j) },
		IsIsolated:        l.IsIsolated,
		OnChange:          func() { l.scheduler.RequestPlan() },
	})
}

// ZoneStatus returns the status of all zones for operators. It is nil if the policy describes none.
func (l *Leader) ZoneStatus() []zone.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.zones.Status(micros.Now())
}
