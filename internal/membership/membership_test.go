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

// confirmed lets time pass and expects that some nodes find another one failed in time.
func (c *check) confirmed(of int, by ...int) {
	c.t.Helper()
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

// freeze is a row that has node 1 stand still, for long enough to be suspected, or failed.
func freeze(d micros.Micros, suspected, failed bool) func(*check) {
	return func(c *check) {
		from := c.now
		c.freeze(1, d)
		if failed {
			c.confirmed(1, c.others(1)...)
			c.run(d - confirmWithin)
		} else {
			c.run(d)
		}
		c.run(2 * micros.Second)
		c.are(Alive)
		if !suspected {
			c.none(from, Suspected, 1)
		}
		if !failed {
			c.none(from, Failed, 1)
		}
		for _, other := range c.others(1) { // nor does it hold its own pause against the others
			c.none(from, Suspected, other)
		}
	}
}

// troubles are what the detectors must tell apart; each row is played with three and five nodes.
var troubles = []struct {
	name string
	old  []int // nodes of a version without heartbeats
	play func(*check)
}{
	{"calm", nil, func(c *check) {
		c.run(600 * micros.Second)
		c.none(0, Suspected, -1)
	}},
	{"all paths slow and jittering, for ten hours", nil, func(c *check) {
		c.lag = c.jitter
		c.run(36_000 * micros.Second)
		c.none(0, Failed, -1)
		c.are(Alive)
	}},
	{"one node's paths slow and jittering, for ten hours", nil, func(c *check) {
		c.lag = func(from, to int) micros.Micros {
			if from == 1 || to == 1 {
				return c.jitter(from, to)
			}
			return usualLag
		}
		c.run(36_000 * micros.Second)
		c.none(0, Suspected, -1)
	}},
	{"a crash", nil, func(c *check) {
		c.run(5 * micros.Second)
		c.stop(1)
		c.confirmed(1, c.others(1)...)
		for _, o := range c.saw(0, Failed, 1) {
			if len(o.ConfirmedBy) == 0 {
				c.t.Errorf("%s is alone with its verdict", o.by)
			}
		}
	}},
	{"a crash of the leader", nil, func(c *check) {
		c.stop(0)
		c.confirmed(0, c.others(0)...)
	}},
	{"a crash while all paths are slow", nil, func(c *check) {
		c.lag = c.jitter
		c.run(60 * micros.Second)
		c.stop(1)
		c.confirmed(1, c.others(1)...)
		c.none(0, Failed, 2)
	}},
	{"a crash while the state service is down", nil, func(c *check) {
		c.storeDown = true
		c.run(20 * micros.Second)
		c.stop(1)
		c.confirmed(1, c.others(1)...)
		c.none(0, Failed, 2)
	}},
	{"a crash that one node is too slow to see at once", nil, func(c *check) {
		c.stop(1)
		c.run(2 * micros.Second)
		c.freeze(2, 4*micros.Second)
		c.run(20 * micros.Second)
		c.none(0, Failed, 2)
		if c.state(2, 1).State != Failed || !c.nodes[2].detector.Status(c.now).Slow {
			c.t.Error("the slow node gave no verdict, or doesn't know that it is slow")
		}
		seen := slices.DeleteFunc(append(c.saw(0, Suspected, 1), c.saw(0, Failed, 1)...), func(o observation) bool { return o.by != "host-2" })
		if took := seen[1].at - seen[0].at; took < slowFactor*DefaultConfig().ConfirmLeast {
			c.t.Errorf("the slow node took %v for its verdict, no longer than others", took.Duration())
		}
	}},
	{"a late answer after the verdict", nil, func(c *check) {
		c.stop(1)
		c.confirmed(1, 0)
		c.nodes[0].detector.Answered(c.now, "host-1", 15*micros.Second)
		if c.state(0, 1).State != Failed {
			c.t.Error("it counts, though it answers what was sent before the verdict")
		}
	}},
	{"a late heartbeat of an earlier life", nil, func(c *check) {
		c.run(2 * micros.Second)
		before := c.state(0, 1)
		c.nodes[0].detector.Receive(c.now, &Heartbeat{Member: "host-1", Incarnation: 7, Leaving: true})
		if after := c.state(0, 1); after.State != Alive || after.Incarnation != before.Incarnation {
			c.t.Errorf("it counts: %+v", after)
		}
	}},
	{"failed, and then heard by one node alone", nil, func(c *check) {
		c.run(2 * micros.Second)
		c.freeze(1, confirmWithin+micros.Second)
		c.confirmed(1, c.others(1)...)
		c.cut = between(1, 2, false)
		c.run(2 * micros.Second)
		c.are(Alive)
	}},
	{"a path that is cut, for long", nil, func(c *check) {
		c.cut = between(1, 2, false)
		c.run(300 * micros.Second)
		c.none(0, Suspected, -1)
		if through := c.state(1, 2).Through; through == "" {
			c.t.Error("nobody is named as hearing the other")
		}
	}},
	{"a path that is cut one way", nil, func(c *check) {
		c.cut = between(1, 2, true)
		c.run(300 * micros.Second)
		c.none(0, Suspected, -1)
	}},
	{"a path that is cut, and no third node", nil, func(c *check) {
		for _, i := range c.others(0, 1) {
			c.stop(i)
		}
		c.run(20 * micros.Second)
		from := c.now
		c.cut = between(0, 1, false)
		c.run(60 * micros.Second)
		if !c.state(1, 0).Withheld || c.state(0, 1).State != Failed {
			c.t.Error("a leader whose session lives is suspected alone; whom it can't hear has failed to it")
		}
		c.none(from, Failed, 0)
		c.cut = between(0, 0, false)
		c.run(2 * micros.Second)
		c.are(Alive)
	}},
	{"a node that is cut off from everything", nil, func(c *check) {
		c.cut, c.nodes[1].storeLost = around(1), true
		c.confirmed(1, c.others(1)...)
		c.run(60 * micros.Second)
		for _, other := range c.others(1) {
			c.none(0, Failed, other)
		}
		if !c.nodes[1].detector.Status(c.now).Isolated {
			c.t.Error("it does not know that it is cut off")
		}
		c.cut, c.nodes[1].storeLost = between(0, 0, false), false
		c.run(2 * micros.Second)
		c.are(Alive)
	}},
	{"one node left", nil, func(c *check) {
		for _, i := range c.others(2) {
			c.stop(i)
		}
		c.confirmed(0, 2)
		if len(c.saw(0, Failed, -1)) != len(c.nodes)-1 {
			c.t.Error("not all are confirmed")
		}
	}},
	{"freezes for a second", nil, freeze(micros.Second, false, false)},
	{"freezes for three seconds", nil, freeze(3*micros.Second, true, false)},
	{"freezes for ten seconds", nil, freeze(10*micros.Second, true, true)},
	{"freezes for a minute", nil, freeze(60*micros.Second, true, true)},
	{"restarts within a fraction of a second", nil, func(c *check) {
		for range 20 {
			c.stop(1)
			c.run(200 * micros.Millisecond)
			c.start(1, uint64(c.now), false)
			c.run(3 * micros.Second)
		}
		c.none(0, Suspected, -1)
		c.are(Alive)
		if c.observed[0].Reason != ReasonRestarted {
			c.t.Errorf("seen as %q", c.observed[0].Reason)
		}
	}},
	{"restarts with its clock set back, after its failure was confirmed", nil, func(c *check) {
		c.run(2 * micros.Second)
		c.stop(1)
		c.confirmed(1, c.others(1)...)
		c.start(1, 7, false)
		c.run(60 * micros.Second)
		c.are(Alive)
		if seen, own := c.state(0, 1).Incarnation, c.nodes[1].detector.incarnation; seen != own {
			c.t.Errorf("its incarnation is %d, and %d is known of it", own, seen)
		}
	}},
	{"leaves and comes back", nil, func(c *check) {
		c.run(2 * micros.Second)
		c.nodes[1].detector.Leave()
		c.run(micros.Second)
		c.stop(1)
		c.run(120 * micros.Second)
		c.none(0, Suspected, -1)
		if c.state(0, 1).State != Left {
			c.t.Errorf("it is %s", c.state(0, 1).State)
		}
		c.start(1, uint64(c.now), false)
		c.run(2 * micros.Second)
		c.are(Alive)
	}},
	{"leaves while one cannot hear it", nil, func(c *check) {
		c.run(2 * micros.Second)
		c.cut = between(1, 2, false)
		c.nodes[1].detector.Leave()
		c.run(micros.Second)
		c.stop(1)
		c.run(60 * micros.Second)
		c.none(0, Suspected, -1)
	}},
	{"a node of a version without heartbeats", []int{1}, func(c *check) {
		c.run(60 * micros.Second)
		c.none(0, Suspected, -1)
		c.stop(1)
		c.confirmed(1, c.others(1)...)
		c.start(1, 0, true)
		c.run(2 * micros.Second)
		c.are(Alive)
	}},
	{"the others of a version without heartbeats", []int{0, 2, 3, 4}, func(c *check) {
		c.run(60 * micros.Second)
		c.none(0, Suspected, -1)
		c.stop(2)
		c.confirmed(2, 1)
	}},
}

// TestTroubles plays all troubles.
func TestTroubles(t *testing.T) {
	for _, size := range []int{3, 5} {
		for _, trouble := range troubles {
			t.Run(fmt.Sprintf("%s, %d nodes", trouble.name, size), func(t *testing.T) {
				t.Parallel()
				old := slices.DeleteFunc(slices.Clone(trouble.old), func(i int) bool { return i >= size })
				trouble.play(&check{newSimulation(size, uint64(size), old...), t})
			})
		}
	}
}

// TestSuspicionTimeout has confirmations shorten a suspicion, the first ones by most.
func TestSuspicionTimeout(t *testing.T) {
	c := DefaultConfig()
	for _, possible := range []int{0, 1, 3, 9} {
		last := c.ConfirmMost + 1
		saved := micros.Micros(0)
		for confirmed := range possible + 1 {
			got := suspicionTimeout(&c, confirmed, possible)
			if got >= last || confirmed > 1 && last-got > saved {
				t.Errorf("%d of %d confirm: %v after %v", confirmed, possible, got.Duration(), last.Duration())
			}
			last, saved = got, last-got
		}
		if first := suspicionTimeout(&c, 0, possible); first != c.ConfirmMost || possible > 0 && last != c.ConfirmLeast {
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
		{"suspected after two heartbeats", func(c *Config) { c.Interval = 1500 * micros.Millisecond }, ErrSuspectTooSoon},
		{"confirmed sooner alone", func(c *Config) { c.ConfirmLeast = c.ConfirmMost + 1 }, ErrConfirmOrder},
	}
	for _, tc := range cases {
		c := DefaultConfig()
		tc.change(&c)
		if err := c.Check(); !errors.Is(err, tc.want) {
			t.Errorf("%s: %v", tc.name, err)
		}
	}
}
