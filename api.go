package caperlatch

import (
	"context"

	"caperlatch/internal/api"
	"caperlatch/internal/explain"
	"caperlatch/internal/membership"
	"caperlatch/internal/peer"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// Node implements api.Node by delegating each method to the component that owns the data.
var _ api.Node = (*Node)(nil)

// IsReady reports whether this node can serve requests.
func (n *Node) IsReady() bool { return n.connectivity.isReady() }

// Versions returns the versions of all nodes as known to this node.
func (n *Node) Versions() peer.Versions { return n.peers.Versions(n.settings.Member) }

// LocalLeader returns this node's leader, or nil while this node does not lead.
func (n *Node) LocalLeader() api.Leader {
	if localLeader := n.leadership.localLeader(); localLeader != nil {
		return localLeader
	}
	return nil // not an interface that holds a nil pointer
}

// LeaderMember returns the member that leads as known to this node, or "" if none is known.
func (n *Node) LeaderMember() string { return n.leader.member() }

// TaskCounts returns how many tasks of a job are done and how many run, as known to this node.
func (n *Node) TaskCounts(id string) (done, running int) { return n.jobs.countTasks(id) }

// Explain returns the leader's explanation of a job.
func (n *Node) Explain(ctx context.Context, id string) (explain.Explanation, error) {
	return n.jobs.explain(ctx, id)
}

// CanForward reports whether the leader responds to this node.
func (n *Node) CanForward() bool { return n.forwarding.canForward() }

// ForwardHeartbeat forwards an encoded heartbeat to the leader and returns the encoded response.
func (n *Node) ForwardHeartbeat(ctx context.Context, heartbeat wire.RawMessage) (wire.RawMessage, error) {
	return n.forwarding.forward(ctx, heartbeat)
}

// ForwarderFor returns the member to which a machine's worker must send its heartbeats while this node leads, or "" if
// the worker must send them to this node.
func (n *Node) ForwarderFor(machine string) string { return n.forwarding.forwarderFor(machine) }

// AwaitHandover waits, for a bounded time, until no handover of leadership is in progress.
func (n *Node) AwaitHandover(ctx context.Context) {
	if n.handover != nil {
		n.handover.await(ctx)
	}
}

// ExpectsSuccessor reports whether, if the leader does not respond, another node should lead soon.
func (n *Node) ExpectsSuccessor() bool { return n.standby != nil && n.standby.expectsSuccessor() }

// StandbyStatus returns the status of the warm standby as known to this node.
func (n *Node) StandbyStatus() (api.StandbyStatus, error) {
	if n.standby == nil {
		return api.StandbyStatus{}, api.ErrStandbyDisabled
	}
	return n.standby.status(), nil
}

// HandOver hands leadership over to the most up-to-date follower if this node leads. It returns the member that was
// named as successor, or "" if any member may lead next.
func (n *Node) HandOver() (to string, err error) {
	if n.handover == nil {
		return "", api.ErrStandbyDisabled
	}
	return n.handover.handOver()
}

// HandOverAndConfirm hands leadership over to the most up-to-date follower if this node leads. It returns that member
// once it leads.
func (n *Node) HandOverAndConfirm(ctx context.Context) (to string, err error) {
	if n.handover == nil {
		return "", api.ErrStandbyDisabled
	}
	return n.handover.handOverAndConfirm(ctx)
}

// ZoneStatus returns the status of the zones as the leader sees them.
func (n *Node) ZoneStatus(ctx context.Context) ([]zone.Status, error) { return n.zones.status(ctx) }

// MembershipStatus returns this node's view of the other members.
func (n *Node) MembershipStatus() (membership.Status, error) {
	if n.membership == nil {
		return membership.Status{}, api.ErrMembershipDisabled
	}
	return n.membership.status(), nil
}
