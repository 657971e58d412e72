package state

import (
	"fmt"
	"strconv"
	"strings"

	"caperlatch/internal/micros"
)

// Attempt is one start of a task on a machine. It is attached to the machine when the start is put into a heartbeat
// response, when a gang task's place is reserved, or when a start of an earlier term becomes known. It is detached
// once the task is known to have left the machine.
type Attempt struct {
	Job     *Job
	Index   int    // index of the task within its job
	Number  uint64 // attempt number, never reused by a later start of the task
	Machine *Machine

	// ReportedState is the state that the worker reported last, one of the wire.Task... constants. It is empty
	// until a heartbeat lists the task.
	ReportedState string
	// StartSequence is the sequence number of the heartbeat whose response carried the start; 0 if the start was
	// not sent in this term.
	StartSequence uint64
	StartedAt     micros.Micros
	RunningSince  micros.Micros // when a heartbeat first showed the task running, 0 if none has

	// The stop command is repeated in every heartbeat response until the task has left the machine.
	StopRequestedAt micros.Micros // when the stop was first sent, 0 if no stop was sent
	GracePeriod     micros.Micros // time for saving a checkpoint
	StopReason      string

	// Protected marks one of the first attempts of a job. Protected attempts are not preempted until their starts count
	// towards the service-level objectives.
	Protected bool
	// Reserved marks a gang task whose place on the machine is reserved: the next heartbeat response to the machine
	// carries the start.
	Reserved bool
}

// TaskID returns the protocol's identifier of the attempt's task.
func (a *Attempt) TaskID() string { return TaskID(a.Job.Spec.ID, a.Index) }

// Attach adds the attempt to its machine and its job. An earlier attempt of the same task that is still on another
// machine is removed from the job, but stays on its machine until it is detached.
func (a *Attempt) Attach() {
	job, machine := a.Job, a.Machine
	machine.Attempts[a.TaskID()] = a
	if earlier := job.Attempts[a.Index]; earlier != nil {
		job.AttemptsPerZone[earlier.Machine.Offering.Zone]--
	}
	job.Attempts[a.Index] = a
	job.AttemptsPerZone[machine.Offering.Zone]++
	machine.Free = machine.Free.Add(job.Need, -1)
	machine.ImageSet = machine.ImageSet.With(job.Image)
}

// Detach removes an attempt that is known to have left its machine from the machine and the job. It reports whether
// the attempt was the one that the job counted for the task. In that case, the task waits for a start again unless it
// is done.
func (a *Attempt) Detach(now micros.Micros) (wasCounted bool) {
	job, machine := a.Job, a.Machine
	delete(machine.Attempts, a.TaskID())
	if a.StopRequestedAt != 0 {
		machine.StoppingCount--
	}
	if a.Protected {
		job.ProtectedTasks--
	}
	machine.Free = machine.Free.Add(job.Need, 1)
	if len(machine.Attempts) == 0 {
		machine.Instance.IdleSince = now
	}
	if job.Attempts[a.Index] != a {
		return false
	}
	delete(job.Attempts, a.Index)
	job.AttemptsPerZone[machine.Offering.Zone]--
	job.requeue(a.Index)
	if a.RunningSince != 0 {
		job.RunningCount--
		if !job.Done.Has(a.Index) {
			job.RanBefore[a.Index] = true
		}
	}
	return true
}

// MarkStopping records that the attempt is to stop within a grace period. It reports whether the stop command must be
// sent. If an earlier stop command allowed the same grace period or a shorter one, MarkStopping changes nothing and
// returns false.
func (a *Attempt) MarkStopping(grace micros.Micros, reason string, now micros.Micros) (mustSend bool) {
	if a.StopRequestedAt != 0 && grace >= a.GracePeriod {
		return false
	}
	if a.StopRequestedAt == 0 {
		a.Machine.StoppingCount++
		a.StopRequestedAt = now
	}
	a.GracePeriod, a.StopReason = grace, reason
	return true
}

// TaskID returns the protocol's identifier of a job's task. Task indexes start at 0.
func TaskID(jobID string, index int) string { return jobID + "/" + strconv.Itoa(index) }

// ParseTaskID splits a task ID made by TaskID into the job's ID and the task's index.
func ParseTaskID(taskID string) (jobID string, index int, err error) {
	jobID, number, ok := strings.Cut(taskID, "/")
	if !ok {
		return "", 0, fmt.Errorf("%q is not a job ID followed by a slash and a number", taskID)
	}
	index, err = strconv.Atoi(number)
	if err != nil || index < 0 {
		return "", 0, fmt.Errorf("%q is not a job ID followed by a slash and a number", taskID)
	}
	return jobID, index, nil
}
