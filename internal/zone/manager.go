package zone

import (
	"cmp"
	"maps"
	"slices"

	"caperlatch/internal/micros"
)

// Manager is the policy with a state machine for each zone.
type Manager struct {
	config   Config
	zones    map[string]lifecycle
	evidence map[string]Evidence
	mass     bool
	moving   bool // work moves: some zone is not all there
	refuge   bool // some zone is left to move to
}

var _ Policy = (*Manager)(nil)

// NewManager makes the policy for a checked configuration.
func NewManager(c Config) *Manager {
	return &Manager{config: c, zones: map[string]lifecycle{}, evidence: map[string]Evidence{}, refuge: true}
}

// Observe implements Policy.
func (m *Manager) Observe(now micros.Micros, o Observation) (changes []Transition) {
	m.mass = massSilent(o)
	m.evidence = o.Zones
	// If no zone speaks against it, the observer is taken to be at fault.
	atFault := o.Isolated || !m.hasRefuge()
	m.moving = false
	for _, name := range names(o, m.zones) {
		before := m.zones[name]
		after := before.next(&m.config, o.Zones[name], atFault, now)
		if slices.Contains(m.config.Exempt, name) {
			after = lifecycle{}
		}
		if after.state == Lost && before.state != Lost {
			after.keep = m.mass || before.keep
		}
		m.zones[name] = after
		m.moving = m.moving || after.state >= Lost
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
	if after.state == Returning {
		t.Step = after.step + 1
	}
	return t
}

// hasRefuge tells whether a zone is left that is neither lost, nor on its way back, nor looks
// lost. One with too few machines for a verdict counts all the same.
func (m *Manager) hasRefuge() bool {
	for name, e := range m.evidence {
		if e.Up > 0 && m.zones[name].state < Lost && float64(e.troubled()) <= m.config.Suspect*float64(e.Up) {
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
func (m *Manager) Decide(name string) Decision {
	z := m.zones[name]
	d := Decision{Rent: AnyNumber, Reachable: true, KeepSilent: m.mass || z.state == Suspected || z.keep, Open: 1}
	switch z.state {
	case Suspected:
		d.Rent, d.Reachable = 0, z.lossSince == 0
		if !z.observerAtFault {
			d.Replace = m.config.Replace
		}
	case Lost:
		d.Rent, d.Reachable, d.Open, d.Replace = 0, false, 0, m.config.Replace
	case HeldDown:
		d.Rent, d.Open, d.Replace = 0, 0, m.config.Replace
	case Returning:
		d.Open, d.Replace = m.config.Steps[z.step], m.config.Replace
		switch {
		case m.evidence[name].Up == 0:
			d.Rent = m.config.Least // to hear whether the zone is back
		case d.Open < rentFrom:
			d.Rent = 0
		}
	}
	if !m.refuge {
		d.Open = 1 // what is heard there is all that is left
	}
	return d
}

// Band implements Policy: urgent work first, then the classes in the operators' order.
func (m *Manager) Band(class string, urgent bool) int {
	switch {
	case !m.moving:
		return 0
	case urgent:
		return 1
	}
	if i := slices.Index(m.config.Classes, class); i >= 0 {
		return 2 + i
	}
	return 2 + len(m.config.Classes)
}

// Status implements Policy.
func (m *Manager) Status(now micros.Micros) []Status {
	out := []Status{}
	for _, name := range slices.Sorted(maps.Keys(m.zones)) {
		z := m.zones[name]
		s := Status{
			Zone:     name,
			State:    z.state.String(),
			Reason:   cmp.Or(z.reason, ReasonWell),
			OpenPart: m.Decide(name).Open,
			Flaps:    z.flaps,
			Evidence: m.evidence[name],
		}
		if z.since != 0 {
			s.SinceS = (now - z.since).Seconds()
		}
		if z.state == Returning {
			s.Step, s.Steps = z.step+1, len(m.config.Steps)
		}
		if z.state == HeldDown {
			s.HoldS = max(0, z.until-now).Seconds()
		}
		out = append(out, s)
	}
	return out
}
