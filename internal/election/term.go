package election

import (
	"sync"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
)

// Term is one leadership.
type Term struct {
	peers   Peers
	replica *replica.Replica

	FencingToken      uint64
	LeaderKeyRevision uint64 // of the leader key; every write of the term is conditioned on it
	sessionID         uint64 // of the state service

	mu                 sync.Mutex
	sessionConfirmedAt micros.Micros // send time of the last good renewal of the session
	ended              bool
}

// LastConfirmed is when it was last proved that this term may act and knows of all
// cancellations: by the state service, where the session lives and the changes are
// read by separate requests and the older one counts, or by all peers' answers.
func (t *Term) LastConfirmed() micros.Micros {
	peers, seen := t.peers.LastConfirmed(t.FencingToken), t.replica.CurrentAsOf()
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(min(t.sessionConfirmedAt, seen), peers)
}

// EarlierTermsFencedSince is since when no other node can answer workers with a lower token; 0
// while that is not known.
func (t *Term) EarlierTermsFencedSince() micros.Micros {
	return t.peers.TokenKnownSince(t.FencingToken)
}

// HoldsSession tells whether the session has not ended, even if the service's clock runs
// fast.
func (t *Term) HoldsSession() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.ended && micros.Now() < t.sessionConfirmedAt+SessionTTL-micros.MaxClockDrift(SessionTTL)
}

// IsExclusive tells whether nobody else can be leader now: the session has not ended, or
// all others, who cannot reach the state service either, abstain from trying.
func (t *Term) IsExclusive() bool {
	if t.HoldsSession() {
		return true
	}
	t.mu.Lock()
	over := t.ended
	t.mu.Unlock()
	return !over && micros.Now() < t.peers.AbstainingUntil(t.FencingToken)
}

// confirm notes that the session lived when a request was sent.
func (t *Term) confirm(sent micros.Micros) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sessionConfirmedAt = max(t.sessionConfirmedAt, sent)
}

// end notes that the term is over.
func (t *Term) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
}
