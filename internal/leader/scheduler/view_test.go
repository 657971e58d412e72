package scheduler

import (
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestVictimLostWork checks the lost work of tasks that could be preempted. The tasks of a job that start first are
// protected until they have run for minUsefulRuntime. A task that is nearly done costs more to preempt. Otherwise, the
// larger the share of a job's tasks that have not started, the less preempting one of the others costs.
func TestVictimLostWork(t *testing.T) {
	const second = micros.Second
	for _, c := range []struct {
		name       string
		tasks      int // tasks of the job; 4 of them are on the machine
		protected  bool
		ran        micros.Micros
		bestEffort bool
		least      micros.Micros // bounds of the lost work
		most       micros.Micros
	}{
		{"started long ago", 400, true, 100 * second, true, 3 * second, 4 * second},
		{"just started, and protected", 400, true, 10 * second, false, 38 * second, 39 * second},
		{"just started, and not protected", 400, false, 10 * second, true, 3 * second, 4 * second},
		{"all tasks of its job have started", 4, false, 100 * second, true, 13 * second, 13 * second},
		{"nearly done", 400, false, 290 * second, true, 23 * second, 24 * second},
	} {
		s, _ := newTestScheduler(t)
		now := micros.Now() + 1000*second
		m := addMachine(s, "i-1", now)
		j := addJob(s, wire.Job{ID: "j-000300", Team: "blue", Priority: "idle", Tasks: c.tasks, CPUs: 1, EstimatedRuntimeS: 300,
			CheckpointIntervalS: 30, CheckpointDurationS: 3, AllowSpot: true})
		for range 4 {
			runTask(j, m, now-c.ran).Protected = c.protected
		}
		view := s.viewWithVictims(now)
		if len(view.placement) != 1 || len(view.placement[0].Victims) != 4 {
			t.Fatalf("%s: machines %+v, want one with 4 victims", c.name, view.placement)
		}
		if victim := view.placement[0].Victims[0]; victim.BestEffort != c.bestEffort || victim.LostWork < c.least || victim.LostWork > c.most {
			t.Errorf("%s: best-effort %v, want %v; lost work %v, want %v to %v", c.name, victim.BestEffort, c.bestEffort, victim.LostWork.Duration(), c.least.Duration(), c.most.Duration())
		}
	}
}

// TestGangVictims checks that a preemptible gang is a victim, but a gang that must not be preempted and a task that is
// already stopping are not. It also checks that preempting one task of the gang stops the whole gang.
func TestGangVictims(t *testing.T) {
	s, _ := newTestScheduler(t)
	now := micros.Now()
	m := addMachine(s, "i-1", now)
	gang, startingGang := addJob(s, gangJobSpec("j-000100", 2)), addJob(s, gangJobSpec("j-000101", 2))
	runTask(gang, m, now-10*micros.Second)
	runTask(startingGang, m, now-10*micros.Second)
	s.Gangs.(*fakeGangs).nonPreemptible = map[*state.Job]bool{startingGang: true}
	stopping := runTask(addJob(s, arrayJobSpec("j-000200", 1)), m, now-10*micros.Second)
	stopping.MarkStopping(0, "test", now)
	view := s.viewWithVictims(now)
	machine := view.placement[0]
	if len(machine.Victims) != 1 || machine.Victims[0].JobID != gang.Spec.ID || !machine.Victims[0].Gang || machine.Releasing != stopping.Job.Need {
		t.Errorf("victims %+v, want one task of gang %s; releasing %+v, want %+v", machine.Victims, gang.Spec.ID, machine.Releasing, stopping.Job.Need)
	}
	s.preemptVictim(m.Attempts[state.TaskID(gang.Spec.ID, machine.Victims[0].Task)], "j-000300", now)
	if stopped := s.Gangs.(*fakeGangs).stopped; len(stopped) != 1 || stopped[0] != gang {
		t.Errorf("%d gangs stopped, want only gang %s", len(stopped), gang.Spec.ID)
	}
}

// TestCompletionRemaining checks when a machine's running and stopping tasks are expected to end.
func TestCompletionRemaining(t *testing.T) {
	const second = micros.Second
	for _, c := range []struct {
		name string
		set  func(a *state.Attempt)
		want micros.Micros
	}{
		{"has run for less than its estimate", func(*state.Attempt) {}, 6 * second},
		{"is stopping", func(a *state.Attempt) { a.MarkStopping(3*second, "test", micros.Now()) }, 3 * second},
	} {
		s, _ := newTestScheduler(t)
		now := micros.Now()
		c.set(runTask(addJob(s, arrayJobSpec("j-000100", 1)), addMachine(s, "i-1", now), now-4*second))
		completions := s.viewWithCompletions(now).placement[0].Completions
		if len(completions) != 1 || completions[0].Remaining != c.want {
			t.Errorf("%s: completions %+v, want one in %v", c.name, completions, c.want.Duration())
		}
	}
}

// TestMaxStartDelay checks that a gang accepts a start that is delayed for longer than immediateStartLimit only once it
// has waited for as long as the delay.
func TestMaxStartDelay(t *testing.T) {
	const second = micros.Second
	for _, c := range []struct {
		kind   wire.JobKind
		waited micros.Micros
		want   micros.Micros
	}{
		{wire.KindGang, 0, second},
		{wire.KindGang, 5 * second, 5 * second},
		{wire.KindArray, 5 * second, 0},
	} {
		s, _ := newTestScheduler(t)
		spec := gangJobSpec("j-000100", 2)
		spec.Kind = c.kind
		j := addJob(s, spec)
		if got := s.placementJob(j, 2, false, j.SubmittedAt+c.waited).MaxStartDelay; got != c.want {
			t.Errorf("%s job that has waited for %v: maximum start delay %v, want %v", c.kind, c.waited.Duration(), got.Duration(), c.want.Duration())
		}
	}
}
