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

// Delays and limits that let the member that should lead next campaign first.
const (
	// namedSuccessorDelay is how long the members that a handover does not name as successor wait before they campaign.
	namedSuccessorDelay = 700 * micros.Millisecond
	// leaderKeyGracePeriod is how long a leader that has handed over keeps its leader key, so that the named successor
	// can replace it. Replacing it takes two requests to the state service. Version 01da0cf and earlier ones never
	// replace it.
	leaderKeyGracePeriod = 700 * micros.Millisecond
	// upToDatePeerDelay is how long a node waits for each peer whose view is more than minUpToDateLead ahead of its own.
	upToDatePeerDelay = 100 * micros.Millisecond
	minUpToDateLead   = 1000 // entries; more than a leader publishes between two queries
	// maxUpToDatePeerDelay is the maximum total wait for such peers.
	maxUpToDatePeerDelay = 300 * micros.Millisecond
	// ownHandoverDelay is how long a node that has handed over does not campaign again.
	ownHandoverDelay = 2 * micros.Second
)

// nextLeaderTimeout is how long a node that has handed over waits for the next leader, to report it. It is longer than
// leaderKeyGracePeriod and namedSuccessorDelay together.
const nextLeaderTimeout = 3 * micros.Second

// maxHandoverWait is the maximum time for which a worker's heartbeat is kept for the next leader. The worker waits 4 s
// for the response, and forwarding the heartbeat may take 2.5 s of them.
const maxHandoverWait = 1200 * micros.Millisecond

// releasePollInterval is the time between two checks whether a node that hands over on shutdown has released the leader
// key.
const releasePollInterval = 20 * micros.Millisecond

// handover performs a node's part in planned transfers of leadership. It hands leadership over, delays this node's
// campaigns in favor of the members that should lead next, and keeps heartbeats until the next leader is known.
type handover struct {
	member     string        // this node
	timeout    micros.Micros // for handing over
	election   *election.Election
	peers      *peer.Peers
	replica    *replica.Replica
	leadership *localLeadership
	follower   *standby.Follower
	followers  func() []standby.FollowerState // as the leader last listed them

	mu              sync.Mutex
	handedOverAt    micros.Micros // when this node last handed over, 0 if never
	successor       string        // the member that this node's last term was handed over to, "" if none was named
	lastDelayReason delayReason   // the reason as of the last call of campaignDelay
}

// delayReason is the reason why a node lets other members campaign first, as written to the log.
type delayReason string

// Reasons for delaying a campaign.
const (
	noDelay                delayReason = "no other member should campaign first"
	delayForNamedSuccessor delayReason = "handed over to another member"
	delayAfterOwnHandover  delayReason = "this member has handed over"
	delayForUpToDatePeers  delayReason = "other members' views are more up to date"
)

// lastHandedOverAt returns when this node last handed over, or 0 if it never has.
func (h *handover) lastHandedOverAt() micros.Micros {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.handedOverAt
}

// setHandedOverAt records when this node last handed over, and returns the previous value.
func (h *handover) setHandedOverAt(at micros.Micros) (before micros.Micros) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before, h.handedOverAt = h.handedOverAt, at
	return before
}

// setSuccessor records the member that this node's last term, which has ended, was handed over to.
func (h *handover) setSuccessor(member string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.successor = member
}

// handoverGracePeriod returns how long the leader key of this node's last term is kept for the successor to replace.
func (h *handover) handoverGracePeriod() micros.Micros {
	h.mu.Lock()
	successor := h.successor
	h.mu.Unlock()
	if successor == "" || !h.peers.IsReachable(successor) {
		return 0
	}
	return leaderKeyGracePeriod
}

// campaignDelay returns how long this node lets other members campaign first while there is no leader. It logs the reason
// for the delay if it differs from the last call's.
func (h *handover) campaignDelay() micros.Micros {
	wait, reason := h.chooseCampaignDelay()
	h.mu.Lock()
	defer h.mu.Unlock()
	if reason != h.lastDelayReason && wait > 0 {
		slog.Info("letting others campaign first", "member", h.member, "duration", wait.Duration(), "reason", reason)
	}
	h.lastDelayReason = reason
	return wait
}

// chooseCampaignDelay returns how long this node lets other members campaign first, and why.
func (h *handover) chooseCampaignDelay() (wait micros.Micros, reason delayReason) {
	handedOverAt, followers := h.lastHandedOverAt(), h.followers()
	if to, handed := h.follower.HandedOverTo(); handed && to != "" {
		if to == h.member || !h.peers.IsReachable(to) {
			return 0, noDelay
		}
		return namedSuccessorDelay, delayForNamedSuccessor
	}
	if handedOverAt != 0 && micros.Now()-handedOverAt < ownHandoverDelay {
		return ownHandoverDelay, delayAfterOwnHandover
	}
	own := h.follower.Progress()
	for _, f := range followers {
		if f.Member != h.member && f.Complete && h.peers.IsReachable(f.Member) && (!own.Complete || f.Position > own.Position+minUpToDateLead) {
			wait += upToDatePeerDelay
		}
	}
	if wait == 0 {
		return 0, noDelay
	}
	return min(wait, maxUpToDatePeerDelay), delayForUpToDatePeers
}

// handOver hands leadership over to the most up-to-date follower. It returns the member that was named as successor, or
// "" if any member may lead next. It fails with ErrNotLeading while this node does not lead.
func (h *handover) handOver() (to string, err error) {
	localLeader := h.leadership.localLeader()
	if localLeader == nil {
		return "", ErrNotLeading
	}
	before := h.setHandedOverAt(micros.Now())
	to, err = localLeader.HandOver(h.timeout)
	if err != nil {
		h.setHandedOverAt(before) // this handover failed, perhaps because an earlier one is still in progress
		return "", err
	}
	h.leadership.setExpectsChange(true)
	return to, nil
}

// handOverAndConfirm hands leadership over and returns the named successor once that member leads. It fails with an
// *api.HandoverError if another member leads next, or if no member leads within nextLeaderTimeout.
func (h *handover) handOverAndConfirm(ctx context.Context) (to string, err error) {
	token := h.election.HighestKnownLeader().FencingToken
	to, err = h.handOver()
	if err != nil {
		return "", err
	}
	next := h.awaitNextLeader(ctx, token)
	slog.Info("wait for the next leader after a handover ended", "to", to, "leader", next)
	if to == "" || next != to {
		return "", &api.HandoverError{Target: to, Leader: next}
	}
	return to, nil
}

// awaitNextLeader waits until the leader key shows a term with a higher fencing token than the given one. It returns the
// member that leads that term, or "" if there is none in time.
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

// await waits while a handover of leadership is in progress, so that a worker's heartbeat reaches the next leader. If the
// heartbeat were rejected instead, the worker would retry only 1 s later.
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

// isBetweenLeaders reports whether the last known leader has handed over and its successor is not known yet.
func (h *handover) isBetweenLeaders() bool {
	highest := h.election.HighestKnownLeader()
	if highest.Member == h.member {
		handedOverAt := h.lastHandedOverAt()
		return handedOverAt != 0 && micros.Now()-handedOverAt < ownHandoverDelay
	}
	return h.follower.HasHandedOver(highest.FencingToken)
}

// awaitRelease waits, after a handover, until this node has released the leader key, for ownHandoverDelay at most.
func (h *handover) awaitRelease() {
	for until := micros.Now() + ownHandoverDelay; micros.Now() < until && !h.hasReleasedLeadership(); {
		releasePollInterval.Sleep()
	}
}

// hasReleasedLeadership reports whether the leader key no longer names this node.
func (h *handover) hasReleasedLeadership() bool {
	l, modRevision := h.election.Leader()
	return modRevision == 0 || l.Member != h.member
}
