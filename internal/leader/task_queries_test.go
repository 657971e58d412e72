package leader

import (
	"slices"
	"testing"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestTaskQuery checks what a new leader learns from querying a machine for its tasks. Only a response that the worker
// sends after it has received this term's fencing token proves which tasks it has. Until then, the worker may still
// execute a start of an earlier term, and a task that the leader starts elsewhere would run twice.
func TestTaskQuery(t *testing.T) {
	running := wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskRunning}
	status := func(incarnation, sequence, fencingToken uint64) *wire.Heartbeat {
		h := heartbeat(sequence, fencingToken, running)
		h.Incarnation = incarnation
		return h
	}
	statusOfOtherMachine := status(1, 20, testToken)
	statusOfOtherMachine.MachineID = "i-9"
	otherStarts := []string{"start j-000001/1", "start j-000001/2"}
	cases := []struct {
		name   string
		worker fakeWorkers
		during *wire.Heartbeat // arrives while the query is in progress, unless nil
		done   bool            // the query proves which tasks the machine has
		after  *wire.Heartbeat // arrives after the query
		want   []string        // commands in the response to the heartbeat after the query
	}{
		{"the worker responds", func(*wire.CommandRequest) (int, *wire.Heartbeat) { return 200, status(1, 20, testToken) }, nil, true,
			heartbeat(21, testToken, running), otherStarts},
		{"the worker is in a later incarnation", func(c *wire.CommandRequest) (int, *wire.Heartbeat) {
			if c.Incarnation != 3 {
				return 409, status(3, 20, testToken-1)
			}
			return 200, status(3, 21, testToken)
		}, nil, true, status(3, 22, testToken), otherStarts},
		// The heartbeat's sequence is below that of a copy from the earlier incarnation, but its incarnation began anew.
		{"the worker is in a later incarnation, and a late copy from an earlier one arrives", func(c *wire.CommandRequest) (int, *wire.Heartbeat) {
			if c.Incarnation != 3 {
				return 409, status(3, 4, testToken-1)
			}
			return 200, status(3, 5, testToken)
		}, status(2, 88, testToken-1), true, status(3, 6, testToken), otherStarts},
		// The heartbeat is older than the response: tasks that it lists may have exited since, and it does not list
		// tasks that were started since.
		{"a heartbeat from before the response", func(*wire.CommandRequest) (int, *wire.Heartbeat) { return 200, status(1, 20, testToken) }, nil, true,
			heartbeat(19, testToken, running), []string{}},
		{"the worker has not received this term's fencing token", func(*wire.CommandRequest) (int, *wire.Heartbeat) { return 409, status(1, 20, testToken-1) }, nil, false,
			heartbeat(21, testToken-1, running), []string{}},
		{"another machine has the address", func(*wire.CommandRequest) (int, *wire.Heartbeat) { return 200, statusOfOtherMachine }, nil, false,
			heartbeat(21, testToken-1, running), []string{}},
		{"no response", func(*wire.CommandRequest) (int, *wire.Heartbeat) { return 0, nil }, nil, false,
			heartbeat(21, testToken-1, running), []string{}},
		// The response to the heartbeat carries starts that the worker's response to the query does not list.
		{"a heartbeat arrives before the worker's response", func(*wire.CommandRequest) (int, *wire.Heartbeat) { return 200, status(1, 20, testToken) }, heartbeat(21, testToken, running), true,
			heartbeat(22, testToken, running, wire.TaskStatus{TaskID: "j-000001/1", Attempt: testToken<<32 | 1, State: wire.TaskRunning},
				wire.TaskStatus{TaskID: "j-000001/2", Attempt: testToken<<32 | 2, State: wire.TaskRunning}), []string{}},
	}
	for _, c := range cases {
		l, _ := newTestLeader(t)
		m := l.fleet.Machines["i-1"]
		m.Instance.Address, m.Heartbeat.FromCurrentTerm = "i-1:9000", false
		useWorkers(l, fakeWorkers(func(request *wire.CommandRequest) (int, *wire.Heartbeat) {
			if request.FencingToken != testToken || len(request.Commands) != 0 {
				t.Errorf("%s: query with fencing token %d and %d commands, want token %d and no commands", c.name, request.FencingToken, len(request.Commands), uint64(testToken))
			}
			if c.during != nil {
				stale := c.during.Incarnation < m.Heartbeat.Incarnation
				if _, err := l.HandleHeartbeat(c.during); (err != nil) != stale {
					t.Errorf("%s: heartbeat during the query: error %v, want one: %t", c.name, err, stale)
				}
			}
			return c.worker(request)
		}))
		if done := l.taskQueries.Query(t.Context(), m); done != c.done || m.TasksKnown() != c.done {
			t.Errorf("%s: query done: %v, tasks known: %v, want both %v", c.name, done, m.TasksKnown(), c.done)
		}
		if c.done && m.Attempts["j-000001/0"] == nil {
			t.Errorf("%s: the running task is not known after the query", c.name)
		}
		if now := micros.Now(); c.done && now > l.liveness.LeaseExpiry(m) {
			t.Errorf("%s: the machine's lease counts as expired after the query", c.name)
		}
		l.scheduler.PlannedAt = 0
		response, err := l.HandleHeartbeat(c.after)
		if got := commandNames(response); err != nil || !slices.Equal(got, c.want) {
			t.Errorf("%s: commands %v (error %v), want %v", c.name, got, err, c.want)
		}
	}
}
