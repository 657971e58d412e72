package checker

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"caperlatch/internal/wire"
)

// ObserveLaunch records the launch request of a machine.
func (r *Rules) ObserveLaunch(machine string, request wire.LaunchRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.launches[machine] = request
}

// ObserveStart records that a task has started on a machine, and checks the rules about starts.
func (r *Rules) ObserveStart(task, machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkCancelled()
	other, alreadyPlaced := r.machineByTask[task]
	if alreadyPlaced {
		r.recordViolation(ruleConcurrentRuns, "%s is on %s and on %s", task, other, machine)
	}
	id, _, _ := strings.Cut(task, "/")
	job := r.jobs[id]
	if job == nil {
		r.recordViolation(ruleUnknownTask, "%s belongs to a job that was never submitted", task)
		return
	}
	r.checkPlace(job, task, machine)
	if job.finalStatus == wire.JobCancelled {
		r.startsAfterCancel++
		if time.Since(job.finalAt) > r.CancellationTimeout {
			r.recordViolation(ruleRanAfterCancel, "%s starts %v after its job was reported cancelled", task, time.Since(job.finalAt))
		}
	}
	if !alreadyPlaced {
		r.usedCPUs[job.spec.Team] += job.spec.CPUs
	}
	r.machineByTask[task], job.machineTasks[task] = machine, true
	r.emit(task, machine, TaskStarted)
	if limit := r.TeamCPULimits[job.spec.Team]; limit > 0 && r.usedCPUs[job.spec.Team] > limit {
		r.recordViolation(ruleTeamCPULimit, "team %s uses %v CPUs, more than its limit of %v", job.spec.Team, r.usedCPUs[job.spec.Team], limit)
	}
}

// ObserveExit records that a task has exited on a machine; done reports whether the task completed.
func (r *Rules) ObserveExit(task, machine string, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkCancelled()
	id, _, _ := strings.Cut(task, "/")
	job := r.jobs[id]
	if job == nil || r.machineByTask[task] != machine {
		return
	}
	r.release(job, task)
	if !done {
		r.emit(task, machine, TaskExitedIncomplete)
		return
	}
	r.emit(task, machine, TaskCompleted)
	job.doneTasks[task] = true
	if job.spec.Kind != wire.KindGang {
		return
	}
	for i := range job.spec.Tasks {
		job.doneTasks[fmt.Sprintf("%s/%d", id, i)] = true // the tasks of a gang complete together
	}
}

// release removes a task from its machine, and its CPUs from the usage of its team. The caller holds the lock.
func (r *Rules) release(job *jobRecord, task string) {
	delete(r.machineByTask, task)
	delete(job.machineTasks, task)
	r.usedCPUs[job.spec.Team] -= job.spec.CPUs
}

// emit passes an event to OnTaskEvent. The caller holds the lock.
func (r *Rules) emit(task, machine string, kind TaskEventKind) {
	if r.OnTaskEvent != nil {
		r.OnTaskEvent(TaskEvent{Task: task, Machine: machine, Zone: r.launches[machine].Zone, Kind: kind})
	}
}

// checkPlace checks that a job allows the machine on which its task starts. The caller holds the lock.
func (r *Rules) checkPlace(job *jobRecord, task, machine string) {
	launch, spec := r.launches[machine], &job.spec
	r.checkZones(job, task, launch.Zone)
	typeAllowed := len(spec.InstanceTypes) == 0 || slices.Contains(spec.InstanceTypes, launch.InstanceType)
	zoneAllowed := spec.Zone == "" || spec.Zone == launch.Zone
	spotAllowed := !launch.Spot || spec.AllowSpot
	if !typeAllowed || !zoneAllowed || !spotAllowed {
		r.recordViolation(rulePlacement, "%s starts on a machine that its job does not allow: %+v", task, launch)
	}
}

// checkZones checks the zone in which a task starts against the zones of the job's other tasks, for jobs that require
// a single zone or a spread over zones. The caller holds the lock.
func (r *Rules) checkZones(job *jobRecord, task, zone string) {
	if !job.spec.SingleZone && !job.spec.SpreadZones {
		return
	}
	tasksInZone := 1
	for other := range job.machineTasks {
		if other == task {
			continue
		}
		if otherZone := r.launches[r.machineByTask[other]].Zone; otherZone == zone {
			tasksInZone++
		} else if job.spec.SingleZone {
			r.recordViolation(rulePlacement, "%s starts in zone %s while %s is in %s", task, zone, other, otherZone)
		}
	}
	if job.spec.SpreadZones && tasksInZone > (job.spec.Tasks+1)/2 {
		r.recordViolation(rulePlacement, "start of %s puts %d of %d tasks in zone %s", task, tasksInZone, job.spec.Tasks, zone)
	}
}

// checkCancelled records a violation for each task that is on a machine although its job was cancelled more than
// CancellationTimeout ago. It is called before each start and exit is recorded, so that a task which exits only
// slightly too late is still detected. The caller holds the lock.
func (r *Rules) checkCancelled() {
	for _, job := range r.cancelled {
		if time.Since(job.finalAt) <= r.CancellationTimeout {
			continue
		}
		for task := range job.machineTasks {
			r.recordViolation(ruleRanAfterCancel, "%s is still on %s %v after its job was reported cancelled", task, r.machineByTask[task], time.Since(job.finalAt))
			r.release(job, task)
		}
	}
}
