package caperlatch

import (
	"context"

	"caperlatch/internal/api"
	"caperlatch/internal/peer"
	"caperlatch/internal/zone"
)

// newZonePolicy is the policy on zones of a new term.
func (n *Node) newZonePolicy() zone.Policy {
	if n.features.Zones == nil {
		return zone.NewThresholdPolicy()
	}
	return zone.NewLifecyclePolicy(*n.features.Zones)
}

// isIsolated tells whether this node hears neither the state service nor most of its peers. What
// it sees of zones then says more of itself.
func (n *Node) isIsolated() bool {
	if n.store.SinceLastResponse() < peer.FreshWithin {
		return false
	}
	reachable := 0
	for _, p := range n.settings.Peers {
		if n.peers.IsReachable(p.Member) {
			reachable++
		}
	}
	return 2*reachable < len(n.settings.Peers)
}

// ZoneStatus tells what the leader thinks of the zones.
func (n *Node) ZoneStatus(ctx context.Context) ([]zone.Status, error) {
	if n.LocalLeader() != nil {
		return n.HandleZones()
	}
	answer, err := n.askLeader(ctx, peer.Request{WantZones: true})
	switch {
	case err != nil:
		return nil, err
	case answer.ZoneStatus == nil:
		return nil, api.ErrZonesOff // also by a version before this one, which says nothing
	}
	return answer.ZoneStatus, nil
}

// HandleZones tells a peer what the leader here thinks of the zones.
func (n *Node) HandleZones() ([]zone.Status, error) {
	l := n.LocalLeader()
	if l == nil {
		return nil, errNotLeading
	}
	all := l.ZoneStatus()
	if all == nil {
		return nil, api.ErrZonesOff
	}
	return all, nil
}
