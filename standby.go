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
	takeover *standby.Takeover

	mu        sync.Mutex
	publisher *standby.Publisher // of the present term, nil while this node does not lead
	others    []standby.FollowerState
	handedAt  micros.Micros // when this node last handed over, 0 if it never did
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
		takeover: standby.NewTakeover(),
	}
}

// follow keeps the view of whoever leads until ctx ends.
func (s *standbyNode) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if s.node.Leading() != nil || !s.query(ctx) {
			micros.Pause(ctx, s.settings.QueryInterval)
		}
	}
}

// query asks the leader once, and tells whether it has more to tell at once.
func (s *standbyNode) query(ctx context.Context) (more bool) {
	highest := s.node.election.Highest()
	client := s.node.peers.Client(highest.Member)
	if client == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout.Duration())
	defer cancel()
	q, sent := s.follower.Query(highest.Token), micros.Now()
	response, err := client.Ask(ctx, peer.Request{Standby: q})
	if err != nil {
		s.suspect()
		slog.Debug("standby: query", "leader", highest.Member, "error", err)
		return false
	}
	page := response.Standby
	if page == nil {
		return false // it does not publish, or no longer leads
	}
	if err := s.follower.Apply(page, sent); err != nil {
		return false
	}
	s.mu.Lock()
	s.others = page.Followers
	s.mu.Unlock()
	if _, handed := s.follower.HandedTo(); handed {
		s.node.setSuspects(true) // its session ends within moments
		return false
	}
	s.trust()
	return page.Snapshot != nil || page.From+uint64(len(page.Entries)) < page.Latest
}

// suspect has this node follow the state service closely once the leader has not answered
// for a while. It is a hint: leadership hangs on the session alone.
func (s *standbyNode) suspect() {
	if heard := s.follower.HeardAt(); heard != 0 && micros.Now()-heard > s.settings.SuspectAfter {
		s.takeover.Suspect()
		s.node.setSuspects(true)
	}
}

// trust notes that a leader answers.
func (s *standbyNode) trust() {
	s.takeover.Trust()
	s.node.setSuspects(false)
}

// yield is for how long this node lets others go first when nobody leads.
func (s *standbyNode) yield() micros.Micros {
	s.mu.Lock()
	handedAt, others := s.handedAt, s.others
	s.mu.Unlock()
	own := s.node.settings.Member
	if to, handed := s.follower.HandedTo(); handed && to != "" {
		if to == own || !s.node.peers.Reachable(to) {
			return 0
		}
		return yieldToNamed
	}
	if handedAt != 0 && micros.Now()-handedAt < yieldAfterHandover {
		return yieldAfterHandover
	}
	progress, wait := s.follower.Progress(), micros.Micros(0)
	for _, f := range others {
		if f.Member != own && f.Whole && s.node.peers.Reachable(f.Member) && (!progress.Whole || f.Position > progress.Position+muchFurther) {
			wait += yieldToFurther
		}
	}
	return min(wait, yieldMost)
}

// beginTerm has a term's leader publish, and go on from the view of the term before.
func (s *standbyNode) beginTerm(t *election.Term, config *leader.Config) {
	publisher := standby.NewPublisher(t.Token, s.settings.MaxLogEntries)
	config.Expected = s.follower.View()
	config.Followers = publisher
	config.Progress = s.takeover
	s.takeover.Won(t.Token, t.Stamp, config.Expected != nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publisher, s.others = publisher, nil
}

// endTerm notes that this node no longer leads.
func (s *standbyNode) endTerm() {
	s.takeover.Ended()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publisher = nil
}

// present is the publisher of the present term, nil while this node does not lead.
func (s *standbyNode) present() *standby.Publisher {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.publisher
}

// Followed tells a follower what the leader here has decided.
func (n *Node) Followed(q *standby.Query) *standby.Page {
	if n.standby == nil {
		return nil
	}
	p := n.standby.present()
	if p == nil {
		return nil
	}
	page := p.Answer(q)
	page.Followers = p.Followers()
	return page
}

// HandOver has this node, if it leads, hand over to the follower that is furthest. It tells
// who was named.
func (n *Node) HandOver() (to string, err error) {
	if n.standby == nil {
		return "", api.ErrStandbyOff
	}
	l := n.Leading()
	if l == nil {
		return "", errNotLeading
	}
	n.standby.mu.Lock()
	n.standby.handedAt = micros.Now()
	n.standby.mu.Unlock()
	to, err = l.HandOver(n.standby.settings.HandoverTimeout)
	if err != nil {
		n.standby.mu.Lock()
		n.standby.handedAt = 0
		n.standby.mu.Unlock()
	}
	return to, err
}

// awaitHandover waits while leadership is being handed over, so that a worker's report meets
// the next leader: refused, the worker would come back a second later.
func (s *standbyNode) awaitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverWait.Duration())
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
	highest := s.node.election.Highest()
	s.mu.Lock()
	handedAt := s.handedAt
	s.mu.Unlock()
	if highest.Member == s.node.settings.Member {
		return handedAt != 0 && micros.Now()-handedAt < yieldAfterHandover
	}
	return s.follower.HandedIn(highest.Token)
}

// AwaitHandover waits, for a moment at most, while leadership is being handed over.
func (n *Node) AwaitHandover(ctx context.Context) {
	if n.standby != nil {
		n.standby.awaitHandover(ctx)
	}
}

// Times of passing reports on, of the 4 s that a worker waits for its answer.
const (
	// keepReport is for how long a report is kept for its answer.
	keepReport = 2500 * micros.Millisecond
	// keepForNext is for how long with a standby, where it may wait for the next leader.
	keepForNext = 3500 * micros.Millisecond
	// expectWithin is for how long after a leader was last heard a next one is expected.
	expectWithin = 5 * micros.Second
	// relayAgain is between two tries to have a report answered.
	relayAgain = 50 * micros.Millisecond
)

// keepReports is for how long reports that are passed on are kept for their answers.
func (n *Node) keepReports() micros.Micros {
	if n.standby == nil {
		return keepReport
	}
	return keepForNext
}

// ExpectsLeader tells whether a leader that does not answer now should have a successor soon.
func (n *Node) ExpectsLeader() bool {
	return n.standby != nil && n.standby.expectsLeader()
}

func (s *standbyNode) expectsLeader() bool {
	heard := s.follower.HeardAt()
	return heard != 0 && micros.Now()-heard < expectWithin
}

// relay has the leader answer a report, and if that one ends or stands still, the next one.
// The worker waits for one answer to its one report, and gets the one that is given here: what
// the leader before may still answer goes nowhere. A worker that was refused instead came
// back a second later, and one whose report was with a leader that stood still after 2.5 s.
func (s *standbyNode) relay(ctx context.Context, report wire.Raw) (wire.Raw, error) {
	first := s.node.election.Highest().Token
	for {
		now := s.node.election.Highest()
		answer, err := s.relayTo(ctx, now, report)
		if err == nil || ctx.Err() != nil {
			return answer, err
		}
		// A leader that has just begun refuses until it has read what is stored.
		refused := errors.Is(err, peer.ErrRefused) || errors.Is(err, leader.ErrNotEntitled)
		if now.Token == first && (refused || !s.expectsLeader()) {
			return nil, err
		}
		micros.Pause(ctx, relayAgain)
	}
}

// relayTo has one leader answer a report, and gives up once a later one is known.
func (s *standbyNode) relayTo(ctx context.Context, leader replica.Leader, report wire.Raw) (wire.Raw, error) {
	if leader.Member == s.node.settings.Member {
		return s.node.Relayed(report)
	}
	client := s.node.peers.Client(leader.Member)
	if client == nil {
		return nil, errNoLeader
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil && s.node.election.Highest().Token <= leader.Token {
			select {
			case <-ctx.Done():
			case <-s.node.replica.Changed():
			}
		}
		cancel()
	}()
	return client.Relay(ctx, report)
}

// handoverWait is for how long a worker's report is kept for the next leader at most. Its
// worker waits for 4 s, of which passing the report on may take 2.5 s.
const handoverWait = 1200 * micros.Millisecond

// endPoll is how often a node that hands over as it ends looks whether it still leads.
const endPoll = 20 * micros.Millisecond

// HandOverAtEnd hands over, if this node leads, and waits until its session is let go of.
func (n *Node) HandOverAtEnd() {
	to, err := n.HandOver()
	if err != nil {
		slog.Info("ending without a handover", "why", err)
		return
	}
	slog.Info("ending", "handed_to", to)
	for until := micros.Now() + yieldAfterHandover; micros.Now() < until && !n.released(); {
		endPoll.Sleep()
	}
}

// released tells whether the leader key no longer names this node.
func (n *Node) released() bool {
	l, stamp := n.election.Leader()
	return stamp == 0 || l.Member != n.settings.Member
}

// Standby tells how far the warm standby is, as this node knows it.
func (n *Node) Standby() (api.StandbyStatus, error) {
	if n.standby == nil {
		return api.StandbyStatus{}, api.ErrStandbyOff
	}
	s := n.standby
	highest := n.election.Highest()
	status := api.StandbyStatus{
		Member: n.settings.Member,
		Leader: highest.Member,
		Token:  highest.Token,
		Phase:  s.takeover.Phase().String(),
		Last:   s.takeover.Last(),
	}
	if p := s.present(); p != nil {
		status.Leading, status.Position, status.Followers = true, p.Position(), p.Followers()
		return status, nil
	}
	progress := s.follower.Progress()
	status.Progress = &progress
	return status, nil
}
