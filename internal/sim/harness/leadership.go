package harness

import (
	"errors"
	"fmt"
	"time"

	"caperlatch/internal/replica"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// ErrNoLeader is returned if no node becomes the leader in time.
var ErrNoLeader = errors.New("no node became the leader in time")

// AwaitLeader polls at most maxLeaderPolls times, every leaderPollInterval, and AwaitLeaderAfter at most
// maxNextLeaderPolls times, every shortPollInterval.
const (
	maxLeaderPolls     = 100
	leaderPollInterval = 200 * time.Millisecond
	maxNextLeaderPolls = 200
	shortPollInterval  = 50 * time.Millisecond
)

// MemberFormat is the format of member names of nodes.
const MemberFormat = "host-%d"

// noNode is the node index that stands for no node.
const noNode = -1

// Leadership reads from the state service which node is the leader. It has no lock of its own.
type Leadership struct{ State *fake.StateService }

// CurrentLeader returns the index of the node that is the leader, or -1 if there is none.
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

// AwaitLeader waits until a node is the leader, and returns its index.
func (l Leadership) AwaitLeader() (node int, err error) {
	for range maxLeaderPolls {
		if node := l.CurrentLeader(); node != noNode {
			return node, nil
		}
		time.Sleep(leaderPollInterval)
	}
	return noNode, ErrNoLeader
}

// FencingToken returns the highest fencing token that has been issued; 0 if none has.
func (l Leadership) FencingToken() uint64 {
	var record replica.TokenRecord
	if e, ok := l.State.Get(replica.TokenKey); !ok || wire.Unmarshal(e.Value, &record) != nil {
		return 0
	}
	return record.FencingToken
}

// AwaitLeaderAfter waits until a node is the leader in a later term than the one with the given fencing token.
func (l Leadership) AwaitLeaderAfter(fencingToken uint64) error {
	for range maxNextLeaderPolls {
		if _, ok := l.State.Get(replica.LeaderKey); ok && l.FencingToken() > fencingToken {
			return nil
		}
		time.Sleep(shortPollInterval)
	}
	return ErrNoLeader
}
