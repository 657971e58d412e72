package leader

import (
	"slices"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// contradictsToken reports whether a heartbeat is of a later incarnation, but has a lower fencing token than the worker has
// shown. No worker that was not restarted sends one.
func contradictsToken(m *state.Machine, h *wire.Heartbeat) bool {
	return h.Incarnation > m.Heartbeat.Incarnation && h.FencingToken < m.Heartbeat.FencingToken
}

// TestGangTaskReplacedOnlyWhenGone checks that a waiting task of a gang is started on another machine, with the same
// attempt number, only once the task is known to have left its machine. Each case is an event, such as silence of the
// machine or a heartbeat without the task, that does or does not prove that the task has left.
func TestGangTaskReplacedOnlyWhenGone(t *testing.T) {
	sends := func(edit func(h *wire.Heartbeat)) func(t *testing.T, l *Leader, m *state.Machine) {
		return func(_ *testing.T, l *Leader, m *state.Machine) {
			h := &wire.Heartbeat{MachineID: m.ID, Address: m.Instance.Address, InstanceType: "m4", Zone: "a", Incarnation: 1, Sequence: m.Heartbeat.Sequence + 1, FencingToken: testToken}
			edit(h)
			stale := h.Sequence <= m.Heartbeat.Sequence || contradictsToken(m, h)
			if _, err := l.HandleHeartbeat(h); (err != nil) != stale {
				t.Errorf("heartbeat of %s: error %v, want one: %t", h.MachineID, err, stale)
			}
		}
	}
	lists := func(tasks ...gangStatus) func(t *testing.T, l *Leader, m *state.Machine) {
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
		gone  bool // the event proves that the task has left the machine
	}{
		{"the machine is silent for 10 s", silent(10), false},
		{"the machine is silent for as long as its lease", silent(16), false},
		{"the machine's lease has expired", silent(18), true},
		{"termination of the machine is requested", func(_ *testing.T, l *Leader, m *state.Machine) { l.fleet.Terminate(m, "test") }, false},
		{"the cloud has responded to the termination", func(_ *testing.T, l *Leader, m *state.Machine) { l.fleet.Remove(m) }, true},
		{"the cloud lists the machine as failed", func(_ *testing.T, l *Leader, m *state.Machine) {
			l.fleet.ReconcileInstances([]wire.InstanceStatus{{ID: m.ID, State: wire.InstanceFailed}})
		}, false},
		{"the cloud does not list the machine", func(_ *testing.T, l *Leader, _ *state.Machine) {
			for range 3 {
				l.fleet.ReconcileInstances(nil)
			}
		}, false},
		{"a heartbeat of a later incarnation", sends(func(h *wire.Heartbeat) { h.Incarnation = 2 }), true},
		{"a delayed heartbeat from before the start", sends(func(h *wire.Heartbeat) { h.Sequence = 1 }), false},
		{"a heartbeat of an earlier term", sends(func(h *wire.Heartbeat) { h.FencingToken = testToken - 1 }), false},
		// It is a late copy from before the machine was restarted and began with incarnation 1 again.
		{"a heartbeat of a later incarnation and an earlier term", sends(func(h *wire.Heartbeat) { h.Incarnation, h.FencingToken = 2, testToken-1 }), false},
		{"a heartbeat without the task", lists(), true},
		{"a heartbeat with the task and another attempt that has exited", lists(gangTask(1).exited(wire.ExitStopped).ofAttempt(3), taskOnSender.waiting()), false},
		{"the task pulls its image", lists(taskOnSender.pulling()), false},
		{"the task is in an unknown state", lists(taskOnSender.inState(unknownTaskState)), false},
		{"the task has exited", lists(taskOnSender.exited(wire.ExitStopped)), true},
		{"the task has exited for an unknown reason", lists(taskOnSender.exited(unknownExitReason)), true},
		{"the start was refused", lists(taskOnSender.exited(wire.ExitInsufficientResources)), true},
	}
	for _, c := range cases {
		l := newGangTest(t, false)
		launchGang(t, l, wire.TaskWaitingForGang)
		j, m := l.jobs[gangID], l.fleet.Machines["i-2"]
		number, a := j.Gang.Number, gangAttemptOn(l, "i-2")
		c.event(t, l, m)
		if present := m.Attempts[state.TaskID(j.Spec.ID, a.Index)] == a; present == c.gone {
			t.Errorf("%s: the task counts as present on its machine: %t, want %t", c.name, present, !c.gone)
		}
		m.StartBackoffUntil = micros.Now() + 100*micros.Second
		l.scheduler.RequestPlan()
		l.scheduler.PlannedAt = 0
		if replacement := j.Attempts[a.Index]; replacement != a && replacement != nil && replacement.Machine == m {
			continue // the task was started on the same machine again
		}
		addSchedulable(l, "i-4", "a")
		if got := commandVerbs(gangHeartbeat(t, l, "i-4")); slices.Contains(got, "start") != c.gone || j.Gang.Number != number {
			t.Errorf("%s: commands for another machine: %v, want a start: %t; attempt number %d, want %d", c.name, got, c.gone, j.Gang.Number, number)
		}
	}
}
