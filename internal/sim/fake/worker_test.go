package fake

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/sim/checker"
	"caperlatch/internal/wire"
)

// TestWorker shows what a machine does with commands that reach it: while it hangs it
// does nothing, and afterwards what still counts; a task that can save does so when it
// is given the time, and none runs without its image.
func TestWorker(t *testing.T) {
	grace := func(s float64) *float64 { return &s }
	stop := func(s float64) wire.Command {
		return wire.Command{Verb: wire.VerbStop, TaskID: "j-000001/0", Attempt: 1, GracePeriodS: grace(s)}
	}
	cases := []struct {
		name     string
		hang     time.Duration
		fetchS   float64
		commands []wire.Command // from 2 s on, one each second
		want     map[time.Duration]string
	}{
		{"runs to its end", 0, 0, nil, map[time.Duration]string{time.Second: wire.TaskRunning, 21 * time.Second: wire.TaskExited + wire.ExitDone}},
		{"fetches first", 0, 4, nil, map[time.Duration]string{3 * time.Second: wire.TaskPullingImage, 5 * time.Second: wire.TaskRunning, 21 * time.Second: wire.TaskRunning}},
		{"stops while it fetches", 0, 4, []wire.Command{stop(9)}, map[time.Duration]string{3 * time.Second: wire.TaskExited + wire.ExitStopped}},
		{"saves", 0, 0, []wire.Command{stop(9)}, map[time.Duration]string{3 * time.Second: wire.TaskCheckpointing, 7 * time.Second: wire.TaskExited + wire.ExitStopped + "saved"}},
		{"has no time to save", 0, 0, []wire.Command{stop(1)}, map[time.Duration]string{3 * time.Second: wire.TaskExited + wire.ExitStopped}},
		{"is ended while it saves", 0, 0, []wire.Command{stop(9), stop(0)}, map[time.Duration]string{4 * time.Second: wire.TaskExited + wire.ExitStopped}},
		{"hangs, goes on, and runs as much later", 5 * time.Second, 0, nil, map[time.Duration]string{23 * time.Second: wire.TaskRunning, 26 * time.Second: wire.TaskExited + wire.ExitDone}},
		{"hangs, and is told to stop", 5 * time.Second, 0, []wire.Command{stop(0)}, map[time.Duration]string{5 * time.Second: wire.TaskRunning, 7 * time.Second: wire.TaskExited + wire.ExitStopped}},
		{"hangs until its lease is over", 9 * time.Second, 0, nil, map[time.Duration]string{10500 * time.Millisecond: ""}},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			n := NewNetwork()
			rules := checker.NewRules(time.Minute, map[string]float64{"blue": 0}, InstanceTypes().Types)
			rules.ObserveSubmission(wire.Job{ID: "j-000001", Team: "blue", Tasks: 1, CPUs: 1, Image: "img", CheckpointIntervalS: 5, CheckpointDurationS: 3, AllowSpot: true})
			cloud := NewCloud(n, rules, []string{"host-0:8080"}, 1, 8, func(string) float64 { return 20 })
			cloud.ImagePullS = c.fetchS
			n.Handle("host-0:8080", http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				send(rw, http.StatusOK, wire.HeartbeatResponse{FencingToken: 1, Commands: []wire.Command{}})
			}))
			w := newWorker(cloud, "i-000000", wire.LaunchRequest{InstanceType: "m4", Zone: "a", Spot: true})
			defer func() {
				w.stop()
				time.Sleep(time.Minute)
			}()
			order := func(commands ...wire.Command) {
				b, err := wire.Marshal(wire.CommandRequest{FencingToken: 1, Incarnation: 1, Commands: commands})
				if err != nil {
					t.Error(err)
				}
				w.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/commands", bytes.NewReader(b)))
			}
			order(wire.Command{Verb: wire.VerbStart, TaskID: "j-000001/0", Attempt: 1})
			begun := time.Now()
			for i, command := range c.commands {
				time.AfterFunc(time.Duration(2+i)*time.Second, func() { order(command) })
			}
			time.Sleep(time.Second)
			if c.hang > 0 {
				w.Hang(c.hang)
			}
			var at []time.Duration
			for d := range c.want {
				at = append(at, d)
			}
			slices.Sort(at)
			for _, d := range at {
				time.Sleep(time.Until(begun.Add(d + 150*time.Millisecond)))
				w.mu.Lock()
				state := ""
				for _, task := range w.tasks {
					state = task.State + task.ExitReason
					if task.Checkpointed {
						state += "saved"
					}
				}
				w.mu.Unlock()
				if state != c.want[d] {
					t.Errorf("%s: after %v it is %q, want %q", c.name, d, state, c.want[d])
				}
			}
		})
	}
}
