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

	Token   uint64
	Stamp   uint64 // of the leader key; every write of the term is conditioned on it
	session uint64 // of the state service

	mu        sync.Mutex
	confirmed micros.Micros // send time of the last good renewal of the session
	over      bool
}

// Confirmed is when it was last proved that this term may act and knows of all
// cancellations: by the state service, where the session lives and the changes are
// read by separate requests and the older one counts, or by all peers' answers.
func (t *Term) Confirmed() micros.Micros {
	peers, seen := t.peers.Confirmed(t.Token), t.replica.Seen()
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(min(t.confirmed, seen), peers)
}

// Alone is since when no other node can answer workers with a lower token; 0
// while that is not known.
func (t *Term) Alone() micros.Micros { return t.peers.KnownSince(t.Token) }

// Held tells whether the session has not ended, even if the service's clock runs
// fast.
func (t *Term) Held() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.over && micros.Now() < t.confirmed+SessionLife-micros.Drift(SessionLife)
}

// Sure tells whether nobody else can be leader now: the session has not ended, or
// all others, who cannot reach the state service either, abstain from trying.
func (t *Term) Sure() bool {
	if t.Held() {
		return true
	}
	t.mu.Lock()
	over := t.over
	t.mu.Unlock()
	return !over && micros.Now() < t.peers.AbstainUntil(t.Token)
}

// confirm notes that the session lived when a request was sent.
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
