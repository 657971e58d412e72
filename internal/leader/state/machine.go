package state

import (
	"caperlatch/internal/micros"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

// Offering is a kind of instance that can be launched: an instance type in a zone, as a spot or on-demand instance.
type Offering struct {
	Type, Zone string
	Spot       bool
}

// Machine is the leader's record of one machine.
//
// Its fields are grouped by what changes them. A task may be started on the machine only while IsSchedulable returns
// true.
type Machine struct {
	ID       string
	IntentID string // launch intent that the machine was launched for
	Offering Offering

	Instance       InstanceState
	Heartbeat      HeartbeatState
	Lease          LeaseState
	Delivery       DeliveryState
	Reconciliation ReconciliationState
	Quarantine     QuarantineState
	ZoneReturn     ZoneReturn

	// Assignments. Free is the machine's capacity less the needs of all attempts and the places of the exited tasks, so it
	// changes only when an attempt is attached or detached, and by RecordExitedTasks.
	Attempts      map[string]*Attempt // by task ID
	StoppingCount int                 // number of attempts whose stop was sent
	Free          placement.Resources
	ExitedTasks   int    // exited tasks that the latest heartbeat lists
	PlannedStarts []*Job // one entry for each start that the next heartbeat response carries

	Images   ImageCache
	ImageSet placement.ImageSet // images that are cached or being pulled

	// Restrictions on the work that may start on the machine.
	Reservation          *GangReservation // reservation of the machine for one gang, nil if there is none
	Pool                 PoolKind         // if set, only gangs may start on the machine
	Surplus              bool             // the machine exceeds what the staffing formula requires
	SurplusSince         micros.Micros    // since when Surplus is set, 0 if it is not
	RejectsDelayTolerant bool             // set on an on-demand machine that only delay-tolerant jobs would use
	DrainReason          string           // why the machine gets no more tasks, empty if it does
	StartBackoffUntil    micros.Micros    // no task is started before this time

	Published standby.MachineState // the state that was last published to followers
}

// InstanceState is the state of a machine as a cloud instance.
//
// A task may be placed on a machine only when both IntentStored and ListStored are set, because a leader that takes
// over must find every machine that may hold tasks.
type InstanceState struct {
	Address          string
	LaunchedAt       micros.Micros
	Running          bool          // the machine has sent a heartbeat or is stored as running
	IntentStored     bool          // the launch intent is stored with the machine's ID
	ListStored       bool          // the machine list that contains the machine is stored
	StoredListIndex  int           // index of the stored list that contains the machine
	FirstHeartbeatAt micros.Micros // time of the first heartbeat in this term, 0 if there was none
	SeenInCloudList  bool          // the cloud's list has contained the machine
	MissedCloudLists int           // number of consecutive lists without the machine, also before SeenInCloudList is set
	LateWithCohort   bool          // the machine is booting, and most machines launched with it or later are late
	Terminating      bool          // termination was requested; this is never revoked
	IdleSince        micros.Micros // when the last task left the machine
}

// HeartbeatState is what a machine's latest heartbeat says about the worker itself. Incarnation only grows, and
// Sequence only grows within an incarnation.
type HeartbeatState struct {
	Incarnation     uint64
	Sequence        uint64        // sequence number within the incarnation
	FencingToken    uint64        // the highest token that the worker has shown in this term; it never falls on a worker
	ReceivedAt      micros.Micros // when the latest heartbeat that was newer than its predecessor arrived
	FromCurrentTerm bool          // the worker sent it after receiving this term's fencing token
	InterruptionAt  micros.Micros // when the cloud reclaims the machine, 0 without an interruption notice
}

// LeaseState determines when a silent worker must have ended its tasks; see liveness.Monitor.LeaseExpiry.
type LeaseState struct {
	RenewedAt    micros.Micros // time of the latest response that may have renewed the lease
	ExpiredSince micros.Micros // 0 while the lease has not expired
	DeferredAt   micros.Micros // when a heartbeat was last refused because another node might have led
}

// DeliveryState tracks whether heartbeat responses reach the worker.
type DeliveryState struct {
	RespondedThisTerm bool           // a heartbeat has been answered in this term
	Sent              []wire.Command // start and clear commands in the latest response
	LostResponses     int            // number of consecutive lost responses
	FirstLostAt       micros.Micros  // when the first of the consecutive lost responses was found to be lost
	FollowUps         []wire.Command // clear and stop commands required by the latest heartbeat
}

// MaxLostResponses is the number of consecutive lost responses after which a machine is considered to receive none.
const MaxLostResponses = 3

// TaskKnowledge is the leader's source of information about which tasks are on a machine.
type TaskKnowledge int

const (
	// TasksUnknown means that the machine may hold tasks of earlier terms that this term has not seen.
	TasksUnknown TaskKnowledge = iota
	// TasksHandedOver means that the previous leader listed the machine's tasks in a complete handover.
	TasksHandedOver
	// TasksConfirmed means that the worker has listed its tasks in this term, or cannot hold tasks of an earlier term.
	TasksConfirmed
)

// ReconciliationState is the progress of finding out a machine's tasks after a failover.
type ReconciliationState struct {
	Knowledge       TaskKnowledge
	QueriedSequence uint64 // sequence number of the worker's response to a task query; see package taskquery
	FailedQueries   int
	PreviousTerm    *standby.Machine // the state of the machine as published in the previous term, nil if unknown
}

// QuarantineState is the evidence that a machine is faulty when tasks fail on it; see package quarantine.
type QuarantineState struct {
	Since                  micros.Micros   // when the machine was quarantined, 0 if it is not
	Failures               int             // failures of jobs with successful tasks, since the last success on the machine
	SuspectJobs            map[string]bool // IDs of other jobs that failed on the machine since its last success
	LatestSuccessStartedAt micros.Micros   // start time of the most recently started task that succeeded on the machine
}

// ZoneReturn tracks whether a machine is reachable again after its zone was lost. ResetZoneReturn resets the evidence
// when the zone is lost, and when the machine falls silent, loses responses or is no longer listed by the cloud.
type ZoneReturn struct {
	FirstHeartbeatAt  micros.Micros // first heartbeat since the last reset, 0 if there was none or it proved the return
	IncarnationBefore uint64        // incarnation in the latest heartbeat before the last reset, 0 if there was none
	SequenceBefore    uint64        // sequence number of the latest heartbeat before the last reset
	Returned          bool          // the heartbeats since the last reset prove that the machine is reachable again
	ZoneBoundOnly     bool          // only jobs that are bound to the zone may start tasks on the machine
}

// Silence returns the time since the machine's latest heartbeat, or since the start of the term if that is shorter.
func (m *Machine) Silence(termStartedAt, now micros.Micros) micros.Micros {
	return now - max(m.Heartbeat.ReceivedAt, termStartedAt)
}

// HeartbeatTimeout returns the silence after which a heartbeat is overdue, given the usual interval between heartbeats.
// A live worker sends a heartbeat within five quarters of the interval; one second is added for delays in the network
// and on a busy node.
func HeartbeatTimeout(interval micros.Micros) micros.Micros {
	return interval + interval/4 + micros.Second
}

// LosesResponses reports whether the machine is considered to receive no responses although its heartbeats arrive.
func (m *Machine) LosesResponses() bool { return m.Delivery.LostResponses >= MaxLostResponses }

// TasksConfirmed reports whether the machine's worker has listed its tasks in this term, or cannot have tasks of an
// earlier term.
func (m *Machine) TasksConfirmed() bool { return m.Reconciliation.Knowledge == TasksConfirmed }

// TasksKnown reports whether the tasks on the machine are known, from its worker or from a handover.
func (m *Machine) TasksKnown() bool { return m.Reconciliation.Knowledge != TasksUnknown }

// LikelyIncarnation returns the incarnation that the worker most likely has: that of its latest heartbeat, or else the
// one published in the previous term, or else 1.
func (m *Machine) LikelyIncarnation() uint64 {
	if m.Heartbeat.Incarnation == 0 && m.Reconciliation.PreviousTerm != nil {
		return max(1, m.Reconciliation.PreviousTerm.Incarnation)
	}
	return max(1, m.Heartbeat.Incarnation)
}

// IsSchedulable reports whether the state of the machine allows it to get tasks. Its latest heartbeat must have been
// sent in this term: a delayed heartbeat from before, possibly of a machine that was terminated long ago, must not
// cause tasks to be placed.
func (m *Machine) IsSchedulable(now micros.Micros) bool {
	i := &m.Instance
	return i.Running && i.IntentStored && i.ListStored && !i.Terminating &&
		m.TasksKnown() && m.Heartbeat.FromCurrentTerm && m.Heartbeat.InterruptionAt == 0 &&
		m.DrainReason == "" && now >= m.StartBackoffUntil
}

// IsOpenToAllZones reports whether the machine may get tasks of any job that allows its offering, not only of jobs that
// are bound to its zone.
func (m *Machine) IsOpenToAllZones(now micros.Micros) bool {
	return m.IsSchedulable(now) && !m.ZoneReturn.ZoneBoundOnly
}

// ResetZoneReturn discards the evidence that the machine has returned, but leaves Closed as it is. Only heartbeats
// newer than the latest one count as evidence from now on.
func (m *Machine) ResetZoneReturn() {
	m.ZoneReturn = ZoneReturn{IncarnationBefore: m.Heartbeat.Incarnation, SequenceBefore: m.Heartbeat.Sequence, ZoneBoundOnly: m.ZoneReturn.ZoneBoundOnly}
}

// RecordExitedTasks records how many exited tasks the latest heartbeat lists. A worker lists them until it gets a clear
// command, so until then they take the places of other tasks.
func (m *Machine) RecordExitedTasks(count int) {
	m.Free.Tasks -= int64(count - m.ExitedTasks)
	m.ExitedTasks = count
}
