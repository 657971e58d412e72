package zone

import (
	"testing"

	"caperlatch/internal/micros"
)

// observedStep is an observation made afterS seconds after the previous one, with the state, step and reason that the
// lifecycle must have after it.
type observedStep struct {
	afterS float64
	e      Evidence
	state  State
	step   int
	reason Reason
}

// TestLifecycleTransitions checks the transitions of the lifecycle of one zone while another zone is normal.
func TestLifecycleTransitions(t *testing.T) {
	disrupted := []observedStep{{1, mostSilent, PartialDisruption, 0, ReasonHeartbeatsLate}, {1, mostSilent, PartialDisruption, 0, ReasonHeartbeatsLate}, {1, mostSilent, FullDisruption, 0, ReasonMostSilent}}
	heldDown := append(disrupted[:3:3], observedStep{9, allRecovered, HeldDown, 0, ReasonHeartbeatsResumed})
	reopening := append(heldDown[:4:4], observedStep{5, allRecovered, Reopening, 0, ReasonHoldDownOver})
	cases := []struct {
		name  string
		steps []observedStep
	}{
		{"all machines ready", []observedStep{{1, allReady, Normal, 0, ""}, {1, fewLate, Normal, 0, ""}}},
		{"late, normal only once most heartbeats arrive", []observedStep{{1, mostLate, PartialDisruption, 0, ReasonHeartbeatsLate}, {9, fewLate, PartialDisruption, 0, ReasonHeartbeatsLate},
			{9, Evidence{Running: 40, Late: 10}, Normal, 0, ReasonHeartbeatsArrive}}},
		{"machines late for 99 s are no full disruption", []observedStep{{1, mostLate, PartialDisruption, 0, ReasonHeartbeatsLate}, {99, mostLate, PartialDisruption, 0, ReasonHeartbeatsLate}}},
		{"machines silent for a short time are no full disruption", []observedStep{{1, mostSilent, PartialDisruption, 0, ReasonHeartbeatsLate}, {1, fewLate, PartialDisruption, 0, ReasonHeartbeatsLate},
			{1, mostSilent, PartialDisruption, 0, ReasonHeartbeatsLate}, {1, mostSilent, PartialDisruption, 0, ReasonHeartbeatsLate}, {1, mostSilent, FullDisruption, 0, ReasonMostSilent}}},
		{"too few machines for evidence", []observedStep{{1, Evidence{Running: 2, Silent: 2}, Normal, 0, ""}}},
		{"quarantined machines are no disruption", []observedStep{{1, Evidence{Running: 40, Quarantined: 40}, Normal, 0, ""}}},
		{"fully disrupted until half of the machines have recovered", append(disrupted[:3:3], observedStep{9, allReady, FullDisruption, 0, ReasonMostSilent},
			observedStep{1, Evidence{Running: 40, Silent: 21, Recovered: 19}, FullDisruption, 0, ReasonMostSilent}, observedStep{1, halfRecovered, HeldDown, 0, ReasonHeartbeatsResumed})},
		{"no machine left", append(disrupted[:3:3], observedStep{60, noMachines, HeldDown, 0, ReasonNoMachines}, observedStep{5, noMachines, Reopening, 0, ReasonHoldDownOver},
			observedStep{99, noMachines, Reopening, 0, ReasonHoldDownOver}, observedStep{1, Evidence{Running: 3, Recovered: 3}, Reopening, 0, ReasonHoldDownOver},
			observedStep{7, Evidence{Running: 3, Recovered: 3}, Reopening, 1, ReasonStepSucceeded})},
		{"no machine left in a partially disrupted zone", []observedStep{{1, mostLate, PartialDisruption, 0, ReasonHeartbeatsLate}, {9, noMachines, HeldDown, 0, ReasonNoMachines}}},
		{"held down", append(heldDown[:4:4], observedStep{4.9, allRecovered, HeldDown, 0, ReasonHeartbeatsResumed}, observedStep{0.1, allRecovered, Reopening, 0, ReasonHoldDownOver})},
		{"held down for longer after a flap", append(heldDown[:4:4], observedStep{1, mostSilent, HeldDown, 0, ReasonHeartbeatsResumed}, observedStep{2, mostSilent, FullDisruption, 0, ReasonMostSilent},
			observedStep{1, allRecovered, HeldDown, 0, ReasonHeartbeatsResumed}, observedStep{9, allRecovered, HeldDown, 0, ReasonHeartbeatsResumed}, observedStep{1, allRecovered, Reopening, 0, ReasonHoldDownOver})},
		{"steps while starts arrive", append(reopening[:5:5], observedStep{3.9, startsArrive, Reopening, 0, ReasonHoldDownOver}, observedStep{0.1, startsArrive, Reopening, 1, ReasonStepSucceeded},
			observedStep{4, Evidence{Running: 40, Recovered: 40, StartsSent: 20, StartsSeen: 19}, Reopening, 2, ReasonStepSucceeded},
			observedStep{4, Evidence{Running: 40, Recovered: 40, StartsSent: 30, StartsSeen: 29}, Reopening, 3, ReasonStepSucceeded},
			observedStep{4, Evidence{Running: 40, Recovered: 40, StartsSent: 40, StartsSeen: 39}, Normal, 0, ReasonFullyOpen})},
		{"a step without starts takes longer", append(reopening[:5:5], observedStep{7.9, allRecovered, Reopening, 0, ReasonHoldDownOver}, observedStep{0.1, allRecovered, Reopening, 1, ReasonStepSucceeded})},
		{"starts that are not seen delay a step, then undo it", append(reopening[:5:5], observedStep{4, startsArrive, Reopening, 1, ReasonStepSucceeded},
			observedStep{31.9, Evidence{Running: 40, Recovered: 40, StartsSent: 18, StartsSeen: 8}, Reopening, 1, ReasonStepSucceeded},
			observedStep{0.1, Evidence{Running: 40, Recovered: 40, StartsSent: 18, StartsSeen: 8}, Reopening, 0, ReasonStartsFailed})},
		{"first step undone by a hold-down", append(reopening[:5:5], observedStep{32, startsLost, HeldDown, 0, ReasonStartsFailed})},
		{"machines that fall silent again undo a step", append(reopening[:5:5], observedStep{4, startsArrive, Reopening, 1, ReasonStepSucceeded}, observedStep{1, fewRelapsed, Reopening, 0, ReasonRelapse},
			observedStep{1, fewRelapsed, Reopening, 0, ReasonRelapse})},
		{"full disruption during a step", append(reopening[:5:5], observedStep{1, mostSilent, Reopening, 0, ReasonHoldDownOver}, observedStep{2, mostSilent, FullDisruption, 0, ReasonMostSilent})},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, now := NewLifecyclePolicy(testConfig()), 100*micros.Second
			for i, s := range c.steps {
				now += micros.FromSeconds(s.afterS)
				p.Observe(now, Observation{Zones: map[string]Evidence{"a": s.e, "b": allReady}})
				if z := p.zones["a"]; z.state != s.state || z.step != s.step || z.reason != s.reason {
					t.Fatalf("observation %d: state %v, step %d, reason %q; want %v, %d, %q", i, z.state, z.step, z.reason, s.state, s.step, s.reason)
				}
			}
		})
	}
}
