package cluster

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

var fiveNodeFaultCases = []singleFaultCase{
	{"four of five nodes crash", crashFourOfFiveNodes},
	{"nodes restart immediately, also during elections", restartNodesDuringElections},
	{"nodes restart immediately, with delayed duplicates of their requests", restartNodesWithDelayedDuplicates},
	{"delayed duplicates of heartbeats", duplicateHeartbeats},
	{"delayed duplicates of heartbeats reach the next leader", duplicateHeartbeatsToNextLeader},
	{"a machine's heartbeats are dropped during a failover", failOverWithSilentMachine},
	{"responses and commands to a machine are dropped", dropMessagesToMachine},
}

// TestFiveNodeFaults checks that clusters of five nodes complete all jobs after faults that need more than three nodes
// or a long delay: crashes of several nodes at the same time, interrupted elections, and duplicates of messages that
// arrive more than a lease duration late.
func TestFiveNodeFaults(t *testing.T) {
	for _, tc := range fiveNodeFaultCases {
		t.Run(tc.name, func(t *testing.T) { runThroughFault(t, 5, tc.inject) })
	}
}

// crashFourOfFiveNodes kills the leader and three followers for 12 s. The remaining node must lead.
func crashFourOfFiveNodes(c *cluster) {
	leader := c.leader()
	time.Sleep(2 * time.Second)
	for k := range 4 {
		c.kill((leader + k) % 5)
	}
	time.Sleep(12 * time.Second)
	for k := range 4 {
		c.start((leader + k) % 5)
	}
}

// restartNodesDuringElections restarts the leader and a follower, and then two other followers during the election. It
// does so six times. A restarted node must still abstain if its earlier incarnation, whose session has not ended,
// agreed to.
func restartNodesDuringElections(c *cluster) {
	time.Sleep(2 * time.Second)
	for range 6 {
		leader := c.leader()
		c.restartNodes(leader, (leader+1)%5)
		time.Sleep(700 * time.Millisecond)
		c.restartNodes((leader+2)%5, (leader+3)%5)
		time.Sleep(time.Second)
	}
}

// restartNodesWithDelayedDuplicates restarts the leader and a follower four times. Every second transaction or POST
// request of the nodes to workers and the cloud is delivered again later, also when the incarnation that sent it has
// ended.
func restartNodesWithDelayedDuplicates(c *cluster) {
	c.setFault(everyNthNodeRequest(2, fake.DuplicatedRequest, func(r *http.Request) bool {
		return isTxn(r) || r.Host != "state" && r.Method == http.MethodPost
	}))
	time.Sleep(2 * time.Second)
	for range 4 {
		leader := c.leader()
		c.restartNodes(leader, (leader+1)%5)
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(20 * time.Second)
}

// duplicateHeartbeats delivers a late duplicate of every second heartbeat.
func duplicateHeartbeats(c *cluster) {
	c.setFault(everyNthRequest(2, fake.DuplicatedRequest, isHeartbeat))
	time.Sleep(30 * time.Second)
}

// duplicateHeartbeatsToNextLeader delivers a late duplicate of every heartbeat, and crashes the leader. The next leader
// receives duplicates of heartbeats whose originals it never received.
func duplicateHeartbeatsToNextLeader(c *cluster) {
	c.setFault(everyNthRequest(1, fake.DuplicatedRequest, isHeartbeat))
	time.Sleep(6 * time.Second)
	leader := c.leader()
	c.kill(leader)
	time.Sleep(15 * time.Second)
	c.start(leader)
}

// failOverWithSilentMachine crashes the leader while all messages from one machine, and all requests to the cloud, are
// dropped. The machine's tasks must not start elsewhere as long as it is unknown whether they still run.
func failOverWithSilentMachine(c *cluster) {
	c.cloud.RuntimeOf = func(string) float64 { return 25 }
	job := testJob("j-000004", 9)
	job["expect_s"] = 90.0 // long enough that the fleet gets spare capacity
	c.request(http.MethodPost, 0, "/v1/jobs", job)
	for i := 0; i < 80 && c.cloud.Starts() < 19; i++ {
		time.Sleep(500 * time.Millisecond)
	}
	workers := c.cloud.Workers()
	if len(workers) < 4 {
		c.t.Fatalf("%d machines, want at least 4", len(workers))
	}
	silentID := workers[0].ID
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if from == silentID || r.URL.Host == "cloud" {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
	leader := c.leader()
	c.kill(leader)
	time.Sleep(7 * time.Second)
	c.setFault(nil)
	time.Sleep(10 * time.Second)
	c.start(leader)
}

// dropMessagesToMachine drops all responses and commands to one machine. Its heartbeats still arrive, so that the
// machine appears healthy, but its lease expires. Its tasks must run on other machines during the fault.
func dropMessagesToMachine(c *cluster) {
	time.Sleep(3 * time.Second)
	machineID := ""
	if workers := c.cloud.Workers(); len(workers) > 0 {
		machineID = workers[0].ID
	}
	c.setFault(func(from string, r *http.Request) fake.Fault {
		switch {
		case from == machineID && isHeartbeat(r):
			return fake.DroppedResponse
		case strings.HasPrefix(r.URL.Host, machineID+":"):
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
	for i := 1; i <= 2; i++ { // the jobs must complete on other machines during the fault
		c.awaitStatus(fmt.Sprintf("j-%06d", i), wire.JobDone, 90*time.Second)
	}
}
