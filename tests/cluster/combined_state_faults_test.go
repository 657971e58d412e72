package cluster

import (
	"net/http"
	"time"

	"caperlatch/internal/sim/fake"
)

// Cases of TestCombinedFaults about the state service, the cloud and the nodes' messages to them.

// dropTxnResponsesAcrossFailovers drops every second response to a transaction while the leader
// restarts four times. Tasks that are done before a failover must count after it, as their progress
// is stored before their results are cleared.
func dropTxnResponsesAcrossFailovers(c *cluster, cancel func()) {
	c.setFault(everyNthMessage(2, fake.DroppedResponse, isTxn))
	for range 4 {
		time.Sleep(6 * time.Second)
		c.restartNodes(c.leader())
	}
	cancel()
	time.Sleep(5 * time.Second)
}

// refuseStateToLeaderThenToAll makes the state service unavailable to the leader, and to all nodes
// just after users began to cancel. The cancelled tasks must be stopped in time although the leader
// may not have read the cancellations.
func refuseStateToLeaderThenToAll(c *cluster, cancel func()) {
	time.Sleep(8 * time.Second)
	c.setFault(stateUnavailableTo(c.leader()))
	time.Sleep(5 * time.Second)
	cancel()
	time.Sleep(2 * time.Second)
	c.setFault(stateUnavailableTo(-1))
	time.Sleep(time.Duration(cancellationTimeoutS+10) * time.Second)
}

// haveOutageAfterCancellation has an outage of the state service that begins as users cancel. What
// is cancelled must stop in time, by what the nodes tell each other.
func haveOutageAfterCancellation(c *cluster, cancel func()) {
	time.Sleep(8 * time.Second)
	cancel()
	time.Sleep(time.Second)
	c.state.SetOutage(true)
	time.Sleep(time.Duration(cancellationTimeoutS+10) * time.Second)
	c.state.SetOutage(false)
}

// dropStateResponsesDuringCancellation drops every third response of the state service while users
// cancel. A cancellation may have been stored although nobody knows it.
func dropStateResponsesDuringCancellation(c *cluster, cancel func()) {
	time.Sleep(6 * time.Second)
	c.setFault(everyNthMessage(3, fake.DroppedResponse, isStateRequest))
	cancel()
	time.Sleep(40 * time.Second)
}

// slowStateDuringCancellation delays all messages to and from the state service while users cancel
// and the leader restarts. No answer to a user may be older than what another user was told before.
func slowStateDuringCancellation(c *cluster, cancel func()) {
	c.setFault(everyNthMessage(1, fake.HighLatency, isStateRequest))
	time.Sleep(12 * time.Second)
	cancel()
	time.Sleep(20 * time.Second)
	c.restartNodes(c.leader())
	time.Sleep(10 * time.Second)
}

// partitionLeaderFromStateAndPeers leaves the leader with workers and users alone. It must neither
// renew leases nor start tasks once another node may lead.
func partitionLeaderFromStateAndPeers(c *cluster, cancel func()) {
	time.Sleep(8 * time.Second)
	leader := c.leader()
	c.isolateFromPeers(leader)
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if isFromNode(from, leader) && isStateRequest(r) {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
	time.Sleep(6 * time.Second)
	cancel()
	time.Sleep(40 * time.Second)
	c.healPartitions()
}

// failOverWithDelayedLaunches delays every second launch or termination of machines, and restarts
// the leader. The next one must know the machines of launches that are carried out late.
func failOverWithDelayedLaunches(c *cluster, cancel func()) {
	c.setFault(everyNthMessage(2, fake.DelayedRequest, func(r *http.Request) bool {
		return r.URL.Host == "cloud" && r.Method == http.MethodPost
	}))
	time.Sleep(12 * time.Second)
	cancel()
	c.restartNodes(c.leader())
	time.Sleep(30 * time.Second)
}

// failOverTenTimes restarts the leader every 9 s. An outage of the state service covers two of the
// restarts and the cancellations. At least nine failovers must have occurred.
func failOverTenTimes(c *cluster, cancel func()) {
	time.Sleep(6 * time.Second)
	first := c.fencingToken()
	for n := range 11 {
		switch n {
		case 4:
			c.state.SetOutage(true)
			cancel()
		case 6:
			c.state.SetOutage(false)
		}
		c.restartNodes(c.leader())
		time.Sleep(9 * time.Second)
	}
	if n := c.fencingToken() - first; n < 9 {
		c.t.Errorf("only %d failovers", n)
	}
}
