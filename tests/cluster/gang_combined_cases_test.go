package cluster

import (
	"net/http"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// restartLeaderBesideGangs restarts the leader twice, while a gang is being stopped: the next leaders
// must have all of its tasks stopped, and let the other gangs go on.
func restartLeaderBesideGangs(c *cluster, noted *counter) {
	for range 2 {
		before := c.fencingToken()
		c.restartNodes(c.leader())
		c.awaitLeaderAfter(before)
		noted.add(notedLeaderChange)
		c.awaitCheckpointing(stoppingGang, noted)
	}
}

// restartNextLeadersBesideGangs kills the leader, and restarts the next one as soon as it holds the
// leader key: four terms in a row begin without what the term before has learnt of the machines.
func restartNextLeadersBesideGangs(c *cluster, noted *counter) {
	c.awaitCheckpointing(stoppingGang, noted)
	for range 4 {
		before := c.fencingToken()
		leader := c.leader()
		c.kill(leader)
		// The next one ends as soon as it holds the leader key, before it knows the machines.
		c.awaitLeaderAfter(before)
		next := c.leader()
		noted.add(notedElection)
		c.restartNodes(next)
		c.start(leader)
		time.Sleep(700 * time.Millisecond)
	}
}

// restartAllNodesBesideGangs restarts the three nodes in turn, three times each, so that no node
// leads for long. Tasks must still be on machines meanwhile.
func restartAllNodesBesideGangs(c *cluster, noted *counter) {
	for n := range 9 {
		c.restartNodes(n % 3)
		time.Sleep(400 * time.Millisecond)
		if len(c.cloud.TasksOnMachines()) > 0 {
			noted.add(notedRestart)
		}
	}
}

// refuseStateWhileGangIsStopped makes the state service unavailable to the leader that stops a gang,
// until another node leads: that one must complete the stop.
func refuseStateWhileGangIsStopped(c *cluster, noted *counter) {
	c.awaitCheckpointing(stoppingGang, noted)
	first, before := c.leader(), c.fencingToken()
	refusal := stateUnavailableTo(first)
	c.setFault(func(from string, r *http.Request) fake.Fault {
		fault := refusal(from, r)
		if fault != fake.NoFault {
			noted.add(notedUnavailable)
		}
		return fault
	})
	c.awaitLeaderAfter(before)
	noted.add(notedLeaderChange)
	time.Sleep(5 * time.Second)
}

// refuseStateAndDelayCommands makes the state service unavailable to the leader and delays its
// commands, so that stops of its term arrive when another node leads.
func refuseStateAndDelayCommands(c *cluster, noted *counter) {
	first := c.leader()
	c.setFault(func(from string, r *http.Request) fake.Fault {
		switch {
		case isFromNode(from, first) && isStateRequest(r):
			noted.add(notedUnavailable)
			return fake.ServiceUnavailable
		case isFromNode(from, first) && isCommand(r):
			noted.add(notedDelayedCommand)
			return fake.DelayedRequest
		}
		return fake.NoFault
	})
	time.Sleep(12 * time.Second)
}

// duplicateHeartbeatsOfGangs has a late duplicate of every heartbeat while the leader restarts four
// times. A duplicate that shows an older state of a gang may change nothing.
func duplicateHeartbeatsOfGangs(c *cluster, noted *counter) {
	c.setFault(func(_ string, r *http.Request) fake.Fault {
		if isHeartbeat(r) {
			noted.add(notedDuplicate)
			return fake.DuplicatedRequest
		}
		return fake.NoFault
	})
	for range 4 {
		c.awaitCheckpointing(stoppingGang, noted)
		c.restartNodes(c.leader())
		time.Sleep(time.Duration(leaseDurationS) * time.Second)
	}
}

// delayHeartbeatsToNextLeader delays all heartbeats of machines from shortly before a restart of the
// leader until the next one leads, three times: they arrive in terms after the one they were sent in.
func delayHeartbeatsToNextLeader(c *cluster, noted *counter) {
	c.awaitCheckpointing(stoppingGang, noted)
	for range 3 {
		c.setFault(func(from string, r *http.Request) fake.Fault {
			if isHeartbeat(r) && machineOf(from) != "" {
				noted.add(notedDelayedHeartbeat)
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

// recordHeartbeats has the heartbeats of machines recorded from now on, until another fault is set.
func (c *cluster) recordHeartbeats(recorder *heartbeatRecorder) {
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if machineOf(from) != "" && isHeartbeat(r) {
			recorder.record(r)
		}
		return fake.NoFault
	})
}

// replayHeartbeatsOfEarlierAttempt sends heartbeats that show a gang's earlier attempt to three
// leaders in a row, as soon as each leads, while a later attempt runs: none may take them for the
// state of the machines.
func replayHeartbeatsOfEarlierAttempt(c *cluster, noted *counter) {
	var recorder heartbeatRecorder
	c.recordHeartbeats(&recorder)
	c.awaitCheckpointing(stoppingGang, noted)
	stale := recorder.matching(func(r *wire.Heartbeat) bool { return attemptsOf(r, stoppingGang) > 0 })
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
			noted.add(notedStale)
		}
		time.Sleep(time.Duration(leaseDurationS) * time.Second)
	}
}

// replayHeartbeatsOfIsolatedGang isolates the machines on which a gang's later attempt runs, and
// sends the next leader heartbeats from before that attempt. They may not prove that the machines
// are free, nor that the earlier attempt runs.
func replayHeartbeatsOfIsolatedGang(c *cluster, noted *counter) {
	var recorder heartbeatRecorder
	c.recordHeartbeats(&recorder)
	c.awaitCheckpointing(stoppingGang, noted)
	for i := 0; c.taskStateCounts(stoppingGang)[wire.TaskCheckpointing] > 0 && i < 100; i++ {
		time.Sleep(50 * time.Millisecond)
	}
	// From before and between its attempts; some show the first, some none.
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
			noted.add(notedStaleAnswered)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// delayCompletionsOfGangs delays the first three transactions that store a gang's completion, while
// the leader restarts twice. The next leaders must find the completions anew, and the late
// transactions change nothing.
func delayCompletionsOfGangs(c *cluster, noted *counter) {
	c.state.SetTxnFault(func(x fake.Transaction) fake.TxnFault {
		if storesCompletion(&x) && noted.count(notedCompletion) < 3 {
			noted.add(notedCompletion)
			return fake.TxnDelayed
		}
		return fake.TxnNoFault
	})
	for i := 0; noted.count(notedCompletion) == 0 && i < 1500; i++ {
		time.Sleep(100 * time.Millisecond)
	}
	c.restartNodes(c.leader())
	time.Sleep(8 * time.Second)
	c.restartNodes(c.leader())
	c.state.SetTxnFault(nil)
}
