package scheduler

import (
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestConsolidate checks under which conditions a surplus machine is drained because its tasks have room on another
// machine.
func TestConsolidate(t *testing.T) {
	const second = micros.Second
	type setup struct {
		checkpointIntervalS float64
		ran                 micros.Micros // how long each task has run
		tasks               [2]int        // on each machine of four CPUs
		deadlineS           float64       // 0: no deadline
		surplus             bool
		surplusFor          micros.Micros
		otherRejects        bool // the other machine rejects delay-tolerant jobs
		otherWorkWaits      bool
		holdsSession        bool
	}
	for _, c := range []struct {
		name    string
		edit    func(s *setup)
		drained bool
	}{
		{"room elsewhere", func(*setup) {}, true},
		{"no room elsewhere", func(s *setup) { s.tasks = [2]int{2, 3} }, false},
		{"not surplus", func(s *setup) { s.surplus = false }, false},
		{"its tasks save no checkpoints", func(s *setup) { s.checkpointIntervalS = 0 }, false},
		{"its tasks have just started", func(s *setup) { s.ran = 10 * second }, false},
		{"its tasks are nearly done", func(s *setup) { s.ran = 290 * second }, false},
		{"other work waits for the room", func(s *setup) { s.otherWorkWaits = true }, false},
		{"the session is lost", func(s *setup) { s.holdsSession = false }, false},
		{"deadline with enough slack for a move", func(s *setup) { s.deadlineS = 700 }, true},
		{"deadline, and surplus only for a short time", func(s *setup) { s.deadlineS, s.surplusFor = 700, 2*second }, false},
		{"deadline that would be missed after a move", func(s *setup) { s.deadlineS = 255 }, false},
		{"the other machine rejects delay-tolerant jobs", func(s *setup) { s.otherRejects = true }, false},
	} {
		with := setup{checkpointIntervalS: 30, ran: 60 * second, tasks: [2]int{1, 2}, surplus: true, surplusFor: 60 * second, holdsSession: true}
		c.edit(&with)
		s, term := newTestScheduler(t)
		term.holdsSession = with.holdsSession
		now := micros.Now() + 1000*second
		j := addJob(s, wire.Job{ID: "j-000300", Team: "blue", Tasks: 20, CPUs: 1, EstimatedRuntimeS: 300, AllowSpot: true,
			CheckpointIntervalS: with.checkpointIntervalS, CheckpointDurationS: 3})
		if with.deadlineS > 0 {
			j.Spec.DeadlineS = &with.deadlineS
		}
		surplusMachine, other := addMachine(s, "i-1", now), addMachine(s, "i-2", now)
		for i, m := range s.Fleet.Sorted {
			for range with.tasks[i] {
				runTask(j, m, now-with.ran)
			}
		}
		surplusMachine.Surplus, surplusMachine.SurplusSince = with.surplus, now-with.surplusFor
		other.RejectsDelayTolerant = with.otherRejects
		if with.otherWorkWaits {
			s.queue.jobs = []*state.Job{j}
		}
		s.Consolidate(now)
		if got := surplusMachine.DrainReason == consolidationReason; got != c.drained || other.DrainReason != "" {
			t.Errorf("%s: surplus machine drained: %v, want %v; drain reason of the other machine: %q, want none", c.name, got, c.drained, other.DrainReason)
		}
		for _, a := range surplusMachine.Attempts {
			if stopped := a.StopRequestedAt != 0 && a.GracePeriod == 3*second; stopped != c.drained {
				t.Errorf("%s: task stopped with a grace period of 3 s: %v, want %v", c.name, stopped, c.drained)
			}
		}
	}
}
