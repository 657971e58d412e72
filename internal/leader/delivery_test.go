package leader

import (
	"testing"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestLostResponses has a machine's heartbeats arrive while responses don't reach it: it is not taken for healthy and
// given work for ever, and in the end it is terminated.
func TestLostResponses(t *testing.T) {
	for _, c := range []struct {
		name       string
		obeys      bool
		starts     []int // in each response; the backoff for starts ends before the fifth
		terminated bool
	}{
		{"it receives no response", false, []int{3, 3, 0, 0, 3, 0}, true},
		{"it obeys", true, []int{3, 0, 0, 0, 0, 0}, false},
	} {
		l, _ := newTestLeader(t)
		m := l.fleet.Machines["i-1"]
		var tasks []wire.TaskStatus
		for i, want := range c.starts {
			l.scheduler.PlannedAt = 0
			if i == 4 {
				m.StartBackoffUntil = 0
			}
			a, err := l.HandleHeartbeat(heartbeat(uint64(11+i), testToken, tasks...))
			if err != nil || len(a.Commands) != want {
				t.Fatalf("%s: response %d has %v (%v), want %d starts", c.name, i, a.Commands, err, want)
			}
			for _, command := range a.Commands {
				if c.obeys {
					tasks = append(tasks, wire.TaskStatus{TaskID: command.TaskID, Attempt: command.Attempt, State: wire.TaskRunning})
				}
			}
		}
		now := micros.Now() + 30*micros.Second
		m.Heartbeat.ReceivedAt = now // its heartbeats go on
		l.superviseMachines(now)
		if m.Instance.Terminating != c.terminated {
			t.Errorf("%s: terminated %v, want %v", c.name, m.Instance.Terminating, c.terminated)
		}
	}
}
