package micros

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"
)

// TestFromSeconds checks rounding and the bounds of what is converted.
func TestFromSeconds(t *testing.T) {
	cases := []struct {
		name    string
		seconds float64
		want    Micros
	}{
		{"nothing", 0, 0},
		{"a part of a second", 1.5, 1500 * Millisecond},
		{"rounded up", 0.0000015, 2},
		{"rounded down", 0.0000014, 1},
		{"negative", -2, -2 * Second},
		{"too long", 1e300, 1e15},
		{"infinite", math.Inf(1), 1e15},
		{"too long before", math.Inf(-1), -1e15},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := FromSeconds(c.seconds); got != c.want {
				t.Errorf("%d, want %d", got, c.want)
			}
		})
	}
}

// TestConversions checks that durations are the same in all units.
func TestConversions(t *testing.T) {
	if got := (1500 * Millisecond).Seconds(); got != 1.5 {
		t.Errorf("%v seconds, want 1.5", got)
	}
	if got := (1500 * Millisecond).Duration(); got != 1500*time.Millisecond {
		t.Errorf("%v, want 1.5 s", got)
	}
}

// TestMaxClockDrift checks what two clocks that are each off by 0.05% may run apart, and a step.
func TestMaxClockDrift(t *testing.T) {
	for elapsed, want := range map[Micros]Micros{0: 20 * Millisecond, 10 * Second: 30 * Millisecond} {
		if got := MaxClockDrift(elapsed); got != want {
			t.Errorf("over %v s: %d, want %d", elapsed.Seconds(), got, want)
		}
	}
}

// TestNow checks that the steady clock goes by elapsed time and stays above zero, also under the
// tests' clock, which is decades behind the start of the process.
func TestNow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := Now()
		Second.Sleep()
		if start <= 0 || Now()-start != Second {
			t.Errorf("from %d to %d in a second", start, Now())
		}
	})
}

// TestWaits checks that both waits end with their context, and Every's calls with their interval.
func TestWaits(t *testing.T) {
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
			t.Errorf("a pause after the context's end took %v s", elapsed.Seconds())
		}
		Pause(context.Background(), Second)
		if elapsed := Now() - start; elapsed != Second {
			t.Errorf("a pause of a second took %v s", elapsed.Seconds())
		}
	})
}
