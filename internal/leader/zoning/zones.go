// Package zoning applies the zone policy: it gathers the evidence about zones, closes and opens machines, and derives
// the consequences of the policy's decisions for launches, for jobs, and for the status shown to operators and users.
// A closed machine starts only tasks of jobs that are bound to its zone.
//
// The package maintains the event counters of each zone in the term, the set of closed machines, and the stored record
// of zones. The policy itself is zone.Policy. Nothing in this package proves that a task has ended: a decision affects
// the order and the rate of starts and the launches, and must never allow a task that may still be running to be
// started elsewhere. Tasks on a closed machine keep running.
//
// The package's methods are called with the leader's lock held.
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

// Config holds the parameters and dependencies of Zones. Its functions are called with the leader's lock held.
type Config struct {
	// Policy decides on zones. If it is nil, New uses the threshold policy.
	Policy  zone.Policy
	Fleet   *fleet.Fleet
	Replica *replica.Replica
	Writes  *persist.Queue
	Events  *eventlog.Log
	// ValueFits reports whether a value may be stored under one key at any time.
	ValueFits func(v any) bool
	// TermStartedAt is the start of the term. A machine's silence counts from then at the earliest.
	TermStartedAt micros.Micros
	// HeartbeatInterval is the usual time between a worker's heartbeats.
	HeartbeatInterval micros.Micros
	// LeaseExpiry returns when a machine's lease will have expired if no response renews it.
	LeaseExpiry func(m *state.Machine) micros.Micros
	// Offerings returns the offerings that could be launched for a job.
	Offerings func(j *state.Job) []state.Offering
	// IsIsolated reports whether this node reaches neither the state service nor most of its peers. If IsIsolated is
	// nil, the node counts as not isolated.
	IsIsolated func() bool
	// OnChange is called after a machine was closed or opened.
	OnChange func()
}

// Zones applies the zone policy during one term.
type Zones struct {
	Config
	counters    map[string]*counters // by name of the zone
	anyClosed   bool                 // some machines are closed to work that is not bound to their zone
	anyReplaced bool                 // some machines are to be replaced in other zones
}

// counters counts the events in a zone during this term. See zone.Evidence and zone.WorkStatus for their meaning.
type counters struct {
	relapses, startsSent, startsSeen int
	displaced, moved, restarted      map[string]int // number of tasks by job class
}

// New returns the zones of a term without any observations.
func New(c Config) *Zones {
	if c.Policy == nil {
		c.Policy = zone.NewThresholdPolicy()
	}
	return &Zones{Config: c, counters: map[string]*counters{}}
}

// countersFor returns the counters of a machine's zone.
func (z *Zones) countersFor(m *state.Machine) *counters {
	name := m.Offering.Zone
	c := z.counters[name]
	if c == nil {
		c = &counters{displaced: map[string]int{}, moved: map[string]int{}, restarted: map[string]int{}}
		z.counters[name] = c
	}
	return c
}

// Observe passes the current state of the machines to the policy and applies its decisions. If a zone changes state,
// the record of zones is queued for writing.
func (z *Zones) Observe(now micros.Micros) {
	evidence := z.evidence(now)
	transitions := z.Policy.Observe(now, zone.Observation{Zones: evidence, ObserverIsolated: z.IsIsolated != nil && z.IsIsolated()})
	for _, t := range transitions {
		z.applyTransition(t)
	}
	z.applyDecisions(evidence)
	if len(transitions) > 0 && z.Policy.Record(now, micros.WallTime()) != nil {
		z.Writes.Enqueue(replica.ZonesKey)
		z.Writes.Wake()
	}
}

// applyTransition logs a transition. If the zone has just been lost, it resets the evidence of return of the zone's
// machines, because no heartbeat from before the loss is evidence of a return.
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

// applyDecisions closes and opens machines as decided by the policy. In a zone with an open share below 1, that share
// of the running machines, rounded up, is open, as far as enough of its machines have returned. The other machines are
// closed.
func (z *Zones) applyDecisions(evidence map[string]zone.Evidence) {
	openQuota, wereClosed := map[string]int{}, z.anyClosed
	z.anyClosed, z.anyReplaced = false, false
	for name, e := range evidence {
		d := z.Policy.Decide(name)
		openQuota[name] = int(math.Ceil(d.OpenShare * float64(e.Running)))
		z.anyClosed = z.anyClosed || e.Running > 0 && d.OpenShare < 1
		z.anyReplaced = z.anyReplaced || e.Running > 0 && d.ReplacementShare > 0
	}
	if !z.anyClosed && !wereClosed {
		return
	}
	for _, m := range z.Fleet.Sorted {
		closed := false
		if name := m.Offering.Zone; z.Policy.Decide(name).OpenShare < 1 {
			closed = !m.ZoneReturn.Returned || openQuota[name] == 0
			if !closed {
				openQuota[name]--
			}
		}
		z.setClosed(m, closed)
	}
}

// setClosed closes a machine to jobs that are not bound to its zone, or opens it. A change drops the starts planned on
// the machine, so that they are planned again.
func (z *Zones) setClosed(m *state.Machine, closed bool) {
	if m.ZoneReturn.ZoneBoundOnly == closed {
		return
	}
	m.ZoneReturn.ZoneBoundOnly = closed
	m.PlannedStarts = m.PlannedStarts[:0]
	z.OnChange()
}
