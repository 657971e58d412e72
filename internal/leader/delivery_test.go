package leader

import (
	"testing"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestLostResponses has a machine's reports arrive while answers don't reach it: it is not
// taken for healthy and fed work for ever, and in the end it is returned.
func TestLostResponses(t *testing.T) {
	for _, c := range []struct {
		name   string
		obeys  bool
		told   []int // starts in each answer; the pause for starts ends before the fifth
		leaves bool
	}{
		{"it hears nothing", false, []int{3, 3, 0, 0, 3, 0}, true},
		{"it does as it is told", true, []int{3, 0, 0, 0, 0, 0}, false},
	} {
		l, _ := newTestLeader(t)
		m := l.fleet.Machines["i-1"]
		var tasks []wire.TaskStatus
		for i, want := range c.told {
			l.plannedAt = 0
			if i == 4 {
				m.StartBackoffUntil = 0
			}
			a, err := l.HandleHeartbeat(heartbeat(uint64(11+i), testToken, tasks...))
			if err != nil || len(a.Commands) != want {
				t.Fatalf("%s: answer %d tells %v (%v), want %d starts", c.name, i, a.Commands, err, want)
			}
			for _, o := range a.Commands {
				if c.obeys {
					tasks = append(tasks, wire.TaskStatus{TaskID: o.TaskID, Attempt: o.Attempt, State: wire.TaskRunning})
				}
			}
		}
		now := micros.Now() + 30*micros.Second
		m.Heartbeat.ReceivedAt = now // its reports go on
		l.superviseMachines(now)
		if m.Instance.Terminating != c.leaves {
			t.Errorf("%s: returned %v, want %v", c.name, m.Instance.Terminating, c.leaves)
		}
	}
}
