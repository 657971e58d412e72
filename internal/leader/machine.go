package leader

import (
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// leaseExpiry tells when a silent machine has surely ended its tasks.
func (l *Leader) leaseExpiry(m *state.Machine) micros.Micros {
	if !m.TasksKnown() {
		w := l.Settings.Params.Workers
		// Another node may have renewed the lease until LeaseRenewalWindow after it
		// last saw itself entitled, which was before this term began, unless
		// all are known to have heard of this term sooner.
		last := l.startedAt + w.LeaseRenewalWindow()
		if alone := l.Term.EarlierTermsFencedSince(); alone != 0 {
			last = min(last, alone)
		}
		return max(last, m.Lease.RenewedAt) + w.LeaseDuration() + micros.MaxClockDrift(w.CancellationTimeout()) + micros.Second
	}
	return m.Lease.RenewedAt + l.leaseDuration + micros.MaxClockDrift(l.leaseDuration) + micros.Second
}

// silenceLimit is how long a machine may be silent before it is returned to
// the cloud, which proves its tasks gone and stops its cost.
func (l *Leader) silenceLimit(m *state.Machine) micros.Micros {
	if !m.TasksKnown() {
		// Old jobs wait for these, so a machine or two is the smaller loss. A live
		// worker reports within five quarters of the usual time; it may have to
		// give a node up before (4 s, and a pause of 1 s).
		late := l.heartbeatInterval + l.heartbeatInterval/4 + 2*micros.Second
		if m.Reconciliation.FailedQueries >= 2 && l.zoneQueries[m.Offering.Zone].mostResponded() && 10*l.unknownCount <= len(l.fleet.Sorted) {
			return min(late, unresponsiveLimit)
		}
		if 50*l.unknownCount <= len(l.fleet.Sorted) || m.Reconciliation.FailedQueries >= 2 && l.mostMachinesRespond() {
			return late
		}
		return late + 5*micros.Second
	}
	return max(3*l.heartbeatInterval+4*micros.Second, min(l.leaseDuration, 20*micros.Second))
}

// maxLostResponses is how many answers in a row must have been lost before a machine is
// taken for one that receives none.
const maxLostResponses = 3

// seemsReclaimed tells whether the cloud seems to have taken a machine without a notice: it is
// silent, and was listed before and is so no longer. That proves nothing, as lists
// lag; but it is a reason to return it now, which does.
func (l *Leader) seemsReclaimed(m *state.Machine, now micros.Micros) bool {
	return m.Instance.Listed && m.Instance.MissingLists >= 2 && l.isHeartbeatLate(m, now)
}

// silence is how long a machine has not been heard of in this term.
func (l *Leader) silence(m *state.Machine, now micros.Micros) micros.Micros {
	return now - max(m.Heartbeat.ReceivedAt, l.startedAt)
}

// superviseMachines acts on silence, notices and stops that take too long.
func (l *Leader) superviseMachines(now micros.Micros) {
	l.observeZones(now)
	l.fleet.CheckBoots(now)
	l.unknownCount = l.fleet.CountUnknown()
	for _, m := range slices.Clone(l.fleet.Sorted) {
		over := l.checkLease(m, now)
		if why := l.terminationReason(m, over, now); why != "" {
			l.fleet.Terminate(m, why)
		}
		if !m.Instance.Terminating && l.ignoresStop(m, now) {
			l.fleet.Terminate(m, "a cancelled task does not stop")
		}
	}
}

// checkLease takes the tasks off a machine whose lease is over, and tells whether it is.
func (l *Leader) checkLease(m *state.Machine, now micros.Micros) (over bool) {
	over = now > l.leaseExpiry(m)
	if over && (len(m.Attempts) > 0 || !m.TasksKnown()) {
		if len(m.Attempts) > 0 {
			l.events.Add("lease expired, tasks lost", "", m.ID)
		} else {
			l.events.Add("lease expired", "", m.ID)
		}
		l.releaseAll(m, "its lease ended")
	}
	if !over || !m.Instance.Running {
		m.Lease.ExpiredSince = 0
	} else if m.Lease.ExpiredSince == 0 {
		m.Lease.ExpiredSince = now
	}
	return over
}

// terminationReason is why a machine should be returned to the cloud, empty if it should not; over
// says that its lease is. Where many are silent at once the network is more likely at fault
// than they are: they are kept as long as their leases last, and as long again.
func (l *Leader) terminationReason(m *state.Machine, over bool, now micros.Micros) string {
	report := l.Settings.Params.Workers.HeartbeatInterval()
	kept := func() bool { return l.policy.Decide(m.Offering.Zone).KeepSilent }
	switch {
	case m.Instance.Terminating:
	case m.Instance.Running && l.silence(m, now) > l.silenceLimit(m) && (!kept() || m.Lease.ExpiredSince != 0 && now-m.Lease.ExpiredSince > l.leaseDuration):
		return "silent"
	case m.Instance.Running && l.seemsReclaimed(m, now):
		return "silent and no longer listed"
	case m.Delivery.LostResponses >= maxLostResponses && now-m.Delivery.LosingSince > l.silenceLimit(m) && (!kept() || over):
		return "it hears nothing"
	case !m.Instance.Running && m.Instance.FirstHeartbeatAt == 0 && now-m.Instance.LaunchedAt > l.fleet.BootTimeout(m) && now-l.startedAt > 2*report:
		l.fleet.RecordStuckBoot()
		return "did not boot"
	case m.DrainReason != "" && len(m.Attempts) == 0 && m.TasksKnown():
		return m.DrainReason
	case m.DrainReason == drainFaulty && now-m.Quarantine.Since > 3*report:
		// What still runs there had time to save and would fail as well. A next leader
		// would have to find the fault anew.
		return m.DrainReason
	}
	return ""
}

// ignoresStop tells whether a machine has not stopped a task of a job that is over. It is
// returned well before cancel_s.
func (l *Leader) ignoresStop(m *state.Machine, now micros.Micros) bool {
	if m.StoppingCount == 0 {
		return false
	}
	w := l.Settings.Params.Workers
	limit := (w.CancellationTimeout() - w.LeaseDuration()) / 2
	for _, a := range m.Attempts {
		if a.StopRequestedAt != 0 && a.Job.Ended && now-a.StopRequestedAt > limit {
			return true
		}
	}
	return false
}

// assign counts a task as being on its machine.
func (l *Leader) assign(a *state.Attempt) {
	l.recordMoved(a)
	a.Attach()
	team := a.Job.Spec.Team
	l.teamUsage[team] = l.teamUsage[team].Add(a.Job.Need, 1)
	l.publishAssigned(a)
}

// releaseAll frees all tasks of a machine that are surely gone.
func (l *Leader) releaseAll(m *state.Machine, why string) {
	for _, a := range m.Attempts {
		l.release(a, why)
	}
	m.Reconciliation.Knowledge = state.TasksConfirmed
	m.Planned = nil
	l.scheduler.RequestPlan()
	l.publishMachine(m)
}

// release frees a task that is no longer on its machine.
func (l *Leader) release(a *state.Attempt, why string) {
	job := a.Job
	l.publishRemoved(a)
	l.teamUsage[job.Spec.Team] = l.teamUsage[job.Spec.Team].Add(job.Need, -1)
	if a.Detach(micros.Now()) {
		if len(job.Attempts) == 0 {
			delete(l.cancelledJobs, job.Spec.ID)
		}
		l.gangs.ObserveRelease(a)
	}
	if a.StopReason != "" {
		why = a.StopReason
	}
	if !job.Ended && !job.Done.Has(a.Index) {
		l.recordDisplaced(a)
		l.recordStop(a, why)
		l.scheduler.RequestPlan() // it waits again
	}
}

// stopTask tells a task to stop.
func (l *Leader) stopTask(a *state.Attempt, grace micros.Micros, why string) {
	if l.markStopping(a, grace, why) {
		l.dispatcher.Send(commandTarget(a.Machine), stopCommand(a))
	}
}

// markStopping notes that a task is to stop, and tells whether its machine must be told.
func (l *Leader) markStopping(a *state.Attempt, grace micros.Micros, reason string) (mustTell bool) {
	if a.Reserved {
		l.gangs.ReleaseUnsent(a, reason)
		return false
	}
	if !a.MarkStopping(grace, reason, micros.Now()) {
		return false
	}
	l.publishAssigned(a)
	return true
}

func stopCommand(a *state.Attempt) wire.Command {
	return wire.Command{Verb: wire.VerbStop, TaskID: a.TaskID(), Attempt: a.Number, GracePeriodS: secondsPtr(a.GracePeriod)}
}

func secondsPtr(m micros.Micros) *float64 {
	s := m.Seconds()
	return &s
}
