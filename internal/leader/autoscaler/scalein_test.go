package autoscaler

import (
	"fmt"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/wire"
)

// TestRejectDelayTolerant checks that on-demand machines that only delay-tolerant jobs use reject further tasks of
// such jobs, and that machines which other work uses, requires or waits for remain open to all jobs.
func TestRejectDelayTolerant(t *testing.T) {
	for _, c := range []struct {
		name           string
		priorities     []int // one task on each machine
		required, need float64
		rejecting      int
	}{
		{"no other work", []int{0, 0, 0}, 0, 0, 3},
		{"one machine runs other work", []int{0, 1, 0}, 0, 0, 2},
		{"the formula requires two machines", []int{0, 0, 0}, 2, 0, 1},
		{"other work waits", []int{0, 0, 0}, 0, 1, 0},
	} {
		s := newTest(t, len(c.priorities), typeM4)
		for i, priority := range c.priorities {
			j := newJob(fmt.Sprintf("j-00030%d", i), wire.KindArray, 1)
			j.Spec.Class, j.Priority = "", priority // a class without an objective
			(&state.Attempt{Job: j, Machine: s.Fleet.Sorted[i]}).Attach()
		}
		s.RejectDelayTolerant(s.Type("m4"), c.required, c.need)
		rejecting := 0
		for _, m := range s.Fleet.Sorted {
			if m.RejectsDelayTolerant {
				rejecting++
			}
		}
		if rejecting != c.rejecting {
			t.Errorf("%s: %d machines reject delay-tolerant jobs, want %d", c.name, rejecting, c.rejecting)
		}
	}
}
