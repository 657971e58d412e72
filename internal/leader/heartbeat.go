package leader

import (
	"errors"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// ErrCannotRespond is returned if this node must not respond to a heartbeat now.
var ErrCannotRespond = errors.New("not entitled to answer")

// deferralWindow limits how often a worker's heartbeats are refused because another node may lead. After a refusal,
// they are answered for this long.
const deferralWindow = 15 * micros.Second

// HandleHeartbeat processes a worker's heartbeat and returns the response with the commands for the worker.
func (l *Leader) HandleHeartbeat(h *wire.Heartbeat) (wire.HeartbeatResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := micros.Now()
	response := wire.HeartbeatResponse{FencingToken: l.FencingToken, Commands: []wire.Command{}}
	l.observeFencingToken(h)
	if !l.canRespond(now) {
		return response, ErrCannotRespond
	}
	// The response must reflect the job changes that this node has confirmed to a user or received from a peer: no
	// task may start whose job is known here as cancelled.
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

// observeFencingToken ends the term if a heartbeat shows that its worker has seen a higher fencing token.
func (l *Leader) observeFencingToken(h *wire.Heartbeat) {
	if h.FencingToken > l.FencingToken {
		l.superseded = true
		l.loseTerm()
	}
}

// canRespond reports whether this leader may respond to heartbeats now. A response may renew a lease, so the latest
// confirmation of leadership must be no older than the lease renewal window.
func (l *Leader) canRespond(now micros.Micros) bool {
	return !l.superseded && l.ready && !l.handingOver && now < l.Term.LastConfirmed()+l.Settings.Params.Workers.LeaseRenewalWindow()
}

// acceptsHeartbeat reports whether a known machine's heartbeat is processed. If the heartbeat is deferred, it records
// the time, so that the machine's next heartbeat is not deferred as well.
func (l *Leader) acceptsHeartbeat(m *state.Machine, h *wire.Heartbeat, now micros.Micros) bool {
	if l.mustDefer(m, now) {
		m.Lease.DeferredAt = now
		return false
	}
	return !isStaleHeartbeat(m, h)
}

// mustDefer reports whether a machine's heartbeat is refused because another node may lead by now. A machine's
// heartbeats are refused at most once within deferralWindow: a worker that finds no other leader retries here, and this
// time its lease is renewed.
func (l *Leader) mustDefer(m *state.Machine, now micros.Micros) bool {
	return !l.Term.IsExclusive() && now-m.Lease.DeferredAt > deferralWindow
}

// isStaleHeartbeat reports whether a heartbeat is no newer than the machine's latest one. The worker no longer waits
// for the response to a stale heartbeat. A later incarnation with a lower fencing token than the worker has shown is
// from before the worker was restarted and began with the first incarnation again.
func isStaleHeartbeat(m *state.Machine, h *wire.Heartbeat) bool {
	latest := &m.Heartbeat
	if h.Incarnation != latest.Incarnation {
		return h.Incarnation < latest.Incarnation || h.FencingToken < latest.FencingToken
	}
	return h.Sequence <= latest.Sequence
}

// endEarlierIncarnation releases the tasks of a worker's earlier incarnation if a heartbeat is from a later one.
func (l *Leader) endEarlierIncarnation(m *state.Machine, h *wire.Heartbeat) {
	if m.Heartbeat.Incarnation == 0 || h.Incarnation <= m.Heartbeat.Incarnation {
		return
	}
	// The end of an earlier incarnation does not show which tasks earlier terms started in the new one: the only
	// heartbeat received from the new one may be a delayed one from before a failover. So releaseAll must not change
	// what is known about the machine's tasks.
	knowledge := m.Reconciliation.Knowledge
	l.releaseAll(m, "the worker's session ended")
	m.Reconciliation.Knowledge = knowledge
	m.Reconciliation.QueriedSequence = 0
	m.Delivery.Sent = m.Delivery.Sent[:0]
}

// recordHeartbeat records the contents of a heartbeat, except the status of tasks. The machine's lease counts as
// renewed from now on, since the response to the heartbeat may renew it.
func (l *Leader) recordHeartbeat(m *state.Machine, h *wire.Heartbeat, now micros.Micros) {
	m.Heartbeat.Incarnation, m.Heartbeat.Sequence, m.Instance.Address = h.Incarnation, h.Sequence, h.Address
	l.zones.CheckReportedZone(m, h.Zone)
	m.Heartbeat.FencingToken = max(m.Heartbeat.FencingToken, h.FencingToken)
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

// reconcileIfCurrent reconciles the tasks that a heartbeat lists, if the worker sent it in this term and after its
// latest response to a task query. Otherwise it counts a lost response, if this term has responded to the machine
// before.
func (l *Leader) reconcileIfCurrent(m *state.Machine, h *wire.Heartbeat, now micros.Micros) {
	// A heartbeat that is older than the machine's response to a task query contains nothing new.
	m.Heartbeat.FromCurrentTerm = h.FencingToken == l.FencingToken && h.Sequence > m.Reconciliation.QueriedSequence
	if !m.Heartbeat.FromCurrentTerm && m.Delivery.RespondedThisTerm {
		l.liveness.RecordLostResponse(m, now)
	}
	m.Delivery.RespondedThisTerm = true
	if m.Heartbeat.FromCurrentTerm {
		l.zones.ObserveReturn(m, now)
		l.reconcile(m, h, now)
	} else {
		// The response may renew the machine's lease even if the heartbeat is not current, so it must contain these
		// stops.
		m.Delivery.FollowUps = l.stopsForEndedJobs(h)
	}
}

// stopsForEndedJobs returns the stops for tasks of ended jobs, for the response to a heartbeat that is not reconciled.
// Every response that renews a lease must contain them. Otherwise, if such a response is the only one that a machine
// receives after a failover, its cancelled tasks run for one lease longer than they may.
func (l *Leader) stopsForEndedJobs(h *wire.Heartbeat) (stops []wire.Command) {
	for i := range h.Tasks {
		t := &h.Tasks[i]
		id, _, err := state.ParseTaskID(t.TaskID)
		if err != nil || t.State == wire.TaskExited {
			continue
		}
		if j, _, ok := l.Replica.Job(id); ok && j.IsFinal() {
			stops = append(stops, immediateStopCommand(t))
		}
	}
	return stops
}

// planCommands makes a new plan if one is due, and returns the commands for the machine whose heartbeat is being
// processed.
func (l *Leader) planCommands(m *state.Machine, now micros.Micros) []wire.Command {
	l.scheduler.PlanIfNeeded(m, now)
	return l.commandsForMachine(m, now)
}

// drainOnInterruption drains a machine that the cloud is about to reclaim. It evicts the tasks of gangs and stops the
// other tasks that can save a checkpoint.
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

// adoptUnknownMachine adds a machine that belongs to no launch intent to the fleet: the cloud has carried out a launch
// late. It does not add the machine yet if an open intent may be the machine's, or if the heartbeat may be delayed. It
// returns ErrCannotRespond for a machine that was terminated in this term.
func (l *Leader) adoptUnknownMachine(h *wire.Heartbeat, now micros.Micros) error {
	if l.fleet.WasTerminated(h.MachineID) {
		return ErrCannotRespond
	}
	offering := state.Offering{Type: h.InstanceType, Zone: h.Zone, Spot: h.Spot}
	if l.fleet.HasOpenIntent(offering) {
		return nil // the response to the launch will name the machine
	}
	if h.FencingToken != l.FencingToken {
		// The heartbeat may be delayed, and its machine terminated long ago. If it were adopted, it would count as
		// supply, and the next leader would wait to learn its tasks. If the machine is alive, the response gives it
		// this term's fencing token, and its worker sends the next heartbeat at once.
		return nil
	}
	l.fleet.Adopt(h.MachineID, offering, now)
	return nil
}
