package caperlatch

import (
	"context"

	"caperlatch/internal/api"
	"caperlatch/internal/peer"
	"caperlatch/internal/zone"
)

// newZonePolicy returns the zone policy of a new term: the lifecycle policy, or the threshold policy if config is nil.
func newZonePolicy(config *zone.Config) zone.Policy {
	if config == nil {
		return zone.NewThresholdPolicy()
	}
	return zone.NewLifecyclePolicy(*config)
}

// zoneView provides the leader's view of the zones, whichever node leads.
type zoneView struct {
	leadership *localLeadership
	leader     leaderClient
}

// status returns the status of the zones as the leader sees them, whichever node leads. It fails with
// api.ErrZonePolicyDisabled if the leader has no status of zones.
func (v zoneView) status(ctx context.Context) ([]zone.Status, error) {
	if v.leadership.localLeader() != nil {
		return v.statusAsLeader()
	}
	response, err := v.leader.call(ctx, peer.Request{WantZones: true})
	switch {
	case err != nil:
		return nil, err
	case response.ZoneStatus == nil:
		return nil, api.ErrZonePolicyDisabled // a leader of an earlier version ignores the request, which has the same effect
	}
	return response.ZoneStatus, nil
}

// statusAsLeader returns the status of the zones as this node's leader sees them. It fails with ErrNotLeading while this
// node does not lead, and with api.ErrZonePolicyDisabled if the leader has no status of zones.
func (v zoneView) statusAsLeader() ([]zone.Status, error) {
	localLeader := v.leadership.localLeader()
	if localLeader == nil {
		return nil, ErrNotLeading
	}
	zones := localLeader.ZoneStatus()
	if zones == nil {
		return nil, api.ErrZonePolicyDisabled
	}
	return zones, nil
}
