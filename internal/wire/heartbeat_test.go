package wire

import (
	"testing"
)

// TestKnownStatesAndExitReasons checks that the protocol's states of tasks and exit reasons are
// known, and no other texts.
func TestKnownStatesAndExitReasons(t *testing.T) {
	cases := []struct {
		word          string
		state, reason bool
	}{
		{"pulling", true, false}, {"waiting", true, false}, {"running", true, false}, {"flushing", true, false}, {"ended", true, false},
		{"done", false, true}, {"stopped", false, true}, {"error", false, true}, {"no_room", false, true}, {"busy", false, true},
		{"no_such", false, true}, {"peers", false, true}, {"incomplete", false, true},
		{"", false, false}, {"Waiting", false, false}, {"boredom", false, false},
	}
	for _, c := range cases {
		if state, reason := IsKnownTaskState(c.word), IsKnownExitReason(c.word); state != c.state || reason != c.reason {
			t.Errorf("%q: known as a state %t, as an exit reason %t", c.word, state, reason)
		}
	}
}
