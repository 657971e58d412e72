package caperlatch

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

// Jobs of a meeting of troubles. Their tasks end far apart, so that ends lie on both
// sides of whatever happens; the doomed ones are cancelled in its midst.
var (
	faultJobRuntimes = map[string][]float64{
		"j-000001": {2, 25}, "j-000002": {3, 14, 40}, "j-000003": {8, 50}, "j-000004": {1, 20, 33},
		"j-000005": {4, 4, 4, 4, 4, 4}, // of a team with a limit of four GuaranteedCPUs
		"j-000006": {300, 300}, "j-000007": {300, 2, 300}, "j-000008": {300},
	}
	cancelledJobs = []string{"j-000006", "j-000007", "j-000008"}
)

// runUnderFault has the jobs accepted, users ask every node about them all the time, and a
// trouble happen. In its midst users cancel the doomed ones. Afterwards the others must
// be done, and no rule broken at any moment.
func runUnderFault(t *testing.T, nodes int, trouble func(c *cluster, cancel func())) {
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
			job["expect_s"] = 200.0 // for a fleet with room: a task that may start twice can
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
		ran := 0 // tasks of jobs to be cancelled at a time, once there was trouble
		over, asked := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(asked)
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
		trouble(c, func() {
			go func() {
				defer close(cancelled)
				for _, id := range cancelledJobs {
					done := false
					for try := 0; try < 90 && !done; try++ {
						code, s := c.request(http.MethodPost, try%nodes, "/v1/jobs/"+id+"/abort", nil)
						done = code == http.StatusOK && s.Status == wire.JobCancelled
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
		<-asked
		if ran == 0 {
			t.Error("no task of a job to be cancelled ran in the trouble")
		}
		time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
		c.checkAnswers(ids)
		for _, rule := range c.rules.Violations() {
			t.Error(rule)
		}
	})
}

// checkProgress sees to it, once the troubles are over, that no job waits for 90 s while a
// machine has room for a task of it and its team is under its limit.
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
				c.t.Errorf("%s waits beside a machine with room", id)
			}
		}
	}
}

// hasWaitingTasks tells whether a job has tasks that neither run nor are done, as a node says, though
// its team's limit leaves room for one.
func (c *cluster) hasWaitingTasks(id string, node int) bool {
	on := c.runningTasks(id)
	if id == "j-000005" && on >= 4 {
		return false
	}
	_, s := c.request(http.MethodGet, node, "/v1/jobs/"+id, nil)
	return s.Done != nil && *s.Done+on < len(faultJobRuntimes[id])
}

// bodyContains tells whether a request's body names a key.
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

// TestCombinedFaults has two troubles meet.
func TestCombinedFaults(t *testing.T) {
	isReport := func(r *http.Request) bool { return r.URL.Path == "/hello" }
	isCommand := func(r *http.Request) bool { return r.URL.Path == "/commands" }
	isTxn := func(r *http.Request) bool { return r.URL.Path == "/txn" }
	// half are every other machine.
	half := func(name string) bool {
		return strings.HasPrefix(name, "i-") && (name[8-1]-'0')%2 == 0
	}
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
		name    string
		nodes   int
		trouble func(c *cluster, cancel func())
	}{
		{"ends on both sides of changes of leader, records without an answer", 3, func(c *cluster, cancel func()) {
			c.setFault(every(2, fake.DroppedResponse, isTxn))
			for range 4 {
				time.Sleep(6 * time.Second)
				c.restartNodes(c.leader())
			}
			cancel()
			time.Sleep(5 * time.Second)
		}},
		{"the state service refuses the leader alone, then all for longer than cancel_s", 5, func(c *cluster, cancel func()) {
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
		{"the same, with an outage in which nobody's hold ends", 5, func(c *cluster, cancel func()) {
			time.Sleep(8 * time.Second)
			cancel()
			time.Sleep(time.Second)
			c.state.SetOutage(true)
			time.Sleep(time.Duration(cancellationTimeoutS+10) * time.Second)
			c.state.SetOutage(false)
		}},
		{"the state service is slow and loses answers while users cancel", 3, func(c *cluster, cancel func()) {
			time.Sleep(6 * time.Second)
			c.setFault(every(3, fake.DroppedResponse, isStateRequest))
			cancel()
			time.Sleep(40 * time.Second)
		}},
		{"the state service is slow while users cancel and ask", 3, func(c *cluster, cancel func()) {
			c.setFault(every(1, fake.HighLatency, isStateRequest))
			time.Sleep(12 * time.Second)
			cancel()
			time.Sleep(20 * time.Second)
			c.restartNodes(c.leader())
			time.Sleep(10 * time.Second)
		}},
		{"a leader is cut from state service and peers, not from workers and users", 5, func(c *cluster, cancel func()) {
			time.Sleep(8 * time.Second)
			member := fmt.Sprintf("host-%d", c.leader())
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
		{"a leader ends while half of the machines can't be reached", 5, func(c *cluster, cancel func()) {
			time.Sleep(8 * time.Second)
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if half(from) || half(r.URL.Host) {
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
		{"a leader ends, and half of the machines don't hear the next", 5, func(c *cluster, cancel func()) {
			time.Sleep(8 * time.Second)
			c.setFault(func(from string, r *http.Request) fake.Fault {
				switch {
				case half(from) && isReport(r):
					return fake.DroppedResponse
				case half(r.URL.Host):
					return fake.DroppedRequest
				}
				return fake.NoFault
			})
			c.restartNodes(c.leader())
			cancel()
			time.Sleep(20 * time.Second)
		}},
		{"old reports after newer ones, across changes of leader", 5, func(c *cluster, cancel func()) {
			c.setFault(every(1, fake.DuplicatedRequest, isReport))
			time.Sleep(8 * time.Second)
			cancel()
			for range 3 {
				c.restartNodes(c.leader())
				time.Sleep(9 * time.Second)
			}
		}},
		{"copies of old reports are all that the next leader hears of half of the machines", 5, func(c *cluster, cancel func()) {
			c.setFault(every(1, fake.DuplicatedRequest, isReport))
			time.Sleep(7 * time.Second)
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if half(from) || half(r.URL.Host) || r.URL.Host == "cloud" {
					return fake.DroppedRequest
				}
				return fake.NoFault
			})
			c.restartNodes(c.leader())
			time.Sleep(20 * time.Second)
			cancel()
		}},
		{"reports late and answers lost", 3, func(c *cluster, cancel func()) {
			c.setFault(every(3, fake.DelayedRequest, isReport))
			time.Sleep(10 * time.Second)
			cancel()
			c.restartNodes(c.leader())
			time.Sleep(20 * time.Second)
		}},
		{"commands are held up, and so are their answers", 5, func(c *cluster, cancel func()) {
			c.setFault(every(1, fake.DelayedRequest, isCommand))
			time.Sleep(8 * time.Second)
			cancel()
			c.restartNodes(c.leader())
			time.Sleep(4 * time.Second)
			c.setFault(every(1, fake.DroppedResponse, isCommand))
			c.restartNodes(c.leader())
			time.Sleep(15 * time.Second)
		}},
		{"rentals and returns are carried out late", 3, func(c *cluster, cancel func()) {
			c.setFault(every(2, fake.DelayedRequest, func(r *http.Request) bool { return r.URL.Host == "cloud" && r.Method == http.MethodPost }))
			time.Sleep(12 * time.Second)
			cancel()
			c.restartNodes(c.leader())
			time.Sleep(30 * time.Second)
		}},
		{"handing over and back, all end, one returns within a second", 5, func(c *cluster, cancel func()) {
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
		{"half of the machines reach no node, while commands reach them", 5, func(c *cluster, cancel func()) {
			time.Sleep(8 * time.Second)
			var mute counter
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if half(from) {
					mute.add("report")
					return fake.DroppedRequest
				}
				if half(r.URL.Host) {
					mute.add("command")
				}
				return fake.NoFault
			})
			c.restartNodes(c.leader())
			cancel()
			time.Sleep(20 * time.Second)
			if mute.count("report") == 0 || mute.count("command") == 0 {
				c.t.Errorf("met %v", mute.counts)
			}
		}},
		{"machines hang with commands on their way, and the leader changes", 5, func(c *cluster, cancel func()) {
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
				c.t.Error("nothing ran on the machines that hung")
			}
		}},
		{"all nodes are away for longer than lease_s", 3, func(c *cluster, cancel func()) {
			time.Sleep(8 * time.Second)
			ran := len(c.cloud.TasksOnMachines())
			for i := range 3 {
				c.kill(i)
			}
			time.Sleep(time.Duration(leaseDurationS+3) * time.Second)
			if on := len(c.cloud.TasksOnMachines()); ran == 0 || on > 0 {
				c.t.Errorf("%d tasks ran, and %d after lease_s without nodes", ran, on)
			}
			for i := range 3 {
				c.start(i)
			}
			// One is cancelled as the nodes return, the others once they run anew.
			c.cancelJob(cancelledJobs[0], 0)
			for try := 0; c.runningTasks(cancelledJobs[1]) == 0 || c.runningTasks(cancelledJobs[2]) == 0; try++ {
				if try == 300 {
					c.t.Errorf("jobs to be cancelled do not run anew: %v", c.cloud.TasksOnMachines())
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			cancel()
			time.Sleep(10 * time.Second)
		}},
		{"leaders change ten times in two minutes, also inside an outage", 5, func(c *cluster, cancel func()) {
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
				c.t.Errorf("only %d changes", n)
			}
		}},
		{"more work than room, urgent and not, over slow links", 3, func(c *cluster, cancel func()) {
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
		{"all of it", 5, func(c *cluster, cancel func()) {
			late, copied, lost := every(4, fake.DelayedRequest, isTxn), every(3, fake.DuplicatedRequest, isReport), every(5, fake.DroppedResponse, isReport)
			c.setFault(func(from string, r *http.Request) fake.Fault {
				return max(late(from, r), copied(from, r), lost(from, r))
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
		t.Run(tc.name, func(t *testing.T) { runUnderFault(t, tc.nodes, tc.trouble) })
	}
}

// TestDelayedWrites has each kind of write get no answer and be carried out 2 to 12 s
// later, after newer ones, also of a leader that ended meanwhile.
func TestDelayedWrites(t *testing.T) {
	kinds := []struct{ name, key string }{
		{"jobs: intake, cancellations and ends", "c/j/"}, {"progress", "c/p/"}, {"bookings", "c/b/"}, {"lists of machines", "c/u/"},
		{"the leader key and the token", "c/token"}, {"the staffing record", "c/staffing"}, {"holds", ""},
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
					c.t.Errorf("only %d such writes were seen", count)
				}
			})
		})
	}
}
