// Package election decides which node leads, by a key on a hold of the state
// service.
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
)

// Term is one leadership.
type Term struct {
	Token uint64
	Stamp uint64 // of the leader key; every write of the term is conditioned on it
	hold  uint64

	mu        sync.Mutex
	confirmed micros.Micros // send time of the last good extend
	over      bool
}

// Confirmed is the send time of the last request that proved the leadership.
func (t *Term) Confirmed() micros.Micros {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmed
}

// Sure tells whether nobody else can be leader now: the hold has not ended,
// even if the service's clock runs fast.
func (t *Term) Sure() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.over && micros.Now() < t.confirmed+Life-micros.Drift(Life)
}

func (t *Term) confirm(sent micros.Micros) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmed = max(t.confirmed, sent)
}

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
	lead    func(ctx context.Context, t *Term)
}

// New makes an election; lead is called for each term and must return soon
// after its context ends.
func New(member string, store *statestore.Client, r *replica.Replica, lead func(context.Context, *Term)) *Election {
	return &Election{member: member, store: store, replica: r, lead: lead}
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
		case stamp == 0:
			if t := e.campaign(ctx); t != nil {
				e.serve(ctx, t)
				continue
			}
			wait = retryEvery + micros.Micros(rand.Int64N(int64(retryEvery)))
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
	if err != nil {
		slog.Debug("campaign", "error", err)
		if err := e.store.Release(ctx, hold); err != nil {
			slog.Debug("release", "error", err)
		}
		return nil
	}
	e.replica.Wrote(replica.LeaderKey, leader, rev)
	e.replica.Wrote(replica.TokenKey, next, rev)
	return &Term{Token: next.Token, Stamp: rev, hold: hold, confirmed: sent}
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

// keep extends the hold until the term is lost or given up.
func (e *Election) keep(ctx context.Context, t *Term, done <-chan struct{}) {
	for {
		changed := e.replica.Changed()
		if _, stamp := e.Leader(); stamp != t.Stamp {
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
				if _, stamp := e.Leader(); stamp != t.Stamp {
					return
				}
			}
		}
	}
}
