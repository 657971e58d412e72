package gangs

import (
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestAssignTasks checks that the tasks of a gang, assigned one by one, all have the attempt number that the first
// assignment requested.
func TestAssignTasks(t *testing.T) {
	f := newFixture(t)
	f.assign()
	if len(f.job.Attempts) != 3 || f.job.Gang.Number != 1 || f.lastAttemptNumber != 1 || f.job.ProtectedTasks != 3 {
		t.Fatalf("%d tasks, attempt %d, latest attempt number %d, %d protected; want 3, 1, 1, 3", len(f.job.Attempts), f.job.Gang.Number, f.lastAttemptNumber, f.job.ProtectedTasks)
	}
	for _, a := range f.job.Attempts {
		if a.Number != 1 || !a.Reserved || !a.Protected || a.Machine.Free.CPU != 3000 {
			t.Errorf("task %+v, want a reserved, protected task of attempt 1 on a machine with 3 free CPUs", a)
		}
	}
	f.AssignTasks(f.machines[0], f.job, 1, micros.Now())
	if len(f.job.Attempts) != 3 {
		t.Errorf("%d tasks on machines after an assignment without waiting tasks, want 3", len(f.job.Attempts))
	}
}

// TestAppendStarts checks that the response to a machine's heartbeat carries the starts of its assigned tasks, up to
// the limit, and that tasks which may not start there any more are released.
func TestAppendStarts(t *testing.T) {
	for _, c := range []struct {
		name            string
		limit           int
		mayStay         bool
		starts, waiting int // starts in the response, and tasks that wait for an assignment again
	}{
		{"all", 4, true, 3, 0},
		{"no more than the limit", 3, true, 2, 0},
		{"the limit is reached already", 1, true, 0, 0},
		{"the limit is exceeded already", 0, true, 0, 0},
		{"they may not start there any more", 4, false, 0, 3},
	} {
		f := newFixture(t)
		f.mayStay = c.mayStay
		m := f.machines[0]
		f.AssignTasks(m, f.job, 3, micros.Now())
		before := wire.Command{Verb: wire.VerbStop, TaskID: "j-000009/0"}
		commands := f.AppendStarts(m, []wire.Command{before}, c.limit)
		if commands[0] != before || len(commands) != 1+c.starts || len(f.published) != c.starts || f.job.WaitingTasks() != c.waiting {
			t.Errorf("%s: commands %v, %d starts published, want %d starts after the given command; %d tasks waiting, want %d", c.name, commands, len(f.published), c.starts, f.job.WaitingTasks(), c.waiting)
		}
		for i, command := range commands[1:] {
			a := f.job.Attempts[i]
			if command.Verb != wire.VerbStart || command.TaskID != a.TaskID() || command.Attempt != 1 || a.Reserved || a.StartSequence != m.Heartbeat.Sequence {
				t.Errorf("%s: command %v for task %+v, want the start of attempt 1 with start sequence %d", c.name, command, a, m.Heartbeat.Sequence)
			}
		}
		if again := f.AppendStarts(m, nil, 100); len(again) != 3-c.starts-c.waiting {
			t.Errorf("%s: commands of the next response: %v, want %d", c.name, again, 3-c.starts-c.waiting)
		}
	}
}

// TestCheck checks which tasks are released and which attempts end, depending on the gang's state and the time
// passed.
func TestCheck(t *testing.T) {
	const second = micros.Second
	for _, c := range []struct {
		name     string
		set      func(f *fixture)
		after    micros.Micros
		tasks    int  // left on machines
		stopping int  // of these, with time to save a checkpoint
		ending   bool // whether the attempt is ending
	}{
		{"assigned just now", func(f *fixture) { f.assign() }, 0, 3, 0, false},
		{"assigned, and the heartbeats are late", func(f *fixture) { f.assign(); f.heartbeatsLate = true }, 4 * second, 0, 0, false},
		{"assigned just now, and the heartbeats are late", func(f *fixture) { f.assign(); f.heartbeatsLate = true }, 2 * second, 3, 0, false},
		{"assigned, and a machine is drained", func(f *fixture) { f.assign(); f.machines[0].DrainReason = "test" }, 0, 2, 0, false},
		{"started, and a machine is drained", func(f *fixture) { f.launch(wire.TaskRunning); f.machines[0].DrainReason = "test" }, 0, 3, 0, false},
		{"has waited for less than two thirds of the timeout", func(f *fixture) { f.launch(wire.TaskWaitingForGang) }, 19 * second, 3, 0, false},
		{"has waited for more than two thirds of the timeout", func(f *fixture) { f.launch(wire.TaskWaitingForGang) }, 21 * second, 3, 3, true},
		{"runs", func(f *fixture) { f.launch(wire.TaskRunning) }, 1000 * second, 3, 0, false},
		{"is ending, and its tasks are not stopping yet", func(f *fixture) { f.launch(wire.TaskRunning); f.job.Gang.Ending = true }, 0, 3, 3, true},
		{"is done", func(f *fixture) {
			f.launch(wire.TaskRunning)
			f.Complete(f.job)
			f.job.Gang.Ending = true
		}, 0, 3, 0, true},
	} {
		f := newFixture(t)
		c.set(f)
		f.Check(micros.Now() + c.after)
		if len(f.job.Attempts) != c.tasks || f.countStopping(state.CheckpointGrace(f.job)) != c.stopping || f.job.Gang.Ending != c.ending {
			t.Errorf("%s: %d tasks, want %d; %d of them stopping, want %d; attempt %+v, want ending %t", c.name, len(f.job.Attempts), c.tasks, f.countStopping(state.CheckpointGrace(f.job)), c.stopping, f.job.Gang, c.ending)
		}
		if want := 1 - min(1, f.job.DoneCount); f.expirationChecks != want {
			t.Errorf("%s: ExpireReservation called %d times, want %d", c.name, f.expirationChecks, want)
		}
	}
}

// TestCheckEndsAttemptWithMissingTask checks that the attempt of a running gang ends if one of its tasks is on
// no known machine, but not while the job awaits reconciliation.
func TestCheckEndsAttemptWithMissingTask(t *testing.T) {
	for _, awaits := range []bool{false, true} {
		f := newFixture(t)
		f.launch(wire.TaskRunning)
		f.job.Gang.Ending = true // so that the release alone does not end the attempt
		f.release(f.taskOn(f.machines[0]), "test")
		f.job.Gang.Ending, f.awaitsReconciliation = false, awaits
		f.Check(micros.Now())
		if f.job.Gang.Ending == awaits {
			t.Errorf("awaits reconciliation: %t; attempt ending: %t, want the opposite", awaits, f.job.Gang.Ending)
		}
	}
}
