package staffing

import "testing"

// TestRuntimeEstimator has owners who are wrong by a factor two either way, on a day when all
// estimates are three times too high.
func TestRuntimeEstimator(t *testing.T) {
	var e RuntimeEstimator
	if got := e.Predict(40); got != 40 {
		t.Errorf("nothing observed: %v, want the owner's 40", got)
	}
	for range 100 {
		for _, x := range []struct{ estimatedS, ranS float64 }{{60, 40}, {240, 40}, {120, 40}, {30, 20}, {120, 20}, {60, 20}} {
			e.Observe(x.estimatedS, x.ranS, 1)
		}
	}
	if got := e.Predict(120); got < 25 || got > 45 {
		t.Errorf("120 corrected to %v, want about 35", got)
	}
	if got := e.Predict(2000); got > 200 {
		t.Errorf("an absurd estimate stays at %v", got)
	}
	if lo, hi := e.Predict(30), e.Predict(240); lo >= hi {
		t.Errorf("a longer estimate is not longer: %v, %v", lo, hi)
	}
}
