package caperlatch

import (
	"context"
	"log/slog"
	"sync"

	"caperlatch/internal/api"
	"caperlatch/internal/election"
	"caperlatch/internal/micros"
	"caperlatch/internal/peer"
	"caperlatch/internal/replica"
	"caperlatch/internal/standby"
)

// Times of letting others lead first.
const (
	// yieldToNamed is how long the nodes that a handover does not name wait.
	yieldToNamed = 700 * micros.Millisecond
	// keepKeyForSuccessor is how long a leader that handed over keeps its leader key for the named node to replace.
	// That takes two requests to the state service; 01da0cf and versions before it do not do it.
	keepKeyForSuccessor = 700 * micros.Millisecond
	// yieldToFurther is how long a node waits for each peer whose view is much further: by more
	// than what a leader decides between two queries.
	yieldToFurther = 100 * micros.Millisecond
	muchFurther    = 1000 // entries
	// maxYieldToFurther bounds the sum of these.
	maxYieldToFurther = 300 * micros.Millisecond
	// yieldAfterHandover is how long a node that handed over does not lead again.
	yieldAfterHandover = 2 * micros.Second
)

// nextLeaderTimeout is how long a node that handed over waits until it sees who leads next, to say so. It is longer than
// keepKeyForSuccessor and yieldToNamed together.
const nextLeaderTimeout = 3 * micros.Second

// maxHandoverWait is how long a worker's heartbeat is kept for the next leader at most. Its
// worker waits for 4 s, of which forwarding the heartbeat may take 2.5 s.
const maxHandoverWait = 1200 * micros.Millisecond

// releasePollInterval is the time between two looks whether a node that hands over on shutdown
// still leads.
const releasePollInterval = 20 * micros.Millisecond

// handover is a node's part in planned transfers of leadership: it hands over, yields to who
// should lead next, and keeps heartbeats until somebody leads.
type handover struct {
	member     string        // this node
	timeout    micros.Micros // of handing over
	election   *election.Election
	peers      *peer.Peers
	replica    *replica.Replica
	leadership *localLeadership
	follower   *standby.Follower
	followers  func() []standby.FollowerState // as the leader last listed them

	mu           sync.Mutex
	handedOverAt micros.Micros // when this node last handed over, 0 if it never did
	successor    string        // to which this node's last term was handed over, "" if to nobody in particular
	yieldReason  yieldReason   // as it was last logged
}

// yieldReason is why a node lets others lead first, as the log shows it.
type yieldReason string

// The reasons.
const (
	yieldsToNobody     yieldReason = "no other member should go first"
	yieldsToNamed      yieldReason = "handed over to another member"
	yieldsAfterOwnTerm yieldReason = "this member has handed over"
	yieldsToFurther    yieldReason = "other members' views are further"
)

// lastHandedOverAt returns when this node last handed over, 0 if it never did.
func (h *handover) lastHandedOverAt() micros.Micros {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.handedOverAt
}

// setHandedOverAt notes when this node last handed over, and returns when it did so before.
func (h *handover) setHandedOverAt(at micros.Micros) (before micros.Micros) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before, h.handedOverAt = h.handedOverAt, at
	return before
}

// setSuccessor notes to which member this node's term, which has ended, was handed over.
func (h *handover) setSuccessor(member string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.successor = member
}

// keepKeyFor returns for how long the leader key of this node's last term is kept for its successor.
func (h *handover) keepKeyFor() micros.Micros {
	h.mu.Lock()
	successor := h.successor
	h.mu.Unlock()
	if successor == "" || !h.peers.IsReachable(successor) {
		return 0
	}
	return keepKeyForSuccessor
}

// yieldFor returns how long this node lets others go first when nobody leads.
func (h *handover) yieldFor() micros.Micros {
	wait, reason := h.decideYield()
	h.mu.Lock()
	defer h.mu.Unlock()
	if reason != h.yieldReason && wait > 0 {
		slog.Info("letting others campaign first", "member", h.member, "duration", wait.Duration(), "reason", reason)
	}
	h.yieldReason = reason
	return wait
}

// decideYield returns how long this node lets others go first, and why.
func (h *handover) decideYield() (wait micros.Micros, reason yieldReason) {
	handedOverAt, followers := h.lastHandedOverAt(), h.followers()
	if to, handed := h.follower.HandedOverTo(); handed && to != "" {
		if to == h.member || !h.peers.IsReachable(to) {
			return 0, yieldsToNobody
		}
		return yieldToNamed, yieldsToNamed
	}
	if handedOverAt != 0 && micros.Now()-handedOverAt < yieldAfterHandover {
		return yieldAfterHandover, yieldsAfterOwnTerm
	}
	own := h.follower.Progress()
	for _, f := range followers {
		if f.Member != h.member && f.Complete && h.peers.IsReachable(f.Member) && (!own.Complete || f.Position > own.Position+muchFurther) {
			wait += yieldToFurther
		}
	}
	if wait == 0 {
		return 0, yieldsToNobody
	}
	return min(wait, maxYieldToFurther), yieldsToFurther
}

// handOver has this node, if it leads, hand over to the follower that is furthest. It returns
// the member that was named; empty: any. The error is ErrNotLeading without a leader here.
func (h *handover) handOver() (to string, err error) {
	local := h.leadership.local()
	if local == nil {
		return "", ErrNotLeading
	}
	before := h.setHandedOverAt(micros.Now())
	to, err = local.HandOver(h.timeout)
	if err != nil {
		h.setHandedOverAt(before) // which is that of a handover under way, if this was a second one
		return "", err
	}
	h.leadership.setExpectsChange(true)
	return to, nil
}

// handOverAndConfirm has this node, if it leads, hand over, and returns the member that was named once that leads. The
// error is an *api.HandoverError if another one leads next, or none does for so long.
func (h *handover) handOverAndConfirm(ctx context.Context) (to string, err error) {
	token := h.election.HighestKnownLeader().FencingToken
	to, err = h.handOver()
	if err != nil {
		return "", err
	}
	next := h.awaitNextLeader(ctx, token)
	slog.Info("handover confirmed", "to", to, "leader", next)
	if to == "" || next != to {
		return "", &api.HandoverError{Target: to, Leader: next}
	}
	return to, nil
}

// awaitNextLeader waits until the leader key shows a later term than the one with a fencing token, and returns the
// member that leads; empty if none does in time.
func (h *handover) awaitNextLeader(ctx context.Context, token uint64) string {
	ctx, cancel := context.WithTimeout(ctx, nextLeaderTimeout.Duration())
	defer cancel()
	for {
		changed := h.replica.Changed()
		if l, modRevision := h.election.Leader(); modRevision != 0 && l.FencingToken > token {
			return l.Member
		}
		select {
		case <-ctx.Done():
			return ""
		case <-changed:
		}
	}
}

// await waits while leadership is being handed over, so that a worker's heartbeat reaches the
// next leader: rejected, the worker would come back a second later.
func (h *handover) await(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxHandoverWait.Duration())
	defer cancel()
	for changed := h.replica.Changed(); h.isBetweenLeaders() && ctx.Err() == nil; changed = h.replica.Changed() {
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// isBetweenLeaders reports whether the known leader has handed over and nobody is known to lead
// yet.
func (h *handover) isBetweenLeaders() bool {
	highest := h.election.HighestKnownLeader()
	if highest.Member == h.member {
		handedOverAt := h.lastHandedOverAt()
		return handedOverAt != 0 && micros.Now()-handedOverAt < yieldAfterHandover
	}
	return h.follower.HasHandedOver(highest.FencingToken)
}

// awaitRelease waits, after a handover, until the session of the leader key has been released.
func (h *handover) awaitRelease() {
	for until := micros.Now() + yieldAfterHandover; micros.Now() < until && !h.hasReleasedLeadership(); {
		releasePollInterval.Sleep()
	}
}

// hasReleasedLeadership reports whether the leader key no longer names this node.
func (h *handover) hasReleasedLeadership() bool {
	l, modRevision := h.election.Leader()
	return modRevision == 0 || l.Member != h.member
}
