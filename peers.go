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

// peerHandler answers peers, and makes the probes that this node sends them.
type peerHandler struct {
	member     string // this node
	store      *statestore.Client
	replica    *replica.Replica
	election   *election.Election
	peers      *peer.Peers
	leadership *localLeadership
	jobs       *jobView
	zones      zoneView
	standby    *standbyAgent    // nil: off
	membership *membershipAgent // nil: off
}

var _ peer.Handler = (*peerHandler)(nil)

// serve answers the other nodes until ctx ends. A node whose peers cannot reach it still works,
// so a failure to listen is only logged.
func (h *peerHandler) serve(ctx context.Context, listen func() (net.Listener, error)) {
	l, err := listen()
	if err != nil {
		slog.Error("listening for peers failed", "setting", "peer_bind", "error", err)
		return
	}
	peer.Serve(ctx, l, h)
}

// makeProbe returns the next probe to a peer; sentCountsAt is when the counts were made that it
// was sent last. Counts are sent once, as encoding them for every probe took the leader a tenth
// of its processor.
func (h *peerHandler) makeProbe(sentCountsAt *micros.Micros) *peer.Probe {
	p := &peer.Probe{Member: h.member, CancellationsSince: h.replica.CancelledThrough()}
	highest := h.election.HighestKnownLeader()
	p.HighestToken, p.Leader = highest.FencingToken, highest.Member
	if local := h.leadership.local(); local != nil {
		p.LeadershipInDoubt = !local.Term.HoldsSession() && !local.IsHandingOver()
		if counts, at := local.AllTaskCounts(); at != *sentCountsAt {
			p.TaskCounts, *sentCountsAt = peer.TaskCounts(counts), at
		}
	}
	return p
}

// handlePeerState applies what a peer answered to a probe.
func (h *peerHandler) handlePeerState(s *peer.NodeState) {
	h.election.ObserveToken(s.HighestToken, s.Leader)
	h.replica.AdoptCancellations(s.Cancellations, s.CancelledThrough)
	if local := h.leadership.local(); local != nil {
		local.Supersede(s.HighestToken)
	}
}

// HandleProbe answers a peer's probe. Once this node has sent a fencing token, it answers no
// worker with a lower one. A node that the state service answers does not abstain: it would see
// the leader's session end.
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
	if local := h.leadership.local(); local != nil {
		local.Supersede(s.HighestToken)
	}
	if p.LeadershipInDoubt && h.store.IsUnreachable() && h.election.Abstain(peer.AbstentionTTL) {
		s.AbstainFor = peer.AbstentionTTL
	}
	cancelled := h.replica.CancelledSince(p.CancellationsSince)
	s.Cancellations, s.CancelledThrough, s.CancellationsComplete = cancelled.List, cancelled.KnownThrough, cancelled.Complete
	return s
}

// HandleForwardedHeartbeat has this node's leader answer a worker's heartbeat.
func (h *peerHandler) HandleForwardedHeartbeat(heartbeat wire.RawMessage) (wire.RawMessage, error) {
	return h.leadership.respondToEncoded(heartbeat)
}

// HandleExplain answers what this node's leader knows of a job.
func (h *peerHandler) HandleExplain(job string) (explain.Explanation, error) {
	return h.jobs.explainAsLeader(job)
}

// HandleZones answers with the view that this node's leader has of the zones.
func (h *peerHandler) HandleZones() ([]zone.Status, error) { return h.zones.statusAsLeader() }

// HandleStandbyQuery answers a follower with what this node's leader has decided.
func (h *peerHandler) HandleStandbyQuery(q *standby.Query) *standby.Page {
	if h.standby == nil {
		return nil
	}
	return h.standby.respondToQuery(q)
}

// HandleMembershipHeartbeat applies a peer's heartbeat and answers with this node's.
func (h *peerHandler) HandleMembershipHeartbeat(heartbeat *membership.Heartbeat) *membership.Heartbeat {
	if h.membership == nil {
		return nil
	}
	return h.membership.respond(heartbeat)
}
