package election

import (
	"sync"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
)

// Term is the time for which this node leads under one fencing token. Its methods report what is proved about it at
// the time of the call. They may be called from any goroutine, also after the term has ended, when HoldsSession and
// IsExclusive return false.
type Term struct {
	peers   Peers
	replica *replica.Replica

	// FencingToken is higher than that of every earlier term.
	FencingToken uint64
	// LeaderKeyRevision is the mod revision of the leader key. Every write of the term compares it, so that a
	// write that is executed late, in another term, fails.
	LeaderKeyRevision uint64
	sessionID         uint64 // ID of the session at the state service

	mu                 sync.Mutex
	sessionConfirmedAt micros.Micros // send time of the last request that showed the session to exist
	ended              bool
}

// LastConfirmed returns the latest instant at which it was proved that this term may act and that this node knows all
// cancellations; 0 means never. Workers' leases may be renewed for a bounded time after it, so that the tasks of a
// cancellation that this node cannot see end in time. LastConfirmed returns the later of the instants of two proofs:
//   - The state service: the session existed, and the changes were read. These are separate requests, so the instant
//     of the earlier one is used.
//   - All peers: each answered that it knows no higher fencing token, and passed on all cancellations that it knows.
func (t *Term) LastConfirmed() micros.Micros {
	byPeers, changesRead := t.peers.LastConfirmed(t.FencingToken), t.replica.CurrentAsOf()
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(min(t.sessionConfirmedAt, changesRead), byPeers)
}

// EarlierTermsFencedSince returns the instant since which no other node can answer workers with a lower fencing token,
// because every peer knows this term's token; 0 if that is not known. All leases that earlier terms granted have
// expired one lease duration after that instant.
func (t *Term) EarlierTermsFencedSince() micros.Micros {
	return t.peers.TokenKnownSince(t.FencingToken)
}

// HoldsSession reports whether the session cannot have ended yet, even if the service's clock runs fast. True proves
// that the leader key is still this term's and that no later term has begun: the key of a session that has not ended is
// replaced only by the member that the term was handed over to, and HoldsSession returns false once the term is
// relinquished.
func (t *Term) HoldsSession() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.ended && micros.Now() < t.sessionConfirmedAt+SessionTTL-micros.MaxClockDrift(SessionTTL)
}

// IsExclusive reports whether no other node can lead now, because the session has not ended or because all other nodes,
// which cannot reach the state service either, abstain from campaigning. Tasks may be started only while it is true.
func (t *Term) IsExclusive() bool {
	if t.HoldsSession() {
		return true
	}
	t.mu.Lock()
	ended := t.ended
	t.mu.Unlock()
	return !ended && micros.Now() < t.peers.AbstainingUntil(t.FencingToken)
}

// confirm records that a request sent at sentAt showed the session to exist.
func (t *Term) confirm(sentAt micros.Micros) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sessionConfirmedAt = max(t.sessionConfirmedAt, sentAt)
}

// Relinquish makes HoldsSession and IsExclusive return false from now on, as another node may replace the leader key.
// It must be called before a handover is announced.
func (t *Term) Relinquish() { t.end() }

// end marks the term as over.
func (t *Term) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
}
