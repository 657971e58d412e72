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
	cancelledJob  = "j-000001" // its cancellation is confirmed just before the outage
	backgroundJob = "j-000002" // makes the autoscaler launch machines, and keeps running during the outage
	watchEventJob = "j-000003" // its submission is a change that ends open watches
)

// cancelledTasks is the number of tasks of cancelledJob.
const cancelledTasks = 8

// outageDuration is how long the state service is unavailable to all nodes.
const outageDuration = time.Duration(1.6*cancellationTimeoutS) * time.Second

// outageRun is a run in which the state service is first unavailable only to the leader, while another node confirms the
// cancellation of a job. Then the state service is unavailable to all nodes for longer than the cancellation timeout,
// while the workers keep sending heartbeats to the old leader.
type outageRun struct {
	*cluster
	leadingNode     int                                           // leads from the beginning to the end of the outage
	confirmingNode  int                                           // confirms the cancellation
	additionalFault func(from string, r *http.Request) fake.Fault // besides that of the leader; nil: none
	refusingLeader  bool                                          // whether the state service refuses the leader's requests
	leaderRefusals  int                                           // the number of the leader's requests that were refused
}

// faultOf makes the state service unavailable to the leader once refusingLeader is set. Before that, it drops the
// leader's open watches, so that the leader polls: a watch opened before the state service becomes unavailable would
// keep waiting instead of failing.
func (o *outageRun) faultOf(from string, r *http.Request) fake.Fault {
	if isStateRequest(r) && isFromNode(from, o.leadingNode) {
		if o.refusingLeader {
			o.leaderRefusals++
			return fake.ServiceUnavailable
		}
		if isOpenWatch(r) {
			return fake.DroppedRequest
		}
	}
	if o.additionalFault != nil {
		return o.additionalFault(from, r)
	}
	return fake.NoFault
}

// setAdditionalFault sets the faults of the requests that faultOf itself does not fail.
func (o *outageRun) setAdditionalFault(fault func(from string, r *http.Request) fake.Fault) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.additionalFault = fault
}

// cancel cancels cancelledJob at a node, and fails the test unless the node confirms the cancellation.
func (o *outageRun) cancel(node int) {
	o.t.Helper()
	for range 20 {
		if code, s := o.requestCancellation(node, cancelledJob); code == http.StatusOK && s.State == wire.JobCancelled {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	o.t.Fatal("the node did not confirm the job's cancellation in 20 attempts")
}

// partitionPairs partitions the pairs of nodes for which pairs returns true, in either order, and ends all other
// partitions.
func (o *outageRun) partitionPairs(pairs func(a, b int) bool) {
	o.peerNet.SetPartition(func(from, to string) bool {
		a, b := nodeIndex(from), nodeIndex(to)
		return pairs(a, b) || pairs(b, a)
	})
}

// nodeIndex returns the index of the node with the given member name.
func nodeIndex(member string) (node int) {
	if _, err := fmt.Sscanf(member, "host-%d", &node); err != nil {
		panic(err)
	}
	return node
}

// healPairs ends all partitions between nodes.
func (o *outageRun) healPairs() { o.partitionPairs(func(int, int) bool { return false }) }

// isLeaderRefused reports whether the state service has refused a request of the leader.
func (o *outageRun) isLeaderRefused() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leaderRefusals > 0
}

// cancelledTasksOnMachines returns the tasks of cancelledJob that are on machines.
func (o *outageRun) cancelledTasksOnMachines() []string { return o.tasksWithPrefix(cancelledJob + "/") }

// prepare submits the jobs, and waits until the leader has no open watch and the tasks of cancelledJob are on machines.
// If submitLate is set, cancelledJob is submitted last, and prepare waits only for its first task.
func (o *outageRun) prepare(submitLate bool) {
	o.cloud.RuntimeOf = func(task string) float64 {
		if strings.HasPrefix(task, cancelledJob+"/") {
			return 300
		}
		return 7
	}
	o.submit(backgroundJob, 30)
	if !submitLate {
		o.submit(cancelledJob, cancelledTasks)
	}
	time.Sleep(20 * time.Second) // until machines are up
	o.leadingNode = o.leader()
	o.confirmingNode = (o.leadingNode + 1) % o.size
	o.setFault(o.faultOf)
	o.submit(watchEventJob, 1) // ends the watches that are open already
	time.Sleep(3 * time.Second)
	if submitLate {
		o.submit(cancelledJob, cancelledTasks)
	}
	enough := cancelledTasks
	if submitLate {
		enough = 1
	}
	for i := 0; i < 2000 && len(o.cancelledTasksOnMachines()) < enough; i++ {
		time.Sleep(20 * time.Millisecond)
	}
}

// refuseLeader makes the state service refuse the leader's requests from now on.
func (o *outageRun) refuseLeader() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refusingLeader = true
}

// recoverAll ends all faults and restarts all nodes.
func (o *outageRun) recoverAll() {
	o.setFault(nil)
	o.healPairs()
	o.state.SetOutage(false)
	for i := range o.size {
		o.kill(i)
		o.start(i)
	}
}
