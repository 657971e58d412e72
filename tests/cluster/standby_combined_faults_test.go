package cluster

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// handover has the leader hand over, and returns the named node.
func (c *cluster) handover() string {
	c.t.Helper()
	to, err := c.nodes[c.leader()].HandOver()
	if err != nil {
		c.t.Errorf("handover: %v", err)
	}
	return to
}

// indexOf returns the index of a member; -1 if there is none.
func (c *cluster) indexOf(member string) int {
	for i := range c.nodes {
		if memberName(i) == member {
			return i
		}
	}
	return -1
}

// TestStandbyCombinedFaults combines faults with failovers of nodes with a standby, while an array,
// a gang and a cancelled job are on machines. No rule is violated, and all jobs complete once the
// faults are over.
func TestStandbyCombinedFaults(t *testing.T) {
	cases := []struct {
		name    string
		nodes   int
		without map[int]bool // nodes that run without a standby, as earlier versions do
		inject  func(c *cluster)
	}{
		{"the named node restarts as it confirms", 3, nil, func(c *cluster) {
			to := c.handover()
			c.restartNodes(c.indexOf(to))
		}},
		{"the named node restarts as it leads", 3, nil, func(c *cluster) {
			token := c.fencingToken()
			to := c.handover()
			c.awaitLeaderAfter(token)
			c.restartNodes(c.indexOf(to))
		}},
		{"the leader crashes as its followers have just restarted", 3, nil, func(c *cluster) {
			leader := c.leader()
			c.restartNodes((leader+1)%3, (leader+2)%3)
			time.Sleep(1600 * time.Millisecond)
			c.kill(leader)
			time.Sleep(time.Second)
			c.start(leader)
		}},
		{"repeated handovers", 3, nil, func(c *cluster) {
			for range 6 {
				token := c.fencingToken()
				c.handover()
				c.awaitLeaderAfter(token)
				time.Sleep(300 * time.Millisecond)
			}
		}},
		{"state service unavailable to the leader that hands over", 3, nil, func(c *cluster) {
			c.setFault(stateRefusal(c.leader()))
			c.handover()
			time.Sleep(5 * time.Second)
			c.setFault(nil)
		}},
		{"state service unavailable to all during a handover", 3, nil, func(c *cluster) {
			time.AfterFunc(100*time.Millisecond, func() { c.setFault(stateRefusal(-1)) })
			c.handover()
			time.Sleep(10 * time.Second)
			c.setFault(nil)
		}},
		{"state service unavailable to the leader alone, then to all", 5, nil, func(c *cluster) {
			c.setFault(stateRefusal(c.leader()))
			time.Sleep(2 * time.Second)
			c.setFault(stateRefusal(-1))
			time.Sleep(12 * time.Second)
			c.setFault(nil)
		}},
		{"responses and commands to machines are dropped during a handover", 3, nil, func(c *cluster) {
			affected := map[string]bool{}
			for _, w := range c.cloud.WorkersOf("j-000001")[:2] {
				affected[w.ID] = true
			}
			c.setFault(dropResponsesTo(affected))
			c.handover()
			time.Sleep(20 * time.Second)
			c.setFault(nil)
		}},
		{"machines are isolated for longer than a lease", 3, nil, func(c *cluster) {
			isolated := map[string]bool{}
			for _, w := range c.cloud.WorkersOf("j-000001")[:2] {
				isolated[w.ID] = true
			}
			var dropped counter
			c.setFault(isolateMachines(isolated, &dropped))
			c.handover()
			time.Sleep(20 * time.Second)
			c.setFault(nil)
		}},
		{"starts are on their way during a handover", 3, nil, func(c *cluster) {
			// Responses to heartbeats are dropped from the handover on, and those with starts
			// before.
			c.setFault(func(from string, r *http.Request) fake.Fault {
				if machineOf(from) != "" && strings.HasSuffix(r.URL.Path, "/hello") {
					return fake.DroppedResponse
				}
				return fake.NoFault
			})
			c.submit("j-000007", 8)
			time.Sleep(700 * time.Millisecond)
			c.handover()
			time.Sleep(2 * time.Second)
			c.setFault(nil)
		}},
		{"all nodes but one crash", 5, nil, func(c *cluster) {
			leader := c.leader()
			for i := range c.nodes {
				if i != leader && i != (leader+1)%5 {
					c.kill(i)
				}
			}
			c.kill(leader)
			time.Sleep(15 * time.Second)
			for i := range c.nodes {
				if i != (leader+1)%5 {
					c.start(i)
				}
			}
		}},
		{"the leader alone has no standby", 3, map[int]bool{0: true}, func(c *cluster) {
			c.makeLeader(0)
			c.restartNodes(0)
		}},
		{"the followers have no standby", 3, map[int]bool{1: true, 2: true}, func(c *cluster) {
			c.makeLeader(0)
			c.handover()
		}},
		{"the leader is partitioned from the nodes as it hands over", 3, nil, func(c *cluster) {
			host := memberName(c.leader())
			c.pipes.SetPartition(func(from, to string) bool { return from == host || to == host })
			c.handover()
			time.Sleep(5 * time.Second)
			c.healPeers()
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newStandbyCluster(t, tc.nodes, noTuning, testStandby())
				defer c.close()
				c.without = tc.without
				for i := range tc.without {
					c.restartNodes(i)
				}
				c.cloud.RuntimeOf = func(string) float64 { return 12 }
				c.submitJob(testJob("j-000001", 24))
				c.submitJob(gangJob("j-000002", 3, 2, nil))
				c.submitJob(testJob("j-000003", 4))
				for range 120 {
					if c.runningTasks("j-000001") >= 8 && c.runningTasks("j-000002") == 3 {
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(500 * time.Millisecond)
				time.AfterFunc(600*time.Millisecond, func() { c.cancelJob("j-000003", 1) })
				token := c.fencingToken()
				tc.inject(c)
				c.submitJob(testJob("j-000004", 4))
				for _, id := range []string{"j-000001", "j-000002", "j-000004"} {
					c.awaitStatus(id, wire.JobDone, 3*time.Minute)
				}
				c.checkAnswers([]string{"j-000001", "j-000002", "j-000003", "j-000004"})
				if c.fencingToken() == token {
					t.Error("no other node has led")
				}
				c.checkRules()
			})
		})
	}
}

// makeLeader makes a node the leader, by killing the others for a while.
func (c *cluster) makeLeader(node int) {
	c.t.Helper()
	for try := 0; c.leader() != node; try++ {
		if try == 20 {
			c.t.Fatalf("node %d does not lead", node)
		}
		leader, token := c.leader(), c.fencingToken()
		c.kill(leader)
		c.awaitLeaderAfter(token)
		c.start(leader)
		time.Sleep(2 * time.Second)
	}
}
