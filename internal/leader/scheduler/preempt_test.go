package scheduler

import (
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestPreempt checks when, and with which grace period, best-effort tasks that fill a machine are preempted for
// a waiting urgent job.
func TestPreempt(t *testing.T) {
	const second = micros.Second
	for _, c := range []struct {
		name     string
		ran      micros.Micros // how long each victim has run
		set      func(s *Scheduler, now micros.Micros)
		stopping int // number of victims that are stopping
		grace    micros.Micros
	}{
		{"its victims can save a checkpoint", 100 * second, func(*Scheduler, micros.Micros) {}, 2, 3 * second},
		{"its victims have run for less than saving takes", 2 * second, func(*Scheduler, micros.Micros) {}, 2, 0},
		{"preempt ran within the last second", 100 * second, func(s *Scheduler, now micros.Micros) { s.preemptedAt = now - second/2 }, 0, 0},
		{"as many tasks complete by themselves as wait", 100 * second, func(s *Scheduler, now micros.Micros) {
			s.completions = completionRate{count: 40, since: now - 10*second}
		}, 0, 0},
		{"fewer tasks complete by themselves than wait", 100 * second, func(s *Scheduler, now micros.Micros) {
			s.completions = completionRate{count: 30, since: now - 10*second}
		}, 2, 3 * second},
	} {
		s, _ := newTestScheduler(t)
		now := micros.Now() + 1000*second
		m := addMachine(s, "i-1", now)
		spec := arrayJobSpec("j-000001", 4)
		spec.Priority, spec.EstimatedRuntimeS, spec.CheckpointIntervalS, spec.CheckpointDurationS = "idle", 300, 30, 3
		victims := addJob(s, spec)
		for range 4 {
			runTask(victims, m, now-c.ran)
		}
		urgent := arrayJobSpec("j-000002", 2)
		urgent.Priority = "urgent"
		addJob(s, urgent)
		c.set(s, now)
		s.Plan(now)
		if m.StoppingCount != c.stopping {
			t.Errorf("%s: %d tasks are stopping, want %d", c.name, m.StoppingCount, c.stopping)
		}
		for _, a := range m.Attempts {
			if a.StopRequestedAt != 0 && (a.GracePeriod != c.grace || a.StopReason != "stopped to make room for j-000002") {
				t.Errorf("%s: grace period %v, want %v; stop reason %q, want that for j-000002", c.name, a.GracePeriod.Duration(), c.grace.Duration(), a.StopReason)
			}
		}
	}
}

// TestPreemptForGangs checks when, and with which grace period, best-effort tasks that fill a machine are
// preempted for a waiting gang that would otherwise be late.
func TestPreemptForGangs(t *testing.T) {
	const second = micros.Second
	for _, c := range []struct {
		name     string
		waited   micros.Micros // since the gang was submitted; it may wait for 60 s
		saveS    float64       // how long saving a victim's checkpoint takes, in seconds
		set      func(s *Scheduler, m *state.Machine, now micros.Micros)
		stopping int // number of victims that are stopping
		grace    micros.Micros
	}{
		{"in time if its victims save a checkpoint", 53 * second, 3, func(*Scheduler, *state.Machine, micros.Micros) {}, 2, 3 * second},
		{"in time only if its victims save no checkpoint", 53 * second, 10, func(*Scheduler, *state.Machine, micros.Micros) {}, 2, 0},
		{"its victims have run for less than saving takes", 53 * second, 3, func(_ *Scheduler, m *state.Machine, now micros.Micros) {
			for _, a := range m.Attempts {
				a.RunningSince = now - second
			}
		}, 2, 0},
		{"not at risk yet", 20 * second, 3, func(*Scheduler, *state.Machine, micros.Micros) {}, 0, 0},
		{"victims were searched for just before", 53 * second, 3, func(s *Scheduler, _ *state.Machine, now micros.Micros) { s.preemptedForGangsAt = now - second/4 }, 0, 0},
	} {
		s, _ := newTestScheduler(t)
		now := micros.Now() + 1000*second
		m := addMachine(s, "i-1", now)
		spec := arrayJobSpec("j-000001", 4)
		spec.Priority, spec.EstimatedRuntimeS, spec.CheckpointIntervalS, spec.CheckpointDurationS = "idle", 300, 30, c.saveS
		victims := addJob(s, spec)
		for range 4 {
			runTask(victims, m, now-100*second)
		}
		gangSpec := arrayJobSpec("j-000002", 2)
		gangSpec.Kind, gangSpec.EstimatedRuntimeS = wire.KindGang, 1 // little work, so that the gang is not deferred
		gang := addJob(s, gangSpec)
		gang.SubmittedAt -= c.waited
		s.preemptedAt = now // so that preempt does nothing
		c.set(s, m, now)
		s.Plan(now)
		if m.StoppingCount != c.stopping {
			t.Errorf("%s: %d tasks are stopping, want %d", c.name, m.StoppingCount, c.stopping)
		}
		if c.stopping > 0 && (m.Reservation == nil || s.ReservedMachines(gangSpec.ID) != 1) {
			t.Errorf("%s: machine reserved: %t, %d machines reserved for the gang; want true, 1", c.name, m.Reservation != nil, s.ReservedMachines(gangSpec.ID))
		}
		for _, a := range m.Attempts {
			if a.StopRequestedAt != 0 && (a.GracePeriod != c.grace || a.StopReason != "stopped to make room for j-000002") {
				t.Errorf("%s: grace period %v, want %v; stop reason %q, want that for j-000002", c.name, a.GracePeriod.Duration(), c.grace.Duration(), a.StopReason)
			}
		}
	}
}

// TestCompletionRate checks the weighted rate over several measurements.
func TestCompletionRate(t *testing.T) {
	const second = micros.Second
	r := completionRate{since: 100 * second}
	for i, step := range []struct {
		done int
		at   micros.Micros
		want float64
	}{
		{10, 100*second + second/2, 0}, // too soon for a measurement
		{10, 102 * second, 5},          // half of 10 per second
		{0, 103 * second, 2.5},
		{8, 105 * second, 3.25},
	} {
		r.count += step.done
		if got := r.perSecond(step.at); got != step.want {
			t.Errorf("step %d: %v completions per second, want %v", i, got, step.want)
		}
	}
}
