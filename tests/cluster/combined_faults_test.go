package cluster

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// Run times of the tasks of the jobs in these tests, in seconds. The tasks complete far apart, so
// that completions lie on both sides of whatever happens; cancelledJobs are cancelled during the
// fault.
var (
	faultJobRuntimes = map[string][]float64{
		"j-000001": {2, 25}, "j-000002": {3, 14, 40}, "j-000003": {8, 50}, "j-000004": {1, 20, 33},
		"j-000005": {4, 4, 4, 4, 4, 4}, // of a team with a limit of four CPUs
		"j-000006": {300, 300}, "j-000007": {300, 2, 300}, "j-000008": {300},
	}
	cancelledJobs = []string{"j-000006", "j-000007", "j-000008"}
)

// runUnderFault has the jobs accepted, users query every node about them all the time, and a fault
// injected. During the fault users cancel some of the jobs. Afterwards the others must complete,
// and no rule be violated at any time.
func runUnderFault(t *testing.T, nodes int, inject func(c *cluster, cancel func())) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOf(t, nodes)
		defer c.close()
		c.cloud.RuntimeOf = func(task string) float64 {
			id, n, _ := strings.Cut(task, "/")
			if tasks := faultJobRuntimes[id]; tasks != nil {
				return tasks[n[0]-'0']
			}
			return 5 // of a job that a case adds
		}
		submit := func(id string) {
			job := testJob(id, len(faultJobRuntimes[id]))
			job["expect_s"] = 200.0 // for a fleet with room, so that a task could start twice
			if id == "j-000005" {
				job["desk"] = "small"
			}
			for try := range 90 {
				if code, _ := c.request(http.MethodPost, try%nodes, "/v1/jobs", job); code == http.StatusCreated || code == http.StatusOK {
					return
				}
				time.Sleep(time.Second)
			}
			t.Errorf("%s was not accepted", id)
		}
		var ids []string
		for i := range len(faultJobRuntimes) {
			ids = append(ids, fmt.Sprintf("j-%06d", i+1))
		}
		for _, id := range ids {
			if id != "j-000004" {
				submit(id)
			}
		}
		ran := 0 // tasks of a job to be cancelled at a time, once there was a fault
		over, queried := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(queried)
			for n := 0; ; n++ {
				select {
				case <-over:
					return
				case <-time.After(300 * time.Millisecond):
				}
				id := "j-999999" // nobody submitted it
				if n%9 < len(ids) {
					id = ids[n%9]
				}
				go c.request(http.MethodGet, n/9%nodes, "/v1/jobs/"+id, nil)
				if c.faultCount() > 0 || c.state.InOutage() {
					for _, id := range cancelledJobs {
						ran = max(ran, c.runningTasks(id))
					}
				}
			}
		}()
		cancelled := make(chan struct{})
		inject(c, func() {
			go func() {
				defer close(cancelled)
				for _, id := range cancelledJobs {
					done := false
					for try := 0; try < 90 && !done; try++ {
						code, s := c.request(http.MethodPost, try%nodes, "/v1/jobs/"+id+"/abort", nil)
						done = code == http.StatusOK && s.State == wire.JobCancelled
						time.Sleep(time.Second)
					}
					if !done {
						t.Errorf("%s could not be cancelled", id)
					}
				}
			}()
		})
		c.setFault(nil)
		<-cancelled
		go c.checkProgress(ids, over)
		submit("j-000004")
		for _, id := range ids[:5] {
			c.awaitStatus(id, wire.JobDone, 3*time.Minute)
		}
		close(over)
		<-queried
		if ran == 0 {
			t.Error("no task of a job to be cancelled ran during the fault")
		}
		time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
		c.checkAnswers(ids)
		for _, rule := range c.rules.Violations() {
			t.Error(rule)
		}
	})
}

// checkProgress checks, once the faults are over, that no job waits for 90 s while a machine has
// room for a task of it and its team is under its limit.
func (c *cluster) checkProgress(ids []string, over <-chan struct{}) {
	waited := map[string]int{}
	for n := 0; ; n++ {
		select {
		case <-over:
			return
		case <-time.After(time.Second):
		}
		room := slices.ContainsFunc(c.cloud.Workers(), func(w *fake.Worker) bool { return len(w.Tasks()) < 4 })
		for _, id := range ids {
			if !room || !c.hasWaitingTasks(id, n%c.size) {
				waited[id] = 0
			} else if waited[id]++; waited[id] == 90 {
				c.t.Errorf("%s waits although a machine has room", id)
			}
		}
	}
}

// hasWaitingTasks reports whether a job has tasks that neither run nor are done, by a node's
// answer, although its team's limit leaves room for one.
func (c *cluster) hasWaitingTasks(id string, node int) bool {
	on := c.runningTasks(id)
	if id == "j-000005" && on >= 4 {
		return false
	}
	_, s := c.request(http.MethodGet, node, "/v1/jobs/"+id, nil)
	return s.Done != nil && *s.Done+on < len(faultJobRuntimes[id])
}

// bodyContains reports whether a request's body contains a key.
func bodyContains(r *http.Request, key string) bool {
	if r.GetBody == nil {
		return false
	}
	body, err := r.GetBody()
	if err != nil {
		return false
	}
	b, err := io.ReadAll(body)
	return err == nil && bytes.Contains(b, []byte(key))
}

// TestCombinedFaults combines faults with each other and with failovers, completions and
// cancellations.
func TestCombinedFaults(t *testing.T) {
	isHeartbeat := func(r *http.Request) bool { return r.URL.Path == "/hello" }
	isCommand := func(r *http.Request) bool { return r.URL.Path == "/commands" }
	isTxn := func(r *http.Request) bool { return r.URL.Path == "/txn" }
	every := func(n int, fault fake.Fault, match func(*http.Request) bool) func(string, *http.Request) fake.Fault {
		count := 0
		return func(_ string, r *http.Request) fake.Fault {
			if match(r) {
				if count++; count%n == 0 {
					return fault
				}
			}
			return fake.NoFault
		}
	}
	cases := []struct {
		name   string
		nodes  int
		inject func(c *cluster, cancel func())
	}{
		{"completions on both sides of failovers, responses to transactions dropped", 3, func(c *cluster, cancel func()) {
			c.setFault(every(2, fake.DroppedResponse, isTxn))
			for range 4 {
				time.Sleep(6 * time.Second)
				c.restartNodes(c.leader())
			}
			cancel()
			time.Sleep(5 * time.Second)
		}},
		{"state service unavailable to the leader alone, then to all for longer than the cancellation timeout", 5, func(c *cluster, cancel func()) {
			time.Sleep(8 * time.Second)
			prefix := fmt.Sprintf("host-%d/", c.leader())
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if strings.HasPrefix(from, prefix) && isStateRequest(r) {
					return fake.ServiceUnavailable
				}
				return fake.NoFault
			})
			time.Sleep(5 * time.Second)
			cancel()
			time.Sleep(2 * time.Second)
			c.setFault(func(_ string, r *http.Request) fake.Fault {
				if isStateRequest(r) {
					return fake.ServiceUnavailable
				}
				return fake.NoFault
			})
			time.Sleep(time.Duration(cancellationTimeoutS+10) * time.Second)
		}},
		{"outage of the state service, in which no session ends, for longer than the cancellation timeout", 5, func(c *cluster, cancel func()) {
			time.Sleep(8 * time.Second)
			cancel()
			time.Sleep(time.Second)
			c.state.SetOutage(true)
			time.Sleep(time.Duration(cancellationTimeoutS+10) * time.Second)
			c.state.SetOutage(false)
		}},
		{"responses of the state service dropped while users cancel", 3, func(c *cluster, cancel func()) {
			time.Sleep(6 * time.Second)
			c.setFault(every(3, fake.DroppedResponse, isStateRequest))
			cancel()
			time.Sleep(40 * time.Second)
		}},
		{"high latency of the state service while users cancel and query", 3, func(c *cluster, cancel func()) {
			c.setFault(every(1, fake.HighLatency, isStateRequest))
			time.Sleep(12 * time.Second)
			cancel()
			time.Sleep(20 * time.Second)
			c.restartNodes(c.leader())
			time.Sleep(10 * time.Second)
		}},
		{"leader partitioned from state service and peers, not from workers and users", 5, func(c *cluster, cancel func()) {
			time.Sleep(8 * time.Second)
			member := memberName(c.leader())
			c.pipes.SetPartition(func(from, to string) bool { return from == member || to == member })
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if strings.HasPrefix(from, member+"/") && isStateRequest(r) {
					return fake.DroppedRequest
				}
				return fake.NoFault
			})
			time.Sleep(6 * time.Second)
			cancel()
			time.Sleep(40 * time.Second)
			c.healPeers()
		}},
		{"failover while half of the machines are isolated", 5, func(c *cluster, cancel func()) {
			time.Sleep(8 * time.Second)
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if isEveryOtherMachine(from) || isEveryOtherMachine(r.URL.Host) {
					return fake.DroppedRequest
				}
				return fake.NoFault
			})
			i := c.leader()
			c.kill(i)
			cancel()
			time.Sleep(20 * time.Second)
			c.start(i)
		}},
		{"failover while responses and commands to half of the machines are dropped", 5, func(c *cluster, cancel func()) {
			time.Sleep(8 * time.Second)
			c.setFault(func(from string, r *http.Request) fake.Fault {
				switch {
				case isEveryOtherMachine(from) && isHeartbeat(r):
					return fake.DroppedResponse
				case isEveryOtherMachine(r.URL.Host):
					return fake.DroppedRequest
				}
				return fake.NoFault
			})
			c.restartNodes(c.leader())
			cancel()
			time.Sleep(20 * time.Second)
		}},
		{"stale heartbeats after newer ones, across failovers", 5, func(c *cluster, cancel func()) {
			c.setFault(every(1, fake.DuplicatedRequest, isHeartbeat))
			time.Sleep(8 * time.Second)
			cancel()
			for range 3 {
				c.restartNodes(c.leader())
				time.Sleep(9 * time.Second)
			}
		}},
		{"the next leader gets only stale heartbeats of half of the machines", 5, func(c *cluster, cancel func()) {
			c.setFault(every(1, fake.DuplicatedRequest, isHeartbeat))
			time.Sleep(7 * time.Second)
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if isEveryOtherMachine(from) || isEveryOtherMachine(r.URL.Host) || r.URL.Host == "cloud" {
					return fake.DroppedRequest
				}
				return fake.NoFault
			})
			c.restartNodes(c.leader())
			time.Sleep(20 * time.Second)
			cancel()
		}},
		{"heartbeats delayed, failover", 3, func(c *cluster, cancel func()) {
			c.setFault(every(3, fake.DelayedRequest, isHeartbeat))
			time.Sleep(10 * time.Second)
			cancel()
			c.restartNodes(c.leader())
			time.Sleep(20 * time.Second)
		}},
		{"commands delayed, then their responses dropped, across failovers", 5, func(c *cluster, cancel func()) {
			c.setFault(every(1, fake.DelayedRequest, isCommand))
			time.Sleep(8 * time.Second)
			cancel()
			c.restartNodes(c.leader())
			time.Sleep(4 * time.Second)
			c.setFault(every(1, fake.DroppedResponse, isCommand))
			c.restartNodes(c.leader())
			time.Sleep(15 * time.Second)
		}},
		{"launches and terminations delayed, failover", 3, func(c *cluster, cancel func()) {
			c.setFault(every(2, fake.DelayedRequest, func(r *http.Request) bool { return r.URL.Host == "cloud" && r.Method == http.MethodPost }))
			time.Sleep(12 * time.Second)
			cancel()
			c.restartNodes(c.leader())
			time.Sleep(30 * time.Second)
		}},
		{"restarts of leaders, then all nodes crash and one restarts within a second", 5, func(c *cluster, cancel func()) {
			time.Sleep(7 * time.Second)
			for range 3 {
				c.restartNodes(c.leader())
				time.Sleep(1300 * time.Millisecond)
			}
			for i := range 5 {
				c.kill(i)
			}
			time.Sleep(300 * time.Millisecond)
			c.start(3)
			time.Sleep(8 * time.Second)
			cancel()
			time.Sleep(8 * time.Second)
			for _, i := range []int{0, 1, 2, 4} {
				c.start(i)
			}
		}},
		{"heartbeats of half of the machines dropped, commands not, failover", 5, func(c *cluster, cancel func()) {
			time.Sleep(8 * time.Second)
			var noted counter
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if isEveryOtherMachine(from) {
					noted.add("heartbeat")
					return fake.DroppedRequest
				}
				if isEveryOtherMachine(r.URL.Host) {
					noted.add("command")
				}
				return fake.NoFault
			})
			c.restartNodes(c.leader())
			cancel()
			time.Sleep(20 * time.Second)
			if noted.count("heartbeat") == 0 || noted.count("command") == 0 {
				c.t.Errorf("noted %v", noted.counts)
			}
		}},
		{"machines hang with commands on their way, failover", 5, func(c *cluster, cancel func()) {
			time.Sleep(8 * time.Second)
			ran := 0
			for _, w := range c.cloud.Workers() {
				w.Hang(time.Duration(3+len(w.Tasks())) * time.Second)
				ran += len(w.Tasks())
			}
			cancel()
			time.Sleep(time.Second)
			c.restartNodes(c.leader())
			time.Sleep(15 * time.Second)
			if ran == 0 {
				c.t.Error("no task was on the machines that hung")
			}
		}},
		{"all nodes down for longer than a lease", 3, func(c *cluster, cancel func()) {
			time.Sleep(8 * time.Second)
			ran := len(c.cloud.TasksOnMachines())
			for i := range 3 {
				c.kill(i)
			}
			time.Sleep(time.Duration(leaseDurationS+3) * time.Second)
			if on := len(c.cloud.TasksOnMachines()); ran == 0 || on > 0 {
				c.t.Errorf("%d tasks ran, and %d after a lease without nodes", ran, on)
			}
			for i := range 3 {
				c.start(i)
			}
			// One is cancelled as the nodes start, the others once they run again.
			c.cancelJob(cancelledJobs[0], 0)
			for try := 0; c.runningTasks(cancelledJobs[1]) == 0 || c.runningTasks(cancelledJobs[2]) == 0; try++ {
				if try == 300 {
					c.t.Errorf("jobs to be cancelled do not run again: %v", c.cloud.TasksOnMachines())
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			cancel()
			time.Sleep(10 * time.Second)
		}},
		{"ten failovers in two minutes, also during an outage", 5, func(c *cluster, cancel func()) {
			time.Sleep(6 * time.Second)
			first := c.fencingToken()
			for n := range 11 {
				switch n {
				case 4:
					c.state.SetOutage(true)
					cancel()
				case 6:
					c.state.SetOutage(false)
				}
				c.restartNodes(c.leader())
				time.Sleep(9 * time.Second)
			}
			if n := c.fencingToken() - first; n < 9 {
				c.t.Errorf("only %d failovers", n)
			}
		}},
		{"more work than room, urgent and not, with high latency", 3, func(c *cluster, cancel func()) {
			c.cloud.MaxMachines = max(5, len(c.cloud.Workers()))
			time.Sleep(8 * time.Second)
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if from == "user" {
					return fake.NoFault
				}
				return fake.HighLatency
			})
			for n := range 6 {
				job := testJob(fmt.Sprintf("j-10000%d", n), 20)
				job["rank"] = []string{"normal", "urgent", "idle"}[n%3]
				for try := range 40 {
					if code, _ := c.request(http.MethodPost, try%3, "/v1/jobs", job); code == http.StatusCreated || code == http.StatusOK {
						break
					}
					time.Sleep(500 * time.Millisecond)
				}
			}
			time.Sleep(5 * time.Second)
			if on, room := len(c.cloud.TasksOnMachines()), 4*c.cloud.MaxMachines; on < room/2 {
				c.t.Errorf("%d tasks ran where %d have room", on, room)
			}
			cancel()
			c.restartNodes(c.leader())
			time.Sleep(20 * time.Second)
			c.setFault(nil)
			for n := range 6 {
				c.awaitStatus(fmt.Sprintf("j-10000%d", n), wire.JobDone, 3*time.Minute)
			}
			c.cloud.MaxMachines = 0
		}},
		{"transactions delayed, heartbeats duplicated, responses dropped, failovers", 5, func(c *cluster, cancel func()) {
			delayed, duplicated, dropped := every(4, fake.DelayedRequest, isTxn), every(3, fake.DuplicatedRequest, isHeartbeat), every(5, fake.DroppedResponse, isHeartbeat)
			c.setFault(func(from string, r *http.Request) fake.Fault {
				return max(delayed(from, r), duplicated(from, r), dropped(from, r))
			})
			time.Sleep(8 * time.Second)
			cancel()
			for n := range 4 {
				i := c.leader()
				c.restartNodes(i, (i+1+n)%5)
				time.Sleep(7 * time.Second)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { runUnderFault(t, tc.nodes, tc.inject) })
	}
}

// TestDelayedWrites has writes of each kind delayed by 2 to 12 s and their responses dropped, so
// that they are carried out after newer ones, also writes of a leader whose term ended meanwhile.
func TestDelayedWrites(t *testing.T) {
	kinds := []struct{ name, key string }{
		{"jobs: submissions, cancellations and completions", "c/j/"}, {"progress", "c/p/"}, {"launch intents", "c/b/"}, {"machine lists", "c/u/"},
		{"leader key and fencing token", "c/token"}, {"autoscaler record", "c/staffing"}, {"sessions", ""},
	}
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			runUnderFault(t, 3, func(c *cluster, cancel func()) {
				count := 0
				c.setFault(func(from string, r *http.Request) fake.Fault {
					if k.key != "" && r.URL.Path == "/txn" && bodyContains(r, k.key) || k.key == "" && strings.HasPrefix(r.URL.Path, "/holds") {
						if count++; count%3 != 0 {
							return fake.DelayedRequest
						}
					}
					return fake.NoFault
				})
				time.Sleep(10 * time.Second)
				cancel()
				c.restartNodes(c.leader())
				time.Sleep(15 * time.Second)
				c.restartNodes(c.leader())
				time.Sleep(15 * time.Second)
				if count < 3 {
					c.t.Errorf("only %d such writes occurred", count)
				}
			})
		})
	}
}
