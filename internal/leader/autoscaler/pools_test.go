package autoscaler

import (
	"fmt"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestPoolSize checks how many machines are put into a pool when gangs are submitted.
func TestPoolSize(t *testing.T) {
	unchanged := func(*state.Job) {}
	// Each gang occupies two of four CPUs, which is half of a machine. The demand of four gangs that were just
	// submitted is measured over a third of a window and raised by 1.3 standard deviations of their number. By the end
	// of a review interval the gangs occupy 3.9 machines on average, which is rounded up. In addition, seven machines
	// that each send a heartbeat every 8 s must have free capacity, as 0.75^7 = 0.13. The target, 11, is limited to an
	// eighth of the fleet.
	for _, c := range []struct {
		name     string
		machines int
		kind     wire.JobKind
		jobs     int
		tasks    int                // of each job
		edit     func(j *state.Job) // applied to each job
		want     int
	}{
		{"arrays alone", 32, wire.KindArray, 1, 40, unchanged, 0},
		{"arrays that fit on one machine", 32, wire.KindArray, 4, 2, unchanged, 0},
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
