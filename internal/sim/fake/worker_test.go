package fake

import (
	"bytes"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/sim/checker"
	"caperlatch/internal/wire"
)

// newTestCloud returns a cloud for tests of workers. Its only node responds to every heartbeat with fencing token 1
// and no commands. The leases of its workers last for leaseS seconds, and tasks run for 20 s.
func newTestCloud(rules *checker.Rules, leaseS float64) *Cloud {
	n := NewNetwork()
	n.Handle("host-0:8080", http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		respond(rw, http.StatusOK, wire.HeartbeatResponse{FencingToken: 1, Commands: []wire.Command{}})
	}))
	return NewCloud(CloudConfig{
		Net:                n,
		Rules:              rules,
		NodeHosts:          []string{"host-0:8080"},
		HeartbeatIntervalS: 1,
		LeaseDurationS:     leaseS,
		RuntimeOf:          func(string) float64 { return 20 },
	})
}

// sendCommands sends commands directly to a worker.
func sendCommands(t *testing.T, w *Worker, commands ...wire.Command) {
	body, err := wire.Marshal(wire.CommandRequest{FencingToken: 1, Incarnation: 1, Commands: commands})
	if err != nil {
		t.Error(err)
	}
	w.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/commands", bytes.NewReader(body)))
}

// lastTaskState returns the state, the exit reason and whether there is a checkpoint of a worker's latest task; empty
// if the worker has no task.
func lastTaskState(w *Worker) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := ""
	for _, task := range w.tasks {
		state = task.State + task.ExitReason
		if task.Checkpointed {
			state += "+checkpointed"
		}
	}
	return state
}

// workerCase is a scenario in which a task starts at 0 s on a machine, which may hang from 1 s on.
type workerCase struct {
	name       string
	hang       time.Duration
	imagePullS float64
	commands   []wire.Command           // sent from 2 s on, one per second
	want       map[time.Duration]string // the result of lastTaskState at the given times
}

// workerCases covers hangs, image pulls and checkpoints.
func workerCases() []workerCase {
	const running, stopped, done = wire.TaskRunning, wire.TaskExited + wire.ExitStopped, wire.TaskExited + wire.ExitDone
	stop := func(graceS float64) wire.Command {
		return wire.Command{Verb: wire.VerbStop, TaskID: "j-000001/0", Attempt: 1, GracePeriodS: &graceS}
	}
	return []workerCase{
		{"task runs to its end", 0, 0, nil, map[time.Duration]string{time.Second: running, 21 * time.Second: done}},
		{"task pulls its image before it runs", 0, 4, nil,
			map[time.Duration]string{3 * time.Second: wire.TaskPullingImage, 5 * time.Second: running, 21 * time.Second: running}},
		{"stop during the image pull", 0, 4, []wire.Command{stop(9)}, map[time.Duration]string{3 * time.Second: stopped}},
		{"stop with a checkpoint", 0, 0, []wire.Command{stop(9)},
			map[time.Duration]string{3 * time.Second: wire.TaskCheckpointing, 7 * time.Second: stopped + "+checkpointed"}},
		{"stop with too short a grace period", 0, 0, []wire.Command{stop(1)}, map[time.Duration]string{3 * time.Second: stopped}},
		{"second stop ends the checkpoint", 0, 0, []wire.Command{stop(9), stop(0)}, map[time.Duration]string{4 * time.Second: stopped}},
		{"task runs longer by the duration of a hang", 5 * time.Second, 0, nil, map[time.Duration]string{23 * time.Second: running, 26 * time.Second: done}},
		{"stop arrives while the machine hangs", 5 * time.Second, 0, []wire.Command{stop(0)},
			map[time.Duration]string{5 * time.Second: running, 7 * time.Second: stopped}},
		{"lease expires while the machine hangs", 9 * time.Second, 0, nil, map[time.Duration]string{10500 * time.Millisecond: ""}},
	}
}

// TestWorkerCommands checks how a worker executes commands: while its machine hangs it executes none, and when the
// machine resumes it executes those that are still valid. A task that can checkpoint does so if the grace period of a
// stop is long enough, and no task runs before its image is present.
func TestWorkerCommands(t *testing.T) {
	for _, c := range workerCases() {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rules := checker.NewRules(time.Minute, map[string]float64{"blue": 0}, InstanceTypes().Types)
				rules.ObserveSubmission(wire.Job{
					ID: "j-000001", Team: "blue", Tasks: 1, CPUs: 1, Image: "img", CheckpointIntervalS: 5, CheckpointDurationS: 3, AllowSpot: true,
				})
				cloud := newTestCloud(rules, 8)
				cloud.ImagePullS = c.imagePullS
				w := startWorker(cloud, "i-000000", wire.LaunchRequest{InstanceType: "m4", Zone: "a", Spot: true})
				defer func() {
					w.stop()
					time.Sleep(time.Minute)
				}()
				sendCommands(t, w, wire.Command{Verb: wire.VerbStart, TaskID: "j-000001/0", Attempt: 1})
				start := time.Now()
				for i, command := range c.commands {
					time.AfterFunc(time.Duration(2+i)*time.Second, func() { sendCommands(t, w, command) })
				}
				time.Sleep(time.Second)
				if c.hang > 0 {
					w.Hang(c.hang)
				}
				for _, at := range slices.Sorted(maps.Keys(c.want)) {
					time.Sleep(time.Until(start.Add(at + 150*time.Millisecond)))
					if state := lastTaskState(w); state != c.want[at] {
						t.Errorf("%s: after %v the task state is %q, want %q", c.name, at, state, c.want[at])
					}
				}
			})
		})
	}
}
