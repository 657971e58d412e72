package cluster

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// Guards against a handover after which another node than the named one leads. Operators were told "handed over to
// host-1" and then relied on host-1.
//
// The leader used to end its session, which deleted the leader key, and every node that saw this could campaign. Only
// nodes with a standby let the named node campaign first, and only if they had read the handover from the leader's log
// in time. A node without a standby, such as node 2 here, campaigned as soon as it saw that the key was absent, so
// that the node that read the key first led.
//
// The log showed the fault. For a handover to host-1, node 2 logged "leader key is absent" and "campaigning" with
// yields=false at the same time, and then "term started", while host-1 campaigned some milliseconds later. The other
// nodes logged "letting others campaign first" with reason="handed over to another member".

// handoverCase is a cluster in which the named node must lead after each handover.
type handoverCase struct {
	name           string
	nodes          int
	withoutStandby []int          // nodes that run without a standby
	fault          fake.FaultFunc // faults of requests during the handovers; nil: none
}

var handoverCases = []handoverCase{
	{"three nodes, one without a standby", 3, []int{2}, nil},
	{"five nodes, one without a standby", 5, []int{2}, nil},
	{"five nodes, three without a standby", 5, []int{2, 3, 4}, nil},
	{"five nodes with standbys", 5, nil, nil},
	{"three nodes, slow state service", 3, []int{2}, slowStateService},
	{"five nodes, slow state service", 5, []int{2, 4}, slowStateService},
}

// slowStateService is the fault that delays each request to the state service, and its response, by 0.3 s.
func slowStateService(_ string, r *http.Request) fake.Fault {
	if isStateRequest(r) {
		return fake.HighLatency
	}
	return fake.NoFault
}

// A case makes handoversPerCase handovers. Each begins handoverDelayStep later than the one before, so that they fall
// on different points in the other nodes' cycle of reads of the state service.
const (
	handoversPerCase  = 24
	handoverDelayStep = 47 * time.Millisecond
)

// newHandoverCluster starts a cluster with a job. The nodes in withoutStandby run without a standby, and another node
// leads.
func newHandoverCluster(t *testing.T, nodes int, withoutStandby []int) *cluster {
	c := newStandbyCluster(t, nodes, noTuning, testStandby())
	c.nodesWithoutFeatures = map[int]bool{}
	for _, i := range withoutStandby {
		c.nodesWithoutFeatures[i] = true
		c.restartNodes(i)
	}
	c.submit("j-000001", 30)
	c.ensureLeaderHasStandby()
	return c
}

// ensureLeaderHasStandby kills and restarts leaders until a node with a standby leads.
func (c *cluster) ensureLeaderHasStandby() {
	c.t.Helper()
	for c.nodesWithoutFeatures[c.leader()] {
		leader, token := c.leader(), c.fencingToken()
		c.kill(leader)
		c.awaitLeaderAfter(token)
		c.start(leader)
	}
}

// awaitFollowersCaughtUp waits until a node with a standby leads, all other nodes with a standby have a complete view
// without lag, and the nodes without a standby know the leader.
func (c *cluster) awaitFollowersCaughtUp() {
	c.t.Helper()
	for range 200 {
		c.ensureLeaderHasStandby()
		ready := 0
		leader := memberName(c.leader())
		for i, n := range c.nodes {
			status, err := n.StandbyStatus()
			switch {
			case c.nodesWithoutFeatures[i]:
				if n.LeaderMember() == leader {
					ready++
				}
			case err != nil:
				c.t.Fatal(err)
			case status.Leading && status.FencingToken == c.fencingToken():
				ready++
			case status.Progress != nil && status.Progress.Complete && status.Progress.LagEntries == 0 && status.Progress.FencingToken == c.fencingToken():
				ready++
			}
		}
		if ready == c.size {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	for i, n := range c.nodes {
		status, err := n.StandbyStatus()
		c.t.Logf("%s: known leader %s, status %+v, progress %+v, error %v", memberName(i), n.LeaderMember(), status, status.Progress, err)
	}
	c.t.Fatal("the followers have not caught up after 200 polls")
}

// TestHandoverToNamedNode makes repeated handovers: the named node must lead after each, also if other nodes run
// without a standby and do not know of the handover, whenever they read the leader key.
func TestHandoverToNamedNode(t *testing.T) {
	for _, tc := range handoverCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newHandoverCluster(t, tc.nodes, tc.withoutStandby)
				defer c.close()
				wrongLeaders := 0
				for n := range handoversPerCase {
					c.ensureLeaderHasStandby()
					c.awaitFollowersCaughtUp()
					time.Sleep(2*time.Second + time.Duration(n)*handoverDelayStep)
					c.setFault(tc.fault)
					token := c.fencingToken()
					to, err := c.nodes[c.leader()].HandOver()
					if err != nil || to == "" {
						t.Fatalf("handed over to %q: %v, want a named node and no error", to, err)
					}
					c.awaitLeaderAfter(token)
					if leader := memberName(c.leader()); leader != to {
						wrongLeaders++
						t.Logf("handover %d: %s leads, want %s, the named node", n, leader, to)
					}
					c.setFault(nil)
				}
				if wrongLeaders > 0 {
					t.Errorf("after %d of %d handovers another node than the named one leads", wrongLeaders, handoversPerCase)
				}
				c.awaitStatus("j-000001", wire.JobDone, time.Minute)
				c.checkRules()
			})
		})
	}
}
