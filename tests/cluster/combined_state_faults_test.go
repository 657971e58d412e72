package cluster

import (
	"net/http"
	"time"

	"caperlatch/internal/sim/fake"
)

// This file holds the cases of TestCombinedFaults with faults of the state service, of the cloud, and of the messages
// between nodes and these services.

// dropTxnResponsesAcrossFailovers drops every second response to a transaction while the leader restarts four times.
// Tasks that are done before a failover must count as done after it, because progress is stored before the results are
// cleared.
func dropTxnResponsesAcrossFailovers(c *cluster, cancel func()) {
	c.setFault(everyNthRequest(2, fake.DroppedResponse, isTxn))
	for range 4 {
		time.Sleep(6 * time.Second)
		c.restartNodes(c.leader())
	}
	cancel()
	time.Sleep(5 * time.Second)
}

// blockStateForLeaderThenForAll makes the state service unavailable to the leader and, shortly after users have begun
// to cancel jobs, to all nodes. The cancelled tasks must be stopped in time although the leader may not have read the
// cancellations.
func blockStateForLeaderThenForAll(c *cluster, cancel func()) {
	time.Sleep(8 * time.Second)
	c.setFault(stateUnavailableTo(c.leader()))
	time.Sleep(5 * time.Second)
	cancel()
	time.Sleep(2 * time.Second)
	c.setFault(stateUnavailableTo(-1))
	time.Sleep(time.Duration(cancellationTimeoutS+10) * time.Second)
}

// startOutageAfterCancellation starts an outage of the state service 1 s after users begin to cancel jobs. The
// cancelled tasks must stop in time, based on the messages that the nodes exchange.
func startOutageAfterCancellation(c *cluster, cancel func()) {
	time.Sleep(8 * time.Second)
	cancel()
	time.Sleep(time.Second)
	c.state.SetOutage(true)
	time.Sleep(time.Duration(cancellationTimeoutS+10) * time.Second)
	c.state.SetOutage(false)
}

// dropStateResponsesDuringCancellation drops every third response of the state service while users cancel jobs. A
// cancellation may be stored although no node has received the response.
func dropStateResponsesDuringCancellation(c *cluster, cancel func()) {
	time.Sleep(6 * time.Second)
	c.setFault(everyNthRequest(3, fake.DroppedResponse, isStateRequest))
	cancel()
	time.Sleep(40 * time.Second)
}

// slowStateDuringCancellation delays all messages to and from the state service while users cancel jobs and the leader
// restarts. A job status returned to one user may not be older than a status already returned to another user.
func slowStateDuringCancellation(c *cluster, cancel func()) {
	c.setFault(everyNthRequest(1, fake.HighLatency, isStateRequest))
	time.Sleep(12 * time.Second)
	cancel()
	time.Sleep(20 * time.Second)
	c.restartNodes(c.leader())
	time.Sleep(10 * time.Second)
}

// partitionLeaderFromStateAndPeers partitions the leader from the state service and the other nodes; only workers and
// users can still reach it. The old leader must neither renew leases nor start tasks once another node may lead.
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

// failOverWithDelayedLaunches delays every second launch or termination of machines, and restarts the leader. The next
// leader must know the machines of launches that are executed late.
func failOverWithDelayedLaunches(c *cluster, cancel func()) {
	c.setFault(everyNthRequest(2, fake.DelayedRequest, func(r *http.Request) bool {
		return r.URL.Host == "cloud" && r.Method == http.MethodPost
	}))
	time.Sleep(12 * time.Second)
	cancel()
	c.restartNodes(c.leader())
	time.Sleep(30 * time.Second)
}

// restartLeaderElevenTimes restarts the leader every 9 s, eleven times. Two of the restarts and the cancellations occur
// during an outage of the state service. At least nine failovers must have occurred.
func restartLeaderElevenTimes(c *cluster, cancel func()) {
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
		c.t.Errorf("%d failovers, want at least 9", n)
	}
}
