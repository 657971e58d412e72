package cluster

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

// The gangs of these tests. One waits for a machine that hangs as the faults begin, one runs, one
// is being stopped for an interruption notice, and one is cancelled during the faults.
const (
	waitingGang   = "j-000001"
	runningGang   = "j-000002"
	stoppingGang  = "j-000003"
	cancelledGang = "j-000004"
)

var faultGangs = []string{waitingGang, runningGang, stoppingGang, cancelledGang}

// gangCombinedFaultCase is a combination of faults that affects gangs.
type gangCombinedFaultCase struct {
	name      string
	nodes     int
	inject    func(c *cluster, noted *counter)
	wantNoted []string // what inject must have noted, to show that the faults coincided
}

// prepare brings the gangs into their states: all but the first run, the first waits for a machine
// that hangs, and a machine of the third has an interruption notice.
func (m *gangCombinedFaultCase) prepare(c *cluster) {
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

// run injects the faults, under the checker of the rules. All gangs but the cancelled one must
// complete, and nothing may be left on machines.
func (m *gangCombinedFaultCase) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOf(t, m.nodes)
		defer c.close()
		c.cloud.RuntimeOf = func(string) float64 { return 90 }
		m.prepare(c)
		if n := c.taskStateCounts(waitingGang)[wire.TaskWaitingForGang]; n == 0 {
			t.Error("no gang waits")
		}
		var noted counter
		go c.cancelDuringFaults(cancelledGang)
		m.inject(c, &noted)
		c.setFault(nil)
		c.healPeers()
		for _, what := range m.wantNoted {
			if noted.count(what) == 0 {
				t.Errorf("no %s; noted %v", what, noted.counts)
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

// cancelDuringFaults repeats a cancellation until it is confirmed.
func (c *cluster) cancelDuringFaults(id string) {
	for try := range 200 {
		if code, _ := c.request(http.MethodPost, try%c.size, "/v1/jobs/"+id+"/abort", nil); code == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Errorf("%s could not be cancelled", id)
}

// awaitCheckpointing waits until tasks of a gang checkpoint, and notes that they do.
func (c *cluster) awaitCheckpointing(id string, noted *counter) {
	for i := 0; i < 100 && noted.count("gang being stopped") == 0; i++ {
		if c.taskStateCounts(id)[wire.TaskCheckpointing] > 0 {
			noted.add("gang being stopped")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestGangCombinedFaults has nodes fail and restart, and messages delayed, while gangs wait, run,
// are being stopped and are cancelled.
func TestGangCombinedFaults(t *testing.T) {
	cases := []gangCombinedFaultCase{
		{"the leader restarts within a fraction of a second, twice", 5, func(c *cluster, noted *counter) {
			for range 2 {
				before := c.fencingToken()
				c.restartNodes(c.leader())
				c.awaitLeaderAfter(before)
				noted.add("change of leader")
				c.awaitCheckpointing(stoppingGang, noted)
			}
		}, []string{"change of leader", "gang being stopped"}},
		{"the next leader restarts before it knows the machines", 5, func(c *cluster, noted *counter) {
			c.awaitCheckpointing(stoppingGang, noted)
			for range 4 {
				before := c.fencingToken()
				led := c.leader()
				c.kill(led)
				// The next one ends as soon as it holds the leader key, before it knows the
				// machines.
				c.awaitLeaderAfter(before)
				next := c.leader()
				noted.add("election interrupted")
				c.restartNodes(next)
				c.start(led)
				time.Sleep(700 * time.Millisecond)
			}
		}, []string{"election interrupted", "gang being stopped"}},
		{"all nodes restart within a fraction of a second, one after the other", 3, func(c *cluster, noted *counter) {
			for n := range 9 {
				c.restartNodes(n % 3)
				time.Sleep(400 * time.Millisecond)
				if len(c.cloud.TasksOnMachines()) > 0 {
					noted.add("restart beside running tasks")
				}
			}
		}, []string{"restart beside running tasks"}},
		{"the state service is unavailable to the leader alone while a gang is being stopped", 5, func(c *cluster, noted *counter) {
			c.awaitCheckpointing(stoppingGang, noted)
			first, before := c.leader(), c.fencingToken()
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if isFromNode(from, first) && isStateRequest(r) {
					noted.add("unavailable")
					return fake.ServiceUnavailable
				}
				return fake.NoFault
			})
			c.awaitLeaderAfter(before)
			noted.add("change of leader")
			time.Sleep(5 * time.Second)
		}, []string{"gang being stopped", "unavailable", "change of leader"}},
		{"the state service is unavailable to the leader alone, and its commands are delayed", 5, func(c *cluster, noted *counter) {
			first := c.leader()
			c.setFault(func(from string, r *http.Request) fake.Fault {
				switch {
				case isFromNode(from, first) && isStateRequest(r):
					noted.add("unavailable")
					return fake.ServiceUnavailable
				case isFromNode(from, first) && r.URL.Path == "/commands":
					noted.add("command delayed")
					return fake.DelayedRequest
				}
				return fake.NoFault
			})
			time.Sleep(12 * time.Second)
		}, []string{"unavailable", "command delayed"}},
		{"duplicates of heartbeats arrive up to two leases late, across failovers", 5, func(c *cluster, noted *counter) {
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if isHeartbeat(r) {
					noted.add("duplicate")
					return fake.DuplicatedRequest
				}
				return fake.NoFault
			})
			for range 4 {
				c.awaitCheckpointing(stoppingGang, noted)
				c.restartNodes(c.leader())
				time.Sleep(time.Duration(leaseDurationS) * time.Second)
			}
		}, []string{"duplicate", "gang being stopped"}},
		{"heartbeats are delayed until the next leader leads, and the one after it", 5, func(c *cluster, noted *counter) {
			c.awaitCheckpointing(stoppingGang, noted)
			for range 3 {
				c.setFault(func(from string, r *http.Request) fake.Fault {
					if isHeartbeat(r) && machineOf(from) != "" {
						noted.add("heartbeat delayed")
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
		}, []string{"gang being stopped", "heartbeat delayed"}},
		{"the next leader gets stale heartbeats of every attempt", 5, func(c *cluster, noted *counter) {
			var recorder heartbeatRecorder
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if machineOf(from) != "" && isHeartbeat(r) {
					recorder.record(r)
				}
				return fake.NoFault
			})
			c.awaitCheckpointing(stoppingGang, noted)
			stale := recorder.matching(func(r *wire.Heartbeat) bool { return attemptsOf(r, stoppingGang) > 0 })
			c.awaitTaskStates(stoppingGang, map[string]int{wire.TaskRunning: 3}) // the next attempt
			for range 3 {
				before := c.fencingToken()
				c.restartNodes(c.leader())
				c.awaitLeaderAfter(before)
				for range 10 {
					c.replayHeartbeats(stale)
					time.Sleep(100 * time.Millisecond)
				}
				if len(stale) > 0 && len(c.taskStateCounts(stoppingGang)) > 0 {
					noted.add("stale heartbeats beside a later attempt")
				}
				time.Sleep(time.Duration(leaseDurationS) * time.Second)
			}
		}, []string{"gang being stopped", "stale heartbeats beside a later attempt"}},
		{"the next leader gets only stale heartbeats of a gang's machines", 5, func(c *cluster, noted *counter) {
			var recorder heartbeatRecorder
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if machineOf(from) != "" && isHeartbeat(r) {
					recorder.record(r)
				}
				return fake.NoFault
			})
			c.awaitCheckpointing(stoppingGang, noted)
			for i := 0; c.taskStateCounts(stoppingGang)[wire.TaskCheckpointing] > 0 && i < 100; i++ {
				time.Sleep(50 * time.Millisecond)
			}
			// From before and between its attempts; some show the first, some none.
			stale := recorder.matching(func(*wire.Heartbeat) bool { return true })
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
				if c.replayHeartbeats(stale) > 0 && c.taskStateCounts(stoppingGang)[wire.TaskRunning] == 3 {
					noted.add("stale heartbeat answered beside a later attempt")
				}
				time.Sleep(100 * time.Millisecond)
			}
		}, []string{"gang being stopped", "stale heartbeat answered beside a later attempt"}},
		// The progress of a gang that is stored is its completion alone.
		{"transactions that store completions of gangs are delayed, across failovers", 3, func(c *cluster, noted *counter) {
			c.state.SetTxnFault(func(x fake.Transaction) fake.TxnFault {
				if storesCompletion(&x) && noted.count("delayed completion") < 3 {
					noted.add("delayed completion")
					return fake.TxnDelayed
				}
				return fake.TxnCommitted
			})
			for i := 0; noted.count("delayed completion") == 0 && i < 1500; i++ {
				time.Sleep(100 * time.Millisecond)
			}
			c.restartNodes(c.leader())
			time.Sleep(8 * time.Second)
			c.restartNodes(c.leader())
			c.state.SetTxnFault(nil)
		}, []string{"delayed completion"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, tc.run)
	}
}

// storesCompletion reports whether a transaction is a leader's that stores the final status of a
// job.
func storesCompletion(x *fake.Transaction) bool {
	byLeader := slices.ContainsFunc(x.Compares, func(k wire.Compare) bool { return k.Key == replica.LeaderKey && k.ModRevision != 0 })
	return byLeader && slices.ContainsFunc(x.Keys, func(key string) bool { return strings.HasPrefix(key, replica.JobPrefix) })
}

// attemptsOf counts the attempts of a job that a heartbeat shows.
func attemptsOf(r *wire.Heartbeat, id string) int {
	numbers := map[uint64]bool{}
	for _, x := range r.Tasks {
		if strings.HasPrefix(x.TaskID, id+"/") {
			numbers[x.Attempt] = true
		}
	}
	return len(slices.Collect(maps.Keys(numbers)))
}
