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
	probeInterval = 400 * micros.Millisecond
	probeTimeout  = 1200 * micros.Millisecond
	// AbstentionTTL is how long a node that abstains does not try to lead.
	AbstentionTTL = 1500 * micros.Millisecond
	// FreshWithin is how fresh contact with the state service counts.
	FreshWithin = 3 * micros.Second
	// forwarderFreshWithin is how fresh an answer must be for sending workers to a peer, or
	// for passing reports on to it.
	forwarderFreshWithin = 1500 * micros.Millisecond
)

// Peers keeps what the other nodes last answered about themselves.
type Peers struct {
	clients   map[string]*Client
	makeProbe func(told *micros.Micros) *Probe
	onState   func(s *NodeState) // called with each answer

	mu   sync.Mutex
	last map[string]lastResponse
}

// lastResponse is what a peer last answered; of one that never did it is zero.
type lastResponse struct {
	sentAt micros.Micros // when the peer was asked
	state  NodeState
	// highestToken is the highest token that the peer ever told, and since is when it first did.
	highestToken uint64
	highestSince micros.Micros
}

// isFreshWithin tells whether the answer was asked for at most age ago.
func (a *lastResponse) isFreshWithin(age micros.Micros) bool {
	return a.sentAt != 0 && a.sentAt > micros.Now()-age
}

// NewPeers keeps the answers of peers by member. It asks each with what probe returns, which
// notes in told what need not be sent to that peer again, and calls heard with each answer.
func NewPeers(clients map[string]*Client, probe func(told *micros.Micros) *Probe, heard func(*NodeState)) *Peers {
	return &Peers{clients: clients, makeProbe: probe, onState: heard, last: map[string]lastResponse{}}
}

// Run probes the peers until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for member, client := range p.clients {
		wg.Go(func() {
			defer client.Close()
			var told micros.Micros
			for ctx.Err() == nil {
				p.ask(ctx, member, client, &told)
				micros.Pause(ctx, probeInterval)
			}
		})
	}
	wg.Wait()
}

// ask probes one peer and keeps its answer.
func (p *Peers) ask(ctx context.Context, member string, client *Client, told *micros.Micros) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	sent := micros.Now()
	response, err := client.Call(ctx, Request{Probe: p.makeProbe(told)})
	if err != nil || response.NodeState == nil {
		slog.Debug("probe", "peer", member, "error", err)
		return
	}
	// What the peer tells is taken over before its answer counts: that stands for all
	// cancellations that the peer knows of.
	p.onState(response.NodeState)
	p.keep(member, sent, *response.NodeState)
}

// keep notes what a peer answered to a probe.
func (p *Peers) keep(member string, sent micros.Micros, state NodeState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.last[member]
	a.sentAt, a.state = sent, state
	if state.HighestToken > a.highestToken {
		a.highestToken, a.highestSince = state.HighestToken, micros.Now()
	}
	p.last[member] = a
}

// Client is the client of a member, if it is a peer.
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
// seen a token above mine, and had told of all cancellations that it knows; 0 if never.
// It stands for contact with the state service: only nodes tell users that
// jobs are cancelled, and only a node with a higher token may lead.
func (p *Peers) LastConfirmed(token uint64) micros.Micros {
	at := micros.Now()
	p.each(func(a *lastResponse) {
		if !a.state.Loaded || a.state.HighestToken > token || !a.state.CancellationsComplete {
			at = 0
		}
		at = min(at, a.sentAt)
	})
	return at
}

// AbstainingUntil is until when all peers abstain from trying to lead; 0 if they do
// not.
func (p *Peers) AbstainingUntil(token uint64) micros.Micros {
	until := micros.Now() + AbstentionTTL
	p.each(func(a *lastResponse) {
		life := a.state.AbstainFor
		if a.sentAt == 0 || !a.state.Loaded || a.state.HighestToken > token || life == 0 {
			until = 0
		}
		until = min(until, a.sentAt+life-micros.Drift(life))
	})
	return until
}

// TokenKnownSince is since when every peer has known a token: from then on none of
// them answers workers with a lower one, not even after a restart, which makes
// it forget the lower one as well. 0 if not all know it.
func (p *Peers) TokenKnownSince(token uint64) micros.Micros {
	since, all := micros.Micros(0), true
	p.each(func(a *lastResponse) {
		all = all && a.highestToken >= token
		since = max(since, a.highestSince)
	})
	if !all || since == 0 {
		return 0
	}
	return since
}

// Forwarders lists, by name, the peers that answered lately that they pass reports on to
// this node as the leader with a token.
func (p *Peers) Forwarders(token uint64) (members []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for member, a := range p.last {
		if a.isFreshWithin(forwarderFreshWithin) && a.state.Loaded && a.state.ForwardsHeartbeats && a.state.HighestToken == token {
			members = append(members, member)
		}
	}
	slices.Sort(members)
	return members
}

// AnyReachesStateService tells whether some peer has lately heard from the state service.
func (p *Peers) AnyReachesStateService() bool {
	some := false
	p.each(func(a *lastResponse) {
		some = some || a.isFreshWithin(FreshWithin) && a.state.Loaded && a.state.SinceStateService < FreshWithin
	})
	return some
}

// AnyResponds tells whether some peer has lately answered at all.
func (p *Peers) AnyResponds() bool {
	some := false
	p.each(func(a *lastResponse) { some = some || a.isFreshWithin(FreshWithin) })
	return some
}

// IsReachable tells whether a member answered lately.
func (p *Peers) IsReachable(member string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.last[member]
	return last.isFreshWithin(forwarderFreshWithin)
}
