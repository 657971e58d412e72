package membership

import "caperlatch/internal/micros"

// Bounds of this node's own health.
const (
	// pauseIntervals is over how many intervals between two ticks the node stood still.
	pauseIntervals = 2
	// slowFor is for how long after standing still a node counts as slow.
	slowFor = 30 * micros.Second
	// slowRoundTrip is over what time to most of the members and back a node counts as slow.
	slowRoundTrip = micros.Second
	// slowFactor is how much longer a slow node waits for its own verdicts.
	slowFactor = 2
)

// health is how far this node's own clock of ticks can be relied on.
type health struct {
	interval micros.Micros
	ticked   micros.Micros // when the last tick was
	pausedAt micros.Micros // when the node last went on after standing still, 0 if it never did
}

// newHealth is the health of a node that has just started.
func newHealth(interval, now micros.Micros) health { return health{interval: interval, ticked: now} }

// tick notes a tick, and tells for how long the node stood still before it.
func (h *health) tick(now micros.Micros) (paused micros.Micros) {
	gap := now - h.ticked
	h.ticked = now
	if gap <= pauseIntervals*h.interval {
		return 0
	}
	h.pausedAt = now
	return gap - h.interval
}

// paused tells whether the node stood still lately.
func (h *health) paused(now micros.Micros) bool {
	return h.pausedAt != 0 && now-h.pausedAt < slowFor
}

// slow tells whether this node is what is slow: it stood still lately, or its messages to most of
// the members take long, as they would not if only one of these were slow.
func (d *Detector) slow(now micros.Micros) bool {
	if d.health.paused(now) {
		return true
	}
	late, heard := 0, 0
	for _, m := range d.members {
		if m.state != Alive || m.roundTrip == 0 {
			continue
		}
		heard++
		if m.roundTrip > slowRoundTrip {
			late++
		}
	}
	return heard > 1 && 2*late > heard
}
