package settings

import (
	"strings"
	"testing"
)

// TestUpcomingLimits checks which limits apply after a change, and which are safe both before and after it.
func TestUpcomingLimits(t *testing.T) {
	current := State{RPS: 60, WriteRPS: 15, ValueKB: 8, TxnOps: 12}
	cases := []struct {
		name, fields     string // fields: the table of upcoming limits
		after, strictest State
	}{
		{name: "no change", after: current, strictest: current},
		{name: "all lower", fields: "write_rps = 9.0\nvalue_kb = 2.0\ntxn_ops = 4",
			after: State{RPS: 60, WriteRPS: 9, ValueKB: 2, TxnOps: 4}, strictest: State{RPS: 60, WriteRPS: 9, ValueKB: 2, TxnOps: 4}},
		// A limit that is left out does not change; a raised limit must not be used before the change.
		{name: "one lower, one higher", fields: "value_kb = 16.0\ntxn_ops = 4",
			after: State{RPS: 60, WriteRPS: 15, ValueKB: 16, TxnOps: 4}, strictest: State{RPS: 60, WriteRPS: 15, ValueKB: 8, TxnOps: 4}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, err := Parse([]byte(strings.Replace(validSettings, "[params.cloud]", upcomingTable(c.fields), 1)))
			if err != nil {
				t.Fatal(err)
			}
			if got := s.Params.State.AfterChange(); got != c.after {
				t.Errorf("limits after the change: got %+v, want %+v", got, c.after)
			}
			if got := s.Params.State.Strictest(); got != c.strictest {
				t.Errorf("strictest limits: got %+v, want %+v", got, c.strictest)
			}
		})
	}
}
