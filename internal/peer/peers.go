package peer

import (
	"context"
	"log/slog"
	"slices"
	"sync"

	"caperlatch/internal/micros"
)

// Interval and timeouts of probes, and how long their responses count.
const (
	probeInterval = 400 * micros.Millisecond  // between a response, or a timeout, and the next probe
	probeTimeout  = 1200 * micros.Millisecond // for a response to a probe
	// AbstentionTTL is how long a node that abstains does not campaign for leadership.
	AbstentionTTL = 1500 * micros.Millisecond
	// ContactTimeout is the maximum age of the latest response of the state service for which it counts as reachable, and
	// of a peer for which it counts as responding.
	ContactTimeout = 3 * micros.Second
	// forwarderContactTimeout is the maximum age of a peer's latest response for which workers are redirected to the
	// peer or heartbeats are forwarded to it.
	forwarderContactTimeout = 1500 * micros.Millisecond
)

// Peers probes the other nodes and holds their latest responses. Its methods prove only what their comments state. All
// instants are readings of this node's steady clock. It is safe for concurrent use.
type Peers struct {
	clients   map[string]*Client // by member
	makeProbe func(sentCountsAsOf *micros.Micros) *Probe
	onState   func(*NodeState)

	mu   sync.Mutex
	last map[string]lastResponse // by member
}

// lastResponse is a peer's latest response. It is zero if the peer has never responded.
type lastResponse struct {
	sentAt micros.Micros // when the probe was sent, so state is not older
	state  NodeState
	// highestToken is the highest fencing token that the peer has ever reported, and highestSince is when it first did.
	highestToken uint64
	highestSince micros.Micros
}

// isNewerThan reports whether the probe was sent less than age ago.
func (r *lastResponse) isNewerThan(age micros.Micros) bool {
	return r.sentAt != 0 && r.sentAt > micros.Now()-age
}

// NewPeers returns the peers with the given clients, by member, and takes ownership of the clients. It sends the probes
// that makeProbe returns. makeProbe may store in sentCountsAsOf, which is zero at first and separate for each peer, the
// time of the task counts that it last sent to the peer, to avoid sending the same counts again. onState is called with
// the state in each response, before the response counts.
func NewPeers(clients map[string]*Client, makeProbe func(sentCountsAsOf *micros.Micros) *Probe, onState func(*NodeState)) *Peers {
	return &Peers{clients: clients, makeProbe: makeProbe, onState: onState, last: map[string]lastResponse{}}
}

// Run probes the peers until ctx ends, and then closes their clients.
func (p *Peers) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for member, client := range p.clients {
		wg.Go(func() {
			defer client.Close()
			var sentCountsAsOf micros.Micros
			for ctx.Err() == nil {
				p.probe(ctx, member, client, &sentCountsAsOf)
				micros.Pause(ctx, probeInterval)
			}
		})
	}
	wg.Wait()
}

// probe sends one probe to a peer and records the response.
func (p *Peers) probe(ctx context.Context, member string, client *Client, sentCountsAsOf *micros.Micros) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	sentAt := micros.Now()
	response, err := client.Call(ctx, Request{Probe: p.makeProbe(sentCountsAsOf)})
	if err != nil || response.NodeState == nil {
		slog.Debug("probe failed", "peer", member, "error", err)
		return
	}
	// The peer's state is applied before its response counts, because the response proves that this node has received
	// all cancellations that the peer knows of.
	p.onState(response.NodeState)
	p.recordResponse(member, sentAt, *response.NodeState)
}

// recordResponse records a peer's response to a probe.
func (p *Peers) recordResponse(member string, sentAt micros.Micros, state NodeState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.last[member]
	last.sentAt, last.state = sentAt, state
	if state.HighestToken > last.highestToken {
		last.highestToken, last.highestSince = state.HighestToken, micros.Now()
	}
	p.last[member] = last
}

// Client returns the client of a member, or nil if the member is not a peer.
func (p *Peers) Client(member string) *Client { return p.clients[member] }

// forEachLastResponse calls f with the latest response of every peer.
func (p *Peers) forEachLastResponse(f func(*lastResponse)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for member := range p.clients {
		last := p.last[member]
		f(&last)
	}
}

// LastConfirmed returns the latest instant at which every peer was known not to have seen a fencing token higher than
// the given one, and to have sent all cancellations that it knows; 0 if there is none. It can replace contact with the
// state service: only nodes confirm cancellations to users, and only a node with a higher token may lead.
func (p *Peers) LastConfirmed(token uint64) micros.Micros {
	at := micros.Now()
	p.forEachLastResponse(func(last *lastResponse) {
		if !last.state.Loaded || last.state.HighestToken > token || !last.state.CancellationsComplete {
			at = 0
		}
		at = min(at, last.sentAt)
	})
	return at
}

// AbstainingUntil returns the instant until which all peers abstain from campaigning, reduced by the maximum clock
// drift. It returns 0 if a peer does not abstain or knows a fencing token higher than the given one.
func (p *Peers) AbstainingUntil(token uint64) micros.Micros {
	until := micros.Now() + AbstentionTTL
	p.forEachLastResponse(func(last *lastResponse) {
		abstainFor := last.state.AbstainFor
		if last.sentAt == 0 || !last.state.Loaded || last.state.HighestToken > token || abstainFor == 0 {
			until = 0
		}
		until = min(until, last.sentAt+abstainFor-micros.MaxClockDrift(abstainFor))
	})
	return until
}

// TokenKnownSince returns the instant since which every peer has known the given fencing token or a higher one; 0 if a
// peer does not know it. From then on no peer answers workers with a lower token, not even after a restart, because a
// restarted peer has forgotten the lower token too.
func (p *Peers) TokenKnownSince(token uint64) micros.Micros {
	since, allKnow := micros.Micros(0), true
	p.forEachLastResponse(func(last *lastResponse) {
		allKnow = allKnow && last.highestToken >= token
		since = max(since, last.highestSince)
	})
	if !allKnow || since == 0 {
		return 0
	}
	return since
}

// Forwarders returns the members, sorted by name, that recently reported that they forward heartbeats to this node as
// the leader with the given fencing token.
func (p *Peers) Forwarders(token uint64) (members []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for member, last := range p.last {
		if last.isNewerThan(forwarderContactTimeout) && last.state.Loaded && last.state.ForwardsHeartbeats && last.state.HighestToken == token {
			members = append(members, member)
		}
	}
	slices.Sort(members)
	return members
}

// AnyReachesStateService reports whether at least one peer that has responded within ContactTimeout reported that it had
// reached the state service within ContactTimeout.
func (p *Peers) AnyReachesStateService() bool {
	reaches := false
	p.forEachLastResponse(func(last *lastResponse) {
		reaches = reaches || last.isNewerThan(ContactTimeout) && last.state.Loaded && last.state.SinceStateService < ContactTimeout
	})
	return reaches
}

// AnyResponds reports whether at least one peer has responded within ContactTimeout.
func (p *Peers) AnyResponds() bool {
	responds := false
	p.forEachLastResponse(func(last *lastResponse) { responds = responds || last.isNewerThan(ContactTimeout) })
	return responds
}

// IsReachable reports whether a member has responded recently enough for heartbeats to be forwarded to it.
func (p *Peers) IsReachable(member string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.last[member]
	return last.isNewerThan(forwarderContactTimeout)
}
