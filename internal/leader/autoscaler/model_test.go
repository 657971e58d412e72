package autoscaler

import (
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/wire"
)

// TestRaiseMeans has a leader of two types know, after a failover, what their machines hold. Tasks run on other
// types than those that their demand was counted for, so only what is held beyond all means raises them.
func TestRaiseMeans(t *testing.T) {
	for _, c := range []struct {
		name         string
		mean4, mean8 float64 // means of types m4 and m8 before
		held         int     // tasks of one CPU on machines of m4
		want4, want8 float64
	}{
		{"less is held than known", 10, 0, 20, 10, 0},
		{"more is held", 2, 0, 20, 5, 0},
		{"the other type's mean is of the same demand", 2, 2, 20, 2, 2},
		{"the other type's mean does not explain all", 2, 1, 20, 3, 1},
	} {
		s := newTest(t, 32, typeM4, typeM8)
		j := newJob("j-000200", wire.KindArray, 1000)
		for i := range c.held {
			(&state.Attempt{Job: j, Index: i, Number: 1, Machine: s.Fleet.Sorted[i/4]}).Attach()
		}
		s.Type("m4").Mean, s.Type("m8").Mean = c.mean4, c.mean8
		s.RaiseMeans()
		if got4, got8 := s.Type("m4").Mean, s.Type("m8").Mean; got4 != c.want4 || got8 != c.want8 {
			t.Errorf("%s: means of %v and %v, want %v and %v", c.name, got4, got8, c.want4, c.want8)
		}
	}
}
