package caperlatch

import (
	"context"
	"log/slog"
	"net"

	"caperlatch/internal/election"
	"caperlatch/internal/explain"
	"caperlatch/internal/membership"
	"caperlatch/internal/micros"
	"caperlatch/internal/peer"
	"caperlatch/internal/replica"
	"caperlatch/internal/standby"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// peerHandler answers the requests of peers, and creates the probes that this node sends to peers.
type peerHandler struct {
	member     string // this node
	store      *statestore.Client
	replica    *replica.Replica
	election   *election.Election
	peers      *peer.Peers
	leadership *localLeadership
	jobs       *jobView
	zones      zoneView
	standby    *standbyAgent    // nil if disabled
	membership *membershipAgent // nil if disabled
}

var _ peer.Handler = (*peerHandler)(nil)

// serve answers requests of peers until ctx ends. It only logs a failure to listen, because a node still works if its
// peers cannot reach it.
func (h *peerHandler) serve(ctx context.Context, listen func() (net.Listener, error)) {
	l, err := listen()
	if err != nil {
		slog.Error("listening for peers failed; peers cannot reach this node", "setting", "peer_bind", "error", err)
		return
	}
	peer.Serve(ctx, l, h)
}

// makeProbe returns the next probe to a peer. sentCountsAsOf is the time at which the task counts last sent to this peer
// were determined; makeProbe updates it. It does not send the same counts again, because encoding them for every probe
// used 10% of the leader's CPU.
func (h *peerHandler) makeProbe(sentCountsAsOf *micros.Micros) *peer.Probe {
	p := &peer.Probe{Member: h.member, CancellationsSince: h.replica.CancelledThrough()}
	highest := h.election.HighestKnownLeader()
	p.HighestToken, p.Leader = highest.FencingToken, highest.Member
	if localLeader := h.leadership.localLeader(); localLeader != nil {
		p.LeadershipInDoubt = !localLeader.Term.HoldsSession() && !localLeader.IsHandingOver()
		if counts, at := localLeader.AllTaskCounts(); at != *sentCountsAsOf {
			p.TaskCounts, *sentCountsAsOf = peer.TaskCounts(counts), at
		}
	}
	return p
}

// handlePeerState applies a peer's response to a probe.
func (h *peerHandler) handlePeerState(s *peer.NodeState) {
	h.election.ObserveToken(s.HighestToken, s.Leader)
	h.replica.AdoptCancellations(s.Cancellations, s.CancelledThrough)
	if localLeader := h.leadership.localLeader(); localLeader != nil {
		localLeader.Supersede(s.HighestToken)
	}
}

// HandleProbe answers a peer's probe. Once this node has reported a fencing token, it answers no worker with a lower one.
// A node that can reach the state service does not abstain from campaigning, because it would see the end of the
// leader's session.
func (h *peerHandler) HandleProbe(p *peer.Probe) *peer.NodeState {
	h.election.ObserveToken(p.HighestToken, p.Leader)
	if p.TaskCounts != nil {
		h.jobs.setTaskCounts(p.TaskCounts)
	}
	s := &peer.NodeState{
		Version:            peer.Version,
		Loaded:             h.replica.IsLoaded(),
		SinceStateService:  h.store.SinceLastResponse(),
		ForwardsHeartbeats: h.peers.IsReachable(p.Member),
	}
	highest := h.election.HighestKnownLeader()
	s.HighestToken, s.Leader = highest.FencingToken, highest.Member
	if localLeader := h.leadership.localLeader(); localLeader != nil {
		localLeader.Supersede(s.HighestToken)
	}
	if p.LeadershipInDoubt && h.store.IsUnreachable() && h.election.Abstain(peer.AbstentionTTL) {
		s.AbstainFor = peer.AbstentionTTL
	}
	cancelled := h.replica.CancelledSince(p.CancellationsSince)
	s.Cancellations, s.CancelledThrough, s.CancellationsComplete = cancelled.List, cancelled.KnownThrough, cancelled.Complete
	return s
}

// HandleForwardedHeartbeat returns the response of this node's leader to a worker's heartbeat.
func (h *peerHandler) HandleForwardedHeartbeat(heartbeat wire.RawMessage) (wire.RawMessage, error) {
	return h.leadership.respondToEncodedHeartbeat(heartbeat)
}

// HandleExplain returns the explanation of a job by this node's leader.
func (h *peerHandler) HandleExplain(job string) (explain.Explanation, error) {
	return h.jobs.explainAsLeader(job)
}

// HandleZones returns the status of the zones as this node's leader sees them.
func (h *peerHandler) HandleZones() ([]zone.Status, error) { return h.zones.statusAsLeader() }

// HandleStandbyQuery returns the decisions of this node's leader to a follower, or nil if this node does not lead or has
// no standby.
func (h *peerHandler) HandleStandbyQuery(q *standby.Query) *standby.Page {
	if h.standby == nil {
		return nil
	}
	return h.standby.respondToQuery(q)
}

// HandleMembershipHeartbeat applies a peer's heartbeat and returns this node's, or nil if membership is disabled.
func (h *peerHandler) HandleMembershipHeartbeat(heartbeat *membership.Heartbeat) *membership.Heartbeat {
	if h.membership == nil {
		return nil
	}
	return h.membership.respond(heartbeat)
}
