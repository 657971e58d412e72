package zone

import "caperlatch/internal/micros"

// Limits of the default policy.
const (
	leastSilent    = 3 // fewer say nothing of a zone
	cutOffPart     = 2 // a zone is cut off if more than one in so many is silent
	massSilentPart = 3 // the network is at fault if more than one in so many is silent
)

// Threshold is the default policy: a zone in which most machines are silent is cut off for
// as long as they are. Nothing is rented there; nothing else is decided on zones.
type Threshold struct {
	cutOff map[string]bool
	mass   bool
}

var _ Policy = (*Threshold)(nil)

// NewThreshold makes the default policy.
func NewThreshold() *Threshold { return &Threshold{cutOff: map[string]bool{}} }

// Observe implements Policy.
func (t *Threshold) Observe(_ micros.Micros, o Observation) (changes []Transition) {
	t.mass = massSilent(o)
	for _, name := range names(o, t.cutOff) {
		// All machines of a zone may have been returned. Then none is left that could be heard
		// again, and a zone that stayed cut off for it got no others as long as the term lasted.
		e := o.Zones[name]
		silent := e.Silent + e.Deaf
		cut := silent >= leastSilent && cutOffPart*silent > e.Up
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
		return Transition{Zone: name, From: Healthy, To: Lost, Reason: ReasonSilent, Evidence: e}
	}
	return Transition{Zone: name, From: Lost, To: Healthy, Reason: ReasonWell, Evidence: e}
}

// massSilent tells whether so many machines are silent that the network is more likely at
// fault than they are: a network comes back sooner than a fleet boots.
func massSilent(o Observation) bool {
	silent, up := 0, 0
	for _, e := range o.Zones {
		silent += e.Silent + e.Deaf
		up += e.Up
	}
	return silent >= leastSilent && massSilentPart*silent > up
}

// Decide implements Policy.
func (t *Threshold) Decide(zone string) Decision {
	if t.cutOff[zone] {
		return Decision{KeepSilent: t.mass, Open: 1}
	}
	return Decision{Rent: AnyNumber, Reachable: true, KeepSilent: t.mass, Open: 1}
}

// Band implements Policy.
func (t *Threshold) Band(string, bool) int { return 0 }

// Status implements Policy.
func (t *Threshold) Status(micros.Micros) []Status { return nil }

// Record implements Policy.
func (t *Threshold) Record(micros.Micros, micros.Micros) *Record { return nil }

// Restore implements Policy.
func (t *Threshold) Restore(*Record, micros.Micros, micros.Micros) {}
