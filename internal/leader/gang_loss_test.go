package leader

import (
	"slices"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestGangTaskReplacedOnlyWhenGone has the machine of a task that is about to run fall silent, and more. The task may
// be started elsewhere, under the same number, only when it is known to have left.
func TestGangTaskReplacedOnlyWhenGone(t *testing.T) {
	sends := func(edit func(r *wire.Heartbeat)) func(t *testing.T, l *Leader, m *state.Machine) {
		return func(_ *testing.T, l *Leader, m *state.Machine) {
			r := &wire.Heartbeat{MachineID: m.ID, Address: m.Instance.Address, InstanceType: "m4", Zone: "a", Incarnation: 1, Sequence: m.Heartbeat.Sequence + 1, FencingToken: testToken}
			edit(r)
			if _, err := l.HandleHeartbeat(r); err != nil && r.Sequence > m.Heartbeat.Sequence {
				t.Error(err)
			}
		}
	}
	shows := func(tasks ...gangStatus) func(t *testing.T, l *Leader, m *state.Machine) {
		return func(t *testing.T, l *Leader, m *state.Machine) { gangHeartbeat(t, l, m.ID, tasks...) }
	}
	silent := func(seconds micros.Micros) func(t *testing.T, l *Leader, m *state.Machine) {
		return func(_ *testing.T, l *Leader, m *state.Machine) {
			m.Lease.RenewedAt = micros.Now() - seconds*micros.Second
			m.Heartbeat.ReceivedAt = m.Lease.RenewedAt
			l.superviseMachines(micros.Now())
		}
	}
	cases := []struct {
		name  string
		event func(t *testing.T, l *Leader, m *state.Machine)
		gone  bool
	}{
		{"it is silent for a while", silent(10), false},
		{"it is silent for its lease", silent(16), false},
		{"its lease has expired", silent(18), true},
		{"its termination is requested", func(_ *testing.T, l *Leader, m *state.Machine) { l.fleet.Terminate(m, "test") }, false},
		{"its termination was answered", func(_ *testing.T, l *Leader, m *state.Machine) { l.fleet.Remove(m) }, true},
		{"the cloud lists it as failed", func(_ *testing.T, l *Leader, m *state.Machine) {
			l.fleet.ReconcileInstances([]wire.InstanceStatus{{ID: m.ID, State: wire.InstanceFailed}})
		}, false},
		{"the cloud does not list it", func(_ *testing.T, l *Leader, _ *state.Machine) {
			for range 3 {
				l.fleet.ReconcileInstances(nil)
			}
		}, false},
		{"a heartbeat of a later incarnation", sends(func(r *wire.Heartbeat) { r.Incarnation = 2 }), true},
		{"a late copy of a heartbeat from before the start", sends(func(r *wire.Heartbeat) { r.Sequence = 1 }), false},
		{"a heartbeat of an earlier term", sends(func(r *wire.Heartbeat) { r.FencingToken = testToken - 1 }), false},
		{"a heartbeat of a later incarnation and an earlier term", sends(func(r *wire.Heartbeat) { r.Incarnation, r.FencingToken = 2, testToken-1 }), true},
		{"a heartbeat without the task", shows(), true},
		{"a heartbeat with another attempt, which is to be cleared", shows(gangTask(1).exited(wire.ExitStopped).ofAttempt(3), here.waiting()), false},
		{"it still pulls its image", shows(here.pulling()), false},
		{"an unknown state", shows(here.inState(unknownTaskState)), false},
		{"the task has exited", shows(here.exited(wire.ExitStopped)), true},
		{"the task has exited for an unknown reason", shows(here.exited(unknownExitReason)), true},
		{"the start was refused", shows(here.exited(wire.ExitInsufficientResources)), true},
	}
	for _, c := range cases {
		l := newGangTest(t, false)
		launchGang(t, l, wire.TaskWaitingForGang)
		j, m := l.jobs[gangID], l.fleet.Machines["i-2"]
		n, a := j.Gang.Number, gangAttemptOn(l, "i-2")
		c.event(t, l, m)
		if held := m.Attempts[state.TaskID(j.Spec.ID, a.Index)] == a; held == c.gone {
			t.Errorf("%s: its task counts as being there: %t", c.name, held)
		}
		m.StartBackoffUntil = micros.Now() + 100*micros.Second
		l.scheduler.RequestPlan()
		l.scheduler.PlannedAt = 0
		if b := j.Attempts[a.Index]; b != a && b != nil && b.Machine == m {
			continue // it is started on the same machine again
		}
		addSchedulable(l, "i-4", "a")
		if got := commandVerbs(gangHeartbeat(t, l, "i-4")); slices.Contains(got, "start") != c.gone || j.Gang.Number != n {
			t.Errorf("%s: another machine has commands %v, attempt %d after %d", c.name, got, j.Gang.Number, n)
		}
	}
}
