package election

import (
	"log/slog"

	"caperlatch/internal/replica"
)

// ObserveToken records the highest fencing token that a peer knows, and the member whose token it is.
func (e *Election) ObserveToken(token uint64, member string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if token > e.highestKnown.FencingToken {
		e.highestKnown = replica.Leader{Member: member, FencingToken: token}
	}
}

// HighestKnownLeader returns the member with the highest fencing token known to this node, from the state service or
// from a peer. The term of that token may be over. Member is empty if it is not known, and SessionID is not always set.
func (e *Election) HighestKnownLeader() replica.Leader {
	token, _, _ := e.storedToken() // storedToken logs its error; the token is then zero
	leader, _ := e.Leader()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.highestKnown.FencingToken > token.FencingToken || e.highestKnown.FencingToken == token.FencingToken && leader.FencingToken != token.FencingToken {
		return e.highestKnown
	}
	if leader.FencingToken == token.FencingToken {
		e.highestKnown = leader
	}
	return replica.Leader{Member: leader.Member, FencingToken: token.FencingToken}
}

// Leader returns the value of the leader key in this node's replica and the key's mod revision, which is 0 if there is
// no leader key.
func (e *Election) Leader() (leader replica.Leader, modRevision uint64) {
	modRevision, err := e.replica.Get(replica.LeaderKey, &leader)
	if err != nil {
		slog.Error("cannot decode the leader key, treating it as absent", "key", replica.LeaderKey, "error", err)
	}
	return leader, modRevision
}

// storedToken returns the highest fencing token issued according to this node's replica, and the mod revision of its
// key, which is 0 if no token was issued. The error, which is also logged, means that the stored value cannot be
// decoded.
func (e *Election) storedToken() (token replica.TokenRecord, modRevision uint64, err error) {
	modRevision, err = e.replica.Get(replica.TokenKey, &token)
	if err != nil {
		slog.Error("cannot decode the stored fencing token, this node cannot campaign", "key", replica.TokenKey, "error", err)
	}
	return token, modRevision, err
}
