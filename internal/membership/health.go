package membership

import "caperlatch/internal/micros"

// Bounds of this node's own health.
const (
	// maxTickIntervals is over how many intervals between two ticks the node stood still.
	maxTickIntervals = 2
	// slowAfterPause is for how long after standing still a node counts as slow.
	slowAfterPause = 30 * micros.Second
	// slowRoundTrip is over what time to most of the members and back a node counts as slow.
	slowRoundTrip = micros.Second
	// slowTimeoutFactor is how much longer a slow node waits for its own verdicts.
	slowTimeoutFactor = 2
)

// localHealth is how far this node's own clock of ticks can be relied on.
type localHealth struct {
	interval micros.Micros
	ticked   micros.Micros // when the last tick was
	pausedAt micros.Micros // when the node last went on after standing still, 0 if it never did
}

// newLocalHealth is the health of a node that has just started.
func newLocalHealth(interval, now micros.Micros) localHealth {
	return localHealth{interval: interval, ticked: now}
}

// tick notes a tick, and tells for how long the node stood still before it.
func (h *localHealth) tick(now micros.Micros) (paused micros.Micros) {
	gap := now - h.ticked
	h.ticked = now
	if gap <= maxTickIntervals*h.interval {
		return 0
	}
	h.pausedAt = now
	return gap - h.interval
}

// hasPausedRecently tells whether the node stood still lately.
func (h *localHealth) hasPausedRecently(now micros.Micros) bool {
	return h.pausedAt != 0 && now-h.pausedAt < slowAfterPause
}

// isSlow tells whether this node is what is slow: it stood still lately, or its messages to most of
// the members take long, as they would not if only one of these were slow.
func (d *Detector) isSlow(now micros.Micros) bool {
	if d.localHealth.hasPausedRecently(now) {
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
