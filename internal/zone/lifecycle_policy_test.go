package zone

import (
	"slices"
	"strings"
	"testing"

	"caperlatch/internal/micros"
)

// TestFlapsDoubleHoldDown disrupts a zone repeatedly, and checks that each flap doubles the hold-down up to its maximum,
// and that flaps expire while the zone is normal.
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
			t.Errorf("flap %d: zone held down for %v s, want %v s", i, heldDownS, c.heldDownS)
		}
		observe(p, &now, 1, 40, allRecovered, allReady) // the zone reopens and becomes normal
	}
}

// TestObserverAtFaultDisruptsNoZone guards against an evacuation that the observer's own fault causes: if the evidence
// points to a fault of the observer, no zone may become fully disrupted and no machine may be replaced.
func TestObserverAtFaultDisruptsNoZone(t *testing.T) {
	cases := []struct {
		name          string
		zones         map[string]Evidence
		isolated      bool
		wantDisrupted int
	}{
		{"one of two zones", map[string]Evidence{"a": mostSilent, "b": allReady}, false, 1},
		{"both of two zones", map[string]Evidence{"a": mostSilent, "b": mostSilent}, false, 0},
		{"the only zone", map[string]Evidence{"a": mostSilent}, false, 0},
		{"two of four zones", map[string]Evidence{"a": mostSilent, "b": mostSilent, "c": allReady, "d": allReady}, false, 2},
		{"three of four zones, the fourth late", map[string]Evidence{"a": mostSilent, "b": mostSilent, "c": mostSilent, "d": mostLate}, false, 0},
		{"all but a small zone", map[string]Evidence{"a": mostSilent, "b": {Running: 1}}, false, 1},
		{"all, including a small zone", map[string]Evidence{"a": mostSilent, "b": {Running: 1, Silent: 1}}, false, 0},
		{"one of two zones, isolated observer", map[string]Evidence{"a": mostSilent, "b": allReady}, true, 0},
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
		if disrupted != c.wantDisrupted || (replaced > 0) != (c.wantDisrupted > 0) {
			t.Errorf("%s: %d zones fully disrupted, sum of replacement shares %v; want %d zones, sum above 0: %v",
				c.name, disrupted, replaced, c.wantDisrupted, c.wantDisrupted > 0)
		}
	}
}

// TestLastNormalZoneStaysOpen guards against a fleet without usable capacity. One zone is disrupted, and then the other
// one while the first recovers but is not normal yet: the other must not become fully disrupted, and the first must be
// fully open regardless of its hold-down.
func TestLastNormalZoneStaysOpen(t *testing.T) {
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
			t.Errorf("step %d: zone a is %v, zone b is %v (%s), open share of a %v; want %v, %v, %v, and reason %q if b is %v",
				i, a, b.state, b.reason, open, s.aState, s.bState, s.openShare, ReasonObserverAtFault, PartialDisruption)
		}
	}
}

// TestRetainSilentMachines checks that the silent machines of a disrupted zone are retained if the zone is a large part
// of the fleet, even after other machines have replaced them, and may be terminated one by one if it is not.
func TestRetainSilentMachines(t *testing.T) {
	for others, want := range map[int]bool{40: true, 200: false} {
		p, now := NewLifecyclePolicy(testConfig()), 100*micros.Second
		observe(p, &now, 3, 2, mostSilent, Evidence{Running: others})
		observe(p, &now, 0, 1, Evidence{Running: 20, Silent: 20}, Evidence{Running: others + 200})
		if d := p.Decide("a"); p.zones["a"].state != FullDisruption || d.RetainSilentMachines != want {
			t.Errorf("with %d machines in the other zone: state %v, RetainSilentMachines %v; want %v, %v",
				others, p.zones["a"].state, d.RetainSilentMachines, FullDisruption, want)
		}
	}
}

// TestDecide checks the decision for each state, for an exempt and an unknown zone, and by the ThresholdPolicy.
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
		{"full disruption, silent machines retained", lifecycle{state: FullDisruption, retainSilentMachines: true}, 9, Decision{RetainSilentMachines: true, ReplacementShare: 0.5}},
		{"full disruption", lifecycle{state: FullDisruption}, 9, Decision{ReplacementShare: 0.5}},
		{"held down", lifecycle{state: HeldDown, retainSilentMachines: true}, 9, Decision{Reachable: true, RetainSilentMachines: true, ReplacementShare: 0.5}},
		{"reopening", lifecycle{state: Reopening, step: 1, retainSilentMachines: true}, 9, Decision{Reachable: true, RetainSilentMachines: true, OpenShare: 0.25, ReplacementShare: 0.5}},
		{"reopening, half open", lifecycle{state: Reopening, step: 2, retainSilentMachines: true}, 9, Decision{MaxMachines: Unlimited, Reachable: true, RetainSilentMachines: true, OpenShare: 0.5, ReplacementShare: 0.5}},
		{"reopening, no machine", lifecycle{state: Reopening, retainSilentMachines: true}, 0, Decision{MaxMachines: 3, Reachable: true, RetainSilentMachines: true, OpenShare: 0.1, ReplacementShare: 0.5}},
	}
	for _, c := range cases {
		p.zones[c.name], p.evidence[c.name] = c.z, Evidence{Running: c.running}
		if got := p.Decide(c.name); got != c.want {
			t.Errorf("%s: decision %+v, want %+v", c.name, got, c.want)
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
		t.Errorf("decisions: unknown zone %+v, exempt zone %+v, want %+v for both; ThresholdPolicy %+v, want %+v",
			p.Decide("unknown"), exempt.Decide("x"), open, threshold.Decide("x"), Decision{OpenShare: 1})
	}
	if rank, r, s := threshold.EvacuationRank("scan", true), threshold.Record(0, 0), threshold.Status(0); rank != 0 || r != nil || s != nil {
		t.Errorf("ThresholdPolicy: evacuation rank %d, record %+v, status %+v; want 0, nil, nil", rank, r, s)
	}
}

// TestEvacuationRank checks that urgent jobs rank first and then the classes in the configured order while a zone is
// evacuated, and that all jobs rank equally otherwise.
func TestEvacuationRank(t *testing.T) {
	p := NewLifecyclePolicy(testConfig())
	p.config.EvacuationOrder = []string{"scan", "update"}
	for evacuating, want := range map[bool][]int{false: {0, 0, 0, 0}, true: {1, 2, 3, 4}} {
		p.evacuating = evacuating
		got := []int{p.EvacuationRank("other", true), p.EvacuationRank("scan", false), p.EvacuationRank("update", false), p.EvacuationRank("other", false)}
		if !slices.Equal(got, want) {
			t.Errorf("evacuating %v: ranks %v, want %v", evacuating, got, want)
		}
	}
}
