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

// singleFaultCase is a fault of one kind.
type singleFaultCase struct {
	name   string
	inject func(c *cluster)
}

var singleFaultCases = []singleFaultCase{
	{"no fault", func(*cluster) {}},
	{"the leader crashes", crashLeaderForTenSeconds},
	{"the leader restarts at once", restartLeaderAtOnce},
	{"all nodes crash", crashAllNodesForFiveSeconds},
	{"responses of the state service are dropped", dropStateResponses},
	{"transactions are delayed", delayTxns},
	{"launches are delayed", delayLaunches},
	{"outage of the state service", haveShortOutage},
	{"the state service is unavailable to every node", refuseStateToAllNodes},
	{"the state service is unavailable to the leader alone", refuseStateToLeader},
	{"long outage of the state service", haveLongOutage},
	{"the leader crashes during an outage of the state service", restartLeaderDuringOutage},
	{"no worker reaches the leader", dropHeartbeatsToLeader},
	{"a machine's heartbeats are dropped", dropHeartbeatsOfMachine},
	{"responses to heartbeats are dropped", dropHeartbeatResponses},
}

// TestSingleFaults runs clusters of three nodes through one fault each. In each case three jobs of
// five tasks are accepted before or during the fault and must complete after it, with no rule
// violated.
func TestSingleFaults(t *testing.T) {
	for _, tc := range singleFaultCases {
		t.Run(tc.name, func(t *testing.T) { runThroughFault(t, 3, tc.inject) })
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
		c.checkJobsKnown(ids)
		if broken := c.cloud.Violations(); broken != nil {
			t.Error(broken)
		}
		if starts := c.cloud.Starts(); starts < 15 {
			t.Errorf("%d starts for 15 tasks that are done", starts)
		}
	})
}

// crashLeaderForTenSeconds kills the leader, and starts it again when another node leads.
func crashLeaderForTenSeconds(c *cluster) {
	leader := c.leader()
	time.Sleep(2 * time.Second)
	c.kill(leader)
	time.Sleep(10 * time.Second)
	c.start(leader)
}

// restartLeaderAtOnce restarts the leader within its session's TTL. The restart must not wait for
// the session's end, and the fencing token of the earlier incarnation must not be used again.
func restartLeaderAtOnce(c *cluster) {
	leader := c.leader()
	time.Sleep(2 * time.Second)
	c.kill(leader)
	c.start(leader)
}

// crashAllNodesForFiveSeconds kills all nodes while tasks are on machines.
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

// dropStateResponses drops every fourth response of the state service. A request whose response is
// dropped may have been carried out.
func dropStateResponses(c *cluster) {
	c.setFault(everyNthNodeRequest(4, fake.DroppedResponse, isStateRequest))
	time.Sleep(20 * time.Second)
}

// delayTxns delays every third transaction. A request without a response may be carried out later,
// after newer writes.
func delayTxns(c *cluster) {
	c.setFault(everyNthNodeRequest(3, fake.DelayedRequest, func(r *http.Request) bool { return isStateRequest(r) && isTxn(r) }))
	time.Sleep(25 * time.Second)
}

// delayLaunches delays every second launch of machines. A launch without a response may be carried
// out after its repetition.
func delayLaunches(c *cluster) {
	c.setFault(everyNthNodeRequest(2, fake.DelayedRequest, func(r *http.Request) bool {
		return r.URL.Path == wire.PathInstances && r.Method == http.MethodPost
	}))
	time.Sleep(20 * time.Second)
}

// haveShortOutage has an outage of the state service of 8 s, in which no session ends.
func haveShortOutage(c *cluster) {
	time.Sleep(time.Second)
	c.state.SetOutage(true)
	time.Sleep(8 * time.Second)
	c.state.SetOutage(false)
}

// refuseStateToAllNodes has the state service answer no node. No outage: the sessions end
// meanwhile.
func refuseStateToAllNodes(c *cluster) {
	time.Sleep(4 * time.Second)
	c.setFault(everyNthNodeRequest(1, fake.ServiceUnavailable, isStateRequest))
	time.Sleep(20 * time.Second)
}

// refuseStateToLeader has the others elect a new leader while the old one has no state service.
func refuseStateToLeader(c *cluster) {
	leader := c.leader()
	time.Sleep(2 * time.Second)
	c.setFault(stateUnavailableTo(leader))
	time.Sleep(15 * time.Second)
}

// haveLongOutage has an outage that is longer than LeaseRenewalWindow: the peers' answers keep lease
// renewals and placement going.
func haveLongOutage(c *cluster) {
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

// dropHeartbeatsToLeader drops what workers send to the leader. The followers must forward the
// heartbeats: jobs complete while the fault lasts.
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

// dropHeartbeatsOfMachine drops what one machine sends, for longer than a lease. Commands and other
// requests to it arrive.
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

// dropHeartbeatResponses drops every third response to a heartbeat, and with it starts and stops
// that the leader has decided.
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
