package peer

import (
	"context"
	"log/slog"
	"slices"
	"sync"

	"caperlatch/internal/micros"
)

// Times of probing.
const (
	probeInterval = 400 * micros.Millisecond // between a response, or its timeout, and the next probe
	probeTimeout  = 1200 * micros.Millisecond
	// AbstentionTTL is how long a node that abstains does not campaign.
	AbstentionTTL = 1500 * micros.Millisecond
	// ContactTimeout is how old the last sign of the state service, or of a peer, may be for it to count as in contact.
	ContactTimeout = 3 * micros.Second
	// forwarderFreshWithin is how old a peer's response may be for sending workers to the peer, or
	// for forwarding heartbeats to it.
	forwarderFreshWithin = 1500 * micros.Millisecond
)

// Peers keeps what the other nodes last answered about themselves. Its answers are proofs only as far as their
// comments say; all instants are of this node's steady clock. It is safe for concurrent use.
type Peers struct {
	clients   map[string]*Client // by member
	makeProbe func(sent *micros.Micros) *Probe
	onState   func(*NodeState)

	mu   sync.Mutex
	last map[string]lastResponse // by member
}

// lastResponse is what a peer last answered; of one that never did it is zero.
type lastResponse struct {
	sentAt micros.Micros // when the probe was sent; the state is no older
	state  NodeState
	// highestToken is the highest token that the peer ever answered with, and highestSince is when it first did.
	highestToken uint64
	highestSince micros.Micros
}

// isFreshWithin reports whether the probe was sent less than age ago.
func (r *lastResponse) isFreshWithin(age micros.Micros) bool {
	return r.sentAt != 0 && r.sentAt > micros.Now()-age
}

// NewPeers keeps the answers of peers, whose clients are given by member and become its own. It sends each what
// makeProbe returns, which may keep in sent, one for each peer and zero at first, as of when it sent that peer
// what need not be sent again. It calls onState with each answer, before the answer counts.
func NewPeers(clients map[string]*Client, makeProbe func(sent *micros.Micros) *Probe, onState func(*NodeState)) *Peers {
	return &Peers{clients: clients, makeProbe: makeProbe, onState: onState, last: map[string]lastResponse{}}
}

// Run probes the peers until ctx ends, and closes their clients.
func (p *Peers) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for member, client := range p.clients {
		wg.Go(func() {
			defer client.Close()
			var sent micros.Micros
			for ctx.Err() == nil {
				p.probe(ctx, member, client, &sent)
				micros.Pause(ctx, probeInterval)
			}
		})
	}
	wg.Wait()
}

// probe probes one peer and keeps its answer.
func (p *Peers) probe(ctx context.Context, member string, client *Client, sent *micros.Micros) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	sentAt := micros.Now()
	response, err := client.Call(ctx, Request{Probe: p.makeProbe(sent)})
	if err != nil || response.NodeState == nil {
		slog.Debug("probe failed", "peer", member, "error", err)
		return
	}
	// What the peer passes on is taken over before its answer counts: that stands for all
	// cancellations that the peer knows of.
	p.onState(response.NodeState)
	p.keep(member, sentAt, *response.NodeState)
}

// keep notes what a peer answered to a probe.
func (p *Peers) keep(member string, sentAt micros.Micros, state NodeState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.last[member]
	last.sentAt, last.state = sentAt, state
	if state.HighestToken > last.highestToken {
		last.highestToken, last.highestSince = state.HighestToken, micros.Now()
	}
	p.last[member] = last
}

// Client is the client of a member, nil if it is no peer.
func (p *Peers) Client(member string) *Client { return p.clients[member] }

// each calls f with the last answer of every peer.
func (p *Peers) each(f func(*lastResponse)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for member := range p.clients {
		last := p.last[member]
		f(&last)
	}
}

// LastConfirmed is the latest instant at which every peer was known not to have
// seen a token above this one, and had passed on all cancellations that it knows; 0 if never.
// It stands for contact with the state service: only nodes confirm to users that
// jobs are cancelled, and only a node with a higher token may lead.
func (p *Peers) LastConfirmed(token uint64) micros.Micros {
	at := micros.Now()
	p.each(func(last *lastResponse) {
		if !last.state.Loaded || last.state.HighestToken > token || !last.state.CancellationsComplete {
			at = 0
		}
		at = min(at, last.sentAt)
	})
	return at
}

// AbstainingUntil is until when all peers abstain from campaigning, less clock drift; 0 if one does
// not, or knows a token above this one.
func (p *Peers) AbstainingUntil(token uint64) micros.Micros {
	until := micros.Now() + AbstentionTTL
	p.each(func(last *lastResponse) {
		abstainFor := last.state.AbstainFor
		if last.sentAt == 0 || !last.state.Loaded || last.state.HighestToken > token || abstainFor == 0 {
			until = 0
		}
		until = min(until, last.sentAt+abstainFor-micros.MaxClockDrift(abstainFor))
	})
	return until
}

// TokenKnownSince is since when every peer has known a token: from then on none of
// them answers workers with a lower one, not even after a restart, which makes
// it forget the lower one as well. 0 if not all know it.
func (p *Peers) TokenKnownSince(token uint64) micros.Micros {
	since, allKnow := micros.Micros(0), true
	p.each(func(last *lastResponse) {
		allKnow = allKnow && last.highestToken >= token
		since = max(since, last.highestSince)
	})
	if !allKnow || since == 0 {
		return 0
	}
	return since
}

// Forwarders lists, by name, the peers that answered lately that they forward heartbeats to
// this node as the leader with a token.
func (p *Peers) Forwarders(token uint64) (members []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for member, last := range p.last {
		if last.isFreshWithin(forwarderFreshWithin) && last.state.Loaded && last.state.ForwardsHeartbeats && last.state.HighestToken == token {
			members = append(members, member)
		}
	}
	slices.Sort(members)
	return members
}

// AnyReachesStateService reports whether the state service has answered some peer lately.
func (p *Peers) AnyReachesStateService() bool {
	reaches := false
	p.each(func(last *lastResponse) {
		reaches = reaches || last.isFreshWithin(ContactTimeout) && last.state.Loaded && last.state.SinceStateService < ContactTimeout
	})
	return reaches
}

// AnyResponds reports whether some peer has answered lately.
func (p *Peers) AnyResponds() bool {
	responds := false
	p.each(func(last *lastResponse) { responds = responds || last.isFreshWithin(ContactTimeout) })
	return responds
}

// IsReachable reports whether a member answered so lately that heartbeats may be forwarded to it.
func (p *Peers) IsReachable(member string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.last[member]
	return last.isFreshWithin(forwarderFreshWithin)
}
