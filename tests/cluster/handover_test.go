package cluster

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// What happens: a leader hands over to a follower that it names, and another node leads. Operators were told
// "handed over to host-1", and went on with host-1 in mind.
//
// Why: the leader ended its session, so that the leader key vanished, and every node that saw that could campaign. Only
// nodes with a standby let the named one go first, and of these only those that had read the handover from the leader's
// stream in time. A node without a standby, as node 2 here, campaigned as soon as it saw the key vanish; whoever
// looked first led.
//
// What showed it, in the log of node 2 for a handover to host-1 (member and duration are of the log lines):
// "leader key is absent" and "campaigning" with yields=false at the same instant, and "term started" there, while host-1
// campaigned some milliseconds later. On the other nodes: "letting others campaign first" reason="handed over to another
// member".

// handoverCase is a cluster in which each handover must reach the named node.
type handoverCase struct {
	name    string
	nodes   int
	without []int          // nodes that run without a standby
	fault   fake.FaultFunc // of requests, during the handovers
}

var handoverCases = []handoverCase{
	{"three nodes, one without a standby", 3, []int{2}, nil},
	{"five nodes, one without a standby", 5, []int{2}, nil},
	{"five nodes, three without a standby", 5, []int{2, 3, 4}, nil},
	{"five nodes with standbys", 5, nil, nil},
	{"three nodes, slow state service", 3, []int{2}, slowStateService},
	{"five nodes, slow state service", 5, []int{2, 4}, slowStateService},
}

// slowStateService has each request to the state service, and its response, take 0.3 s.
func slowStateService(_ string, r *http.Request) fake.Fault {
	if isStateRequest(r) {
		return fake.HighLatency
	}
	return fake.NoFault
}

// handoverMoments is how many handovers a case makes, each at another moment of the others' looks at the state
// service, and momentStep is between two of these moments.
const (
	handoverMoments = 24
	momentStep      = 47 * time.Millisecond
)

// newHandoverCluster starts a cluster some of whose nodes have no standby, none of which leads, with a job.
func newHandoverCluster(t *testing.T, nodes int, without []int) *cluster {
	c := newStandbyCluster(t, nodes, noTuning, testStandby())
	c.nodesWithoutFeatures = map[int]bool{}
	for _, i := range without {
		c.nodesWithoutFeatures[i] = true
		c.restartNodes(i)
	}
	c.submit("j-000001", 30)
	c.leadWithStandby()
	return c
}

// leadWithStandby waits until a node with a standby leads, and ends the terms of others.
func (c *cluster) leadWithStandby() {
	c.t.Helper()
	for c.nodesWithoutFeatures[c.leader()] {
		leader, token := c.leader(), c.fencingToken()
		c.kill(leader)
		c.awaitLeaderAfter(token)
		c.start(leader)
	}
}

// awaitFollowers waits until a node with a standby leads, all others with one follow it closely, and all know who leads.
func (c *cluster) awaitFollowers() {
	c.t.Helper()
	for range 200 {
		c.leadWithStandby()
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
		c.t.Logf("%s: %s leads as known here; %+v, follows %+v (%v)", memberName(i), n.LeaderMember(), status, status.Progress, err)
	}
	c.t.Fatal("the followers are not ready")
}

// TestHandoverToNamedNode hands over again and again: each time the named node must lead next, also where other nodes run
// without a standby and know of no handover, at whatever moment they look at the leader key.
func TestHandoverToNamedNode(t *testing.T) {
	for _, tc := range handoverCases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newHandoverCluster(t, tc.nodes, tc.without)
				defer c.close()
				wrong := 0
				for moment := range handoverMoments {
					c.leadWithStandby()
					c.awaitFollowers()
					time.Sleep(2*time.Second + time.Duration(moment)*momentStep)
					c.setFault(tc.fault)
					token := c.fencingToken()
					to, err := c.nodes[c.leader()].HandOver()
					if err != nil || to == "" {
						t.Fatalf("handed over to %q: %v", to, err)
					}
					c.awaitLeaderAfter(token)
					if leader := memberName(c.leader()); leader != to {
						wrong++
						t.Logf("handover %d: %s leads, %s was named", moment, leader, to)
					}
					c.setFault(nil)
				}
				if wrong > 0 {
					t.Errorf("after %d of %d handovers another node than the named one leads", wrong, handoverMoments)
				}
				c.awaitStatus("j-000001", wire.JobDone, time.Minute)
				c.checkRules()
			})
		})
	}
}
