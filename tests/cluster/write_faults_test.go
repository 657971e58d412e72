package cluster

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// TestDroppedResponses has writes of each kind carried out at once and only their responses
// dropped, while all nodes read what was written: a repeat whose compare fails may mean that the
// first one was carried out.
func TestDroppedResponses(t *testing.T) {
	kinds := []struct {
		name  string
		match func(r *http.Request) bool
	}{
		{"submissions", func(r *http.Request) bool { return bodyContains(r, "c/j/") && bodyContains(r, "pieces") }},
		{"cancellations", func(r *http.Request) bool { return bodyContains(r, "cancelled by its user") }},
		{"completions", func(r *http.Request) bool { return bodyContains(r, "all tasks done") }},
		{"progress", func(r *http.Request) bool { return bodyContains(r, "c/p/") }},
		{"launch intents", func(r *http.Request) bool { return bodyContains(r, "c/b/") }},
		{"machine lists", func(r *http.Request) bool { return bodyContains(r, "c/u/") }},
		{"leader key and fencing token", func(r *http.Request) bool { return bodyContains(r, "c/token") }},
		{"sessions", func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/holds") }},
	}
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			runUnderFault(t, 3, func(c *cluster, cancel func()) {
				var dropped, seen counter
				fault := func(from string, r *http.Request) fake.Fault {
					if isStateRequest(r) && k.match(r) && dropped.add("dropped")%3 != 0 {
						return fake.DroppedResponse
					}
					return fake.NoFault
				}
				c.setFault(fault)
				queryAll := func() {
					var wg sync.WaitGroup
					for id := range faultJobRuntimes {
						if id != "j-000004" {
							job := testJob(id, len(faultJobRuntimes[id]))
							job["expect_s"] = 200.0
							wg.Go(func() { c.queryAllNodes(job, false, 100*time.Millisecond, &seen) })
						}
					}
					wg.Wait()
				}
				c.submit("j-000010", 2) // with the fault set
				time.Sleep(6 * time.Second)
				queryAll()
				c.restartNodes(c.leader()) // so that leader key and sessions are among the writes
				time.Sleep(time.Second)
				cancel()
				for range 8 {
					queryAll()
					time.Sleep(100 * time.Millisecond)
				}
				c.restartNodes(c.leader())
				for range 10 {
					time.Sleep(900 * time.Millisecond)
					queryAll()
				}
				if n := dropped.count("dropped"); n < 2 {
					c.t.Errorf("only %d such writes occurred", n)
				}
			})
		})
	}
}

// TestDelayedWriteAfterNewer has a write delayed by 9 s, so that it is carried out after newer ones
// of the same leader, with something decided in between that it would undo.
func TestDelayedWriteAfterNewer(t *testing.T) {
	delay := func(c *cluster, count int, match func(*http.Request) bool) *counter {
		var delayed counter
		c.setFault(func(_ string, r *http.Request) fake.Fault {
			if r.URL.Path == "/txn" && match(r) && delayed.add("delayed") <= count {
				return fake.DelayedRequest
			}
			return fake.NoFault
		})
		return &delayed
	}
	key := func(k string) func(*http.Request) bool {
		return func(r *http.Request) bool { return bodyContains(r, k) }
	}
	// checkNextLeaderKnows forces a failover while the machines that run a job are isolated.
	checkNextLeaderKnows := func(c *cluster, id string) {
		ids := map[string]bool{}
		for _, w := range c.cloud.WorkersOf(id) {
			ids[w.ID] = true
		}
		var dropped counter
		c.setFault(isolateMachines(ids, &dropped))
		before := c.fencingToken()
		c.restartNodes(c.leader())
		c.awaitLeaderAfter(before)
		time.Sleep(4 * time.Second)
		if dropped.count("dropped") == 0 || c.runningTasks(id) == 0 {
			c.t.Errorf("%d messages were dropped, %d tasks still run", dropped.count("dropped"), c.runningTasks(id))
		}
		c.setFault(nil)
		c.awaitStatus(id, wire.JobDone, 4*time.Minute)
	}
	long := func(id string) map[string]any {
		job := testJob(id, 4)
		job["expect_s"] = 200.0
		return job
	}
	cases := []struct {
		name string
		run  func(c *cluster) *counter
	}{
		{"machine list after one with more machines", func(c *cluster) *counter {
			delayed := delay(c, 1, key("c/u/"))
			c.runJob(long("j-000001"))
			c.runJob(long("j-000002"))
			time.Sleep(10 * time.Second)
			checkNextLeaderKnows(c, "j-000002")
			return delayed
		}},
		{"launch intent after one with its machines", func(c *cluster) *counter {
			delayed := delay(c, 1, key("c/b/"))
			c.runJob(long("j-000001"))
			time.Sleep(10 * time.Second)
			checkNextLeaderKnows(c, "j-000001")
			return delayed
		}},
		{"progress after newer progress", func(c *cluster) *counter {
			delayed := delay(c, 1, key("c/p/"))
			c.runJob(long("j-000001")) // its tasks end 4 s apart
			time.Sleep(18 * time.Second)
			c.restartNodes(c.leader())
			c.awaitStatus("j-000001", wire.JobDone, 2*time.Minute)
			if n := c.cloud.Starts(); n != 4 {
				c.t.Errorf("%d starts for 4 tasks", n)
			}
			return delayed
		}},
		{"completion after the job's cancellation", func(c *cluster) *counter {
			delayed := delay(c, 1000, key("all tasks done"))
			c.submit("j-000003", 1)
			for i := 0; delayed.count("delayed") == 0 && i < 600; i++ {
				time.Sleep(100 * time.Millisecond)
			}
			c.cancelJob("j-000003", 1)
			time.Sleep(15 * time.Second)
			c.checkAnswers([]string{"j-000003"})
			c.awaitStatus("j-000003", wire.JobCancelled, time.Second)
			return delayed
		}},
		{"cancellation after the job's completion", func(c *cluster) *counter {
			delayed := delay(c, 1000, key("cancelled by its user"))
			c.runJob(testJob("j-000003", 1))
			if code, _ := c.request(http.MethodPost, 1, "/v1/jobs/j-000003/abort", nil); code == http.StatusOK {
				c.t.Error("the cancellation was confirmed")
			}
			c.awaitStatus("j-000003", wire.JobDone, 8*time.Second)
			time.Sleep(15 * time.Second)
			c.checkAnswers([]string{"j-000003"})
			return delayed
		}},
		{"submission after its repeat and the job's completion", func(c *cluster) *counter {
			delayed := delay(c, 1, key("pieces"))
			c.submit("j-000003", 1)
			c.awaitStatus("j-000003", wire.JobDone, 20*time.Second)
			time.Sleep(10 * time.Second)
			c.checkAnswers([]string{"j-000003"})
			return delayed
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RuntimeOf = func(task string) float64 {
					switch {
					case task == "j-000003/0" || strings.HasPrefix(task, "j-000009"):
						return 2.5
					case tc.name == "progress after newer progress":
						return 2 + 4*float64(task[len(task)-1]-'0') + 12*float64((task[len(task)-1]-'0')/3)
					}
					return 50
				}
				time.Sleep(3 * time.Second)
				if delayed := tc.run(c); delayed.count("delayed") == 0 {
					t.Error("no such write was delayed")
				}
				c.checkRules()
			})
		})
	}
}
