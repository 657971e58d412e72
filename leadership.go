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

// Errors that are returned to users, operators or other nodes.
var (
	// ErrNotLeading means that only the leader can serve the request, and this node does not lead.
	ErrNotLeading = errors.New("not leading")
	// errNoLeader means that no other node is known to lead.
	errNoLeader = errors.New("no leader known")
)

// localLeadership holds this node's leader while this node leads, and whether the leader is about to change. It owns the
// decision whether the replica follows the state service with low latency.
type localLeadership struct {
	replica *replica.Replica

	mu            sync.Mutex
	leader        *leader.Leader // nil while this node does not lead
	expectsChange bool           // whether the leader is expected to change soon
}

// localLeader returns this node's leader, or nil while this node does not lead.
func (l *localLeadership) localLeader() *leader.Leader {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

// setLocalLeader records this node's leader, or with nil that this node no longer leads.
func (l *localLeadership) setLocalLeader(localLeader *leader.Leader) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = localLeader
	l.updateReplicaLatency()
}

// setExpectsChange records whether the leader is about to change. While it is, the replica follows the state service
// with the same low latency as on the leader.
func (l *localLeadership) setExpectsChange(expects bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expectsChange = expects
	l.updateReplicaLatency()
}

// updateReplicaLatency sets whether the replica follows the state service with low latency. The caller must hold mu.
func (l *localLeadership) updateReplicaLatency() {
	l.replica.SetLowLatency(l.leader != nil || l.expectsChange)
}

// respondToEncodedHeartbeat returns the encoded response of this node's leader to an encoded heartbeat.
func (l *localLeadership) respondToEncodedHeartbeat(encoded wire.RawMessage) (wire.RawMessage, error) {
	localLeader := l.localLeader()
	if localLeader == nil {
		return nil, leader.ErrCannotRespond
	}
	heartbeat, err := wire.ParseHeartbeat(encoded)
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	response, err := localLeader.HandleHeartbeat(heartbeat)
	if err != nil {
		return nil, err
	}
	return wire.Marshal(response)
}

// leaderClient sends requests to the node that leads as known to this node.
type leaderClient struct {
	election *election.Election
	peers    *peer.Peers
}

// member returns the member that leads as known to this node: from the state service or, if that is not reachable, from
// a peer that knows a higher fencing token.
func (c leaderClient) member() string { return c.election.HighestKnownLeader().Member }

// client returns the client of the leader. It fails with errNoLeader if no leader is known, or if this node leads.
func (c leaderClient) client() (*peer.Client, error) {
	client := c.peers.Client(c.member())
	if client == nil {
		return nil, errNoLeader
	}
	return client, nil
}

// call sends a request to the leader and returns the response.
func (c leaderClient) call(ctx context.Context, q peer.Request) (peer.Response, error) {
	client, err := c.client()
	if err != nil {
		return peer.Response{}, err
	}
	return client.Call(ctx, q)
}
