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

// Times of forwarding, of the 4 s that a worker waits for the response to a heartbeat.
const (
	// forwardTimeout is how long a forwarded heartbeat waits for the leader's response.
	forwardTimeout = 2500 * micros.Millisecond
	// forwardTimeoutWithStandby is how long it waits with a warm standby, where it may be kept
	// for the next leader.
	forwardTimeoutWithStandby = 3500 * micros.Millisecond
	// forwardRetryInterval is the time between two attempts to have a heartbeat answered.
	forwardRetryInterval = 50 * micros.Millisecond
)

// forwarding decides which node takes a worker's heartbeats, and forwards them to the leader.
type forwarding struct {
	leader    leaderClient
	successor *successorForwarding // nil: without a warm standby
}

// canForward reports whether the leader answers this node.
func (f *forwarding) canForward() bool { return f.leader.peers.IsReachable(f.leader.member()) }

// timeout returns how long forwarded heartbeats wait for their responses.
func (f *forwarding) timeout() micros.Micros {
	if f.successor == nil {
		return forwardTimeout
	}
	return forwardTimeoutWithStandby
}

// forward has the leader answer an encoded heartbeat.
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

// forwarderFor returns the member that is to take a machine's heartbeats for this node, which
// leads; empty: this node must do it itself. All nodes share the work of the connections by
// rendezvous hashing, and the leader's share is its own work.
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

// successorForwarding forwards heartbeats with a warm standby: to the leader and, if that one
// ends or stops answering, to the next one.
type successorForwarding struct {
	member           string // this node
	election         *election.Election
	peers            *peer.Peers
	replica          *replica.Replica
	expectsSuccessor func() bool
	// respondLocally has this node's own leader answer.
	respondLocally func(heartbeat wire.RawMessage) (wire.RawMessage, error)
}

// forward has the leader answer a heartbeat, and if that one ends or stops answering, the next
// one. The worker waits for one response to its one heartbeat, and gets the one that is
// returned here: what the earlier leader may still respond is dropped. A worker that was
// rejected instead came back a second later, and one whose heartbeat was with a leader that
// had stopped answering after 2.5 s.
func (f *successorForwarding) forward(ctx context.Context, heartbeat wire.RawMessage) (wire.RawMessage, error) {
	firstToken := f.election.HighestKnownLeader().FencingToken
	for {
		known := f.election.HighestKnownLeader()
		response, err := f.forwardTo(ctx, known, heartbeat)
		if err == nil || ctx.Err() != nil {
			return response, err
		}
		// A leader whose term has just begun rejects heartbeats until it has read what is stored.
		rejected := errors.Is(err, peer.ErrRejected) || errors.Is(err, leader.ErrCannotRespond)
		if known.FencingToken == firstToken && (rejected || !f.expectsSuccessor()) {
			return nil, err
		}
		micros.Pause(ctx, forwardRetryInterval)
	}
}

// forwardTo has one leader answer a heartbeat, and gives up once a later one is known.
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
	// It ends with ctx at the latest, and nobody waits for it: it only reads and cancels.
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
