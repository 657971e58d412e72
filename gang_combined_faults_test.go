package caperlatch

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/replica"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// The gangs of a meeting. One waits for a machine that hangs as the trouble begins, one
// runs, one is being stopped for a notice, and one is cancelled in the midst of it.
const (
	waitingGang   = "j-000001"
	runningGang   = "j-000002"
	stoppingGang  = "j-000003"
	cancelledGang = "j-000004"
)

var faultGangs = []string{waitingGang, runningGang, stoppingGang, cancelledGang}

// taskStateCounts counts the tasks of a job by their states.
func (c *cluster) taskStateCounts(id string) map[string]int {
	have := map[string]int{}
	for task, state := range c.cloud.TaskStates() {
		if strings.HasPrefix(task, id+"/") {
			have[state]++
		}
	}
	return have
}

// gangFaultCase is a trouble that gangs meet. Met tells, after it, whether it came about.
type gangFaultCase struct {
	name      string
	nodes     int
	inject    func(c *cluster, met *counter)
	wantNoted []string // what the trouble must have noted
}

// prepare brings the gangs into their states: all but the first run, the first waits for a
// machine that hangs, and a machine of the third is to be taken.
func (m *gangFaultCase) prepare(c *cluster) {
	for _, id := range faultGangs[1:] {
		c.submitJob(gangJob(id, 3, 3, nil))
	}
	for _, id := range faultGangs[1:] {
		c.awaitTaskStates(id, map[string]int{wire.TaskRunning: 3})
	}
	c.cloud.ImagePullS = 3
	c.submitJob(gangJob(waitingGang, 3, 3, map[string]any{"bundle": "img-2"}))
	c.awaitTaskStates(waitingGang, map[string]int{wire.TaskPullingImage: 3})
	c.cloud.WorkersOf(waitingGang)[1].Hang(8 * time.Second)
	c.awaitTaskStates(waitingGang, map[string]int{wire.TaskWaitingForGang: 2, wire.TaskPullingImage: 1})
	c.cloud.WorkersOf(stoppingGang)[2].Interrupt(12 * time.Second)
}

// run has the gangs meet the trouble, under the checker of rules. Those that nobody
// cancelled must be done in the end, and nothing be left on machines.
func (m *gangFaultCase) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOf(t, m.nodes)
		defer c.close()
		c.cloud.RuntimeOf = func(string) float64 { return 90 }
		m.prepare(c)
		if n := c.taskStateCounts(waitingGang)[wire.TaskWaitingForGang]; n == 0 {
			t.Error("no gang waits")
		}
		var met counter
		go c.cancelDuringFaults(cancelledGang)
		m.inject(c, &met)
		c.setFault(nil)
		c.healPeers()
		for _, what := range m.wantNoted {
			if met.count(what) == 0 {
				t.Errorf("no %s; met %v", what, met.counts)
			}
		}
		for _, id := range faultGangs[:3] {
			c.awaitStatus(id, wire.JobDone, 4*time.Minute)
		}
		c.awaitStatus(cancelledGang, wire.JobCancelled, time.Minute)
		time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
		if left := c.cloud.TasksOnMachines(); len(left) > 0 {
			t.Errorf("still on machines: %v", left)
		}
		c.checkRules()
	})
}

// cancelDuringFaults repeats a cancellation while something else goes on.
func (c *cluster) cancelDuringFaults(id string) {
	for try := range 200 {
		if code, _ := c.request(http.MethodPost, try%c.size, "/v1/jobs/"+id+"/abort", nil); code == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Errorf("%s could not be cancelled", id)
}

// awaitCheckpointing waits until a gang's tasks save, and notes it.
func (c *cluster) awaitCheckpointing(id string, met *counter) {
	for i := 0; i < 100 && met.count("gang being stopped") == 0; i++ {
		if c.taskStateCounts(id)[wire.TaskCheckpointing] > 0 {
			met.add("gang being stopped")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestGangCombinedFaults has controllers come and go, and messages come late, while gangs wait,
// run, are being stopped and are cancelled.
func TestGangCombinedFaults(t *testing.T) {
	isReport := func(r *http.Request) bool { return r.URL.Path == "/hello" }
	cases := []gangFaultCase{
		{"the leader is back within a fraction of a second, twice", 5, func(c *cluster, met *counter) {
			for range 2 {
				before := c.fencingToken()
				c.restartNodes(c.leader())
				c.awaitLeaderAfter(before)
				met.add("change of leader")
				c.awaitCheckpointing(stoppingGang, met)
			}
		}, []string{"change of leader", "gang being stopped"}},
		{"the next leader is back mid-election as well", 5, func(c *cluster, met *counter) {
			c.awaitCheckpointing(stoppingGang, met)
			for range 4 {
				before := c.fencingToken()
				led := c.leader()
				c.kill(led)
				// The next one ends as soon as it holds the key, before it knows the machines.
				c.awaitLeaderAfter(before)
				next := c.leader()
				met.add("election broken off")
				c.restartNodes(next)
				c.start(led)
				time.Sleep(700 * time.Millisecond)
			}
		}, []string{"election broken off", "gang being stopped"}},
		{"all are back within a fraction of a second, one after the other", 3, func(c *cluster, met *counter) {
			for n := range 9 {
				c.restartNodes(n % 3)
				time.Sleep(400 * time.Millisecond)
				if len(c.cloud.TasksOnMachines()) > 0 {
					met.add("return beside running tasks")
				}
			}
		}, []string{"return beside running tasks"}},
		{"the state service refuses the leader alone while a gang is being stopped", 5, func(c *cluster, met *counter) {
			c.awaitCheckpointing(stoppingGang, met)
			first, before := c.leader(), c.fencingToken()
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if isFromNode(from, first) && isStateRequest(r) {
					met.add("refusal")
					return fake.ServiceUnavailable
				}
				return fake.NoFault
			})
			c.awaitLeaderAfter(before)
			met.add("change of leader")
			time.Sleep(5 * time.Second)
		}, []string{"gang being stopped", "refusal", "change of leader"}},
		{"it refuses the leader alone from before the stop, and stops reach no machine at first", 5, func(c *cluster, met *counter) {
			first := c.leader()
			c.setFault(func(from string, r *http.Request) fake.Fault {
				switch {
				case isFromNode(from, first) && isStateRequest(r):
					met.add("refusal")
					return fake.ServiceUnavailable
				case isFromNode(from, first) && r.URL.Path == "/commands":
					met.add("stop held up")
					return fake.DelayedRequest
				}
				return fake.NoFault
			})
			time.Sleep(12 * time.Second)
		}, []string{"refusal", "stop held up"}},
		{"copies of reports come up to two leases late, as leaders change", 5, func(c *cluster, met *counter) {
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if isReport(r) {
					met.add("copy")
					return fake.DuplicatedRequest
				}
				return fake.NoFault
			})
			for range 4 {
				c.awaitCheckpointing(stoppingGang, met)
				c.restartNodes(c.leader())
				time.Sleep(time.Duration(leaseDurationS) * time.Second)
			}
		}, []string{"copy", "gang being stopped"}},
		{"reports are held for the next leader, and the one after it", 5, func(c *cluster, met *counter) {
			c.awaitCheckpointing(stoppingGang, met)
			for range 3 {
				c.setFault(func(from string, r *http.Request) fake.Fault {
					if isReport(r) && machineOf(from) != "" {
						met.add("report held")
						return fake.DelayedRequest
					}
					return fake.NoFault
				})
				time.Sleep(1500 * time.Millisecond)
				before := c.fencingToken()
				c.restartNodes(c.leader())
				c.awaitLeaderAfter(before)
				c.setFault(nil)
				time.Sleep(5 * time.Second)
			}
		}, []string{"gang being stopped", "report held"}},
		{"the next leader gets old reports of every attempt", 5, func(c *cluster, met *counter) {
			var held heartbeatRecorder
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if machineOf(from) != "" && isReport(r) {
					held.record(r)
				}
				return fake.NoFault
			})
			c.awaitCheckpointing(stoppingGang, met)
			old := held.matching(func(r *wire.Heartbeat) bool { return attemptsOf(r, stoppingGang) > 0 })
			c.awaitTaskStates(stoppingGang, map[string]int{wire.TaskRunning: 3}) // the next attempt
			for range 3 {
				before := c.fencingToken()
				c.restartNodes(c.leader())
				c.awaitLeaderAfter(before)
				for range 10 {
					c.replayHeartbeats(old)
					time.Sleep(100 * time.Millisecond)
				}
				if len(old) > 0 && len(c.taskStateCounts(stoppingGang)) > 0 {
					met.add("old reports beside a later attempt")
				}
				time.Sleep(time.Duration(leaseDurationS) * time.Second)
			}
		}, []string{"gang being stopped", "old reports beside a later attempt"}},
		{"old reports are all that the next leader hears of a gang's machines", 5, func(c *cluster, met *counter) {
			var held heartbeatRecorder
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if machineOf(from) != "" && isReport(r) {
					held.record(r)
				}
				return fake.NoFault
			})
			c.awaitCheckpointing(stoppingGang, met)
			for i := 0; c.taskStateCounts(stoppingGang)[wire.TaskCheckpointing] > 0 && i < 100; i++ {
				time.Sleep(50 * time.Millisecond)
			}
			// Before and between its attempts; some show the first, some none.
			old := held.matching(func(*wire.Heartbeat) bool { return true })
			c.awaitTaskStates(stoppingGang, map[string]int{wire.TaskRunning: 3}) // the next attempt
			ids := map[string]bool{}
			for _, w := range c.cloud.WorkersOf(stoppingGang) {
				ids[w.ID] = true
			}
			var dropped counter
			before := c.fencingToken()
			c.setFault(isolateMachines(ids, &dropped))
			c.restartNodes(c.leader())
			c.awaitLeaderAfter(before)
			for range 50 {
				if c.replayHeartbeats(old) > 0 && c.taskStateCounts(stoppingGang)[wire.TaskRunning] == 3 {
					met.add("old report answered beside a later attempt")
				}
				time.Sleep(100 * time.Millisecond)
			}
		}, []string{"gang being stopped", "old report answered beside a later attempt"}},
		// A gang's progress is its end: both are known at the same moment, and the end alone
		// is stored.
		{"the ends of gangs are stored late, as leaders change", 3, func(c *cluster, met *counter) {
			c.state.SetTxnFault(func(x fake.Transaction) fake.TxnFault {
				if storesCompletion(&x) && met.count("late end") < 3 {
					met.add("late end")
					return fake.TxnDelayed
				}
				return fake.TxnCommitted
			})
			for i := 0; met.count("late end") == 0 && i < 1500; i++ {
				time.Sleep(100 * time.Millisecond)
			}
			c.restartNodes(c.leader())
			time.Sleep(8 * time.Second)
			c.restartNodes(c.leader())
			c.state.SetTxnFault(nil)
		}, []string{"late end"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, tc.run)
	}
}

// storesCompletion tells whether a transaction is a leader's that stores the end of a job.
func storesCompletion(x *fake.Transaction) bool {
	byLeader := slices.ContainsFunc(x.Compares, func(k wire.Compare) bool { return k.Key == replica.LeaderKey && k.ModRevision != 0 })
	return byLeader && slices.ContainsFunc(x.Keys, func(key string) bool { return strings.HasPrefix(key, replica.JobPrefix) })
}

// attemptsOf counts the attempts of a job that a report shows.
func attemptsOf(r *wire.Heartbeat, id string) int {
	numbers := map[uint64]bool{}
	for _, x := range r.Tasks {
		if strings.HasPrefix(x.TaskID, id+"/") {
			numbers[x.Attempt] = true
		}
	}
	return len(slices.Collect(maps.Keys(numbers)))
}
