package cluster

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/replica"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// staleHeartbeats lists the cases of TestStaleHeartbeats: which earlier heartbeats are replayed to a new leader.
var staleHeartbeats = []struct {
	name     string
	match    func(*wire.Heartbeat) bool // selects the heartbeats that are replayed
	isolated bool                       // whether the machines are isolated during the failover
}{
	{"from before the tasks started, from isolated machines", isWithoutTasks, true},
	{"from before the tasks started, together with newer ones", isWithoutTasks, false},
	{"from an earlier incarnation", isFromFirstIncarnation, false},
	{"from an earlier incarnation, from isolated machines", isFromFirstIncarnation, true},
	{"all, from isolated machines", func(*wire.Heartbeat) bool { return true }, true},
}

// isWithoutTasks reports whether a heartbeat shows no tasks.
func isWithoutTasks(h *wire.Heartbeat) bool { return len(h.Tasks) == 0 }

// isFromFirstIncarnation reports whether a heartbeat is from the first incarnation of its machine.
func isFromFirstIncarnation(h *wire.Heartbeat) bool { return h.Incarnation == 1 }

// TestStaleHeartbeats checks that a new leader is not misled by old heartbeats. They are replayed to every node during
// the failover and while the new leader leads, in any order. They are from before the machines got the tasks that they
// run now, or from earlier incarnations, and in some cases the machines are isolated in the meantime.
func TestStaleHeartbeats(t *testing.T) {
	for _, tc := range staleHeartbeats {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 60 }
				stale := c.recordHeartbeatsOfTwoIncarnations(tc.match)
				var isolated map[string]bool
				if tc.isolated {
					isolated = c.machinesOf("j-000001")
				}
				var dropped counter
				c.setFault(isolateMachines(isolated, &dropped))
				ran, accepted := c.runningTasks("j-000001"), 0
				leader := c.leader()
				c.kill(leader)
				for range 60 { // 6 s
					accepted += c.replayHeartbeats(stale)
					time.Sleep(100 * time.Millisecond)
				}
				c.setFault(nil)
				// Stale heartbeats get no response once newer ones have arrived, so responses are required only if the
				// machines are isolated.
				if len(stale) == 0 || tc.isolated && accepted == 0 || ran != 8 || tc.isolated && dropped.count("dropped") == 0 || c.leader() == leader {
					t.Errorf("%d stale heartbeats (want some), %d tasks ran (want 8), next leader %d (want other than %d), %d responses to stale heartbeats and %d dropped messages (want some of both if the machines are isolated: %v)",
						len(stale), ran, c.leader(), leader, accepted, dropped.count("dropped"), tc.isolated)
				}
				c.start(leader)
				c.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
				c.checkRules()
			})
		})
	}
}

// recordHeartbeatsOfTwoIncarnations runs a job on two incarnations of the machines, and returns the bodies of the
// matching heartbeats.
func (c *cluster) recordHeartbeatsOfTwoIncarnations(match func(*wire.Heartbeat) bool) (bodies [][]byte) {
	var recorder heartbeatRecorder
	recordAll := func(from string, r *http.Request) fake.Fault {
		if machineOf(from) != "" && r.URL.Path == "/hello" {
			recorder.record(r)
		}
		return refuseTerminations(from, r)
	}
	c.setFault(recordAll)
	job := longJob("j-000001", 8)
	c.submitAndAwaitRunning(job)
	time.Sleep(2 * time.Second)
	// All leases expire once, so that there is an earlier incarnation and the tasks start again on the same machines.
	c.runInNextIncarnation(job, time.Duration(leaseDurationS+3)*time.Second, recordAll)
	return recorder.matching(match)
}

// TestDelayedStartsAtFailover checks a failover that happens while the old leader's start commands are in flight to
// machines. In the second case the machines are in their second incarnation, which the next leader does not know. It
// learns of this incarnation from a response that shows the machine's tasks but does not carry the leader's fencing
// token. If the leader treated that response as the current state of the machine, it would start the tasks elsewhere
// before the start commands arrive.
func TestDelayedStartsAtFailover(t *testing.T) {
	for _, incarnations := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			defer c.close()
			c.cloud.RuntimeOf = func(string) float64 { return 120 }
			c.setFault(refuseTerminations)
			base := jobLeavingOneCPUFree(4)
			c.submitAndAwaitRunning(base)
			time.Sleep(2 * time.Second)
			if incarnations == 2 {
				c.runInNextIncarnation(base, time.Duration(leaseDurationS+2)*time.Second, refuseTerminations)
			}
			c.setFault(delayStarts)
			if code, _ := c.submitTo(c.leader(), longJob("j-000001", 3)); code != http.StatusCreated {
				t.Fatalf("submission answered with %d, want 201", code)
			}
			for i := 0; c.net.DelayedStartResponses() == 0 && i < 500; i++ {
				time.Sleep(20 * time.Millisecond)
			}
			// The state is recorded at each attempt to lead, before any node leads. The next leader may start the tasks
			// within milliseconds if machines answer it.
			before := c.fencingToken()
			var events counter
			c.setFault(c.countElectionAttempts(before, &events, delayStarts))
			c.restartNodes(c.leader())
			c.setFault(c.countElectionAttempts(before, &events, refuseTerminations))
			c.awaitLeaderAfter(before)
			if events.count("attempt to lead") == 0 || events.count("no start delayed") > 0 || events.count("task ran") > 0 {
				t.Errorf("%d responses with starts were delayed; counts over the attempts to lead: %v, want at least one attempt, and none without a delayed start or with a running task", c.net.DelayedStartResponses(), events.counts)
			}
			time.Sleep(5 * time.Second)
			c.setFault(nil)
			c.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
			c.checkRules()
		})
	}
}

// delayStarts is a fault function that delays the responses to heartbeats that contain start commands. Like
// refuseTerminations, it rejects terminations.
func delayStarts(from string, r *http.Request) fake.Fault {
	if r.URL.Path == "/hello" {
		return fake.DelayedStarts
	}
	return refuseTerminations(from, r)
}

// countElectionAttempts returns a fault function that counts the nodes' attempts to lead after the term with a fencing
// token. It also counts at how many of these attempts no start was delayed, and at how many a task already ran. The
// fault of each message is chosen by otherFault.
func (c *cluster) countElectionAttempts(token uint64, events *counter, otherFault fake.FaultFunc) fake.FaultFunc {
	return func(from string, r *http.Request) fake.Fault {
		if r.URL.Path == "/txn" && bodyContains(r, replica.TokenKey) && c.fencingToken() == token {
			events.add("attempt to lead")
			if c.net.DelayedStartResponses() == 0 {
				events.add("no start delayed")
			}
			if c.runningTasks("j-000001") > 0 {
				events.add("task ran")
			}
		}
		return otherFault(from, r)
	}
}

// heartbeatRecorder records the bodies of heartbeats for a later replay. It is safe for concurrent use.
type heartbeatRecorder struct {
	mu     sync.Mutex
	bodies [][]byte
}

// record stores the body of a heartbeat; it ignores a request whose body cannot be read.
func (h *heartbeatRecorder) record(r *http.Request) {
	body, err := r.GetBody()
	if err != nil {
		return
	}
	b, err := io.ReadAll(body)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bodies = append(h.bodies, b)
}

// matching returns the recorded bodies of the heartbeats for which match returns true.
func (h *heartbeatRecorder) matching(match func(*wire.Heartbeat) bool) (bodies [][]byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.bodies {
		var heartbeat wire.Heartbeat
		if wire.Unmarshal(b, &heartbeat) == nil && match(&heartbeat) {
			bodies = append(bodies, b)
		}
	}
	return bodies
}

// replayHeartbeats sends heartbeats to every node, and returns the number of responses that a worker would accept.
func (c *cluster) replayHeartbeats(bodies [][]byte) (accepted int) {
	for _, b := range bodies {
		for node := range c.size {
			resp, err := c.userClient.Post(fmt.Sprintf("http://host-%d:8080/hello", node), wire.ContentType, bytes.NewReader(b))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					accepted++
				}
			}
		}
	}
	return accepted
}
