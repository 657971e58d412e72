package election

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/statestore"
)

// SessionTTL is how long a leader's session lasts unless it is renewed. It bounds for how long nobody leads after a
// leader's crash. It is renewed often enough to survive two lost requests.
const (
	SessionTTL           = 3 * micros.Second
	sessionRenewInterval = 700 * micros.Millisecond
)

// serveTerm runs OnElected and keeps the session until the term is over.
func (e *Election) serveTerm(ctx context.Context, term *Term) {
	slog.Info("term started", "fencing_token", term.FencingToken)
	termCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.onElected(termCtx, term)
	}()
	e.maintainSession(termCtx, term, done)
	term.end()
	cancel()
	<-done
	slog.Info("term ended", "fencing_token", term.FencingToken)
	e.keepLeaderKey(ctx, term)
	ending, stop := context.WithTimeout(context.Background(), statestore.RequestTimeout.Duration())
	defer stop()
	e.endSession(ending, term.sessionID)
}

// keepLeaderKey leaves the key of a term that is over to the member that it was handed over to, for a bounded time.
// Were the session ended at once, every node that finds the key absent would campaign, and one that knows nothing of
// the handover, without a standby or of an earlier version, would often lead instead.
func (e *Election) keepLeaderKey(ctx context.Context, term *Term) {
	if e.keepKeyFor == nil {
		return
	}
	deadline := time.After(e.keepKeyFor().Duration())
	for {
		changed := e.replica.Changed()
		if e.isSuperseded(term) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-deadline:
			return
		case <-changed:
		}
	}
}

// maintainSession renews the session until the term is lost, or given up by OnElected, which closes done.
func (e *Election) maintainSession(ctx context.Context, term *Term, done <-chan struct{}) {
	for {
		changed := e.replica.Changed()
		if e.isSuperseded(term) {
			return
		}
		wait := sessionRenewInterval
		sent := micros.Now()
		switch err := e.store.RenewSession(ctx, term.sessionID); {
		case err == nil:
			term.confirm(sent)
		case errors.Is(err, statestore.ErrSessionNotFound):
			return
		default:
			slog.Debug("session not renewed", "fencing_token", term.FencingToken, "error", err)
			wait = retryInterval
		}
		if !e.waitWithinTerm(ctx, term, done, changed, wait) {
			return
		}
	}
}

// waitWithinTerm waits, and reports whether the term goes on.
func (e *Election) waitWithinTerm(ctx context.Context, term *Term, done, changed <-chan struct{}, wait micros.Micros) bool {
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
			if e.isSuperseded(term) {
				return false
			}
		}
	}
}

// isSuperseded reports whether the leader key is no longer this term's, or a higher token is known: then the workers
// must be left to the next leader soon.
func (e *Election) isSuperseded(term *Term) bool {
	if _, revision := e.Leader(); revision != term.LeaderKeyRevision {
		return true
	}
	return e.HighestKnownLeader().FencingToken > term.FencingToken
}

// endSession ends a session at the state service, if that can be reached; else its TTL does.
func (e *Election) endSession(ctx context.Context, session uint64) {
	if err := e.store.EndSession(ctx, session); err != nil {
		slog.Debug("session not ended", "error", err)
	}
}
