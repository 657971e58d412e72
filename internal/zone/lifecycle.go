package zone

import "caperlatch/internal/micros"

// Durations of a step of reopening, as multiples of the least one.
const (
	// untriedStepFactor is after how many a step has succeeded if no start was sent to the zone.
	untriedStepFactor = 2
	// failedStepFactor is after how many a step has failed if starts were sent and none was seen,
	// but no sooner than after failedStepHeartbeats intervals of heartbeats.
	failedStepFactor     = 8
	failedStepHeartbeats = 4
)

// lifecycle is the state of one zone, and what its next transition depends on. The zero value is a
// normal zone.
type lifecycle struct {
	state         State
	reason        Reason
	since         micros.Micros // start of the state or step
	step          int           // of Reopening, from 0
	flaps         int           // full disruptions that are not forgotten
	normalSince   micros.Micros // when it became normal after a full disruption, 0 if it never did
	holdDownUntil micros.Micros // when a hold-down may end
	keepSilent    bool          // its silent machines are kept: the disruption is of a large part of the fleet

	disruptedSince  micros.Micros // since when a full disruption is evident, 0 if it is not
	observerAtFault bool          // the evidence is of the observer, not of the zone
	stepStart       counters      // as the state or step began
}

// counters are those of Evidence that only grow.
type counters struct{ relapses, startsSent, startsSeen int }

func (e Evidence) counters() counters { return counters{e.Relapses, e.StartsSent, e.StartsSeen} }

// next is the only transition function: the lifecycle after one observation.
func (z lifecycle) next(c *Config, e Evidence, observerAtFault bool, now micros.Micros) lifecycle {
	z.observerAtFault = observerAtFault
	z = z.trackFullDisruption(c, e, now)
	switch z.state {
	case PartialDisruption:
		return z.nextFromPartialDisruption(c, e, now)
	case FullDisruption:
		return z.nextFromFullDisruption(c, e, now)
	case HeldDown:
		return z.nextFromHeldDown(c, e, now)
	case Reopening:
		return z.nextFromReopening(c, e, now)
	}
	if c.isPartiallyDisrupted(e) {
		return z.enter(PartialDisruption, ReasonHeartbeatsLate, e, now)
	}
	return z
}

// trackFullDisruption keeps since when a full disruption is evident.
func (z lifecycle) trackFullDisruption(c *Config, e Evidence, now micros.Micros) lifecycle {
	switch {
	case !c.isFullyDisrupted(e):
		z.disruptedSince = 0
	case z.disruptedSince == 0:
		z.disruptedSince = now
	}
	return z
}

// isConfirmed reports whether a full disruption has been evident for long enough, and the observer
// can be trusted.
func (z lifecycle) isConfirmed(c *Config, now micros.Micros) bool {
	return z.disruptedSince != 0 && now-z.disruptedSince >= c.ConfirmationTime && !z.observerAtFault
}

// nextFromPartialDisruption: it is over, or confirmed to be a full one, unless the observer is at
// fault.
func (z lifecycle) nextFromPartialDisruption(c *Config, e Evidence, now micros.Micros) lifecycle {
	switch {
	case e.Running == 0: // all were terminated one by one
		return z.enterHeldDown(c, ReasonNoMachines, e, now)
	case c.isNormal(e):
		return z.enter(Normal, ReasonHeartbeatsArrive, e, now)
	case z.isConfirmed(c, now):
		return z.enterFullDisruption(c, e, now)
	case z.observerAtFault && z.disruptedSince != 0:
		z.reason = ReasonObserverAtFault
	}
	return z
}

// nextFromFullDisruption: it is over when enough machines have recovered, or none is left that could.
func (z lifecycle) nextFromFullDisruption(c *Config, e Evidence, now micros.Micros) lifecycle {
	reason := ReasonHeartbeatsResumed
	switch {
	case e.Running == 0:
		reason = ReasonNoMachines
	case !c.hasRecovered(e) || c.isFullyDisrupted(e):
		return z
	}
	return z.enterHeldDown(c, reason, e, now)
}

// nextFromHeldDown: the zone reopens after the hold-down, unless it is disrupted again.
func (z lifecycle) nextFromHeldDown(c *Config, e Evidence, now micros.Micros) lifecycle {
	switch {
	case z.isConfirmed(c, now):
		return z.enterFullDisruption(c, e, now)
	case now >= z.holdDownUntil && (c.hasRecovered(e) || e.Running == 0):
		return z.enterStep(0, ReasonHoldDownOver, e, now)
	}
	return z
}

// nextFromReopening: a step that succeeds leads to the next one, and after the last the zone is
// normal; one that fails is undone.
func (z lifecycle) nextFromReopening(c *Config, e Evidence, now micros.Micros) lifecycle {
	if e.Running == 0 {
		z.since = now // nothing can be tried before a machine runs there
		return z
	}
	stepTime := now - z.since
	tried, arrived := e.StartsSent > z.stepStart.startsSent, e.StartsSeen > z.stepStart.startsSeen
	switch {
	case z.isConfirmed(c, now):
		return z.enterFullDisruption(c, e, now)
	case float64(e.Relapses-z.stepStart.relapses) > c.MaxRelapseShare*float64(e.Running):
		return z.undoStep(c, ReasonRelapse, e, now)
	case tried && !arrived && stepTime >= max(failedStepFactor*c.MinStepTime, failedStepHeartbeats*c.HeartbeatInterval):
		return z.undoStep(c, ReasonStartsFailed, e, now)
	case stepTime < c.MinStepTime || tried && !arrived || !tried && stepTime < untriedStepFactor*c.MinStepTime:
		return z
	case z.step+1 < len(c.OpenShares):
		return z.enterStep(z.step+1, ReasonStepSucceeded, e, now)
	}
	z = z.enter(Normal, ReasonFullyOpen, e, now)
	z.normalSince, z.keepSilent = now, false
	return z
}

// undoStep goes back from a step that failed: to the one before, or to a hold-down.
func (z lifecycle) undoStep(c *Config, reason Reason, e Evidence, now micros.Micros) lifecycle {
	if z.step > 0 {
		return z.enterStep(z.step-1, reason, e, now)
	}
	return z.enterHeldDown(c, reason, e, now)
}

// enterHeldDown starts a hold-down: heartbeats must arrive for a while before the zone is used.
func (z lifecycle) enterHeldDown(c *Config, reason Reason, e Evidence, now micros.Micros) lifecycle {
	z = z.enter(HeldDown, reason, e, now)
	z.holdDownUntil = now + c.holdDownAfter(z.flaps)
	return z
}

// enterFullDisruption counts the disruption as a flap. Some earlier ones are forgotten for the time
// that the zone was normal.
func (z lifecycle) enterFullDisruption(c *Config, e Evidence, now micros.Micros) lifecycle {
	if z.state == PartialDisruption && z.normalSince != 0 {
		z.flaps -= min(z.flaps, int((now-z.normalSince)/c.FlapExpiry))
	}
	z.flaps++
	return z.enter(FullDisruption, ReasonMostSilent, e, now)
}

// enter enters a state.
func (z lifecycle) enter(s State, reason Reason, e Evidence, now micros.Micros) lifecycle {
	z.state, z.reason, z.since, z.step = s, reason, now, 0
	z.stepStart = e.counters()
	return z
}

// enterStep enters a step of Reopening.
func (z lifecycle) enterStep(step int, reason Reason, e Evidence, now micros.Micros) lifecycle {
	z = z.enter(Reopening, reason, e, now)
	z.step = step
	return z
}
