package zone

import (
	"slices"
	"strings"
	"testing"

	"caperlatch/internal/micros"
)

// TestFlapsDoubleHoldDown disrupts a zone again and again. Each flap doubles the hold-down up to its
// bound, and normal times have flaps forgotten.
func TestFlapsDoubleHoldDown(t *testing.T) {
	p, now := NewLifecyclePolicy(testConfig()), 100*micros.Second
	for i, c := range []struct{ normalS, heldDownS float64 }{{1, 5}, {1, 10}, {1, 20}, {1, 30}, {1, 30}, {4 * 300, 10}} {
		observe(p, &now, c.normalS, 1, allReady, allReady)
		observe(p, &now, 1, 4, mostSilent, allReady)
		observe(p, &now, 1, 1, allRecovered, allReady)
		heldDownS := 0.0
		for ; p.zones["a"].state == HeldDown && heldDownS < 100; heldDownS++ {
			observe(p, &now, 1, 1, allRecovered, allReady)
		}
		if heldDownS != c.heldDownS {
			t.Errorf("flap %d: held down for %v s, want %v", i, heldDownS, c.heldDownS)
		}
		observe(p, &now, 1, 40, allRecovered, allReady) // it reopens
	}
}

// TestObserverAtFault has evidence that is of the observer rather than of a zone: no zone is taken as
// disrupted by it, and nothing is launched.
func TestObserverAtFault(t *testing.T) {
	cases := []struct {
		name      string
		zones     map[string]Evidence
		isolated  bool
		disrupted int
	}{
		{"one of two", map[string]Evidence{"a": mostSilent, "b": allReady}, false, 1},
		{"all of two", map[string]Evidence{"a": mostSilent, "b": mostSilent}, false, 0},
		{"the only one", map[string]Evidence{"a": mostSilent}, false, 0},
		{"two of four", map[string]Evidence{"a": mostSilent, "b": mostSilent, "c": allReady, "d": allReady}, false, 2},
		{"three of four, one late", map[string]Evidence{"a": mostSilent, "b": mostSilent, "c": mostSilent, "d": mostLate}, false, 0},
		{"all but a small one", map[string]Evidence{"a": mostSilent, "b": {Running: 1}}, false, 1},
		{"all and a small one", map[string]Evidence{"a": mostSilent, "b": {Running: 1, Silent: 1}}, false, 0},
		{"one, by an isolated observer", map[string]Evidence{"a": mostSilent, "b": allReady}, true, 0},
	}
	for _, c := range cases {
		p := NewLifecyclePolicy(testConfig())
		for i := range 20 {
			p.Observe(micros.Micros(100+i)*micros.Second, Observation{Zones: c.zones, ObserverIsolated: c.isolated})
		}
		disrupted, replaced := 0, 0.0
		for _, s := range p.Status(0) {
			disrupted += strings.Count(s.State, FullDisruption.String())
			replaced += p.Decide(s.Zone).ReplacementShare
		}
		if disrupted != c.disrupted || (replaced > 0) != (c.disrupted > 0) {
			t.Errorf("%s: %d fully disrupted, %v replaced, want %d", c.name, disrupted, replaced, c.disrupted)
		}
	}
}

// TestLastNormalZone disrupts a zone, and the other one while the first recovers but is not normal:
// the other is not taken as disrupted, and what is heard is open to all, whatever the hold-down.
func TestLastNormalZone(t *testing.T) {
	p, now := NewLifecyclePolicy(testConfig()), 100*micros.Second
	steps := []struct {
		times          int
		a, b           Evidence
		aState, bState State
		openShare      float64 // of a
	}{{2, mostSilent, allReady, FullDisruption, Normal, 0}, {3, allRecovered, mostSilent, Reopening, PartialDisruption, 1}, {15, allRecovered, mostSilent, Normal, FullDisruption, 1}}
	for i, s := range steps {
		observe(p, &now, 3, s.times, s.a, s.b)
		a, b, open := p.zones["a"].state, p.zones["b"], p.Decide("a").OpenShare
		if a != s.aState || b.state != s.bState || open != s.openShare || b.state == PartialDisruption && b.reason != ReasonObserverAtFault {
			t.Errorf("step %d: %v and %v (%s), %v open; want %+v", i, a, b.state, b.reason, open, s)
		}
	}
}

// TestKeepSilentMachines has the silent machines of a disrupted zone be kept where the zone is a large
// part of the fleet, also when others replace them by then, and given up one by one where it is not.
func TestKeepSilentMachines(t *testing.T) {
	for others, want := range map[int]bool{40: true, 200: false} {
		p, now := NewLifecyclePolicy(testConfig()), 100*micros.Second
		observe(p, &now, 3, 2, mostSilent, Evidence{Running: others})
		observe(p, &now, 0, 1, Evidence{Running: 20, Silent: 20}, Evidence{Running: others + 200})
		if d := p.Decide("a"); p.zones["a"].state != FullDisruption || d.RetainSilentMachines != want {
			t.Errorf("beside %d machines: %v, %+v, want kept: %v", others, p.zones["a"].state, d, want)
		}
	}
}

// TestDecide has what follows from each state, and from the default policy.
func TestDecide(t *testing.T) {
	p := NewLifecyclePolicy(testConfig())
	cases := []struct {
		name    string
		z       lifecycle
		running int
		want    Decision
	}{
		{"normal", lifecycle{}, 9, Decision{MaxMachines: Unlimited, Reachable: true, OpenShare: 1}},
		{"partial disruption", lifecycle{state: PartialDisruption}, 9, Decision{Reachable: true, RetainSilentMachines: true, OpenShare: 1, ReplacementShare: 0.5}},
		{"observer at fault", lifecycle{state: PartialDisruption, observerAtFault: true, disruptedSince: 1}, 9, Decision{RetainSilentMachines: true, OpenShare: 1}},
		{"full disruption, silent machines kept", lifecycle{state: FullDisruption, keepSilent: true}, 9, Decision{RetainSilentMachines: true, ReplacementShare: 0.5}},
		{"full disruption", lifecycle{state: FullDisruption}, 9, Decision{ReplacementShare: 0.5}},
		{"held down", lifecycle{state: HeldDown, keepSilent: true}, 9, Decision{Reachable: true, RetainSilentMachines: true, ReplacementShare: 0.5}},
		{"reopening", lifecycle{state: Reopening, step: 1, keepSilent: true}, 9, Decision{Reachable: true, RetainSilentMachines: true, OpenShare: 0.25, ReplacementShare: 0.5}},
		{"reopening, half open", lifecycle{state: Reopening, step: 2, keepSilent: true}, 9, Decision{MaxMachines: Unlimited, Reachable: true, RetainSilentMachines: true, OpenShare: 0.5, ReplacementShare: 0.5}},
		{"reopening, no machine", lifecycle{state: Reopening, keepSilent: true}, 0, Decision{MaxMachines: 3, Reachable: true, RetainSilentMachines: true, OpenShare: 0.1, ReplacementShare: 0.5}},
	}
	for _, c := range cases {
		p.zones[c.name], p.evidence[c.name] = c.z, Evidence{Running: c.running}
		if got := p.Decide(c.name); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
	c := testConfig()
	c.ExemptZones = []string{"x"}
	exempt, threshold := NewLifecyclePolicy(c), NewThresholdPolicy()
	for i := range 20 {
		o := Observation{Zones: map[string]Evidence{"x": mostSilent, "y": {Running: 300}}}
		exempt.Observe(micros.Micros(100+i)*micros.Second, o)
		threshold.Observe(0, o)
	}
	open := Decision{MaxMachines: Unlimited, Reachable: true, OpenShare: 1}
	if p.Decide("unknown") != open || exempt.Decide("x") != open || threshold.Decide("x") != (Decision{OpenShare: 1}) {
		t.Errorf("unknown %+v, exempt %+v, by the default policy %+v", p.Decide("unknown"), exempt.Decide("x"), threshold.Decide("x"))
	}
	if threshold.EvacuationRank("scan", true) != 0 || threshold.Record(0, 0) != nil || threshold.Status(0) != nil {
		t.Error("the default policy decides more than whether zones are cut off")
	}
}

// TestEvacuationRank has work move urgent first, then in the operators' order, while a zone is
// evacuated.
func TestEvacuationRank(t *testing.T) {
	p := NewLifecyclePolicy(testConfig())
	p.config.EvacuationOrder = []string{"scan", "update"}
	for evacuating, want := range map[bool][]int{false: {0, 0, 0, 0}, true: {1, 2, 3, 4}} {
		p.evacuating = evacuating
		got := []int{p.EvacuationRank("other", true), p.EvacuationRank("scan", false), p.EvacuationRank("update", false), p.EvacuationRank("other", false)}
		if !slices.Equal(got, want) {
			t.Errorf("ranks %v, want %v", got, want)
		}
	}
}
