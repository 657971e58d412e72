package autoscaler

import (
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestRaiseMeans checks that, once the leader knows the tasks of all machines after a failover, only load above the
// sum of all means raises the means. A task may run on another type than the one for which its demand was counted, so
// the load on a type must not be compared with the mean of that type alone.
func TestRaiseMeans(t *testing.T) {
	for _, c := range []struct {
		name         string
		mean4, mean8 float64 // means of types m4 and m8 before
		load         int     // one-CPU tasks on machines of type m4
		want4, want8 float64
	}{
		{"load below the means", 10, 0, 20, 10, 0},
		{"load above the means", 2, 0, 20, 5, 0},
		{"load covered by the other type's mean", 2, 2, 20, 2, 2},
		{"load partly covered by the other type's mean", 2, 1, 20, 3, 1},
	} {
		s := newTest(t, 32, typeM4, typeM8)
		j := newJob("j-000200", wire.KindArray, 1000)
		for i := range c.load {
			(&state.Attempt{Job: j, Index: i, Number: 1, Machine: s.Fleet.Sorted[i/4]}).Attach()
		}
		s.Type("m4").Mean, s.Type("m8").Mean = c.mean4, c.mean8
		s.RaiseMeans()
		if got4, got8 := s.Type("m4").Mean, s.Type("m8").Mean; got4 != c.want4 || got8 != c.want8 {
			t.Errorf("%s: means %v of m4 and %v of m8, want %v and %v", c.name, got4, got8, c.want4, c.want8)
		}
	}
}

// TestTargetOfInstantTasks guards against machines that are kept for ever once tasks that are estimated to take no time
// have ended.
func TestTargetOfInstantTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTest(t, 0, typeSlowM4)
		j := newJob("j-000001", wire.KindArray, 20)
		j.Spec.EstimatedRuntimeS = 0
		submit(s, j)
		j.Ended = true
		delete(s.Jobs, j.Spec.ID)
		for range 300 {
			s.Step(micros.Now())
			time.Sleep(time.Second)
		}
		if mean, target := s.Type("m4").Mean, s.Type("m4").Target; mean > minMean || target > 0 {
			t.Errorf("mean %.2f, target %d five minutes after a job of tasks without duration, want none", mean, target)
		}
	})
}
