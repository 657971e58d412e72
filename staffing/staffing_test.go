package staffing

import (
	"math"
	"testing"
)

// near reports whether two values differ by less than a thousandth, relative to b if b exceeds 1.
func near(a, b float64) bool { return math.Abs(a-b) < 1e-3*math.Max(1, math.Abs(b)) }

// TestRequiredServers checks formula (4) against the start-up example in section 7 of the paper: λ = 100, μ = 1, α
// = 0.05, so m(t) = 100(1 - e^-t).
func TestRequiredServers(t *testing.T) {
	m := 0.0
	for k, want := range []int{77, 103, 112, 115, 117, 117, 117} {
		m = StepMean(m, 100, 1, 1)
		if got := RequiredServers(m, m, 1.645); got != want {
			t.Errorf("interval %d: %d servers, want %d as in the paper", k+1, got, want)
		}
	}
	cases := []struct {
		name              string
		mean, variance, z float64
		want              int
	}{
		{"steady state of the example", 100, 100, 1.645, 117},
		{"m + 0.5 + z√v is an integer: the next integer is used", 9.5, 0, 1, 11},
		{"no demand", 0, 0, 1.282, 1},
		{"twice the variance", 100, 200, 1.645, 124},
	}
	for _, c := range cases {
		if got := RequiredServers(c.mean, c.variance, c.z); got != c.want {
			t.Errorf("%s: %d servers, want %d", c.name, got, c.want)
		}
	}
}

// TestStepMean checks the closed form of formula (12) and its peak over an interval.
func TestStepMean(t *testing.T) {
	cases := []struct {
		name                                           string
		mean, arrivalRate, serviceRate, elapsedS, want float64
	}{
		{"mean rises to the offered load", 0, 2, 0.1, 1e4, 20},
		{"mean decays without arrivals", 10, 0, 0.1, 10, 10 / math.E},
		{"small steps equal a large one", StepMean(StepMean(3, 1, 0.5, 1), 1, 0.5, 1), 1, 0.5, 0, StepMean(3, 1, 0.5, 2)},
		{"service rate 0", 1, 2, 0, 3, 7},
	}
	for _, c := range cases {
		if got := StepMean(c.mean, c.arrivalRate, c.serviceRate, c.elapsedS); !near(got, c.want) {
			t.Errorf("%s: mean %v, want %v", c.name, got, c.want)
		}
	}
	if got := PeakMean(5, 10, 1, 30); !near(got, 10) {
		t.Errorf("rising mean: peak %v, want 10", got)
	}
	if got := PeakMean(10, 0, 1, 30); got != 10 {
		t.Errorf("falling mean: peak %v, want 10", got)
	}
}

// TestZForPrice checks that α grows with the price, up to a probability of one half.
func TestZForPrice(t *testing.T) {
	for _, c := range []struct{ z, priceRatio, want float64 }{{1.282, 1, 1.282}, {1.282, 3, 0.524}, {1.282, 5, 0}, {1.282, 50, 0}} {
		if got := ZForPrice(c.z, c.priceRatio); math.Abs(got-c.want) > 2e-3 {
			t.Errorf("z %v at price ratio %v: adjusted z %v, want %v", c.z, c.priceRatio, got, c.want)
		}
	}
}
