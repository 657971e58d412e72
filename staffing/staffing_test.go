package staffing

import (
	"math"
	"testing"

	"caperlatch/internal/micros"
)

// TestServers checks formula (4) against the paper's start-up example (its
// section 7): λ = 100, μ = 1, α = 0.05, so m(t) = 100(1 - e^-t).
func TestServers(t *testing.T) {
	m := 0.0
	for k, want := range []int{77, 103, 112, 115, 117, 117, 117} {
		m = StepMean(m, 100, 1, 1)
		if got := RequiredServers(m, m, 1.645); got != want {
			t.Errorf("interval %d: %d servers, the paper has %d", k+1, got, want)
		}
	}
	cases := []struct {
		name    string
		m, v, z float64
		want    int
	}{
		{"the steady state of that example", 100, 100, 1.645, 117},
		{"an integer is not the least one above itself", 9.5, 0, 1, 11},
		{"nothing to serve", 0, 0, 1.282, 1},
		{"twice the variance", 100, 200, 1.645, 124},
	}
	for _, c := range cases {
		if got := RequiredServers(c.m, c.v, c.z); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-3*math.Max(1, math.Abs(b)) }

func TestStep(t *testing.T) {
	cases := []struct {
		name                 string
		m, lambda, mu, dt, w float64
	}{
		{"toward the offered load", 0, 2, 0.1, 1e4, 20},
		{"decay", 10, 0, 0.1, 10, 10 / math.E},
		{"many small steps are one large", StepMean(StepMean(3, 1, 0.5, 1), 1, 0.5, 1), 1, 0.5, 0, StepMean(3, 1, 0.5, 2)},
		{"nothing ever ends", 1, 2, 0, 3, 7},
	}
	for _, c := range cases {
		if got := StepMean(c.m, c.lambda, c.mu, c.dt); !near(got, c.w) {
			t.Errorf("%s: %v, want %v", c.name, got, c.w)
		}
	}
	if got := PeakMean(5, 10, 1, 30); !near(got, 10) {
		t.Errorf("rising mean: peak %v, want 10", got)
	}
	if got := PeakMean(10, 0, 1, 30); got != 10 {
		t.Errorf("falling mean: peak %v, want 10", got)
	}
}

func TestMargin(t *testing.T) {
	// Poisson arrivals of whole machines: the paper's default v = m.
	var single BatchSizes
	single.Add(1, 1, false)
	single.Add(1, 1, false)
	if got := single.Peakedness(); !near(got, 1) {
		t.Errorf("single arrivals: peakedness %v, want 1", got)
	}
	// Batches of four whole machines: (4+1)/2.
	var batches BatchSizes
	batches.Add(4, 4, false)
	if got := batches.Peakedness(); !near(got, 2.5) {
		t.Errorf("batches of four: peakedness %v, want 2.5", got)
	}
	for _, c := range []struct{ z, k, want float64 }{{1.282, 1, 1.282}, {1.282, 3, 0.524}, {1.282, 5, 0}, {1.282, 50, 0}} {
		if got := ZForPrice(c.z, c.k); math.Abs(got-c.want) > 2e-3 {
			t.Errorf("z %v at %v times the price: %v, want %v", c.z, c.k, got, c.want)
		}
	}
}

func TestWindow(t *testing.T) {
	s := micros.Second
	w := NewDemandWindow(60 * s)
	for i := range 60 {
		w.Add(100*s+micros.Micros(i)*s, 2)
	}
	for _, c := range []struct {
		at   micros.Micros
		want float64
	}{{160 * s, 2}, {190 * s, 0.8}, {300 * s, 0}} {
		if got := w.Rate(c.at); math.Abs(got-c.want) > 0.05 {
			t.Errorf("rate at %v: %v, want %v", c.at, got, c.want)
		}
	}
	// Five a second, then none for 10 s: a third of the length tells enough.
	w = NewDemandWindow(60 * s)
	for i := range 600 {
		w.Add(s+micros.Micros(i)*s/5, 1)
	}
	for _, c := range []struct {
		at   micros.Micros
		want float64
	}{{121 * s, 5}, {131 * s, 2.5}} {
		if got := w.Rate(c.at); math.Abs(got-c.want) > 0.1 {
			t.Errorf("busy, rate at %v: %v, want %v", c.at, got, c.want)
		}
	}
	w = NewDemandWindow(60 * s)
	w.Add(s, 30)
	if got := w.Rate(s); got != 0.5 {
		t.Errorf("right after the start: %v, want 30 over the whole window", got)
	}
	w.Seed(500*s, 3)
	if got := w.Rate(500 * s); !near(got, 3) {
		t.Errorf("seeded: %v, want 3", got)
	}
}

func TestService(t *testing.T) {
	var s ServiceTime
	s.ObserveEstimate(1, 50)
	s.ObserveFinished(1, 20, 1)
	for _, c := range []struct {
		finished int
		want     float64
	}{{MinFinishedTasks - 1, 1.0 / 50}, {MinFinishedTasks, 1.0 / 20}} {
		if got := s.Rate(c.finished); !near(got, c.want) {
			t.Errorf("after %d tasks: μ %v, want %v", c.finished, got, c.want)
		}
	}
}

// TestEstimate has owners who are wrong by a factor two either way, on a day
// when all estimates are three times too high.
func TestEstimate(t *testing.T) {
	var e RuntimeEstimator
	if got := e.Predict(40); got != 40 {
		t.Errorf("nothing seen: %v, want the owner's 40", got)
	}
	for range 100 {
		for _, x := range []struct{ est, ran float64 }{{60, 40}, {240, 40}, {120, 40}, {30, 20}, {120, 20}, {60, 20}} {
			e.Observe(x.est, x.ran, 1)
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

func TestBacklog(t *testing.T) {
	cases := []struct {
		name    string
		waiting []WaitingWork
		running []RunningWork
		mean    float64
		supply  float64
		want    float64
	}{
		{"nothing waits", nil, []RunningWork{{100, 100}}, 0, 1, 0},
		{"no machines yet", []WaitingWork{{CPUSeconds: 400, DueInS: 10}}, nil, 0, 0, 20}, // within a boot of 20 s
		{"what ends soon makes room", []WaitingWork{{CPUSeconds: 100, DueInS: 20}}, []RunningWork{{10, 5}}, 0, 10, 0},
		{"what runs long does not", []WaitingWork{{CPUSeconds: 100, DueInS: 20}}, []RunningWork{{10, 500}}, 0, 10, 5},
		{"nor where more comes in", []WaitingWork{{CPUSeconds: 100, DueInS: 20}}, []RunningWork{{10, 5}}, 8, 10, 3},
		{"time enough", []WaitingWork{{CPUSeconds: 400, DueInS: 600}}, nil, 0, 10, 0},
	}
	for _, c := range cases {
		if got := BacklogShortage(c.waiting, c.running, c.mean, c.supply, 20); !near(got, c.want) {
			t.Errorf("%s: %v CPUs, want %v", c.name, got, c.want)
		}
	}
}

func TestStanding(t *testing.T) {
	cases := []struct {
		name                  string
		wait, interval, alpha float64
		want                  int
	}{
		{"each is reached in time", 5, 2, 0.1, 1},
		{"a quarter of them is", 2, 8, 0.12, 8}, // 0.75^8 = 0.10
		{"an eighth of them is", 1, 8, 0.07, 20},
		{"half of them is, and half must be", 1, 2, 0.5, 1},
		{"nothing is asked", 2, 8, 1, 1},
		{"none can be", 0, 8, 0.1, math.MaxInt32},
	}
	for _, c := range cases {
		if got := IdleMachines(c.wait, c.interval, c.alpha); got != c.want {
			t.Errorf("%s: %d servers, want %d", c.name, got, c.want)
		}
	}
}

// TestEarlyRate has entries of weight 2 come in every 5 s from some moment on.
func TestEarlyRate(t *testing.T) {
	for _, c := range []struct {
		name  string
		after int64 // seconds since the first
		z     float64
		want  float64
	}{
		{"the first counts over a third of the window", 0, 0, 0.1},
		{"and may have been one of three", 0, 2, 0.3},
		{"after a third", 20, 0, 0.5},
		{"after two thirds", 40, 0, 0.45},
		{"with a standard deviation", 40, 1, 0.6},
		{"after all of it it is the rate", 100, 1, 0.4},
	} {
		w := NewDemandWindow(60 * micros.Second)
		began := 1000 * micros.Second
		for at := int64(0); at <= c.after; at += 5 {
			w.Add(began+micros.Micros(at)*micros.Second, 2)
		}
		if got := w.EarlyRate(began+micros.Micros(c.after)*micros.Second, c.z); !near(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
