package election

import (
	"sync"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
)

// Term is the time for which this node leads under one fencing token. Its methods say what is proved about it now;
// they may be called from any goroutine, and go on to answer, that nothing is proved, after it has ended.
type Term struct {
	peers   Peers
	replica *replica.Replica

	// FencingToken is higher than that of every earlier term.
	FencingToken uint64
	// LeaderKeyRevision is the mod revision of the leader key. Every write of the term compares it, so that a
	// write that is carried out late, in another term, fails.
	LeaderKeyRevision uint64
	sessionID         uint64 // of the state service

	mu                 sync.Mutex
	sessionConfirmedAt micros.Micros // send time of the last request that showed the session to exist
	ended              bool
}

// LastConfirmed is the latest instant at which it was proved both that this term may act and that all cancellations
// are known here; 0 if never. Workers' leases may be renewed for a bounded time after it, so that a cancellation
// that this node cannot see ends its tasks in time. Two proofs count, and the later one of them:
//   - the state service: the session existed, and the changes were read. These are separate requests, and the
//     older one counts.
//   - all peers: each answered that it knows of no higher token, and passed on all cancellations that it knows.
func (t *Term) LastConfirmed() micros.Micros {
	byPeers, changesRead := t.peers.LastConfirmed(t.FencingToken), t.replica.CurrentAsOf()
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(min(t.sessionConfirmedAt, changesRead), byPeers)
}

// EarlierTermsFencedSince is since when no other node can answer workers with a lower token, because every peer knows
// this term's; 0 while that is not known. Leases that earlier terms granted are over a lease's length after it.
func (t *Term) EarlierTermsFencedSince() micros.Micros {
	return t.peers.TokenKnownSince(t.FencingToken)
}

// HoldsSession reports whether the session cannot have ended yet, even if the service's clock runs fast. It proves
// that the leader key is still this term's and that no later term has begun: only the member that the term was handed
// over to replaces the key of a session that lasts, and nothing is proved once the term is relinquished.
func (t *Term) HoldsSession() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.ended && micros.Now() < t.sessionConfirmedAt+SessionTTL-micros.MaxClockDrift(SessionTTL)
}

// IsExclusive reports whether nobody else can lead now: the session has not ended, or all other nodes, which cannot
// reach the state service either, abstain from campaigning. Tasks may be started only while it holds.
func (t *Term) IsExclusive() bool {
	if t.HoldsSession() {
		return true
	}
	t.mu.Lock()
	ended := t.ended
	t.mu.Unlock()
	return !ended && micros.Now() < t.peers.AbstainingUntil(t.FencingToken)
}

// confirm notes that the session existed when a request was sent.
func (t *Term) confirm(sent micros.Micros) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sessionConfirmedAt = max(t.sessionConfirmedAt, sent)
}

// Relinquish has the term prove nothing any more: from now on another node may replace its leader key. It is called
// before a handover is announced.
func (t *Term) Relinquish() { t.end() }

// end notes that the term is over.
func (t *Term) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
}
