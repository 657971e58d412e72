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

// staleHeartbeats are heartbeats that are replayed to a new leader.
var staleHeartbeats = []struct {
	name     string
	want     func(*wire.Heartbeat) bool // the heartbeats that are replayed
	isolated bool                       // the machines are
}{
	{"from before the tasks started, of isolated machines", isWithoutTasks, true},
	{"from before the tasks started, beside newer ones", isWithoutTasks, false},
	{"of an earlier incarnation", isOfFirstIncarnation, false},
	{"of an earlier incarnation, of isolated machines", isOfFirstIncarnation, true},
	{"all, of isolated machines", func(*wire.Heartbeat) bool { return true }, true},
}

func isWithoutTasks(h *wire.Heartbeat) bool { return len(h.Tasks) == 0 }

func isOfFirstIncarnation(h *wire.Heartbeat) bool { return h.Incarnation == 1 }

// TestStaleHeartbeats replays old heartbeats to every node just as a new leader begins, and while
// it leads: of machines that are isolated meanwhile, from before they got the tasks that they now
// run; of earlier incarnations; and in any order.
func TestStaleHeartbeats(t *testing.T) {
	for _, tc := range staleHeartbeats {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 60 }
				stale := c.recordTwoIncarnations(tc.want)
				var isolated map[string]bool
				if tc.isolated {
					isolated = c.machinesOf("j-000001")
				}
				var dropped counter
				c.setFault(isolateMachines(isolated, &dropped))
				ran, answered := c.runningTasks("j-000001"), 0
				i := c.leader()
				c.kill(i)
				for range 60 { // 6 s
					answered += c.replayHeartbeats(stale)
					time.Sleep(100 * time.Millisecond)
				}
				c.setFault(nil)
				// Beside newer ones the stale ones get no response once the newer ones have come.
				if len(stale) == 0 || tc.isolated && answered == 0 || ran != 8 || tc.isolated && dropped.count("dropped") == 0 || c.leader() == i {
					t.Errorf("%d stale heartbeats, %d responses to them, %d tasks ran, %d messages dropped", len(stale), answered, ran, dropped.count("dropped"))
				}
				c.start(i)
				c.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
				c.checkRules()
			})
		})
	}
}

// recordTwoIncarnations runs a job on two incarnations of the machines, and returns the bodies of the
// heartbeats that match.
func (c *cluster) recordTwoIncarnations(match func(*wire.Heartbeat) bool) (bodies [][]byte) {
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
	// All leases expire once, so that there is an earlier incarnation, and the tasks
	// start again on the same machines.
	c.runInNextIncarnation(job, time.Duration(leaseDurationS+3)*time.Second, recordAll)
	return recorder.matching(match)
}

// TestDelayedStartsAtFailover has a failover while starts of the old leader are on their way to
// machines in their second incarnation, which the next leader does not know: it learns of it from a
// response that shows their tasks but does not carry its fencing token. Taken for the state of the
// machine, that response would have the tasks started elsewhere before the starts arrive.
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
				t.Fatalf("submission answered %d", code)
			}
			for i := 0; c.net.DelayedStartResponses() == 0 && i < 500; i++ {
				time.Sleep(20 * time.Millisecond)
			}
			// The state as nodes try to lead is noted before any of them can: the next leader may
			// start the tasks within milliseconds, where machines answer it.
			before := c.fencingToken()
			var noted counter
			c.setFault(c.noteAttemptsToLead(before, &noted, delayStarts))
			c.restartNodes(c.leader())
			c.setFault(c.noteAttemptsToLead(before, &noted, refuseTerminations))
			c.awaitLeaderAfter(before)
			if noted.count("attempt to lead") == 0 || noted.count("no start delayed") > 0 || noted.count("task ran") > 0 {
				t.Errorf("%d responses with starts were delayed; as nodes tried to lead: %v", c.net.DelayedStartResponses(), noted.counts)
			}
			time.Sleep(5 * time.Second)
			c.setFault(nil)
			c.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
			c.checkRules()
		})
	}
}

// delayStarts is the fault that delays the responses to heartbeats that have starts in them.
func delayStarts(from string, r *http.Request) fake.Fault {
	if r.URL.Path == "/hello" {
		return fake.DelayedStarts
	}
	return refuseTerminations(from, r)
}

// noteAttemptsToLead notes, as nodes try to lead after a term, whether starts are on their way and
// whether tasks run already. Messages have another fault.
func (c *cluster) noteAttemptsToLead(token uint64, noted *counter, other fake.FaultFunc) fake.FaultFunc {
	return func(from string, r *http.Request) fake.Fault {
		if r.URL.Path == "/txn" && bodyContains(r, replica.TokenKey) && c.fencingToken() == token {
			noted.add("attempt to lead")
			if c.net.DelayedStartResponses() == 0 {
				noted.add("no start delayed")
			}
			if c.runningTasks("j-000001") > 0 {
				noted.add("task ran")
			}
		}
		return other(from, r)
	}
}

// heartbeatRecorder records the bodies of heartbeats, to be replayed later. It is safe for
// concurrent use.
type heartbeatRecorder struct {
	mu     sync.Mutex
	bodies [][]byte
}

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

// matching returns the recorded bodies of the heartbeats that match.
func (h *heartbeatRecorder) matching(match func(*wire.Heartbeat) bool) (bodies [][]byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.bodies {
		var r wire.Heartbeat
		if wire.Unmarshal(b, &r) == nil && match(&r) {
			bodies = append(bodies, b)
		}
	}
	return bodies
}

// replayHeartbeats sends heartbeats to every node, and counts the responses that a worker would
// accept.
func (c *cluster) replayHeartbeats(bodies [][]byte) (answered int) {
	for _, b := range bodies {
		for node := range c.size {
			resp, err := c.userClient.Post(fmt.Sprintf("http://host-%d:8080/hello", node), wire.ContentType, bytes.NewReader(b))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					answered++
				}
			}
		}
	}
	return answered
}
