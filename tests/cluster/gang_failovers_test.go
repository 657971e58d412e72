package cluster

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// gangFailoverCases lists the cases of TestGangFaults with a failover.
func gangFailoverCases() []gangFaultCase {
	return []gangFaultCase{
		{name: "failover while the gang waits", job: wideGang(), imagePullS: 4,
			inject: failOverWhileGangWaits, fullRuns: 1, timeout: 60 * time.Second},
		{name: "failover while the gang waits for a machine that is lost", job: wideGang(), imagePullS: 4,
			inject: failOverWhileGangWaitsForLostMachine, fullRuns: 1, timeout: 80 * time.Second},
		{name: "failover while the gang runs", job: wideGang(),
			inject: failOverWhileGangRuns, fullRuns: 1, timeout: 60 * time.Second},
		{name: "failover while the gang runs, and a machine is interrupted", job: wideGang(),
			inject: failOverAsGangIsInterrupted, fullRuns: 2, timeout: 90 * time.Second},
		{name: "failover while the gang is stopped", job: wideGang(),
			inject: failOverWhileGangIsStopped, fullRuns: 2, timeout: 90 * time.Second},
		{name: "failover when only some start commands were delivered", job: wideGang(),
			inject: failOverBetweenGangStarts, fullRuns: 1, timeout: 80 * time.Second},
		{name: "failover when the result is lost with its machine before it is stored", job: gangJob(testGang, 4, 1, nil), imagePullS: 2,
			inject: failOverWithLostGangResult, fullRuns: 1, timeout: 100 * time.Second},
		{name: "failover after one heartbeat has shown that the gang is done", job: wideGang(),
			inject: failOverAfterOneGangResult, fullRuns: 1, timeout: 60 * time.Second},
	}
}

// failOverWhileGangWaits restarts the leader while two tasks wait for a machine that hangs. The gang must start in
// time, and only once, under the next leader.
func failOverWhileGangWaits(c *cluster) {
	c.awaitGangPulling(testGang)
	c.cloud.WorkersOf(testGang)[0].Hang(6 * time.Second)
	c.awaitGangWaiting(testGang)
	c.restartNodes(c.leader())
}

// failOverWhileGangWaitsForLostMachine restarts the leader when the cloud terminates the machine for whose task the
// other tasks wait. The next leader must start that task elsewhere.
func failOverWhileGangWaitsForLostMachine(c *cluster) {
	c.awaitGangPulling(testGang)
	hungWorker := c.cloud.WorkersOf(testGang)[0]
	hungWorker.Hang(20 * time.Second)
	c.awaitGangWaiting(testGang)
	hungWorker.Interrupt(0)
	c.restartNodes(c.leader())
}

// failOverWhileGangRuns restarts the leader while a gang runs. The gang must continue without interruption.
func failOverWhileGangRuns(c *cluster) {
	c.awaitGangRunning(testGang, 3)
	time.Sleep(3 * time.Second)
	c.restartNodes(c.leader())
}

// failOverAsGangIsInterrupted restarts the leader when the cloud terminates a machine of the running gang without
// notice. The next leader must start all tasks again.
func failOverAsGangIsInterrupted(c *cluster) {
	c.awaitGangRunning(testGang, 3)
	time.Sleep(3 * time.Second)
	c.cloud.WorkersOf(testGang)[1].Interrupt(0)
	c.restartNodes(c.leader())
}

// failOverWhileGangIsStopped restarts the leader as soon as the first task checkpoints because of an interruption
// notice. The next leader must stop the other tasks as well.
func failOverWhileGangIsStopped(c *cluster) {
	c.awaitGangRunning(testGang, 3)
	time.Sleep(8 * time.Second)
	c.cloud.WorkersOf(testGang)[2].Interrupt(12 * time.Second)
	isStopping := func() bool {
		states := c.cloud.TaskStates()
		return len(states) != 3 || slices.Contains(slices.Collect(maps.Values(states)), wire.TaskCheckpointing)
	}
	for i := 0; i < 600 && !isStopping(); i++ {
		time.Sleep(100 * time.Millisecond)
	}
	c.restartNodes(c.leader())
}

// failOverBetweenGangStarts drops all responses to one machine except the first, so that the start command for it is
// lost. It restarts the leader when the other two tasks wait. The next leader must start the missing task.
func failOverBetweenGangStarts(c *cluster) {
	machineID := ""
	c.setFault(func(from string, _ *http.Request) fake.Fault {
		// A machine has a fencing token as soon as it has received a response.
		for _, w := range c.cloud.Workers() {
			if from == w.ID && w.FencingToken() > 0 && (machineID == "" || machineID == from) {
				machineID = from
				return fake.DroppedResponse
			}
		}
		return fake.NoFault
	})
	c.awaitTaskStates(testGang, map[string]int{wire.TaskWaitingForGang: 2})
	c.restartNodes(c.leader())
}

// failOverWithLostGangResult lets a gang complete while all transactions are dropped. It then terminates the gang's
// machine and kills the leader, so that no heartbeat shows the result any more. The next leader must start the gang
// again; its tasks end immediately as done.
func failOverWithLostGangResult(c *cluster) {
	c.awaitGangRunning(testGang, 4)
	time.Sleep(18 * time.Second)
	c.setFault(func(_ string, r *http.Request) fake.Fault {
		if isStateRequest(r) && isTxn(r) {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
	machine := c.cloud.WorkersOf(testGang)[0]
	time.Sleep(4 * time.Second)
	if len(machine.Tasks()) > 0 {
		c.t.Errorf("machine %s still has tasks %v, want the gang to have completed", machine.ID, machine.Tasks())
	}
	machine.Interrupt(0)
	leader := c.leader()
	c.kill(leader)
	c.setFault(nil)
	if code, status := c.request(http.MethodGet, (leader+1)%3, "/v1/jobs/"+testGang, nil); code != http.StatusOK || status.State == wire.JobDone {
		c.t.Errorf("query answered with %d, status %q; want 200 and a status other than done, as the completion must not be stored", code, status.State)
	}
	c.start(leader)
}

// failOverAfterOneGangResult drops the heartbeats of all machines except one while the gang completes, and restarts
// the leader after it has received that machine's result. The next leader must accept the results of the other
// machines, and must not start their tasks again.
func failOverAfterOneGangResult(c *cluster) {
	c.awaitGangRunning(testGang, 3)
	time.Sleep(18 * time.Second)
	reachableID := c.cloud.WorkersOf(testGang)[0].ID
	c.setFault(func(from string, _ *http.Request) fake.Fault {
		if from != reachableID && strings.HasPrefix(from, "i-") {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
	for i := 0; i < 600 && len(c.cloud.TaskStates()) > 0; i++ {
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(700 * time.Millisecond)
	c.restartNodes(c.leader())
}
