package gangs

import (
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestReachability has a running gang be stopped, and looked at as victim, while its machines are in several states.
func TestReachability(t *testing.T) {
	for _, c := range []struct {
		name      string
		set       func(f *fixture, m *state.Machine)
		reachable bool
	}{
		{"all are reachable", func(*fixture, *state.Machine) {}, true},
		{"another node may lead", func(f *fixture, _ *state.Machine) { f.term.isExclusive = false }, false},
		{"one is being terminated", func(_ *fixture, m *state.Machine) { m.Instance.Terminating = true }, false},
		{"one loses responses", func(_ *fixture, m *state.Machine) { m.Delivery.LostResponses = 1 }, false},
		{"the address of one is not known", func(_ *fixture, m *state.Machine) { m.Instance.Address = "" }, false},
		{"a zone is disrupted", func(f *fixture, _ *state.Machine) { f.zoneReachable = false }, false},
		{"a heartbeat is late", func(f *fixture, _ *state.Machine) { f.late = true }, false},
	} {
		f := newTest(t)
		f.launch(wire.TaskRunning)
		c.set(f, f.machines[1])
		if got := f.NonPreemptible(micros.Now())[f.job]; got == c.reachable {
			t.Errorf("%s: not to be preempted: %t", c.name, got)
		}
		stopped := f.StopIfReachable(f.job, state.CheckpointGrace(f.job), "test", micros.Now())
		if n := f.stopping(state.CheckpointGrace(f.job)); stopped != c.reachable || stopped != (n == 3) || n%3 != 0 {
			t.Errorf("%s: stopped: %t, %d tasks", c.name, stopped, n)
		}
	}
}

// TestNonPreemptible has gangs that are not running, or no longer.
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
		f := newTest(t)
		c.set(f)
		if got := f.NonPreemptible(micros.Now())[f.job]; got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}

// TestEndAttempt ends an attempt of which some starts were sent.
func TestEndAttempt(t *testing.T) {
	for started := range 4 {
		f := newTest(t)
		f.assign()
		for _, m := range f.machines[:started] {
			f.AppendStarts(m, nil, 100)
		}
		f.EndAttempt(f.job, 0, "test")
		if len(f.job.Attempts) != started || len(f.sent) != started || f.stopping(0) != started {
			t.Errorf("%d started: %d tasks are left, %d are stopping, %d machines are called", started, len(f.job.Attempts), f.stopping(0), len(f.sent))
		}
		for m, stops := range f.sent {
			if len(stops) != 1 || stops[0] != f.on(m) {
				t.Errorf("%d started: %s is called to stop %v", started, m.ID, stops)
			}
		}
		if f.job.Gang.Ending != (started > 0) || (f.job.Gang.Number == 0) != (started == 0) {
			t.Errorf("%d started: %+v", started, f.job.Gang)
		}
		clear(f.sent)
		if f.EndAttempt(f.job, 0, "test"); len(f.sent) > 0 {
			t.Errorf("%d started: %d machines are called again", started, len(f.sent))
		}
	}
}
