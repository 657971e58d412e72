package zone

import "caperlatch/internal/micros"

// RecordVersion is the version of records. Records of other versions are ignored.
const RecordVersion = 1

// Record is the stored state from which the next leader continues, so that a failover does not restart an evacuation or
// a reopening. No proof depends on it: without a record, the next leader determines all states from its own observations.
type Record struct {
	Version int                     `json:"version"`
	Zones   map[string]RecordedZone `json:"zones"`
}

// RecordedZone is the stored lifecycle of a zone that is not normal, or that has been fully disrupted before. Times are
// wall-clock times.
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

// maxRecordAge is the maximum age of a stored state. The age counts from the beginning of the state, and for a normal
// zone from when it became normal, not from when the record was stored. An older state is not restored, because the
// zone may have been disrupted again since, or have recovered without this policy.
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
			RetainSilentMachines: z.retainSilentMachines,
			NormalSince:          toWall(z.normalSince),
		}
	}
	return r
}

// Restore implements Policy. It skips the zones whose stored states are invalid or too old.
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

// restore returns the lifecycle that continues a stored one. ok is false if the stored one is invalid or too old. The
// counters of the evidence are not restored, because they start at 0 in each term.
func (s RecordedZone) restore(c *Config, now, wall micros.Micros) (z lifecycle, ok bool) {
	if s.State < Normal || s.State > Reopening || s.Step < 0 || s.Step >= len(c.OpenShares) || s.Flaps < 0 {
		return z, false
	}
	if s.State != Normal && wall-s.Since > maxRecordAge || s.State == Normal && wall-s.NormalSince > maxRecordAge {
		return z, false
	}
	// The clock of the node that stored the record may be ahead: a time in the future counts as now.
	toLocal := func(at micros.Micros) micros.Micros {
		if at == 0 {
			return 0
		}
		return now - max(0, wall-at)
	}
	z = lifecycle{
		state:                s.State,
		reason:               s.Reason,
		since:                toLocal(s.Since),
		step:                 s.Step,
		flaps:                s.Flaps,
		retainSilentMachines: s.RetainSilentMachines,
		normalSince:          toLocal(s.NormalSince),
	}
	if s.State == HeldDown {
		z.holdDownUntil = now + min(max(0, s.HoldDownUntil-wall), c.MaxHoldDown)
	}
	if s.State == Reopening {
		z.since = now // the step's duration restarts together with its counters, which are not restored
	}
	return z, true
}
