package cluster

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/membership"
	"caperlatch/internal/settings"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// Bounds of failure detection.
const (
	detectionTimeout = 10 * time.Second // until all others have detected a failure
	recoveryTimeout  = 3 * time.Second  // until all others find a node alive after its failure
	maxPathLatency   = 2 * time.Second  // of a message between nodes
)

// memberCluster is a cluster whose nodes detect each other's failures.
type memberCluster struct {
	*cluster
}

// checkState returns an error if some node with membership reports another state of a node than want.
func (c *memberCluster) checkState(node int, want membership.State) error {
	for i, n := range c.nodes {
		status, err := n.MembershipStatus()
		if err != nil && !c.nodesWithoutFeatures[i] {
			return err
		}
		for _, m := range status.Members {
			if m.Member == memberName(node) && m.State != want {
				return fmt.Errorf("%s reports %s as %s, want %s", status.Member, m.Member, m.State, want)
			}
		}
	}
	return nil
}

// awaitState waits until all other nodes report the node in the given state, and fails the test if they do not within
// the timeout.
func (c *memberCluster) awaitState(timeout time.Duration, node int, want membership.State) {
	c.t.Helper()
	err := c.checkState(node, want)
	for startedAt := time.Now(); err != nil && time.Since(startedAt) < timeout; err = c.checkState(node, want) {
		time.Sleep(100 * time.Millisecond)
	}
	if err != nil {
		c.t.Errorf("after %v: %v", timeout, err)
	}
}

// checkStateStays checks that all other nodes still report the node in the given state after half a minute.
func (c *memberCluster) checkStateStays(node int, want membership.State) {
	c.t.Helper()
	time.Sleep(30 * time.Second)
	if err := c.checkState(node, want); err != nil {
		c.t.Error(err)
	}
}

// crashAndRecover kills a node, and restarts it once all other nodes have found it failed.
func (c *memberCluster) crashAndRecover(node int) {
	c.t.Helper()
	c.kill(node)
	c.awaitState(detectionTimeout, node, membership.Failed)
	c.start(node)
	c.awaitState(recoveryTimeout, node, membership.Alive)
}

// checkNoFailures waits for a period, and checks that no node has found another one failed since it started.
func (c *memberCluster) checkNoFailures(period time.Duration) {
	c.t.Helper()
	time.Sleep(period)
	for i, n := range c.nodes {
		if status, err := n.MembershipStatus(); err != nil || status.Counts.Failures > 0 {
			c.t.Errorf("host-%d: %+v, error %v; want no failures", i, status, err)
		}
	}
}

// follower returns a node that does not lead.
func (c *memberCluster) follower() int { return (c.leader() + 1) % c.size }

// dropStateRequestsOf drops all requests of one node to the state service.
func (c *memberCluster) dropStateRequestsOf(node int) {
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if isStateRequest(r) && isFromNode(from, node) {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
}

// membershipCase is a fault of nodes, or of the network between them. Its run injects the fault and checks which
// states the nodes report.
type membershipCase struct {
	name string
	run  func(c *memberCluster)
}

var membershipCases = []membershipCase{
	{"a follower crashes and comes back", func(c *memberCluster) { c.crashAndRecover(c.follower()) }},
	{"the leader crashes and comes back", func(c *memberCluster) { c.crashAndRecover(c.leader()) }},
	{"the leader restarts at once, again and again", (*memberCluster).restartLeaders},
	{"the leader is partitioned from all nodes, its session lives", (*memberCluster).partitionLeader},
	{"a node is partitioned from all nodes and the state service", (*memberCluster).isolateNode},
	{"two nodes are partitioned from each other", (*memberCluster).partitionTwoNodes},
	{"the state service is unavailable to one node", (*memberCluster).dropStateRequestsOfFollower},
	{"a node crashes while the state service is unavailable", (*memberCluster).crashWithoutState},
	{"a node leaves", (*memberCluster).leaveAndReturn},
	{"a node without membership crashes and comes back", (*memberCluster).crashNodeWithoutMembership},
	{"all paths have high latency with jitter", (*memberCluster).slowAllPaths},
}

// TestMembership makes nodes fail, leave and return, and partitions them, while jobs run. It checks the states that
// the nodes report, and the rules.
func TestMembership(t *testing.T) {
	for _, size := range []int{3, 5} {
		for _, tc := range membershipCases {
			t.Run(fmt.Sprintf("%s, %d nodes", tc.name, size), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					config := membership.DefaultConfig()
					c := &memberCluster{newFeaturesCluster(t, size, noTuning, settings.Features{Membership: &config})}
					defer c.close()
					time.Sleep(3 * time.Second)
					c.submit("j-000001", 20)
					tc.run(c)
					c.awaitStatus("j-000001", wire.JobDone, 2*time.Minute)
					c.checkRules()
				})
			})
		}
	}
}

// restartLeaders restarts five leaders, each in less time than it takes to suspect a node: none may be found failed.
func (c *memberCluster) restartLeaders() {
	for range 5 {
		leader := c.leader()
		c.kill(leader)
		time.Sleep(300 * time.Millisecond)
		c.start(leader)
		c.checkNoFailures(4 * time.Second)
	}
}

// partitionLeader isolates the leader from the other nodes. Its session with the state service lives, so the others
// must suspect it but not find it failed, and it must go on leading.
func (c *memberCluster) partitionLeader() {
	leader := c.leader()
	c.isolateFromPeers(leader)
	c.awaitState(detectionTimeout, leader, membership.Suspected)
	c.checkStateStays(leader, membership.Suspected)
	if c.leader() != leader {
		c.t.Errorf("node %d no longer leads, want it to go on leading", leader)
	}
	c.healPartitions()
	c.awaitState(recoveryTimeout, leader, membership.Alive)
}

// isolateNode isolates a follower from the other nodes and the state service. The others must find it failed. The
// follower must report that it is isolated, and find no other node failed.
func (c *memberCluster) isolateNode() {
	isolated := c.follower()
	c.isolateFromPeers(isolated)
	c.dropStateRequestsOf(isolated)
	c.awaitState(detectionTimeout, isolated, membership.Failed)
	c.checkStateStays(isolated, membership.Failed)
	if status, err := c.nodes[isolated].MembershipStatus(); err != nil || !status.Isolated || status.Counts.Failures > 0 {
		c.t.Errorf("the isolated node reports %+v, error %v; want isolated and no failures", status, err)
	}
	c.setFault(nil)
	c.healPartitions()
	for i := range c.size {
		c.awaitState(recoveryTimeout, i, membership.Alive)
	}
}

// partitionTwoNodes blocks all connections between two nodes. The other nodes still receive heartbeats of both, so no
// node may be found failed.
func (c *memberCluster) partitionTwoNodes() {
	c.peerNet.SetPartition(func(from, to string) bool { return from+to == "host-0host-1" || from+to == "host-1host-0" })
	c.checkNoFailures(time.Minute)
}

// dropStateRequestsOfFollower drops the requests of a follower to the state service. Its heartbeats still reach the
// other nodes, so it may not be found failed.
func (c *memberCluster) dropStateRequestsOfFollower() {
	c.dropStateRequestsOf(c.follower())
	c.checkNoFailures(time.Minute)
}

// crashWithoutState makes the state service unavailable to all nodes, and then kills a follower. Only the follower may
// be found failed, and it must be found failed although the state service does not respond.
func (c *memberCluster) crashWithoutState() {
	crashed := c.follower()
	c.setFault(everyNthNodeRequest(1, fake.ServiceUnavailable, isStateRequest))
	c.checkNoFailures(20 * time.Second)
	c.kill(crashed)
	c.awaitState(detectionTimeout, crashed, membership.Failed)
	c.setFault(nil)
	c.start(crashed)
	c.awaitState(recoveryTimeout, crashed, membership.Alive)
}

// leaveAndReturn makes a follower announce that it leaves. The others must report within a second that it left, and
// must never report that it failed, until it returns.
func (c *memberCluster) leaveAndReturn() {
	leaving := c.follower()
	c.nodes[leaving].Leave()
	c.kill(leaving)
	c.awaitState(time.Second, leaving, membership.Left)
	c.checkStateStays(leaving, membership.Left)
	c.start(leaving)
	c.awaitState(recoveryTimeout, leaving, membership.Alive)
}

// crashNodeWithoutMembership restarts a follower without membership, as in an earlier version. The others must report
// it as alive, and as failed only while it is down.
func (c *memberCluster) crashNodeWithoutMembership() {
	without := c.follower()
	c.nodesWithoutFeatures = map[int]bool{without: true}
	c.restartNodes(without)
	c.awaitState(recoveryTimeout, without, membership.Alive)
	c.checkStateStays(without, membership.Alive)
	c.crashAndRecover(without)
}

// slowAllPaths delays each message between nodes by a random time up to maxPathLatency. No node may be found failed
// for ten minutes, and node 0 must report itself as slow.
func (c *memberCluster) slowAllPaths() {
	random := rand.New(rand.NewPCG(uint64(c.size), 32))
	c.peerNet.SetLatency(func(string, string) time.Duration {
		c.mu.Lock()
		defer c.mu.Unlock()
		return time.Duration(random.Int64N(int64(maxPathLatency)))
	})
	c.peerNet.SetPartition(func(string, string) bool { return true }) // closes all streams, so that new ones are opened with the latency
	c.healPartitions()
	c.checkNoFailures(10 * time.Minute)
	slow := 0
	for range 60 { // polls, as node 0 does not report itself as slow while its messages happen to be fast
		status, err := c.nodes[0].MembershipStatus()
		if err == nil && status.Slow {
			slow++
		}
		time.Sleep(time.Second)
	}
	if slow == 0 {
		c.t.Error("node 0 never reported itself as slow within a minute")
	}
}
