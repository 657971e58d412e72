package cluster

import (
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/wire"
)

// Jobs of TestStandbyCombinedFaults.
const (
	standbyArray     = "j-000001"
	standbyGang      = "j-000002"
	standbyCancelled = "j-000003" // cancelled while the fault begins
	standbyLate      = "j-000004" // submitted once the fault is over
)

// standbyFaultCase is a fault that is combined with failovers between nodes with a standby.
type standbyFaultCase struct {
	name           string
	nodes          int
	withoutStandby map[int]bool // nodes that run without a standby, like earlier versions
	inject         func(c *cluster)
}

var standbyFaultCases = []standbyFaultCase{
	{"the named node restarts as it confirms", 3, nil, restartNamedNodeAtOnce},
	{"the named node restarts as it leads", 3, nil, restartNamedNodeAsItLeads},
	{"the leader crashes as its followers have just restarted", 3, nil, crashLeaderOfNewFollowers},
	{"repeated handovers", 3, nil, handOverSixTimes},
	{"state service unavailable to the leader that hands over", 3, nil, handOverWithoutState},
	{"state service unavailable to all during a handover", 3, nil, refuseStateDuringHandover},
	{"state service unavailable to the leader alone, then to all", 5, nil, refuseStateToLeaderThenToAllNodes},
	{"responses and commands to machines are dropped during a handover", 3, nil, handOverWithUnreachableMachines},
	{"machines are isolated for longer than a lease", 3, nil, handOverWithIsolatedMachines},
	{"starts are in flight during a handover", 3, nil, handOverWithStartsInFlight},
	{"all nodes but one crash", 5, nil, crashAllNodesButOneFollower},
	{"the leader alone has no standby", 3, map[int]bool{0: true}, restartLeaderWithoutStandby},
	{"the followers have no standby", 3, map[int]bool{1: true, 2: true}, handOverToNodesWithoutStandby},
	{"the leader is partitioned from the nodes as it hands over", 3, nil, handOverUnderPartition},
}

// TestStandbyCombinedFaults combines faults with failovers between nodes with a standby, while an array, a gang and a
// job that is being cancelled are on machines. No rule is violated, and all other jobs complete once the faults are
// over.
func TestStandbyCombinedFaults(t *testing.T) {
	for _, tc := range standbyFaultCases {
		t.Run(tc.name, tc.run)
	}
}

// run submits the jobs, injects the fault, and checks that the jobs complete and that a new term has begun.
func (tc standbyFaultCase) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newStandbyCluster(t, tc.nodes, noTuning, testStandby())
		defer c.close()
		c.nodesWithoutFeatures = tc.withoutStandby
		for i := range tc.withoutStandby {
			c.restartNodes(i)
		}
		c.cloud.RuntimeOf = func(string) float64 { return 12 }
		c.submitJob(testJob(standbyArray, 24))
		c.submitJob(gangJob(standbyGang, 3, 2, nil))
		c.submitJob(testJob(standbyCancelled, 4))
		for range 120 {
			if c.runningTasks(standbyArray) >= 8 && c.runningTasks(standbyGang) == 3 {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		time.AfterFunc(600*time.Millisecond, func() { c.cancelJob(standbyCancelled, 1) })
		token := c.fencingToken()
		tc.inject(c)
		c.submitJob(testJob(standbyLate, 4))
		for _, id := range []string{standbyArray, standbyGang, standbyLate} {
			c.awaitStatus(id, wire.JobDone, 3*time.Minute)
		}
		c.checkJobsKnown([]string{standbyArray, standbyGang, standbyCancelled, standbyLate})
		if c.fencingToken() == token {
			t.Errorf("the term with fencing token %d goes on, want a failover", token)
		}
		c.checkRules()
	})
}

// handOver makes the leader hand over, and returns the named node.
func (c *cluster) handOver() string {
	c.t.Helper()
	leader := c.leader()
	to, err := c.nodes[leader].HandOver()
	if err != nil {
		c.t.Errorf("handover by node %d: %v", leader, err)
	}
	return to
}

// indexOf returns the index of the node with a member name, or -1 if there is none.
func (c *cluster) indexOf(member string) int {
	for i := range c.nodes {
		if memberName(i) == member {
			return i
		}
	}
	return -1
}

// makeLeader makes a node the leader: it kills and restarts each other node that leads.
func (c *cluster) makeLeader(node int) {
	c.t.Helper()
	for try := 0; c.leader() != node; try++ {
		if try == 20 {
			c.t.Fatalf("node %d does not lead after %d failovers", node, try)
		}
		leader, token := c.leader(), c.fencingToken()
		c.kill(leader)
		c.awaitLeaderAfter(token)
		c.start(leader)
		time.Sleep(2 * time.Second)
	}
}
