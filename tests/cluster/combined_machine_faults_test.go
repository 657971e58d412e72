package cluster

import (
	"fmt"
	"net/http"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// Cases of TestCombinedFaults about machines, the messages between them and the nodes, and nodes
// that crash.

// failOverWithIsolatedMachines crashes the leader as half of the machines lose all messages. Their
// tasks may not start elsewhere before they are known to have ended.
func failOverWithIsolatedMachines(c *cluster, cancel func()) {
	time.Sleep(8 * time.Second)
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if isEveryOtherMachine(from) || isEveryOtherMachine(r.URL.Host) {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
	leader := c.leader()
	c.kill(leader)
	cancel()
	time.Sleep(20 * time.Second)
	c.start(leader)
}

// failOverWithUnreachableMachines restarts the leader as half of the machines get neither responses
// nor commands. Their heartbeats arrive, and their leases expire all the same.
func failOverWithUnreachableMachines(c *cluster, cancel func()) {
	time.Sleep(8 * time.Second)
	c.setFault(func(from string, r *http.Request) fake.Fault {
		switch {
		case isEveryOtherMachine(from) && isHeartbeat(r):
			return fake.DroppedResponse
		case isEveryOtherMachine(r.URL.Host):
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
	c.restartNodes(c.leader())
	cancel()
	time.Sleep(20 * time.Second)
}

// duplicateHeartbeatsAcrossFailovers has a late duplicate of every heartbeat, while the leader
// restarts three times. Sequence and incarnation must show that they are stale.
func duplicateHeartbeatsAcrossFailovers(c *cluster, cancel func()) {
	c.setFault(everyNthMessage(1, fake.DuplicatedRequest, isHeartbeat))
	time.Sleep(8 * time.Second)
	cancel()
	for range 3 {
		c.restartNodes(c.leader())
		time.Sleep(9 * time.Second)
	}
}

// failOverToStaleHeartbeats isolates half of the machines, and the cloud, as the leader restarts:
// of these machines only duplicates of earlier heartbeats reach the next leader. It may not take
// them for what is on the machines now.
func failOverToStaleHeartbeats(c *cluster, cancel func()) {
	c.setFault(everyNthMessage(1, fake.DuplicatedRequest, isHeartbeat))
	time.Sleep(7 * time.Second)
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if isEveryOtherMachine(from) || isEveryOtherMachine(r.URL.Host) || r.URL.Host == "cloud" {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
	c.restartNodes(c.leader())
	time.Sleep(20 * time.Second)
	cancel()
}

// failOverWithDelayedHeartbeats delays every third heartbeat while the leader restarts: heartbeats
// sent in one term arrive in the next.
func failOverWithDelayedHeartbeats(c *cluster, cancel func()) {
	c.setFault(everyNthMessage(3, fake.DelayedRequest, isHeartbeat))
	time.Sleep(10 * time.Second)
	cancel()
	c.restartNodes(c.leader())
	time.Sleep(20 * time.Second)
}

// failOverWithDelayedCommands delays all commands in one term, and drops the responses to them in
// the next two. A late command may stop no later attempt, nor one of a later incarnation.
func failOverWithDelayedCommands(c *cluster, cancel func()) {
	c.setFault(everyNthMessage(1, fake.DelayedRequest, isCommand))
	time.Sleep(8 * time.Second)
	cancel()
	c.restartNodes(c.leader())
	time.Sleep(4 * time.Second)
	c.setFault(everyNthMessage(1, fake.DroppedResponse, isCommand))
	c.restartNodes(c.leader())
	time.Sleep(15 * time.Second)
}

// restartLeadersThenCrashAll restarts three leaders one after the other, crashes all nodes, and
// starts one that must lead alone under a token that no earlier leader had.
func restartLeadersThenCrashAll(c *cluster, cancel func()) {
	time.Sleep(7 * time.Second)
	for range 3 {
		c.restartNodes(c.leader())
		time.Sleep(1300 * time.Millisecond)
	}
	for i := range 5 {
		c.kill(i)
	}
	time.Sleep(300 * time.Millisecond)
	c.start(3)
	time.Sleep(8 * time.Second)
	cancel()
	time.Sleep(8 * time.Second)
	for _, i := range []int{0, 1, 2, 4} {
		c.start(i)
	}
}

// failOverWithCommandsAlone drops the heartbeats of half of the machines, as the leader restarts;
// commands reach them. Both must have occurred.
func failOverWithCommandsAlone(c *cluster, cancel func()) {
	time.Sleep(8 * time.Second)
	var noted counter
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if isEveryOtherMachine(from) {
			noted.add("heartbeat")
			return fake.DroppedRequest
		}
		if isEveryOtherMachine(r.URL.Host) {
			noted.add("command")
		}
		return fake.NoFault
	})
	c.restartNodes(c.leader())
	cancel()
	time.Sleep(20 * time.Second)
	if noted.count("heartbeat") == 0 || noted.count("command") == 0 {
		c.t.Errorf("noted %v", noted.counts)
	}
}

// failOverWithHangingMachines has all machines hang for some seconds, as users cancel and the leader
// restarts. What they get when they go on may be of the term before.
func failOverWithHangingMachines(c *cluster, cancel func()) {
	time.Sleep(8 * time.Second)
	ran := 0
	for _, w := range c.cloud.Workers() {
		w.Hang(time.Duration(3+len(w.Tasks())) * time.Second)
		ran += len(w.Tasks())
	}
	cancel()
	time.Sleep(time.Second)
	c.restartNodes(c.leader())
	time.Sleep(15 * time.Second)
	if ran == 0 {
		c.t.Error("no task was on the machines that hung")
	}
}

// outlastLeaseWithoutNodes crashes all nodes for longer than a lease: no task may be left on a
// machine, and all jobs must run again once the nodes do.
func outlastLeaseWithoutNodes(c *cluster, cancel func()) {
	time.Sleep(8 * time.Second)
	ran := len(c.cloud.TasksOnMachines())
	for i := range 3 {
		c.kill(i)
	}
	time.Sleep(time.Duration(leaseDurationS+3) * time.Second)
	if on := len(c.cloud.TasksOnMachines()); ran == 0 || on > 0 {
		c.t.Errorf("%d tasks ran, and %d after a lease without nodes", ran, on)
	}
	for i := range 3 {
		c.start(i)
	}
	// One is cancelled as the nodes start, the others once they run again.
	c.cancelJob(cancelledJobs[0], 0)
	for try := 0; c.runningTasks(cancelledJobs[1]) == 0 || c.runningTasks(cancelledJobs[2]) == 0; try++ {
		if try == 300 {
			c.t.Errorf("jobs to be cancelled do not run again: %v", c.cloud.TasksOnMachines())
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	cancel()
	time.Sleep(10 * time.Second)
}

// overloadWithHighLatency submits six jobs that need more room than a small fleet has, in three
// priorities, while all messages but the users' have a high latency. The fleet must be in use, and
// the jobs complete once the latency is over.
func overloadWithHighLatency(c *cluster, cancel func()) {
	maxMachines := max(5, len(c.cloud.Workers()))
	c.cloud.SetMaxMachines(maxMachines)
	time.Sleep(8 * time.Second)
	c.setFault(func(from string, _ *http.Request) fake.Fault {
		if from == "user" {
			return fake.NoFault
		}
		return fake.HighLatency
	})
	overloadJob := func(n int) string { return fmt.Sprintf("j-10000%d", n) }
	for n := range 6 {
		job := testJob(overloadJob(n), 20)
		job["rank"] = []string{"normal", "urgent", "idle"}[n%3]
		for try := 0; try < 40 && !c.trySubmit(try%3, job); try++ {
			time.Sleep(500 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second)
	if on, room := len(c.cloud.TasksOnMachines()), maxTasksPerMachine*maxMachines; on < room/2 {
		c.t.Errorf("%d tasks ran where %d have room", on, room)
	}
	cancel()
	c.restartNodes(c.leader())
	time.Sleep(20 * time.Second)
	c.setFault(nil)
	for n := range 6 {
		c.awaitStatus(overloadJob(n), wire.JobDone, 3*time.Minute)
	}
	c.cloud.SetMaxMachines(0)
}

// mixMessageFaultsAcrossFailovers delays transactions, duplicates heartbeats and drops responses to
// them, while the leader and another node restart four times.
func mixMessageFaultsAcrossFailovers(c *cluster, cancel func()) {
	delayed := everyNthMessage(4, fake.DelayedRequest, isTxn)
	duplicated := everyNthMessage(3, fake.DuplicatedRequest, isHeartbeat)
	dropped := everyNthMessage(5, fake.DroppedResponse, isHeartbeat)
	c.setFault(func(from string, r *http.Request) fake.Fault {
		return max(delayed(from, r), duplicated(from, r), dropped(from, r))
	})
	time.Sleep(8 * time.Second)
	cancel()
	for n := range 4 {
		leader := c.leader()
		c.restartNodes(leader, (leader+1+n)%5)
		time.Sleep(7 * time.Second)
	}
}
