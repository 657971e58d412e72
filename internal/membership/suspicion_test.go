package membership

import (
	"testing"

	"caperlatch/internal/micros"
)

// TestConfirmationsShortenSuspicion checks that each confirmation shortens the timeout of a suspicion, by no more than
// the one before, from the maximum down to the minimum.
func TestConfirmationsShortenSuspicion(t *testing.T) {
	c := DefaultConfig()
	for _, possible := range []int{0, 1, 3, 9} {
		last := c.MaxSuspicionTimeout + 1
		saved := micros.Micros(0)
		for confirmed := range possible + 1 {
			got := timeoutForConfirmations(&c, confirmed, possible)
			if got >= last || confirmed > 1 && last-got > saved {
				t.Errorf("%d of %d confirmations: timeout %v, %v with one fewer; want a shorter timeout, and a reduction no larger than the one before", confirmed, possible, got.Duration(), last.Duration())
			}
			last, saved = got, last-got
		}
		if first := timeoutForConfirmations(&c, 0, possible); first != c.MaxSuspicionTimeout || possible > 0 && last != c.MinSuspicionTimeout {
			t.Errorf("%d possible confirmations: timeouts from %v to %v, want %v to %v", possible, first.Duration(), last.Duration(),
				c.MaxSuspicionTimeout.Duration(), c.MinSuspicionTimeout.Duration())
		}
	}
}
