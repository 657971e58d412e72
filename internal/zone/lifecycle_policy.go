package zone

import (
	"cmp"
	"maps"
	"slices"

	"caperlatch/internal/micros"
)

// LifecyclePolicy is the policy with a lifecycle for each zone: work leaves a fully disrupted zone,
// and comes back in steps. It owns the lifecycles; its caller serializes calls.
type LifecyclePolicy struct {
	config        Config
	zones         map[string]lifecycle
	evidence      map[string]Evidence
	massOutage    bool // see isMassOutage
	evacuating    bool // work moves out of some zone, or may not move back yet
	anyNormalZone bool // there is a zone to move to
}

var _ Policy = (*LifecyclePolicy)(nil)

// NewLifecyclePolicy makes the policy for a checked configuration.
func NewLifecyclePolicy(c Config) *LifecyclePolicy {
	return &LifecyclePolicy{config: c, zones: map[string]lifecycle{}, evidence: map[string]Evidence{}, anyNormalZone: true}
}

// Observe implements Policy.
func (p *LifecyclePolicy) Observe(now micros.Micros, o Observation) (changes []Transition) {
	p.massOutage = isMassOutage(o)
	p.evidence = o.Zones
	// Unless a zone is evidence against it, the observer is taken to be at fault.
	atFault := o.ObserverIsolated || !p.hasNormalZone()
	p.evacuating = false
	for _, name := range zoneNames(o, p.zones) {
		before := p.zones[name]
		after := before.next(&p.config, o.Zones[name], atFault, now)
		if slices.Contains(p.config.ExemptZones, name) {
			after = lifecycle{}
		}
		if after.state == FullDisruption && before.state != FullDisruption {
			after.keepSilent = p.massOutage || before.keepSilent
		}
		p.zones[name] = after
		p.evacuating = p.evacuating || after.state.isEvacuating()
		if after.state != before.state || after.step != before.step || after.reason != before.reason {
			changes = append(changes, transition(name, before, after, o.Zones[name]))
		}
	}
	p.anyNormalZone = p.hasNormalZone()
	return changes
}

// transition describes a change of a zone.
func transition(name string, before, after lifecycle, e Evidence) Transition {
	t := Transition{Zone: name, From: before.state, To: after.state, Reason: after.reason, Evidence: e}
	if after.state == Reopening {
		t.Step = after.step + 1
	}
	return t
}

// hasNormalZone reports whether there is a zone that is neither fully disrupted, nor on the way back,
// nor looks disrupted. One with too few machines for evidence of a disruption counts all the same.
func (p *LifecyclePolicy) hasNormalZone() bool {
	for name, e := range p.evidence {
		if e.Running > 0 && !p.zones[name].state.isEvacuating() && float64(e.notReady()) <= p.config.PartialDisruptionShare*float64(e.Running) {
			return true
		}
	}
	return false
}

// zoneNames lists the zones of an observation and those known before, in order.
func zoneNames[T any](o Observation, known map[string]T) []string {
	all := slices.AppendSeq(slices.Collect(maps.Keys(o.Zones)), maps.Keys(known))
	slices.Sort(all)
	return slices.Compact(all)
}

// minLaunchShare is the open share of a reopening zone from which on machines are launched there.
// Sooner, the same machines of a zone that flaps would be replaced twice: elsewhere, and in itself.
const minLaunchShare = 0.5

// Decide implements Policy.
func (p *LifecyclePolicy) Decide(name string) Decision {
	z := p.zones[name]
	d := Decision{MaxMachines: Unlimited, Reachable: true, RetainSilentMachines: p.massOutage || z.state == PartialDisruption || z.keepSilent, OpenShare: 1}
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
			d.MaxMachines = p.config.MinMachines // whose heartbeats show whether the zone has recovered
		case d.OpenShare < minLaunchShare:
			d.MaxMachines = 0
		}
	}
	if !p.anyNormalZone {
		d.OpenShare = 1 // the machines that are heard there are all that is left
	}
	return d
}

// EvacuationRank implements Policy: urgent work first, then the classes in the operators' order.
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
