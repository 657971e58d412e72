package micros

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"
)

// TestFromSeconds checks that durations are rounded to microseconds and limited to about 31 years.
func TestFromSeconds(t *testing.T) {
	cases := []struct {
		name    string
		seconds float64
		want    Micros
	}{
		{"zero", 0, 0},
		{"a fraction of a second", 1.5, 1500 * Millisecond},
		{"rounded up", 0.0000015, 2},
		{"rounded down", 0.0000014, 1},
		{"negative", -2, -2 * Second},
		{"too long", 1e300, 1e15},
		{"infinite", math.Inf(1), 1e15},
		{"negative infinite", math.Inf(-1), -1e15},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := FromSeconds(c.seconds); got != c.want {
				t.Errorf("FromSeconds(%v) = %d, want %d", c.seconds, got, c.want)
			}
		})
	}
}

// TestConversions checks conversions to seconds and to time.Duration.
func TestConversions(t *testing.T) {
	if got := (1500 * Millisecond).Seconds(); got != 1.5 {
		t.Errorf("Seconds() = %v, want 1.5", got)
	}
	if got := (1500 * Millisecond).Duration(); got != 1500*time.Millisecond {
		t.Errorf("Duration() = %v, want 1.5s", got)
	}
}

// TestMaxClockDrift checks that two clocks may drift apart by 0.05% of the elapsed time each, and by one timer step.
func TestMaxClockDrift(t *testing.T) {
	for elapsed, want := range map[Micros]Micros{0: 20 * Millisecond, 10 * Second: 30 * Millisecond} {
		if got := MaxClockDrift(elapsed); got != want {
			t.Errorf("drift over %v s: %d µs, want %d µs", elapsed.Seconds(), got, want)
		}
	}
}

// TestNow checks that the steady clock advances with elapsed time and stays above 0, even with the fake clock of
// testing/synctest, which is decades behind the start of the process.
func TestNow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := Now()
		Second.Sleep()
		if start <= 0 || Now()-start != Second {
			t.Errorf("steady clock went from %d to %d in a second, want a start above 0 and %d more", start, Now(), Second)
		}
	})
}

// TestEveryAndPause checks that Every and Pause return when their context ends, that Every calls its function once per
// interval, and that Pause otherwise lasts for its duration.
func TestEveryAndPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 3500*time.Millisecond)
		defer cancel()
		start, calls := Now(), 0
		Every(ctx, Second, func() { calls++ })
		if elapsed := Now() - start; calls != 3 || elapsed != 3500*Millisecond {
			t.Errorf("%d calls in %v s, want 3 in 3.5 s", calls, elapsed.Seconds())
		}
		start = Now()
		Pause(ctx, Second)
		if elapsed := Now() - start; elapsed != 0 {
			t.Errorf("a pause after the end of its context took %v s, want 0", elapsed.Seconds())
		}
		Pause(context.Background(), Second)
		if elapsed := Now() - start; elapsed != Second {
			t.Errorf("a pause of 1 s took %v s, want 1 s", elapsed.Seconds())
		}
	})
}
