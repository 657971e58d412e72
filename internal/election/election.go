// Package election decides which node leads. Leadership is a key of the state service that exists for as
// long as a session does; a term is the time for which one node holds that key under one fencing token.
//
// How a term begins. While no leader key is stored, a node that may campaign (see Election.Abstain) opens a
// session and sends one transaction: a compare-and-swap that puts the leader key on that session and raises
// the fencing token by one, provided that there is still no leader key and that the token has not been raised
// meanwhile. At most one node succeeds, and no two terms share a token. The member that a leader has handed over to
// does not wait for the key to vanish: it replaces the key, by the same transaction on condition of that leader's key
// (Config.TakesOver), so that nobody else finds it absent. A campaign whose response was lost may
// have succeeded: its node then finds the leader key naming itself, ends that session, and campaigns anew for
// another token. A key found by a restarted node is ended the same way, so that nothing ever acts under a token
// that it did not win itself.
//
// How it is kept. The session is renewed several times within its TTL. The term counts it from the send time
// of the last renewal that succeeded, less clock drift, so that the node takes it for ended before the service
// does.
//
// How it ends. Another leader key or a higher fencing token is seen, the service says that the session does not
// exist, OnElected returns (a handover), or the node ends. Then the context of OnElected is cancelled, its return
// is awaited, and the session is ended, so that the next node need not wait for its TTL; after a handover only once the
// named member has replaced the key, or has not for a while (Config.KeepKeyFor). A renewal that merely
// gets no response does not end the term: what it may still do without the state service follows from the four
// proofs of Term.
//
// What a Term proves, each on its own and each to be asked again before each action:
//
//   - HoldsSession: the session has not ended, so nobody else can have taken the leader key.
//   - IsExclusive: nobody else leads, by the session or because all other nodes abstain from campaigning.
//   - LastConfirmed: when it was last certain that the term may act and knows all cancellations.
//   - EarlierTermsFencedSince: since when no node answers workers under the token of an earlier term.
//
// The package owns the campaigns, the terms and their fencing tokens. It must never act as a leader itself, and it
// never talks to the other nodes: Peers says what they last answered.
package election

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/statestore"
)

// Times of campaigns. Those of sessions are in session.go.
const (
	// retryInterval is between attempts at what the state service did not carry out; up to as much again is
	// added at random between campaigns, so that two nodes do not collide again and again.
	retryInterval = 200 * micros.Millisecond
	// rejectedBackoff is between campaigns that the service rejects as they are.
	rejectedBackoff = 5 * micros.Second
	// idlePollInterval is how long to wait for a change of the leader key before looking again.
	idlePollInterval = micros.Second
)

// noLeaderKey is the mod revision of the leader key when there is none.
const noLeaderKey = 0

// Peers is what the election needs of the other nodes' last responses. All instants are of this node's steady
// clock; 0 stands for never.
type Peers interface {
	// LastConfirmed is the latest instant at which every peer is known to have seen no token higher than the
	// given one, and to have passed on all cancellations that it knows.
	LastConfirmed(token uint64) micros.Micros
	// AbstainingUntil is until when all peers abstain from campaigning; 0 if any of them does not, or knows a
	// token higher than the given one.
	AbstainingUntil(token uint64) micros.Micros
	// TokenKnownSince is since when all peers have known the given token or a higher one; 0 if one does not.
	TokenKnownSince(token uint64) micros.Micros
}

// Config is what an election works with.
type Config struct {
	Member  string // the name of this node
	Store   *statestore.Client
	Replica *replica.Replica
	Peers   Peers
	// MaxAbstention is the longest that an earlier process of this node may have agreed to abstain for.
	MaxAbstention micros.Micros
	// OnCampaign, if set, is called as this node begins to campaign.
	OnCampaign func()
	// CampaignDelay, if set, is for how long this node lets others campaign first, counted from when the leader key
	// was seen to be absent. It only saves time: a node that yields in vain leads a little later.
	CampaignDelay func() micros.Micros
	// IsSuccessorOf, if set, reports whether the leader that a leader key names has handed over to this node. That leader
	// must act no more: this node then replaces its key. Wake has the election ask again.
	IsSuccessorOf func(replica.Leader) bool
	// HandoverGracePeriod, if set, is for how long the leader key stays when OnElected has returned, so that the member that
	// the term was handed over to can replace it; 0: not at all.
	HandoverGracePeriod func() micros.Micros
	// OnElected is called for each term, in a goroutine that the election waits for. It must return soon after
	// its context ends; if it returns before, the term ends.
	OnElected func(context.Context, *Term)
}

// Election campaigns for leadership on behalf of one node. Run takes part; all other methods may be called from
// any goroutine.
type Election struct {
	member     string
	store      *statestore.Client
	replica    *replica.Replica
	peers      Peers
	onCampaign func()
	yieldFor   func() micros.Micros
	takesOver  func(replica.Leader) bool
	keepKeyFor func() micros.Micros
	onElected  func(context.Context, *Term)
	wake       chan struct{} // has room for one call of Wake

	// Of Run's goroutine alone.
	campaignBackoff micros.Micros // the wait after a campaign that was not won
	vacantSince     micros.Micros // since when no leader key is seen, 0 while there is one
	campaigned      bool          // since then

	mu           sync.Mutex
	abstention   abstention
	highestKnown replica.Leader // of the highest token that a peer knows, or of the leader key
}

// New makes an election; it takes part once Run is called.
func New(c Config) *Election {
	return &Election{
		member:          c.Member,
		store:           c.Store,
		replica:         c.Replica,
		peers:           c.Peers,
		onCampaign:      c.OnCampaign,
		yieldFor:        c.CampaignDelay,
		takesOver:       c.IsSuccessorOf,
		keepKeyFor:      c.HandoverGracePeriod,
		wake:            make(chan struct{}, 1),
		onElected:       c.OnElected,
		campaignBackoff: retryInterval,
		abstention:      newAbstention(micros.Now(), c.MaxAbstention),
	}
}

// Run takes part until ctx ends. It returns when the last term's OnElected has.
func (e *Election) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := e.replica.Changed()
		wait := e.reactToLeaderKey(ctx)
		if wait == 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-e.wake:
		case <-time.After(wait.Duration()):
		}
	}
}

// Wake has the election look at the leader key at once, as TakesOver may answer otherwise now.
func (e *Election) Wake() {
	select {
	case e.wake <- struct{}{}:
	default: // it will look in any case
	}
}

// reactToLeaderKey does what the leader key requires of this node now, and returns for how long to wait for a
// change after that.
func (e *Election) reactToLeaderKey(ctx context.Context) (wait micros.Micros) {
	leader, revision := e.Leader()
	if revision != 0 {
		e.vacantSince = 0
	}
	switch {
	case !e.replica.IsLoaded():
		return idlePollInterval
	case revision == 0:
		if wait := e.remainingYield(); wait > 0 {
			return wait
		}
		return e.campaignAndServe(ctx, noLeaderKey)
	case leader.Member == e.member:
		// An earlier process of this node, or a campaign of this one that got no response, holds the key.
		// Nothing acts for it any more: every term gets a token of its own, also of the same node.
		slog.Info("ending the session of an earlier term", "fencing_token", leader.FencingToken)
		e.endSession(ctx, leader.SessionID)
		return retryInterval
	case e.takesOver != nil && e.takesOver(leader):
		return e.campaignAndServe(ctx, revision)
	}
	return idlePollInterval
}

// remainingYield is for how much longer this node lets others campaign first; 0 or less if not at all.
func (e *Election) remainingYield() micros.Micros {
	now := micros.Now()
	if e.vacantSince == 0 {
		e.vacantSince, e.campaigned = now, false
		slog.Info("leader key is absent", "member", e.member)
	}
	if e.yieldFor == nil {
		return 0
	}
	return min(retryInterval, e.vacantSince+e.yieldFor()-now)
}

// campaignAndServe campaigns to put the leader key in place of one with a mod revision, and serves the term if it is
// won. It returns how long to wait before looking at the leader key again.
func (e *Election) campaignAndServe(ctx context.Context, replaced uint64) (wait micros.Micros) {
	if !e.beginCampaign() {
		return retryInterval
	}
	e.logCampaign(replaced)
	if e.onCampaign != nil {
		e.onCampaign()
	}
	term, err := e.campaign(ctx, replaced)
	if err != nil {
		slog.Debug("campaign failed", "error", err)
	} else {
		e.serveTerm(ctx, term)
		// This node led meanwhile. Had the vacancy been counted from before its own term, a leader that handed
		// over would have let nobody go first, and would have taken the lead back at once.
		e.vacantSince = 0
	}
	e.endCampaign()
	if err == nil {
		return 0
	}
	return e.campaignBackoff + micros.Micros(rand.Int64N(int64(retryInterval)))
}

// logCampaign logs the first campaign since no leader key is seen, and how long this node let others go first.
func (e *Election) logCampaign(replaced uint64) {
	if replaced != noLeaderKey {
		slog.Info("campaigning as the named successor", "member", e.member, "revision", replaced)
		return
	}
	if e.campaigned {
		return
	}
	e.campaigned = true
	slog.Info("campaigning", "member", e.member, "duration", (micros.Now() - e.vacantSince).Duration(), "yields", e.yieldFor != nil)
}
