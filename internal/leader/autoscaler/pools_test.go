package autoscaler

import (
	"fmt"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestPoolSize has gangs come in and counts the machines that are then in a pool.
func TestPoolSize(t *testing.T) {
	unchanged := func(*state.Job) {}
	// Two CPUs of four: a gang is half of a machine. Four that came in now, over a third of a window at least and
	// with 1.3 deviations of their number, are 3.9 machines in the mean by the end of an interval, rounded up.
	// Seven machines that send a heartbeat every 8 s must have room: 0.75^7 = 0.13. The fleet's share bounds both.
	for _, c := range []struct {
		name     string
		machines int
		kind     wire.JobKind
		jobs     int
		tasks    int                // of each job
		edit     func(j *state.Job) // each job
		want     int
	}{
		{"arrays alone", 32, wire.KindArray, 1, 40, unchanged, 0},
		{"arrays that a machine could take", 32, wire.KindArray, 4, 2, unchanged, 0},
		{"gangs", 32, wire.KindGang, 4, 2, unchanged, 4},
		{"gangs in a larger fleet", 232, wire.KindGang, 4, 2, unchanged, 11},
		{"gangs known at a failover", 32, wire.KindGang, 4, 2, func(j *state.Job) { j.MayHaveEarlierTasks = true }, 4},
		{"gangs larger than a machine", 32, wire.KindGang, 4, 2, func(j *state.Job) { j.Spec.CPUs, j.Need.CPU = 3, 3000 }, 0},
		{"gangs spread over zones", 32, wire.KindGang, 4, 2, func(j *state.Job) { j.Spec.SpreadZones = true }, 0},
		{"gangs bound to a zone", 32, wire.KindGang, 4, 2, func(j *state.Job) { j.Spec.Zone = "a" }, 0},
		{"gangs bound to an instance type", 32, wire.KindGang, 4, 2, func(j *state.Job) { j.Spec.InstanceTypes = []string{"m4"} }, 0},
	} {
		s := newTest(t, c.machines, typeM4)
		for i := range c.jobs {
			j := newJob(fmt.Sprintf("j-00010%d", i), c.kind, c.tasks)
			c.edit(j)
			submit(s, j)
		}
		s.Step(micros.Now())
		pooled := 0
		for _, m := range s.Fleet.Sorted {
			if m.Pool.IsSet() {
				pooled++
			}
		}
		if pooled != c.want {
			t.Errorf("%s: %d machines are in a pool, want %d", c.name, pooled, c.want)
		}
	}
}
