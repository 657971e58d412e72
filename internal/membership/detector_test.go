package membership

import (
	"fmt"
	"slices"
	"testing"
)

// scenarios lists faults, and the states that the detectors must or must not assign. Each runs with three and with
// five nodes.
var scenarios = []struct {
	name              string
	withoutHeartbeats []int // nodes of a version without heartbeats
	steps             []scenarioStep
}{
	{"no fault", nil, []scenarioStep{advanceTime(600), expectNeverEntered(Suspected, -1)}},
	{"all paths slow and jittering, for ten hours", nil, []scenarioStep{jitterPaths(-1), advanceTime(36_000), expectNeverEntered(Failed, -1), expectAllAlive}},
	{"one node's paths slow and jittering, for ten hours", nil, []scenarioStep{jitterPaths(1), advanceTime(36_000), expectNeverEntered(Suspected, -1)}},
	{"a crash", nil, []scenarioStep{advanceTime(5), stopNodes(1), expectFailedWithin(1), expectCondition(allConfirmedByOthers, "a node declared node 1 failed without confirmations, want at least one confirmation")}},
	{"a crash of the leader", nil, []scenarioStep{stopNodes(0), expectFailedWithin(0)}},
	{"a crash while all paths are slow", nil, []scenarioStep{jitterPaths(-1), advanceTime(60), stopNodes(1), expectFailedWithin(1), expectNeverEntered(Failed, 2)}},
	{"a crash while the state service is down", nil, []scenarioStep{func(c *scenarioRun) { c.stateServiceDown = true }, advanceTime(20), stopNodes(1), expectFailedWithin(1), expectNeverEntered(Failed, 2)}},
	{"a crash seen by a slow node", nil, []scenarioStep{stopNodes(1), advanceTime(2), pauseNode(2, 4), advanceTime(20), expectNeverEntered(Failed, 2),
		expectCondition(slowNodeDeclaresFailureLater, "slow node 2 did not declare node 1 failed, or did so before the timeout of a slow node, or does not know that it is slow")}},
	{"a late response of a failed node", nil, []scenarioStep{stopNodes(1), expectFailedWithin(1, 0), sendLateAck,
		expectCondition(func(c *scenarioRun) bool { return c.state(0, 1).State == Failed }, "node 1 is no longer failed after a response to a heartbeat that was sent before the transition")}},
	{"a late heartbeat of an earlier incarnation", nil, []scenarioStep{advanceTime(2), sendLateHeartbeat}},
	{"a failed node that becomes reachable by one node only", nil, []scenarioStep{advanceTime(2), pauseNode(1, 11), expectFailedWithin(1), cutPaths(pathBetween(1, 2, false)), expectAllAlive}},
	{"a path cut for 300 seconds", nil, []scenarioStep{cutPaths(pathBetween(1, 2, false)), advanceTime(300), expectNeverEntered(Suspected, -1),
		expectCondition(func(c *scenarioRun) bool { return c.state(1, 2).HeardThrough != "" }, "node 1 names no member that receives messages from node 2")}},
	{"a path cut one way", nil, []scenarioStep{cutPaths(pathBetween(1, 2, true)), advanceTime(300), expectNeverEntered(Suspected, -1)}},
	{"a path cut, and no third node", nil, []scenarioStep{stopNodes(2, 3, 4), advanceTime(20), cutPaths(pathBetween(0, 1, false)), advanceTime(60), expectNeverEntered(Failed, 0),
		expectCondition(func(c *scenarioRun) bool { return c.state(1, 0).FailureWithheld && c.state(0, 1).State == Failed },
			"node 1 does not withhold the failure of the leader, whose session is alive, or the leader did not declare node 1 failed"), healPaths, expectAllAlive}},
	{"an isolated node", nil, []scenarioStep{func(c *scenarioRun) { c.nodes[1].withoutStateService = true }, cutPaths(allPathsOf(1)), expectFailedWithin(1), advanceTime(60),
		expectOthersNeverEntered(Failed), expectCondition(detectsOwnIsolation, "node 1 does not know that it is isolated"),
		func(c *scenarioRun) { c.nodes[1].withoutStateService = false }, healPaths, expectAllAlive}},
	{"all nodes but one crash", nil, []scenarioStep{stopNodes(0, 1, 3, 4), expectFailedWithin(0, 2),
		expectCondition(func(c *scenarioRun) bool { return len(c.transitionsTo(0, Failed, -1)) == len(c.nodes)-1 }, "node 2 did not declare all other nodes failed")}},
	{"a pause of a second", nil, pauseScenario(1, false, false)},
	{"a pause of three seconds", nil, pauseScenario(3, true, false)},
	{"a pause of ten seconds", nil, pauseScenario(10, true, true)},
	{"a pause of a minute", nil, pauseScenario(60, true, true)},
	{"restarts within a fraction of a second", nil, []scenarioStep{restartRepeatedly, expectNeverEntered(Suspected, -1), expectAllAlive,
		expectCondition(func(c *scenarioRun) bool { return c.observed[0].Reason == ReasonRestarted }, "the first transition is not a restart")}},
	{"a failed node restarts with its clock set back", nil, []scenarioStep{advanceTime(2), stopNodes(1), expectFailedWithin(1),
		func(c *scenarioRun) { c.start(1, 7, false) }, advanceTime(60), expectAllAlive, expectCondition(node0KnowsIncarnation, "node 0 does not know the current incarnation of node 1")}},
	{"a node leaves and starts again", nil, []scenarioStep{advanceTime(2), leaveNode(1), advanceTime(1), stopNodes(1), advanceTime(120), expectNeverEntered(Suspected, -1),
		expectCondition(func(c *scenarioRun) bool { return c.state(0, 1).State == Left }, "node 0 does not have node 1 in state left"), startNode(1, false), expectAllAlive}},
	{"a node leaves while another cannot reach it", nil, []scenarioStep{advanceTime(2), cutPaths(pathBetween(1, 2, false)), leaveNode(1), advanceTime(1), stopNodes(1), advanceTime(60), expectNeverEntered(Suspected, -1)}},
	{"a node of a version without heartbeats", []int{1}, []scenarioStep{advanceTime(60), expectNeverEntered(Suspected, -1), stopNodes(1), expectFailedWithin(1), startNode(1, true), expectAllAlive}},
	{"all other nodes of a version without heartbeats", []int{0, 2, 3, 4}, []scenarioStep{advanceTime(60), expectNeverEntered(Suspected, -1), stopNodes(2), expectFailedWithin(2, 1)}},
}

// TestDetectorScenarios guards against live members that are suspected or declared failed, and against failures that
// are detected late or not at all.
func TestDetectorScenarios(t *testing.T) {
	for _, size := range []int{3, 5} {
		for _, scenario := range scenarios {
			t.Run(fmt.Sprintf("%s, %d nodes", scenario.name, size), func(t *testing.T) {
				t.Parallel()
				withoutHeartbeats := slices.DeleteFunc(slices.Clone(scenario.withoutHeartbeats), func(i int) bool { return i >= size })
				c := &scenarioRun{newSimulation(size, uint64(size), withoutHeartbeats...), t}
				for _, next := range scenario.steps {
					next(c)
				}
			})
		}
	}
}
