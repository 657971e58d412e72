package caperlatch

import (
	"context"
	"fmt"
	"log/slog"

	"caperlatch/internal/leader"
	"caperlatch/internal/micros"
	"caperlatch/internal/peer"
	"caperlatch/internal/wire"
)

// listenToPeers serves the other nodes. A node whose peers cannot reach it
// still works, so a failure is only told.
func (n *Node) listenToPeers(ctx context.Context) {
	l, err := n.outside.listen()
	if err != nil {
		slog.Error("peer_bind", "error", err)
		return
	}
	peer.Serve(ctx, l, n)
}

// probe is what this node tells a peer when it asks it. Counts are sent once,
// as encoding them for every probe took the leader a tenth of its processor.
func (n *Node) probe(told *micros.Micros) *peer.Probe {
	p := &peer.Probe{Member: n.settings.Member, Since: n.replica.CancelledThrough()}
	highest := n.election.Highest()
	p.Token, p.Leader = highest.Token, highest.Member
	if l := n.Leading(); l != nil {
		p.Doubt = !l.Term.Held()
		if counts, at := l.AllCounts(); at != *told {
			p.Counts, *told = counts, at
		}
	}
	return p
}

// heard takes over what a peer tells.
func (n *Node) heard(s *peer.State) {
	n.election.Told(s.Token, s.Leader)
	n.replica.Adopt(s.Cancelled, s.Through)
	if l := n.Leading(); l != nil {
		l.Supersede(s.Token)
	}
}

// Probed answers a peer. Once it has told a token, this node answers no worker
// with a lower one. A node that hears from the state service does not abstain:
// it would see the leader's session end.
func (n *Node) Probed(p *peer.Probe) *peer.State {
	n.election.Told(p.Token, p.Leader)
	if p.Counts != nil {
		n.mu.Lock()
		n.counts, n.countsAt = p.Counts, micros.Now()
		n.mu.Unlock()
	}
	s := &peer.State{
		Version:    peer.Version,
		Loaded:     n.replica.Loaded(),
		SinceHeard: n.store.SinceHeard(),
		Fronts:     n.peers.Reachable(p.Member),
	}
	highest := n.election.Highest()
	s.Token, s.Leader = highest.Token, highest.Member
	if l := n.Leading(); l != nil {
		l.Supersede(s.Token)
	}
	if p.Doubt && n.store.Unreachable() && n.election.Abstain(peer.PromiseLife) {
		s.Promise = peer.PromiseLife
	}
	cancelled := n.replica.CancelledSince(p.Since)
	s.Cancelled, s.Through, s.Whole = cancelled.List, cancelled.Through, cancelled.Whole
	return s
}

// Relayed answers a report that a peer passes on.
func (n *Node) Relayed(report wire.Raw) (wire.Raw, error) {
	l := n.Leading()
	if l == nil {
		return nil, leader.ErrNotEntitled
	}
	var r wire.Heartbeat
	if err := wire.Unmarshal(report, &r); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	answer, err := l.Report(&r)
	if err != nil {
		return nil, err
	}
	return wire.Marshal(answer)
}

// Explained tells a peer what the leader here knows of a job.
func (n *Node) Explained(job string) (leader.Explanation, error) {
	l := n.Leading()
	if l == nil {
		return leader.Explanation{}, errNotLeading
	}
	e, _ := l.Explain(job)
	return e, nil
}
