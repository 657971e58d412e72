package state

import (
	"caperlatch/internal/micros"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

// Offering is what can be launched: an instance type, in a zone, as spot instance or on demand.
type Offering struct {
	Type, Zone string
	Spot       bool
}

// Machine is the leader's record of one machine.
//
// Its parts are grouped by what changes them. A task may start on the machine only while
// IsSchedulable reports so.
type Machine struct {
	ID       string
	IntentID string // of the launch that it came from
	Offering Offering

	Instance       InstanceState
	Heartbeat      HeartbeatState
	Lease          LeaseState
	Delivery       DeliveryState
	Reconciliation ReconciliationState
	Quarantine     QuarantineState
	ZoneReturn     ZoneReturn

	// Assignments. Free is the capacity less the needs of all attempts, so it changes only as these
	// are attached and detached.
	Attempts      map[string]*Attempt // by task ID
	StoppingCount int                 // attempts whose stop was sent
	Free          placement.Resources
	PlannedStarts []*Job // one entry a start that the next response carries

	Images   ImageCache
	ImageSet placement.ImageSet // cached images, and those that are being pulled

	// Who may use its room.
	Reservation          *GangReservation     // its room is reserved for one gang
	Pool                 PoolKind             // only gangs start on it; the zero value: all jobs may
	Surplus              bool                 // the staffing formula does not ask for it
	SurplusSince         micros.Micros        // 0 if it is not
	RejectsDelayTolerant bool                 // an on-demand machine that only delay-tolerant jobs would use
	DrainReason          string               // why it gets no more tasks, empty if it does
	StartBackoffUntil    micros.Micros        // no starts before
	Published            standby.MachineState // what was published last to followers
}

// InstanceState is what is known of a machine as the cloud's instance.
//
// IntentStored and ListStored are both needed before a task may be placed: a leader that
// takes over must find every machine that may hold tasks.
type InstanceState struct {
	Address          string
	LaunchedAt       micros.Micros
	Running          bool          // it has sent a heartbeat, or is stored as running
	IntentStored     bool          // its launch intent is stored with its ID
	ListStored       bool          // the machine list that names it is stored
	StoredListIndex  int           // index of that list
	FirstHeartbeatAt micros.Micros // in this term, 0 if there was none
	SeenInCloudList  bool          // it has been in the cloud's list
	MissedCloudLists int           // consecutive lists without it since
	LateWithCohort   bool          // it boots late, as most that were launched with it
	Terminating      bool          // its termination was requested, which is never revoked
	IdleSince        micros.Micros // when its last task ended
}

// HeartbeatState is what a machine's latest heartbeat said of the worker itself. incarnation
// and sequence only grow.
type HeartbeatState struct {
	Incarnation     uint64
	Sequence        uint64        // within the incarnation
	ReceivedAt      micros.Micros // of the latest heartbeat that was newer than the one before
	FromCurrentTerm bool          // the worker made it after it had seen this term's fencing token
	InterruptionAt  micros.Micros // when the cloud takes the machine back, 0 without a notice
}

// LeaseState is what decides when a silent worker has ended its tasks; see liveness.Monitor.LeaseExpiry.
type LeaseState struct {
	RenewedAt    micros.Micros // of the latest response that may have renewed it
	ExpiredSince micros.Micros // 0 while it has not expired
	DeferredAt   micros.Micros // when a heartbeat was last refused while leadership was in doubt
}

// DeliveryState is whether responses reach the worker.
type DeliveryState struct {
	RespondedThisTerm bool
	Sent              []wire.Command // starts and clears of the latest response
	LostResponses     int            // in a row
	FirstLostAt       micros.Micros  // of the first of these
	FollowUps         []wire.Command // clears and stops that the latest heartbeat calls for
}

// MaxLostResponses is how many responses in a row must have been lost before a machine counts as one that
// receives none.
const MaxLostResponses = 3

// TaskKnowledge is how the leader knows which tasks are on a machine.
type TaskKnowledge int

const (
	// TasksUnknown is of a machine that may hold tasks of earlier terms that this one has not seen.
	TasksUnknown TaskKnowledge = iota
	// TasksHandedOver is of a machine whose tasks the leader before named in a complete handover.
	TasksHandedOver
	// TasksConfirmed is of a machine whose worker has shown its tasks in this term, or can hold none of an earlier one.
	TasksConfirmed
)

// ReconciliationState is how far a machine's tasks are known after a failover.
type ReconciliationState struct {
	Knowledge       TaskKnowledge
	QueriedSequence uint64 // of the worker's response to a task query; see package taskquery
	FailedQueries   int
	PreviousTerm    *standby.Machine // what the term before was seen to know of it, nil if nothing
}

// QuarantineState is the evidence for a machine being at fault when tasks fail; see package quarantine.
type QuarantineState struct {
	Since                  micros.Micros   // when it was quarantined, 0 if it was not
	Failures               int             // of jobs that succeed elsewhere, since its last success
	SuspectJobs            map[string]bool // other jobs that failed on it since then
	LatestSuccessStartedAt micros.Micros   // start of the latest task that succeeded on it
}

// ZoneReturn is a machine's part in the return of its zone.
type ZoneReturn struct {
	FirstHeartbeatAt  micros.Micros // since the zone was lost, or the machine fell silent; 0 if there was none
	IncarnationBefore uint64        // of the last heartbeat before that
	SequenceBefore    uint64
	Returned          bool // its heartbeats prove that it was reached again
	Closed            bool // to work that is not bound to the zone
}

// Silence is for how long the machine has sent no heartbeat, counted from the start of the term at the earliest.
func (m *Machine) Silence(termStartedAt, now micros.Micros) micros.Micros {
	return now - max(m.Heartbeat.ReceivedAt, termStartedAt)
}

// HeartbeatTimeout is after what silence a heartbeat is overdue, where the usual time between them is interval.
// A live worker sends one within five quarters of that; a second is for the network and a busy node.
func HeartbeatTimeout(interval micros.Micros) micros.Micros {
	return interval + interval/4 + micros.Second
}

// LosesResponses reports whether the machine is taken to receive no responses, though its heartbeats arrive.
func (m *Machine) LosesResponses() bool { return m.Delivery.LostResponses >= MaxLostResponses }

// TasksConfirmed reports whether the machine itself has shown its tasks in this term, or cannot
// have any of an earlier one.
func (m *Machine) TasksConfirmed() bool { return m.Reconciliation.Knowledge == TasksConfirmed }

// TasksKnown reports whether the tasks on the machine are known, if only by a handover.
func (m *Machine) TasksKnown() bool { return m.Reconciliation.Knowledge != TasksUnknown }

// LikelyIncarnation is the incarnation that the worker is probably in.
func (m *Machine) LikelyIncarnation() uint64 {
	if m.Heartbeat.Incarnation == 0 && m.Reconciliation.PreviousTerm != nil {
		return max(1, m.Reconciliation.PreviousTerm.Incarnation)
	}
	return max(1, m.Heartbeat.Incarnation)
}

// IsSchedulable reports whether the machine may get tasks, as far as that depends on it. Its latest
// heartbeat must have been made in this term: a late copy of an older one, perhaps of a machine that was
// terminated long ago, must not draw tasks.
func (m *Machine) IsSchedulable(now micros.Micros) bool {
	i := &m.Instance
	return i.Running && i.IntentStored && i.ListStored && !i.Terminating &&
		m.TasksKnown() && m.Heartbeat.FromCurrentTerm && m.Heartbeat.InterruptionAt == 0 &&
		m.DrainReason == "" && now >= m.StartBackoffUntil
}

// IsOpenToAllZones reports whether the machine may get tasks of any job that its offering allows.
func (m *Machine) IsOpenToAllZones(now micros.Micros) bool {
	return m.IsSchedulable(now) && !m.ZoneReturn.Closed
}

// ResetZoneReturn forgets the machine's heartbeats since its zone was lost: its latest one is no evidence of a
// return later.
func (m *Machine) ResetZoneReturn() {
	m.ZoneReturn = ZoneReturn{IncarnationBefore: m.Heartbeat.Incarnation, SequenceBefore: m.Heartbeat.Sequence, Closed: m.ZoneReturn.Closed}
}
