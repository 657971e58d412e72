package zone

import "caperlatch/internal/micros"

// Limits of the default policy.
const (
	leastSilent    = 3 // fewer say nothing of a zone
	cutOffPart     = 2 // a zone is cut off if more than one in so many is silent
	massSilentPart = 3 // the network is at fault if more than one in so many is silent
)

// ThresholdPolicy is the default policy: a zone in which most machines are silent is cut off for
// as long as they are. Nothing is rented there; nothing else is decided on zones.
type ThresholdPolicy struct {
	cutOff map[string]bool
	mass   bool
}

var _ Policy = (*ThresholdPolicy)(nil)

// NewThresholdPolicy makes the default policy.
func NewThresholdPolicy() *ThresholdPolicy { return &ThresholdPolicy{cutOff: map[string]bool{}} }

// Observe implements Policy.
func (t *ThresholdPolicy) Observe(_ micros.Micros, o Observation) (changes []Transition) {
	t.mass = massSilent(o)
	for _, name := range names(o, t.cutOff) {
		// All machines of a zone may have been returned. Then none is left that could be heard
		// again, and a zone that stayed cut off for it got no others as long as the term lasted.
		e := o.Zones[name]
		silent := e.Silent + e.LostResponses
		cut := silent >= leastSilent && cutOffPart*silent > e.Running
		if cut != t.cutOff[name] {
			changes = append(changes, cutTransition(name, cut, e))
		}
		t.cutOff[name] = cut
	}
	return changes
}

// cutTransition is the change of a zone that is cut off now, or no longer.
func cutTransition(name string, cut bool, e Evidence) Transition {
	if cut {
		return Transition{Zone: name, From: Normal, To: FullDisruption, Reason: ReasonMostSilent, Evidence: e}
	}
	return Transition{Zone: name, From: FullDisruption, To: Normal, Reason: ReasonHeartbeatsArrive, Evidence: e}
}

// massSilent tells whether so many machines are silent that the network is more likely at
// fault than they are: a network comes back sooner than a fleet boots.
func massSilent(o Observation) bool {
	silent, up := 0, 0
	for _, e := range o.Zones {
		silent += e.Silent + e.LostResponses
		up += e.Running
	}
	return silent >= leastSilent && massSilentPart*silent > up
}

// Decide implements Policy.
func (t *ThresholdPolicy) Decide(zone string) Decision {
	if t.cutOff[zone] {
		return Decision{KeepSilent: t.mass, OpenShare: 1}
	}
	return Decision{MaxMachines: Unlimited, Reachable: true, KeepSilent: t.mass, OpenShare: 1}
}

// EvacuationRank implements Policy.
func (t *ThresholdPolicy) EvacuationRank(string, bool) int { return 0 }

// Status implements Policy.
func (t *ThresholdPolicy) Status(micros.Micros) []Status { return nil }

// Record implements Policy.
func (t *ThresholdPolicy) Record(micros.Micros, micros.Micros) *Record { return nil }

// Restore implements Policy.
func (t *ThresholdPolicy) Restore(*Record, micros.Micros, micros.Micros) {}
