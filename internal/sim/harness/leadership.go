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

// How often and how long it is looked who leads.
const (
	leaderLooks = 100
	leaderPause = 200 * time.Millisecond
	nextLooks   = 200
	nextPause   = 50 * time.Millisecond
)

// MemberFormat is the form of nodes' names.
const MemberFormat = "host-%d"

// Leadership tells who leads, as the state service has it.
type Leadership struct{ State *fake.StateService }

// Current is the index of the node that the state service names, -1 if it names none.
func (l Leadership) Current() int {
	var leader replica.Leader
	node := -1
	if e, ok := l.State.Get(replica.LeaderKey); ok && wire.Unmarshal(e.Value, &leader) == nil {
		if _, err := fmt.Sscanf(leader.Member, MemberFormat, &node); err != nil {
			return -1
		}
	}
	return node
}

// AwaitLeader waits until a node leads.
func (l Leadership) AwaitLeader() (node int, err error) {
	for range leaderLooks {
		if node := l.Current(); node >= 0 {
			return node, nil
		}
		time.Sleep(leaderPause)
	}
	return -1, ErrNoLeader
}

// FencingToken is the highest token given out, as stored; 0 if there is none.
func (l Leadership) FencingToken() uint64 {
	var n replica.TokenRecord
	if e, ok := l.State.Get(replica.TokenKey); !ok || wire.Unmarshal(e.Value, &n) != nil {
		return 0
	}
	return n.FencingToken
}

// AwaitLeaderAfter waits until another leader leads than the one with this token.
func (l Leadership) AwaitLeaderAfter(token uint64) error {
	for range nextLooks {
		if _, ok := l.State.Get(replica.LeaderKey); ok && l.FencingToken() > token {
			return nil
		}
		time.Sleep(nextPause)
	}
	return ErrNoLeader
}
