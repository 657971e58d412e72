package zone

import "caperlatch/internal/micros"

const (
	// minCutOffMachines is the minimum number of cut-off machines in a zone that is cut off, and in the fleet in a mass
	// outage. Fewer machines are no evidence of either.
	minCutOffMachines = 3
	// cutOffDivisor sets the share 1/cutOffDivisor of cut-off machines above which a zone is cut off.
	cutOffDivisor = 2
	// massOutageDivisor sets the share 1/massOutageDivisor of cut-off machines in the fleet above which the network is
	// taken to be at fault.
	massOutageDivisor = 3
)

// ThresholdPolicy is the default policy. A zone is cut off for as long as more than half of its machines are, and at
// least minCutOffMachines. In such a zone, the policy prevents launches and reports commands as unlikely to arrive. In a
// mass outage, it retains the silent machines of all zones.
type ThresholdPolicy struct {
	cutOff     map[string]bool
	massOutage bool // see isMassOutage
}

var _ Policy = (*ThresholdPolicy)(nil)

// NewThresholdPolicy returns a ThresholdPolicy with no zone cut off.
func NewThresholdPolicy() *ThresholdPolicy { return &ThresholdPolicy{cutOff: map[string]bool{}} }

// Observe implements Policy.
func (p *ThresholdPolicy) Observe(_ micros.Micros, o Observation) (changes []Transition) {
	p.massOutage = isMassOutage(o)
	for _, name := range zoneNames(o, p.cutOff) {
		// All machines of a zone may have been terminated, so that none is left whose heartbeats could show that the
		// zone has recovered. Such a zone must not stay cut off, or it would get no machines until the end of the term.
		e := o.Zones[name]
		cut := e.cutOff() >= minCutOffMachines && cutOffDivisor*e.cutOff() > e.Running
		if cut != p.cutOff[name] {
			changes = append(changes, cutOffTransition(name, cut, e))
		}
		p.cutOff[name] = cut
	}
	return changes
}

// cutOffTransition returns the transition of a zone that has become cut off, or is no longer cut off.
func cutOffTransition(name string, cut bool, e Evidence) Transition {
	if cut {
		return Transition{Zone: name, From: Normal, To: FullDisruption, Reason: ReasonMostSilent, Evidence: e}
	}
	return Transition{Zone: name, From: FullDisruption, To: Normal, Reason: ReasonHeartbeatsArrive, Evidence: e}
}

// isMassOutage reports whether so many machines are cut off that the network is more likely at fault than the machines.
// Silent machines are then retained, because a network recovers sooner than a fleet boots.
func isMassOutage(o Observation) bool {
	cutOff, running := 0, 0
	for _, e := range o.Zones {
		cutOff += e.cutOff()
		running += e.Running
	}
	return cutOff >= minCutOffMachines && massOutageDivisor*cutOff > running
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
