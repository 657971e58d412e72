package leader

import (
	"errors"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// ErrCannotRespond says that this node must not answer a report now.
var ErrCannotRespond = errors.New("not entitled to answer")

// deferralWindow is how long a worker that was sent away in doubt may come back
// for an answer.
const deferralWindow = 15 * micros.Second

// HandleHeartbeat takes a worker's report and answers with its orders.
func (l *Leader) HandleHeartbeat(r *wire.Heartbeat) (wire.HeartbeatResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := micros.Now()
	answer := wire.HeartbeatResponse{FencingToken: l.FencingToken, Commands: []wire.Command{}}
	if !l.canRespond(r, now) {
		return answer, ErrCannotRespond
	}
	// What this node has told a user, or was told by a peer, holds for the answer: no
	// task of a job that is known here as cancelled may start.
	l.applyJobChanges()
	m := l.fleet.Machines[r.MachineID]
	if m == nil {
		answer.Commands = append(answer.Commands, l.stopsForEndedJobs(r)...)
		return answer, l.adoptUnknownMachine(r, now)
	}
	if !l.acceptsHeartbeat(m, r, now) {
		return answer, ErrCannotRespond
	}
	l.endEarlierIncarnation(m, r)
	l.recordHeartbeat(m, r, now)
	l.reconcileIfCurrent(m, r, now)
	l.drainOnInterruption(m, now)
	l.publishMachine(m)
	answer.Commands = l.planCommands(m, now)
	return answer, nil
}

// canRespond tells whether this node may answer a report now. A report with a higher
// token ends the term.
func (l *Leader) canRespond(r *wire.Heartbeat, now micros.Micros) bool {
	if l.superseded || r.FencingToken > l.FencingToken {
		l.superseded = true
		l.loseTerm()
		return false
	}
	return l.ready && !l.handingOver && now < l.Term.LastConfirmed()+l.Settings.Params.Workers.LeaseRenewalWindow()
}

// acceptsHeartbeat tells whether a known machine's report is to be answered.
func (l *Leader) acceptsHeartbeat(m *state.Machine, r *wire.Heartbeat, now micros.Micros) bool {
	if !l.Term.IsExclusive() && now-m.Lease.DeferredAt > deferralWindow {
		// Another node may lead by now. A worker that finds no other answer
		// comes back and has its lease renewed.
		m.Lease.DeferredAt = now
		return false
	}
	// A late copy is refused. Its worker gave up waiting for the answer.
	late := r.Incarnation < m.Heartbeat.Incarnation || r.Incarnation == m.Heartbeat.Incarnation && r.Sequence <= m.Heartbeat.Sequence
	return !late
}

// endEarlierIncarnation frees the tasks of a worker's session when a later one reports.
func (l *Leader) endEarlierIncarnation(m *state.Machine, r *wire.Heartbeat) {
	if m.Heartbeat.Incarnation == 0 || r.Incarnation <= m.Heartbeat.Incarnation {
		return
	}
	// That an earlier session ended says nothing of what earlier terms started in this
	// one: a report held back from before a take-over may be all that is known of it.
	knowledge := m.Reconciliation.Knowledge
	l.releaseAll(m, "the worker's session ended")
	m.Reconciliation.Knowledge = knowledge
	m.Reconciliation.QueriedSequence = 0
	m.Delivery.Sent = m.Delivery.Sent[:0]
}

// recordHeartbeat notes what a report tells besides the tasks.
func (l *Leader) recordHeartbeat(m *state.Machine, r *wire.Heartbeat, now micros.Micros) {
	m.Heartbeat.Incarnation, m.Heartbeat.Sequence, m.Instance.Address = r.Incarnation, r.Sequence, r.Address
	l.checkZone(m, r)
	m.Heartbeat.ReceivedAt = now
	m.Lease.RenewedAt = now
	m.Heartbeat.InterruptionAt = 0
	if r.InterruptionNoticeS != nil {
		m.Heartbeat.InterruptionAt = now + micros.FromSeconds(*r.InterruptionNoticeS)
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

// reconcileIfCurrent takes over the tasks of a report that is a snapshot of its machine.
func (l *Leader) reconcileIfCurrent(m *state.Machine, r *wire.Heartbeat, now micros.Micros) {
	// One that is older than what the machine answered when asked tells nothing new.
	m.Heartbeat.OfThisTerm = r.FencingToken == l.FencingToken && r.Sequence > m.Reconciliation.QueriedSequence
	if !m.Heartbeat.OfThisTerm && m.Delivery.RespondedThisTerm {
		l.liveness.RecordLostResponse(m, now)
	}
	m.Delivery.RespondedThisTerm = true
	if m.Heartbeat.OfThisTerm {
		l.observeZoneReturn(m, now)
		l.reconcile(m, r, now)
	} else {
		// The answer may renew the machine's lease, whatever is thought of the report.
		m.Delivery.FollowUps = l.stopsForEndedJobs(r)
	}
}

// stopsForEndedJobs has the tasks of jobs that are over stopped by the answer to a report which is
// not taken for the machine's snapshot. Every answer that renews a lease must do that: one
// that came first after a take-over, to a machine which then heard nothing more, kept
// cancelled tasks for a lease too long.
func (l *Leader) stopsForEndedJobs(r *wire.Heartbeat) (stops []wire.Command) {
	for i := range r.Tasks {
		t := &r.Tasks[i]
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

// planCommands plans anew if that is due, and gives the orders for the machine that reports.
func (l *Leader) planCommands(m *state.Machine, now micros.Micros) []wire.Command {
	l.responding = m
	defer func() { l.responding = nil }()
	l.planIfNeeded(now)
	return l.commandsForMachine(m, now)
}

// drainOnInterruption empties a machine that the cloud will take.
func (l *Leader) drainOnInterruption(m *state.Machine, now micros.Micros) {
	if m.Heartbeat.InterruptionAt == 0 {
		return
	}
	if m.DrainReason == "" {
		m.DrainReason = "spot notice"
		l.replan = true
	}
	for _, a := range m.Attempts {
		s := a.Job.Spec
		if a.Job.IsGang() {
			l.evictGangTask(a, max(state.CheckpointGrace(a.Job), m.Heartbeat.InterruptionAt-now), "its spot machine is being taken", now)
		} else if s.CheckpointIntervalS > 0 && a.StopRequestedAt == 0 {
			l.stopTask(a, max(micros.FromSeconds(s.CheckpointDurationS), m.Heartbeat.InterruptionAt-now), "its spot machine is being taken")
		}
	}
}

// adoptUnknownMachine handles a machine that no answered booking explains: a rental
// carried out late.
func (l *Leader) adoptUnknownMachine(r *wire.Heartbeat, now micros.Micros) error {
	if l.fleet.WasTerminated(r.MachineID) {
		return ErrCannotRespond
	}
	offering := state.Offering{Type: r.InstanceType, Zone: r.Zone, Spot: r.Spot}
	if l.fleet.HasOpenIntent(offering) {
		return nil // the answer to its launch will name it
	}
	if r.FencingToken != l.FencingToken {
		// It may be a late copy, and its machine long gone: taken for a machine it would
		// count as supply, and a next leader would wait for what it may hold. The answer
		// tells a live one this term's token, and it reports again at once.
		return nil
	}
	l.fleet.Adopt(r.MachineID, offering, now)
	return nil
}
