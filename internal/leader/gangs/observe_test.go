package gangs

import (
	"slices"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/wire"
)

// TestObserveExit checks which exits of a gang's task stop the gang's tasks, and whether they get time to save a
// checkpoint.
func TestObserveExit(t *testing.T) {
	running := func(f *fixture) { f.launch(wire.TaskRunning) }
	waiting := func(f *fixture) { f.launch(wire.TaskWaitingForGang) }
	for _, c := range []struct {
		name     string
		set      func(f *fixture)
		attempt  uint64
		reason   string
		stopping int  // tasks that are stopping
		saving   bool // whether they have time to save a checkpoint
	}{
		{"gang task lost", running, 1, wire.ExitGangTaskLost, 3, false},
		{"gang task lost while waiting", waiting, 1, wire.ExitGangTaskLost, 3, false},
		{"gang timeout", waiting, 1, wire.ExitGangTimeout, 3, false},
		{"stopped by an earlier leader", running, 1, wire.ExitStopped, 3, true},
		{"stopped while waiting", waiting, 1, wire.ExitStopped, 0, false},
		{"error", running, 1, wire.ExitError, 0, false},
		{"task of another attempt", running, 2, wire.ExitGangTaskLost, 0, false},
		{"the gang is done", func(f *fixture) { running(f); f.Complete(f.job) }, 1, wire.ExitGangTaskLost, 0, false},
		{"the job has ended", func(f *fixture) { running(f); f.job.Ended = true }, 1, wire.ExitGangTaskLost, 0, false},
		{"the task was stopping", func(f *fixture) { waiting(f); f.Stop(f.taskOn(f.machines[0]), 0, "test") }, 1, wire.ExitGangTaskLost, 1, false},
	} {
		f := newFixture(t)
		c.set(f)
		a := f.taskOn(f.machines[0])
		f.ObserveExit(f.job, a.Index, a, &wire.TaskStatus{TaskID: a.TaskID(), Attempt: c.attempt, State: wire.TaskExited, ExitReason: c.reason})
		saving := f.countStopping(state.CheckpointGrace(f.job))
		if f.countStopping(0) != c.stopping || c.saving != (saving > 0) || c.saving && saving != c.stopping {
			t.Errorf("%s: %d tasks stopping, %d of them with time to save a checkpoint; want %d stopping, all with time: %t", c.name, f.countStopping(0), saving, c.stopping, c.saving)
		}
	}
}

// TestObserveRelease checks whether the loss of a task ends the gang's attempt.
func TestObserveRelease(t *testing.T) {
	for _, c := range []struct {
		name   string
		state  string
		set    func(f *fixture)
		ending bool
	}{
		{"while it waits", wire.TaskWaitingForGang, func(*fixture) {}, false},
		{"while it runs", wire.TaskRunning, func(*fixture) {}, true},
		{"when it is done", wire.TaskRunning, func(f *fixture) { f.Complete(f.job) }, false},
		{"when the job has ended", wire.TaskRunning, func(f *fixture) { f.job.Ended = true }, false},
		{"task of an earlier attempt", wire.TaskRunning, func(f *fixture) { f.job.Gang.Number++ }, false},
	} {
		f := newFixture(t)
		f.launch(c.state)
		c.set(f)
		f.release(f.taskOn(f.machines[0]), "test")
		if f.job.Gang.Ending != c.ending {
			t.Errorf("%s: attempt ending: %t, want %t", c.name, f.job.Gang.Ending, c.ending)
		}
		for _, m := range f.machines[1:] {
			f.release(f.taskOn(m), "test")
		}
		if f.job.Gang != (state.GangAttempt{}) {
			t.Errorf("%s: attempt %+v after all tasks were released, want none", c.name, f.job.Gang)
		}
	}
}

// TestComplete checks that all tasks of a gang are done once one is, and that the change is stored.
func TestComplete(t *testing.T) {
	f := newFixture(t)
	f.job.MarkDone(1)
	f.Complete(f.job)
	if f.job.DoneCount != 3 || !slices.Equal(f.storedChunks, []int{0, 0}) {
		t.Errorf("%d tasks done, want 3; stored chunks %v, want [0 0]", f.job.DoneCount, f.storedChunks)
	}
	f = newFixture(t)
	f.job.Spec.Kind = wire.KindArray
	f.job.MarkDone(1)
	if f.Complete(f.job); f.job.DoneCount != 1 {
		t.Errorf("%d tasks of an array job done, want 1", f.job.DoneCount)
	}
}
