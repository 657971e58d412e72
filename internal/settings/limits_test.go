package settings

import (
	"strings"
	"testing"
)

// TestLimits checks which limits hold after a change, and before and after it.
func TestLimits(t *testing.T) {
	present := State{RPS: 60, WriteRPS: 15, ValueKB: 8, TxnOps: 12}
	cases := []struct {
		name, fields     string // of upcoming limits
		after, strictest State
	}{
		{name: "no change", after: present, strictest: present},
		{name: "all lower", fields: "write_rps = 9.0\nvalue_kb = 2.0\ntxn_ops = 4",
			after: State{RPS: 60, WriteRPS: 9, ValueKB: 2, TxnOps: 4}, strictest: State{RPS: 60, WriteRPS: 9, ValueKB: 2, TxnOps: 4}},
		// What is missing stays; a limit that is raised may not be used before.
		{name: "one lower, one higher", fields: "value_kb = 16.0\ntxn_ops = 4",
			after: State{RPS: 60, WriteRPS: 15, ValueKB: 16, TxnOps: 4}, strictest: State{RPS: 60, WriteRPS: 15, ValueKB: 8, TxnOps: 4}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, err := Parse([]byte(strings.Replace(file, "[params.cloud]", upcoming(c.fields), 1)))
			if err != nil {
				t.Fatal(err)
			}
			if got := s.Params.State.AfterChange(); got != c.after {
				t.Errorf("after the change %+v, want %+v", got, c.after)
			}
			if got := s.Params.State.Strictest(); got != c.strictest {
				t.Errorf("strictest %+v, want %+v", got, c.strictest)
			}
		})
	}
}
