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

// singleFaultCase is a case of TestSingleFaults or TestFiveNodeFaults: a fault of one kind.
type singleFaultCase struct {
	name   string
	inject func(c *cluster)
}

var singleFaultCases = []singleFaultCase{
	{"no fault", func(*cluster) {}},
	{"the leader crashes", crashLeaderForTenSeconds},
	{"the leader restarts immediately", restartLeaderAtOnce},
	{"all nodes crash", crashAllNodesForFiveSeconds},
	{"responses of the state service are dropped", dropStateResponses},
	{"transactions are delayed", delayTxns},
	{"launches are delayed", delayLaunches},
	{"outage of the state service", injectShortOutage},
	{"the state service is unavailable to every node", blockStateForAllNodes},
	{"the state service is unavailable to the leader only", blockStateForLeader},
	{"long outage of the state service", injectLongOutage},
	{"the leader crashes during an outage of the state service", restartLeaderDuringOutage},
	{"no worker reaches the leader", dropHeartbeatsToLeader},
	{"a machine's heartbeats are dropped", dropHeartbeatsOfMachine},
	{"responses to heartbeats are dropped", dropHeartbeatResponses},
}

// TestSingleFaults checks that a cluster of three nodes recovers from a fault of one kind. In each case two jobs of
// five tasks are accepted before the fault and one after it was injected. All must complete, and no rule may be
// violated.
func TestSingleFaults(t *testing.T) {
	for _, tc := range singleFaultCases {
		t.Run(tc.name, func(t *testing.T) { runThroughFault(t, 3, tc.inject) })
	}
}

// TestPlacementDuringOutage checks that during an outage of the state service the leader continues to place tasks of
// known jobs, based on the answers of its peers.
func TestPlacementDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.submit("j-000001", 60)
		for i := 0; i < 60 && c.cloud.Starts() == 0; i++ {
			time.Sleep(500 * time.Millisecond)
		}
		c.state.SetOutage(true)
		time.Sleep(10 * time.Second) // until the leader can no longer rely on its session
		before := c.cloud.Starts()
		time.Sleep(15 * time.Second)
		if after := c.cloud.Starts(); after <= before {
			t.Errorf("%d starts 10 s after the start of the outage, %d another 15 s later; want an increase", before, after)
		}
		c.state.SetOutage(false)
		c.awaitStatus("j-000001", wire.JobDone, 3*time.Minute)
		if violations := c.cloud.Violations(); violations != nil {
			t.Error(violations)
		}
	})
}

// runThroughFault submits two jobs of five tasks before it injects a fault and one after, and checks that all complete
// and no rule is violated.
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
		c.checkJobsKnown(ids)
		if violations := c.cloud.Violations(); violations != nil {
			t.Error(violations)
		}
		if starts := c.cloud.Starts(); starts < 15 {
			t.Errorf("%d starts, want at least 15, as 15 tasks are done", starts)
		}
	})
}

// crashLeaderForTenSeconds kills the leader, and starts it again 10 s later, when another node leads.
func crashLeaderForTenSeconds(c *cluster) {
	leader := c.leader()
	time.Sleep(2 * time.Second)
	c.kill(leader)
	time.Sleep(10 * time.Second)
	c.start(leader)
}

// restartLeaderAtOnce restarts the leader within the TTL of its session. The restarted node must not wait for the
// session to end, and the fencing token of its earlier incarnation must not be used again.
func restartLeaderAtOnce(c *cluster) {
	leader := c.leader()
	time.Sleep(2 * time.Second)
	c.kill(leader)
	c.start(leader)
}

// crashAllNodesForFiveSeconds kills all nodes for 5 s while tasks are on machines.
func crashAllNodesForFiveSeconds(c *cluster) {
	time.Sleep(2 * time.Second)
	for i := range 3 {
		c.kill(i)
	}
	time.Sleep(5 * time.Second)
	for i := range 3 {
		c.start(i)
	}
}

// dropStateResponses drops every fourth response of the state service to the nodes. A request whose response is dropped
// is executed nevertheless.
func dropStateResponses(c *cluster) {
	c.setFault(everyNthNodeRequest(4, fake.DroppedResponse, isStateRequest))
	time.Sleep(20 * time.Second)
}

// delayTxns delays every third transaction. A transaction that got no response may still be executed, after newer
// writes.
func delayTxns(c *cluster) {
	c.setFault(everyNthNodeRequest(3, fake.DelayedRequest, func(r *http.Request) bool { return isStateRequest(r) && isTxn(r) }))
	time.Sleep(25 * time.Second)
}

// delayLaunches delays every second launch of machines. A launch that got no response may be executed after its retry.
func delayLaunches(c *cluster) {
	c.setFault(everyNthNodeRequest(2, fake.DelayedRequest, func(r *http.Request) bool {
		return r.URL.Path == wire.PathInstances && r.Method == http.MethodPost
	}))
	time.Sleep(20 * time.Second)
}

// injectShortOutage stops the state service for 8 s, during which no session ends.
func injectShortOutage(c *cluster) {
	time.Sleep(time.Second)
	c.state.SetOutage(true)
	time.Sleep(8 * time.Second)
	c.state.SetOutage(false)
}

// blockStateForAllNodes makes the state service answer all nodes with 503 for 20 s. Unlike in an outage, sessions end
// in the meantime.
func blockStateForAllNodes(c *cluster) {
	time.Sleep(4 * time.Second)
	c.setFault(everyNthNodeRequest(1, fake.ServiceUnavailable, isStateRequest))
	time.Sleep(20 * time.Second)
}

// blockStateForLeader makes the state service unavailable to the leader for 15 s, so that the others elect a new
// leader.
func blockStateForLeader(c *cluster) {
	leader := c.leader()
	time.Sleep(2 * time.Second)
	c.setFault(stateUnavailableTo(leader))
	time.Sleep(15 * time.Second)
}

// injectLongOutage stops the state service for 40 s, which is longer than LeaseRenewalWindow. Lease renewals and
// placement must continue, based on the peers' answers.
func injectLongOutage(c *cluster) {
	time.Sleep(4 * time.Second)
	c.state.SetOutage(true)
	time.Sleep(40 * time.Second)
	c.state.SetOutage(false)
}

// restartLeaderDuringOutage restarts the leader 3 s after an outage of the state service began,
// and ends the outage 12 s later.
func restartLeaderDuringOutage(c *cluster) {
	leader := c.leader()
	time.Sleep(4 * time.Second)
	c.state.SetOutage(true)
	time.Sleep(3 * time.Second)
	c.kill(leader)
	c.start(leader)
	time.Sleep(12 * time.Second)
	c.state.SetOutage(false)
}

// dropHeartbeatsToLeader drops all requests of workers to the leader. The followers must forward heartbeats, so that
// jobs complete during the fault.
func dropHeartbeatsToLeader(c *cluster) {
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
}

// dropHeartbeatsOfMachine drops all requests from one machine for 30 s, which is longer than a lease. Requests to the
// machine are still delivered.
func dropHeartbeatsOfMachine(c *cluster) {
	time.Sleep(3 * time.Second)
	if workers := c.cloud.Workers(); len(workers) > 0 {
		silentID := workers[0].ID
		c.setFault(func(from string, _ *http.Request) fake.Fault {
			if from == silentID {
				return fake.DroppedRequest
			}
			return fake.NoFault
		})
	}
	time.Sleep(30 * time.Second)
}

// dropHeartbeatResponses drops every third response to a heartbeat. Starts and stops in these responses are lost.
func dropHeartbeatResponses(c *cluster) {
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
}
