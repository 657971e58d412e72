// Package election decides which node leads, by a key on a hold of the state
// service.
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

// The hold's life bounds how long nobody leads after a leader's crash. It is
// extended often enough to survive two lost requests.
const (
	Life        = 3 * micros.Second
	extendEvery = 700 * micros.Millisecond
	retryEvery  = 200 * micros.Millisecond
	// refusedPause is between campaigns that the service refuses as they are.
	refusedPause = 5 * micros.Second
)

// Peers is what the election asks of the other nodes' words.
type Peers interface {
	// Confirmed is when all peers last were without a higher token, and
	// Promised until when all of them promise not to try to lead.
	Confirmed(token uint64) micros.Micros
	Promised(token uint64) micros.Micros
	// KnownSince is since when all peers have known a token, 0 if they do not.
	KnownSince(token uint64) micros.Micros
}

// Term is one leadership.
type Term struct {
	peers   Peers
	replica *replica.Replica

	Token uint64
	Stamp uint64 // of the leader key; every write of the term is conditioned on it
	hold  uint64

	mu        sync.Mutex
	confirmed micros.Micros // send time of the last good extend
	over      bool
}

// Confirmed is when it was last proved that this term may act and knows of all
// cancellations: by the state service, where the hold lives and the changes are
// read by separate requests and the older one counts, or by all peers' words.
func (t *Term) Confirmed() micros.Micros {
	peers, seen := t.peers.Confirmed(t.Token), t.replica.Seen()
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(min(t.confirmed, seen), peers)
}

// Alone is since when no other node can answer workers with a lower token; 0
// while that is not known.
func (t *Term) Alone() micros.Micros { return t.peers.KnownSince(t.Token) }

// Held tells whether the hold has not ended, even if the service's clock runs
// fast.
func (t *Term) Held() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.over && micros.Now() < t.confirmed+Life-micros.Drift(Life)
}

// Sure tells whether nobody else can be leader now: the hold has not ended, or
// all others, who cannot reach the state service either, promise not to try.
func (t *Term) Sure() bool {
	if t.Held() {
		return true
	}
	t.mu.Lock()
	over := t.over
	t.mu.Unlock()
	return !over && micros.Now() < t.peers.Promised(t.Token)
}

// confirm notes that the hold lived when a request was sent.
func (t *Term) confirm(sent micros.Micros) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmed = max(t.confirmed, sent)
}

// end notes that the term is over.
func (t *Term) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.over = true
}

// Election runs for leadership on behalf of one member.
type Election struct {
	member  string
	store   *statestore.Client
	replica *replica.Replica
	peers   Peers
	lead    func(ctx context.Context, t *Term)
	began   micros.Micros
	// forgotten is how long a promise of an earlier life may bind.
	forgotten micros.Micros
	pause     micros.Micros // after a campaign in vain

	mu       sync.Mutex
	promised micros.Micros // until then this node must not try to lead
	trying   bool          // a campaign's outcome is open
	highest  replica.Leader
}

// New makes an election; lead is called for each term and must return soon
// after its context ends.
func New(member string, store *statestore.Client, r *replica.Replica, peers Peers, forgotten micros.Micros, lead func(context.Context, *Term)) *Election {
	return &Election{member: member, store: store, replica: r, peers: peers, lead: lead, began: micros.Now(), forgotten: forgotten, pause: retryEvery}
}

// Promise has this node not try to lead for a while, if it is in a position to
// say so: it does not lead, and no campaign of it may still succeed.
func (e *Election) Promise(life micros.Micros) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.trying {
		return false
	}
	e.promised = max(e.promised, micros.Now()+life)
	return true
}

// mayTry begins a campaign unless a promise of this node binds it. A restarted
// node does not know what it had promised and waits it out.
func (e *Election) mayTry() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := micros.Now(); now < e.promised || now < e.began+e.forgotten {
		return false
	}
	e.trying = true
	return true
}

// tried notes that a campaign's outcome is no longer open.
func (e *Election) tried() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.trying = false
}

// Told takes over a token that a peer knows of.
func (e *Election) Told(token uint64, member string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if token > e.highest.Token {
		e.highest = replica.Leader{Member: member, Token: token}
	}
}

// Highest is the highest token known here and who has it.
func (e *Election) Highest() (uint64, string) {
	var token replica.Token
	if _, err := e.replica.Get(replica.TokenKey, &token); err != nil {
		slog.Error("token key", "error", err)
	}
	l, _ := e.Leader()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.highest.Token > token.Token || e.highest.Token == token.Token && l.Token != token.Token {
		return e.highest.Token, e.highest.Member
	}
	if l.Token == token.Token {
		e.highest = l
	}
	return token.Token, l.Member
}

// Leader is the leader as known here.
func (e *Election) Leader() (replica.Leader, uint64) {
	var l replica.Leader
	stamp, err := e.replica.Get(replica.LeaderKey, &l)
	if err != nil {
		slog.Error("leader key", "error", err)
	}
	return l, stamp
}

// Run takes part until ctx ends.
func (e *Election) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := e.replica.Changed()
		l, stamp := e.Leader()
		wait := micros.Second
		switch {
		case !e.replica.Loaded():
		case stamp == 0 && !e.mayTry():
			wait = retryEvery
		case stamp == 0:
			t := e.campaign(ctx)
			if t != nil {
				e.serve(ctx, t)
			}
			e.tried()
			if t != nil {
				continue
			}
			wait = e.pause + micros.Micros(rand.Int64N(int64(retryEvery)))
		case l.Member == e.member:
			// An earlier life of this member, or an unanswered campaign of
			// this one, holds the key. Nothing acts for it any more: every
			// term gets its own token, also for the same member.
			slog.Info("ending the hold of an earlier term", "token", l.Token)
			if err := e.store.Release(ctx, l.Hold); err != nil {
				slog.Debug("release", "error", err)
			}
			wait = retryEvery
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(wait.Duration()):
		}
	}
}

// campaign tries to become leader; the token is raised in the transaction
// that takes the key.
func (e *Election) campaign(ctx context.Context) *Term {
	var token replica.Token
	tokenStamp, err := e.replica.Get(replica.TokenKey, &token)
	if err != nil {
		slog.Error("token key", "error", err)
		return nil
	}
	sent := micros.Now()
	hold, err := e.store.Hold(ctx, Life)
	if err != nil {
		slog.Debug("campaign", "error", err)
		return nil
	}
	next := replica.Token{Token: token.Token + 1}
	leader := replica.Leader{Member: e.member, Token: next.Token, Hold: hold}
	rev, err := e.store.Commit(ctx, wire.Txn{
		If: []wire.Condition{{Key: replica.LeaderKey}, {Key: replica.TokenKey, Stamp: tokenStamp}},
		Then: []wire.Op{
			{Write: replica.LeaderKey, Value: leader, Hold: hold},
			{Write: replica.TokenKey, Value: next},
		},
	})
	e.pause = retryEvery
	if err != nil {
		if errors.Is(err, statestore.ErrRefused) {
			// Two short values: nothing could be made smaller. Whatever it is, being
			// asked five times a second does not mend it.
			slog.Error("the state service refuses to store who leads", "error", err)
			e.pause = refusedPause
		}
		slog.Debug("campaign", "error", err)
		if err := e.store.Release(ctx, hold); err != nil {
			slog.Debug("release", "error", err)
		}
		return nil
	}
	e.replica.Wrote(replica.LeaderKey, leader, rev)
	e.replica.Wrote(replica.TokenKey, next, rev)
	return &Term{peers: e.peers, replica: e.replica, Token: next.Token, Stamp: rev, hold: hold, confirmed: sent}
}

// serve keeps the hold and leads until the term is over.
func (e *Election) serve(ctx context.Context, t *Term) {
	slog.Info("leading", "token", t.Token)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.lead(ctx, t)
	}()
	e.keep(ctx, t, done)
	t.end()
	cancel()
	<-done
	slog.Info("no longer leading", "token", t.Token)
	release, stop := context.WithTimeout(context.Background(), statestore.Timeout.Duration())
	defer stop()
	if err := e.store.Release(release, t.hold); err != nil {
		slog.Debug("release", "error", err)
	}
}

// superseded tells whether the leader key is another's, or a peer knows of a
// higher token: then the workers have to go there soon.
func (e *Election) superseded(t *Term) bool {
	if _, stamp := e.Leader(); stamp != t.Stamp {
		return true
	}
	token, _ := e.Highest()
	return token > t.Token
}

// keep extends the hold until the term is lost or given up.
func (e *Election) keep(ctx context.Context, t *Term, done <-chan struct{}) {
	for {
		changed := e.replica.Changed()
		if e.superseded(t) {
			return
		}
		wait := extendEvery
		sent := micros.Now()
		switch err := e.store.Extend(ctx, t.hold); {
		case err == nil:
			t.confirm(sent)
		case errors.Is(err, statestore.ErrNoHold):
			return
		default:
			slog.Debug("extend", "error", err)
			wait = retryEvery
		}
		deadline := time.After(wait.Duration())
	waiting:
		for {
			select {
			case <-ctx.Done():
				return
			case <-done:
				return
			case <-deadline:
				break waiting
			case <-changed:
				changed = e.replica.Changed()
				if e.superseded(t) {
					return
				}
			}
		}
	}
}
