package cluster

import (
	"net/http"
	"time"

	"caperlatch/internal/sim/fake"
)

// restartNamedNodeAtOnce restarts the node that a handover names before it can lead. The handover must not leave the
// cluster without a leader.
func restartNamedNodeAtOnce(c *cluster) {
	to := c.handOver()
	c.restartNodes(c.indexOf(to))
}

// restartNamedNodeAsItLeads restarts the node that a handover names as soon as a new term has begun.
func restartNamedNodeAsItLeads(c *cluster) {
	token := c.fencingToken()
	to := c.handOver()
	c.awaitLeaderAfter(token)
	c.restartNodes(c.indexOf(to))
}

// crashLeaderOfNewFollowers crashes the leader 1.6 s after both followers restarted, so that the followers have only
// just built their views.
func crashLeaderOfNewFollowers(c *cluster) {
	leader := c.leader()
	c.restartNodes((leader+1)%3, (leader+2)%3)
	time.Sleep(1600 * time.Millisecond)
	c.kill(leader)
	time.Sleep(time.Second)
	c.start(leader)
}

// handOverSixTimes makes six handovers, each 0.3 s after the new term of the one before has begun.
func handOverSixTimes(c *cluster) {
	for range 6 {
		token := c.fencingToken()
		c.handOver()
		c.awaitLeaderAfter(token)
		time.Sleep(300 * time.Millisecond)
	}
}

// handOverWithoutState makes the state service unavailable to the leader, and then makes the leader hand over.
func handOverWithoutState(c *cluster) {
	c.setFault(stateUnavailableTo(c.leader()))
	c.handOver()
	time.Sleep(5 * time.Second)
	c.setFault(nil)
}

// refuseStateDuringHandover makes the state service unavailable to all nodes 0.1 s after a handover has begun.
func refuseStateDuringHandover(c *cluster) {
	time.AfterFunc(100*time.Millisecond, func() { c.setFault(stateUnavailableTo(-1)) })
	c.handOver()
	time.Sleep(10 * time.Second)
	c.setFault(nil)
}

// refuseStateToLeaderThenToAllNodes makes the state service unavailable to the leader, and 2 s later to all nodes,
// before another node can have confirmed that it leads.
func refuseStateToLeaderThenToAllNodes(c *cluster) {
	c.setFault(stateUnavailableTo(c.leader()))
	time.Sleep(2 * time.Second)
	c.setFault(stateUnavailableTo(-1))
	time.Sleep(12 * time.Second)
	c.setFault(nil)
}

// firstMachinesOf returns the IDs of the first two machines with tasks of a job.
func (c *cluster) firstMachinesOf(id string) map[string]bool {
	ids := map[string]bool{}
	for _, w := range c.cloud.WorkersOf(id)[:2] {
		ids[w.ID] = true
	}
	return ids
}

// handOverWithUnreachableMachines makes the leader hand over while two machines receive neither responses nor
// commands: their leases expire although the next leader receives their heartbeats.
func handOverWithUnreachableMachines(c *cluster) {
	c.setFault(dropResponsesTo(c.firstMachinesOf(standbyArray)))
	c.handOver()
	time.Sleep(20 * time.Second)
	c.setFault(nil)
}

// handOverWithIsolatedMachines makes the leader hand over while two machines are isolated. The next leader may rely on
// what its standby recorded about them only until their leases expire.
func handOverWithIsolatedMachines(c *cluster) {
	var dropped counter
	c.setFault(isolateMachines(c.firstMachinesOf(standbyArray), &dropped))
	c.handOver()
	time.Sleep(20 * time.Second)
	c.setFault(nil)
}

// handOverWithStartsInFlight drops the responses to heartbeats from before a handover until after it, while tasks are
// to be started. The next leader must know which start commands may have been sent.
func handOverWithStartsInFlight(c *cluster) {
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if machineOf(from) != "" && isHeartbeat(r) {
			return fake.DroppedResponse
		}
		return fake.NoFault
	})
	c.submit("j-000007", 8)
	time.Sleep(700 * time.Millisecond)
	c.handOver()
	time.Sleep(2 * time.Second)
	c.setFault(nil)
}

// crashAllNodesButOneFollower crashes four of five nodes, the leader last, for 15 s. The remaining node must lead.
func crashAllNodesButOneFollower(c *cluster) {
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
}

// restartLeaderWithoutStandby restarts a leader that runs without a standby and so publishes no log: its successor has
// a standby, but no view.
func restartLeaderWithoutStandby(c *cluster) {
	c.makeLeader(0)
	c.restartNodes(0)
}

// handOverToNodesWithoutStandby makes the leader hand over to nodes that keep no view.
func handOverToNodesWithoutStandby(c *cluster) {
	c.makeLeader(0)
	c.handOver()
}

// handOverUnderPartition makes the leader hand over while it is partitioned from all other nodes.
func handOverUnderPartition(c *cluster) {
	c.isolateFromPeers(c.leader())
	c.handOver()
	time.Sleep(5 * time.Second)
	c.healPartitions()
}
