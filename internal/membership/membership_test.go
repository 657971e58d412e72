package membership

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"caperlatch/internal/micros"
)

// confirmWithin is how soon a real failure is confirmed by all that are well.
const confirmWithin = 10 * micros.Second

// check is one simulation under test.
type check struct {
	*simulation
	t *testing.T
}

// none expects that no node came to think so of another (-1: of any).
func (c *check) none(from micros.Micros, state State, of int) {
	c.t.Helper()
	if seen := c.saw(from, state, of); len(seen) > 0 {
		c.t.Errorf("%s thinks that %s is %s: %s, silent for %v (and %d more)",
			seen[0].by, seen[0].Member, state, seen[0].Reason, seen[0].Silence.Duration(), len(seen)-1)
	}
}

// confirmed lets time pass and expects that some nodes, or all others, find one failed in time.
func (c *check) confirmed(of int, by ...int) {
	c.t.Helper()
	if by == nil {
		by = c.others(of)
	}
	from := c.now
	c.run(confirmWithin)
	seen := c.saw(from, Failed, of)
	for _, i := range by {
		if !slices.ContainsFunc(seen, func(o observation) bool { return o.by == c.nodes[i].name }) {
			c.t.Errorf("%s has not confirmed in time that %s failed: %+v", c.nodes[i].name, c.nodes[of].name, c.state(i, of))
		}
	}
}

// are expects that all nodes that run think so of all others that do.
func (c *check) are(state State) {
	c.t.Helper()
	for by, n := range c.nodes {
		for of, other := range c.nodes {
			if by == of || n.down || other.down || n.detector == nil {
				continue
			}
			if m := c.state(by, of); m.State != state {
				c.t.Errorf("%s thinks that %s is %s, not %s", n.name, other.name, m.State, state)
			}
		}
	}
}

// others are the nodes but some.
func (c *check) others(but ...int) (all []int) {
	for i := range c.nodes {
		if !slices.Contains(but, i) {
			all = append(all, i)
		}
	}
	return all
}

// jitter is a lag of up to two seconds that changes with each message.
func (c *check) jitter(from, to int) micros.Micros {
	return micros.Micros(c.random.Int64N(int64(2 * micros.Second)))
}

// between cuts the paths between two nodes, or those from one to the other alone.
func between(a, b int, oneWay bool) func(from, to int) bool {
	return func(from, to int) bool { return from == a && to == b || !oneWay && from == b && to == a }
}

// around cuts a node off from all others.
func around(node int) func(from, to int) bool {
	return func(from, to int) bool { return from == node || to == node }
}

// step is what happens next, or is checked.
type step func(*check)

// wait lets time pass.
func wait(seconds micros.Micros) step { return func(c *check) { c.run(seconds * micros.Second) } }

// stops ends nodes, starts begins a new life of one, leaves has one say that it ends.
func stops(nodes ...int) step {
	return func(c *check) {
		for _, i := range nodes {
			c.stop(i)
		}
	}
}
func starts(node int, old bool) step { return func(c *check) { c.start(node, uint64(c.now), old) } }
func leaves(node int) step           { return func(c *check) { c.nodes[node].detector.Leave() } }

// freezes has a node stand still, cuts cuts paths, and heals ends all cuts.
func freezes(node int, seconds micros.Micros) step {
	return func(c *check) { c.freeze(node, seconds*micros.Second) }
}
func cuts(f func(from, to int) bool) step { return func(c *check) { c.cut = f } }
func heals(c *check)                      { c.cut = func(int, int) bool { return false } }

// slowPaths has all paths jitter, or those of one node (-1: of all).
func slowPaths(node int) step {
	return func(c *check) {
		c.lag = func(from, to int) micros.Micros {
			if node < 0 || from == node || to == node {
				return c.jitter(from, to)
			}
			return usualLag
		}
	}
}

// confirms and never check what the nodes think.
func confirms(of int, by ...int) step { return func(c *check) { c.confirmed(of, by...) } }
func never(state State, of int) step  { return func(c *check) { c.none(0, state, of) } }

// neverOthers is never, of all but node 1.
func neverOthers(state State) step {
	return func(c *check) {
		for _, of := range c.others(1) {
			c.none(0, state, of)
		}
	}
}

// alive waits for a moment, after which all find all others alive.
func alive(c *check) { c.run(2 * micros.Second); c.are(Alive) }
func that(ok func(*check) bool, wrong string) step {
	return func(c *check) {
		if !ok(c) {
			c.t.Error(wrong)
		}
	}
}

// stoodStill are the steps of a pause of node 1, for long enough to be suspected, or failed. Nor
// does it hold its own pause against the others.
func stoodStill(seconds micros.Micros, suspected, failed bool) []step {
	steps := []step{freezes(1, seconds), wait(seconds), alive, neverOthers(Suspected)}
	if failed {
		steps = []step{freezes(1, seconds), confirms(1), wait(seconds - 10), alive, neverOthers(Suspected)}
	}
	if !suspected {
		steps = append(steps, never(Suspected, 1))
	}
	if !failed {
		steps = append(steps, never(Failed, 1))
	}
	return steps
}

// What single rows check.
func notAlone(c *check) bool {
	return !slices.ContainsFunc(c.saw(0, Failed, 1), func(o observation) bool { return len(o.ConfirmedBy) == 0 })
}
func slowVerdict(c *check) bool {
	seen := slices.DeleteFunc(append(c.saw(0, Suspected, 1), c.saw(0, Failed, 1)...), func(o observation) bool { return o.by != "host-2" })
	return c.state(2, 1).State == Failed && c.nodes[2].detector.Status(c.now).Slow && seen[1].at-seen[0].at >= slowFactor*DefaultConfig().MinSuspicionTimeout
}
func lateAnswer(c *check) { c.nodes[0].detector.HandleAck(c.now, "host-1", 15*micros.Second) }
func lateHeartbeat(c *check) {
	before := c.state(0, 1).Incarnation
	c.nodes[0].detector.HandleHeartbeat(c.now, &Heartbeat{Member: "host-1", Incarnation: 7, Leaving: true})
	if after := c.state(0, 1); after.State != Alive || after.Incarnation != before {
		c.t.Errorf("it counts: %+v", after)
	}
}
func isolated(c *check) bool { return c.nodes[1].detector.Status(c.now).Isolated }
func believed(c *check) bool { return c.state(0, 1).Incarnation == c.nodes[1].detector.incarnation }
func restartsOften(c *check) {
	for range 20 {
		c.stop(1)
		c.run(200 * micros.Millisecond)
		c.start(1, uint64(c.now), false)
		c.run(3 * micros.Second)
	}
}

// troubles are what the detectors must tell apart; each row is played with three and five nodes.
var troubles = []struct {
	name  string
	old   []int // nodes of a version without heartbeats
	steps []step
}{
	{"calm", nil, []step{wait(600), never(Suspected, -1)}},
	{"all paths slow and jittering, for ten hours", nil, []step{slowPaths(-1), wait(36_000), never(Failed, -1), alive}},
	{"one node's paths slow and jittering, for ten hours", nil, []step{slowPaths(1), wait(36_000), never(Suspected, -1)}},
	{"a crash", nil, []step{wait(5), stops(1), confirms(1), that(notAlone, "somebody is alone with its verdict")}},
	{"a crash of the leader", nil, []step{stops(0), confirms(0)}},
	{"a crash while all paths are slow", nil, []step{slowPaths(-1), wait(60), stops(1), confirms(1), never(Failed, 2)}},
	{"a crash while the state service is down", nil, []step{func(c *check) { c.storeDown = true }, wait(20), stops(1), confirms(1), never(Failed, 2)}},
	{"a crash that one node is too slow to see at once", nil, []step{stops(1), wait(2), freezes(2, 4), wait(20), never(Failed, 2),
		that(slowVerdict, "the slow node gave no verdict, or no later than others, or doesn't know that it is slow")}},
	{"a late answer after the verdict", nil, []step{stops(1), confirms(1, 0), lateAnswer,
		that(func(c *check) bool { return c.state(0, 1).State == Failed }, "it counts, though it answers what was sent before the verdict")}},
	{"a late heartbeat of an earlier life", nil, []step{wait(2), lateHeartbeat}},
	{"failed, and then heard by one node alone", nil, []step{wait(2), freezes(1, 11), confirms(1), cuts(between(1, 2, false)), alive}},
	{"a path that is cut, for long", nil, []step{cuts(between(1, 2, false)), wait(300), never(Suspected, -1),
		that(func(c *check) bool { return c.state(1, 2).HeardThrough != "" }, "nobody is named as hearing the other")}},
	{"a path that is cut one way", nil, []step{cuts(between(1, 2, true)), wait(300), never(Suspected, -1)}},
	{"a path that is cut, and no third node", nil, []step{stops(2, 3, 4), wait(20), cuts(between(0, 1, false)), wait(60), never(Failed, 0),
		that(func(c *check) bool { return c.state(1, 0).FailureWithheld && c.state(0, 1).State == Failed },
			"a leader whose session lives is suspected alone; whom it can't hear has failed to it"), heals, alive}},
	{"a node that is cut off from everything", nil, []step{func(c *check) { c.nodes[1].storeLost = true }, cuts(around(1)), confirms(1), wait(60),
		neverOthers(Failed), that(isolated, "it does not know that it is cut off"),
		func(c *check) { c.nodes[1].storeLost = false }, heals, alive}},
	{"one node left", nil, []step{stops(0, 1, 3, 4), confirms(0, 2),
		that(func(c *check) bool { return len(c.saw(0, Failed, -1)) == len(c.nodes)-1 }, "not all are confirmed")}},
	{"freezes for a second", nil, stoodStill(1, false, false)},
	{"freezes for three seconds", nil, stoodStill(3, true, false)},
	{"freezes for ten seconds", nil, stoodStill(10, true, true)},
	{"freezes for a minute", nil, stoodStill(60, true, true)},
	{"restarts within a fraction of a second", nil, []step{restartsOften, never(Suspected, -1), alive,
		that(func(c *check) bool { return c.observed[0].Reason == ReasonRestarted }, "it is not seen as restarted")}},
	{"restarts with its clock set back, after its failure was confirmed", nil, []step{wait(2), stops(1), confirms(1),
		func(c *check) { c.start(1, 7, false) }, wait(60), alive, that(believed, "its incarnation is not the one that is known of it")}},
	{"leaves and comes back", nil, []step{wait(2), leaves(1), wait(1), stops(1), wait(120), never(Suspected, -1),
		that(func(c *check) bool { return c.state(0, 1).State == Left }, "it has not left"), starts(1, false), alive}},
	{"leaves while one cannot hear it", nil, []step{wait(2), cuts(between(1, 2, false)), leaves(1), wait(1), stops(1), wait(60), never(Suspected, -1)}},
	{"a node of a version without heartbeats", []int{1}, []step{wait(60), never(Suspected, -1), stops(1), confirms(1), starts(1, true), alive}},
	{"the others of a version without heartbeats", []int{0, 2, 3, 4}, []step{wait(60), never(Suspected, -1), stops(2), confirms(2, 1)}},
}

// TestTroubles plays all troubles.
func TestTroubles(t *testing.T) {
	for _, size := range []int{3, 5} {
		for _, trouble := range troubles {
			t.Run(fmt.Sprintf("%s, %d nodes", trouble.name, size), func(t *testing.T) {
				t.Parallel()
				old := slices.DeleteFunc(slices.Clone(trouble.old), func(i int) bool { return i >= size })
				c := &check{newSimulation(size, uint64(size), old...), t}
				for _, next := range trouble.steps {
					next(c)
				}
			})
		}
	}
}

// TestSuspicionTimeout has confirmations shorten a suspicion, the first ones by most.
func TestSuspicionTimeout(t *testing.T) {
	c := DefaultConfig()
	for _, possible := range []int{0, 1, 3, 9} {
		last := c.MaxSuspicionTimeout + 1
		saved := micros.Micros(0)
		for confirmed := range possible + 1 {
			got := suspicionTimeout(&c, confirmed, possible)
			if got >= last || confirmed > 1 && last-got > saved {
				t.Errorf("%d of %d confirm: %v after %v", confirmed, possible, got.Duration(), last.Duration())
			}
			last, saved = got, last-got
		}
		if first := suspicionTimeout(&c, 0, possible); first != c.MaxSuspicionTimeout || possible > 0 && last != c.MinSuspicionTimeout {
			t.Errorf("%d possible: from %v to %v", possible, first.Duration(), last.Duration())
		}
	}
}

// TestConfig refuses times that contradict each other.
func TestConfig(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Config)
		want   error
	}{
		{"the default", func(*Config) {}, nil},
		{"suspected after two heartbeats", func(c *Config) { c.HeartbeatInterval = 1500 * micros.Millisecond }, ErrSuspectTooSoon},
		{"confirmed sooner alone", func(c *Config) { c.MinSuspicionTimeout = c.MaxSuspicionTimeout + 1 }, ErrSuspicionTimeoutOrder},
	}
	for _, tc := range cases {
		c := DefaultConfig()
		tc.change(&c)
		if err := c.Check(); !errors.Is(err, tc.want) {
			t.Errorf("%s: %v", tc.name, err)
		}
	}
}
