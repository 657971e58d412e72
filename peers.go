package caperlatch

import (
	"context"
	"fmt"
	"log/slog"

	"caperlatch/internal/explain"
	"caperlatch/internal/leader"
	"caperlatch/internal/micros"
	"caperlatch/internal/peer"
	"caperlatch/internal/wire"
)

// listenToPeers serves the other nodes. A node whose peers cannot reach it
// still works, so a failure is only told.
func (n *Node) listenToPeers(ctx context.Context) {
	l, err := n.network.ListenForPeers()
	if err != nil {
		slog.Error("peer_bind", "error", err)
		return
	}
	peer.Serve(ctx, l, n)
}

// makeProbe is what this node tells a peer when it asks it. Counts are sent once,
// as encoding them for every probe took the leader a tenth of its processor.
func (n *Node) makeProbe(told *micros.Micros) *peer.Probe {
	p := &peer.Probe{Member: n.settings.Member, CancellationsSince: n.replica.CancelledThrough()}
	highest := n.election.HighestKnownLeader()
	p.HighestToken, p.Leader = highest.FencingToken, highest.Member
	if l := n.LocalLeader(); l != nil {
		p.LeadershipInDoubt = !l.Term.HoldsSession()
		if counts, at := l.AllTaskCounts(); at != *told {
			p.TaskCounts, *told = counts, at
		}
	}
	return p
}

// handlePeerState takes over what a peer tells.
func (n *Node) handlePeerState(s *peer.NodeState) {
	n.election.ObserveToken(s.HighestToken, s.Leader)
	n.replica.AdoptCancellations(s.Cancellations, s.CancelledThrough)
	if l := n.LocalLeader(); l != nil {
		l.Supersede(s.HighestToken)
	}
}

// HandleProbe answers a peer. Once it has told a token, this node answers no worker
// with a lower one. A node that hears from the state service does not abstain:
// it would see the leader's session end.
func (n *Node) HandleProbe(p *peer.Probe) *peer.NodeState {
	n.election.ObserveToken(p.HighestToken, p.Leader)
	if p.TaskCounts != nil {
		n.mu.Lock()
		n.taskCounts, n.taskCountsAt = p.TaskCounts, micros.Now()
		n.mu.Unlock()
	}
	s := &peer.NodeState{
		Version:            peer.Version,
		Loaded:             n.replica.IsLoaded(),
		SinceStateService:  n.store.SinceLastResponse(),
		ForwardsHeartbeats: n.peers.IsReachable(p.Member),
	}
	highest := n.election.HighestKnownLeader()
	s.HighestToken, s.Leader = highest.FencingToken, highest.Member
	if l := n.LocalLeader(); l != nil {
		l.Supersede(s.HighestToken)
	}
	if p.LeadershipInDoubt && n.store.IsUnreachable() && n.election.Abstain(peer.AbstentionTTL) {
		s.AbstainFor = peer.AbstentionTTL
	}
	cancelled := n.replica.CancelledSince(p.CancellationsSince)
	s.Cancellations, s.CancelledThrough, s.CancellationsComplete = cancelled.List, cancelled.KnownThrough, cancelled.Complete
	return s
}

// HandleForwardedHeartbeat answers a report that a peer passes on.
func (n *Node) HandleForwardedHeartbeat(report wire.Raw) (wire.Raw, error) {
	l := n.LocalLeader()
	if l == nil {
		return nil, leader.ErrCannotRespond
	}
	var r wire.Heartbeat
	if err := wire.Unmarshal(report, &r); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	answer, err := l.HandleHeartbeat(&r)
	if err != nil {
		return nil, err
	}
	return wire.Marshal(answer)
}

// HandleExplain tells a peer what the leader here knows of a job.
func (n *Node) HandleExplain(job string) (explain.Explanation, error) {
	l := n.LocalLeader()
	if l == nil {
		return explain.Explanation{}, errNotLeading
	}
	e, _ := l.Explain(job)
	return e, nil
}
