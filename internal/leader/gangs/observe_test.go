package gangs

import (
	"slices"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/wire"
)

// TestObserveExit has a task of a gang exit.
func TestObserveExit(t *testing.T) {
	running := func(f *fixture) { f.launch(wire.TaskRunning) }
	waiting := func(f *fixture) { f.launch(wire.TaskWaitingForGang) }
	for _, c := range []struct {
		name     string
		set      func(f *fixture)
		attempt  uint64
		reason   string
		stopping int  // tasks
		saving   bool // have time for it
	}{
		{"gang task lost", running, 1, wire.ExitGangTaskLost, 3, false},
		{"gang task lost while it waits", waiting, 1, wire.ExitGangTaskLost, 3, false},
		{"gang timeout", waiting, 1, wire.ExitGangTimeout, 3, false},
		{"stopped by an earlier leader", running, 1, wire.ExitStopped, 3, true},
		{"stopped while it waits", waiting, 1, wire.ExitStopped, 0, false},
		{"error", running, 1, wire.ExitError, 0, false},
		{"of another attempt", running, 2, wire.ExitGangTaskLost, 0, false},
		{"the gang is done", func(f *fixture) { running(f); f.Complete(f.job) }, 1, wire.ExitGangTaskLost, 0, false},
		{"the job has ended", func(f *fixture) { running(f); f.job.Ended = true }, 1, wire.ExitGangTaskLost, 0, false},
		{"the task was to stop", func(f *fixture) { waiting(f); f.Stop(f.on(f.machines[0]), 0, "test") }, 1, wire.ExitGangTaskLost, 1, false},
	} {
		f := newTest(t)
		c.set(f)
		a := f.on(f.machines[0])
		f.ObserveExit(f.job, a.Index, a, &wire.TaskStatus{TaskID: a.TaskID(), Attempt: c.attempt, State: wire.TaskExited, ExitReason: c.reason})
		saving := f.stopping(state.CheckpointGrace(f.job))
		if f.stopping(0) != c.stopping || c.saving != (saving > 0) || c.saving && saving != c.stopping {
			t.Errorf("%s: %d tasks are stopping, %d with time to save", c.name, f.stopping(0), saving)
		}
	}
}

// TestObserveRelease has a task of a gang be lost.
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
		{"of a lower attempt", wire.TaskRunning, func(f *fixture) { f.job.Gang.Number++ }, false},
	} {
		f := newTest(t)
		f.launch(c.state)
		c.set(f)
		f.release(f.on(f.machines[0]), "test")
		if f.job.Gang.Ending != c.ending {
			t.Errorf("%s: its attempt ends: %t", c.name, f.job.Gang.Ending)
		}
		for _, m := range f.machines[1:] {
			f.release(f.on(m), "test")
		}
		if f.job.Gang != (state.GangAttempt{}) {
			t.Errorf("%s: %+v is left of its attempt", c.name, f.job.Gang)
		}
	}
}

// TestComplete has all tasks of a gang be done as one is, and what changed stored.
func TestComplete(t *testing.T) {
	f := newTest(t)
	f.job.MarkDone(1)
	f.Complete(f.job)
	if f.job.DoneCount != 3 || !slices.Equal(f.storedChunks, []int{0, 0}) {
		t.Errorf("%d tasks are done, chunks %v are stored", f.job.DoneCount, f.storedChunks)
	}
	f = newTest(t)
	f.job.Spec.Kind = wire.KindArray
	f.job.MarkDone(1)
	if f.Complete(f.job); f.job.DoneCount != 1 {
		t.Errorf("%d tasks of an array are done", f.job.DoneCount)
	}
}
