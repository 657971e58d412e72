package harness

import (
	"errors"
	"fmt"
	"time"

	"caperlatch/internal/replica"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// ErrNoLeader says that no node led in time.
var ErrNoLeader = errors.New("nobody leads")

// How often, and after what pauses, a leader is awaited.
const (
	leaderPolls        = 100
	leaderPollInterval = 200 * time.Millisecond
	nextLeaderPolls    = 200
	nextPollInterval   = 50 * time.Millisecond
)

// MemberFormat is the form of nodes' names.
const MemberFormat = "host-%d"

// noNode is the index of no node.
const noNode = -1

// Leadership reads from the state service who leads. It takes no lock of its own.
type Leadership struct{ State *fake.StateService }

// CurrentLeader returns the index of the node that leads, -1 if none does.
func (l Leadership) CurrentLeader() int {
	var leader replica.Leader
	node := noNode
	if e, ok := l.State.Get(replica.LeaderKey); ok && wire.Unmarshal(e.Value, &leader) == nil {
		if _, err := fmt.Sscanf(leader.Member, MemberFormat, &node); err != nil {
			return noNode
		}
	}
	return node
}

// AwaitLeader waits until a node leads, and returns its index.
func (l Leadership) AwaitLeader() (node int, err error) {
	for range leaderPolls {
		if node := l.CurrentLeader(); node != noNode {
			return node, nil
		}
		time.Sleep(leaderPollInterval)
	}
	return noNode, ErrNoLeader
}

// FencingToken returns the highest fencing token that was given out; 0 if none was.
func (l Leadership) FencingToken() uint64 {
	var record replica.TokenRecord
	if e, ok := l.State.Get(replica.TokenKey); !ok || wire.Unmarshal(e.Value, &record) != nil {
		return 0
	}
	return record.FencingToken
}

// AwaitLeaderAfter waits until a node leads in a later term than the one with this fencing token.
func (l Leadership) AwaitLeaderAfter(fencingToken uint64) error {
	for range nextLeaderPolls {
		if _, ok := l.State.Get(replica.LeaderKey); ok && l.FencingToken() > fencingToken {
			return nil
		}
		time.Sleep(nextPollInterval)
	}
	return ErrNoLeader
}
