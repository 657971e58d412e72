package leader

import (
	"errors"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// ErrCannotRespond is returned when this node must not respond to a heartbeat now.
var ErrCannotRespond = errors.New("not entitled to answer")

// deferralWindow is for how long a worker whose heartbeat was refused while leadership was in doubt may come
// back for a response.
const deferralWindow = 15 * micros.Second

// HandleHeartbeat takes a worker's heartbeat, and returns the commands for it.
func (l *Leader) HandleHeartbeat(h *wire.Heartbeat) (wire.HeartbeatResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := micros.Now()
	response := wire.HeartbeatResponse{FencingToken: l.FencingToken, Commands: []wire.Command{}}
	l.observeFencingToken(h)
	if !l.canRespond(now) {
		return response, ErrCannotRespond
	}
	// What this node has told a user in a response, or has got from a peer, holds for this response: no
	// task of a job that is known here as cancelled may start.
	l.applyJobChanges()
	m := l.fleet.Machines[h.MachineID]
	if m == nil {
		response.Commands = append(response.Commands, l.stopsForEndedJobs(h)...)
		return response, l.adoptUnknownMachine(h, now)
	}
	if !l.acceptsHeartbeat(m, h, now) {
		return response, ErrCannotRespond
	}
	l.endEarlierIncarnation(m, h)
	l.recordHeartbeat(m, h, now)
	l.reconcileIfCurrent(m, h, now)
	l.drainOnInterruption(m, now)
	l.publishMachine(m)
	response.Commands = l.planCommands(m, now)
	return response, nil
}

// observeFencingToken ends the term if a worker has seen a higher fencing token.
func (l *Leader) observeFencingToken(h *wire.Heartbeat) {
	if h.FencingToken > l.FencingToken {
		l.superseded = true
		l.loseTerm()
	}
}

// canRespond reports whether this node may respond to heartbeats now.
func (l *Leader) canRespond(now micros.Micros) bool {
	return !l.superseded && l.ready && !l.handingOver && now < l.Term.LastConfirmed()+l.Settings.Params.Workers.LeaseRenewalWindow()
}

// acceptsHeartbeat reports whether a known machine's heartbeat is to be handled. One that is deferred is noted,
// so that the next is not.
func (l *Leader) acceptsHeartbeat(m *state.Machine, h *wire.Heartbeat, now micros.Micros) bool {
	if l.mustDefer(m, now) {
		m.Lease.DeferredAt = now
		return false
	}
	return !isLateCopy(m, h)
}

// mustDefer reports whether a machine's heartbeat is to be refused once, as another node may lead by now. A
// worker that finds no other leader comes back, and has its lease renewed.
func (l *Leader) mustDefer(m *state.Machine, now micros.Micros) bool {
	return !l.Term.IsExclusive() && now-m.Lease.DeferredAt > deferralWindow
}

// isLateCopy reports whether a heartbeat is no newer than the machine's latest. Its worker gave up
// waiting for the response.
func isLateCopy(m *state.Machine, h *wire.Heartbeat) bool {
	latest := &m.Heartbeat
	return h.Incarnation < latest.Incarnation || h.Incarnation == latest.Incarnation && h.Sequence <= latest.Sequence
}

// endEarlierIncarnation releases the tasks of a worker's incarnation when a later one sends a heartbeat.
func (l *Leader) endEarlierIncarnation(m *state.Machine, h *wire.Heartbeat) {
	if m.Heartbeat.Incarnation == 0 || h.Incarnation <= m.Heartbeat.Incarnation {
		return
	}
	// That an earlier incarnation ended proves nothing of what earlier terms started in this one: a
	// heartbeat held back from before a failover may be all that is known of it.
	knowledge := m.Reconciliation.Knowledge
	l.releaseAll(m, "the worker's session ended")
	m.Reconciliation.Knowledge = knowledge
	m.Reconciliation.QueriedSequence = 0
	m.Delivery.Sent = m.Delivery.Sent[:0]
}

// recordHeartbeat records what a heartbeat says besides the status of tasks.
func (l *Leader) recordHeartbeat(m *state.Machine, h *wire.Heartbeat, now micros.Micros) {
	m.Heartbeat.Incarnation, m.Heartbeat.Sequence, m.Instance.Address = h.Incarnation, h.Sequence, h.Address
	l.zones.CheckReportedZone(m, h.Zone)
	m.Heartbeat.ReceivedAt = now
	m.Lease.RenewedAt = now
	m.Heartbeat.InterruptionAt = 0
	if h.InterruptionNoticeS != nil {
		m.Heartbeat.InterruptionAt = now + micros.FromSeconds(*h.InterruptionNoticeS)
	}
	if m.Instance.FirstHeartbeatAt == 0 {
		m.Instance.FirstHeartbeatAt = now
		if !m.Instance.Running {
			l.fleet.RecordBoot(m, now)
		}
	}
	if !m.Instance.Running {
		l.fleet.RegisterRunning(m)
	}
}

// reconcileIfCurrent reconciles the tasks of a heartbeat that is a snapshot of its machine in this term.
func (l *Leader) reconcileIfCurrent(m *state.Machine, h *wire.Heartbeat, now micros.Micros) {
	// One that is older than the machine's response to a task query says nothing new.
	m.Heartbeat.FromCurrentTerm = h.FencingToken == l.FencingToken && h.Sequence > m.Reconciliation.QueriedSequence
	if !m.Heartbeat.FromCurrentTerm && m.Delivery.RespondedThisTerm {
		l.liveness.RecordLostResponse(m, now)
	}
	m.Delivery.RespondedThisTerm = true
	if m.Heartbeat.FromCurrentTerm {
		l.zones.ObserveReturn(m, now)
		l.reconcile(m, h, now)
	} else {
		// The response may renew the machine's lease, whatever is thought of the heartbeat.
		m.Delivery.FollowUps = l.stopsForEndedJobs(h)
	}
}

// stopsForEndedJobs are the stops for tasks of ended jobs in the response to a heartbeat that is not taken
// for the machine's snapshot. Every response that renews a lease must have them: one that came first after a
// failover, to a machine that got no other, kept cancelled tasks for a lease too long.
func (l *Leader) stopsForEndedJobs(h *wire.Heartbeat) (stops []wire.Command) {
	for i := range h.Tasks {
		t := &h.Tasks[i]
		id, _, err := state.ParseTaskID(t.TaskID)
		if err != nil || t.State == wire.TaskExited {
			continue
		}
		if j, _, ok := l.Replica.Job(id); ok && j.IsFinal() {
			stops = append(stops, stopAtOnce(t))
		}
	}
	return stops
}

// planCommands plans anew if that is due, and returns the commands for the machine whose heartbeat is being
// handled.
func (l *Leader) planCommands(m *state.Machine, now micros.Micros) []wire.Command {
	l.scheduler.PlanIfNeeded(m, now)
	return l.commandsForMachine(m, now)
}

// drainOnInterruption drains a machine that the cloud will take back.
func (l *Leader) drainOnInterruption(m *state.Machine, now micros.Micros) {
	if m.Heartbeat.InterruptionAt == 0 {
		return
	}
	if m.DrainReason == "" {
		m.DrainReason = "spot notice"
		l.scheduler.RequestPlan()
	}
	const reason = "its spot machine is being taken"
	remaining := m.Heartbeat.InterruptionAt - now
	for _, a := range m.Attempts {
		s := a.Job.Spec
		if a.Job.IsGang() {
			l.gangs.EvictTask(a, max(state.CheckpointGrace(a.Job), remaining), reason, now)
		} else if s.CheckpointIntervalS > 0 && a.StopRequestedAt == 0 {
			l.stopTask(a, max(micros.FromSeconds(s.CheckpointDurationS), remaining), reason)
		}
	}
}

// adoptUnknownMachine takes a machine into the fleet that no launch intent with a response explains: a launch that
// was carried out late.
func (l *Leader) adoptUnknownMachine(h *wire.Heartbeat, now micros.Micros) error {
	if l.fleet.WasTerminated(h.MachineID) {
		return ErrCannotRespond
	}
	offering := state.Offering{Type: h.InstanceType, Zone: h.Zone, Spot: h.Spot}
	if l.fleet.HasOpenIntent(offering) {
		return nil // the response to its launch will name it
	}
	if h.FencingToken != l.FencingToken {
		// It may be a late copy, and its machine terminated long ago: taken for a machine it would
		// count as supply, and a next leader would wait for what it may hold. The response
		// carries this term's fencing token to a live one, which sends its next heartbeat at once.
		return nil
	}
	l.fleet.Adopt(h.MachineID, offering, now)
	return nil
}
