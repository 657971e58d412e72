package leader

import (
	"slices"
	"testing"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestTaskQuery has a new leader ask a machine for its tasks. Only a response made after the worker has seen this
// term's fencing token proves them: until then a start of an earlier term may still be carried out, and a
// task that is started elsewhere would run twice.
func TestTaskQuery(t *testing.T) {
	running := wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskRunning}
	status := func(incarnation, sequence, fencingToken uint64) *wire.Heartbeat {
		r := heartbeat(sequence, fencingToken, running)
		r.Incarnation = incarnation
		return r
	}
	other := status(1, 20, testToken)
	other.MachineID = "i-9"
	rest := []string{"start j-000001/1", "start j-000001/2"}
	cases := []struct {
		name   string
		worker fakeWorkers
		during *wire.Heartbeat // comes while the worker is asked
		done   bool
		after  *wire.Heartbeat // comes afterwards
		want   []string
	}{
		{"it responds", func(*wire.CommandRequest) (int, *wire.Heartbeat) { return 200, status(1, 20, testToken) }, nil, true,
			heartbeat(21, testToken, running), rest},
		{"in a later incarnation", func(c *wire.CommandRequest) (int, *wire.Heartbeat) {
			if c.Incarnation != 3 {
				return 409, status(3, 20, testToken-1)
			}
			return 200, status(3, 21, testToken)
		}, nil, true, status(3, 22, testToken), rest},
		// It is older than the response: what it shows may have ended since, and what
		// was started since does not show.
		{"a heartbeat from before the response", func(*wire.CommandRequest) (int, *wire.Heartbeat) { return 200, status(1, 20, testToken) }, nil, true,
			heartbeat(19, testToken, running), []string{}},
		{"it has not seen the fencing token", func(*wire.CommandRequest) (int, *wire.Heartbeat) { return 409, status(1, 20, testToken-1) }, nil, false,
			heartbeat(21, testToken-1, running), []string{}},
		{"another machine has its address", func(*wire.CommandRequest) (int, *wire.Heartbeat) { return 200, other }, nil, false,
			heartbeat(21, testToken-1, running), []string{}},
		{"no response", func(*wire.CommandRequest) (int, *wire.Heartbeat) { return 0, nil }, nil, false,
			heartbeat(21, testToken-1, running), []string{}},
		// The heartbeat drew starts that the response cannot show.
		{"a heartbeat is faster", func(*wire.CommandRequest) (int, *wire.Heartbeat) { return 200, status(1, 20, testToken) }, heartbeat(21, testToken, running), true,
			heartbeat(22, testToken, running, wire.TaskStatus{TaskID: "j-000001/1", Attempt: testToken<<32 | 1, State: wire.TaskRunning},
				wire.TaskStatus{TaskID: "j-000001/2", Attempt: testToken<<32 | 2, State: wire.TaskRunning}), []string{}},
	}
	for _, c := range cases {
		l, _ := newTestLeader(t)
		m := l.fleet.Machines["i-1"]
		m.Instance.Address, m.Heartbeat.FromCurrentTerm = "i-1:9000", false
		useWorkers(l, fakeWorkers(func(d *wire.CommandRequest) (int, *wire.Heartbeat) {
			if d.FencingToken != testToken || len(d.Commands) != 0 {
				t.Errorf("%s: asked with fencing token %d and %d commands", c.name, d.FencingToken, len(d.Commands))
			}
			if c.during != nil {
				if _, err := l.HandleHeartbeat(c.during); err != nil {
					t.Errorf("%s: %v", c.name, err)
				}
			}
			return c.worker(d)
		}))
		if done := l.taskQueries.Query(t.Context(), m); done != c.done || m.TasksKnown() != c.done {
			t.Errorf("%s: done %v, tasks known %v", c.name, done, m.TasksKnown())
		}
		if c.done && m.Attempts["j-000001/0"] == nil {
			t.Errorf("%s: the running task is not known", c.name)
		}
		if now := micros.Now(); c.done && now > l.liveness.LeaseExpiry(m) {
			t.Errorf("%s: its lease counts as expired", c.name)
		}
		l.scheduler.PlannedAt = 0
		a, err := l.HandleHeartbeat(c.after)
		if got := commandNames(a); err != nil || !slices.Equal(got, c.want) {
			t.Errorf("%s: commands %v (%v), want %v", c.name, got, err, c.want)
		}
	}
}
