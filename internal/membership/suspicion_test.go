package membership

import (
	"testing"

	"caperlatch/internal/micros"
)

// TestConfirmedTimeout has confirmations shorten a suspicion, the first ones by most.
func TestConfirmedTimeout(t *testing.T) {
	c := DefaultConfig()
	for _, possible := range []int{0, 1, 3, 9} {
		last := c.MaxSuspicionTimeout + 1
		saved := micros.Micros(0)
		for confirmed := range possible + 1 {
			got := confirmedTimeout(&c, confirmed, possible)
			if got >= last || confirmed > 1 && last-got > saved {
				t.Errorf("%d of %d confirm: %v after %v", confirmed, possible, got.Duration(), last.Duration())
			}
			last, saved = got, last-got
		}
		if first := confirmedTimeout(&c, 0, possible); first != c.MaxSuspicionTimeout || possible > 0 && last != c.MinSuspicionTimeout {
			t.Errorf("%d possible: from %v to %v", possible, first.Duration(), last.Duration())
		}
	}
}
