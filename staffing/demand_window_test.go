package staffing

import (
	"math"
	"testing"

	"caperlatch/internal/micros"
)

// TestDemandWindowRate checks the rate of streams that continue, end, are dense, or have just begun, and of a
// seeded window.
func TestDemandWindowRate(t *testing.T) {
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
			t.Errorf("sparse stream, rate at %v: %v, want %v", c.at.Duration(), got, c.want)
		}
	}
	// Five entries per second, then none for 10 s: a third of the window suffices to measure the rate.
	w = NewDemandWindow(60 * s)
	for i := range 600 {
		w.Add(s+micros.Micros(i)*s/5, 1)
	}
	for _, c := range []struct {
		at   micros.Micros
		want float64
	}{{121 * s, 5}, {131 * s, 2.5}} {
		if got := w.Rate(c.at); math.Abs(got-c.want) > 0.1 {
			t.Errorf("dense stream, rate at %v: %v, want %v", c.at.Duration(), got, c.want)
		}
	}
	w = NewDemandWindow(60 * s)
	w.Add(s, 30)
	if got := w.Rate(s); got != 0.5 {
		t.Errorf("rate right after the first entry: %v, want 0.5, which is 30 over the whole window", got)
	}
	w.Seed(500*s, 3)
	if got := w.Rate(500 * s); !near(got, 3) {
		t.Errorf("rate of the seeded window: %v, want 3", got)
	}
}

// TestEarlyRate checks the rate of a stream with an entry of weight 2 every 5 s, at different times after its first
// entry.
func TestEarlyRate(t *testing.T) {
	for _, c := range []struct {
		name  string
		after int64 // seconds since the first entry
		z     float64
		want  float64
	}{
		{"first entry, measured over a third of the window", 0, 0, 0.1},
		{"first entry, with two standard deviations", 0, 2, 0.3},
		{"after a third of the window", 20, 0, 0.5},
		{"after two thirds of the window", 40, 0, 0.45},
		{"after two thirds of the window, with one standard deviation", 40, 1, 0.6},
		{"after the whole window", 100, 1, 0.4},
	} {
		w := NewDemandWindow(60 * micros.Second)
		startedAt := 1000 * micros.Second
		for at := int64(0); at <= c.after; at += 5 {
			w.Add(startedAt+micros.Micros(at)*micros.Second, 2)
		}
		if got := w.EarlyRate(startedAt+micros.Micros(c.after)*micros.Second, c.z); !near(got, c.want) {
			t.Errorf("%s: rate %v, want %v", c.name, got, c.want)
		}
	}
}
