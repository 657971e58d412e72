package membership

import (
	"slices"
	"testing"

	"caperlatch/internal/micros"
)

// failureTimeout is how soon all nodes that are well take a failed one as failed.
const failureTimeout = 10 * micros.Second

// scenarioRun is one simulation under test.
type scenarioRun struct {
	*simulation
	t *testing.T
}

// expectNone expects that no node saw another one (-1: any) enter a state.
func (c *scenarioRun) expectNone(from micros.Micros, state State, of int) {
	c.t.Helper()
	if seen := c.transitionsTo(from, state, of); len(seen) > 0 {
		c.t.Errorf("%s takes %s as %s: %s, silent for %v (and %d more)",
			seen[0].by, seen[0].Member, state, seen[0].Reason, seen[0].Silence.Duration(), len(seen)-1)
	}
}

// expectFailed lets time pass, and expects that some nodes, or all others, take one as failed in time.
func (c *scenarioRun) expectFailed(of int, by ...int) {
	c.t.Helper()
	if by == nil {
		by = c.othersThan(of)
	}
	from := c.now
	c.run(failureTimeout)
	seen := c.transitionsTo(from, Failed, of)
	for _, i := range by {
		if !slices.ContainsFunc(seen, func(o observedTransition) bool { return o.by == c.nodes[i].name }) {
			c.t.Errorf("%s does not take %s as failed in time: %+v", c.nodes[i].name, c.nodes[of].name, c.state(i, of))
		}
	}
}

// expectAll expects that all nodes that run take all others that do to be in a state.
func (c *scenarioRun) expectAll(state State) {
	c.t.Helper()
	for by, n := range c.nodes {
		for of, other := range c.nodes {
			if by == of || n.down || other.down || n.detector == nil {
				continue
			}
			if m := c.state(by, of); m.State != state {
				c.t.Errorf("%s takes %s as %s, not %s", n.name, other.name, m.State, state)
			}
		}
	}
}

// othersThan is all nodes but some.
func (c *scenarioRun) othersThan(but ...int) (all []int) {
	for i := range c.nodes {
		if !slices.Contains(but, i) {
			all = append(all, i)
		}
	}
	return all
}

// jitter is a latency of up to two seconds that changes with each message.
func (c *scenarioRun) jitter(from, to int) micros.Micros {
	return micros.Micros(c.random.Int64N(int64(2 * micros.Second)))
}

// pathBetween is the paths between two nodes, or that from one to the other alone.
func pathBetween(a, b int, oneWay bool) func(from, to int) bool {
	return func(from, to int) bool { return from == a && to == b || !oneWay && from == b && to == a }
}

// allPathsOf is the paths between a node and all others.
func allPathsOf(node int) func(from, to int) bool {
	return func(from, to int) bool { return from == node || to == node }
}

// scenarioStep is what happens next, or is expected.
type scenarioStep func(*scenarioRun)

// waitS lets time pass.
func waitS(seconds micros.Micros) scenarioStep {
	return func(c *scenarioRun) { c.run(seconds * micros.Second) }
}

// stopNodes ends nodes.
func stopNodes(nodes ...int) scenarioStep {
	return func(c *scenarioRun) {
		for _, i := range nodes {
			c.stop(i)
		}
	}
}

// startNode starts a node again, with or without (old) heartbeats.
func startNode(node int, old bool) scenarioStep {
	return func(c *scenarioRun) { c.start(node, uint64(c.now), old) }
}

// leaveNode has a node announce that it ends.
func leaveNode(node int) scenarioStep { return func(c *scenarioRun) { c.nodes[node].detector.Leave() } }

// pauseNode has a node stand still.
func pauseNode(node int, seconds micros.Micros) scenarioStep {
	return func(c *scenarioRun) { c.pause(node, seconds*micros.Second) }
}

// cutPaths has messages on some paths be lost.
func cutPaths(f func(from, to int) bool) scenarioStep { return func(c *scenarioRun) { c.cut = f } }

// healPaths ends all cuts.
func healPaths(c *scenarioRun) { c.cut = func(int, int) bool { return false } }

// jitterPaths has the paths of one node (-1: of all) jitter.
func jitterPaths(node int) scenarioStep {
	return func(c *scenarioRun) {
		c.latency = func(from, to int) micros.Micros {
			if node < 0 || from == node || to == node {
				return c.jitter(from, to)
			}
			return usualLatency
		}
	}
}

// expectFailedWithin is expectFailed as a step.
func expectFailedWithin(of int, by ...int) scenarioStep {
	return func(c *scenarioRun) { c.expectFailed(of, by...) }
}

// expectNever is expectNone, since the start, as a step.
func expectNever(state State, of int) scenarioStep {
	return func(c *scenarioRun) { c.expectNone(0, state, of) }
}

// expectNeverOthers is expectNever of all but node 1.
func expectNeverOthers(state State) scenarioStep {
	return func(c *scenarioRun) {
		for _, of := range c.othersThan(1) {
			c.expectNone(0, state, of)
		}
	}
}

// expectAlive lets two seconds pass, after which all take all others as alive.
func expectAlive(c *scenarioRun) { c.run(2 * micros.Second); c.expectAll(Alive) }

// expectThat expects a condition.
func expectThat(ok func(*scenarioRun) bool, wrong string) scenarioStep {
	return func(c *scenarioRun) {
		if !ok(c) {
			c.t.Error(wrong)
		}
	}
}

// pauseScenario pauses node 1 for long enough to be suspected, or failed. Its own pause is no silence of
// the others to it.
func pauseScenario(seconds micros.Micros, suspected, failed bool) []scenarioStep {
	steps := []scenarioStep{pauseNode(1, seconds), waitS(seconds), expectAlive, expectNeverOthers(Suspected)}
	if failed {
		steps = []scenarioStep{pauseNode(1, seconds), expectFailedWithin(1), waitS(seconds - 10), expectAlive, expectNeverOthers(Suspected)}
	}
	if !suspected {
		steps = append(steps, expectNever(Suspected, 1))
	}
	if !failed {
		steps = append(steps, expectNever(Failed, 1))
	}
	return steps
}

// allConfirmedByOthers reports whether no node took node 1 as failed without confirmations.
func allConfirmedByOthers(c *scenarioRun) bool {
	return !slices.ContainsFunc(c.transitionsTo(0, Failed, 1), func(o observedTransition) bool { return len(o.ConfirmedBy) == 0 })
}

// slowNodeIsLate reports whether node 2 knows that it is slow, and took node 1 as failed later for it.
func slowNodeIsLate(c *scenarioRun) bool {
	seen := slices.DeleteFunc(append(c.transitionsTo(0, Suspected, 1), c.transitionsTo(0, Failed, 1)...), func(o observedTransition) bool { return o.by != "host-2" })
	return c.state(2, 1).State == Failed && c.nodes[2].detector.Status(c.now).Slow && seen[1].at-seen[0].at >= slowTimeoutFactor*DefaultConfig().MinSuspicionTimeout
}

// sendLateAck has node 1 respond to what was sent before it was taken as failed.
func sendLateAck(c *scenarioRun) { c.nodes[0].detector.HandleAck(c.now, "host-1", 15*micros.Second) }

// sendLateHeartbeat has a heartbeat of an earlier incarnation of node 1 arrive.
func sendLateHeartbeat(c *scenarioRun) {
	before := c.state(0, 1).Incarnation
	c.nodes[0].detector.HandleHeartbeat(c.now, &Heartbeat{Member: "host-1", Incarnation: 7, Leaving: true})
	if after := c.state(0, 1); after.State != Alive || after.Incarnation != before {
		c.t.Errorf("it counts: %+v", after)
	}
}

// knowsIsolation reports whether node 1 knows that it is isolated.
func knowsIsolation(c *scenarioRun) bool { return c.nodes[1].detector.Status(c.now).Isolated }

// hasKnownIncarnation reports whether the others know the incarnation of node 1.
func hasKnownIncarnation(c *scenarioRun) bool {
	return c.state(0, 1).Incarnation == c.nodes[1].detector.incarnation
}

// restartOften restarts node 1 again and again.
func restartOften(c *scenarioRun) {
	for range 20 {
		c.stop(1)
		c.run(200 * micros.Millisecond)
		c.start(1, uint64(c.now), false)
		c.run(3 * micros.Second)
	}
}
