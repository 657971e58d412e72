// Package zoning carries out the policy on zones: it gathers the evidence, closes and opens machines, and says
// what the policy comes to for launches, for jobs, and for what operators and users are shown.
//
// It owns the counters of what happened in each zone during the term, which machines are closed, and what is
// stored of zones. The policy itself is zone.Policy. Nothing here proves that a task has ended: a decision
// orders, paces and launches, and must never allow a start elsewhere. What runs on a closed machine runs on.
//
// Its methods are called with the leader's lock held.
package zoning

import (
	"log/slog"
	"math"

	"caperlatch/internal/leader/eventlog"
	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/persist"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/zone"
)

// Config is what the zones of a term work with. The functions are called with the lock held.
type Config struct {
	// Policy decides on zones; nil: the default policy.
	Policy  zone.Policy
	Fleet   *fleet.Fleet
	Replica *replica.Replica
	Writes  *persist.Queue
	Events  *eventlog.Log
	// ValueFits reports whether a value may be stored under one key at any time.
	ValueFits func(v any) bool
	// TermStartedAt is when the term started: a machine's silence counts from then at the earliest.
	TermStartedAt micros.Micros
	// HeartbeatInterval is the usual time between a worker's heartbeats.
	HeartbeatInterval micros.Micros
	// LeaseExpiry is when a machine's lease has expired if no response renews it.
	LeaseExpiry func(m *state.Machine) micros.Micros
	// Offerings lists what could be launched for a job.
	Offerings func(j *state.Job) []state.Offering
	// IsIsolated reports whether this node reaches neither the state service nor most of its peers;
	// nil: it is not known.
	IsIsolated func() bool
	// OnChange is called when a machine was closed or opened.
	OnChange func()
}

// Zones are the zones of one term.
type Zones struct {
	Config
	counters    map[string]*counters // by zone
	anyClosed   bool                 // some machines are closed to work that is not bound to their zone
	anyReplaced bool                 // some machines are to be replaced in other zones
}

// counters counts what happened in a zone during this term. See zone.Evidence and zone.WorkStatus.
type counters struct {
	relapses, startsSent, startsSeen int
	displaced, moved, restarted      map[string]int // tasks by class
}

// New makes the zones of a term, of which nothing has been observed yet.
func New(c Config) *Zones {
	if c.Policy == nil {
		c.Policy = zone.NewThresholdPolicy()
	}
	return &Zones{Config: c, counters: map[string]*counters{}}
}

// countersOf are those of a machine's zone.
func (z *Zones) countersOf(m *state.Machine) *counters {
	name := m.Offering.Zone
	c := z.counters[name]
	if c == nil {
		c = &counters{displaced: map[string]int{}, moved: map[string]int{}, restarted: map[string]int{}}
		z.counters[name] = c
	}
	return c
}

// Observe shows the policy the machines as they are, carries out what it decides, and has a change stored.
func (z *Zones) Observe(now micros.Micros) {
	evidence := z.evidence(now)
	transitions := z.Policy.Observe(now, zone.Observation{Zones: evidence, ObserverIsolated: z.IsIsolated != nil && z.IsIsolated()})
	for _, t := range transitions {
		z.applyTransition(t)
	}
	z.applyDecisions(evidence)
	if len(transitions) > 0 && z.Policy.Record(now, micros.Wall()) != nil {
		z.Writes.Enqueue(replica.ZonesKey)
		z.Writes.Wake()
	}
}

// applyTransition logs a transition. After a loss, no earlier heartbeat is evidence of a return.
func (z *Zones) applyTransition(t zone.Transition) {
	e := t.Evidence
	slog.Info("zone changed state", "zone", t.Zone, "from", t.From.String(), "to", t.To.String(), "step", t.Step, "reason", string(t.Reason),
		"running", e.Running, "late", e.Late, "silent", e.Silent, "lost_responses", e.LostResponses, "unlisted", e.Unlisted, "quarantined", e.Quarantined, "recovered", e.Recovered)
	if t.To != zone.FullDisruption || t.From == zone.FullDisruption {
		return
	}
	for _, m := range z.Fleet.Sorted {
		if m.Offering.Zone == t.Zone {
			m.ResetZoneReturn()
		}
	}
}

// applyDecisions closes and opens machines as the policy decides. Of a zone that reopens, as many machines as
// it says are open, of those that send heartbeats again.
func (z *Zones) applyDecisions(evidence map[string]zone.Evidence) {
	quota, wereClosed := map[string]int{}, z.anyClosed
	z.anyClosed, z.anyReplaced = false, false
	for name, e := range evidence {
		d := z.Policy.Decide(name)
		quota[name] = int(math.Ceil(d.OpenShare * float64(e.Running)))
		z.anyClosed = z.anyClosed || e.Running > 0 && d.OpenShare < 1
		z.anyReplaced = z.anyReplaced || e.Running > 0 && d.ReplacementShare > 0
	}
	if !z.anyClosed && !wereClosed {
		return
	}
	for _, m := range z.Fleet.Sorted {
		closed := false
		if name := m.Offering.Zone; z.Policy.Decide(name).OpenShare < 1 {
			closed = !m.ZoneReturn.Returned || quota[name] == 0
			if !closed {
				quota[name]--
			}
		}
		z.setClosed(m, closed)
	}
}

// setClosed closes a machine to work that is not bound to its zone, or opens it.
func (z *Zones) setClosed(m *state.Machine, closed bool) {
	if m.ZoneReturn.Closed == closed {
		return
	}
	m.ZoneReturn.Closed = closed
	m.PlannedStarts = m.PlannedStarts[:0]
	z.OnChange()
}
