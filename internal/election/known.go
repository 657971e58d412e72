package election

import (
	"log/slog"

	"caperlatch/internal/replica"
)

// ObserveToken notes the highest token that a peer knows, and the member whose token that is.
func (e *Election) ObserveToken(token uint64, member string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if token > e.highestKnown.FencingToken {
		e.highestKnown = replica.Leader{Member: member, FencingToken: token}
	}
}

// HighestKnownLeader is the member with the highest fencing token known here, from the state service or from a
// peer. Its term may be over, and Member is empty if it is not known. SessionID is not always set.
func (e *Election) HighestKnownLeader() replica.Leader {
	token, _, _ := e.storedToken() // an error is logged, and stands for no token
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

// Leader is the content of the leader key as known here, and the key's mod revision: 0 if there is no leader key.
func (e *Election) Leader() (leader replica.Leader, modRevision uint64) {
	modRevision, err := e.replica.Get(replica.LeaderKey, &leader)
	if err != nil {
		slog.Error("leader key unreadable", "key", replica.LeaderKey, "error", err)
	}
	return leader, modRevision
}

// storedToken is the highest fencing token given out as known here, and the mod revision of its key: 0 if none was.
// Its error, which is logged, says that the stored value is unreadable.
func (e *Election) storedToken() (token replica.TokenRecord, modRevision uint64, err error) {
	modRevision, err = e.replica.Get(replica.TokenKey, &token)
	if err != nil {
		slog.Error("fencing token unreadable", "key", replica.TokenKey, "error", err)
	}
	return token, modRevision, err
}
