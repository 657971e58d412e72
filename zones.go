package caperlatch

import (
	"context"

	"caperlatch/internal/api"
	"caperlatch/internal/peer"
	"caperlatch/internal/zone"
)

// newZonePolicy returns the policy on zones of a new term; without a configuration it is the
// default one.
func newZonePolicy(config *zone.Config) zone.Policy {
	if config == nil {
		return zone.NewThresholdPolicy()
	}
	return zone.NewLifecyclePolicy(*config)
}

// zoneView is what a node shows of zones: the view of the leader, here or elsewhere.
type zoneView struct {
	leadership *localLeadership
	leader     leaderClient
}

// status returns the leader's view of the zones, whichever node leads. The error is
// api.ErrZonesOff if there is none.
func (v zoneView) status(ctx context.Context) ([]zone.Status, error) {
	if v.leadership.local() != nil {
		return v.statusAsLeader()
	}
	response, err := v.leader.ask(ctx, peer.Request{WantZones: true})
	switch {
	case err != nil:
		return nil, err
	case response.ZoneStatus == nil:
		return nil, api.ErrZonePolicyDisabled // also by an earlier version, which does not know the question
	}
	return response.ZoneStatus, nil
}

// statusAsLeader returns the view of this node's leader. The error is ErrNotLeading without a
// leader here.
func (v zoneView) statusAsLeader() ([]zone.Status, error) {
	local := v.leadership.local()
	if local == nil {
		return nil, ErrNotLeading
	}
	zones := local.ZoneStatus()
	if zones == nil {
		return nil, api.ErrZonePolicyDisabled
	}
	return zones, nil
}
