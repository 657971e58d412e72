package cluster

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// gangJob returns the submission of a gang, with the protocol's names; edits are further fields.
func gangJob(id string, tasks int, cpus float64, edits map[string]any) map[string]any {
	job := testJob(id, tasks)
	job["shape"], job["vcpus"], job["save_every_s"], job["store_s"], job["expect_s"] = "gang", cpus, 10.0, 1.0, 20.0
	maps.Copy(job, edits)
	return job
}

// awaitTaskStates waits until the tasks of a job that machines have are in these states, by number.
func (c *cluster) awaitTaskStates(id string, want map[string]int) {
	c.t.Helper()
	for range 600 {
		if maps.Equal(c.taskStateCounts(id), want) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatalf("%s: tasks %v, want %v", id, c.cloud.TaskStates(), want)
}

// TestGangFaults runs a gang through one fault each. It must complete, with no rule violated; the
// number of its full runs shows whether an attempt was lost, and its duration whether its progress
// was.
func TestGangFaults(t *testing.T) {
	const id = "j-000001"
	wide := gangJob(id, 3, 3, nil) // a machine has four CPUs: one task on each of three
	waiting := func(n int) map[string]int { return map[string]int{wire.TaskWaitingForGang: n} }
	running := func(n int) map[string]int { return map[string]int{wire.TaskRunning: n} }
	cases := []struct {
		name       string
		job        map[string]any
		zones      []string
		imagePullS float64
		inject     func(c *cluster)
		fullRuns   int           // attempts of which all tasks ran
		timeout    time.Duration // from its submission to its completion
	}{
		{"on one machine", gangJob(id, 4, 1, nil), nil, 0, func(c *cluster) {
			c.awaitTaskStates(id, running(4))
			if n := len(c.cloud.WorkersOf(id)); n != 1 {
				c.t.Errorf("it is on %d machines, want one", n)
			}
		}, 1, 40 * time.Second},
		{"single task", gangJob(id, 1, 1, nil), nil, 0, func(*cluster) {}, 1, 40 * time.Second},
		{"over several machines", wide, nil, 2, func(*cluster) {}, 1, 40 * time.Second},
		{"single zone", gangJob(id, 3, 3, map[string]any{"together": true}), []string{"a", "b"}, 0, func(*cluster) {}, 1, 60 * time.Second},
		{"spread over zones", gangJob(id, 4, 3, map[string]any{"scatter": true}), []string{"a", "b"}, 0, func(*cluster) {}, 1, 60 * time.Second},
		{"zone given", gangJob(id, 3, 3, map[string]any{"hall": "b"}), []string{"a", "b"}, 0, func(*cluster) {}, 1, 60 * time.Second},
		{"as large as its team's limit", gangJob(id, 4, 1, map[string]any{"desk": "small"}), nil, 0, func(*cluster) {}, 1, 40 * time.Second},
		// A replacement with the same attempt number completes the gang.
		{"a machine hangs before the gang starts", wide, nil, 3, func(c *cluster) {
			c.awaitTaskStates(id, map[string]int{wire.TaskPullingImage: 3})
			c.cloud.WorkersOf(id)[1].Hang(time.Minute)
		}, 1, 60 * time.Second},
		{"a machine is interrupted while the others wait", wide, nil, 3, func(c *cluster) {
			c.awaitTaskStates(id, map[string]int{wire.TaskPullingImage: 3})
			hungWorker := c.cloud.WorkersOf(id)[1]
			hungWorker.Hang(4 * time.Second)
			c.awaitTaskStates(id, map[string]int{wire.TaskWaitingForGang: 2, wire.TaskPullingImage: 1})
			hungWorker.Interrupt(0)
		}, 1, 60 * time.Second},
		{"a machine is interrupted after a notice while the others wait", wide, nil, 3, func(c *cluster) {
			c.awaitTaskStates(id, map[string]int{wire.TaskPullingImage: 3})
			c.cloud.WorkersOf(id)[0].Interrupt(8 * time.Second)
		}, 1, 60 * time.Second},
		// The other tasks notice the loss, and all start again.
		{"a machine hangs while the gang runs", wide, nil, 0, func(c *cluster) {
			c.awaitTaskStates(id, running(3))
			time.Sleep(12 * time.Second)
			c.cloud.WorkersOf(id)[2].Hang(time.Minute)
		}, 2, 90 * time.Second},
		{"a machine is interrupted while the gang runs", wide, nil, 0, func(c *cluster) {
			c.awaitTaskStates(id, running(3))
			time.Sleep(12 * time.Second)
			c.cloud.WorkersOf(id)[2].Interrupt(0)
		}, 2, 80 * time.Second},
		// All tasks are stopped, checkpoint, and continue elsewhere: no progress is lost.
		{"a machine is interrupted after a notice while the gang runs", wide, nil, 0, func(c *cluster) {
			c.awaitTaskStates(id, running(3))
			time.Sleep(8 * time.Second)
			c.cloud.WorkersOf(id)[2].Interrupt(9 * time.Second)
			time.Sleep(8 * time.Second)
			if progress := c.cloud.GangProgress(id); progress < 7*time.Second {
				c.t.Errorf("checkpoints keep %v of its progress, want at least 7 s", progress)
			}
		}, 2, 60 * time.Second},
		{"the stop reaches only some tasks", wide, nil, 0, func(c *cluster) {
			c.awaitTaskStates(id, running(3))
			time.Sleep(8 * time.Second)
			machines := c.cloud.WorkersOf(id)
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if r.URL.Host == machines[0].ID+":9000" || from == machines[0].ID {
					return fake.DroppedRequest
				}
				return fake.NoFault
			})
			machines[2].Interrupt(9 * time.Second)
			time.Sleep(12 * time.Second)
		}, 2, 100 * time.Second},
		{"every tenth machine is isolated", gangJob(id, 4, 3, map[string]any{"scatter": true}), []string{"a", "b"}, 0, func(c *cluster) {
			c.awaitTaskStates(id, running(4))
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if strings.HasSuffix(from, "1") || strings.HasSuffix(r.URL.Host, "1:9000") {
					return fake.DroppedRequest
				}
				return fake.NoFault
			})
			time.Sleep(15 * time.Second)
		}, -1, 120 * time.Second},
		{"failover while the gang waits", wide, nil, 4, func(c *cluster) {
			c.awaitTaskStates(id, map[string]int{wire.TaskPullingImage: 3})
			c.cloud.WorkersOf(id)[0].Hang(6 * time.Second)
			c.awaitTaskStates(id, map[string]int{wire.TaskWaitingForGang: 2, wire.TaskPullingImage: 1})
			c.restartNodes(c.leader())
		}, 1, 60 * time.Second},
		{"failover while the gang waits for a machine that is lost", wide, nil, 4, func(c *cluster) {
			c.awaitTaskStates(id, map[string]int{wire.TaskPullingImage: 3})
			hungWorker := c.cloud.WorkersOf(id)[0]
			hungWorker.Hang(20 * time.Second)
			c.awaitTaskStates(id, map[string]int{wire.TaskWaitingForGang: 2, wire.TaskPullingImage: 1})
			hungWorker.Interrupt(0)
			c.restartNodes(c.leader())
		}, 1, 80 * time.Second},
		{"failover while the gang runs", wide, nil, 0, func(c *cluster) {
			c.awaitTaskStates(id, running(3))
			time.Sleep(3 * time.Second)
			c.restartNodes(c.leader())
		}, 1, 60 * time.Second},
		{"failover while the gang runs, and a machine is interrupted", wide, nil, 0, func(c *cluster) {
			c.awaitTaskStates(id, running(3))
			time.Sleep(3 * time.Second)
			c.cloud.WorkersOf(id)[1].Interrupt(0)
			c.restartNodes(c.leader())
		}, 2, 90 * time.Second},
		{"failover while the gang is stopped", wide, nil, 0, func(c *cluster) {
			c.awaitTaskStates(id, running(3))
			time.Sleep(8 * time.Second)
			c.cloud.WorkersOf(id)[2].Interrupt(12 * time.Second)
			for i := 0; i < 600 && len(c.cloud.TaskStates()) == 3 && !slices.Contains(slices.Collect(maps.Values(c.cloud.TaskStates())), wire.TaskCheckpointing); i++ {
				time.Sleep(100 * time.Millisecond)
			}
			c.restartNodes(c.leader())
		}, 2, 90 * time.Second},
		{"failover when only some starts were sent", wide, nil, 0, func(c *cluster) {
			isolated := ""
			c.setFault(func(from string, r *http.Request) fake.Fault {
				// The first machine that gets a start gets no response any more.
				for _, w := range c.cloud.Workers() {
					if from == w.ID && w.FencingToken() > 0 && (isolated == "" || isolated == from) {
						isolated = from
						return fake.DroppedResponse
					}
				}
				return fake.NoFault
			})
			c.awaitTaskStates(id, waiting(2))
			c.restartNodes(c.leader())
		}, 1, 80 * time.Second},
		{"failover when the result is lost with its machine before it is stored", gangJob(id, 4, 1, nil), nil, 2, func(c *cluster) {
			c.awaitTaskStates(id, running(4))
			time.Sleep(18 * time.Second)
			c.setFault(func(_ string, r *http.Request) fake.Fault {
				if isStateRequest(r) && r.URL.Path == "/txn" {
					return fake.DroppedRequest
				}
				return fake.NoFault
			})
			machine := c.cloud.WorkersOf(id)[0]
			time.Sleep(4 * time.Second)
			if len(machine.Tasks()) > 0 {
				c.t.Error("the gang has not completed")
			}
			machine.Interrupt(0)
			leader := c.leader()
			c.kill(leader)
			c.setFault(nil)
			if code, s := c.request(http.MethodGet, (leader+1)%3, "/v1/jobs/"+id, nil); code != http.StatusOK || s.State == wire.JobDone {
				c.t.Errorf("%d, status %s: its completion was stored", code, s.State)
			}
			c.start(leader)
		}, 1, 100 * time.Second},
		{"failover when one heartbeat has shown the gang done", wide, nil, 0, func(c *cluster) {
			c.awaitTaskStates(id, running(3))
			time.Sleep(18 * time.Second)
			heardID := c.cloud.WorkersOf(id)[0].ID
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if from != heardID && strings.HasPrefix(from, "i-") {
					return fake.DroppedRequest
				}
				return fake.NoFault
			})
			for i := 0; i < 600 && len(c.cloud.TaskStates()) > 0; i++ {
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(700 * time.Millisecond)
			c.restartNodes(c.leader())
		}, 1, 60 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newClusterOf(t, 3)
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 20 }
				c.cloud.Zones, c.cloud.ImagePullS = tc.zones, tc.imagePullS
				if tc.zones != nil {
					c.rules.InstanceTypes[0].Zones = tc.zones
				}
				startedAt := time.Now()
				c.submitJob(tc.job)
				tc.inject(c)
				c.setFault(nil)
				c.awaitStatus(id, wire.JobDone, tc.timeout+30*time.Second)
				if duration := time.Since(startedAt); duration > tc.timeout {
					t.Errorf("done after %v", duration)
				}
				if runs := c.cloud.GangRuns(id); tc.fullRuns >= 0 && runs != tc.fullRuns {
					t.Errorf("%d full runs, want %d", runs, tc.fullRuns)
				}
				time.Sleep(5 * time.Second)
				if left := c.cloud.TasksOnMachines(); len(left) > 0 {
					t.Errorf("still on machines: %v", left)
				}
				for _, rule := range c.rules.Violations() {
					t.Error(rule)
				}
			})
		})
	}
}

// TestGangContention has gangs compete with each other and with other work.
func TestGangContention(t *testing.T) {
	cases := []struct {
		name string
		run  func(c *cluster)
	}{
		{"gangs need more room than their team has", func(c *cluster) {
			for i := range 4 {
				c.submitJob(gangJob(fmt.Sprintf("j-00000%d", i+1), 4, 1, map[string]any{"desk": "small"}))
			}
			for i := range 4 {
				c.awaitStatus(fmt.Sprintf("j-00000%d", i+1), wire.JobDone, 3*time.Minute)
				if n := c.cloud.GangRuns(fmt.Sprintf("j-00000%d", i+1)); n != 1 {
					c.t.Errorf("%d full runs of gang %d, want one", n, i+1)
				}
			}
		}},
		{"gang beside a stream of small tasks", func(c *cluster) {
			c.cloud.MaxMachines = 2
			c.cloud.RuntimeOf = func(task string) float64 { return 5 + float64(task[len(task)-1]%3) }
			for i := range 3 {
				c.submit(fmt.Sprintf("j-0001%02d", i), 9)
			}
			time.Sleep(6 * time.Second)
			c.submitJob(gangJob("j-000001", 2, 4, nil))
			startedAt := time.Now()
			for i := range 40 {
				c.submit(fmt.Sprintf("j-0002%02d", i), 4)
				time.Sleep(3 * time.Second)
				if c.cloud.GangRuns("j-000001") > 0 {
					break
				}
			}
			if duration := time.Since(startedAt); c.cloud.GangRuns("j-000001") == 0 || duration > 100*time.Second {
				c.t.Errorf("the gang did not start in %v", duration)
			}
			c.awaitStatus("j-000001", wire.JobDone, time.Minute)
		}},
		{"gang is cancelled while it waits", func(c *cluster) {
			c.cloud.ImagePullS = 3
			c.submitJob(gangJob("j-000001", 3, 3, nil))
			c.awaitTaskStates("j-000001", map[string]int{wire.TaskPullingImage: 3})
			c.cloud.WorkersOf("j-000001")[0].Hang(10 * time.Second)
			c.awaitTaskStates("j-000001", map[string]int{wire.TaskWaitingForGang: 2, wire.TaskPullingImage: 1})
			if code, _ := c.request(http.MethodPost, 1, "/v1/jobs/j-000001/abort", nil); code != http.StatusOK {
				c.t.Errorf("cancellation answered %d", code)
			}
			time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
			if n := c.cloud.GangRuns("j-000001"); n != 0 {
				c.t.Errorf("%d full runs, want none", n)
			}
		}},
		{"submissions that can never run are rejected", func(c *cluster) {
			for _, x := range []struct {
				job  map[string]any
				code int
			}{
				{gangJob("j-000001", 5, 1, map[string]any{"desk": "small"}), http.StatusUnprocessableEntity},
				{gangJob("j-000002", 1, 5, nil), http.StatusUnprocessableEntity},
				{gangJob("j-000003", 2, 1, map[string]any{"shape": "band"}), http.StatusBadRequest},
				{gangJob("j-000004", 4, 1, map[string]any{"desk": "small"}), http.StatusCreated},
			} {
				if code, _ := c.request(http.MethodPost, 0, "/v1/jobs", x.job); code != x.code {
					c.t.Errorf("%v: %d, want %d", x.job["id"], code, x.code)
				}
			}
			c.awaitStatus("j-000004", wire.JobDone, 2*time.Minute)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newClusterOf(t, 3)
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 20 }
				time.Sleep(5 * time.Second)
				tc.run(c)
				for _, rule := range c.rules.Violations() {
					t.Error(rule)
				}
			})
		})
	}
}
