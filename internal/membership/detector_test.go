package membership

import (
	"fmt"
	"slices"
	"testing"
)

// scenarios are what detectors must distinguish; each runs with three and five nodes.
var scenarios = []struct {
	name  string
	old   []int // nodes of a version without heartbeats
	steps []scenarioStep
}{
	{"no fault", nil, []scenarioStep{waitS(600), expectNever(Suspected, -1)}},
	{"all paths slow and jittering, for ten hours", nil, []scenarioStep{jitterPaths(-1), waitS(36_000), expectNever(Failed, -1), expectAlive}},
	{"one node's paths slow and jittering, for ten hours", nil, []scenarioStep{jitterPaths(1), waitS(36_000), expectNever(Suspected, -1)}},
	{"a crash", nil, []scenarioStep{waitS(5), stopNodes(1), expectFailedWithin(1), expectThat(allConfirmedByOthers, "a node took it as failed without confirmations")}},
	{"a crash of the leader", nil, []scenarioStep{stopNodes(0), expectFailedWithin(0)}},
	{"a crash while all paths are slow", nil, []scenarioStep{jitterPaths(-1), waitS(60), stopNodes(1), expectFailedWithin(1), expectNever(Failed, 2)}},
	{"a crash while the state service is down", nil, []scenarioStep{func(c *scenarioRun) { c.stateServiceDown = true }, waitS(20), stopNodes(1), expectFailedWithin(1), expectNever(Failed, 2)}},
	{"a crash seen by a slow node", nil, []scenarioStep{stopNodes(1), waitS(2), pauseNode(2, 4), waitS(20), expectNever(Failed, 2),
		expectThat(slowNodeIsLate, "the slow node did not take it as failed, or no later than others, or doesn't know that it is slow")}},
	{"a late response after it was taken as failed", nil, []scenarioStep{stopNodes(1), expectFailedWithin(1, 0), sendLateAck,
		expectThat(func(c *scenarioRun) bool { return c.state(0, 1).State == Failed }, "it counts, though it responds to what was sent before the transition")}},
	{"a late heartbeat of an earlier incarnation", nil, []scenarioStep{waitS(2), sendLateHeartbeat}},
	{"failed, and then reachable by one node alone", nil, []scenarioStep{waitS(2), pauseNode(1, 11), expectFailedWithin(1), cutPaths(pathBetween(1, 2, false)), expectAlive}},
	{"a path cut for long", nil, []scenarioStep{cutPaths(pathBetween(1, 2, false)), waitS(300), expectNever(Suspected, -1),
		expectThat(func(c *scenarioRun) bool { return c.state(1, 2).HeardThrough != "" }, "no member is named that hears from it")}},
	{"a path cut one way", nil, []scenarioStep{cutPaths(pathBetween(1, 2, true)), waitS(300), expectNever(Suspected, -1)}},
	{"a path cut, and no third node", nil, []scenarioStep{stopNodes(2, 3, 4), waitS(20), cutPaths(pathBetween(0, 1, false)), waitS(60), expectNever(Failed, 0),
		expectThat(func(c *scenarioRun) bool { return c.state(1, 0).FailureWithheld && c.state(0, 1).State == Failed },
			"a leader whose session is alive is taken as failed, or does not take as failed whom it can't reach"), healPaths, expectAlive}},
	{"an isolated node", nil, []scenarioStep{func(c *scenarioRun) { c.nodes[1].withoutStateService = true }, cutPaths(allPathsOf(1)), expectFailedWithin(1), waitS(60),
		expectNeverOthers(Failed), expectThat(knowsIsolation, "it does not know that it is isolated"),
		func(c *scenarioRun) { c.nodes[1].withoutStateService = false }, healPaths, expectAlive}},
	{"one node left", nil, []scenarioStep{stopNodes(0, 1, 3, 4), expectFailedWithin(0, 2),
		expectThat(func(c *scenarioRun) bool { return len(c.transitionsTo(0, Failed, -1)) == len(c.nodes)-1 }, "not all are taken as failed")}},
	{"a pause of a second", nil, pauseScenario(1, false, false)},
	{"a pause of three seconds", nil, pauseScenario(3, true, false)},
	{"a pause of ten seconds", nil, pauseScenario(10, true, true)},
	{"a pause of a minute", nil, pauseScenario(60, true, true)},
	{"restarts within a fraction of a second", nil, []scenarioStep{restartOften, expectNever(Suspected, -1), expectAlive,
		expectThat(func(c *scenarioRun) bool { return c.observed[0].Reason == ReasonRestarted }, "the restart is not seen")}},
	{"a restart with the clock set back, after it was taken as failed", nil, []scenarioStep{waitS(2), stopNodes(1), expectFailedWithin(1),
		func(c *scenarioRun) { c.start(1, 7, false) }, waitS(60), expectAlive, expectThat(hasKnownIncarnation, "the others know another incarnation")}},
	{"a node leaves and starts again", nil, []scenarioStep{waitS(2), leaveNode(1), waitS(1), stopNodes(1), waitS(120), expectNever(Suspected, -1),
		expectThat(func(c *scenarioRun) bool { return c.state(0, 1).State == Left }, "it is not taken as left"), startNode(1, false), expectAlive}},
	{"a node leaves while another cannot reach it", nil, []scenarioStep{waitS(2), cutPaths(pathBetween(1, 2, false)), leaveNode(1), waitS(1), stopNodes(1), waitS(60), expectNever(Suspected, -1)}},
	{"a node of a version without heartbeats", []int{1}, []scenarioStep{waitS(60), expectNever(Suspected, -1), stopNodes(1), expectFailedWithin(1), startNode(1, true), expectAlive}},
	{"the others of a version without heartbeats", []int{0, 2, 3, 4}, []scenarioStep{waitS(60), expectNever(Suspected, -1), stopNodes(2), expectFailedWithin(2, 1)}},
}

// TestScenarios runs all scenarios.
func TestScenarios(t *testing.T) {
	for _, size := range []int{3, 5} {
		for _, scenario := range scenarios {
			t.Run(fmt.Sprintf("%s, %d nodes", scenario.name, size), func(t *testing.T) {
				t.Parallel()
				old := slices.DeleteFunc(slices.Clone(scenario.old), func(i int) bool { return i >= size })
				c := &scenarioRun{newSimulation(size, uint64(size), old...), t}
				for _, next := range scenario.steps {
					next(c)
				}
			})
		}
	}
}
