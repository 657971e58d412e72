// Package election decides which node leads, by a key that lives as long as a
// session of the state service.
//
// It owns the campaigns, the terms, their fencing tokens, and the proof that a term may still act.
// It does not know what a leader does, and does not talk to the peers: it is told what
// they know.
package election

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// The session's life bounds how long nobody leads after a leader's crash. It is
// renewed often enough to survive two lost requests.
const (
	SessionTTL           = 3 * micros.Second
	sessionRenewInterval = 700 * micros.Millisecond
	retryInterval        = 200 * micros.Millisecond
	// rejectedBackoff is between campaigns that the service refuses as they are.
	rejectedBackoff = 5 * micros.Second
)

// Peers is what the election asks of the other nodes' last answers.
type Peers interface {
	// LastConfirmed is when all peers last were without a higher token.
	LastConfirmed(token uint64) micros.Micros
	// AbstainingUntil is until when all peers abstain from trying to lead, 0 if they do not.
	AbstainingUntil(token uint64) micros.Micros
	// TokenKnownSince is since when all peers have known a token, 0 if they do not.
	TokenKnownSince(token uint64) micros.Micros
}

// Election runs for leadership on behalf of one member.
type Election struct {
	member    string
	store     *statestore.Client
	replica   *replica.Replica
	peers     Peers
	onElected func(ctx context.Context, t *Term)
	startedAt micros.Micros
	// maxAbstention is how long one of an earlier life may bind this one.
	maxAbstention   micros.Micros
	campaignBackoff micros.Micros // after a campaign in vain
	onCampaign      func()
	yieldFor        func() micros.Micros
	vacantSince     micros.Micros // since when nobody is seen to lead, 0 if somebody is

	mu           sync.Mutex
	abstainUntil micros.Micros // until then this node must not try to lead
	campaigning  bool          // a campaign's outcome is open
	highestKnown replica.Leader
}

// Config is what an election works with.
type Config struct {
	Member  string
	Store   *statestore.Client
	Replica *replica.Replica
	Peers   Peers
	// MaxAbstention is the longest that a node may have been told to abstain for.
	MaxAbstention micros.Micros
	// Campaigning, if set, is called as this node begins to try to lead.
	OnCampaign func()
	// Yield, if set, is for how long this node lets others go first when nobody leads. It
	// only saves time: a node that yields in vain leads a little later.
	YieldFor func() micros.Micros
	// OnElected is called for each term and must return soon after its context ends.
	OnElected func(context.Context, *Term)
}

// New makes an election.
func New(c Config) *Election {
	return &Election{
		member:          c.Member,
		store:           c.Store,
		replica:         c.Replica,
		peers:           c.Peers,
		onElected:       c.OnElected,
		startedAt:       micros.Now(),
		maxAbstention:   c.MaxAbstention,
		campaignBackoff: retryInterval,
		onCampaign:      c.OnCampaign,
		yieldFor:        c.YieldFor,
	}
}

// Abstain has this node not try to lead for a while, if it is in a position to
// say so: it does not lead, and no campaign of it may still succeed.
func (e *Election) Abstain(life micros.Micros) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.campaigning {
		return false
	}
	e.abstainUntil = max(e.abstainUntil, micros.Now()+life)
	return true
}

// beginCampaign tells whether this node may try to lead, and notes that it does. A
// restarted node does not know whether it was abstaining and waits that out.
func (e *Election) beginCampaign() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := micros.Now(); now < e.abstainUntil || now < e.startedAt+e.maxAbstention {
		return false
	}
	e.campaigning = true
	return true
}

// endCampaign notes that a campaign's outcome is no longer open.
func (e *Election) endCampaign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.campaigning = false
}

// ObserveToken takes over a token that a peer knows of.
func (e *Election) ObserveToken(token uint64, member string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if token > e.highestKnown.FencingToken {
		e.highestKnown = replica.Leader{Member: member, FencingToken: token}
	}
}

// HighestKnownLeader is who has the highest token known here. The session is not always known.
func (e *Election) HighestKnownLeader() replica.Leader {
	var token replica.TokenRecord
	if _, err := e.replica.Get(replica.TokenKey, &token); err != nil {
		slog.Error("token key", "error", err)
	}
	l, _ := e.Leader()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.highestKnown.FencingToken > token.FencingToken || e.highestKnown.FencingToken == token.FencingToken && l.FencingToken != token.FencingToken {
		return e.highestKnown
	}
	if l.FencingToken == token.FencingToken {
		e.highestKnown = l
	}
	return replica.Leader{Member: l.Member, FencingToken: token.FencingToken}
}

// Leader is the leader as known here, and the version of its key: 0 if nobody leads.
func (e *Election) Leader() (l replica.Leader, stamp uint64) {
	stamp, err := e.replica.Get(replica.LeaderKey, &l)
	if err != nil {
		slog.Error("leader key", "error", err)
	}
	return l, stamp
}

// idlePollInterval is how long to wait for a change of the leader key before looking again.
const idlePollInterval = micros.Second

// Run takes part until ctx ends.
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
		case <-time.After(wait.Duration()):
		}
	}
}

// reactToLeaderKey does what the leader key asks of this node now, and tells for how long to wait for
// a change after that.
func (e *Election) reactToLeaderKey(ctx context.Context) (wait micros.Micros) {
	l, stamp := e.Leader()
	if stamp != 0 {
		e.vacantSince = 0
	}
	switch {
	case !e.replica.IsLoaded():
		return idlePollInterval
	case stamp == 0:
		if wait := e.remainingYield(); wait > 0 {
			return wait
		}
		return e.campaignAndServe(ctx)
	case l.Member == e.member:
		// An earlier life of this member, or an unanswered campaign of
		// this one, holds the key. Nothing acts for it any more: every
		// term gets its own token, also for the same member.
		slog.Info("ending the session of an earlier term", "token", l.FencingToken)
		e.endSession(ctx, l.SessionID)
		return retryInterval
	}
	return idlePollInterval
}

// remainingYield is for how much longer this node lets others go first.
func (e *Election) remainingYield() micros.Micros {
	now := micros.Now()
	if e.vacantSince == 0 {
		e.vacantSince = now
	}
	if e.yieldFor == nil {
		return 0
	}
	return min(retryInterval, e.vacantSince+e.yieldFor()-now)
}

// campaignAndServe runs a campaign, and the term if it is won.
func (e *Election) campaignAndServe(ctx context.Context) (wait micros.Micros) {
	if !e.beginCampaign() {
		return retryInterval
	}
	if e.onCampaign != nil {
		e.onCampaign()
	}
	t := e.campaign(ctx)
	if t != nil {
		e.serveTerm(ctx, t)
		// Somebody led meanwhile, this node. Counted from before its own term, a leader that
		// handed over let nobody go first, and took the lead back at once.
		e.vacantSince = 0
	}
	e.endCampaign()
	if t != nil {
		return 0
	}
	return e.campaignBackoff + micros.Micros(rand.Int64N(int64(retryInterval)))
}

// endSession ends a session at the state service, if it can be reached.
func (e *Election) endSession(ctx context.Context, session uint64) {
	if err := e.store.EndSession(ctx, session); err != nil {
		slog.Debug("end session", "error", err)
	}
}

// campaign tries to become leader; the token is raised in the transaction
// that takes the key.
func (e *Election) campaign(ctx context.Context) *Term {
	var token replica.TokenRecord
	tokenStamp, err := e.replica.Get(replica.TokenKey, &token)
	if err != nil {
		slog.Error("token key", "error", err)
		return nil
	}
	sent := micros.Now()
	session, err := e.store.NewSession(ctx, SessionTTL)
	if err != nil {
		slog.Debug("campaign", "error", err)
		return nil
	}
	leader := replica.Leader{Member: e.member, FencingToken: token.FencingToken + 1, SessionID: session}
	revision, err := e.takeLeaderKey(ctx, leader, tokenStamp)
	e.campaignBackoff = backoffAfter(err)
	if err != nil {
		slog.Debug("campaign", "error", err)
		e.endSession(ctx, session)
		return nil
	}
	return &Term{
		peers:              e.peers,
		replica:            e.replica,
		FencingToken:       leader.FencingToken,
		LeaderKeyRevision:  revision,
		sessionID:          session,
		sessionConfirmedAt: sent,
	}
}

// takeLeaderKey stores the leader and its token, if nobody leads and the token has not been
// raised since.
func (e *Election) takeLeaderKey(ctx context.Context, leader replica.Leader, tokenStamp uint64) (revision uint64, err error) {
	token := replica.TokenRecord{FencingToken: leader.FencingToken}
	revision, err = e.store.Commit(ctx, wire.Txn{
		If: []wire.Compare{
			{Key: replica.LeaderKey},
			{Key: replica.TokenKey, ModRevision: tokenStamp},
		},
		Then: []wire.Op{
			{Put: replica.LeaderKey, Value: leader, SessionID: leader.SessionID},
			{Put: replica.TokenKey, Value: token},
		},
	})
	if err != nil {
		return 0, err
	}
	e.replica.ApplyPut(replica.LeaderKey, leader, revision)
	e.replica.ApplyPut(replica.TokenKey, token, revision)
	return revision, nil
}

// backoffAfter is how long to wait after a campaign that ended with err.
func backoffAfter(err error) micros.Micros {
	if !errors.Is(err, statestore.ErrRejected) {
		return retryInterval
	}
	// Two short values: nothing could be made smaller. Whatever it is, being
	// asked five times a second does not mend it.
	slog.Error("the state service refuses to store who leads", "error", err)
	return rejectedBackoff
}

// serveTerm keeps the session and leads until the term is over.
func (e *Election) serveTerm(ctx context.Context, t *Term) {
	slog.Info("leading", "token", t.FencingToken)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.onElected(ctx, t)
	}()
	e.maintainSession(ctx, t, done)
	t.end()
	cancel()
	<-done
	slog.Info("no longer leading", "token", t.FencingToken)
	ending, stop := context.WithTimeout(context.Background(), statestore.Timeout.Duration())
	defer stop()
	e.endSession(ending, t.sessionID)
}

// isSuperseded tells whether the leader key is another's, or a peer knows of a
// higher token: then the workers have to go there soon.
func (e *Election) isSuperseded(t *Term) bool {
	if _, stamp := e.Leader(); stamp != t.LeaderKeyRevision {
		return true
	}
	return e.HighestKnownLeader().FencingToken > t.FencingToken
}

// maintainSession renews the session until the term is lost or given up.
func (e *Election) maintainSession(ctx context.Context, t *Term, done <-chan struct{}) {
	for {
		changed := e.replica.Changed()
		if e.isSuperseded(t) {
			return
		}
		wait := sessionRenewInterval
		sent := micros.Now()
		switch err := e.store.RenewSession(ctx, t.sessionID); {
		case err == nil:
			t.confirm(sent)
		case errors.Is(err, statestore.ErrSessionNotFound):
			return
		default:
			slog.Debug("renew session", "error", err)
			wait = retryInterval
		}
		if !e.waitWithinTerm(ctx, t, done, changed, wait) {
			return
		}
	}
}

// waitWithinTerm waits and tells whether the term goes on.
func (e *Election) waitWithinTerm(ctx context.Context, t *Term, done, changed <-chan struct{}, wait micros.Micros) bool {
	deadline := time.After(wait.Duration())
	for {
		select {
		case <-ctx.Done():
			return false
		case <-done:
			return false
		case <-deadline:
			return true
		case <-changed:
			changed = e.replica.Changed()
			if e.isSuperseded(t) {
				return false
			}
		}
	}
}
