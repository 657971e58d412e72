package cluster

import (
	"net/http"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// restartLeaderWhileGangStops restarts the leader twice while a gang is being stopped. The next leaders must stop all
// of the gang's tasks, and let the other gangs continue.
func restartLeaderWhileGangStops(c *cluster, events *counter) {
	for range 2 {
		before := c.fencingToken()
		c.restartNodes(c.leader())
		c.awaitLeaderAfter(before)
		events.add(eventLeaderChange)
		c.awaitCheckpointing(stoppingGang, events)
	}
}

// restartNewLeadersAtOnce kills the leader, and restarts the next one as soon as it holds the leader key, four times.
// Four terms in a row begin without what earlier terms learned about the machines.
func restartNewLeadersAtOnce(c *cluster, events *counter) {
	c.awaitCheckpointing(stoppingGang, events)
	for range 4 {
		before := c.fencingToken()
		leader := c.leader()
		c.kill(leader)
		// The next leader is restarted as soon as it holds the leader key, before it knows the machines.
		c.awaitLeaderAfter(before)
		next := c.leader()
		events.add(eventElectionInterrupted)
		c.restartNodes(next)
		c.start(leader)
		time.Sleep(700 * time.Millisecond)
	}
}

// restartNodesInTurn restarts the three nodes in turn, three times each, so that no node leads for long. Tasks must
// still be on machines after at least one restart.
func restartNodesInTurn(c *cluster, events *counter) {
	for n := range 9 {
		c.restartNodes(n % 3)
		time.Sleep(400 * time.Millisecond)
		if len(c.cloud.TasksOnMachines()) > 0 {
			events.add(eventRestartWithTasks)
		}
	}
}

// blockStateWhileGangStops makes the state service unavailable to the leader that is stopping a gang, until 5 s after
// another node leads. The new leader must complete the stop.
func blockStateWhileGangStops(c *cluster, events *counter) {
	c.awaitCheckpointing(stoppingGang, events)
	first, before := c.leader(), c.fencingToken()
	unavailable := stateUnavailableTo(first)
	c.setFault(func(from string, r *http.Request) fake.Fault {
		fault := unavailable(from, r)
		if fault != fake.NoFault {
			events.add(eventStateUnavailable)
		}
		return fault
	})
	c.awaitLeaderAfter(before)
	events.add(eventLeaderChange)
	time.Sleep(5 * time.Second)
}

// blockStateAndDelayCommands makes the state service unavailable to the leader and delays its commands, so that stop
// commands from its term arrive when another node leads.
func blockStateAndDelayCommands(c *cluster, events *counter) {
	first := c.leader()
	c.setFault(func(from string, r *http.Request) fake.Fault {
		switch {
		case isFromNode(from, first) && isStateRequest(r):
			events.add(eventStateUnavailable)
			return fake.ServiceUnavailable
		case isFromNode(from, first) && isCommand(r):
			events.add(eventCommandDelayed)
			return fake.DelayedRequest
		}
		return fake.NoFault
	})
	time.Sleep(12 * time.Second)
}

// duplicateHeartbeatsOfGangs delivers a late duplicate of every heartbeat while the leader restarts four times. A
// duplicate that shows an older state of a gang must have no effect.
func duplicateHeartbeatsOfGangs(c *cluster, events *counter) {
	c.setFault(func(_ string, r *http.Request) fake.Fault {
		if isHeartbeat(r) {
			events.add(eventHeartbeatDuplicated)
			return fake.DuplicatedRequest
		}
		return fake.NoFault
	})
	for range 4 {
		c.awaitCheckpointing(stoppingGang, events)
		c.restartNodes(c.leader())
		time.Sleep(time.Duration(leaseDurationS) * time.Second)
	}
}

// delayHeartbeatsToNextLeader delays all heartbeats of machines from shortly before a restart of the leader until the
// next one leads, three times. The heartbeats arrive in a later term than the one they were sent in.
func delayHeartbeatsToNextLeader(c *cluster, events *counter) {
	c.awaitCheckpointing(stoppingGang, events)
	for range 3 {
		c.setFault(func(from string, r *http.Request) fake.Fault {
			if isHeartbeat(r) && machineOf(from) != "" {
				events.add(eventHeartbeatDelayed)
				return fake.DelayedRequest
			}
			return fake.NoFault
		})
		time.Sleep(1500 * time.Millisecond)
		before := c.fencingToken()
		c.restartNodes(c.leader())
		c.awaitLeaderAfter(before)
		c.setFault(nil)
		time.Sleep(5 * time.Second)
	}
}

// recordHeartbeats sets a fault function that records the heartbeats of machines until another one is set.
func (c *cluster) recordHeartbeats(recorder *heartbeatRecorder) {
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if machineOf(from) != "" && isHeartbeat(r) {
			recorder.record(r)
		}
		return fake.NoFault
	})
}

// replayHeartbeatsOfEarlierAttempt sends heartbeats that show a gang's earlier attempt to three leaders in a row, as
// soon as each leads, while a later attempt runs. No leader may treat them as the current state of the machines.
func replayHeartbeatsOfEarlierAttempt(c *cluster, events *counter) {
	var recorder heartbeatRecorder
	c.recordHeartbeats(&recorder)
	c.awaitCheckpointing(stoppingGang, events)
	stale := recorder.matching(func(r *wire.Heartbeat) bool { return countAttempts(r, stoppingGang) > 0 })
	c.awaitGangRunning(stoppingGang, 3) // the next attempt
	for range 3 {
		before := c.fencingToken()
		c.restartNodes(c.leader())
		c.awaitLeaderAfter(before)
		for range 10 {
			c.replayHeartbeats(stale)
			time.Sleep(100 * time.Millisecond)
		}
		if len(stale) > 0 && len(c.taskStateCounts(stoppingGang)) > 0 {
			events.add(eventStaleReplayed)
		}
		time.Sleep(time.Duration(leaseDurationS) * time.Second)
	}
}

// replayHeartbeatsOfIsolatedGang isolates the machines on which a gang's later attempt runs, and sends the next leader
// heartbeats from before that attempt. The leader may conclude from them neither that the machines are free nor that
// the earlier attempt still runs.
func replayHeartbeatsOfIsolatedGang(c *cluster, events *counter) {
	var recorder heartbeatRecorder
	c.recordHeartbeats(&recorder)
	c.awaitCheckpointing(stoppingGang, events)
	for i := 0; c.taskStateCounts(stoppingGang)[wire.TaskCheckpointing] > 0 && i < 100; i++ {
		time.Sleep(50 * time.Millisecond)
	}
	// These heartbeats are from before and between the gang's attempts. Some show the first attempt, others show none.
	stale := recorder.matching(func(*wire.Heartbeat) bool { return true })
	c.awaitGangRunning(stoppingGang, 3) // the next attempt
	ids := map[string]bool{}
	for _, w := range c.cloud.WorkersOf(stoppingGang) {
		ids[w.ID] = true
	}
	var dropped counter
	before := c.fencingToken()
	c.setFault(isolateMachines(ids, &dropped))
	c.restartNodes(c.leader())
	c.awaitLeaderAfter(before)
	for range 50 {
		if c.replayHeartbeats(stale) > 0 && c.taskStateCounts(stoppingGang)[wire.TaskRunning] == 3 {
			events.add(eventStaleAnswered)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// delayCompletionsOfGangs delays the first three transactions that store a gang's completion, while the leader restarts
// twice. The next leaders must detect the completions again, and the late transactions must have no effect.
func delayCompletionsOfGangs(c *cluster, events *counter) {
	c.state.SetTxnFault(func(x fake.Transaction) fake.TxnFault {
		if storesCompletion(&x) && events.count(eventCompletionDelayed) < 3 {
			events.add(eventCompletionDelayed)
			return fake.TxnDelayed
		}
		return fake.TxnNoFault
	})
	for i := 0; events.count(eventCompletionDelayed) == 0 && i < 1500; i++ {
		time.Sleep(100 * time.Millisecond)
	}
	c.restartNodes(c.leader())
	time.Sleep(8 * time.Second)
	c.restartNodes(c.leader())
	c.state.SetTxnFault(nil)
}
