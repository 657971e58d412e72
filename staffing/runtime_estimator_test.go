package staffing

import "testing"

// TestRuntimeEstimator checks corrections on a day when all estimates are three times too high, by owners who are
// additionally wrong by a factor of two in either direction.
func TestRuntimeEstimator(t *testing.T) {
	var e RuntimeEstimator
	if got := e.Predict(40); got != 40 {
		t.Errorf("nothing observed: predicted %v, want the owner's estimate, 40", got)
	}
	for range 100 {
		for _, x := range []struct{ estimatedS, ranS float64 }{{60, 40}, {240, 40}, {120, 40}, {30, 20}, {120, 20}, {60, 20}} {
			e.Observe(x.estimatedS, x.ranS, 1)
		}
	}
	if got := e.Predict(120); got < 25 || got > 45 {
		t.Errorf("estimate 120: predicted %v, want 25 to 45", got)
	}
	if got := e.Predict(2000); got > 200 {
		t.Errorf("estimate 2000: predicted %v, want at most 200", got)
	}
	if lo, hi := e.Predict(30), e.Predict(240); lo >= hi {
		t.Errorf("estimates 30 and 240: predicted %v and %v, want more for 240 than for 30", lo, hi)
	}
}
