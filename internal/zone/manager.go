package zone

import (
	"cmp"
	"maps"
	"slices"

	"caperlatch/internal/micros"
)

// LifecyclePolicy is the policy with a state machine for each zone.
type LifecyclePolicy struct {
	config   Config
	zones    map[string]lifecycle
	evidence map[string]Evidence
	mass     bool
	moving   bool // work moves: some zone is not all there
	refuge   bool // some zone is left to move to
}

var _ Policy = (*LifecyclePolicy)(nil)

// NewLifecyclePolicy makes the policy for a checked configuration.
func NewLifecyclePolicy(c Config) *LifecyclePolicy {
	return &LifecyclePolicy{config: c, zones: map[string]lifecycle{}, evidence: map[string]Evidence{}, refuge: true}
}

// Observe implements Policy.
func (m *LifecyclePolicy) Observe(now micros.Micros, o Observation) (changes []Transition) {
	m.mass = massSilent(o)
	m.evidence = o.Zones
	// If no zone speaks against it, the observer is taken to be at fault.
	atFault := o.ObserverIsolated || !m.hasRefuge()
	m.moving = false
	for _, name := range names(o, m.zones) {
		before := m.zones[name]
		after := before.next(&m.config, o.Zones[name], atFault, now)
		if slices.Contains(m.config.ExemptZones, name) {
			after = lifecycle{}
		}
		if after.state == FullDisruption && before.state != FullDisruption {
			after.keep = m.mass || before.keep
		}
		m.zones[name] = after
		m.moving = m.moving || after.state >= FullDisruption
		if after.state != before.state || after.step != before.step || after.reason != before.reason {
			changes = append(changes, transition(name, before, after, o.Zones[name]))
		}
	}
	m.refuge = m.hasRefuge()
	return changes
}

// transition describes a change.
func transition(name string, before, after lifecycle, e Evidence) Transition {
	t := Transition{Zone: name, From: before.state, To: after.state, Reason: after.reason, Evidence: e}
	if after.state == Reopening {
		t.Step = after.step + 1
	}
	return t
}

// hasRefuge tells whether a zone is left that is neither lost, nor on its way back, nor looks
// lost. One with too few machines for a verdict counts all the same.
func (m *LifecyclePolicy) hasRefuge() bool {
	for name, e := range m.evidence {
		if e.Running > 0 && m.zones[name].state < FullDisruption && float64(e.troubled()) <= m.config.PartialDisruptionShare*float64(e.Running) {
			return true
		}
	}
	return false
}

// names lists the zones of an observation and those known before, in order.
func names[T any](o Observation, known map[string]T) []string {
	all := slices.AppendSeq(slices.Collect(maps.Keys(o.Zones)), maps.Keys(known))
	slices.Sort(all)
	return slices.Compact(all)
}

// rentFrom is the share of a returning zone's machines from which on more are rented there.
// Sooner, a zone that flaps would have the same loss replaced twice: elsewhere, and in itself.
const rentFrom = 0.5

// Decide implements Policy.
func (m *LifecyclePolicy) Decide(name string) Decision {
	z := m.zones[name]
	d := Decision{MaxMachines: Unlimited, Reachable: true, KeepSilent: m.mass || z.state == PartialDisruption || z.keep, OpenShare: 1}
	switch z.state {
	case PartialDisruption:
		d.MaxMachines, d.Reachable = 0, z.lossSince == 0
		if !z.observerAtFault {
			d.ReplacementShare = m.config.ReplacementShare
		}
	case FullDisruption:
		d.MaxMachines, d.Reachable, d.OpenShare, d.ReplacementShare = 0, false, 0, m.config.ReplacementShare
	case HeldDown:
		d.MaxMachines, d.OpenShare, d.ReplacementShare = 0, 0, m.config.ReplacementShare
	case Reopening:
		d.OpenShare, d.ReplacementShare = m.config.OpenShares[z.step], m.config.ReplacementShare
		switch {
		case m.evidence[name].Running == 0:
			d.MaxMachines = m.config.MinMachines // to hear whether the zone is back
		case d.OpenShare < rentFrom:
			d.MaxMachines = 0
		}
	}
	if !m.refuge {
		d.OpenShare = 1 // what is heard there is all that is left
	}
	return d
}

// EvacuationRank implements Policy: urgent work first, then the classes in the operators' order.
func (m *LifecyclePolicy) EvacuationRank(class string, urgent bool) int {
	switch {
	case !m.moving:
		return 0
	case urgent:
		return 1
	}
	if i := slices.Index(m.config.EvacuationOrder, class); i >= 0 {
		return 2 + i
	}
	return 2 + len(m.config.EvacuationOrder)
}

// Status implements Policy.
func (m *LifecyclePolicy) Status(now micros.Micros) []Status {
	out := []Status{}
	for _, name := range slices.Sorted(maps.Keys(m.zones)) {
		z := m.zones[name]
		s := Status{
			Zone:      name,
			State:     z.state.String(),
			Reason:    cmp.Or(z.reason, ReasonHeartbeatsArrive),
			OpenShare: m.Decide(name).OpenShare,
			Flaps:     z.flaps,
			Evidence:  m.evidence[name],
		}
		if z.since != 0 {
			s.SinceS = (now - z.since).Seconds()
		}
		if z.state == Reopening {
			s.Step, s.Steps = z.step+1, len(m.config.OpenShares)
		}
		if z.state == HeldDown {
			s.HoldDownS = max(0, z.until-now).Seconds()
		}
		out = append(out, s)
	}
	return out
}
