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
	c.MinStepTime, c.InitialHoldDown = 4*micros.Second, 5*micros.Second
	return c
}

// Evidence of a zone of forty machines.
var (
	well     = Evidence{Running: 40}
	someLate = Evidence{Running: 40, Late: 14}
	mostLate = Evidence{Running: 40, Late: 30}
	silent   = Evidence{Running: 40, Silent: 30, LostResponses: 4, Unlisted: 1}
	halfBack = Evidence{Running: 40, Silent: 20, Recovered: 20}
	tried    = Evidence{Running: 40, Recovered: 40, StartsSent: 9}
	succeeds = Evidence{Running: 40, Recovered: 40, StartsSent: 9, StartsSeen: 8}
	relapsed = Evidence{Running: 40, Recovered: 34, Silent: 6, Relapses: 6}
	allBack  = Evidence{Running: 40, Recovered: 40}
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
	lostAt := []moment{{1, silent, PartialDisruption, 0, ReasonHeartbeatsLate}, {1, silent, PartialDisruption, 0, ReasonHeartbeatsLate}, {1, silent, FullDisruption, 0, ReasonMostSilent}}
	heldAt := append(lostAt[:3:3], moment{9, allBack, HeldDown, 0, ReasonHeartbeatsResumed})
	backAt := append(heldAt[:4:4], moment{5, allBack, Reopening, 0, ReasonHoldDownOver})
	cases := []struct {
		name  string
		steps []moment
	}{
		{"well", []moment{{1, well, Normal, 0, ""}, {1, someLate, Normal, 0, ""}}},
		{"late, and well again only when most are heard", []moment{{1, mostLate, PartialDisruption, 0, ReasonHeartbeatsLate}, {9, someLate, PartialDisruption, 0, ReasonHeartbeatsLate},
			{9, Evidence{Running: 40, Late: 10}, Normal, 0, ReasonHeartbeatsArrive}}},
		{"late for long is not lost", []moment{{1, mostLate, PartialDisruption, 0, ReasonHeartbeatsLate}, {99, mostLate, PartialDisruption, 0, ReasonHeartbeatsLate}}},
		{"silent for a moment is not lost", []moment{{1, silent, PartialDisruption, 0, ReasonHeartbeatsLate}, {1, someLate, PartialDisruption, 0, ReasonHeartbeatsLate},
			{1, silent, PartialDisruption, 0, ReasonHeartbeatsLate}, {1, silent, PartialDisruption, 0, ReasonHeartbeatsLate}, {1, silent, FullDisruption, 0, ReasonMostSilent}}},
		{"too few machines to tell", []moment{{1, Evidence{Running: 2, Silent: 2}, Normal, 0, ""}}},
		{"faulty machines are no loss", []moment{{1, Evidence{Running: 40, Quarantined: 40}, Normal, 0, ""}}},
		{"lost until half is heard anew", append(lostAt[:3:3], moment{9, well, FullDisruption, 0, ReasonMostSilent},
			moment{1, Evidence{Running: 40, Silent: 21, Recovered: 19}, FullDisruption, 0, ReasonMostSilent}, moment{1, halfBack, HeldDown, 0, ReasonHeartbeatsResumed})},
		{"nobody left", append(lostAt[:3:3], moment{60, nothing, HeldDown, 0, ReasonNoMachines}, moment{5, nothing, Reopening, 0, ReasonHoldDownOver},
			moment{99, nothing, Reopening, 0, ReasonHoldDownOver}, moment{1, Evidence{Running: 3, Recovered: 3}, Reopening, 0, ReasonHoldDownOver},
			moment{7, Evidence{Running: 3, Recovered: 3}, Reopening, 1, ReasonStepSucceeded})},
		{"given up while it was suspected", []moment{{1, mostLate, PartialDisruption, 0, ReasonHeartbeatsLate}, {9, nothing, HeldDown, 0, ReasonNoMachines}}},
		{"held down", append(heldAt[:4:4], moment{4.9, allBack, HeldDown, 0, ReasonHeartbeatsResumed}, moment{0.1, allBack, Reopening, 0, ReasonHoldDownOver})},
		{"held down for longer after a flap", append(heldAt[:4:4], moment{1, silent, HeldDown, 0, ReasonHeartbeatsResumed}, moment{2, silent, FullDisruption, 0, ReasonMostSilent},
			moment{1, allBack, HeldDown, 0, ReasonHeartbeatsResumed}, moment{9, allBack, HeldDown, 0, ReasonHeartbeatsResumed}, moment{1, allBack, Reopening, 0, ReasonHoldDownOver})},
		{"steps while starts succeed", append(backAt[:5:5], moment{3.9, succeeds, Reopening, 0, ReasonHoldDownOver}, moment{0.1, succeeds, Reopening, 1, ReasonStepSucceeded},
			moment{4, Evidence{Running: 40, Recovered: 40, StartsSent: 20, StartsSeen: 19}, Reopening, 2, ReasonStepSucceeded},
			moment{4, Evidence{Running: 40, Recovered: 40, StartsSent: 30, StartsSeen: 29}, Reopening, 3, ReasonStepSucceeded},
			moment{4, Evidence{Running: 40, Recovered: 40, StartsSent: 40, StartsSeen: 39}, Normal, 0, ReasonFullyOpen})},
		{"a step that nothing tries takes longer", append(backAt[:5:5], moment{7.9, allBack, Reopening, 0, ReasonHoldDownOver}, moment{0.1, allBack, Reopening, 1, ReasonStepSucceeded})},
		{"starts that do not arrive hold a step, and undo it", append(backAt[:5:5], moment{4, succeeds, Reopening, 1, ReasonStepSucceeded},
			moment{31.9, Evidence{Running: 40, Recovered: 40, StartsSent: 18, StartsSeen: 8}, Reopening, 1, ReasonStepSucceeded},
			moment{0.1, Evidence{Running: 40, Recovered: 40, StartsSent: 18, StartsSeen: 8}, Reopening, 0, ReasonStartsFailed})},
		{"the first step undone is a hold-down", append(backAt[:5:5], moment{32, tried, HeldDown, 0, ReasonStartsFailed})},
		{"machines fall silent anew", append(backAt[:5:5], moment{4, succeeds, Reopening, 1, ReasonStepSucceeded}, moment{1, relapsed, Reopening, 0, ReasonRelapse},
			moment{1, relapsed, Reopening, 0, ReasonRelapse})},
		{"lost anew in a step", append(backAt[:5:5], moment{1, silent, Reopening, 0, ReasonHoldDownOver}, moment{2, silent, FullDisruption, 0, ReasonMostSilent})},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m, now := NewLifecyclePolicy(testConfig()), 100*micros.Second
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
func observed(m *LifecyclePolicy, now *micros.Micros, afterS float64, times int, a, b Evidence) {
	for range times {
		*now += micros.FromSeconds(afterS)
		m.Observe(*now, Observation{Zones: map[string]Evidence{"a": a, "b": b}})
	}
}

// TestFlaps loses a zone again and again. Each flap doubles the hold-down up to its bound, and
// calm has them forgotten.
func TestFlaps(t *testing.T) {
	m, now := NewLifecyclePolicy(testConfig()), 100*micros.Second
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
		{"all but a small one", map[string]Evidence{"a": silent, "b": {Running: 1}}, false, 1},
		{"all and a small one", map[string]Evidence{"a": silent, "b": {Running: 1, Silent: 1}}, false, 0},
		{"one, seen by an isolated node", map[string]Evidence{"a": silent, "b": well}, true, 0},
	}
	for _, c := range cases {
		m := NewLifecyclePolicy(testConfig())
		for i := range 20 {
			m.Observe(micros.Micros(100+i)*micros.Second, Observation{Zones: c.zones, ObserverIsolated: c.isolated})
		}
		lost, replaced := 0, 0.0
		for _, s := range m.Status(0) {
			lost += strings.Count(s.State, FullDisruption.String())
			replaced += m.Decide(s.Zone).ReplacementShare
		}
		if lost != c.lost || (replaced > 0) != (c.lost > 0) {
			t.Errorf("%s: %d lost, %v replaced, want %d", c.name, lost, replaced, c.lost)
		}
	}
}

// TestLastZone loses a zone, and the other one while the first is heard again but not healthy:
// it is not lost, and what is heard is open to all, whatever the hold-down.
func TestLastZone(t *testing.T) {
	m, now := NewLifecyclePolicy(testConfig()), 100*micros.Second
	steps := []struct {
		times          int
		a, b           Evidence
		aState, bState State
		open           float64 // of a
	}{{2, silent, well, FullDisruption, Normal, 0}, {3, allBack, silent, Reopening, PartialDisruption, 1}, {15, allBack, silent, Normal, FullDisruption, 1}}
	for i, s := range steps {
		observed(m, &now, 3, s.times, s.a, s.b)
		a, b, open := m.zones["a"].state, m.zones["b"], m.Decide("a").OpenShare
		if a != s.aState || b.state != s.bState || open != s.open || b.state == PartialDisruption && b.reason != ReasonObserverAtFault {
			t.Errorf("step %d: %v and %v (%s), %v open; want %+v", i, a, b.state, b.reason, open, s)
		}
	}
}

// TestKept has the silent machines of a lost zone be kept where the zone is a large part of the
// fleet, also when others stand for them by then, and given up like single ones where it is not.
func TestKept(t *testing.T) {
	for others, want := range map[int]bool{40: true, 200: false} {
		m, now := NewLifecyclePolicy(testConfig()), 100*micros.Second
		observed(m, &now, 3, 2, silent, Evidence{Running: others})
		observed(m, &now, 0, 1, Evidence{Running: 20, Silent: 20}, Evidence{Running: others + 200})
		if d := m.Decide("a"); m.zones["a"].state != FullDisruption || d.KeepSilent != want {
			t.Errorf("beside %d machines: %v, %+v, want kept: %v", others, m.zones["a"].state, d, want)
		}
	}
}

// TestDecisions has what follows of each state, and of the default policy.
func TestDecisions(t *testing.T) {
	m := NewLifecyclePolicy(testConfig())
	cases := []struct {
		name string
		z    lifecycle
		up   int
		want Decision
	}{
		{"healthy", lifecycle{}, 9, Decision{MaxMachines: Unlimited, Reachable: true, OpenShare: 1}},
		{"suspected", lifecycle{state: PartialDisruption}, 9, Decision{Reachable: true, KeepSilent: true, OpenShare: 1, ReplacementShare: 0.5}},
		{"blamed", lifecycle{state: PartialDisruption, observerAtFault: true, lossSince: 1}, 9, Decision{KeepSilent: true, OpenShare: 1}},
		{"lost", lifecycle{state: FullDisruption, keep: true}, 9, Decision{KeepSilent: true, ReplacementShare: 0.5}},
		{"gone", lifecycle{state: FullDisruption}, 9, Decision{ReplacementShare: 0.5}},
		{"held", lifecycle{state: HeldDown, keep: true}, 9, Decision{Reachable: true, KeepSilent: true, ReplacementShare: 0.5}},
		{"returning", lifecycle{state: Reopening, step: 1, keep: true}, 9, Decision{Reachable: true, KeepSilent: true, OpenShare: 0.25, ReplacementShare: 0.5}},
		{"half open", lifecycle{state: Reopening, step: 2, keep: true}, 9, Decision{MaxMachines: Unlimited, Reachable: true, KeepSilent: true, OpenShare: 0.5, ReplacementShare: 0.5}},
		{"empty", lifecycle{state: Reopening, keep: true}, 0, Decision{MaxMachines: 3, Reachable: true, KeepSilent: true, OpenShare: 0.1, ReplacementShare: 0.5}},
	}
	for _, c := range cases {
		m.zones[c.name], m.evidence[c.name] = c.z, Evidence{Running: c.up}
		if got := m.Decide(c.name); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
	c := testConfig()
	c.ExemptZones = []string{"x"}
	exempt, plain := NewLifecyclePolicy(c), NewThresholdPolicy()
	for i := range 20 {
		o := Observation{Zones: map[string]Evidence{"x": silent, "y": {Running: 300}}}
		exempt.Observe(micros.Micros(100+i)*micros.Second, o)
		plain.Observe(0, o)
	}
	open := Decision{MaxMachines: Unlimited, Reachable: true, OpenShare: 1}
	if m.Decide("unknown") != open || exempt.Decide("x") != open || plain.Decide("x") != (Decision{OpenShare: 1}) {
		t.Errorf("unknown %+v, exempt %+v, by the default policy %+v", m.Decide("unknown"), exempt.Decide("x"), plain.Decide("x"))
	}
	if plain.EvacuationRank("scan", true) != 0 || plain.Record(0, 0) != nil || plain.Status(0) != nil {
		t.Error("the default policy has more to tell than whether zones are cut off")
	}
}

// TestBands has work move urgent first, then in the operators' order, while a zone is lost.
func TestBands(t *testing.T) {
	m := NewLifecyclePolicy(testConfig())
	m.config.EvacuationOrder = []string{"scan", "update"}
	for moving, want := range map[bool][]int{false: {0, 0, 0, 0}, true: {1, 2, 3, 4}} {
		m.moving = moving
		got := []int{m.EvacuationRank("other", true), m.EvacuationRank("scan", false), m.EvacuationRank("update", false), m.EvacuationRank("other", false)}
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
		{"lost", lifecycle{state: FullDisruption, reason: ReasonMostSilent, since: now - 20*s, flaps: 2, calm: now - 60*s, keep: true},
			lifecycle{state: FullDisruption, reason: ReasonMostSilent, since: nowThere - 22*s, flaps: 2, calm: nowThere - 62*s, keep: true}},
		{"held down", lifecycle{state: HeldDown, reason: ReasonHeartbeatsResumed, since: now - 4*s, flaps: 1, until: now + 6*s},
			lifecycle{state: HeldDown, reason: ReasonHeartbeatsResumed, since: nowThere - 6*s, flaps: 1, until: nowThere + 4*s}},
		{"returning", lifecycle{state: Reopening, reason: ReasonStepSucceeded, since: now - 4*s, step: 2, flaps: 1, sent: 9, started: 8},
			lifecycle{state: Reopening, reason: ReasonStepSucceeded, since: nowThere, step: 2, flaps: 1}},
		{"healthy after flaps", lifecycle{reason: ReasonFullyOpen, since: now - 10*s, flaps: 3, calm: now - 10*s},
			lifecycle{reason: ReasonFullyOpen, since: nowThere - 12*s, flaps: 3, calm: nowThere - 12*s}},
		{"healthy", lifecycle{}, lifecycle{}},
		{"too old", lifecycle{state: FullDisruption, since: now - 2*oldest, flaps: 1}, lifecycle{}},
		{"a step that there is not", lifecycle{state: Reopening, since: now, step: 9, flaps: 1}, lifecycle{}},
		{"a state that there is not", lifecycle{state: 9, since: now, flaps: 1}, lifecycle{}},
	}
	for _, c := range cases {
		m, next, other := NewLifecyclePolicy(testConfig()), NewLifecyclePolicy(testConfig()), NewLifecyclePolicy(testConfig())
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
