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

// The API asks a Node, which has the part answer that owns what is asked for.
var _ api.Node = (*Node)(nil)

// IsReady reports whether this node can take requests.
func (n *Node) IsReady() bool { return n.contact.isReady() }

// Versions returns the versions that the nodes speak, as far as this one knows.
func (n *Node) Versions() peer.Versions { return n.peers.Versions(n.settings.Member) }

// LocalLeader returns this node's leader if it leads, else nil.
func (n *Node) LocalLeader() api.Leader {
	if local := n.leadership.local(); local != nil {
		return local
	}
	return nil // not an interface that holds a nil pointer
}

// LeaderMember returns the member that leads as known here; empty: none is known.
func (n *Node) LeaderMember() string { return n.leader.member() }

// TaskCounts returns how many tasks of a job are done and how many run, as well as it is known
// here.
func (n *Node) TaskCounts(id string) (done, running int) { return n.jobs.countTasks(id) }

// Explain asks the leader about a job.
func (n *Node) Explain(ctx context.Context, id string) (explain.Explanation, error) {
	return n.jobs.explain(ctx, id)
}

// CanForward reports whether the leader answers this node.
func (n *Node) CanForward() bool { return n.forwarding.canForward() }

// ForwardHeartbeat has the leader answer an encoded heartbeat.
func (n *Node) ForwardHeartbeat(ctx context.Context, heartbeat wire.RawMessage) (wire.RawMessage, error) {
	return n.forwarding.forward(ctx, heartbeat)
}

// ForwarderFor returns the member that is to take a machine's heartbeats for this node, which
// leads; empty: this node itself.
func (n *Node) ForwarderFor(machine string) string { return n.forwarding.forwarderFor(machine) }

// AwaitHandover waits while leadership is being handed over, for a bounded time.
func (n *Node) AwaitHandover(ctx context.Context) {
	if n.handover != nil {
		n.handover.await(ctx)
	}
}

// ExpectsSuccessor reports whether a leader that does not answer now should have a successor
// soon.
func (n *Node) ExpectsSuccessor() bool { return n.standby != nil && n.standby.expectsSuccessor() }

// StandbyStatus returns how far the warm standby is, as this node knows it.
func (n *Node) StandbyStatus() (api.StandbyStatus, error) {
	if n.standby == nil {
		return api.StandbyStatus{}, api.ErrStandbyDisabled
	}
	return n.standby.status(), nil
}

// HandOver has this node, if it leads, hand over to the follower that is furthest, and returns
// the member that was named; empty: any.
func (n *Node) HandOver() (to string, err error) {
	if n.handover == nil {
		return "", api.ErrStandbyDisabled
	}
	return n.handover.handOver()
}

// HandOverAndConfirm has this node, if it leads, hand over to the follower that is furthest, and returns
// that member once it leads.
func (n *Node) HandOverAndConfirm(ctx context.Context) (to string, err error) {
	if n.handover == nil {
		return "", api.ErrStandbyDisabled
	}
	return n.handover.handOverAndConfirm(ctx)
}

// ZoneStatus returns the leader's view of the zones.
func (n *Node) ZoneStatus(ctx context.Context) ([]zone.Status, error) { return n.zones.status(ctx) }

// MembershipStatus returns this node's view of the others.
func (n *Node) MembershipStatus() (membership.Status, error) {
	if n.membership == nil {
		return membership.Status{}, api.ErrMembershipDisabled
	}
	return n.membership.status(), nil
}
