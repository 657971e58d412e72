package gangs

import (
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestStopOnlyIfAllReachable checks that a running gang is stopped, and may be preempted, only if all of its machines
// can be reached.
func TestStopOnlyIfAllReachable(t *testing.T) {
	for _, c := range []struct {
		name      string
		set       func(f *fixture, m *state.Machine)
		reachable bool
	}{
		{"all are reachable", func(*fixture, *state.Machine) {}, true},
		{"another node may lead", func(f *fixture, _ *state.Machine) { f.term.isExclusive = false }, false},
		{"one machine is being terminated", func(_ *fixture, m *state.Machine) { m.Instance.Terminating = true }, false},
		{"one machine loses responses", func(_ *fixture, m *state.Machine) { m.Delivery.LostResponses = 1 }, false},
		{"one machine's address is unknown", func(_ *fixture, m *state.Machine) { m.Instance.Address = "" }, false},
		{"a zone is disrupted", func(f *fixture, _ *state.Machine) { f.zoneReachable = false }, false},
		{"a heartbeat is late", func(f *fixture, _ *state.Machine) { f.heartbeatsLate = true }, false},
	} {
		f := newFixture(t)
		f.launch(wire.TaskRunning)
		c.set(f, f.machines[1])
		if got := f.NonPreemptible(micros.Now())[f.job]; got == c.reachable {
			t.Errorf("%s: non-preemptible: %t, want %t", c.name, got, !c.reachable)
		}
		stopped := f.StopIfReachable(f.job, state.CheckpointGrace(f.job), "test", micros.Now())
		if n := f.countStopping(state.CheckpointGrace(f.job)); stopped != c.reachable || stopped != (n == 3) || n%3 != 0 {
			t.Errorf("%s: stopped: %t, want %t; %d tasks stopping, want all 3 or none", c.name, stopped, c.reachable, n)
		}
	}
}

// TestNonPreemptible checks that gangs that do not run yet, or are done, must not be preempted.
func TestNonPreemptible(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(f *fixture)
		want bool
	}{
		{"waits", func(f *fixture) { f.launch(wire.TaskWaitingForGang) }, true},
		{"runs", func(f *fixture) { f.launch(wire.TaskRunning) }, false},
		{"is done", func(f *fixture) { f.launch(wire.TaskRunning); f.Complete(f.job) }, true},
	} {
		f := newFixture(t)
		c.set(f)
		if got := f.NonPreemptible(micros.Now())[f.job]; got != c.want {
			t.Errorf("%s: non-preemptible: %t, want %t", c.name, got, c.want)
		}
	}
}

// TestEndAttempt checks that ending an attempt stops the tasks whose start was sent and releases the others.
func TestEndAttempt(t *testing.T) {
	for started := range 4 {
		f := newFixture(t)
		f.assign()
		for _, m := range f.machines[:started] {
			f.AppendStarts(m, nil, 100)
		}
		f.EndAttempt(f.job, 0, "test")
		if len(f.job.Attempts) != started || len(f.sentStops) != started || f.countStopping(0) != started {
			t.Errorf("%d starts sent: %d tasks left, %d stopping, %d machines called; want as many as starts sent", started, len(f.job.Attempts), f.countStopping(0), len(f.sentStops))
		}
		for m, stops := range f.sentStops {
			if len(stops) != 1 || stops[0] != f.taskOn(m) {
				t.Errorf("%d starts sent: machine %s called to stop %d tasks, want only its own task", started, m.ID, len(stops))
			}
		}
		if f.job.Gang.Ending != (started > 0) || (f.job.Gang.Number == 0) != (started == 0) {
			t.Errorf("%d starts sent: attempt %+v, want it ending if any start was sent, and cleared otherwise", started, f.job.Gang)
		}
		clear(f.sentStops)
		if f.EndAttempt(f.job, 0, "test"); len(f.sentStops) > 0 {
			t.Errorf("%d starts sent: %d machines called again, want 0", started, len(f.sentStops))
		}
	}
}
