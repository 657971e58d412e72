package checker

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"caperlatch/internal/wire"
)

// ObserveLaunch records what a machine was launched as.
func (r *Rules) ObserveLaunch(machine string, request wire.LaunchRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.launches[machine] = request
}

// ObserveStart records a task that is on a machine from now on.
func (r *Rules) ObserveStart(task, machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkCancelled()
	other, alreadyPlaced := r.taskMachines[task]
	if alreadyPlaced {
		r.violate(ruleRanTwice, "%s on %s and %s", task, other, machine)
	}
	id, _, _ := strings.Cut(task, "/")
	job := r.jobs[id]
	if job == nil {
		r.violate(ruleRanUnknown, "%s", task)
		return
	}
	r.checkPlace(job, task, machine)
	if job.finalStatus == wire.JobCancelled {
		r.startsAfterCancel++
		if time.Since(job.finalAt) > r.CancellationTimeout {
			r.violate(ruleRanCancelled, "%s starts %v after its user was told", task, time.Since(job.finalAt))
		}
	}
	if !alreadyPlaced {
		r.usedCPUs[job.spec.Team] += job.spec.CPUs
	}
	r.taskMachines[task], job.machineTasks[task] = machine, true
	r.emit(task, machine, TaskStarted)
	if limit := r.TeamCPULimits[job.spec.Team]; limit > 0 && r.usedCPUs[job.spec.Team] > limit {
		r.violate(ruleQuota, "team %s uses %v of %v CPUs", job.spec.Team, r.usedCPUs[job.spec.Team], limit)
	}
}

// ObserveExit records that a task is no longer on a machine, and whether it is done.
func (r *Rules) ObserveExit(task, machine string, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkCancelled()
	id, _, _ := strings.Cut(task, "/")
	job := r.jobs[id]
	if job == nil || r.taskMachines[task] != machine {
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

// release takes a task off its machine and out of its team's use; the caller holds the lock.
func (r *Rules) release(job *jobRecord, task string) {
	delete(r.taskMachines, task)
	delete(job.machineTasks, task)
	r.usedCPUs[job.spec.Team] -= job.spec.CPUs
}

// emit passes an event on; the caller holds the lock.
func (r *Rules) emit(task, machine string, kind TaskEventKind) {
	if r.OnTaskEvent != nil {
		r.OnTaskEvent(TaskEvent{Task: task, Machine: machine, Zone: r.launches[machine].Zone, Kind: kind})
	}
}

// checkPlace checks that a job allows the machine that its task starts on; the caller holds the
// lock.
func (r *Rules) checkPlace(job *jobRecord, task, machine string) {
	launch, spec := r.launches[machine], &job.spec
	r.checkZones(job, task, launch.Zone)
	typeAllowed := len(spec.InstanceTypes) == 0 || slices.Contains(spec.InstanceTypes, launch.InstanceType)
	zoneAllowed := spec.Zone == "" || spec.Zone == launch.Zone
	spotAllowed := !launch.Spot || spec.AllowSpot
	if !typeAllowed || !zoneAllowed || !spotAllowed {
		r.violate(ruleWrongPlace, "%s on %+v", task, launch)
	}
}

// checkZones checks the zone in which a task starts against those of the job's other tasks, for
// jobs that restrict the zones of their tasks together; the caller holds the lock.
func (r *Rules) checkZones(job *jobRecord, task, zone string) {
	if !job.spec.SingleZone && !job.spec.SpreadZones {
		return
	}
	sameZone := 1
	for other := range job.machineTasks {
		if other == task {
			continue
		}
		if otherZone := r.launches[r.taskMachines[other]].Zone; otherZone == zone {
			sameZone++
		} else if job.spec.SingleZone {
			r.violate(ruleWrongPlace, "%s starts in zone %s while %s is in %s", task, zone, other, otherZone)
		}
	}
	if job.spec.SpreadZones && sameZone > (job.spec.Tasks+1)/2 {
		r.violate(ruleWrongPlace, "%s makes %d of %d tasks in zone %s", task, sameZone, job.spec.Tasks, zone)
	}
}

// checkCancelled looks for tasks of jobs that were cancelled too long ago. It comes before every
// change, so a task that stays only a little too long is found when it leaves. The caller holds
// the lock.
func (r *Rules) checkCancelled() {
	for _, job := range r.cancelled {
		if time.Since(job.finalAt) <= r.CancellationTimeout {
			continue
		}
		for task := range job.machineTasks {
			r.violate(ruleRanCancelled, "%s is on %s %v after its user was told", task, r.taskMachines[task], time.Since(job.finalAt))
			r.release(job, task)
		}
	}
}
