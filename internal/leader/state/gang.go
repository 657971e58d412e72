package state

import (
	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// GangAttempt is the present attempt of a gang's tasks, all of which have its number. The
// number changes only when every task of the last attempt is known to have left.
type GangAttempt struct {
	Number          uint64        // 0 if there is no attempt
	WaitingSince    micros.Micros // when a task was first seen waiting for the others, 0 if none was
	Started         bool          // all tasks have been running at once
	Ending          bool          // all tasks are to stop
	NoCapacitySince micros.Micros // since when no machine has room for its missing tasks, 0 if there is room
}

// CheckpointGrace is enough time for a gang's tasks to save a checkpoint.
func CheckpointGrace(j *Job) micros.Micros {
	// The wire's amount may be a trace more than whole microseconds.
	return micros.FromSeconds(j.Spec.CheckpointDurationS) + micros.Millisecond
}

// GangReservation is the room of some machines that is held for a gang that found none: only
// work that goes before the gang may start there. It expires, and the gang then waits as long for the
// next one, so no room is held for ever.
type GangReservation struct {
	QueuedJob *placement.Job // the gang, as of the latest queue
	Machines  []*Machine
	ExpiresAt micros.Micros
	RetryAt   micros.Micros // no other reservation before
}

// PoolKind names the pool of machines that are held ready for gangs by the instance type that it consists of.
type PoolKind struct {
	Type     string
	OnDemand bool // no spot machines
}

// Admits reports whether a pool of the kind may have machines of an offering.
func (k PoolKind) Admits(o Offering) bool {
	return o.Type == k.Type && !(k.OnDemand && o.Spot)
}

// IsSet reports whether the kind names a pool.
func (k PoolKind) IsSet() bool { return k.Type != "" }
