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
	"caperlatch/internal/settings"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// TestCancellationDuringFailover has jobs cancelled in the seconds of a failover, at every stage of
// it; no task of them starts once its user was told, but for starts that were on their way.
func TestCancellationDuringFailover(t *testing.T) {
	cases := []struct {
		name string
		end  func(c *cluster) // ends the term of the leader
		// Of a handover, which needs the standby and takes less time than the other ways.
		standby *settings.Standby
		pause   time.Duration
	}{
		{name: "handover", end: func(c *cluster) { c.handover() }, standby: testStandby(), pause: 1500 * time.Millisecond},
		{name: "crash", end: func(c *cluster) { c.kill(c.leader()) }},
		{name: "restart", end: func(c *cluster) { c.restartNodes(c.leader()) }},
		{name: "state service unavailable to the leader", end: func(c *cluster) {
			i := c.leader()
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if isFromNode(from, i) && isStateRequest(r) {
					return fake.ServiceUnavailable
				}
				return fake.NoFault
			})
		}},
		{name: "state service unavailable to the leader, peers partitioned", end: func(c *cluster) {
			i := c.leader()
			host := memberName(i)
			c.pipes.SetPartition(func(from, to string) bool { return from == host || to == host })
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if isFromNode(from, i) && isStateRequest(r) {
					return fake.ServiceUnavailable
				}
				return fake.NoFault
			})
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newStandbyCluster(t, 5, noTuning, tc.standby)
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 300 }
				const jobs = 12
				var ids []string
				for n := range jobs {
					ids = append(ids, fmt.Sprintf("j-%06d", n+1))
				}
				for i, id := range ids {
					job := testJob(id, 2)
					job["expect_s"] = 200.0
					if i%2 == 0 {
						c.runJob(job)
					} else { // it is being started as the term ends
						time.AfterFunc(time.Duration(i)*200*time.Millisecond, func() { c.submit(id, 2) })
					}
				}
				led, token := c.leader(), c.fencingToken()
				time.AfterFunc(400*time.Millisecond+tc.pause, func() { tc.end(c) })
				before, after := 0, 0 // the next leader led, by number of cancellations
				for i, id := range ids {
					time.Sleep(150 * time.Millisecond)
					if i%2 == 1 {
						time.Sleep(400 * time.Millisecond)
					}
					if code, _ := c.request(http.MethodGet, (led+1)%5, "/v1/jobs/"+id, nil); code != http.StatusOK {
						continue // not accepted yet
					}
					c.cancelJob(id, (led+1+i)%5)
					if c.fencingToken() == token {
						before++
					} else {
						after++
					}
				}
				time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
				c.setFault(nil)
				c.healPeers()
				for _, id := range ids {
					c.submit(id, 2)
					c.cancelJob(id, 0)
				}
				time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
				if on := c.cloud.TasksOnMachines(); len(on) > 0 {
					t.Errorf("still on machines: %v", on)
				}
				if before < 2 || after < 2 {
					t.Errorf("%d jobs were cancelled before the next leader led, %d after", before, after)
				}
				// Starts that were on their way as their user was told are admitted; here there
				// were none.
				if n := c.rules.StartsAfterCancel(); n > 0 {
					t.Errorf("%d starts after a cancellation", n)
				}
				c.checkRules()
			})
		})
	}
}

// TestFailoverWithDelayedMachineWrites has machines that are up at once get work while the writes
// that name them are delayed or lost, and then a failover. The machines that have work then are
// isolated from the next leader: it must know of them all the same, or it starts their tasks
// elsewhere.
func TestFailoverWithDelayedMachineWrites(t *testing.T) {
	cases := []struct {
		name  string
		key   string
		fault fake.Fault
	}{
		{"machine lists delayed", "c/u/", fake.DelayedRequest},
		{"launch intents delayed", "c/b/", fake.DelayedRequest},
		{"machine lists rejected", "c/u/", fake.ServiceUnavailable},
		{"launch intents dropped", "c/b/", fake.DroppedRequest},
		{"responses to machine lists dropped", "c/u/", fake.DroppedResponse},
	}
	for _, tc := range cases {
		for _, after := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 5 * time.Second, 10 * time.Second} {
			t.Run(fmt.Sprintf("%s, failover %v later", tc.name, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(t)
					defer c.close()
					c.cloud.RuntimeOf = func(string) float64 { return 60 }
					c.submit("j-000009", 1) // so that the instance types are known
					time.Sleep(3 * time.Second)
					var noted counter
					isAffected := func(r *http.Request) bool {
						// The first write of each launch intent passes, or nothing is launched.
						return r.URL.Path == "/txn" && bodyContains(r, tc.key) && (tc.key != "c/b/" || bodyContains(r, "i-0"))
					}
					c.setFault(func(_ string, r *http.Request) fake.Fault {
						if isAffected(r) {
							noted.add("fault")
							return tc.fault
						}
						return fake.NoFault
					})
					job := testJob("j-000001", 12)
					job["expect_s"] = 200.0
					for try := range 40 {
						if c.accept(try%3, job) {
							break
						}
						time.Sleep(100 * time.Millisecond)
					}
					for i := 0; noted.count("fault") == 0; i++ {
						if i == 200 {
							t.Fatal("no such write occurred")
						}
						time.Sleep(50 * time.Millisecond)
					}
					time.Sleep(after)
					ids := map[string]bool{}
					for _, w := range c.cloud.WorkersOf("j-000001") {
						ids[w.ID] = true
					}
					var dropped counter
					isolated := isolateMachines(ids, &dropped)
					c.setFault(func(from string, r *http.Request) fake.Fault {
						if isAffected(r) {
							return tc.fault
						}
						return isolated(from, r)
					})
					before, ran := c.fencingToken(), c.runningTasks("j-000001")
					c.restartNodes(c.leader())
					c.awaitLeaderAfter(before)
					time.Sleep(2 * time.Second)
					c.setFault(isolated)
					time.Sleep(1500 * time.Millisecond)
					if on := c.runningTasks("j-000001"); on < ran {
						t.Errorf("%d of %d tasks still run", on, ran)
					}
					c.setFault(nil)
					c.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
					c.checkRules()
				})
			})
		}
	}
}

// TestStaleHeartbeats replays old heartbeats to every node just as a new leader begins, and while
// it leads: of machines that are isolated meanwhile, from before they got the tasks that they now
// run; of earlier incarnations; and in any order.
func TestStaleHeartbeats(t *testing.T) {
	cases := []struct {
		name     string
		want     func(*wire.Heartbeat) bool // heartbeats that are replayed
		isolated bool                       // the machines are
	}{
		{"from before the tasks started, of isolated machines", func(r *wire.Heartbeat) bool { return len(r.Tasks) == 0 }, true},
		{"from before the tasks started, beside newer ones", func(r *wire.Heartbeat) bool { return len(r.Tasks) == 0 }, false},
		{"of an earlier incarnation", func(r *wire.Heartbeat) bool { return r.Incarnation == 1 }, false},
		{"of an earlier incarnation, of isolated machines", func(r *wire.Heartbeat) bool { return r.Incarnation == 1 }, true},
		{"all, of isolated machines", func(*wire.Heartbeat) bool { return true }, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 60 }
				var recorder heartbeatRecorder
				recordAll := func(from string, r *http.Request) fake.Fault {
					if machineOf(from) != "" && r.URL.Path == "/hello" {
						recorder.record(r)
					}
					if r.URL.Path == "/hosts/return" {
						return fake.ServiceUnavailable
					}
					return fake.NoFault
				}
				c.setFault(recordAll)
				job := testJob("j-000001", 8)
				job["expect_s"] = 200.0
				c.runJob(job)
				time.Sleep(2 * time.Second)
				// All leases expire once, so that there is an earlier incarnation, and the tasks
				// start again on the same machines.
				c.runInNextIncarnation(job, time.Duration(leaseDurationS+3)*time.Second, recordAll)
				stale := recorder.matching(tc.want)
				ids := map[string]bool{}
				for _, w := range c.cloud.WorkersOf("j-000001") {
					ids[w.ID] = tc.isolated
				}
				var dropped counter
				c.setFault(isolateMachines(ids, &dropped))
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
			noTerminations := func(_ string, r *http.Request) fake.Fault {
				if r.URL.Path == "/hosts/return" {
					return fake.ServiceUnavailable
				}
				return fake.NoFault
			}
			c.setFault(noTerminations)
			base := testJob("j-000009", 4) // leaves one CPU of each machine free
			base["vcpus"], base["expect_s"] = 3.0, 200.0
			c.runJob(base)
			time.Sleep(2 * time.Second)
			if incarnations == 2 {
				c.runInNextIncarnation(base, time.Duration(leaseDurationS+2)*time.Second, noTerminations)
			}
			delayStarts := func(from string, r *http.Request) fake.Fault {
				if r.URL.Path == "/hello" {
					return fake.DelayedStarts
				}
				return noTerminations(from, r)
			}
			c.setFault(delayStarts)
			job := testJob("j-000001", 3)
			job["expect_s"] = 200.0
			if code, _ := c.request(http.MethodPost, c.leader(), "/v1/jobs", job); code != http.StatusCreated {
				t.Fatalf("submission answered %d", code)
			}
			for i := 0; c.net.DelayedStartResponses() == 0 && i < 500; i++ {
				time.Sleep(20 * time.Millisecond)
			}
			// The state as nodes try to lead is noted before any of them can: the next leader may
			// start the tasks within milliseconds, where machines answer it.
			before := c.fencingToken()
			var noted counter
			notingStarts := func(other func(string, *http.Request) fake.Fault) func(string, *http.Request) fake.Fault {
				return func(from string, r *http.Request) fake.Fault {
					if r.URL.Path == "/txn" && bodyContains(r, replica.TokenKey) && c.fencingToken() == before {
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
			c.setFault(notingStarts(delayStarts))
			c.restartNodes(c.leader())
			c.setFault(notingStarts(noTerminations))
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
			resp, err := c.user.Post(fmt.Sprintf("http://host-%d:8080/hello", node), wire.ContentType, bytes.NewReader(b))
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
