package scheduler

import (
	"testing"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestVictimsLostWork has best-effort tasks that could be preempted: those of a job that starts first are protected
// until their starts count, one that is nearly done is left alone, and of the others the job goes first that has
// most yet to start.
func TestVictimsLostWork(t *testing.T) {
	const second = micros.Second
	for _, c := range []struct {
		name       string
		tasks      int // of the job; 4 of them are on the machine
		protected  bool
		ran        micros.Micros
		bestEffort bool
		least      micros.Micros // lost work
		most       micros.Micros
	}{
		{"started long ago", 400, true, 100 * second, true, 3 * second, 4 * second},
		{"just started, and protected", 400, true, 10 * second, false, 38 * second, 39 * second},
		{"just started, and not protected", 400, false, 10 * second, true, 3 * second, 4 * second},
		{"all tasks of its job have started", 4, false, 100 * second, true, 13 * second, 13 * second},
		{"nearly done", 400, false, 290 * second, true, 23 * second, 24 * second},
	} {
		s, _ := newTest(t)
		now := micros.Now() + 1000*second
		m := addMachine(s, "i-1", now)
		j := addJob(s, wire.Job{ID: "j-000300", Team: "blue", Priority: "idle", Tasks: c.tasks, CPUs: 1, EstimatedRuntimeS: 300,
			CheckpointIntervalS: 30, CheckpointDurationS: 3, AllowSpot: true})
		for range 4 {
			runTask(j, m, now-c.ran).Protected = c.protected
		}
		view := s.withVictims(now)
		if len(view.placement) != 1 || len(view.placement[0].Victims) != 4 {
			t.Fatalf("%s: %+v", c.name, view.placement)
		}
		if victim := view.placement[0].Victims[0]; victim.BestEffort != c.bestEffort || victim.LostWork < c.least || victim.LostWork > c.most {
			t.Errorf("%s: best-effort %v, loses %v", c.name, victim.BestEffort, victim.LostWork.Duration())
		}
	}
}
