package membership

import "caperlatch/internal/micros"

// Bounds of local health.
const (
	// maxTickIntervals: the node was paused if more than so many intervals are between two ticks.
	maxTickIntervals = 2
	// slowAfterPause is for how long after a pause the node counts as slow.
	slowAfterPause = 30 * micros.Second
	// slowRoundTrip: the node counts as slow if round trips to most members take longer.
	slowRoundTrip = micros.Second
	// slowTimeoutFactor is how much longer the suspicions of a slow node last.
	slowTimeoutFactor = 2
)

// localHealth is what this node's own ticks show of its health, as in Lifeguard: a node that was
// paused takes others for silent.
type localHealth struct {
	interval     micros.Micros // between ticks
	lastTickAt   micros.Micros
	pauseEndedAt micros.Micros // end of the last pause, 0 if there was none
}

// newLocalHealth is the health of a node that has just started.
func newLocalHealth(interval, now micros.Micros) localHealth {
	return localHealth{interval: interval, lastTickAt: now}
}

// tick takes over a tick, and returns for how long the node was paused before it; 0 if it was not.
func (h *localHealth) tick(now micros.Micros) (paused micros.Micros) {
	gap := now - h.lastTickAt
	h.lastTickAt = now
	if gap <= maxTickIntervals*h.interval {
		return 0
	}
	h.pauseEndedAt = now
	return gap - h.interval
}

// hasPausedRecently reports whether a pause ended less than slowAfterPause ago.
func (h *localHealth) hasPausedRecently(now micros.Micros) bool {
	return h.pauseEndedAt != 0 && now-h.pauseEndedAt < slowAfterPause
}

// isSlow reports whether this node is what is slow: it was paused lately, or round trips to most of the
// members take long, as they would not if only one of these were slow.
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
		if m.roundTrip > slowRoundTrip {
			slow++
		}
	}
	return measured > 1 && 2*slow > measured
}
