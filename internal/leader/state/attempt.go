package state

import (
	"fmt"
	"strconv"
	"strings"

	"caperlatch/internal/micros"
)

// Attempt is one start of a task, counted as being on a machine from when the start is
// planned for the next response (or, of a gang, its place is reserved) until the task is known to have left.
type Attempt struct {
	Job     *Job
	Index   int    // of the task within its job
	Number  uint64 // no later start of the task repeats it
	Machine *Machine

	// ReportedState is the wire.Task... state that the worker reported last; empty: the start was
	// sent, and no heartbeat shows it yet.
	ReportedState string
	// StartSequence is the sequence of the heartbeat whose response carried the start; 0 if this
	// term did not send it.
	StartSequence uint64
	StartedAt     micros.Micros
	RunningSince  micros.Micros // when it was first seen running, 0 if it was not

	// A stop is repeated in every response until the task has left.
	StopRequestedAt micros.Micros // when its stop was first sent, 0 if it was not
	GracePeriod     micros.Micros // for saving a checkpoint
	StopReason      string

	// Protected marks one of the first of its job, which are not preempted until
	// their starts count for the service-level objectives.
	Protected bool
	// Reserved marks a gang's task that has its place: the machine's next response
	// carries its start.
	Reserved bool
}

// TaskID is the attempt's task as the protocol names it.
func (a *Attempt) TaskID() string { return TaskID(a.Job.Spec.ID, a.Index) }

// Attach counts an attempt on its machine and in its job. An earlier attempt of the same task
// that is still on another machine leaves the job, and stays on its machine until it is detached.
func (a *Attempt) Attach() {
	job, machine := a.Job, a.Machine
	machine.Attempts[a.TaskID()] = a
	if other := job.Attempts[a.Index]; other != nil {
		job.AttemptsPerZone[other.Machine.Offering.Zone]--
	}
	job.Attempts[a.Index] = a
	job.AttemptsPerZone[machine.Offering.Zone]++
	machine.Free = machine.Free.Add(job.Need, -1)
	machine.ImageSet = machine.ImageSet.With(job.Image)
}

// Detach frees an attempt that is known to have left its machine. It reports whether the
// attempt was the one that its job counted; then the task waits again unless it is done.
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

// MarkStopping notes that an attempt is to stop within a grace period. It reports whether its
// worker must get the command: not if it got one before with as little time.
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

// TaskID is the protocol's name of a job's task, numbered from 0.
func TaskID(jobID string, index int) string { return jobID + "/" + strconv.Itoa(index) }

// ParseTaskID splits what TaskID made.
func ParseTaskID(taskID string) (jobID string, index int, err error) {
	jobID, number, ok := strings.Cut(taskID, "/")
	if !ok {
		return "", 0, fmt.Errorf("task %q has no number", taskID)
	}
	index, err = strconv.Atoi(number)
	if err != nil || index < 0 {
		return "", 0, fmt.Errorf("task %q has no number", taskID)
	}
	return jobID, index, nil
}
