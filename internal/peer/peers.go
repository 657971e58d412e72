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
	probeEvery   = 400 * micros.Millisecond
	probeTimeout = 1200 * micros.Millisecond
	// PromiseLife is how long a node that abstains does not try to lead.
	PromiseLife = 1500 * micros.Millisecond
	// HeardWithin is how fresh contact with the state service counts.
	HeardWithin = 3 * micros.Second
	// frontWithin is how fresh an answer must be for sending workers to a peer, or
	// for passing reports on to it.
	frontWithin = 1500 * micros.Millisecond
)

// Peers keeps what the other nodes last answered about themselves.
type Peers struct {
	clients map[string]*Client
	probe   func(told *micros.Micros) *Probe
	heard   func(s *State) // called with each answer

	mu   sync.Mutex
	last map[string]lastAnswer
}

// lastAnswer is what a peer last answered; of one that never did it is zero.
type lastAnswer struct {
	sent  micros.Micros // when the peer was asked
	state State
	// highest is the highest token that the peer ever told, and since is when it first did.
	highest uint64
	since   micros.Micros
}

// freshWithin tells whether the answer was asked for at most age ago.
func (a *lastAnswer) freshWithin(age micros.Micros) bool {
	return a.sent != 0 && a.sent > micros.Now()-age
}

// NewPeers keeps the answers of peers by member. It asks each with what probe returns, which
// notes in told what need not be sent to that peer again, and calls heard with each answer.
func NewPeers(clients map[string]*Client, probe func(told *micros.Micros) *Probe, heard func(*State)) *Peers {
	return &Peers{clients: clients, probe: probe, heard: heard, last: map[string]lastAnswer{}}
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
				micros.Pause(ctx, probeEvery)
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
	response, err := client.Ask(ctx, Request{Probe: p.probe(told)})
	if err != nil || response.State == nil {
		slog.Debug("probe", "peer", member, "error", err)
		return
	}
	// What the peer tells is taken over before its answer counts: that stands for all
	// cancellations that the peer knows of.
	p.heard(response.State)
	p.keep(member, sent, *response.State)
}

// keep notes what a peer answered to a probe.
func (p *Peers) keep(member string, sent micros.Micros, state State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.last[member]
	a.sent, a.state = sent, state
	if state.Token > a.highest {
		a.highest, a.since = state.Token, micros.Now()
	}
	p.last[member] = a
}

// Client is the client of a member, if it is a peer.
func (p *Peers) Client(member string) *Client { return p.clients[member] }

// each calls f with the last answer of every peer.
func (p *Peers) each(f func(*lastAnswer)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for member := range p.clients {
		last := p.last[member]
		f(&last)
	}
}

// Confirmed is the latest instant at which every peer was known not to have
// seen a token above mine, and had told of all cancellations that it knows; 0 if never.
// It stands for contact with the state service: only nodes tell users that
// jobs are cancelled, and only a node with a higher token may lead.
func (p *Peers) Confirmed(token uint64) micros.Micros {
	at := micros.Now()
	p.each(func(a *lastAnswer) {
		if !a.state.Loaded || a.state.Token > token || !a.state.Whole {
			at = 0
		}
		at = min(at, a.sent)
	})
	return at
}

// AbstainUntil is until when all peers abstain from trying to lead; 0 if they do
// not.
func (p *Peers) AbstainUntil(token uint64) micros.Micros {
	until := micros.Now() + PromiseLife
	p.each(func(a *lastAnswer) {
		life := a.state.Promise
		if a.sent == 0 || !a.state.Loaded || a.state.Token > token || life == 0 {
			until = 0
		}
		until = min(until, a.sent+life-micros.Drift(life))
	})
	return until
}

// KnownSince is since when every peer has known a token: from then on none of
// them answers workers with a lower one, not even after a restart, which makes
// it forget the lower one as well. 0 if not all know it.
func (p *Peers) KnownSince(token uint64) micros.Micros {
	since, all := micros.Micros(0), true
	p.each(func(a *lastAnswer) {
		all = all && a.highest >= token
		since = max(since, a.since)
	})
	if !all || since == 0 {
		return 0
	}
	return since
}

// Fronts lists, by name, the peers that answered lately that they pass reports on to
// this node as the leader with a token.
func (p *Peers) Fronts(token uint64) (members []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for member, a := range p.last {
		if a.freshWithin(frontWithin) && a.state.Loaded && a.state.Fronts && a.state.Token == token {
			members = append(members, member)
		}
	}
	slices.Sort(members)
	return members
}

// InContact tells whether some peer has lately heard from the state service.
func (p *Peers) InContact() bool {
	some := false
	p.each(func(a *lastAnswer) {
		some = some || a.freshWithin(HeardWithin) && a.state.Loaded && a.state.SinceHeard < HeardWithin
	})
	return some
}

// Heard tells whether some peer has lately answered at all.
func (p *Peers) Heard() bool {
	some := false
	p.each(func(a *lastAnswer) { some = some || a.freshWithin(HeardWithin) })
	return some
}

// Reachable tells whether a member answered lately.
func (p *Peers) Reachable(member string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.last[member]
	return last.freshWithin(frontWithin)
}
