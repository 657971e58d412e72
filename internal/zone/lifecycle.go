package zone

import "caperlatch/internal/micros"

// Times of a step of a return.
const (
	untriedStepFactor    = 2 // least times, after which a step is held if no start was sent there
	failedStepFactor     = 8 // least times, after which starts that were sent and not seen have failed,
	failedStepHeartbeats = 4 // but no sooner than so many reports
)

// lifecycle is the state of one zone and what its next transition depends on.
type lifecycle struct {
	state         State
	reason        Reason
	since         micros.Micros // of state and step
	step          int           // of a return, from 0
	flaps         int           // losses that are not forgotten
	normalSince   micros.Micros // since when it has been healthy
	holdDownUntil micros.Micros // end of a hold-down
	keepSilent    bool          // its silent machines are kept: the loss is a large part of the fleet

	disruptedSince  micros.Micros // since when the evidence speaks for a loss, 0 if it does not
	observerAtFault bool
	// The counters as the step began.
	relapses, startsSent, startsSeen int
}

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

// trackFullDisruption notes since when the evidence speaks for a loss.
func (z lifecycle) trackFullDisruption(c *Config, e Evidence, now micros.Micros) lifecycle {
	switch {
	case !c.isFullyDisrupted(e):
		z.disruptedSince = 0
	case z.disruptedSince == 0:
		z.disruptedSince = now
	}
	return z
}

// isConfirmed tells whether the evidence has spoken for a loss for long enough, and the
// observer can be trusted.
func (z lifecycle) isConfirmed(c *Config, now micros.Micros) bool {
	return z.disruptedSince != 0 && now-z.disruptedSince >= c.ConfirmationTime && !z.observerAtFault
}

func (z lifecycle) nextFromPartialDisruption(c *Config, e Evidence, now micros.Micros) lifecycle {
	switch {
	case e.Running == 0: // all were given up as single machines
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

func (z lifecycle) nextFromHeldDown(c *Config, e Evidence, now micros.Micros) lifecycle {
	switch {
	case z.isConfirmed(c, now):
		return z.enterFullDisruption(c, e, now)
	case now >= z.holdDownUntil && (c.hasRecovered(e) || e.Running == 0):
		return z.enterStep(0, ReasonHoldDownOver, e, now)
	}
	return z
}

func (z lifecycle) nextFromReopening(c *Config, e Evidence, now micros.Micros) lifecycle {
	if e.Running == 0 {
		z.since = now // nothing can be tried before a machine comes up there
		return z
	}
	stepTime := now - z.since
	tried, arrived := e.StartsSent > z.startsSent, e.StartsSeen > z.startsSeen
	switch {
	case z.isConfirmed(c, now):
		return z.enterFullDisruption(c, e, now)
	case float64(e.Relapses-z.relapses) > c.MaxRelapseShare*float64(e.Running):
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

// undoStep undoes a step that failed. Before the first one is a hold-down.
func (z lifecycle) undoStep(c *Config, reason Reason, e Evidence, now micros.Micros) lifecycle {
	if z.step > 0 {
		return z.enterStep(z.step-1, reason, e, now)
	}
	return z.enterHeldDown(c, reason, e, now)
}

// enterHeldDown has the zone be heard for a while before it is used.
func (z lifecycle) enterHeldDown(c *Config, reason Reason, e Evidence, now micros.Micros) lifecycle {
	z = z.enter(HeldDown, reason, e, now)
	z.holdDownUntil = now + c.holdDownAfter(z.flaps)
	return z
}

// enterFullDisruption is the verdict. A loss soon after another is a flap; calm has made some forgotten.
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
	z.relapses, z.startsSent, z.startsSeen = e.Relapses, e.StartsSent, e.StartsSeen
	return z
}

// enterStep enters a step of a return.
func (z lifecycle) enterStep(step int, reason Reason, e Evidence, now micros.Micros) lifecycle {
	z = z.enter(Reopening, reason, e, now)
	z.step = step
	return z
}
