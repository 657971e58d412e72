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
	// standbyQueryTimeout bounds a query, as it bounds a probe on the same stream.
	standbyQueryTimeout = 1200 * micros.Millisecond
	// successorWithin is how long after a leader's last page its successor is expected to answer.
	successorWithin = 5 * micros.Second
)

// standbyAgent is a node's part in the warm standby: it follows whoever leads, and publishes
// what this node decides while it leads. It decides nothing about leadership, which hangs on
// the session of the leader key alone.
type standbyAgent struct {
	member     string // this node
	settings   *settings.Standby
	election   *election.Election
	peers      *peer.Peers
	leadership *localLeadership
	follower   *standby.Follower
	failover   *standby.Failover

	mu             sync.Mutex
	publisher      *standby.Publisher      // of the present term, nil while this node does not lead
	otherFollowers []standby.FollowerState // as the leader last said
}

// run keeps the view of whoever leads until ctx ends.
func (a *standbyAgent) run(ctx context.Context) {
	for ctx.Err() == nil {
		if a.leadership.local() != nil || !a.query(ctx) {
			micros.Pause(ctx, a.settings.QueryInterval)
		}
	}
}

// query asks the leader once, and reports whether it has more to send at once.
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
	if page == nil { // it does not publish, or no longer leads
		if !a.follower.HasHandedOver(highest.FencingToken) {
			a.leadership.setExpectsChange(false) // else this node would follow the state service closely for ever
		}
		return false
	}
	if err := a.follower.ApplyPage(page, sentAt); err != nil {
		return false // the follower has logged it
	}
	a.mu.Lock()
	a.otherFollowers = page.Followers
	a.mu.Unlock()
	if _, handed := a.follower.HandedOverTo(); handed {
		a.leadership.setExpectsChange(true) // very soon
		a.election.Wake()
		return false
	}
	a.trustLeader()
	return page.Snapshot != nil || page.AfterPosition+uint64(len(page.Entries)) < page.LatestPosition
}

// suspectLeader has this node follow the state service closely once the leader has not answered
// for a while. It is a hint: leadership hangs on the session alone.
func (a *standbyAgent) suspectLeader() {
	if last := a.follower.LastPageAt(); last != 0 && micros.Now()-last > a.settings.SuspectAfter {
		a.failover.LeaderSuspected()
		a.leadership.setExpectsChange(true)
	}
}

// trustLeader notes that a leader answers.
func (a *standbyAgent) trustLeader() {
	a.failover.LeaderTrusted()
	a.leadership.setExpectsChange(false)
}

// expectsSuccessor reports whether a leader that does not answer now should have a successor
// soon.
func (a *standbyAgent) expectsSuccessor() bool {
	last := a.follower.LastPageAt()
	return last != 0 && micros.Now()-last < successorWithin
}

// followers returns the followers as the leader last listed them.
func (a *standbyAgent) followers() []standby.FollowerState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.otherFollowers
}

// beginTerm has a term's leader publish, and go on from the view of the term before.
func (a *standbyAgent) beginTerm(t *election.Term, config *leader.Config) {
	publisher := standby.NewPublisher(t.FencingToken, a.settings.MaxLogEntries)
	config.PreviousTerm = a.follower.TakeView()
	config.Followers = publisher
	config.FailoverProgress = a.failover
	a.failover.TermWon(t.FencingToken, t.LeaderKeyRevision, config.PreviousTerm != nil)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.publisher, a.otherFollowers = publisher, nil
}

// endTerm notes that this node no longer leads.
func (a *standbyAgent) endTerm() {
	a.failover.TermEnded()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.publisher = nil
}

// currentPublisher returns the publisher of the present term, nil while this node does not lead.
func (a *standbyAgent) currentPublisher() *standby.Publisher {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.publisher
}

// respondToQuery answers a follower with what this node's leader has decided; nil while this
// node does not lead.
func (a *standbyAgent) respondToQuery(q *standby.Query) *standby.Page {
	publisher := a.currentPublisher()
	if publisher == nil {
		return nil
	}
	page := publisher.HandleQuery(q)
	page.Followers = publisher.Followers()
	return page
}

// status returns how far the warm standby is, as this node knows it.
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
