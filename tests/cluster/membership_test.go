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

// Bounds of the detection of failures.
const (
	detectionTimeout = 10 * time.Second // of a failure
	recoveryTimeout  = 3 * time.Second  // after the failure is over
	maxPathLatency   = 2 * time.Second  // of a path between nodes
)

// memberCluster is a cluster whose nodes detect each other's failures.
type memberCluster struct {
	*cluster
}

// checkState returns an error if a node with membership finds another state of a node than wanted.
func (c *memberCluster) checkState(node int, want membership.State) error {
	for i, n := range c.nodes {
		status, err := n.MembershipStatus()
		if err != nil && !c.nodesWithoutFeatures[i] {
			return err
		}
		for _, m := range status.Members {
			if m.Member == memberName(node) && m.State != want {
				return fmt.Errorf("%s finds %s %s, not %s", status.Member, m.Member, m.State, want)
			}
		}
	}
	return nil
}

// awaitState waits until all others find a node in a state.
func (c *memberCluster) awaitState(timeout time.Duration, node int, want membership.State) {
	c.t.Helper()
	err := c.checkState(node, want)
	for startedAt := time.Now(); err != nil && time.Since(startedAt) < timeout; err = c.checkState(node, want) {
		time.Sleep(100 * time.Millisecond)
	}
	if err != nil {
		c.t.Errorf("within %v: %v", timeout, err)
	}
}

// checkStateStays checks that all others find a node in a state after half a minute.
func (c *memberCluster) checkStateStays(node int, want membership.State) {
	c.t.Helper()
	time.Sleep(30 * time.Second)
	if err := c.checkState(node, want); err != nil {
		c.t.Error(err)
	}
}

// crashAndRecover kills a node, and starts it again once all others have found it failed.
func (c *memberCluster) crashAndRecover(node int) {
	c.t.Helper()
	c.kill(node)
	c.awaitState(detectionTimeout, node, membership.Failed)
	c.start(node)
	c.awaitState(recoveryTimeout, node, membership.Alive)
}

// checkNoFailures checks that for a while no node finds another failed.
func (c *memberCluster) checkNoFailures(period time.Duration) {
	c.t.Helper()
	time.Sleep(period)
	for i, n := range c.nodes {
		if status, err := n.MembershipStatus(); err != nil || status.Counts.Failures > 0 {
			c.t.Errorf("host-%d: %v, %+v", i, err, status)
		}
	}
}

// follower returns a node that does not lead.
func (c *memberCluster) follower() int { return (c.leader() + 1) % c.size }

// refuseState drops all requests of one node to the state service.
func (c *memberCluster) refuseState(node int) {
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if isStateRequest(r) && isFromNode(from, node) {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
}

// membershipCase is a fault of nodes, or of paths between them; run checks what the others find.
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
	{"the state service is unavailable to one node", (*memberCluster).refuseStateToFollower},
	{"a node crashes while the state service is unavailable", (*memberCluster).crashWithoutState},
	{"a node leaves", (*memberCluster).leaveAndReturn},
	{"a node without membership crashes and comes back", (*memberCluster).crashNodeWithoutMembership},
	{"all paths have high latency with jitter", (*memberCluster).slowAllPaths},
}

// TestMembership has nodes fail, be partitioned, leave and come back while jobs run, under the
// checker of the rules.
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

// restartLeaders restarts five leaders within the time that a suspicion takes: none may be found
// failed.
func (c *memberCluster) restartLeaders() {
	for range 5 {
		leader := c.leader()
		c.kill(leader)
		time.Sleep(300 * time.Millisecond)
		c.start(leader)
		c.checkNoFailures(4 * time.Second)
	}
}

// partitionLeader cuts the leader off from all nodes. As its session with the state service lives,
// it must be suspected, never found failed, and go on leading.
func (c *memberCluster) partitionLeader() {
	leader := c.leader()
	c.isolateFromPeers(leader)
	c.awaitState(detectionTimeout, leader, membership.Suspected)
	c.checkStateStays(leader, membership.Suspected)
	if c.leader() != leader {
		c.t.Error("another node leads")
	}
	c.healPartitions()
	c.awaitState(recoveryTimeout, leader, membership.Alive)
}

// isolateNode cuts a follower off from all nodes and the state service. The others must find it
// failed; it must know that it is isolated, and find nobody failed.
func (c *memberCluster) isolateNode() {
	isolated := c.follower()
	c.isolateFromPeers(isolated)
	c.refuseState(isolated)
	c.awaitState(detectionTimeout, isolated, membership.Failed)
	c.checkStateStays(isolated, membership.Failed)
	if status, err := c.nodes[isolated].MembershipStatus(); err != nil || !status.Isolated || status.Counts.Failures > 0 {
		c.t.Errorf("the isolated node finds others failed: %v, %+v", err, status)
	}
	c.setFault(nil)
	c.healPartitions()
	for i := range c.size {
		c.awaitState(recoveryTimeout, i, membership.Alive)
	}
}

// partitionTwoNodes cuts the path between two nodes, in both directions. As the others still have
// heartbeats of both, none may be found failed.
func (c *memberCluster) partitionTwoNodes() {
	c.peerNet.SetPartition(func(from, to string) bool { return from+to == "host-0host-1" || from+to == "host-1host-0" })
	c.checkNoFailures(time.Minute)
}

// refuseStateToFollower drops the requests of a follower to the state service. Its heartbeats to the
// other nodes arrive, so it may not be found failed.
func (c *memberCluster) refuseStateToFollower() {
	c.refuseState(c.follower())
	c.checkNoFailures(time.Minute)
}

// crashWithoutState makes the state service unavailable to all, and then kills a follower: it alone
// must be found failed, without an answer of the state service.
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

// leaveAndReturn has a follower announce that it leaves: within a second the others must find that it
// left, and never that it failed, until it comes back.
func (c *memberCluster) leaveAndReturn() {
	leaving := c.follower()
	c.nodes[leaving].Leave()
	c.kill(leaving)
	c.awaitState(time.Second, leaving, membership.Left)
	c.checkStateStays(leaving, membership.Left)
	c.start(leaving)
	c.awaitState(recoveryTimeout, leaving, membership.Alive)
}

// crashNodeWithoutMembership restarts a follower as an earlier version, which has no membership: the
// others must find it alive, and failed only while it is down.
func (c *memberCluster) crashNodeWithoutMembership() {
	without := c.follower()
	c.nodesWithoutFeatures = map[int]bool{without: true}
	c.restartNodes(without)
	c.awaitState(recoveryTimeout, without, membership.Alive)
	c.checkStateStays(without, membership.Alive)
	c.crashAndRecover(without)
}

// slowAllPaths gives each message between nodes a random latency up to maxPathLatency. For ten
// minutes none may be found failed, and a node must notice that the paths are slow.
func (c *memberCluster) slowAllPaths() {
	random := rand.New(rand.NewPCG(uint64(c.size), 32))
	c.peerNet.SetLatency(func(string, string) time.Duration {
		c.mu.Lock()
		defer c.mu.Unlock()
		return time.Duration(random.Int64N(int64(maxPathLatency)))
	})
	c.peerNet.SetPartition(func(string, string) bool { return true }) // so that all streams are opened anew
	c.healPartitions()
	c.checkNoFailures(10 * time.Minute)
	slow := 0
	for range 60 { // single messages may be fast
		status, err := c.nodes[0].MembershipStatus()
		if err == nil && status.Slow {
			slow++
		}
		time.Sleep(time.Second)
	}
	if slow == 0 {
		c.t.Error("the paths are not slow")
	}
}
