package settings

import (
	"strings"
	"testing"
)

// TestLimits asks which limits hold before and after a change of them.
func TestLimits(t *testing.T) {
	present := State{RPS: 60, WriteRPS: 15, ValueKB: 8, TxnOps: 12}
	cases := []struct {
		name, next    string
		later, always State
	}{
		{name: "no change", later: present, always: present},
		{name: "all lower", next: "write_rps = 9.0\nvalue_kb = 2.0\ntxn_ops = 4",
			later: State{RPS: 60, WriteRPS: 9, ValueKB: 2, TxnOps: 4}, always: State{RPS: 60, WriteRPS: 9, ValueKB: 2, TxnOps: 4}},
		// What is missing stays; a limit that is raised may not be used before.
		{name: "one lower, one higher", next: "value_kb = 16.0\ntxn_ops = 4",
			later: State{RPS: 60, WriteRPS: 15, ValueKB: 16, TxnOps: 4}, always: State{RPS: 60, WriteRPS: 15, ValueKB: 8, TxnOps: 4}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, err := Parse([]byte(strings.Replace(file, "[params.cloud]", upcoming(c.next), 1)))
			if err != nil {
				t.Fatal(err)
			}
			if got := s.Params.State.AfterChange(); got != c.later {
				t.Errorf("later %+v, want %+v", got, c.later)
			}
			if got := s.Params.State.Strictest(); got != c.always {
				t.Errorf("at any time %+v, want %+v", got, c.always)
			}
		})
	}
}
