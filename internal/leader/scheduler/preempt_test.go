package scheduler

import (
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestPreempt has an urgent job wait while best-effort tasks fill a machine.
func TestPreempt(t *testing.T) {
	const second = micros.Second
	for _, c := range []struct {
		name     string
		ran      micros.Micros
		set      func(s *Scheduler, now micros.Micros)
		stopping int
		grace    micros.Micros
	}{
		{"its victims can save", 100 * second, func(*Scheduler, micros.Micros) {}, 2, 3 * second},
		{"its victims have run for less than saving takes", 2 * second, func(*Scheduler, micros.Micros) {}, 2, 0},
		{"others were preempted in the last second", 100 * second, func(s *Scheduler, now micros.Micros) { s.preemptedAt = now - second/2 }, 0, 0},
		{"as many tasks end by themselves", 100 * second, func(s *Scheduler, now micros.Micros) {
			s.completions = completionRate{count: 40, since: now - 10*second}
		}, 0, 0},
		{"fewer tasks end by themselves", 100 * second, func(s *Scheduler, now micros.Micros) {
			s.completions = completionRate{count: 30, since: now - 10*second}
		}, 2, 3 * second},
	} {
		s, _ := newTest(t)
		now := micros.Now() + 1000*second
		m := addMachine(s, "i-1", now)
		spec := arrayJob("j-000001", 4)
		spec.Priority, spec.EstimatedRuntimeS, spec.CheckpointIntervalS, spec.CheckpointDurationS = "idle", 300, 30, 3
		victims := addJob(s, spec)
		for range 4 {
			runTask(victims, m, now-c.ran)
		}
		urgent := arrayJob("j-000002", 2)
		urgent.Priority = "urgent"
		addJob(s, urgent)
		c.set(s, now)
		s.Plan(now)
		if m.StoppingCount != c.stopping {
			t.Errorf("%s: %d tasks are stopping, want %d", c.name, m.StoppingCount, c.stopping)
		}
		for _, a := range m.Attempts {
			if a.StopRequestedAt != 0 && (a.GracePeriod != c.grace || a.StopReason != "stopped to make room for j-000002") {
				t.Errorf("%s: %v to save, %q", c.name, a.GracePeriod.Duration(), a.StopReason)
			}
		}
	}
}

// TestPreemptForGangs has a gang wait that would be late, while best-effort tasks fill a machine.
func TestPreemptForGangs(t *testing.T) {
	const second = micros.Second
	for _, c := range []struct {
		name     string
		waited   micros.Micros // of the minute that a gang may wait
		saving   float64       // how long a victim saves, in seconds
		set      func(s *Scheduler, m *state.Machine, now micros.Micros)
		stopping int
		grace    micros.Micros
	}{
		{"in time if its victims save", 53 * second, 3, func(*Scheduler, *state.Machine, micros.Micros) {}, 2, 3 * second},
		{"in time if its victims don't save", 53 * second, 10, func(*Scheduler, *state.Machine, micros.Micros) {}, 2, 0},
		{"its victims have run for less than saving takes", 53 * second, 3, func(_ *Scheduler, m *state.Machine, now micros.Micros) {
			for _, a := range m.Attempts {
				a.RunningSince = now - second
			}
		}, 2, 0},
		{"it need not be served yet", 20 * second, 3, func(*Scheduler, *state.Machine, micros.Micros) {}, 0, 0},
		{"victims were looked for just before", 53 * second, 3, func(s *Scheduler, _ *state.Machine, now micros.Micros) { s.preemptedForGangsAt = now - second/4 }, 0, 0},
	} {
		s, _ := newTest(t)
		now := micros.Now() + 1000*second
		m := addMachine(s, "i-1", now)
		spec := arrayJob("j-000001", 4)
		spec.Priority, spec.EstimatedRuntimeS, spec.CheckpointIntervalS, spec.CheckpointDurationS = "idle", 300, 30, c.saving
		victims := addJob(s, spec)
		for range 4 {
			runTask(victims, m, now-100*second)
		}
		gangSpec := arrayJob("j-000002", 2)
		gangSpec.Kind, gangSpec.EstimatedRuntimeS = wire.KindGang, 1 // so little work is not set aside
		gang := addJob(s, gangSpec)
		gang.SubmittedAt -= c.waited
		s.preemptedAt = now // so that preempt does nothing
		c.set(s, m, now)
		s.Plan(now)
		if m.StoppingCount != c.stopping {
			t.Errorf("%s: %d tasks are stopping, want %d", c.name, m.StoppingCount, c.stopping)
		}
		if c.stopping > 0 && (m.Reservation == nil || s.ReservedMachines(gangSpec.ID) != 1) {
			t.Errorf("%s: what comes free is not reserved", c.name)
		}
		for _, a := range m.Attempts {
			if a.StopRequestedAt != 0 && (a.GracePeriod != c.grace || a.StopReason != "stopped to make room for j-000002") {
				t.Errorf("%s: %v to save, %q", c.name, a.GracePeriod.Duration(), a.StopReason)
			}
		}
	}
}

// TestCompletionRate measures tasks that are done.
func TestCompletionRate(t *testing.T) {
	const second = micros.Second
	r := completionRate{since: 100 * second}
	for i, step := range []struct {
		done int
		at   micros.Micros
		want float64
	}{
		{10, 100*second + second/2, 0}, // too soon for a measurement
		{10, 102 * second, 5},          // half of 10 a second
		{0, 103 * second, 2.5},
		{8, 105 * second, 3.25},
	} {
		r.count += step.done
		if got := r.perSecond(step.at); got != step.want {
			t.Errorf("step %d: %v a second, want %v", i, got, step.want)
		}
	}
}
