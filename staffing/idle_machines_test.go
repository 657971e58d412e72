package staffing

import (
	"math"
	"testing"
)

// TestIdleMachines checks how many machines are required so that one of them sends a heartbeat in time.
func TestIdleMachines(t *testing.T) {
	cases := []struct {
		name                    string
		waitS, intervalS, alpha float64
		want                    int
	}{
		{"each sends a heartbeat in time", 5, 2, 0.1, 1},
		{"a quarter of them send a heartbeat in time", 2, 8, 0.12, 8}, // 0.75^8 = 0.10
		{"an eighth of them send a heartbeat in time", 1, 8, 0.07, 20},
		{"half of them send a heartbeat in time, probability 0.5", 1, 2, 0.5, 1},
		{"required probability 0", 2, 8, 1, 1},
		{"no wait allowed", 0, 8, 0.1, math.MaxInt32},
	}
	for _, c := range cases {
		if got := IdleMachines(c.waitS, c.intervalS, c.alpha); got != c.want {
			t.Errorf("%s: %d machines, want %d", c.name, got, c.want)
		}
	}
}
