package caperlatch

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"caperlatch/internal/election"
	"caperlatch/internal/leader"
	"caperlatch/internal/peer"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// Errors that users, operators or other nodes get as answers.
var (
	// ErrNotLeading is returned for what only the leader can do.
	ErrNotLeading = errors.New("not leading")
	errNoLeader   = errors.New("no leader known")
)

// localLeadership is this node's leader while it leads, and whether the leader is about to change.
// It owns how closely the replica follows the state service.
type localLeadership struct {
	replica *replica.Replica

	mu            sync.Mutex
	leader        *leader.Leader // nil while this node does not lead
	expectsChange bool           // of the leader, soon
}

// local returns this node's leader, nil while it does not lead.
func (l *localLeadership) local() *leader.Leader {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

// setLocal notes that this node leads, or with nil that it no longer does.
func (l *localLeadership) setLocal(local *leader.Leader) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = local
	l.setLatency()
}

// setExpectsChange notes whether the leader is about to change. This node then follows the
// state service as closely as a leader does.
func (l *localLeadership) setExpectsChange(expects bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expectsChange = expects
	l.setLatency()
}

// setLatency has the replica follow the state service as closely as is needed now; mu is held.
func (l *localLeadership) setLatency() {
	l.replica.SetLowLatency(l.leader != nil || l.expectsChange)
}

// respondToEncoded has this node's leader answer an encoded heartbeat.
func (l *localLeadership) respondToEncoded(encoded wire.RawMessage) (wire.RawMessage, error) {
	local := l.local()
	if local == nil {
		return nil, leader.ErrCannotRespond
	}
	var heartbeat wire.Heartbeat
	if err := wire.Unmarshal(encoded, &heartbeat); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	response, err := local.HandleHeartbeat(&heartbeat)
	if err != nil {
		return nil, err
	}
	return wire.Marshal(response)
}

// leaderClient sends requests to the leader, whichever node that is as far as is known here.
type leaderClient struct {
	election *election.Election
	peers    *peer.Peers
}

// member returns the member that leads as known here: by the state service or, when that
// cannot be reached, by a peer that knows of a higher fencing token.
func (c leaderClient) member() string { return c.election.HighestKnownLeader().Member }

// client returns the client of the leader. The error is errNoLeader if none is known, or if it
// is this node.
func (c leaderClient) client() (*peer.Client, error) {
	client := c.peers.Client(c.member())
	if client == nil {
		return nil, errNoLeader
	}
	return client, nil
}

// ask sends a request to the leader.
func (c leaderClient) ask(ctx context.Context, q peer.Request) (peer.Response, error) {
	client, err := c.client()
	if err != nil {
		return peer.Response{}, err
	}
	return client.Call(ctx, q)
}
