package zone

import "caperlatch/internal/micros"

// RecordVersion is the version of records. Others are not read.
const RecordVersion = 1

// Record is what a next leader continues from, so that a failover starts neither an evacuation nor a
// reopening again. No proof depends on it: without it all is derived anew.
type Record struct {
	Version int                     `json:"version"`
	Zones   map[string]RecordedZone `json:"zones"`
}

// RecordedZone is the stored lifecycle of a zone that is not normal, or was not lately. Times are of
// day.
type RecordedZone struct {
	State                State         `json:"state"`
	Reason               Reason        `json:"reason"`
	Since                micros.Micros `json:"since"`
	Step                 int           `json:"step,omitempty"`
	Flaps                int           `json:"flaps,omitempty"`
	HoldDownUntil        micros.Micros `json:"until,omitempty"`
	RetainSilentMachines bool          `json:"keep,omitempty"`
	NormalSince          micros.Micros `json:"calm,omitempty"`
}

// maxRecordAge is how old a stored state may be. By then a zone has long been disrupted again, or has
// recovered without this policy.
const maxRecordAge = 24 * 3600 * micros.Second

// Record implements Policy.
func (p *LifecyclePolicy) Record(now, wall micros.Micros) *Record {
	toWall := func(at micros.Micros) micros.Micros {
		if at == 0 {
			return 0
		}
		return wall - (now - at)
	}
	r := &Record{Version: RecordVersion, Zones: map[string]RecordedZone{}}
	for name, z := range p.zones {
		if z.state == Normal && z.flaps == 0 {
			continue
		}
		r.Zones[name] = RecordedZone{
			State:                z.state,
			Reason:               z.reason,
			Since:                toWall(z.since),
			Step:                 z.step,
			Flaps:                z.flaps,
			HoldDownUntil:        toWall(z.holdDownUntil),
			RetainSilentMachines: z.keepSilent,
			NormalSince:          toWall(z.normalSince),
		}
	}
	return r
}

// Restore implements Policy. Invalid and old states are left out, zone by zone.
func (p *LifecyclePolicy) Restore(r *Record, now, wall micros.Micros) {
	if r == nil || r.Version != RecordVersion {
		return
	}
	for name, s := range r.Zones {
		if z, ok := s.restore(&p.config, now, wall); ok {
			p.zones[name] = z
			p.evacuating = p.evacuating || z.state.isEvacuating()
		}
	}
}

// restore is the lifecycle that continues a stored one; ok is false if it is invalid or too old. The
// evidence is gathered anew: its counters start at 0 with the term.
func (s RecordedZone) restore(c *Config, now, wall micros.Micros) (z lifecycle, ok bool) {
	if s.State < Normal || s.State > Reopening || s.Step < 0 || s.Step >= len(c.OpenShares) || s.Flaps < 0 {
		return z, false
	}
	if s.State != Normal && wall-s.Since > maxRecordAge || s.State == Normal && wall-s.NormalSince > maxRecordAge {
		return z, false
	}
	// Another node's clock may be ahead: what lies in the future started just now.
	toLocal := func(at micros.Micros) micros.Micros {
		if at == 0 {
			return 0
		}
		return now - max(0, wall-at)
	}
	z = lifecycle{
		state:       s.State,
		reason:      s.Reason,
		since:       toLocal(s.Since),
		step:        s.Step,
		flaps:       s.Flaps,
		keepSilent:  s.RetainSilentMachines,
		normalSince: toLocal(s.NormalSince),
	}
	if s.State == HeldDown {
		z.holdDownUntil = now + min(max(0, s.HoldDownUntil-wall), c.MaxHoldDown)
	}
	if s.State == Reopening {
		z.since = now // its starts are counted anew
	}
	return z, true
}
