// Package election decides which node leads. Leadership is a key in the state service, the leader key, which is
// deleted when the session that it was written with ends. A term is the time for which one node holds that key under
// one fencing token.
//
// A term begins with a campaign. While no leader key is stored, a node that may campaign (see Election.Abstain) opens a
// session and sends one compare-and-swap transaction, which writes the leader key with that session and increments the
// fencing token, provided that there is still no leader key and that the token has not changed meanwhile. At most one
// node succeeds, and no two terms share a token. The member that a leader has handed over to does not wait until the
// key is absent: it replaces the key with the same transaction, conditional on that leader's key
// (Config.IsSuccessorOf), so that no other node finds the key absent. A campaign whose response was lost may have
// succeeded: its node then finds that the leader key names the node itself, ends that session, and campaigns again for
// another token. A restarted node ends the session of a key that it finds in the same way, so that no process ever acts
// under a token that it did not win itself.
//
// While a term lasts, its session is renewed several times within the TTL. The node counts the TTL from the send time
// of the last successful renewal and subtracts clock drift, so that it considers the session ended before the service
// does.
//
// A term ends when another leader key or a higher fencing token is seen, the service answers that the session does not
// exist, OnElected returns (a handover), or the node stops. The context of OnElected is then cancelled, OnElected
// returns, and the session is ended, so that the next leader does not have to wait for its TTL. After a handover, the
// session is ended only once the named successor has replaced the key or Config.HandoverGracePeriod has passed. A
// renewal that gets no response does not end the term: what the term may still do without the state service follows
// from what its methods prove.
//
// Term has four such methods, each of which must be called again before each action that relies on it:
//
//   - HoldsSession: the session has not ended, so no other node can have taken the leader key.
//   - IsExclusive: no other node leads, due to the session or because all other nodes abstain from campaigning.
//   - LastConfirmed: when it was last certain that the term may act and that this node knows all cancellations.
//   - EarlierTermsFencedSince: since when no node answers workers under the token of an earlier term.
//
// The package owns the campaigns, the terms and their fencing tokens. It must never act as a leader itself, and it
// never communicates with the other nodes: Peers provides their last answers.
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

// Intervals of campaigns. Those of sessions are in session.go.
const (
	// retryInterval is the wait between attempts at a request that the state service did not execute. Between
	// campaigns, a random time of up to the same length is added, so that two nodes do not collide repeatedly.
	retryInterval = 200 * micros.Millisecond
	// rejectedBackoff is the wait after a campaign whose transaction the state service rejected as invalid.
	rejectedBackoff = 5 * micros.Second
	// idlePollInterval is how long to wait for a change of the leader key before reading it again.
	idlePollInterval = micros.Second
)

// noLeaderKey is the mod revision of the leader key when there is none.
const noLeaderKey = 0

// Peers provides what the election needs from the last responses of the other nodes. All instants are readings of this
// node's steady clock; 0 means never.
type Peers interface {
	// LastConfirmed returns the latest instant at which every peer is known to have seen no token higher than the
	// given one, and to have passed on all cancellations that it knows.
	LastConfirmed(token uint64) micros.Micros
	// AbstainingUntil returns the instant until which all peers abstain from campaigning; 0 if any of them does not,
	// or knows a token higher than the given one.
	AbstainingUntil(token uint64) micros.Micros
	// TokenKnownSince returns the instant since which all peers have known the given token or a higher one; 0 if any
	// of them does not.
	TokenKnownSince(token uint64) micros.Micros
}

// Config configures an Election.
type Config struct {
	Member  string // the name of this node
	Store   *statestore.Client
	Replica *replica.Replica
	Peers   Peers
	// MaxAbstention is the longest time for which an earlier process of this node may have agreed to abstain.
	MaxAbstention micros.Micros
	// OnCampaign, if set, is called when this node begins to campaign.
	OnCampaign func()
	// CampaignDelay, if set, returns for how long this node lets other nodes campaign first, counted from when this
	// node first saw that the leader key is absent. Correctness does not depend on the delay: if no other node
	// campaigns, this node merely leads later.
	CampaignDelay func() micros.Micros
	// IsSuccessorOf, if set, reports whether the leader named by a leader key has handed over to this node. If so, that
	// leader must no longer act, and this node replaces its key. Wake makes the election call IsSuccessorOf again.
	IsSuccessorOf func(replica.Leader) bool
	// HandoverGracePeriod, if set, returns for how long the leader key is kept after OnElected has returned, so that
	// the member that the term was handed over to can replace the key; 0 if the key is not kept.
	HandoverGracePeriod func() micros.Micros
	// OnElected is called for each term, in a goroutine that the election waits for. It must return soon after
	// its context ends. If it returns earlier, the term ends.
	OnElected func(context.Context, *Term)
}

// Election campaigns for leadership on behalf of one node while Run runs. All methods but Run may be called from any
// goroutine.
type Election struct {
	member              string
	store               *statestore.Client
	replica             *replica.Replica
	peers               Peers
	onCampaign          func()
	campaignDelay       func() micros.Micros
	isSuccessorOf       func(replica.Leader) bool
	handoverGracePeriod func() micros.Micros
	onElected           func(context.Context, *Term)
	wake                chan struct{} // buffers one call of Wake

	// Used by Run's goroutine only.
	campaignBackoff micros.Micros // the wait after a failed campaign
	keyAbsentSince  micros.Micros // when this node first saw that the leader key is absent, 0 if it is present
	campaigned      bool          // whether this node has campaigned since keyAbsentSince

	mu           sync.Mutex
	abstention   abstention
	highestKnown replica.Leader // the leader with the highest token reported by a peer or read from the leader key
}

// New returns an election, in which this node takes part once Run is called.
func New(c Config) *Election {
	return &Election{
		member:              c.Member,
		store:               c.Store,
		replica:             c.Replica,
		peers:               c.Peers,
		onCampaign:          c.OnCampaign,
		campaignDelay:       c.CampaignDelay,
		isSuccessorOf:       c.IsSuccessorOf,
		handoverGracePeriod: c.HandoverGracePeriod,
		wake:                make(chan struct{}, 1),
		onElected:           c.OnElected,
		campaignBackoff:     retryInterval,
		abstention:          newAbstention(micros.Now(), c.MaxAbstention),
	}
}

// Run takes part in the election until ctx ends. It returns after the last term's OnElected has returned.
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

// Wake makes the election check the leader key at once, as the result of IsSuccessorOf may have changed.
func (e *Election) Wake() {
	select {
	case e.wake <- struct{}{}:
	default: // a check is already pending
	}
}

// reactToLeaderKey does what the leader key currently requires of this node: it campaigns, ends the session of an
// earlier term, or does nothing. It returns for how long to wait for a change before the next call.
func (e *Election) reactToLeaderKey(ctx context.Context) (wait micros.Micros) {
	leader, revision := e.Leader()
	if revision != 0 {
		e.keyAbsentSince = 0
	}
	switch {
	case !e.replica.IsLoaded():
		return idlePollInterval
	case revision == 0:
		if wait := e.remainingCampaignDelay(); wait > 0 {
			return wait
		}
		return e.campaignAndServe(ctx, noLeaderKey)
	case leader.Member == e.member:
		// The key was written by an earlier process of this node, or by a campaign of this process that got no
		// response. No process acts under its token any more, as every term gets its own token, even if the same
		// node leads again.
		slog.Info("ending the session of an earlier term", "fencing_token", leader.FencingToken)
		e.endSession(ctx, leader.SessionID)
		return retryInterval
	case e.isSuccessorOf != nil && e.isSuccessorOf(leader):
		return e.campaignAndServe(ctx, revision)
	}
	return idlePollInterval
}

// remainingCampaignDelay returns for how much longer this node lets other nodes campaign first, at most retryInterval;
// 0 or less if it may campaign now.
func (e *Election) remainingCampaignDelay() micros.Micros {
	now := micros.Now()
	if e.keyAbsentSince == 0 {
		e.keyAbsentSince, e.campaigned = now, false
		slog.Info("leader key is absent", "member", e.member)
	}
	if e.campaignDelay == nil {
		return 0
	}
	return min(retryInterval, e.keyAbsentSince+e.campaignDelay()-now)
}

// campaignAndServe campaigns to replace the leader key that has the mod revision replacedRevision, and serves the term
// if it wins. It returns for how long to wait before the leader key is checked again.
func (e *Election) campaignAndServe(ctx context.Context, replacedRevision uint64) (wait micros.Micros) {
	if !e.beginCampaign() {
		return retryInterval
	}
	e.logCampaign(replacedRevision)
	if e.onCampaign != nil {
		e.onCampaign()
	}
	term, err := e.campaign(ctx, replacedRevision)
	if err != nil {
		slog.Debug("campaign failed", "error", err)
	} else {
		e.serveTerm(ctx, term)
		// This node led meanwhile. If the delay were counted from before its own term, a leader that handed over
		// would let no other node campaign first, and would lead again at once.
		e.keyAbsentSince = 0
	}
	e.endCampaign()
	if err == nil {
		return 0
	}
	return e.campaignBackoff + micros.Micros(rand.Int64N(int64(retryInterval)))
}

// logCampaign logs each campaign of a named successor. Otherwise it logs only the first campaign since the leader key is
// absent, with the time for which this node let other nodes campaign first.
func (e *Election) logCampaign(replacedRevision uint64) {
	if replacedRevision != noLeaderKey {
		slog.Info("campaigning as the named successor", "member", e.member, "revision", replacedRevision)
		return
	}
	if e.campaigned {
		return
	}
	e.campaigned = true
	slog.Info("campaigning", "member", e.member, "duration", (micros.Now() - e.keyAbsentSince).Duration(), "yields", e.campaignDelay != nil)
}
