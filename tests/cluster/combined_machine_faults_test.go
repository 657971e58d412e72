package cluster

import (
	"fmt"
	"net/http"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// This file holds the cases of TestCombinedFaults with faults of machines, faults of the messages between machines and
// nodes, and crashes of nodes.

// failOverWithIsolatedMachines crashes the leader while all messages to and from half of the machines are dropped. The
// tasks of these machines may not start elsewhere until they are known to have ended.
func failOverWithIsolatedMachines(c *cluster, cancel func()) {
	time.Sleep(8 * time.Second)
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if hasEvenMachineID(from) || hasEvenMachineID(r.URL.Host) {
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

// failOverWithUnreachableMachines restarts the leader while half of the machines receive neither responses nor
// commands. Their heartbeats still arrive, but their leases expire.
func failOverWithUnreachableMachines(c *cluster, cancel func()) {
	time.Sleep(8 * time.Second)
	c.setFault(func(from string, r *http.Request) fake.Fault {
		switch {
		case hasEvenMachineID(from) && isHeartbeat(r):
			return fake.DroppedResponse
		case hasEvenMachineID(r.URL.Host):
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
	c.restartNodes(c.leader())
	cancel()
	time.Sleep(20 * time.Second)
}

// duplicateHeartbeatsAcrossFailovers delivers a late duplicate of every heartbeat while the leader restarts three
// times. The leader must recognize the duplicates as stale by their sequence and incarnation.
func duplicateHeartbeatsAcrossFailovers(c *cluster, cancel func()) {
	c.setFault(everyNthRequest(1, fake.DuplicatedRequest, isHeartbeat))
	time.Sleep(8 * time.Second)
	cancel()
	for range 3 {
		c.restartNodes(c.leader())
		time.Sleep(9 * time.Second)
	}
}

// failOverToStaleHeartbeats isolates half of the machines, and the cloud, and restarts the leader. From these machines,
// only duplicates of earlier heartbeats reach the next leader, which may not treat them as the machines' current state.
func failOverToStaleHeartbeats(c *cluster, cancel func()) {
	c.setFault(everyNthRequest(1, fake.DuplicatedRequest, isHeartbeat))
	time.Sleep(7 * time.Second)
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if hasEvenMachineID(from) || hasEvenMachineID(r.URL.Host) || r.URL.Host == "cloud" {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
	c.restartNodes(c.leader())
	time.Sleep(20 * time.Second)
	cancel()
}

// failOverWithDelayedHeartbeats delays every third heartbeat while the leader restarts, so that heartbeats sent in one
// term arrive in the next.
func failOverWithDelayedHeartbeats(c *cluster, cancel func()) {
	c.setFault(everyNthRequest(3, fake.DelayedRequest, isHeartbeat))
	time.Sleep(10 * time.Second)
	cancel()
	c.restartNodes(c.leader())
	time.Sleep(20 * time.Second)
}

// failOverWithDelayedCommands delays all commands, restarts the leader, then drops the responses to commands and
// restarts the leader again. A late command may stop neither a later attempt nor an attempt on a later incarnation.
func failOverWithDelayedCommands(c *cluster, cancel func()) {
	c.setFault(everyNthRequest(1, fake.DelayedRequest, isCommand))
	time.Sleep(8 * time.Second)
	cancel()
	c.restartNodes(c.leader())
	time.Sleep(4 * time.Second)
	c.setFault(everyNthRequest(1, fake.DroppedResponse, isCommand))
	c.restartNodes(c.leader())
	time.Sleep(15 * time.Second)
}

// restartLeadersThenCrashAll restarts three leaders in succession, crashes all nodes, and starts one node again. That
// node must lead alone with a fencing token that no earlier leader had.
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

// failOverWithHeartbeatsDropped drops the heartbeats of half of the machines while the leader restarts. Commands still
// reach these machines. The test fails unless both a dropped heartbeat and a command occurred.
func failOverWithHeartbeatsDropped(c *cluster, cancel func()) {
	time.Sleep(8 * time.Second)
	var events counter
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if hasEvenMachineID(from) {
			events.add("heartbeat")
			return fake.DroppedRequest
		}
		if hasEvenMachineID(r.URL.Host) {
			events.add("command")
		}
		return fake.NoFault
	})
	c.restartNodes(c.leader())
	cancel()
	time.Sleep(20 * time.Second)
	if events.count("heartbeat") == 0 || events.count("command") == 0 {
		c.t.Errorf("events %v, want at least one heartbeat and one command", events.counts)
	}
}

// failOverWithHangingMachines makes all machines hang for some seconds while users cancel jobs and the leader restarts.
// The commands that the machines execute when they resume may be from the previous term.
func failOverWithHangingMachines(c *cluster, cancel func()) {
	time.Sleep(8 * time.Second)
	tasks := 0
	for _, w := range c.cloud.Workers() {
		w.Hang(time.Duration(3+len(w.Tasks())) * time.Second)
		tasks += len(w.Tasks())
	}
	cancel()
	time.Sleep(time.Second)
	c.restartNodes(c.leader())
	time.Sleep(15 * time.Second)
	if tasks == 0 {
		c.t.Error("no task was on a machine when the machines hung")
	}
}

// stopAllNodesLongerThanLease crashes all nodes for longer than a lease. Afterwards no task may be left on a machine,
// and all jobs must run again once the nodes have started.
func stopAllNodesLongerThanLease(c *cluster, cancel func()) {
	time.Sleep(8 * time.Second)
	before := len(c.cloud.TasksOnMachines())
	for i := range 3 {
		c.kill(i)
	}
	time.Sleep(time.Duration(leaseDurationS+3) * time.Second)
	if left := len(c.cloud.TasksOnMachines()); before == 0 || left > 0 {
		c.t.Errorf("%d tasks on machines before all nodes crashed, want at least 1; %d after all nodes were down for longer than a lease, want none", before, left)
	}
	for i := range 3 {
		c.start(i)
	}
	// The first job is cancelled while the nodes start, the others once their tasks run again.
	c.cancelJob(cancelledJobs[0], 0)
	for try := 0; c.runningTasks(cancelledJobs[1]) == 0 || c.runningTasks(cancelledJobs[2]) == 0; try++ {
		if try == 300 {
			c.t.Errorf("%s and %s do not both run again within 30 s; tasks on machines: %v", cancelledJobs[1], cancelledJobs[2], c.cloud.TasksOnMachines())
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	cancel()
	time.Sleep(10 * time.Second)
}

// overloadWithHighLatency submits six jobs in three priorities that together exceed the capacity of a small fleet,
// while all messages except those from users have a high latency. At least half of the fleet's capacity must be in
// use, and the jobs must complete after the latency returns to normal.
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
	if onMachines, capacity := len(c.cloud.TasksOnMachines()), maxTasksPerMachine*maxMachines; onMachines < capacity/2 {
		c.t.Errorf("%d tasks on machines, want at least half of the %d that fit", onMachines, capacity)
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

// mixMessageFaultsAcrossFailovers delays transactions, duplicates heartbeats and drops responses to heartbeats, while
// the leader and another node restart four times.
func mixMessageFaultsAcrossFailovers(c *cluster, cancel func()) {
	delayed := everyNthRequest(4, fake.DelayedRequest, isTxn)
	duplicated := everyNthRequest(3, fake.DuplicatedRequest, isHeartbeat)
	dropped := everyNthRequest(5, fake.DroppedResponse, isHeartbeat)
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
