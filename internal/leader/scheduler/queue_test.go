package scheduler

import (
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestAgedJobIsQueuedFirst checks that some tasks of a large job go before more urgent jobs once the job has waited for
// two minutes without a start. Urgent jobs that keep coming then can't keep it from starting within four minutes.
func TestAgedJobIsQueuedFirst(t *testing.T) {
	const second = micros.Second
	const large, urgent = "j-000001", "j-000002"
	for _, c := range []struct {
		name      string
		waited    micros.Micros // since its submission
		sinceLast micros.Micros // since its latest start; 0: it never started
		done      int
		running   bool
		termAge   micros.Micros
		first     string
	}{
		{"waited for a short time", 100 * second, 0, 0, false, 500 * second, urgent},
		{"waited for long", 130 * second, 0, 0, false, 500 * second, large},
		{"waited for long, but a task of it runs", 130 * second, 0, 0, true, 500 * second, urgent},
		{"has a completed task, and started one recently", 400 * second, 50 * second, 1, false, 500 * second, urgent},
		{"has a completed task, and started none for long", 400 * second, 130 * second, 1, false, 500 * second, large},
		{"has a completed task, and the term has just started", 400 * second, 130 * second, 1, false, 50 * second, urgent},
	} {
		s, _ := newTestScheduler(t)
		now, wall := micros.Now(), micros.WallTime()
		s.TermStartedAt = wall - c.termAge
		m := addMachine(s, "i-1", now)
		spec := wire.Job{ID: large, Team: "blue", Kind: wire.KindArray, Priority: "normal", Tasks: 64, CPUs: 1, MemoryGB: 1, EstimatedRuntimeS: 10, AllowSpot: true}
		j := addJob(s, spec)
		j.SubmittedAt, j.DoneCount = wall-c.waited, c.done
		if c.sinceLast != 0 {
			j.LastStart = wall - c.sinceLast
		}
		if c.running {
			j.Attempts[0] = &state.Attempt{Job: j, Machine: m}
		}
		spec.ID, spec.Priority, spec.Tasks = urgent, "urgent", 10
		addJob(s, spec)
		q := s.newQueue(now)
		if got := q.jobs[0].Spec.ID; got != c.first {
			t.Errorf("%s: first job %s, want %s", c.name, got, c.first)
		}
		if n := q.waiting[0].WaitingTasks; c.first == large && n > 8 {
			t.Errorf("%s: %d tasks of the aged job go first, want at most 8 of 64", c.name, n)
		}
	}
}
