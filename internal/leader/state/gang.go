package state

import (
	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// GangAttempt is the current attempt of a gang. All of its tasks carry the attempt's number, which changes only when
// every task of the previous attempt is known to have left its machine.
type GangAttempt struct {
	Number          uint64        // 0 if there is no current attempt
	WaitingSince    micros.Micros // when a task was first seen waiting for the others, 0 if none has been
	Started         bool          // all tasks have been running at the same time
	Ending          bool          // the attempt is being ended: all its tasks are being stopped
	NoCapacitySince micros.Micros // since when the fleet lacks room for the tasks to be started, 0 if it has room
}

// CheckpointGrace returns the grace period that lets a gang's tasks save a checkpoint.
func CheckpointGrace(j *Job) micros.Micros {
	// The duration in the job's specification may be a fraction of a microsecond longer than the converted value.
	return micros.FromSeconds(j.Spec.CheckpointDurationS) + micros.Millisecond
}

// GangReservation reserves the free resources of some machines for a gang that could not be placed: only the gang and
// jobs that precede it in the queue may start on these machines. The reservation expires, and the gang then waits for
// the same time before its next reservation, so that no resources are reserved indefinitely.
type GangReservation struct {
	QueuedJob *placement.Job // the gang's entry in the latest queue
	Machines  []*Machine
	ExpiresAt micros.Micros
	RetryAt   micros.Micros // earliest time of the next reservation
}

// PoolKind identifies a pool of machines that are kept for gangs, by the instance type of its machines and by whether
// spot machines are excluded.
type PoolKind struct {
	Type     string
	OnDemand bool // the pool has no spot machines
}

// Admits reports whether machines of an offering may be in a pool of this kind.
func (k PoolKind) Admits(o Offering) bool {
	return o.Type == k.Type && !(k.OnDemand && o.Spot)
}

// IsSet reports whether k identifies a pool.
func (k PoolKind) IsSet() bool { return k.Type != "" }
