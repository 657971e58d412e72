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
	// PromiseLife is how long a node that promises so does not try to lead.
	PromiseLife = 1500 * micros.Millisecond
	// HeardWithin is how fresh contact with the state service counts.
	HeardWithin = 3 * micros.Second
	// frontWithin is how fresh a word must be for sending workers to a peer, or
	// for passing reports on to it.
	frontWithin = 1500 * micros.Millisecond
)

// Cohort keeps what the peers last said of themselves.
type Cohort struct {
	clients map[string]*Client
	probe   func(told *micros.Micros) *Probe
	heard   func(s *State) // called with each answer

	mu   sync.Mutex
	last map[string]said
}

// said is what a peer last told.
type said struct {
	sent  micros.Micros // when it was asked
	state State
	// known is the highest token that it ever told, and since when.
	known uint64
	since micros.Micros
}

// NewCohort makes a cohort of peers by member.
func NewCohort(clients map[string]*Client, probe func(told *micros.Micros) *Probe, heard func(*State)) *Cohort {
	return &Cohort{clients: clients, probe: probe, heard: heard, last: map[string]said{}}
}

// Run probes the peers until ctx ends.
func (c *Cohort) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for member, client := range c.clients {
		wg.Go(func() {
			defer client.Close()
			var told micros.Micros // of what need not be said to it again
			for ctx.Err() == nil {
				c.ask(ctx, member, client, &told)
				micros.Pause(ctx, probeEvery)
			}
		})
	}
	wg.Wait()
}

// ask probes one peer and keeps its answer.
func (c *Cohort) ask(ctx context.Context, member string, client *Client, told *micros.Micros) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	sent := micros.Now()
	a, err := client.Ask(ctx, Request{Probe: c.probe(told)})
	if err != nil || a.State == nil {
		slog.Debug("probe", "peer", member, "error", err)
		return
	}
	// What it tells is taken over before its word counts: the word stands for all
	// cancellations that it knows of.
	c.heard(a.State)
	c.mu.Lock()
	s := c.last[member]
	s.sent, s.state = sent, *a.State
	if s.state.Token > s.known {
		s.known, s.since = s.state.Token, micros.Now()
	}
	c.last[member] = s
	c.mu.Unlock()
}

// Client is the client of a member, if it is a peer.
func (c *Cohort) Client(member string) *Client { return c.clients[member] }

// each calls f with the last word of every peer; one that never spoke has a
// zero time.
func (c *Cohort) each(f func(said)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for member := range c.clients {
		f(c.last[member])
	}
}

// Confirmed is the latest instant at which every peer was known not to have
// seen a token above mine, and had told of all cancellations that it knows; 0 if never.
// It stands for contact with the state service: only nodes tell users that
// jobs are cancelled, and only a node with a higher token may lead.
func (c *Cohort) Confirmed(token uint64) micros.Micros {
	at := micros.Now()
	c.each(func(s said) {
		if !s.state.Loaded || s.state.Token > token || !s.state.Whole {
			at = 0
		}
		at = min(at, s.sent)
	})
	return at
}

// Promised is until when all peers promise not to try to lead; 0 if they do
// not.
func (c *Cohort) Promised(token uint64) micros.Micros {
	until := micros.Now() + PromiseLife
	c.each(func(s said) {
		if s.sent == 0 || !s.state.Loaded || s.state.Token > token || s.state.Promise == 0 {
			until = 0
		}
		until = min(until, s.sent+s.state.Promise-micros.Drift(s.state.Promise))
	})
	return until
}

// KnownSince is since when every peer has known a token: from then on none of
// them answers workers with a lower one, not even after a restart, which makes
// it forget the lower one as well. 0 if not all know it.
func (c *Cohort) KnownSince(token uint64) micros.Micros {
	since, all := micros.Micros(0), true
	c.each(func(s said) {
		all = all && s.known >= token
		since = max(since, s.since)
	})
	if !all || since == 0 {
		return 0
	}
	return since
}

// Fronts lists, by name, the peers that lately said that they pass reports on to
// this node as the leader with a token.
func (c *Cohort) Fronts(token uint64) (members []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for member, s := range c.last {
		if s.sent > micros.Now()-frontWithin && s.state.Loaded && s.state.Fronts && s.state.Token == token {
			members = append(members, member)
		}
	}
	slices.Sort(members)
	return members
}

// InContact tells whether some peer has lately heard from the state service.
func (c *Cohort) InContact() bool {
	now, some := micros.Now(), false
	c.each(func(s said) {
		if s.sent > now-HeardWithin && s.state.Loaded && s.state.SinceHeard < HeardWithin {
			some = true
		}
	})
	return some
}

// Heard tells whether some peer has lately answered at all.
func (c *Cohort) Heard() bool {
	now, some := micros.Now(), false
	c.each(func(s said) { some = some || s.sent != 0 && s.sent > now-HeardWithin })
	return some
}

// Reachable tells whether a member answered lately.
func (c *Cohort) Reachable(member string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last[member].sent > micros.Now()-frontWithin
}
