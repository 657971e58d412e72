package zone

import "caperlatch/internal/micros"

// RecordVersion is that of records as they are written now. Others are not read.
const RecordVersion = 1

// Record is what a next leader goes on from, so that a change of leader begins neither an
// evacuation nor a return again. No rule hangs on it: without it all is derived anew.
type Record struct {
	Version int                     `json:"version"`
	Zones   map[string]RecordedZone `json:"zones"`
}

// RecordedZone is the state of a zone that is not healthy, or was not lately. Times are of day.
type RecordedZone struct {
	State         State         `json:"state"`
	Reason        Reason        `json:"reason"`
	Since         micros.Micros `json:"since"`
	Step          int           `json:"step,omitempty"`
	Flaps         int           `json:"flaps,omitempty"`
	HoldDownUntil micros.Micros `json:"until,omitempty"`
	KeepSilent    bool          `json:"keep,omitempty"`
	NormalSince   micros.Micros `json:"calm,omitempty"`
}

// oldest is how old a stored state may be to go on from. By then a zone has long been lost
// anew, or been heard without this policy.
const oldest = 24 * 3600 * micros.Second

// Record implements Policy.
func (m *LifecyclePolicy) Record(now, wall micros.Micros) *Record {
	timeOfDay := func(at micros.Micros) micros.Micros {
		if at == 0 {
			return 0
		}
		return wall - (now - at)
	}
	r := &Record{Version: RecordVersion, Zones: map[string]RecordedZone{}}
	for name, z := range m.zones {
		if z.state == Normal && z.flaps == 0 {
			continue
		}
		r.Zones[name] = RecordedZone{
			State:         z.state,
			Reason:        z.reason,
			Since:         timeOfDay(z.since),
			Step:          z.step,
			Flaps:         z.flaps,
			HoldDownUntil: timeOfDay(z.until),
			KeepSilent:    z.keep,
			NormalSince:   timeOfDay(z.calm),
		}
	}
	return r
}

// Restore implements Policy. What cannot be used is left out, zone by zone.
func (m *LifecyclePolicy) Restore(r *Record, now, wall micros.Micros) {
	if r == nil || r.Version != RecordVersion {
		return
	}
	for name, s := range r.Zones {
		if z, ok := s.lifecycle(&m.config, now, wall); ok {
			m.zones[name] = z
			m.moving = m.moving || z.state >= FullDisruption
		}
	}
}

// lifecycle is a stored state as it is gone on from. The evidence is gathered anew: its
// counters begin at nought with the term.
func (s RecordedZone) lifecycle(c *Config, now, wall micros.Micros) (z lifecycle, ok bool) {
	if s.State < Normal || s.State > Reopening || s.Step < 0 || s.Step >= len(c.OpenShares) || s.Flaps < 0 {
		return z, false
	}
	if s.State != Normal && wall-s.Since > oldest || s.State == Normal && wall-s.NormalSince > oldest {
		return z, false
	}
	// Another node's clock may be ahead: what lies in the future began just now.
	steady := func(at micros.Micros) micros.Micros {
		if at == 0 {
			return 0
		}
		return now - max(0, wall-at)
	}
	z = lifecycle{
		state:  s.State,
		reason: s.Reason,
		since:  steady(s.Since),
		step:   s.Step,
		flaps:  s.Flaps,
		keep:   s.KeepSilent,
		calm:   steady(s.NormalSince),
	}
	if s.State == HeldDown {
		z.until = now + min(max(0, s.HoldDownUntil-wall), c.MaxHoldDown)
	}
	if s.State == Reopening {
		z.since = now // its starts are counted anew
	}
	return z, true
}
