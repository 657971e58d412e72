package zone

import "caperlatch/internal/micros"

// Times of a step of a return.
const (
	stepUntried   = 2 // least times, after which a step is held if no start was sent there
	stepFailed    = 8 // least times, after which starts that were sent and not seen have failed,
	failedReports = 4 // but no sooner than so many reports
)

// lifecycle is the state of one zone and what its next transition depends on.
type lifecycle struct {
	state  State
	reason Reason
	since  micros.Micros // of state and step
	step   int           // of a return, from 0
	flaps  int           // losses that are not forgotten
	calm   micros.Micros // since when it has been healthy
	until  micros.Micros // end of a hold-down
	keep   bool          // its silent machines are kept: the loss is a large part of the fleet

	lossSince       micros.Micros // since when the evidence speaks for a loss, 0 if it does not
	observerAtFault bool
	// The counters as the step began.
	relapses, sent, started int
}

// next is the only transition function: the lifecycle after one observation.
func (z lifecycle) next(c *Config, e Evidence, observerAtFault bool, now micros.Micros) lifecycle {
	z.observerAtFault = observerAtFault
	z = z.timeLoss(c, e, now)
	switch z.state {
	case PartialDisruption:
		return z.whileSuspected(c, e, now)
	case FullDisruption:
		return z.whileLost(c, e, now)
	case HeldDown:
		return z.whileHeldDown(c, e, now)
	case Reopening:
		return z.whileReturning(c, e, now)
	}
	if c.suspicious(e) {
		return z.to(PartialDisruption, ReasonHeartbeatsLate, e, now)
	}
	return z
}

// timeLoss notes since when the evidence speaks for a loss.
func (z lifecycle) timeLoss(c *Config, e Evidence, now micros.Micros) lifecycle {
	switch {
	case !c.lost(e):
		z.lossSince = 0
	case z.lossSince == 0:
		z.lossSince = now
	}
	return z
}

// confirmed tells whether the evidence has spoken for a loss for long enough, and the
// observer can be trusted.
func (z lifecycle) confirmed(c *Config, now micros.Micros) bool {
	return z.lossSince != 0 && now-z.lossSince >= c.ConfirmationTime && !z.observerAtFault
}

func (z lifecycle) whileSuspected(c *Config, e Evidence, now micros.Micros) lifecycle {
	switch {
	case e.Running == 0: // all were given up as single machines
		return z.holdDown(c, ReasonNoMachines, e, now)
	case c.clear(e):
		return z.to(Normal, ReasonHeartbeatsArrive, e, now)
	case z.confirmed(c, now):
		return z.lose(c, e, now)
	case z.observerAtFault && z.lossSince != 0:
		z.reason = ReasonObserverAtFault
	}
	return z
}

func (z lifecycle) whileLost(c *Config, e Evidence, now micros.Micros) lifecycle {
	reason := ReasonHeartbeatsResumed
	switch {
	case e.Running == 0:
		reason = ReasonNoMachines
	case !c.heard(e) || c.lost(e):
		return z
	}
	return z.holdDown(c, reason, e, now)
}

func (z lifecycle) whileHeldDown(c *Config, e Evidence, now micros.Micros) lifecycle {
	switch {
	case z.confirmed(c, now):
		return z.lose(c, e, now)
	case now >= z.until && (c.heard(e) || e.Running == 0):
		return z.toStep(0, ReasonHoldDownOver, e, now)
	}
	return z
}

func (z lifecycle) whileReturning(c *Config, e Evidence, now micros.Micros) lifecycle {
	if e.Running == 0 {
		z.since = now // nothing can be tried before a machine comes up there
		return z
	}
	held := now - z.since
	tried, seen := e.StartsSent > z.sent, e.StartsSeen > z.started
	switch {
	case z.confirmed(c, now):
		return z.lose(c, e, now)
	case float64(e.Relapses-z.relapses) > c.MaxRelapseShare*float64(e.Running):
		return z.back(c, ReasonRelapse, e, now)
	case tried && !seen && held >= max(stepFailed*c.MinStepTime, failedReports*c.HeartbeatInterval):
		return z.back(c, ReasonStartsFailed, e, now)
	case held < c.MinStepTime || tried && !seen || !tried && held < stepUntried*c.MinStepTime:
		return z
	case z.step+1 < len(c.OpenShares):
		return z.toStep(z.step+1, ReasonStepSucceeded, e, now)
	}
	z = z.to(Normal, ReasonFullyOpen, e, now)
	z.calm, z.keep = now, false
	return z
}

// back undoes a step that failed. Before the first one is a hold-down.
func (z lifecycle) back(c *Config, reason Reason, e Evidence, now micros.Micros) lifecycle {
	if z.step > 0 {
		return z.toStep(z.step-1, reason, e, now)
	}
	return z.holdDown(c, reason, e, now)
}

// holdDown has the zone be heard for a while before it is used.
func (z lifecycle) holdDown(c *Config, reason Reason, e Evidence, now micros.Micros) lifecycle {
	z = z.to(HeldDown, reason, e, now)
	z.until = now + c.holdDown(z.flaps)
	return z
}

// lose is the verdict. A loss soon after another is a flap; calm has made some forgotten.
func (z lifecycle) lose(c *Config, e Evidence, now micros.Micros) lifecycle {
	if z.state == PartialDisruption && z.calm != 0 {
		z.flaps -= min(z.flaps, int((now-z.calm)/c.FlapExpiry))
	}
	z.flaps++
	return z.to(FullDisruption, ReasonMostSilent, e, now)
}

// to enters a state.
func (z lifecycle) to(s State, reason Reason, e Evidence, now micros.Micros) lifecycle {
	z.state, z.reason, z.since, z.step = s, reason, now, 0
	z.relapses, z.sent, z.started = e.Relapses, e.StartsSent, e.StartsSeen
	return z
}

// toStep enters a step of a return.
func (z lifecycle) toStep(step int, reason Reason, e Evidence, now micros.Micros) lifecycle {
	z = z.to(Reopening, reason, e, now)
	z.step = step
	return z
}
