package election

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/statestore"
)

// The TTL of sessions, and the interval of their renewals.
const (
	// SessionTTL is how long a leader's session lasts unless it is renewed. It bounds the time without a leader
	// after a leader's crash.
	SessionTTL = 3 * micros.Second
	// sessionRenewInterval is short enough for a session to survive two lost renewals.
	sessionRenewInterval = 700 * micros.Millisecond
)

// serveTerm runs OnElected and renews the session until the term is over, and then ends the session.
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
	e.waitForSuccessor(ctx, term)
	endCtx, cancelEnd := context.WithTimeout(context.Background(), statestore.RequestTimeout.Duration())
	defer cancelEnd()
	e.endSession(endCtx, term.sessionID)
}

// waitForSuccessor waits after the end of a term until the named successor has replaced the leader key, but at most for
// the handover grace period. If the session ended at once, every node that found the key absent would campaign, and a
// node that knows nothing of the handover, as it has no standby or runs an earlier version, would often lead instead.
func (e *Election) waitForSuccessor(ctx context.Context, term *Term) {
	if e.handoverGracePeriod == nil {
		return
	}
	deadline := time.After(e.handoverGracePeriod().Duration())
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

// maintainSession renews the session until the term is lost, ctx ends, or done is closed as OnElected has returned.
func (e *Election) maintainSession(ctx context.Context, term *Term, done <-chan struct{}) {
	for {
		changed := e.replica.Changed()
		if e.isSuperseded(term) {
			return
		}
		wait := sessionRenewInterval
		sentAt := micros.Now()
		switch err := e.store.RenewSession(ctx, term.sessionID); {
		case err == nil:
			term.confirm(sentAt)
		case errors.Is(err, statestore.ErrSessionNotFound):
			return
		default:
			slog.Debug("session renewal failed, retrying", "fencing_token", term.FencingToken, "error", err)
			wait = retryInterval
		}
		if !e.waitWithinTerm(ctx, term, done, changed, wait) {
			return
		}
	}
}

// waitWithinTerm waits for the given time, or until the term is over. It reports whether the term continues. changed
// must have been taken from the replica before the caller last checked that the term is not superseded.
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

// isSuperseded reports whether the leader key is no longer this term's, or a higher fencing token is known. Either means
// that the term is over.
func (e *Election) isSuperseded(term *Term) bool {
	if _, revision := e.Leader(); revision != term.LeaderKeyRevision {
		return true
	}
	return e.HighestKnownLeader().FencingToken > term.FencingToken
}

// endSession ends a session at the state service. If the request fails, the session ends when its TTL expires.
func (e *Election) endSession(ctx context.Context, session uint64) {
	if err := e.store.EndSession(ctx, session); err != nil {
		slog.Debug("failed to end session, leaving it to its TTL", "error", err)
	}
}
