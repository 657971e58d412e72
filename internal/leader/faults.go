package leader

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"caperlatch/internal/micros"
)

// drainFaulty is why a machine on which tasks fail is emptied.
const drainFaulty = "tasks fail on it"

// How failures are judged. A task fails because its machine is faulty or because its
// job was submitted with a mistake, and then it fails on every machine. So a job of
// which any task has ever been done is good, and a machine on which a task succeeded
// that began after a failure was not at fault for that failure.
const (
	// Failures of good jobs since its last success that show a machine to be faulty.
	quarantineFailures = 2
	// Jobs, not known to be good, that failed on a machine and on no other, since its
	// last success. A few in a hundred jobs have a mistake: that three different
	// ones in a row meet on one machine is rarer than a faulty machine.
	quarantineSuspects = 3
	// Machines on which a job of which nothing succeeded must have failed.
	jobFailureMachines = 3
	// Tries of a job on one machine, when no other is there to tell which is at
	// fault, until the machine is replaced.
	maxSoleMachineTries = 5
	// Tasks of a job put off that are tried at a time, and the longest pause between.
	probeTasks      = 2
	maxProbeBackoff = 60 * micros.Second
	// keptAtFault bounds how many jobs put off the staffing record names.
	maxQuarantinedStored = 50
)

// hasSucceeded tells whether any task of the job has been done.
func (j *job) hasSucceeded() bool { return j.doneCount > 0 }

// isProbing tells whether the job is tried a few tasks at a time only.
func (j *job) isProbing() bool {
	return !j.hasSucceeded() && (j.failures.quarantined || j.failures.backoffRounds > 0)
}

// startableTasks is how many of the waiting tasks may be started.
func (j *job) startableTasks(now micros.Micros) int {
	switch {
	case now < j.backoffUntil:
		return 0
	case j.isGang():
		return j.startableGangTasks()
	case j.isProbing():
		return min(j.waiting(), max(0, probeTasks-len(j.attempts)))
	}
	return j.waiting()
}

// recordSuccess notes that a task of a job was done on a machine.
func (l *Leader) recordSuccess(m *machine, j *job, a *attempt, now micros.Micros) {
	m.quarantine.failures = 0
	clear(m.quarantine.suspectJobs)
	if a != nil && a.startSequence != 0 {
		m.quarantine.provenAt = max(m.quarantine.provenAt, a.startedAt)
	}
	if j.doneCount != 1 || len(j.failures.byMachine) == 0 {
		return
	}
	// The job is good, then: its failures speak against the machines.
	if j.failures.quarantined {
		slog.Info("job is not at fault", "job", j.spec.ID)
		l.restoreDemand(j, now)
	}
	errors := j.failures.byMachine
	j.failures.byMachine, j.failures.quarantined, j.failures.backoffRounds, j.backoffUntil = map[string]micros.Micros{}, false, 0, 0
	for id, at := range errors {
		if other := l.machines[id]; other != nil && other.quarantine.provenAt <= at {
			delete(other.quarantine.suspectJobs, j.spec.ID)
			other.quarantine.failures++
			l.evaluateMachine(other, now)
		}
	}
	l.replan = true
}

// attributeFailure decides whether a failure speaks against the machine or the job.
func (l *Leader) attributeFailure(m *machine, j *job, now micros.Micros) {
	if j.hasSucceeded() {
		m.quarantine.failures++
		m.startBackoffUntil = max(m.startBackoffUntil, now+micros.Micros(m.quarantine.failures)*micros.Second)
		l.evaluateMachine(m, now)
		return
	}
	if !j.failures.quarantined {
		m.quarantine.suspectJobs[j.spec.ID] = true
		l.evaluateJob(j, now, m)
	}
	j.failures.byMachine[m.id] = now
	if j.failures.quarantined {
		// What fails everywhere says nothing of its machines; it is tried ever more
		// seldom. Tasks that failed at the same time are one try.
		if now >= j.backoffUntil {
			j.failures.backoffRounds++
			j.backoffUntil = now + min(maxProbeBackoff, 2*micros.Second<<min(j.failures.backoffRounds, 10))
			j.backoffReason = "put off: its tasks fail"
		}
		return
	}
	// Nobody knows yet which is at fault: the job is tried on other machines, and the
	// machine with other jobs. With no other machine there, both wait a little longer
	// each time.
	m.startBackoffUntil = max(m.startBackoffUntil, now+micros.Micros(min(3, len(m.quarantine.suspectJobs)))*micros.Second/2)
	if len(j.failures.byMachine) == 1 && now >= j.backoffUntil {
		if j.failures.soleMachineTries++; j.failures.soleMachineTries > 1 {
			j.failures.backoffRounds++
			j.backoffUntil = now + micros.Second<<min(j.failures.backoffRounds, 4)
			j.backoffReason = "its tasks failed on the only machine tried"
		}
	}
	l.evaluateMachine(m, now)
}

// evaluateJob finds a job to be at fault that failed on several machines, or on one that
// did well afterwards, and of which nothing runs longer than what failed.
func (l *Leader) evaluateJob(j *job, now micros.Micros, failedOn *machine) {
	proof, machines := false, len(j.failures.byMachine)
	if _, ok := j.failures.byMachine[failedOn.id]; !ok {
		machines++
	}
	for id, at := range j.failures.byMachine {
		if m := l.machines[id]; m != nil && m.quarantine.provenAt > at {
			proof = true
		}
	}
	if machines < jobFailureMachines && !proof {
		return
	}
	if j.outlivesFailures() {
		return
	}
	j.failures.quarantined = true
	delete(failedOn.quarantine.suspectJobs, j.spec.ID)
	for id := range j.failures.byMachine {
		if m := l.machines[id]; m != nil {
			delete(m.quarantine.suspectJobs, j.spec.ID)
		}
	}
	l.removeDemand(j, now)
	slog.Info("job is at fault", "job", j.spec.ID, "class", j.spec.Class, "machines", machines)
}

// outlivesFailures tells whether a report shows a task of the job to run well beyond what failed.
func (j *job) outlivesFailures() bool {
	for _, a := range j.attempts {
		if a.runningSince != 0 && a.machine.heartbeat.receivedAt-a.runningSince > 3*micros.Second+2*j.failures.longestRun {
			return true
		}
	}
	return false
}

// liftQuarantine ends a verdict that what runs shows to be wrong: when many machines are faulty
// at once, a good job may fail on three of them in its first second.
func (l *Leader) liftQuarantine(j *job, now micros.Micros) {
	if j.failures.quarantined && j.outlivesFailures() {
		slog.Info("job is not at fault", "job", j.spec.ID)
		j.failures.quarantined, j.failures.backoffRounds, j.failures.soleMachineTries, j.backoffUntil = false, 0, 0, 0
		l.restoreDemand(j, now)
	}
}

// evaluateMachine has a machine emptied on which what should succeed fails.
func (l *Leader) evaluateMachine(m *machine, now micros.Micros) {
	suspects, lonely := 0, false
	for id := range m.quarantine.suspectJobs {
		j := l.jobs[id]
		if j == nil || j.hasSucceeded() || j.failures.quarantined || len(j.failures.byMachine) != 1 {
			delete(m.quarantine.suspectJobs, id)
			continue
		}
		suspects++
		lonely = lonely || j.failures.soleMachineTries >= maxSoleMachineTries
	}
	if m.drainReason != "" || m.quarantine.failures < quarantineFailures && m.quarantine.failures+suspects < quarantineSuspects && !lonely {
		return
	}
	proven := m.quarantine.failures >= quarantineFailures
	m.drainReason = drainFaulty
	m.quarantine.since = now
	for _, a := range m.attempts {
		if a.job.isGang() {
			l.evictGangTask(a, checkpointGrace(a.job), "its machine is faulty", now)
		} else if a.job.spec.CheckpointIntervalS > 0 {
			l.stopTask(a, micros.FromSeconds(a.job.spec.CheckpointDurationS), "its machine is faulty")
		}
	}
	slog.Info("machine is faulty", "machine", m.id, "good_jobs_failures", m.quarantine.failures, "other_jobs", suspects)
	if !proven {
		// Found on suspicion only, it still counts where its jobs are judged: else
		// jobs with mistakes would empty one machine after another.
		return
	}
	for _, j := range l.jobs {
		if _, ok := j.failures.byMachine[m.id]; !ok {
			continue
		}
		delete(j.failures.byMachine, m.id)
		if j.failures.quarantined && len(j.failures.byMachine) < jobFailureMachines {
			// It may have met bad machines only: it is judged anew, at once.
			j.failures.quarantined, j.failures.backoffRounds, j.failures.soleMachineTries, j.backoffUntil = false, 0, 0, 0
			l.restoreDemand(j, now)
			l.replan = true
		}
	}
}

// removeDemand takes what a job at fault brought out of the demand, and restoreDemand puts it
// back: machines are no help to it.
func (l *Leader) removeDemand(j *job, now micros.Micros) {
	if j.demand.machines > 0 {
		j.demand.instanceType.demand.Add(now, -j.demand.machines)
	}
}

func (l *Leader) restoreDemand(j *job, now micros.Micros) {
	if j.demand.machines > 0 {
		j.demand.instanceType.demand.Add(now, j.demand.machines)
	}
}

// quarantinedJobs names the jobs put off and how often they were tried, for the next
// leader: to begin from nothing would have all of them fail at once again.
func (l *Leader) quarantinedJobs() map[string]int {
	out := map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		if j := l.jobs[id]; j.failures.quarantined && len(out) < maxQuarantinedStored {
			out[id] = j.failures.backoffRounds
		}
	}
	return out
}

// restoreQuarantinedJobs takes over what an earlier leader found.
func (l *Leader) restoreQuarantinedJobs(rounds map[string]int, now micros.Micros) {
	for id, n := range rounds {
		if j := l.jobs[id]; j != nil && !j.hasSucceeded() {
			j.failures.quarantined, j.failures.backoffRounds = true, max(1, n)
			j.backoffUntil = now + min(maxProbeBackoff, 2*micros.Second<<min(j.failures.backoffRounds, 10))
			j.backoffReason = "put off: its tasks fail"
		}
	}
}

// describeFailures says for the duty team how a job fails.
func (j *job) describeFailures(now micros.Micros) string {
	if j.failures.count == 0 && !j.failures.quarantined {
		return ""
	}
	s := fmt.Sprintf("%d of its tasks' runs failed, on %d machines, lately on %s", j.failures.count, len(j.failures.byMachine), j.failures.lastMachine)
	if j.failures.lastMachine == "" {
		s = "its tasks failed under an earlier leader"
	}
	if j.failures.quarantined {
		s += "; none succeeded, so it was most likely submitted with a mistake: only a few tasks are tried"
	}
	if now < j.backoffUntil {
		s += fmt.Sprintf(", the next in %.0f s", (j.backoffUntil - now).Seconds())
	}
	return s
}
