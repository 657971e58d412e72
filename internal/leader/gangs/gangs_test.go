package gangs

import (
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestAssignTasks assigns the tasks of a gang one by one: all have the number of the attempt that the first begins.
func TestAssignTasks(t *testing.T) {
	f := newTest(t)
	f.assign()
	if len(f.job.Attempts) != 3 || f.job.Gang.Number != 1 || f.numbers != 1 || f.job.ProtectedTasks != 3 {
		t.Fatalf("%d tasks, attempt %d of %d, %d protected", len(f.job.Attempts), f.job.Gang.Number, f.numbers, f.job.ProtectedTasks)
	}
	for _, a := range f.job.Attempts {
		if a.Number != 1 || !a.Reserved || !a.Protected || a.Machine.Free.CPU != 3000 {
			t.Errorf("%+v", a)
		}
	}
	f.AssignTasks(f.machines[0], f.job, 1, micros.Now())
	if len(f.job.Attempts) != 3 {
		t.Errorf("%d of 3 tasks are assigned", len(f.job.Attempts))
	}
}

// TestAppendStarts has the response to a machine's heartbeat carry the starts of its tasks.
func TestAppendStarts(t *testing.T) {
	for _, c := range []struct {
		name            string
		limit           int
		mayStay         bool
		starts, waiting int
	}{
		{"all", 4, true, 3, 0},
		{"no more than the limit", 3, true, 2, 0},
		{"the limit is reached before", 1, true, 0, 0},
		{"the limit is exceeded before", 0, true, 0, 0},
		{"they may not start there any more", 4, false, 0, 3},
	} {
		f := newTest(t)
		f.mayStay = c.mayStay
		m := f.machines[0]
		f.AssignTasks(m, f.job, 3, micros.Now())
		before := wire.Command{Verb: wire.VerbStop, TaskID: "j-000009/0"}
		commands := f.AppendStarts(m, []wire.Command{before}, c.limit)
		if commands[0] != before || len(commands) != 1+c.starts || len(f.published) != c.starts || f.job.WaitingTasks() != c.waiting {
			t.Errorf("%s: commands %v, %d published, %d tasks wait", c.name, commands, len(f.published), f.job.WaitingTasks())
		}
		for i, command := range commands[1:] {
			a := f.job.Attempts[i]
			if command.Verb != wire.VerbStart || command.TaskID != a.TaskID() || command.Attempt != 1 || a.Reserved || a.StartSequence != m.Heartbeat.Sequence {
				t.Errorf("%s: command %v for %+v", c.name, command, a)
			}
		}
		if again := f.AppendStarts(m, nil, 100); len(again) != 3-c.starts-c.waiting {
			t.Errorf("%s: then commands %v", c.name, again)
		}
	}
}

// TestCheck has time pass for gangs in several states.
func TestCheck(t *testing.T) {
	const second = micros.Second
	for _, c := range []struct {
		name     string
		set      func(f *fixture)
		after    micros.Micros
		tasks    int  // on machines
		stopping int  // of these, with time to save
		ending   bool // the attempt is
	}{
		{"assigned just now", func(f *fixture) { f.assign() }, 0, 3, 0, false},
		{"assigned, and the heartbeats are late", func(f *fixture) { f.assign(); f.late = true }, 4 * second, 0, 0, false},
		{"assigned just now, and the heartbeats are late", func(f *fixture) { f.assign(); f.late = true }, 2 * second, 3, 0, false},
		{"assigned, and a machine is drained", func(f *fixture) { f.assign(); f.machines[0].DrainReason = "test" }, 0, 2, 0, false},
		{"started, and a machine is drained", func(f *fixture) { f.launch(wire.TaskRunning); f.machines[0].DrainReason = "test" }, 0, 3, 0, false},
		{"waits for less than two thirds of the timeout", func(f *fixture) { f.launch(wire.TaskWaitingForGang) }, 19 * second, 3, 0, false},
		{"waits for more than two thirds of the timeout", func(f *fixture) { f.launch(wire.TaskWaitingForGang) }, 21 * second, 3, 3, true},
		{"runs", func(f *fixture) { f.launch(wire.TaskRunning) }, 1000 * second, 3, 0, false},
		{"is ending, and one task was adopted since", func(f *fixture) { f.launch(wire.TaskRunning); f.job.Gang.Ending = true }, 0, 3, 3, true},
		{"is done", func(f *fixture) {
			f.launch(wire.TaskRunning)
			f.Complete(f.job)
			f.job.Gang.Ending = true
		}, 0, 3, 0, true},
	} {
		f := newTest(t)
		c.set(f)
		f.Check(micros.Now() + c.after)
		if len(f.job.Attempts) != c.tasks || f.stopping(state.CheckpointGrace(f.job)) != c.stopping || f.job.Gang.Ending != c.ending {
			t.Errorf("%s: %d tasks, %d of them stopping, %+v", c.name, len(f.job.Attempts), f.stopping(state.CheckpointGrace(f.job)), f.job.Gang)
		}
		if want := 1 - min(1, f.job.DoneCount); f.expirations != want {
			t.Errorf("%s: reservations were looked at %d times, want %d", c.name, f.expirations, want)
		}
	}
}

// TestCheckMissingTask has a task of a running gang be on no machine that is known.
func TestCheckMissingTask(t *testing.T) {
	for _, awaits := range []bool{false, true} {
		f := newTest(t)
		f.launch(wire.TaskRunning)
		f.job.Gang.Ending = true // so that the loss alone changes nothing
		f.release(f.on(f.machines[0]), "test")
		f.job.Gang.Ending, f.awaits = false, awaits
		f.Check(micros.Now())
		if f.job.Gang.Ending == awaits {
			t.Errorf("while it awaits reconciliation %t: its attempt ends: %t", awaits, f.job.Gang.Ending)
		}
	}
}
