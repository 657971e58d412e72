package wire

import (
	"testing"
)

// TestKnownStatesAndExitReasons checks that exactly the protocol's task states and exit reasons are recognized.
func TestKnownStatesAndExitReasons(t *testing.T) {
	cases := []struct {
		word          string
		state, reason bool
	}{
		{"pulling", true, false}, {"waiting", true, false}, {"running", true, false}, {"flushing", true, false}, {"ended", true, false},
		{"done", false, true}, {"stopped", false, true}, {"error", false, true}, {"no_room", false, true}, {"busy", false, true},
		{"no_such", false, true}, {"peers", false, true}, {"incomplete", false, true},
		{"", false, false}, {"Waiting", false, false}, {"unknown", false, false},
	}
	for _, c := range cases {
		if state, reason := IsKnownTaskState(c.word), IsKnownExitReason(c.word); state != c.state || reason != c.reason {
			t.Errorf("%q: known as a task state: %t, as an exit reason: %t; want %t and %t", c.word, state, reason, c.state, c.reason)
		}
	}
}
