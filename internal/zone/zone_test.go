package zone

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"

	"caperlatch/internal/micros"
)

// testConfig is the default one but for longer times.
func testConfig() Config {
	c := DefaultConfig(4 * micros.Second)
	c.StepHold, c.HoldDown = 4*micros.Second, 5*micros.Second
	return c
}

// Evidence of a zone of forty machines.
var (
	well     = Evidence{Up: 40}
	someLate = Evidence{Up: 40, Late: 14}
	mostLate = Evidence{Up: 40, Late: 30}
	silent   = Evidence{Up: 40, Silent: 30, Deaf: 4, Vanished: 1}
	halfBack = Evidence{Up: 40, Silent: 20, Back: 20}
	tried    = Evidence{Up: 40, Back: 40, Sent: 9}
	succeeds = Evidence{Up: 40, Back: 40, Sent: 9, Started: 8}
	relapsed = Evidence{Up: 40, Back: 34, Silent: 6, Relapses: 6}
	allBack  = Evidence{Up: 40, Back: 40}
	nothing  = Evidence{}
)

// moment is an observation after some seconds, and what follows of it.
type moment struct {
	afterS float64
	e      Evidence
	state  State
	step   int
	reason Reason
}

// TestTransitions goes through the transitions of one zone beside a healthy one.
func TestTransitions(t *testing.T) {
	lostAt := []moment{{1, silent, Suspected, 0, ReasonLate}, {1, silent, Suspected, 0, ReasonLate}, {1, silent, Lost, 0, ReasonSilent}}
	heldAt := append(lostAt[:3:3], moment{9, allBack, HeldDown, 0, ReasonHeard})
	backAt := append(heldAt[:4:4], moment{5, allBack, Returning, 0, ReasonHeldOut})
	cases := []struct {
		name  string
		steps []moment
	}{
		{"well", []moment{{1, well, Healthy, 0, ""}, {1, someLate, Healthy, 0, ""}}},
		{"late, and well again only when most are heard", []moment{{1, mostLate, Suspected, 0, ReasonLate}, {9, someLate, Suspected, 0, ReasonLate},
			{9, Evidence{Up: 40, Late: 10}, Healthy, 0, ReasonWell}}},
		{"late for long is not lost", []moment{{1, mostLate, Suspected, 0, ReasonLate}, {99, mostLate, Suspected, 0, ReasonLate}}},
		{"silent for a moment is not lost", []moment{{1, silent, Suspected, 0, ReasonLate}, {1, someLate, Suspected, 0, ReasonLate},
			{1, silent, Suspected, 0, ReasonLate}, {1, silent, Suspected, 0, ReasonLate}, {1, silent, Lost, 0, ReasonSilent}}},
		{"too few machines to tell", []moment{{1, Evidence{Up: 2, Silent: 2}, Healthy, 0, ""}}},
		{"faulty machines are no loss", []moment{{1, Evidence{Up: 40, Failing: 40}, Healthy, 0, ""}}},
		{"lost until half is heard anew", append(lostAt[:3:3], moment{9, well, Lost, 0, ReasonSilent},
			moment{1, Evidence{Up: 40, Silent: 21, Back: 19}, Lost, 0, ReasonSilent}, moment{1, halfBack, HeldDown, 0, ReasonHeard})},
		{"nobody left", append(lostAt[:3:3], moment{60, nothing, HeldDown, 0, ReasonEmpty}, moment{5, nothing, Returning, 0, ReasonHeldOut},
			moment{99, nothing, Returning, 0, ReasonHeldOut}, moment{1, Evidence{Up: 3, Back: 3}, Returning, 0, ReasonHeldOut},
			moment{7, Evidence{Up: 3, Back: 3}, Returning, 1, ReasonStepHeld})},
		{"given up while it was suspected", []moment{{1, mostLate, Suspected, 0, ReasonLate}, {9, nothing, HeldDown, 0, ReasonEmpty}}},
		{"held down", append(heldAt[:4:4], moment{4.9, allBack, HeldDown, 0, ReasonHeard}, moment{0.1, allBack, Returning, 0, ReasonHeldOut})},
		{"held down for longer after a flap", append(heldAt[:4:4], moment{1, silent, HeldDown, 0, ReasonHeard}, moment{2, silent, Lost, 0, ReasonSilent},
			moment{1, allBack, HeldDown, 0, ReasonHeard}, moment{9, allBack, HeldDown, 0, ReasonHeard}, moment{1, allBack, Returning, 0, ReasonHeldOut})},
		{"steps while starts succeed", append(backAt[:5:5], moment{3.9, succeeds, Returning, 0, ReasonHeldOut}, moment{0.1, succeeds, Returning, 1, ReasonStepHeld},
			moment{4, Evidence{Up: 40, Back: 40, Sent: 20, Started: 19}, Returning, 2, ReasonStepHeld},
			moment{4, Evidence{Up: 40, Back: 40, Sent: 30, Started: 29}, Returning, 3, ReasonStepHeld},
			moment{4, Evidence{Up: 40, Back: 40, Sent: 40, Started: 39}, Healthy, 0, ReasonAllOpen})},
		{"a step that nothing tries takes longer", append(backAt[:5:5], moment{7.9, allBack, Returning, 0, ReasonHeldOut}, moment{0.1, allBack, Returning, 1, ReasonStepHeld})},
		{"starts that do not arrive hold a step, and undo it", append(backAt[:5:5], moment{4, succeeds, Returning, 1, ReasonStepHeld},
			moment{31.9, Evidence{Up: 40, Back: 40, Sent: 18, Started: 8}, Returning, 1, ReasonStepHeld},
			moment{0.1, Evidence{Up: 40, Back: 40, Sent: 18, Started: 8}, Returning, 0, ReasonStartsFailed})},
		{"the first step undone is a hold-down", append(backAt[:5:5], moment{32, tried, HeldDown, 0, ReasonStartsFailed})},
		{"machines fall silent anew", append(backAt[:5:5], moment{4, succeeds, Returning, 1, ReasonStepHeld}, moment{1, relapsed, Returning, 0, ReasonRelapse},
			moment{1, relapsed, Returning, 0, ReasonRelapse})},
		{"lost anew in a step", append(backAt[:5:5], moment{1, silent, Returning, 0, ReasonHeldOut}, moment{2, silent, Lost, 0, ReasonSilent})},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m, now := NewManager(testConfig()), 100*micros.Second
			for i, s := range c.steps {
				now += micros.FromSeconds(s.afterS)
				m.Observe(now, Observation{Zones: map[string]Evidence{"a": s.e, "b": well}})
				if z := m.zones["a"]; z.state != s.state || z.step != s.step || z.reason != s.reason {
					t.Fatalf("moment %d: %v, step %d, %q; want %v, %d, %q", i, z.state, z.step, z.reason, s.state, s.step, s.reason)
				}
			}
		})
	}
}

// observed shows a manager evidence of zones a and b after some seconds, again and again.
func observed(m *Manager, now *micros.Micros, afterS float64, times int, a, b Evidence) {
	for range times {
		*now += micros.FromSeconds(afterS)
		m.Observe(*now, Observation{Zones: map[string]Evidence{"a": a, "b": b}})
	}
}

// TestFlaps loses a zone again and again. Each flap doubles the hold-down up to its bound, and
// calm has them forgotten.
func TestFlaps(t *testing.T) {
	m, now := NewManager(testConfig()), 100*micros.Second
	for i, c := range []struct{ calmS, heldS float64 }{{1, 5}, {1, 10}, {1, 20}, {1, 30}, {1, 30}, {4 * 300, 10}} {
		observed(m, &now, c.calmS, 1, well, well)
		observed(m, &now, 1, 4, silent, well)
		observed(m, &now, 1, 1, allBack, well)
		held := 0.0
		for ; m.zones["a"].state == HeldDown && held < 100; held++ {
			observed(m, &now, 1, 1, allBack, well)
		}
		if held != c.heldS {
			t.Errorf("flap %d: held down for %v s, want %v", i, held, c.heldS)
		}
		observed(m, &now, 1, 40, allBack, well) // it returns
	}
}

// TestObserver has evidence that says more of the observer than of a zone: no zone is lost by
// it, and nothing is rented.
func TestObserver(t *testing.T) {
	cases := []struct {
		name     string
		zones    map[string]Evidence
		isolated bool
		lost     int
	}{
		{"one of two", map[string]Evidence{"a": silent, "b": well}, false, 1},
		{"all of two", map[string]Evidence{"a": silent, "b": silent}, false, 0},
		{"the only one", map[string]Evidence{"a": silent}, false, 0},
		{"two of four", map[string]Evidence{"a": silent, "b": silent, "c": well, "d": well}, false, 2},
		{"three of four, one late", map[string]Evidence{"a": silent, "b": silent, "c": silent, "d": mostLate}, false, 0},
		{"all but a small one", map[string]Evidence{"a": silent, "b": {Up: 1}}, false, 1},
		{"all and a small one", map[string]Evidence{"a": silent, "b": {Up: 1, Silent: 1}}, false, 0},
		{"one, seen by an isolated node", map[string]Evidence{"a": silent, "b": well}, true, 0},
	}
	for _, c := range cases {
		m := NewManager(testConfig())
		for i := range 20 {
			m.Observe(micros.Micros(100+i)*micros.Second, Observation{Zones: c.zones, Isolated: c.isolated})
		}
		lost, replaced := 0, 0.0
		for _, s := range m.Status(0) {
			lost += strings.Count(s.State, Lost.String())
			replaced += m.Decide(s.Zone).Replace
		}
		if lost != c.lost || (replaced > 0) != (c.lost > 0) {
			t.Errorf("%s: %d lost, %v replaced, want %d", c.name, lost, replaced, c.lost)
		}
	}
}

// TestLastZone loses a zone, and the other one while the first is heard again but not healthy:
// it is not lost, and what is heard is open to all, whatever the hold-down.
func TestLastZone(t *testing.T) {
	m, now := NewManager(testConfig()), 100*micros.Second
	steps := []struct {
		times          int
		a, b           Evidence
		aState, bState State
		open           float64 // of a
	}{{2, silent, well, Lost, Healthy, 0}, {3, allBack, silent, Returning, Suspected, 1}, {15, allBack, silent, Healthy, Lost, 1}}
	for i, s := range steps {
		observed(m, &now, 3, s.times, s.a, s.b)
		a, b, open := m.zones["a"].state, m.zones["b"], m.Decide("a").Open
		if a != s.aState || b.state != s.bState || open != s.open || b.state == Suspected && b.reason != ReasonObserver {
			t.Errorf("step %d: %v and %v (%s), %v open; want %+v", i, a, b.state, b.reason, open, s)
		}
	}
}

// TestKept has the silent machines of a lost zone be kept where the zone is a large part of the
// fleet, also when others stand for them by then, and given up like single ones where it is not.
func TestKept(t *testing.T) {
	for others, want := range map[int]bool{40: true, 200: false} {
		m, now := NewManager(testConfig()), 100*micros.Second
		observed(m, &now, 3, 2, silent, Evidence{Up: others})
		observed(m, &now, 0, 1, Evidence{Up: 20, Silent: 20}, Evidence{Up: others + 200})
		if d := m.Decide("a"); m.zones["a"].state != Lost || d.KeepSilent != want {
			t.Errorf("beside %d machines: %v, %+v, want kept: %v", others, m.zones["a"].state, d, want)
		}
	}
}

// TestDecisions has what follows of each state, and of the default policy.
func TestDecisions(t *testing.T) {
	m := NewManager(testConfig())
	cases := []struct {
		name string
		z    lifecycle
		up   int
		want Decision
	}{
		{"healthy", lifecycle{}, 9, Decision{Rent: AnyNumber, Reachable: true, Open: 1}},
		{"suspected", lifecycle{state: Suspected}, 9, Decision{Reachable: true, KeepSilent: true, Open: 1, Replace: 0.5}},
		{"blamed", lifecycle{state: Suspected, observerAtFault: true, lossSince: 1}, 9, Decision{KeepSilent: true, Open: 1}},
		{"lost", lifecycle{state: Lost, keep: true}, 9, Decision{KeepSilent: true, Replace: 0.5}},
		{"gone", lifecycle{state: Lost}, 9, Decision{Replace: 0.5}},
		{"held", lifecycle{state: HeldDown, keep: true}, 9, Decision{Reachable: true, KeepSilent: true, Replace: 0.5}},
		{"returning", lifecycle{state: Returning, step: 1, keep: true}, 9, Decision{Reachable: true, KeepSilent: true, Open: 0.25, Replace: 0.5}},
		{"half open", lifecycle{state: Returning, step: 2, keep: true}, 9, Decision{Rent: AnyNumber, Reachable: true, KeepSilent: true, Open: 0.5, Replace: 0.5}},
		{"empty", lifecycle{state: Returning, keep: true}, 0, Decision{Rent: 3, Reachable: true, KeepSilent: true, Open: 0.1, Replace: 0.5}},
	}
	for _, c := range cases {
		m.zones[c.name], m.evidence[c.name] = c.z, Evidence{Up: c.up}
		if got := m.Decide(c.name); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
	c := testConfig()
	c.Exempt = []string{"x"}
	exempt, plain := NewManager(c), NewThreshold()
	for i := range 20 {
		o := Observation{Zones: map[string]Evidence{"x": silent, "y": {Up: 300}}}
		exempt.Observe(micros.Micros(100+i)*micros.Second, o)
		plain.Observe(0, o)
	}
	open := Decision{Rent: AnyNumber, Reachable: true, Open: 1}
	if m.Decide("unknown") != open || exempt.Decide("x") != open || plain.Decide("x") != (Decision{Open: 1}) {
		t.Errorf("unknown %+v, exempt %+v, by the default policy %+v", m.Decide("unknown"), exempt.Decide("x"), plain.Decide("x"))
	}
	if plain.Band("scan", true) != 0 || plain.Record(0, 0) != nil || plain.Status(0) != nil {
		t.Error("the default policy has more to tell than whether zones are cut off")
	}
}

// TestBands has work move urgent first, then in the operators' order, while a zone is lost.
func TestBands(t *testing.T) {
	m := NewManager(testConfig())
	m.config.Classes = []string{"scan", "update"}
	for moving, want := range map[bool][]int{false: {0, 0, 0, 0}, true: {1, 2, 3, 4}} {
		m.moving = moving
		got := []int{m.Band("other", true), m.Band("scan", false), m.Band("update", false), m.Band("other", false)}
		if !slices.Equal(got, want) {
			t.Errorf("bands %v, want %v", got, want)
		}
	}
}

// TestRecord has a next leader go on from what was stored, on a node whose clocks differ.
func TestRecord(t *testing.T) {
	const s, now, wall, nowThere, wallThere = micros.Second, 500 * micros.Second, 9000 * micros.Second, 77 * micros.Second, 9002 * micros.Second
	cases := []struct {
		name          string
		before, after lifecycle
	}{
		{"lost", lifecycle{state: Lost, reason: ReasonSilent, since: now - 20*s, flaps: 2, calm: now - 60*s, keep: true},
			lifecycle{state: Lost, reason: ReasonSilent, since: nowThere - 22*s, flaps: 2, calm: nowThere - 62*s, keep: true}},
		{"held down", lifecycle{state: HeldDown, reason: ReasonHeard, since: now - 4*s, flaps: 1, until: now + 6*s},
			lifecycle{state: HeldDown, reason: ReasonHeard, since: nowThere - 6*s, flaps: 1, until: nowThere + 4*s}},
		{"returning", lifecycle{state: Returning, reason: ReasonStepHeld, since: now - 4*s, step: 2, flaps: 1, sent: 9, started: 8},
			lifecycle{state: Returning, reason: ReasonStepHeld, since: nowThere, step: 2, flaps: 1}},
		{"healthy after flaps", lifecycle{reason: ReasonAllOpen, since: now - 10*s, flaps: 3, calm: now - 10*s},
			lifecycle{reason: ReasonAllOpen, since: nowThere - 12*s, flaps: 3, calm: nowThere - 12*s}},
		{"healthy", lifecycle{}, lifecycle{}},
		{"too old", lifecycle{state: Lost, since: now - 2*oldest, flaps: 1}, lifecycle{}},
		{"a step that there is not", lifecycle{state: Returning, since: now, step: 9, flaps: 1}, lifecycle{}},
		{"a state that there is not", lifecycle{state: 9, since: now, flaps: 1}, lifecycle{}},
	}
	for _, c := range cases {
		m, next, other := NewManager(testConfig()), NewManager(testConfig()), NewManager(testConfig())
		m.zones["a"] = c.before
		b, err := json.Marshal(m.Record(now, wall))
		var r Record
		if err = errors.Join(err, json.Unmarshal(b, &r)); err != nil {
			t.Fatal(err)
		}
		if next.Restore(&r, nowThere, wallThere); next.zones["a"] != c.after {
			t.Errorf("%s: %+v, want %+v", c.name, next.zones["a"], c.after)
		}
		r.Version++
		other.Restore(&r, nowThere, wallThere)
		if other.Restore(nil, nowThere, wallThere); len(other.zones) > 0 {
			t.Errorf("%s: a record of another version was read", c.name)
		}
	}
}
