package caperlatch

import (
	"context"
	"log/slog"
	"sync"

	"caperlatch/internal/api"
	"caperlatch/internal/election"
	"caperlatch/internal/leader"
	"caperlatch/internal/micros"
	"caperlatch/internal/peer"
	"caperlatch/internal/settings"
	"caperlatch/internal/standby"
)

const (
	// standbyQueryTimeout is how long a query waits for its response: as long as a probe on the same connection.
	standbyQueryTimeout = 1200 * micros.Millisecond
	// maxSuccessorDelay is how long after a leader's last page its successor is expected to respond.
	maxSuccessorDelay = 5 * micros.Second
)

// standbyAgent runs a node's part of the warm standby. It follows the leader's decisions and, while this node leads,
// publishes this node's decisions. It does not decide about leadership, which depends only on the session of the leader
// key.
type standbyAgent struct {
	member     string // this node
	settings   *settings.Standby
	election   *election.Election
	peers      *peer.Peers
	leadership *localLeadership
	follower   *standby.Follower
	failover   *standby.Failover

	mu              sync.Mutex
	publisher       *standby.Publisher      // of the current term, nil while this node does not lead
	listedFollowers []standby.FollowerState // as the leader last listed them
}

// run keeps this node's view of the leader's state up to date until ctx ends.
func (a *standbyAgent) run(ctx context.Context) {
	for ctx.Err() == nil {
		if a.leadership.localLeader() != nil || !a.query(ctx) {
			micros.Pause(ctx, a.settings.QueryInterval)
		}
	}
}

// query sends one query to the leader, and reports whether the leader has more entries to send immediately.
func (a *standbyAgent) query(ctx context.Context) (more bool) {
	highest := a.election.HighestKnownLeader()
	client := a.peers.Client(highest.Member)
	if client == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, standbyQueryTimeout.Duration())
	defer cancel()
	query, sentAt := a.follower.NextQuery(highest.FencingToken), micros.Now()
	response, err := client.Call(ctx, peer.Request{StandbyQuery: query})
	if err != nil {
		a.suspectLeader()
		slog.Debug("standby query failed", "leader", highest.Member, "error", err)
		return false
	}
	page := response.StandbyPage
	if page == nil { // the peer does not publish, or no longer leads
		if !a.follower.HasHandedOver(highest.FencingToken) {
			a.leadership.setExpectsChange(false) // otherwise the replica would keep its low latency forever
		}
		return false
	}
	if err := a.follower.ApplyPage(page, sentAt); err != nil {
		return false // ApplyPage has logged the error
	}
	a.mu.Lock()
	a.listedFollowers = page.Followers
	a.mu.Unlock()
	if _, handed := a.follower.HandedOverTo(); handed {
		a.leadership.setExpectsChange(true) // the next term begins very soon
		a.election.Wake()
		return false
	}
	a.trustLeader()
	return page.Snapshot != nil || page.AfterPosition+uint64(len(page.Entries)) < page.LatestPosition
}

// suspectLeader makes the replica follow the state service with low latency if the leader has not responded for
// Standby.SuspectAfter. The suspicion is only a hint, because leadership depends only on the session of the leader key.
func (a *standbyAgent) suspectLeader() {
	if last := a.follower.LastPageAt(); last != 0 && micros.Now()-last > a.settings.SuspectAfter {
		a.failover.LeaderSuspected()
		a.leadership.setExpectsChange(true)
	}
}

// trustLeader ends a suspicion when a leader responds.
func (a *standbyAgent) trustLeader() {
	a.failover.LeaderTrusted()
	a.leadership.setExpectsChange(false)
}

// expectsSuccessor reports whether, if the leader does not respond, another node should lead soon.
func (a *standbyAgent) expectsSuccessor() bool {
	last := a.follower.LastPageAt()
	return last != 0 && micros.Now()-last < maxSuccessorDelay
}

// followers returns the followers as the leader last listed them.
func (a *standbyAgent) followers() []standby.FollowerState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listedFollowers
}

// beginTerm configures a term's leader to publish its decisions and to continue from the previous term's view.
func (a *standbyAgent) beginTerm(t *election.Term, config *leader.Config) {
	publisher := standby.NewPublisher(t.FencingToken, a.settings.MaxLogEntries)
	config.PreviousTerm = a.follower.TakeView()
	config.Followers = publisher
	config.FailoverProgress = a.failover
	a.failover.TermWon(t.FencingToken, t.LeaderKeyRevision, config.PreviousTerm != nil)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.publisher, a.listedFollowers = publisher, nil
}

// endTerm records that this node no longer leads.
func (a *standbyAgent) endTerm() {
	a.failover.TermEnded()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.publisher = nil
}

// currentPublisher returns the publisher of the current term, or nil while this node does not lead.
func (a *standbyAgent) currentPublisher() *standby.Publisher {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.publisher
}

// respondToQuery returns the decisions of this node's leader to a follower, or nil while this node does not lead.
func (a *standbyAgent) respondToQuery(q *standby.Query) *standby.Page {
	publisher := a.currentPublisher()
	if publisher == nil {
		return nil
	}
	page := publisher.HandleQuery(q)
	page.Followers = publisher.Followers()
	return page
}

// status returns the status of the warm standby as known to this node.
func (a *standbyAgent) status() api.StandbyStatus {
	highest := a.election.HighestKnownLeader()
	status := api.StandbyStatus{
		Member:       a.member,
		Leader:       highest.Member,
		FencingToken: highest.FencingToken,
		Phase:        a.failover.Phase().String(),
		LastFailover: a.failover.LastRecord(),
	}
	if publisher := a.currentPublisher(); publisher != nil {
		status.Leading, status.Position, status.Followers = true, publisher.Position(), publisher.Followers()
		return status
	}
	progress := a.follower.Progress()
	status.Progress = &progress
	return status
}
