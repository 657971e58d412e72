package zone

import "caperlatch/internal/micros"

const (
	// minCutOffMachines is how many machines must be cut off: fewer are no evidence.
	minCutOffMachines = 3
	// cutOffFraction: a zone is cut off if more than one in so many of its machines are.
	cutOffFraction = 2
	// massOutageFraction: the network is at fault if more than one in so many of all machines are.
	massOutageFraction = 3
)

// ThresholdPolicy is the default policy: a zone in which most machines are cut off is, for as long as
// they are. Nothing is launched there; nothing else is decided on zones.
type ThresholdPolicy struct {
	cutOff     map[string]bool
	massOutage bool // see isMassOutage
}

var _ Policy = (*ThresholdPolicy)(nil)

// NewThresholdPolicy makes the default policy.
func NewThresholdPolicy() *ThresholdPolicy { return &ThresholdPolicy{cutOff: map[string]bool{}} }

// Observe implements Policy.
func (p *ThresholdPolicy) Observe(_ micros.Micros, o Observation) (changes []Transition) {
	p.massOutage = isMassOutage(o)
	for _, name := range zoneNames(o, p.cutOff) {
		// All machines of a zone may have been terminated. Then none is left that could be heard
		// again, and a zone that stayed cut off for it got no others as long as the term lasted.
		e := o.Zones[name]
		cut := e.cutOff() >= minCutOffMachines && cutOffFraction*e.cutOff() > e.Running
		if cut != p.cutOff[name] {
			changes = append(changes, cutOffTransition(name, cut, e))
		}
		p.cutOff[name] = cut
	}
	return changes
}

// cutOffTransition is the change of a zone that is cut off now, or no longer.
func cutOffTransition(name string, cut bool, e Evidence) Transition {
	if cut {
		return Transition{Zone: name, From: Normal, To: FullDisruption, Reason: ReasonMostSilent, Evidence: e}
	}
	return Transition{Zone: name, From: FullDisruption, To: Normal, Reason: ReasonHeartbeatsArrive, Evidence: e}
}

// isMassOutage reports whether so many machines are cut off that the network is more likely at fault
// than they are: a network recovers sooner than a fleet boots.
func isMassOutage(o Observation) bool {
	cutOff, running := 0, 0
	for _, e := range o.Zones {
		cutOff += e.cutOff()
		running += e.Running
	}
	return cutOff >= minCutOffMachines && massOutageFraction*cutOff > running
}

// Decide implements Policy.
func (p *ThresholdPolicy) Decide(zone string) Decision {
	if p.cutOff[zone] {
		return Decision{RetainSilentMachines: p.massOutage, OpenShare: 1}
	}
	return Decision{MaxMachines: Unlimited, Reachable: true, RetainSilentMachines: p.massOutage, OpenShare: 1}
}

// EvacuationRank implements Policy.
func (p *ThresholdPolicy) EvacuationRank(string, bool) int { return 0 }

// Status implements Policy.
func (p *ThresholdPolicy) Status(micros.Micros) []Status { return nil }

// Record implements Policy.
func (p *ThresholdPolicy) Record(micros.Micros, micros.Micros) *Record { return nil }

// Restore implements Policy.
func (p *ThresholdPolicy) Restore(*Record, micros.Micros, micros.Micros) {}
