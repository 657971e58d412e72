package leader

import (
	"testing"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestLostResponses checks that a machine that sends heartbeats but receives no responses is not considered healthy.
// Otherwise, it would be given tasks forever. Its starts are paused, and it is terminated in the end.
func TestLostResponses(t *testing.T) {
	for _, c := range []struct {
		name       string
		executes   bool  // the worker executes the commands in the responses
		starts     []int // number of starts in each response; the backoff for starts ends before the fifth
		terminated bool
	}{
		{"the machine receives no responses", false, []int{3, 3, 0, 0, 3, 0}, true},
		{"the machine receives all responses", true, []int{3, 0, 0, 0, 0, 0}, false},
	} {
		l, _ := newTestLeader(t)
		m := l.fleet.Machines["i-1"]
		var tasks []wire.TaskStatus
		for i, want := range c.starts {
			l.scheduler.PlannedAt = 0
			if i == 4 {
				m.StartBackoffUntil = 0
			}
			response, err := l.HandleHeartbeat(heartbeat(uint64(11+i), testToken, tasks...))
			if err != nil || len(response.Commands) != want {
				t.Fatalf("%s: response %d: commands %v (error %v), want %d starts", c.name, i, response.Commands, err, want)
			}
			for _, command := range response.Commands {
				if c.executes {
					tasks = append(tasks, wire.TaskStatus{TaskID: command.TaskID, Attempt: command.Attempt, State: wire.TaskRunning})
				}
			}
		}
		now := micros.Now() + 30*micros.Second
		m.Heartbeat.ReceivedAt = now // its heartbeats still arrive
		l.superviseMachines(now)
		if m.Instance.Terminating != c.terminated {
			t.Errorf("%s: terminated: %v, want %v", c.name, m.Instance.Terminating, c.terminated)
		}
	}
}
