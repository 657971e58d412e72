package wire

import (
	"testing"
)

// TestKnownWords has the protocol's words for states and causes be known, and no others.
func TestKnownWords(t *testing.T) {
	cases := []struct {
		word         string
		state, cause bool
	}{
		{"pulling", true, false}, {"waiting", true, false}, {"running", true, false}, {"flushing", true, false}, {"ended", true, false},
		{"done", false, true}, {"stopped", false, true}, {"error", false, true}, {"no_room", false, true}, {"busy", false, true},
		{"no_such", false, true}, {"peers", false, true}, {"incomplete", false, true},
		{"", false, false}, {"Waiting", false, false}, {"boredom", false, false},
	}
	for _, c := range cases {
		if state, cause := IsKnownTaskState(c.word), IsKnownExitReason(c.word); state != c.state || cause != c.cause {
			t.Errorf("%q: a state %t, a cause %t", c.word, state, cause)
		}
	}
}
