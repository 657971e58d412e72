package caperlatch

import (
	"context"
	"errors"
	"log/slog"
	"sync"

	"caperlatch/internal/api"
	"caperlatch/internal/election"
	"caperlatch/internal/leader"
	"caperlatch/internal/micros"
	"caperlatch/internal/peer"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
)

// standbyNode is a node's part in the warm standby: it follows whoever leads, and publishes
// what this node decides while it leads.
type standbyNode struct {
	node     *Node
	settings *settings.Standby
	follower *standby.Follower
	failover *standby.Failover

	mu             sync.Mutex
	publisher      *standby.Publisher // of the present term, nil while this node does not lead
	otherFollowers []standby.FollowerState
	handedOverAt   micros.Micros // when this node last handed over, 0 if it never did
}

// Times of letting others lead first.
const (
	// yieldToNamed is for how long the nodes that a handover does not name wait.
	yieldToNamed = 700 * micros.Millisecond
	// yieldToFurther is how long a node waits for each peer whose view is much further: by
	// more than what a leader decides between two queries.
	yieldToFurther = 100 * micros.Millisecond
	muchFurther    = 1000 // entries
	// yieldMost bounds the sum of these.
	yieldMost = 300 * micros.Millisecond
	// yieldAfterHandover is for how long a node that handed over does not lead again.
	yieldAfterHandover = 2 * micros.Second
)

// queryTimeout bounds a query, as that of a probe on the same stream.
const queryTimeout = 1200 * micros.Millisecond

func newStandbyNode(n *Node, s *settings.Standby) *standbyNode {
	return &standbyNode{
		node:     n,
		settings: s,
		follower: standby.NewFollower(n.settings.Member),
		failover: standby.NewFailover(),
	}
}

// follow keeps the view of whoever leads until ctx ends.
func (s *standbyNode) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if s.node.LocalLeader() != nil || !s.query(ctx) {
			micros.Pause(ctx, s.settings.QueryInterval)
		}
	}
}

// query asks the leader once, and tells whether it has more to tell at once.
func (s *standbyNode) query(ctx context.Context) (more bool) {
	highest := s.node.election.HighestKnownLeader()
	client := s.node.peers.Client(highest.Member)
	if client == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout.Duration())
	defer cancel()
	q, sent := s.follower.NextQuery(highest.FencingToken), micros.Now()
	response, err := client.Call(ctx, peer.Request{StandbyQuery: q})
	if err != nil {
		s.suspect()
		slog.Debug("standby: query", "leader", highest.Member, "error", err)
		return false
	}
	page := response.StandbyPage
	if page == nil {
		return false // it does not publish, or no longer leads
	}
	if err := s.follower.ApplyPage(page, sent); err != nil {
		return false
	}
	s.mu.Lock()
	s.otherFollowers = page.Followers
	s.mu.Unlock()
	if _, handed := s.follower.HandedOverTo(); handed {
		s.node.setExpectsLeaderChange(true) // its session ends within moments
		return false
	}
	s.trust()
	return page.Snapshot != nil || page.AfterPosition+uint64(len(page.Entries)) < page.LatestPosition
}

// suspect has this node follow the state service closely once the leader has not answered
// for a while. It is a hint: leadership hangs on the session alone.
func (s *standbyNode) suspect() {
	if heard := s.follower.LastPageAt(); heard != 0 && micros.Now()-heard > s.settings.SuspectAfter {
		s.failover.LeaderSuspected()
		s.node.setExpectsLeaderChange(true)
	}
}

// trust notes that a leader answers.
func (s *standbyNode) trust() {
	s.failover.LeaderTrusted()
	s.node.setExpectsLeaderChange(false)
}

// yieldFor is for how long this node lets others go first when nobody leads.
func (s *standbyNode) yieldFor() micros.Micros {
	s.mu.Lock()
	handedAt, others := s.handedOverAt, s.otherFollowers
	s.mu.Unlock()
	own := s.node.settings.Member
	if to, handed := s.follower.HandedOverTo(); handed && to != "" {
		if to == own || !s.node.peers.IsReachable(to) {
			return 0
		}
		return yieldToNamed
	}
	if handedAt != 0 && micros.Now()-handedAt < yieldAfterHandover {
		return yieldAfterHandover
	}
	progress, wait := s.follower.Progress(), micros.Micros(0)
	for _, f := range others {
		if f.Member != own && f.Complete && s.node.peers.IsReachable(f.Member) && (!progress.Complete || f.Position > progress.Position+muchFurther) {
			wait += yieldToFurther
		}
	}
	return min(wait, yieldMost)
}

// beginTerm has a term's leader publish, and go on from the view of the term before.
func (s *standbyNode) beginTerm(t *election.Term, config *leader.Config) {
	publisher := standby.NewPublisher(t.FencingToken, s.settings.MaxLogEntries)
	config.PreviousTerm = s.follower.TakeView()
	config.Followers = publisher
	config.FailoverProgress = s.failover
	s.failover.TermWon(t.FencingToken, t.LeaderKeyRevision, config.PreviousTerm != nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publisher, s.otherFollowers = publisher, nil
}

// endTerm notes that this node no longer leads.
func (s *standbyNode) endTerm() {
	s.failover.TermEnded()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publisher = nil
}

// currentPublisher is the publisher of the present term, nil while this node does not lead.
func (s *standbyNode) currentPublisher() *standby.Publisher {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.publisher
}

// HandleStandbyQuery tells a follower what the leader here has decided.
func (n *Node) HandleStandbyQuery(q *standby.Query) *standby.Page {
	if n.standby == nil {
		return nil
	}
	p := n.standby.currentPublisher()
	if p == nil {
		return nil
	}
	page := p.HandleQuery(q)
	page.Followers = p.Followers()
	return page
}

// HandOver has this node, if it leads, hand over to the follower that is furthest. It tells
// who was named.
func (n *Node) HandOver() (to string, err error) {
	if n.standby == nil {
		return "", api.ErrStandbyOff
	}
	l := n.LocalLeader()
	if l == nil {
		return "", errNotLeading
	}
	n.standby.mu.Lock()
	n.standby.handedOverAt = micros.Now()
	n.standby.mu.Unlock()
	to, err = l.HandOver(n.standby.settings.HandoverTimeout)
	if err != nil {
		n.standby.mu.Lock()
		n.standby.handedOverAt = 0
		n.standby.mu.Unlock()
	}
	return to, err
}

// awaitHandover waits while leadership is being handed over, so that a worker's report meets
// the next leader: refused, the worker would come back a second later.
func (s *standbyNode) awaitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxHandoverWait.Duration())
	defer cancel()
	for changed := s.node.replica.Changed(); s.between() && ctx.Err() == nil; changed = s.node.replica.Changed() {
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// between tells whether the known leader has handed over and nobody is known to lead yet.
func (s *standbyNode) between() bool {
	highest := s.node.election.HighestKnownLeader()
	s.mu.Lock()
	handedAt := s.handedOverAt
	s.mu.Unlock()
	if highest.Member == s.node.settings.Member {
		return handedAt != 0 && micros.Now()-handedAt < yieldAfterHandover
	}
	return s.follower.HasHandedOver(highest.FencingToken)
}

// AwaitHandover waits, for a moment at most, while leadership is being handed over.
func (n *Node) AwaitHandover(ctx context.Context) {
	if n.standby != nil {
		n.standby.awaitHandover(ctx)
	}
}

// Times of passing reports on, of the 4 s that a worker waits for its answer.
const (
	// heartbeatHold is for how long a report is kept for its answer.
	heartbeatHold = 2500 * micros.Millisecond
	// heartbeatHoldForSuccessor is for how long with a standby, where it may wait for the next leader.
	heartbeatHoldForSuccessor = 3500 * micros.Millisecond
	// expectLeaderWithin is for how long after a leader was last heard a next one is expected.
	expectLeaderWithin = 5 * micros.Second
	// forwardRetryInterval is between two tries to have a report answered.
	forwardRetryInterval = 50 * micros.Millisecond
)

// heartbeatHoldTime is for how long reports that are passed on are kept for their answers.
func (n *Node) heartbeatHoldTime() micros.Micros {
	if n.standby == nil {
		return heartbeatHold
	}
	return heartbeatHoldForSuccessor
}

// ExpectsSuccessor tells whether a leader that does not answer now should have a successor soon.
func (n *Node) ExpectsSuccessor() bool {
	return n.standby != nil && n.standby.expectsLeader()
}

func (s *standbyNode) expectsLeader() bool {
	heard := s.follower.LastPageAt()
	return heard != 0 && micros.Now()-heard < expectLeaderWithin
}

// forwardHeartbeat has the leader answer a report, and if that one ends or stands still, the next one.
// The worker waits for one answer to its one report, and gets the one that is given here: what
// the leader before may still answer goes nowhere. A worker that was refused instead came
// back a second later, and one whose report was with a leader that stood still after 2.5 s.
func (s *standbyNode) forwardHeartbeat(ctx context.Context, report wire.Raw) (wire.Raw, error) {
	first := s.node.election.HighestKnownLeader().FencingToken
	for {
		now := s.node.election.HighestKnownLeader()
		answer, err := s.forwardTo(ctx, now, report)
		if err == nil || ctx.Err() != nil {
			return answer, err
		}
		// A leader that has just begun refuses until it has read what is stored.
		refused := errors.Is(err, peer.ErrRejected) || errors.Is(err, leader.ErrCannotRespond)
		if now.FencingToken == first && (refused || !s.expectsLeader()) {
			return nil, err
		}
		micros.Pause(ctx, forwardRetryInterval)
	}
}

// forwardTo has one leader answer a report, and gives up once a later one is known.
func (s *standbyNode) forwardTo(ctx context.Context, leader replica.Leader, report wire.Raw) (wire.Raw, error) {
	if leader.Member == s.node.settings.Member {
		return s.node.HandleForwardedHeartbeat(report)
	}
	client := s.node.peers.Client(leader.Member)
	if client == nil {
		return nil, errNoLeader
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil && s.node.election.HighestKnownLeader().FencingToken <= leader.FencingToken {
			select {
			case <-ctx.Done():
			case <-s.node.replica.Changed():
			}
		}
		cancel()
	}()
	return client.ForwardHeartbeat(ctx, report)
}

// maxHandoverWait is for how long a worker's report is kept for the next leader at most. Its
// worker waits for 4 s, of which passing the report on may take 2.5 s.
const maxHandoverWait = 1200 * micros.Millisecond

// releasePollInterval is how often a node that hands over as it ends looks whether it still leads.
const releasePollInterval = 20 * micros.Millisecond

// HandOverOnShutdown hands over, if this node leads, and waits until its session is let go of.
func (n *Node) HandOverOnShutdown() {
	to, err := n.HandOver()
	if err != nil {
		slog.Info("ending without a handover", "why", err)
		return
	}
	slog.Info("ending", "handed_to", to)
	for until := micros.Now() + yieldAfterHandover; micros.Now() < until && !n.hasReleasedLeadership(); {
		releasePollInterval.Sleep()
	}
}

// hasReleasedLeadership tells whether the leader key no longer names this node.
func (n *Node) hasReleasedLeadership() bool {
	l, stamp := n.election.Leader()
	return stamp == 0 || l.Member != n.settings.Member
}

// StandbyStatus tells how far the warm standby is, as this node knows it.
func (n *Node) StandbyStatus() (api.StandbyStatus, error) {
	if n.standby == nil {
		return api.StandbyStatus{}, api.ErrStandbyOff
	}
	s := n.standby
	highest := n.election.HighestKnownLeader()
	status := api.StandbyStatus{
		Member:       n.settings.Member,
		Leader:       highest.Member,
		FencingToken: highest.FencingToken,
		Phase:        s.failover.Phase().String(),
		LastFailover: s.failover.LastRecord(),
	}
	if p := s.currentPublisher(); p != nil {
		status.Leading, status.Position, status.Followers = true, p.Position(), p.Followers()
		return status, nil
	}
	progress := s.follower.Progress()
	status.Progress = &progress
	return status, nil
}
