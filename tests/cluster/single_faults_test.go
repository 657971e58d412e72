package cluster

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// TestSingleFaults runs clusters of three nodes through one fault each. In each case three jobs of
// five tasks are accepted before or during the fault and must complete after it, with no rule
// violated.
func TestSingleFaults(t *testing.T) {
	cases := []struct {
		name   string
		inject func(c *cluster)
	}{
		{"no fault", func(*cluster) {}},
		{"the leader crashes", func(c *cluster) {
			i := c.leader()
			time.Sleep(2 * time.Second)
			c.kill(i)
			time.Sleep(10 * time.Second)
			c.start(i)
		}},
		// A restart within the session's TTL must not wait for its end, and the fencing token of
		// the earlier incarnation must not be used again.
		{"the leader restarts at once", func(c *cluster) {
			i := c.leader()
			time.Sleep(2 * time.Second)
			c.kill(i)
			c.start(i)
		}},
		{"all nodes crash", func(c *cluster) {
			time.Sleep(2 * time.Second)
			for i := range 3 {
				c.kill(i)
			}
			time.Sleep(5 * time.Second)
			for i := range 3 {
				c.start(i)
			}
		}},
		// A request whose response is dropped may have been carried out.
		{"responses of the state service are dropped", func(c *cluster) {
			c.setFault(everyNth(4, fake.DroppedResponse, isStateRequest))
			time.Sleep(20 * time.Second)
		}},
		// A request without a response may be carried out later, after newer writes.
		{"transactions are delayed", func(c *cluster) {
			c.setFault(everyNth(3, fake.DelayedRequest, func(r *http.Request) bool { return isStateRequest(r) && r.URL.Path == "/txn" }))
			time.Sleep(25 * time.Second)
		}},
		{"launches are delayed", func(c *cluster) {
			c.setFault(everyNth(2, fake.DelayedRequest, func(r *http.Request) bool { return r.URL.Path == "/hosts" && r.Method == http.MethodPost }))
			time.Sleep(20 * time.Second)
		}},
		{"outage of the state service", func(c *cluster) {
			time.Sleep(time.Second)
			c.state.SetOutage(true)
			time.Sleep(8 * time.Second)
			c.state.SetOutage(false)
		}},
		// No outage: the sessions end meanwhile.
		{"the state service is unavailable to every node", func(c *cluster) {
			time.Sleep(4 * time.Second)
			c.setFault(everyNth(1, fake.ServiceUnavailable, isStateRequest))
			time.Sleep(20 * time.Second)
		}},
		// The others elect a new leader while the old one has no state service.
		{"the state service is unavailable to the leader alone", func(c *cluster) {
			prefix := fmt.Sprintf("host-%d/", c.leader())
			time.Sleep(2 * time.Second)
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if strings.HasPrefix(from, prefix) && isStateRequest(r) {
					return fake.ServiceUnavailable
				}
				return fake.NoFault
			})
			time.Sleep(15 * time.Second)
		}},
		// Longer than LeaseRenewalWindow: the peers' answers keep lease renewals and placement
		// going.
		{"long outage of the state service", func(c *cluster) {
			time.Sleep(4 * time.Second)
			c.state.SetOutage(true)
			time.Sleep(40 * time.Second)
			c.state.SetOutage(false)
		}},
		{"the leader crashes during an outage of the state service", func(c *cluster) {
			i := c.leader()
			time.Sleep(4 * time.Second)
			c.state.SetOutage(true)
			time.Sleep(3 * time.Second)
			c.kill(i)
			c.start(i)
			time.Sleep(12 * time.Second)
			c.state.SetOutage(false)
		}},
		// The followers forward the workers' heartbeats.
		{"no worker reaches the leader", func(c *cluster) {
			host := fmt.Sprintf("host-%d:8080", c.leader())
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if strings.HasPrefix(from, "i-") && r.URL.Host == host {
					return fake.DroppedRequest
				}
				return fake.NoFault
			})
			for i := 1; i <= 3; i++ {
				c.awaitStatus(fmt.Sprintf("j-%06d", min(i, 2)), wire.JobDone, 90*time.Second)
			}
		}},
		{"a machine's heartbeats are dropped", func(c *cluster) {
			time.Sleep(3 * time.Second)
			if ws := c.cloud.Workers(); len(ws) > 0 {
				id := ws[0].ID
				c.setFault(func(from string, _ *http.Request) fake.Fault {
					if from == id {
						return fake.DroppedRequest
					}
					return fake.NoFault
				})
			}
			time.Sleep(30 * time.Second)
		}},
		{"responses to heartbeats are dropped", func(c *cluster) {
			count := 0
			c.setFault(func(from string, _ *http.Request) fake.Fault {
				if strings.HasPrefix(from, "i-") {
					if count++; count%3 == 0 {
						return fake.DroppedResponse
					}
				}
				return fake.NoFault
			})
			time.Sleep(20 * time.Second)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { runThroughFault(t, 3, tc.inject) })
	}
}

// TestFiveNodeFaults runs clusters of five nodes through faults of larger deployments: several
// nodes at once, interrupted elections, duplicates of messages that arrive well over a lease
// duration late.
func TestFiveNodeFaults(t *testing.T) {
	duplicate := func(c *cluster, every int, match func(from string, r *http.Request) bool) {
		count := 0
		c.setFault(func(from string, r *http.Request) fake.Fault {
			if match(from, r) {
				if count++; count%every == 0 {
					return fake.DuplicatedRequest
				}
			}
			return fake.NoFault
		})
	}
	isHeartbeat := func(_ string, r *http.Request) bool { return r.URL.Path == "/hello" }
	cases := []struct {
		name   string
		inject func(c *cluster)
	}{
		{"four of five nodes crash", func(c *cluster) {
			i := c.leader()
			time.Sleep(2 * time.Second)
			for k := range 4 {
				c.kill((i + k) % 5)
			}
			time.Sleep(12 * time.Second)
			for k := range 4 {
				c.start((i + k) % 5)
			}
		}},
		// A restarted node must still abstain as in its earlier incarnation, whose session goes on.
		{"nodes restart at once, also during elections", func(c *cluster) {
			time.Sleep(2 * time.Second)
			for range 6 {
				i := c.leader()
				c.restartNodes(i, (i+1)%5)
				time.Sleep(700 * time.Millisecond)
				c.restartNodes((i+2)%5, (i+3)%5)
				time.Sleep(time.Second)
			}
		}},
		{"nodes restart at once, with duplicates of their requests delayed", func(c *cluster) {
			duplicate(c, 2, func(from string, r *http.Request) bool {
				return strings.HasPrefix(from, "host") && (r.URL.Path == "/txn" || r.Host != "state" && r.Method == http.MethodPost)
			})
			time.Sleep(2 * time.Second)
			for range 4 {
				i := c.leader()
				c.restartNodes(i, (i+1)%5)
				time.Sleep(1500 * time.Millisecond)
			}
			time.Sleep(20 * time.Second)
		}},
		{"delayed duplicates of heartbeats", func(c *cluster) {
			duplicate(c, 2, isHeartbeat)
			time.Sleep(30 * time.Second)
		}},
		{"delayed duplicates of heartbeats reach the next leader", func(c *cluster) {
			duplicate(c, 1, isHeartbeat)
			time.Sleep(6 * time.Second)
			i := c.leader()
			c.kill(i)
			time.Sleep(15 * time.Second)
			c.start(i)
		}},
		// Its tasks must not start elsewhere while nobody knows whether they run.
		{"a machine's heartbeats are dropped during a failover", func(c *cluster) {
			c.cloud.RuntimeOf = func(string) float64 { return 25 }
			job := testJob("j-000004", 9)
			job["expect_s"] = 90.0 // for a fleet with room
			c.request(http.MethodPost, 0, "/v1/jobs", job)
			for i := 0; i < 80 && c.cloud.Starts() < 19; i++ {
				time.Sleep(500 * time.Millisecond)
			}
			ws := c.cloud.Workers()
			if len(ws) < 4 {
				c.t.Fatalf("%d machines", len(ws))
			}
			silentID := ws[0].ID
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if from == silentID || r.URL.Host == "cloud" {
					return fake.DroppedRequest
				}
				return fake.NoFault
			})
			i := c.leader()
			c.kill(i)
			time.Sleep(7 * time.Second)
			c.setFault(nil)
			time.Sleep(10 * time.Second)
			c.start(i)
		}},
		// Its heartbeats make it look healthy; its lease expires all the same.
		{"responses and commands to a machine are dropped", func(c *cluster) {
			time.Sleep(3 * time.Second)
			isolated := ""
			if ws := c.cloud.Workers(); len(ws) > 0 {
				isolated = ws[0].ID
			}
			c.setFault(func(from string, r *http.Request) fake.Fault {
				switch {
				case from == isolated && r.URL.Path == "/hello":
					return fake.DroppedResponse
				case strings.HasPrefix(r.URL.Host, isolated+":"):
					return fake.DroppedRequest
				}
				return fake.NoFault
			})
			for i := 1; i <= 2; i++ { // on other machines while it lasts
				c.awaitStatus(fmt.Sprintf("j-%06d", i), wire.JobDone, 90*time.Second)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { runThroughFault(t, 5, tc.inject) })
	}
}

// TestPartitionedNode has the leader, or a follower, lose the state service and all other nodes but
// not its workers. A job is cancelled at another node: its tasks are gone in time although the
// partitioned node cannot know, and the workers find another node.
func TestPartitionedNode(t *testing.T) {
	for _, who := range []string{"leader", "follower", "leader, and no worker reaches another node"} {
		t.Run(who, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				size := 5
				if strings.HasSuffix(who, "another node") {
					size = 3 // or the lease would expire while the worker tries the others
				}
				c := newClusterOf(t, size)
				defer c.close()
				c.cloud.RuntimeOf = func(task string) float64 {
					if strings.HasPrefix(task, "j-000001/") {
						return 300
					}
					return 5
				}
				c.submit("j-000001", 4)
				for i := 0; i < 80 && c.cloud.Starts() < 4; i++ {
					time.Sleep(500 * time.Millisecond)
				}
				partitioned := c.leader()
				if who == "follower" {
					partitioned = (partitioned + 1) % size
				}
				member := memberName(partitioned)
				c.pipes.SetPartition(func(from, to string) bool { return from == member || to == member })
				c.setFault(func(from string, r *http.Request) fake.Fault {
					switch {
					case strings.HasPrefix(from, member+"/") && isStateRequest(r), r.URL.Host == "cloud": // nor does a termination help
						return fake.DroppedRequest
					case strings.HasPrefix(from, "i-") && r.URL.Host != member+":8080" && strings.HasSuffix(who, "another node"):
						return fake.ServiceUnavailable
					}
					return fake.NoFault
				})
				time.Sleep(12 * time.Second) // until all watches that were open before have ended
				code := 0
				for i := 0; i < 20 && code != http.StatusOK; i++ {
					code, _ = c.request(http.MethodPost, (partitioned+2)%size, "/v1/jobs/j-000001/abort", nil)
					time.Sleep(500 * time.Millisecond)
				}
				if code != http.StatusOK {
					t.Fatalf("cancellation answered %d", code)
				}
				time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
				if on := c.cloud.TasksOnMachines(); len(on) > 0 {
					t.Errorf("still on machines: %v", on)
				}
				// Its users are to go to other nodes, too.
				for i := range size {
					if code, _ := c.request(http.MethodGet, i, "/ready", nil); (code == http.StatusOK) != (i != partitioned) {
						t.Errorf("node %d answers readiness with %d; %d is partitioned", i, code, partitioned)
					}
				}
				// The partition lasts; other nodes serve the workers.
				c.setFault(func(from string, r *http.Request) fake.Fault {
					if strings.HasPrefix(from, member+"/") && isStateRequest(r) {
						return fake.DroppedRequest
					}
					return fake.NoFault
				})
				if code, _ := c.request(http.MethodPost, (partitioned+2)%size, "/v1/jobs", testJob("j-000002", 3)); code != http.StatusCreated {
					t.Fatalf("submission answered %d", code)
				}
				for i := 0; i < 90; i++ {
					if _, s := c.request(http.MethodGet, (partitioned+1)%size, "/v1/jobs/j-000002", nil); s.State == wire.JobDone {
						break
					}
					time.Sleep(time.Second)
				}
				if _, s := c.request(http.MethodGet, (partitioned+1)%size, "/v1/jobs/j-000002", nil); s.State != wire.JobDone {
					t.Errorf("a job submitted during the partition is %q", s.State)
				}
				if broken := c.cloud.Violations(); broken != nil {
					t.Error(broken)
				}
			})
		})
	}
}

// TestPlacementDuringOutage has an outage of the state service: on the peers' answers the leader
// goes on placing tasks of known jobs.
func TestPlacementDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.submit("j-000001", 60)
		for i := 0; i < 60 && c.cloud.Starts() == 0; i++ {
			time.Sleep(500 * time.Millisecond)
		}
		c.state.SetOutage(true)
		time.Sleep(10 * time.Second) // the leader can no longer count on its session
		before := c.cloud.Starts()
		time.Sleep(15 * time.Second)
		if after := c.cloud.Starts(); after <= before {
			t.Errorf("%d starts before and %d after", before, after)
		}
		c.state.SetOutage(false)
		c.awaitStatus("j-000001", wire.JobDone, 3*time.Minute)
		if broken := c.cloud.Violations(); broken != nil {
			t.Error(broken)
		}
	})
}

// runThroughFault has two jobs of five tasks accepted before a fault and one after it began, and
// checks that all complete.
func runThroughFault(t *testing.T, nodes int, inject func(*cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOf(t, nodes)
		defer c.close()
		ids := []string{"j-000001", "j-000002", "j-000003"}
		c.submit(ids[0], 5)
		c.submit(ids[1], 5)
		inject(c)
		c.setFault(nil)
		c.submit(ids[2], 5)
		for _, id := range ids {
			c.awaitStatus(id, wire.JobDone, 90*time.Second)
		}
		c.checkAnswers(ids)
		if broken := c.cloud.Violations(); broken != nil {
			t.Error(broken)
		}
		if starts := c.cloud.Starts(); starts < 15 {
			t.Errorf("%d starts for 15 tasks that are done", starts)
		}
	})
}
