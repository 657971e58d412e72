package zone

import "caperlatch/internal/micros"

// Durations of a step of reopening, as multiples of the minimum duration.
const (
	// stepWithoutStartsFactor is the multiple after which a step has succeeded if no start was sent to the zone.
	stepWithoutStartsFactor = 2
	// failedStepFactor is the multiple after which a step has failed if starts were sent and none was seen. A step does
	// not fail sooner than after failedStepHeartbeats heartbeat intervals.
	failedStepFactor     = 8
	failedStepHeartbeats = 4
)

// lifecycle is the state of one zone, with the data on which its next transition depends. The zero value is a normal
// zone.
type lifecycle struct {
	state                State
	reason               Reason
	since                micros.Micros // when the state or step began
	step                 int           // of Reopening, from 0
	flaps                int           // number of full disruptions that have not expired; it sets the hold-down
	normalSince          micros.Micros // when the zone became normal after a full disruption; 0 if it never did
	holdDownUntil        micros.Micros // when the hold-down may end
	retainSilentMachines bool          // set if the disruption affects a large part of the fleet

	disruptedSince  micros.Micros // since when the evidence shows a full disruption; 0 if the last evidence shows none
	observerAtFault bool          // the fault is more likely the observer's than the zone's
	countersAtStart counters      // counters when the state or step began
}

// counters holds the fields of Evidence that only grow.
type counters struct{ relapses, startsSent, startsSeen int }

// counters returns the fields of the evidence that only grow.
func (e Evidence) counters() counters { return counters{e.Relapses, e.StartsSent, e.StartsSeen} }

// next returns the lifecycle after one observation. All transitions go through it, except that Observe resets the
// lifecycle of an exempt zone.
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

// trackFullDisruption updates the time since which the evidence shows a full disruption.
func (z lifecycle) trackFullDisruption(c *Config, e Evidence, now micros.Micros) lifecycle {
	switch {
	case !c.isFullyDisrupted(e):
		z.disruptedSince = 0
	case z.disruptedSince == 0:
		z.disruptedSince = now
	}
	return z
}

// isConfirmed reports whether the evidence has shown a full disruption for ConfirmationTime, and the observer is not
// at fault.
func (z lifecycle) isConfirmed(c *Config, now micros.Micros) bool {
	return z.disruptedSince != 0 && now-z.disruptedSince >= c.ConfirmationTime && !z.observerAtFault
}

// nextFromPartialDisruption returns the lifecycle after an observation of a partially disrupted zone. The zone becomes
// normal once few enough machines are not ready, and fully disrupted once a full disruption is confirmed. While the
// observer is at fault, a full disruption cannot be confirmed. The zone is held down once no machine is left there.
func (z lifecycle) nextFromPartialDisruption(c *Config, e Evidence, now micros.Micros) lifecycle {
	switch {
	case e.Running == 0: // all machines were terminated one by one
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

// nextFromFullDisruption returns the lifecycle after an observation of a fully disrupted zone. The disruption is over
// when enough machines have recovered and the evidence no longer shows a full disruption, or when no machine is left
// that could recover.
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

// nextFromHeldDown returns the lifecycle after an observation of a held-down zone. The zone reopens after the hold-down,
// once enough machines have recovered or none is left. A confirmed full disruption ends the hold-down early.
func (z lifecycle) nextFromHeldDown(c *Config, e Evidence, now micros.Micros) lifecycle {
	switch {
	case z.isConfirmed(c, now):
		return z.enterFullDisruption(c, e, now)
	case now >= z.holdDownUntil && (c.hasRecovered(e) || e.Running == 0):
		return z.enterStep(0, ReasonHoldDownOver, e, now)
	}
	return z
}

// nextFromReopening returns the lifecycle after an observation of a reopening zone. A step that succeeds leads to the
// next one, and the last one to the normal state. A step that fails is undone.
func (z lifecycle) nextFromReopening(c *Config, e Evidence, now micros.Micros) lifecycle {
	if e.Running == 0 {
		z.since = now // the step cannot be evaluated before a machine runs in the zone
		return z
	}
	stepTime := now - z.since
	anySent, anySeen := e.StartsSent > z.countersAtStart.startsSent, e.StartsSeen > z.countersAtStart.startsSeen
	switch {
	case z.isConfirmed(c, now):
		return z.enterFullDisruption(c, e, now)
	case float64(e.Relapses-z.countersAtStart.relapses) > c.MaxRelapseShare*float64(e.Running):
		return z.undoStep(c, ReasonRelapse, e, now)
	case anySent && !anySeen && stepTime >= max(failedStepFactor*c.MinStepTime, failedStepHeartbeats*c.HeartbeatInterval):
		return z.undoStep(c, ReasonStartsFailed, e, now)
	case stepTime < c.MinStepTime || anySent && !anySeen || !anySent && stepTime < stepWithoutStartsFactor*c.MinStepTime:
		return z
	case z.step+1 < len(c.OpenShares):
		return z.enterStep(z.step+1, ReasonStepSucceeded, e, now)
	}
	z = z.enter(Normal, ReasonFullyOpen, e, now)
	z.normalSince, z.retainSilentMachines = now, false
	return z
}

// undoStep returns the lifecycle after a failed step, which is in the previous step, or in a hold-down if the first step
// failed.
func (z lifecycle) undoStep(c *Config, reason Reason, e Evidence, now micros.Micros) lifecycle {
	if z.step > 0 {
		return z.enterStep(z.step-1, reason, e, now)
	}
	return z.enterHeldDown(c, reason, e, now)
}

// enterHeldDown starts a hold-down. The zone is not used before the hold-down ends.
func (z lifecycle) enterHeldDown(c *Config, reason Reason, e Evidence, now micros.Micros) lifecycle {
	z = z.enter(HeldDown, reason, e, now)
	z.holdDownUntil = now + c.holdDownAfter(z.flaps)
	return z
}

// enterFullDisruption enters the state FullDisruption and counts the disruption as a flap. If the zone had become
// normal before, one earlier flap expires for each FlapExpiry since then.
func (z lifecycle) enterFullDisruption(c *Config, e Evidence, now micros.Micros) lifecycle {
	if z.state == PartialDisruption && z.normalSince != 0 {
		z.flaps -= min(z.flaps, int((now-z.normalSince)/c.FlapExpiry))
	}
	z.flaps++
	return z.enter(FullDisruption, ReasonMostSilent, e, now)
}

// enter enters a state, at its first step.
func (z lifecycle) enter(s State, reason Reason, e Evidence, now micros.Micros) lifecycle {
	z.state, z.reason, z.since, z.step = s, reason, now, 0
	z.countersAtStart = e.counters()
	return z
}

// enterStep enters the given step of Reopening, counted from 0.
func (z lifecycle) enterStep(step int, reason Reason, e Evidence, now micros.Micros) lifecycle {
	z = z.enter(Reopening, reason, e, now)
	z.step = step
	return z
}
