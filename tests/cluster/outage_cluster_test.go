package cluster

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// Jobs of an outageRun.
const (
	cancelledJob = "j-000001" // its cancellation is confirmed just before the outage
	quickJob     = "j-000002" // has machines launched, and goes on in the outage
	notedJob     = "j-000003" // its submission is a change for which watches wait
)

// cancelledTasks is how many tasks cancelledJob has.
const cancelledTasks = 8

// outageDuration is how long the state service is down for all.
const outageDuration = time.Duration(1.6*cancellationTimeoutS) * time.Second

// outageRun is a run in which the state service is unavailable to the leader alone, another node
// confirms that a job is cancelled, and then the state service is down for all for longer than the
// cancellation timeout, while the workers go on sending heartbeats to the old leader.
type outageRun struct {
	*cluster
	leadingNode    int                                           // leads from the beginning, throughout the outage
	confirmingNode int                                           // confirms the cancellation
	otherFault     func(from string, r *http.Request) fake.Fault // in addition; nil: none
	refusing       bool                                          // the state service refuses the leader
	refusals       int                                           // of the leader, by the state service
}

// faultOf makes the state service unavailable to the leader. An open watch of a node to which it is
// unavailable waits, so the leader gets none from before: until then it has to poll.
func (g *outageRun) faultOf(from string, r *http.Request) fake.Fault {
	if isStateRequest(r) && isFromNode(from, g.leadingNode) {
		if g.refusing {
			g.refusals++
			return fake.ServiceUnavailable
		}
		if isOpenWatch(r) {
			return fake.DroppedRequest
		}
	}
	if g.otherFault != nil {
		return g.otherFault(from, r)
	}
	return fake.NoFault
}

// setOtherFault adds faults of other requests.
func (g *outageRun) setOtherFault(also func(from string, r *http.Request) fake.Fault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.otherFault = also
}

// cancel cancels cancelledJob at a node.
func (g *outageRun) cancel(node int) {
	g.t.Helper()
	for range 20 {
		if code, s := g.requestCancellation(node, cancelledJob); code == http.StatusOK && s.State == wire.JobCancelled {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	g.t.Fatal("the job could not be cancelled")
}

// partitionPairs partitions the pairs of nodes that match, and ends other partitions.
func (g *outageRun) partitionPairs(pairs func(a, b int) bool) {
	g.peerNet.SetPartition(func(from, to string) bool {
		a, b := memberNumber(from), memberNumber(to)
		return pairs(a, b) || pairs(b, a)
	})
}

// memberNumber returns the index of the node that a member is.
func memberNumber(member string) (node int) {
	if _, err := fmt.Sscanf(member, "host-%d", &node); err != nil {
		panic(err)
	}
	return node
}

// healPairs ends all partitions between nodes.
func (g *outageRun) healPairs() { g.partitionPairs(func(int, int) bool { return false }) }

// isLeaderRefused reports whether the state service has refused a request of the leader.
func (g *outageRun) isLeaderRefused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refusals > 0
}

// cancelledTasksOnMachines lists the tasks of cancelledJob that are on machines.
func (g *outageRun) cancelledTasksOnMachines() []string { return g.tasksOn(cancelledJob + "/") }

// prepare has the cluster run its jobs until the leader has no open watch any more, and the tasks of
// cancelledJob are on machines. A late cancelledJob is submitted last, and only some of its tasks
// are on machines then.
func (g *outageRun) prepare(late bool) {
	g.cloud.RuntimeOf = func(task string) float64 {
		if strings.HasPrefix(task, cancelledJob+"/") {
			return 300
		}
		return 7
	}
	g.submit(quickJob, 30)
	if !late {
		g.submit(cancelledJob, cancelledTasks)
	}
	time.Sleep(20 * time.Second) // until there are machines
	g.leadingNode = g.leader()
	g.confirmingNode = (g.leadingNode + 1) % g.size
	g.setFault(g.faultOf)
	g.submit(notedJob, 1) // so that open watches end
	time.Sleep(3 * time.Second)
	if late {
		g.submit(cancelledJob, cancelledTasks)
	}
	enough := cancelledTasks
	if late {
		enough = 1
	}
	for i := 0; i < 2000 && len(g.cancelledTasksOnMachines()) < enough; i++ {
		time.Sleep(20 * time.Millisecond)
	}
}

// refuseLeader has the state service refuse the leader from now on.
func (g *outageRun) refuseLeader() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusing = true
}

// recoverAll ends all faults and restarts all nodes.
func (g *outageRun) recoverAll() {
	g.setFault(nil)
	g.healPairs()
	g.state.SetOutage(false)
	for i := range g.size {
		g.kill(i)
		g.start(i)
	}
}
