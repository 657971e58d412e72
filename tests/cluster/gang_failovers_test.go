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

// gangFailoverCases lists the cases of TestGangFaults in which the leader ends.
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
		{name: "failover when only some starts were sent", job: wideGang(),
			inject: failOverBetweenGangStarts, fullRuns: 1, timeout: 80 * time.Second},
		{name: "failover when the result is lost with its machine before it is stored", job: gangJob(testGang, 4, 1, nil), imagePullS: 2,
			inject: failOverWithLostGangResult, fullRuns: 1, timeout: 100 * time.Second},
		{name: "failover when one heartbeat has shown the gang done", job: wideGang(),
			inject: failOverAfterOneGangResult, fullRuns: 1, timeout: 60 * time.Second},
	}
}

// failOverWhileGangWaits restarts the leader while two tasks wait for a machine that hangs: under the
// next leader the gang must start in time, and once.
func failOverWhileGangWaits(c *cluster) {
	c.awaitGangPulling(testGang)
	c.cloud.WorkersOf(testGang)[0].Hang(6 * time.Second)
	c.awaitGangWaiting(testGang)
	c.restartNodes(c.leader())
}

// failOverWhileGangWaitsForLostMachine restarts the leader as the cloud takes back the machine for
// which the other tasks wait: the next leader must start that task elsewhere.
func failOverWhileGangWaitsForLostMachine(c *cluster) {
	c.awaitGangPulling(testGang)
	hungWorker := c.cloud.WorkersOf(testGang)[0]
	hungWorker.Hang(20 * time.Second)
	c.awaitGangWaiting(testGang)
	hungWorker.Interrupt(0)
	c.restartNodes(c.leader())
}

// failOverWhileGangRuns restarts the leader: the gang must go on undisturbed.
func failOverWhileGangRuns(c *cluster) {
	c.awaitGangRunning(testGang, 3)
	time.Sleep(3 * time.Second)
	c.restartNodes(c.leader())
}

// failOverAsGangIsInterrupted restarts the leader as the cloud takes back a machine of the running
// gang without notice: the next leader must start all tasks again.
func failOverAsGangIsInterrupted(c *cluster) {
	c.awaitGangRunning(testGang, 3)
	time.Sleep(3 * time.Second)
	c.cloud.WorkersOf(testGang)[1].Interrupt(0)
	c.restartNodes(c.leader())
}

// failOverWhileGangIsStopped restarts the leader once the first task checkpoints for an interruption
// notice: the next leader must have the others stopped as well.
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

// failOverBetweenGangStarts drops all responses but the first to one machine, so that the start meant
// for it is lost, and restarts the leader once the other two tasks wait: the next leader must start
// the missing task.
func failOverBetweenGangStarts(c *cluster) {
	isolated := ""
	c.setFault(func(from string, _ *http.Request) fake.Fault {
		// A machine has a fencing token once it has got a response.
		for _, w := range c.cloud.Workers() {
			if from == w.ID && w.FencingToken() > 0 && (isolated == "" || isolated == from) {
				isolated = from
				return fake.DroppedResponse
			}
		}
		return fake.NoFault
	})
	c.awaitTaskStates(testGang, map[string]int{wire.TaskWaitingForGang: 2})
	c.restartNodes(c.leader())
}

// failOverWithLostGangResult has a gang complete while no transaction arrives, and takes back its
// machine and kills the leader, so that no heartbeat shows the result any more. The next leader must
// start the gang again; its tasks end at once, as done.
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
		c.t.Error("the gang has not completed")
	}
	machine.Interrupt(0)
	leader := c.leader()
	c.kill(leader)
	c.setFault(nil)
	if code, status := c.request(http.MethodGet, (leader+1)%3, "/v1/jobs/"+testGang, nil); code != http.StatusOK || status.State == wire.JobDone {
		c.t.Errorf("%d, status %s: its completion was stored", code, status.State)
	}
	c.start(leader)
}

// failOverAfterOneGangResult drops the heartbeats of all machines but one, as the gang completes,
// and restarts the leader once it has that machine's result: the next leader must take the others'
// results, and not start their tasks again.
func failOverAfterOneGangResult(c *cluster) {
	c.awaitGangRunning(testGang, 3)
	time.Sleep(18 * time.Second)
	heardID := c.cloud.WorkersOf(testGang)[0].ID
	c.setFault(func(from string, _ *http.Request) fake.Fault {
		if from != heardID && strings.HasPrefix(from, "i-") {
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
