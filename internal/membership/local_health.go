package membership

import "caperlatch/internal/micros"

// Thresholds for the health of this node.
const (
	// maxTickGapIntervals is the maximum time between two ticks, in tick intervals. A longer time means that this node
	// was paused.
	maxTickGapIntervals = 2
	// slowPeriodAfterPause is how long the node counts as slow after a pause.
	slowPeriodAfterPause = 30 * micros.Second
	// slowRoundTripThreshold is the round-trip time above which a round trip is slow. The node counts as slow if the
	// round trips to most live members are slow.
	slowRoundTripThreshold = micros.Second
	// slowTimeoutFactor is the factor by which the suspicions of a slow node last longer.
	slowTimeoutFactor = 2
)

// localHealth detects pauses of this node by the gaps between its ticks, because a node that was paused sees other
// members as silent. As in Lifeguard, a node that is itself slow lengthens the timeouts of its suspicions, see isSlow.
type localHealth struct {
	interval     micros.Micros // between ticks
	lastTickAt   micros.Micros
	pauseEndedAt micros.Micros // end of the last pause; 0 if there was none
}

// newLocalHealth returns the health of a node that has just started.
func newLocalHealth(interval, now micros.Micros) localHealth {
	return localHealth{interval: interval, lastTickAt: now}
}

// tick records a tick, and returns how long the node was paused before it, or 0 if it was not paused.
func (h *localHealth) tick(now micros.Micros) (paused micros.Micros) {
	gap := now - h.lastTickAt
	h.lastTickAt = now
	if gap <= maxTickGapIntervals*h.interval {
		return 0
	}
	h.pauseEndedAt = now
	return gap - h.interval
}

// hasPausedRecently reports whether a pause ended less than slowPeriodAfterPause ago.
func (h *localHealth) hasPausedRecently(now micros.Micros) bool {
	return h.pauseEndedAt != 0 && now-h.pauseEndedAt < slowPeriodAfterPause
}

// isSlow reports whether this node itself is slow: it was paused recently, or the last round trips to most live members
// were slow. At least two round trips must have been measured, because a single slow one may be the member's fault.
func (d *Detector) isSlow(now micros.Micros) bool {
	if d.localHealth.hasPausedRecently(now) {
		return true
	}
	slow, measured := 0, 0
	for _, m := range d.members {
		if m.state != Alive || m.roundTrip == 0 {
			continue
		}
		measured++
		if m.roundTrip > slowRoundTripThreshold {
			slow++
		}
	}
	return measured > 1 && 2*slow > measured
}
