package zone

import (
	"cmp"
	"maps"
	"slices"

	"caperlatch/internal/micros"
)

// LifecyclePolicy is the policy that tracks a lifecycle for each zone: jobs are moved out of a fully disrupted zone,
// and return in steps. It owns the lifecycles. The caller must serialize calls.
type LifecyclePolicy struct {
	config        Config
	zones         map[string]lifecycle
	evidence      map[string]Evidence
	massOutage    bool // see isMassOutage
	evacuating    bool // jobs move out of some zone, or may not move back yet
	anyUsableZone bool // there is a zone to which jobs can move, see hasUsableZone
}

var _ Policy = (*LifecyclePolicy)(nil)

// NewLifecyclePolicy returns a LifecyclePolicy for a configuration that Config.Check has accepted.
func NewLifecyclePolicy(c Config) *LifecyclePolicy {
	return &LifecyclePolicy{config: c, zones: map[string]lifecycle{}, evidence: map[string]Evidence{}, anyUsableZone: true}
}

// Observe implements Policy.
func (p *LifecyclePolicy) Observe(now micros.Micros, o Observation) (changes []Transition) {
	p.massOutage = isMassOutage(o)
	p.evidence = o.Zones
	// If no zone looks usable, the observer itself is assumed to be at fault.
	atFault := o.ObserverIsolated || !p.hasUsableZone()
	p.evacuating = false
	for _, name := range zoneNames(o, p.zones) {
		before := p.zones[name]
		after := before.next(&p.config, o.Zones[name], atFault, now)
		if slices.Contains(p.config.ExemptZones, name) {
			after = lifecycle{}
		}
		if after.state == FullDisruption && before.state != FullDisruption {
			after.retainSilentMachines = p.massOutage || before.retainSilentMachines
		}
		p.zones[name] = after
		p.evacuating = p.evacuating || after.state.isEvacuating()
		if after.state != before.state || after.step != before.step || after.reason != before.reason {
			changes = append(changes, transition(name, before, after, o.Zones[name]))
		}
	}
	p.anyUsableZone = p.hasUsableZone()
	return changes
}

// transition returns the description of a change of a zone's lifecycle.
func transition(name string, before, after lifecycle, e Evidence) Transition {
	t := Transition{Zone: name, From: before.state, To: after.state, Reason: after.reason, Evidence: e}
	if after.state == Reopening {
		t.Step = after.step + 1
	}
	return t
}

// hasUsableZone reports whether there is a zone that is neither fully disrupted, nor held down, nor reopening, and whose
// share of machines that are not ready is too low for a partial disruption. A single running machine is enough.
func (p *LifecyclePolicy) hasUsableZone() bool {
	for name, e := range p.evidence {
		if e.Running > 0 && !p.zones[name].state.isEvacuating() && float64(e.notReady()) <= p.config.PartialDisruptionShare*float64(e.Running) {
			return true
		}
	}
	return false
}

// zoneNames returns the names of the zones in an observation and of those known before, sorted.
func zoneNames[T any](o Observation, known map[string]T) []string {
	all := slices.AppendSeq(slices.Collect(maps.Keys(o.Zones)), maps.Keys(known))
	slices.Sort(all)
	return slices.Compact(all)
}

// minLaunchShare is the lowest open share at which machines are launched without a limit in a reopening zone. At a
// lower share, a flapping zone's machines would be replaced twice: in another zone, and in the zone itself.
const minLaunchShare = 0.5

// Decide implements Policy.
func (p *LifecyclePolicy) Decide(name string) Decision {
	z := p.zones[name]
	d := Decision{MaxMachines: Unlimited, Reachable: true, RetainSilentMachines: p.massOutage || z.state == PartialDisruption || z.retainSilentMachines, OpenShare: 1}
	switch z.state {
	case PartialDisruption:
		d.MaxMachines, d.Reachable = 0, z.disruptedSince == 0
		if !z.observerAtFault {
			d.ReplacementShare = p.config.ReplacementShare
		}
	case FullDisruption:
		d.MaxMachines, d.Reachable, d.OpenShare, d.ReplacementShare = 0, false, 0, p.config.ReplacementShare
	case HeldDown:
		d.MaxMachines, d.OpenShare, d.ReplacementShare = 0, 0, p.config.ReplacementShare
	case Reopening:
		d.OpenShare, d.ReplacementShare = p.config.OpenShares[z.step], p.config.ReplacementShare
		switch {
		case p.evidence[name].Running == 0:
			// Without machines, no heartbeats would show whether the zone has recovered. So a few are launched.
			d.MaxMachines = p.config.MinMachines
		case d.OpenShare < minLaunchShare:
			d.MaxMachines = 0
		}
	}
	if !p.anyUsableZone {
		d.OpenShare = 1 // the reachable machines of disrupted zones are the only capacity left
	}
	return d
}

// EvacuationRank implements Policy. Urgent jobs come first, then the classes in the order of Config.EvacuationOrder.
func (p *LifecyclePolicy) EvacuationRank(class string, urgent bool) int {
	switch {
	case !p.evacuating:
		return 0
	case urgent:
		return 1
	}
	if i := slices.Index(p.config.EvacuationOrder, class); i >= 0 {
		return 2 + i
	}
	return 2 + len(p.config.EvacuationOrder)
}

// Status implements Policy.
func (p *LifecyclePolicy) Status(now micros.Micros) []Status {
	out := []Status{}
	for _, name := range slices.Sorted(maps.Keys(p.zones)) {
		z := p.zones[name]
		s := Status{
			Zone:      name,
			State:     z.state.String(),
			Reason:    cmp.Or(z.reason, ReasonHeartbeatsArrive),
			OpenShare: p.Decide(name).OpenShare,
			Flaps:     z.flaps,
			Evidence:  p.evidence[name],
		}
		if z.since != 0 {
			s.SinceS = (now - z.since).Seconds()
		}
		if z.state == Reopening {
			s.Step, s.Steps = z.step+1, len(p.config.OpenShares)
		}
		if z.state == HeldDown {
			s.HoldDownS = max(0, z.holdDownUntil-now).Seconds()
		}
		out = append(out, s)
	}
	return out
}
