package membership

import (
	"slices"
	"testing"

	"caperlatch/internal/micros"
)

// failureTimeout is the time within which every healthy node must declare a failed node failed.
const failureTimeout = 10 * micros.Second

// scenarioRun is a simulation with the test that it belongs to.
type scenarioRun struct {
	*simulation
	t *testing.T
}

// expectNoTransition checks that, since the given time, no node has moved the node subject (-1: any node) to the given
// state.
func (c *scenarioRun) expectNoTransition(since micros.Micros, state State, subject int) {
	c.t.Helper()
	if seen := c.transitionsTo(since, state, subject); len(seen) > 0 {
		c.t.Errorf("%s moved %s to state %s (%s, silent for %v), and %d more such transitions; want none",
			seen[0].observer, seen[0].Member, state, seen[0].Reason, seen[0].Silence.Duration(), len(seen)-1)
	}
}

// expectFailed advances the time by failureTimeout, and checks that the observers (none given: all other nodes) have
// declared the node subject failed meanwhile.
func (c *scenarioRun) expectFailed(subject int, observers ...int) {
	c.t.Helper()
	if observers == nil {
		observers = c.othersThan(subject)
	}
	from := c.now
	c.run(failureTimeout)
	seen := c.transitionsTo(from, Failed, subject)
	for _, i := range observers {
		if !slices.ContainsFunc(seen, func(o observedTransition) bool { return o.observer == c.nodes[i].name }) {
			c.t.Errorf("%s did not declare %s failed within %v; its status of that member: %+v",
				c.nodes[i].name, c.nodes[subject].name, failureTimeout.Duration(), c.state(i, subject))
		}
	}
}

// expectAll checks that every running node with heartbeats has every other running node in the given state.
func (c *scenarioRun) expectAll(state State) {
	c.t.Helper()
	for observer, n := range c.nodes {
		for subject, other := range c.nodes {
			if observer == subject || n.down || other.down || n.detector == nil {
				continue
			}
			if m := c.state(observer, subject); m.State != state {
				c.t.Errorf("%s has %s in state %s, want %s", n.name, other.name, m.State, state)
			}
		}
	}
}

// othersThan returns the numbers of all nodes except the excluded ones.
func (c *scenarioRun) othersThan(excluded ...int) (all []int) {
	for i := range c.nodes {
		if !slices.Contains(excluded, i) {
			all = append(all, i)
		}
	}
	return all
}

// jitter returns a random latency of up to two seconds, drawn anew for each message.
func (c *scenarioRun) jitter(from, to int) micros.Micros {
	return micros.Micros(c.random.Int64N(int64(2 * micros.Second)))
}

// pathBetween matches the paths between two nodes in both directions, or only that from a to b if oneWay is set.
func pathBetween(a, b int, oneWay bool) func(from, to int) bool {
	return func(from, to int) bool { return from == a && to == b || !oneWay && from == b && to == a }
}

// allPathsOf matches the paths between a node and all others.
func allPathsOf(node int) func(from, to int) bool {
	return func(from, to int) bool { return from == node || to == node }
}

// scenarioStep is an action or a check of a scenario.
type scenarioStep func(*scenarioRun)

// advanceTime advances the simulated time.
func advanceTime(seconds micros.Micros) scenarioStep {
	return func(c *scenarioRun) { c.run(seconds * micros.Second) }
}

// stopNodes stops nodes without an announcement.
func stopNodes(nodes ...int) scenarioStep {
	return func(c *scenarioRun) {
		for _, i := range nodes {
			c.stop(i)
		}
	}
}

// startNode starts a node again, as a version with or without heartbeats.
func startNode(node int, withoutHeartbeats bool) scenarioStep {
	return func(c *scenarioRun) { c.start(node, uint64(c.now), withoutHeartbeats) }
}

// leaveNode makes a node announce its shutdown.
func leaveNode(node int) scenarioStep { return func(c *scenarioRun) { c.nodes[node].detector.Leave() } }

// pauseNode pauses a node, as when its process is stopped and continued.
func pauseNode(node int, seconds micros.Micros) scenarioStep {
	return func(c *scenarioRun) { c.pause(node, seconds*micros.Second) }
}

// cutPaths drops all messages on the paths for which matches returns true.
func cutPaths(matches func(from, to int) bool) scenarioStep {
	return func(c *scenarioRun) { c.cut = matches }
}

// healPaths ends all cuts.
func healPaths(c *scenarioRun) { c.cut = func(int, int) bool { return false } }

// jitterPaths gives a jittering latency to the paths of a node (-1: of all nodes).
func jitterPaths(node int) scenarioStep {
	return func(c *scenarioRun) {
		c.latency = func(from, to int) micros.Micros {
			if node < 0 || from == node || to == node {
				return c.jitter(from, to)
			}
			return normalLatency
		}
	}
}

// expectFailedWithin returns a step that advances the time by failureTimeout, and checks that the observers (none given:
// all other nodes) have declared the node subject failed meanwhile.
func expectFailedWithin(subject int, observers ...int) scenarioStep {
	return func(c *scenarioRun) { c.expectFailed(subject, observers...) }
}

// expectNeverEntered returns a step that calls expectNoTransition for the time since the start.
func expectNeverEntered(state State, subject int) scenarioStep {
	return func(c *scenarioRun) { c.expectNoTransition(0, state, subject) }
}

// expectOthersNeverEntered returns a step that does what expectNeverEntered does for all nodes except node 1.
func expectOthersNeverEntered(state State) scenarioStep {
	return func(c *scenarioRun) {
		for _, subject := range c.othersThan(1) {
			c.expectNoTransition(0, state, subject)
		}
	}
}

// expectAllAlive advances the time by two seconds, and checks that all running nodes see each other as alive.
func expectAllAlive(c *scenarioRun) { c.run(2 * micros.Second); c.expectAll(Alive) }

// expectCondition returns a step that reports the message failure unless a condition holds.
func expectCondition(condition func(*scenarioRun) bool, failure string) scenarioStep {
	return func(c *scenarioRun) {
		if !condition(c) {
			c.t.Error(failure)
		}
	}
}

// pauseScenario returns steps that pause node 1. The others must declare it failed if failed is set, and must not
// otherwise. They must not suspect it unless suspected is set. Node 1 must never suspect the others, although it
// received no heartbeats during its pause.
func pauseScenario(seconds micros.Micros, suspected, failed bool) []scenarioStep {
	steps := []scenarioStep{pauseNode(1, seconds), advanceTime(seconds), expectAllAlive, expectOthersNeverEntered(Suspected)}
	if failed {
		steps = []scenarioStep{pauseNode(1, seconds), expectFailedWithin(1), advanceTime(seconds - 10), expectAllAlive, expectOthersNeverEntered(Suspected)}
	}
	if !suspected {
		steps = append(steps, expectNeverEntered(Suspected, 1))
	}
	if !failed {
		steps = append(steps, expectNeverEntered(Failed, 1))
	}
	return steps
}

// allConfirmedByOthers reports whether no node declared node 1 failed without confirmations.
func allConfirmedByOthers(c *scenarioRun) bool {
	return !slices.ContainsFunc(c.transitionsTo(0, Failed, 1), func(o observedTransition) bool { return len(o.ConfirmedBy) == 0 })
}

// slowNodeDeclaresFailureLater reports whether node 2 knows that it is slow, and declared node 1 failed only after the
// longer timeout of a slow node.
func slowNodeDeclaresFailureLater(c *scenarioRun) bool {
	seen := slices.DeleteFunc(append(c.transitionsTo(0, Suspected, 1), c.transitionsTo(0, Failed, 1)...), func(o observedTransition) bool { return o.observer != "host-2" })
	return c.state(2, 1).State == Failed && c.nodes[2].detector.Status(c.now).Slow && seen[1].at-seen[0].at >= slowTimeoutFactor*DefaultConfig().MinSuspicionTimeout
}

// sendLateAck delivers to node 0 a response of node 1 to a heartbeat that was sent before node 1 was declared failed.
func sendLateAck(c *scenarioRun) { c.nodes[0].detector.HandleAck(c.now, "host-1", 15*micros.Second) }

// sendLateHeartbeat delivers to node 0 a heartbeat of an earlier incarnation of node 1, and checks that it has no
// effect.
func sendLateHeartbeat(c *scenarioRun) {
	before := c.state(0, 1).Incarnation
	c.nodes[0].detector.HandleHeartbeat(c.now, &Heartbeat{Member: "host-1", Incarnation: 7, Leaving: true})
	if after := c.state(0, 1); after.State != Alive || after.Incarnation != before {
		c.t.Errorf("node 0's status of node 1 after a late heartbeat: %+v, want alive with incarnation %d", after, before)
	}
}

// detectsOwnIsolation reports whether node 1 knows that it is isolated.
func detectsOwnIsolation(c *scenarioRun) bool { return c.nodes[1].detector.Status(c.now).Isolated }

// node0KnowsIncarnation reports whether node 0 knows the current incarnation of node 1.
func node0KnowsIncarnation(c *scenarioRun) bool {
	return c.state(0, 1).Incarnation == c.nodes[1].detector.incarnation
}

// restartRepeatedly stops node 1 for 200 ms and then runs it for 3 s, 20 times.
func restartRepeatedly(c *scenarioRun) {
	for range 20 {
		c.stop(1)
		c.run(200 * micros.Millisecond)
		c.start(1, uint64(c.now), false)
		c.run(3 * micros.Second)
	}
}
