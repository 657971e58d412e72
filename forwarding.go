package caperlatch

import (
	"context"
	"errors"
	"hash/fnv"

	"caperlatch/internal/election"
	"caperlatch/internal/leader"
	"caperlatch/internal/micros"
	"caperlatch/internal/peer"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// Timeouts and interval of forwarding. A worker waits 4 s for the response to a heartbeat.
const (
	// forwardTimeout is how long a forwarded heartbeat waits for the leader's response.
	forwardTimeout = 2500 * micros.Millisecond
	// forwardTimeoutWithStandby is the same with a warm standby, where the heartbeat may be kept for the next leader.
	forwardTimeoutWithStandby = 3500 * micros.Millisecond
	// forwardRetryInterval is the time between two attempts to forward a heartbeat.
	forwardRetryInterval = 50 * micros.Millisecond
)

// forwarding decides which node receives a worker's heartbeats, and forwards heartbeats to the leader.
type forwarding struct {
	leader    leaderClient
	successor *successorForwarding // nil without a warm standby
}

// canForward reports whether the leader responds to this node.
func (f *forwarding) canForward() bool { return f.leader.peers.IsReachable(f.leader.member()) }

// timeout returns how long forwarded heartbeats wait for their responses.
func (f *forwarding) timeout() micros.Micros {
	if f.successor == nil {
		return forwardTimeout
	}
	return forwardTimeoutWithStandby
}

// forward forwards an encoded heartbeat to the leader and returns the encoded response.
func (f *forwarding) forward(ctx context.Context, heartbeat wire.RawMessage) (wire.RawMessage, error) {
	if f.successor != nil {
		return f.successor.forward(ctx, heartbeat)
	}
	client, err := f.leader.client()
	if err != nil {
		return nil, err
	}
	return client.ForwardHeartbeat(ctx, heartbeat)
}

// forwarderFor returns the member to which a machine's worker must send its heartbeats while this node leads, or "" if
// the worker must send them to this node. Rendezvous hashing distributes the workers' connections over the other nodes.
// The leader takes no share of them, because it has its own work.
func (f *forwarding) forwarderFor(machine string) string {
	best, bestWeight := "", uint32(0)
	for _, member := range f.leader.peers.Forwarders(f.leader.election.HighestKnownLeader().FencingToken) {
		hash := fnv.New32a()
		hash.Write([]byte(machine + " " + member))
		if weight := hash.Sum32(); best == "" || weight > bestWeight {
			best, bestWeight = member, weight
		}
	}
	return best
}

// successorForwarding forwards heartbeats with a warm standby. If the leader's term ends or the leader stops responding,
// it forwards the heartbeat to the next leader.
type successorForwarding struct {
	member           string // this node
	election         *election.Election
	peers            *peer.Peers
	replica          *replica.Replica
	expectsSuccessor func() bool
	// respondLocally returns the response of this node's own leader.
	respondLocally func(heartbeat wire.RawMessage) (wire.RawMessage, error)
}

// forward forwards a heartbeat to the leader or, if the leader's term ends or the leader stops responding, to the next
// leader. The worker receives exactly one response; a late response of the earlier leader is dropped. Without this, a
// worker whose heartbeat was rejected retried only after 1 s, and a worker whose heartbeat had gone to a leader that no
// longer responded retried only after 2.5 s.
func (f *successorForwarding) forward(ctx context.Context, heartbeat wire.RawMessage) (wire.RawMessage, error) {
	firstToken := f.election.HighestKnownLeader().FencingToken
	for {
		known := f.election.HighestKnownLeader()
		response, err := f.forwardTo(ctx, known, heartbeat)
		if err == nil || ctx.Err() != nil {
			return response, err
		}
		// A leader whose term has just begun rejects heartbeats until it has read the stored state.
		rejected := errors.Is(err, peer.ErrRejected) || errors.Is(err, leader.ErrCannotRespond)
		if known.FencingToken == firstToken && (rejected || !f.expectsSuccessor()) {
			return nil, err
		}
		micros.Pause(ctx, forwardRetryInterval)
	}
}

// forwardTo forwards a heartbeat to one leader, and gives up once a later leader is known.
func (f *successorForwarding) forwardTo(ctx context.Context, to replica.Leader, heartbeat wire.RawMessage) (wire.RawMessage, error) {
	if to.Member == f.member {
		return f.respondLocally(heartbeat)
	}
	client := f.peers.Client(to.Member)
	if client == nil {
		return nil, errNoLeader
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// This goroutine cancels the request once a later leader is known. It ends with ctx at the latest. No caller waits
	// for it, because it only reads and cancels.
	go func() {
		for ctx.Err() == nil && f.election.HighestKnownLeader().FencingToken <= to.FencingToken {
			select {
			case <-ctx.Done():
			case <-f.replica.Changed():
			}
		}
		cancel()
	}()
	return client.ForwardHeartbeat(ctx, heartbeat)
}
