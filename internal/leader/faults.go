package leader

import (
	"log/slog"
	"maps"
	"slices"

	"caperlatch/internal/leader/state"
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
	// The longest pause between tries of a quarantined job.
	maxProbeBackoff = 60 * micros.Second
	// keptAtFault bounds how many jobs put off the staffing record names.
	maxQuarantinedStored = 50
)

// recordSuccess notes that a task of a job was done on a machine.
func (l *Leader) recordSuccess(m *state.Machine, j *state.Job, a *state.Attempt, now micros.Micros) {
	m.Quarantine.Failures = 0
	clear(m.Quarantine.SuspectJobs)
	if a != nil && a.StartSequence != 0 {
		m.Quarantine.ProvenAt = max(m.Quarantine.ProvenAt, a.StartedAt)
	}
	if j.DoneCount != 1 || len(j.Failures.ByMachine) == 0 {
		return
	}
	// The job is good, then: its failures speak against the machines.
	if j.Failures.Quarantined {
		slog.Info("job is not at fault", "job", j.Spec.ID)
		l.scaler.RestoreDemand(j, now)
	}
	errors := j.Failures.ByMachine
	j.Failures.ByMachine, j.Failures.Quarantined, j.Failures.BackoffRounds, j.BackoffUntil = map[string]micros.Micros{}, false, 0, 0
	for id, at := range errors {
		if other := l.fleet.Machines[id]; other != nil && other.Quarantine.ProvenAt <= at {
			delete(other.Quarantine.SuspectJobs, j.Spec.ID)
			other.Quarantine.Failures++
			l.evaluateMachine(other, now)
		}
	}
	l.scheduler.RequestPlan()
}

// attributeFailure decides whether a failure speaks against the machine or the job.
func (l *Leader) attributeFailure(m *state.Machine, j *state.Job, now micros.Micros) {
	if j.HasSucceeded() {
		m.Quarantine.Failures++
		m.StartBackoffUntil = max(m.StartBackoffUntil, now+micros.Micros(m.Quarantine.Failures)*micros.Second)
		l.evaluateMachine(m, now)
		return
	}
	if !j.Failures.Quarantined {
		m.Quarantine.SuspectJobs[j.Spec.ID] = true
		l.evaluateJob(j, now, m)
	}
	j.Failures.ByMachine[m.ID] = now
	if j.Failures.Quarantined {
		// What fails everywhere says nothing of its machines; it is tried ever more
		// seldom. Tasks that failed at the same time are one try.
		if now >= j.BackoffUntil {
			j.Failures.BackoffRounds++
			j.BackoffUntil = now + min(maxProbeBackoff, 2*micros.Second<<min(j.Failures.BackoffRounds, 10))
			j.BackoffReason = "put off: its tasks fail"
		}
		return
	}
	// Nobody knows yet which is at fault: the job is tried on other machines, and the
	// machine with other jobs. With no other machine there, both wait a little longer
	// each time.
	m.StartBackoffUntil = max(m.StartBackoffUntil, now+micros.Micros(min(3, len(m.Quarantine.SuspectJobs)))*micros.Second/2)
	if len(j.Failures.ByMachine) == 1 && now >= j.BackoffUntil {
		if j.Failures.SoleMachineTries++; j.Failures.SoleMachineTries > 1 {
			j.Failures.BackoffRounds++
			j.BackoffUntil = now + micros.Second<<min(j.Failures.BackoffRounds, 4)
			j.BackoffReason = "its tasks failed on the only machine tried"
		}
	}
	l.evaluateMachine(m, now)
}

// evaluateJob finds a job to be at fault that failed on several machines, or on one that
// did well afterwards, and of which nothing runs longer than what failed.
func (l *Leader) evaluateJob(j *state.Job, now micros.Micros, failedOn *state.Machine) {
	proof, machines := false, len(j.Failures.ByMachine)
	if _, ok := j.Failures.ByMachine[failedOn.ID]; !ok {
		machines++
	}
	for id, at := range j.Failures.ByMachine {
		if m := l.fleet.Machines[id]; m != nil && m.Quarantine.ProvenAt > at {
			proof = true
		}
	}
	if machines < jobFailureMachines && !proof {
		return
	}
	if j.OutlivesFailures() {
		return
	}
	j.Failures.Quarantined = true
	delete(failedOn.Quarantine.SuspectJobs, j.Spec.ID)
	for id := range j.Failures.ByMachine {
		if m := l.fleet.Machines[id]; m != nil {
			delete(m.Quarantine.SuspectJobs, j.Spec.ID)
		}
	}
	l.scaler.RemoveDemand(j, now)
	slog.Info("job is at fault", "job", j.Spec.ID, "class", j.Spec.Class, "machines", machines)
}

// liftQuarantine ends a verdict that what runs shows to be wrong: when many machines are faulty
// at once, a good job may fail on three of them in its first second.
func (l *Leader) liftQuarantine(j *state.Job, now micros.Micros) {
	if j.Failures.Quarantined && j.OutlivesFailures() {
		slog.Info("job is not at fault", "job", j.Spec.ID)
		j.Failures.Quarantined, j.Failures.BackoffRounds, j.Failures.SoleMachineTries, j.BackoffUntil = false, 0, 0, 0
		l.scaler.RestoreDemand(j, now)
	}
}

// evaluateMachine has a machine emptied on which what should succeed fails.
func (l *Leader) evaluateMachine(m *state.Machine, now micros.Micros) {
	suspects, lonely := 0, false
	for id := range m.Quarantine.SuspectJobs {
		j := l.jobs[id]
		if j == nil || j.HasSucceeded() || j.Failures.Quarantined || len(j.Failures.ByMachine) != 1 {
			delete(m.Quarantine.SuspectJobs, id)
			continue
		}
		suspects++
		lonely = lonely || j.Failures.SoleMachineTries >= maxSoleMachineTries
	}
	if m.DrainReason != "" || m.Quarantine.Failures < quarantineFailures && m.Quarantine.Failures+suspects < quarantineSuspects && !lonely {
		return
	}
	proven := m.Quarantine.Failures >= quarantineFailures
	m.DrainReason = drainFaulty
	m.Quarantine.Since = now
	for _, a := range m.Attempts {
		if a.Job.IsGang() {
			l.gangs.EvictTask(a, state.CheckpointGrace(a.Job), "its machine is faulty", now)
		} else if a.Job.Spec.CheckpointIntervalS > 0 {
			l.stopTask(a, micros.FromSeconds(a.Job.Spec.CheckpointDurationS), "its machine is faulty")
		}
	}
	slog.Info("machine is faulty", "machine", m.ID, "good_jobs_failures", m.Quarantine.Failures, "other_jobs", suspects)
	if !proven {
		// Found on suspicion only, it still counts where its jobs are judged: else
		// jobs with mistakes would empty one machine after another.
		return
	}
	for _, j := range l.jobs {
		if _, ok := j.Failures.ByMachine[m.ID]; !ok {
			continue
		}
		delete(j.Failures.ByMachine, m.ID)
		if j.Failures.Quarantined && len(j.Failures.ByMachine) < jobFailureMachines {
			// It may have met bad machines only: it is judged anew, at once.
			j.Failures.Quarantined, j.Failures.BackoffRounds, j.Failures.SoleMachineTries, j.BackoffUntil = false, 0, 0, 0
			l.scaler.RestoreDemand(j, now)
			l.scheduler.RequestPlan()
		}
	}
}

// quarantinedJobs names the jobs put off and how often they were tried, for the next
// leader: to begin from nothing would have all of them fail at once again.
func (l *Leader) quarantinedJobs() map[string]int {
	out := map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		if j := l.jobs[id]; j.Failures.Quarantined && len(out) < maxQuarantinedStored {
			out[id] = j.Failures.BackoffRounds
		}
	}
	return out
}

// restoreQuarantinedJobs takes over what an earlier leader found.
func (l *Leader) restoreQuarantinedJobs(rounds map[string]int, now micros.Micros) {
	for id, n := range rounds {
		if j := l.jobs[id]; j != nil && !j.HasSucceeded() {
			j.Failures.Quarantined, j.Failures.BackoffRounds = true, max(1, n)
			j.BackoffUntil = now + min(maxProbeBackoff, 2*micros.Second<<min(j.Failures.BackoffRounds, 10))
			j.BackoffReason = "put off: its tasks fail"
		}
	}
}
