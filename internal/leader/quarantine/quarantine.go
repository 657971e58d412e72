// Package quarantine decides whether task failures are caused by the machine or by the job, and quarantines the cause.
// A quarantined machine is drained. A quarantined job is probed: only a few of its tasks are started at a time, with a
// growing backoff between probes.
//
// The package maintains the evidence in state.Machine.Quarantine and state.Job.Failures, and the snapshot that is
// stored for the next leader. The leader itself records the number of failed runs, the last machine and the longest
// run in state.Job.Failures, which it takes from heartbeats. Only a task that exited with an error is evidence: a task
// that was lost, stopped or refused must never be recorded as failed here. Nothing in this package proves that a task
// has ended.
//
// A task fails either because its machine is faulty, or because its job was submitted with a mistake and fails on every
// machine. A job of which any task has ever succeeded is therefore good. If a task that was started on a machine after
// a failure succeeds there, the machine was not the cause of that failure.
//
// The package's methods are called with the leader's lock held.
package quarantine

import (
	"log/slog"
	"maps"
	"slices"

	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
)

// DrainReason is the drain reason of a quarantined machine. It is shown to operators.
const DrainReason = "tasks fail on it"

// stopReason is the reason for stopping tasks on a quarantined machine. It is shown to users.
const stopReason = "its machine is faulty"

// Reasons for delaying the starts of a job. They are shown to users.
const (
	probeBackoffReason       = "put off: its tasks fail"
	soleMachineBackoffReason = "its tasks failed on the only machine tried"
)

// Evidence required for a quarantine.
const (
	// minGoodJobFailures is the number of failures of good jobs, since the last success on a machine, that show the
	// machine to be faulty.
	minGoodJobFailures = 2
	// minSuspectJobs is the number of jobs, not known to be good, that must have failed on a machine and on no other
	// since the last success on the machine. A failure of a good job counts as one of these jobs. A few in a hundred
	// jobs have a mistake, so three different jobs with mistakes in a row on one machine are less likely than a faulty
	// machine.
	minSuspectJobs = 3
	// minJobMachines is the number of machines on which a job must have failed before it is quarantined, if none of
	// its tasks has succeeded. Fewer suffice if one of these machines is known to work; see evaluateJob.
	minJobMachines = 3
	// maxSoleMachineTries is the number of tries of a job on a machine after which the machine is replaced, if there is
	// no other machine to show whether the job or the machine is at fault.
	maxSoleMachineTries = 5
)

// Backoffs after failures.
const (
	// The backoff between probes of a quarantined job is initialProbeBackoff, doubled once for each backoff round,
	// including the current one, up to maxProbeBackoff.
	initialProbeBackoff      = 2 * micros.Second
	maxProbeBackoff          = 60 * micros.Second
	maxProbeBackoffDoublings = 10
	// The backoff between tries of a job that has failed on one machine only is initialSoleMachineBackoff, doubled once
	// for each backoff round, including the current one, but at most maxSoleMachineBackoffDoublings times.
	initialSoleMachineBackoff      = micros.Second
	maxSoleMachineBackoffDoublings = 4
	// machineBackoff is how long a machine gets no starts after a failure of a good job, for each such failure since
	// the last success on the machine.
	machineBackoff = micros.Second
	// suspectBackoff is how long a machine gets no starts after a failure of a job not known to be good, for each of
	// its suspect jobs. At most maxSuspectBackoffs jobs count.
	suspectBackoff     = micros.Second / 2
	maxSuspectBackoffs = 3
)

// maxSnapshotJobs limits the number of quarantined jobs in a snapshot.
const maxSnapshotJobs = 50

// Demand is the part of the autoscaler that counts jobs as demand for machines.
type Demand interface {
	RemoveDemand(j *state.Job, now micros.Micros)
	RestoreDemand(j *state.Job, now micros.Micros)
}

// Config holds the dependencies of a Quarantine. Its functions are called with the leader's lock held.
type Config struct {
	Fleet *fleet.Fleet
	// Jobs are the jobs that have not ended, by ID. The leader maintains the map.
	Jobs map[string]*state.Job
	// Demand counts the demand of jobs. A quarantined job has none, because more machines would not help it.
	Demand Demand
	// StopTask stops a task, with a grace period for saving a checkpoint.
	StopTask func(a *state.Attempt, grace micros.Micros, reason string)
	// EvictGangTask removes a gang's task from its machine, with a grace period for saving a checkpoint; see
	// gangs.Coordinator.EvictTask for the cases in which the task runs on.
	EvictGangTask func(a *state.Attempt, grace micros.Micros, reason string, now micros.Micros)
	// OnChange is called when jobs may have become able to start tasks.
	OnChange func()
}

// Quarantine attributes the task failures of one term to machines or jobs.
type Quarantine struct {
	Config
}

// New returns a quarantine without evidence.
func New(c Config) *Quarantine { return &Quarantine{Config: c} }

// RecordSuccess records that a task of a job has succeeded on a machine. It must be called after the success was added
// to DoneCount. a is nil if the attempt is not known in this term.
func (q *Quarantine) RecordSuccess(m *state.Machine, j *state.Job, a *state.Attempt, now micros.Micros) {
	m.Quarantine.Failures = 0
	clear(m.Quarantine.SuspectJobs)
	if a != nil && a.StartSequence != 0 {
		m.Quarantine.LatestSuccessStartedAt = max(m.Quarantine.LatestSuccessStartedAt, a.StartedAt)
	}
	if j.DoneCount != 1 || len(j.Failures.ByMachine) == 0 {
		return
	}
	// This is the first success of the job, so the job is good, and its failures count against the machines on which
	// no task has started and succeeded since.
	if j.Failures.Quarantined {
		slog.Info("job released from quarantine", "job", j.Spec.ID)
		q.Demand.RestoreDemand(j, now)
	}
	failures := j.Failures.ByMachine
	j.Failures.ByMachine = map[string]micros.Micros{}
	clearBackoff(j)
	for id, failedAt := range failures {
		if failed := q.Fleet.Machines[id]; failed != nil && failed.Quarantine.LatestSuccessStartedAt <= failedAt {
			delete(failed.Quarantine.SuspectJobs, j.Spec.ID)
			failed.Quarantine.Failures++
			q.evaluateMachine(failed, now)
		}
	}
	q.OnChange()
}

// AttributeFailure decides whether the failure of a task counts against its machine or its job.
func (q *Quarantine) AttributeFailure(m *state.Machine, j *state.Job, now micros.Micros) {
	if j.HasSucceeded() {
		m.Quarantine.Failures++
		deferStarts(m, now+micros.Micros(m.Quarantine.Failures)*machineBackoff)
		q.evaluateMachine(m, now)
		return
	}
	if !j.Failures.Quarantined {
		m.Quarantine.SuspectJobs[j.Spec.ID] = true
		q.evaluateJob(j, m, now)
	}
	j.Failures.ByMachine[m.ID] = now
	if j.Failures.Quarantined {
		// A job that fails everywhere is no evidence against its machines. It is probed with a growing backoff. Tasks
		// that fail before the backoff has expired belong to the same probe.
		if now >= j.BackoffUntil {
			j.Failures.BackoffRounds++
			deferProbe(j, now)
		}
		return
	}
	// It is not known yet whether the job or the machine is at fault: the job is tried on other machines, and the
	// machine with other jobs. The backoff of the machine grows with the number of its suspect jobs. While the job has
	// failed on this machine only, its backoff grows with each try.
	deferStarts(m, now+micros.Micros(min(maxSuspectBackoffs, len(m.Quarantine.SuspectJobs)))*suspectBackoff)
	if len(j.Failures.ByMachine) == 1 && now >= j.BackoffUntil {
		deferSoleMachineTry(j, now)
	}
	q.evaluateMachine(m, now)
}

// deferStarts delays starts on a machine until the given time, unless they are already delayed for longer.
func deferStarts(m *state.Machine, until micros.Micros) {
	m.StartBackoffUntil = max(m.StartBackoffUntil, until)
}

// deferProbe delays the next probe of a quarantined job. The delay doubles with each backoff round, up to
// maxProbeBackoff.
func deferProbe(j *state.Job, now micros.Micros) {
	j.BackoffUntil = now + min(maxProbeBackoff, initialProbeBackoff<<min(j.Failures.BackoffRounds, maxProbeBackoffDoublings))
	j.BackoffReason = probeBackoffReason
}

// deferSoleMachineTry counts a try of a job on the only machine on which it has failed. After every try but the first,
// it delays the next one.
func deferSoleMachineTry(j *state.Job, now micros.Micros) {
	j.Failures.SoleMachineTries++
	if j.Failures.SoleMachineTries == 1 {
		return
	}
	j.Failures.BackoffRounds++
	j.BackoffUntil = now + initialSoleMachineBackoff<<min(j.Failures.BackoffRounds, maxSoleMachineBackoffDoublings)
	j.BackoffReason = soleMachineBackoffReason
}

// clearBackoff ends a job's quarantine, if there is one, and its backoff.
func clearBackoff(j *state.Job) {
	j.Failures.Quarantined, j.Failures.BackoffRounds, j.Failures.SoleMachineTries, j.BackoffUntil = false, 0, 0, 0
}

// evaluateJob quarantines a job that failed on minJobMachines machines, or on a machine on which a task that started
// after the failure succeeded. It does not quarantine a job of which a task has run much longer than those that
// failed. failedOn is the machine of the latest failure, which need not be in the job's record yet.
func (q *Quarantine) evaluateJob(j *state.Job, failedOn *state.Machine, now micros.Micros) {
	machineWorks, machines := false, len(j.Failures.ByMachine)
	if _, recorded := j.Failures.ByMachine[failedOn.ID]; !recorded {
		machines++
	}
	for id, failedAt := range j.Failures.ByMachine {
		if m := q.Fleet.Machines[id]; m != nil && m.Quarantine.LatestSuccessStartedAt > failedAt {
			machineWorks = true
		}
	}
	if machines < minJobMachines && !machineWorks {
		return
	}
	if j.OutlivesFailures() {
		return
	}
	j.Failures.Quarantined = true
	delete(failedOn.Quarantine.SuspectJobs, j.Spec.ID)
	for id := range j.Failures.ByMachine {
		if m := q.Fleet.Machines[id]; m != nil {
			delete(m.Quarantine.SuspectJobs, j.Spec.ID)
		}
	}
	q.Demand.RemoveDemand(j, now)
	slog.Info("job quarantined", "job", j.Spec.ID, "class", j.Spec.Class, "machines", machines)
}

// ReviewJob ends the probing of a job, and its quarantine if there is one, if one of its tasks has run much longer than
// those that failed. When many machines are faulty at once, a good job may fail on three of them in its first second. When
// its only machine is faulty for a while, a good job may fail there several times.
func (q *Quarantine) ReviewJob(j *state.Job, now micros.Micros) {
	if !j.IsProbing() || !j.OutlivesFailures() {
		return
	}
	if j.Failures.Quarantined {
		slog.Info("job released from quarantine", "job", j.Spec.ID)
		q.Demand.RestoreDemand(j, now)
	}
	clearBackoff(j)
}

// evaluateMachine quarantines a machine if there is enough evidence that it is faulty: minGoodJobFailures,
// minSuspectJobs or maxSoleMachineTries.
func (q *Quarantine) evaluateMachine(m *state.Machine, now micros.Micros) {
	suspects, triesExhausted := q.countSuspects(m)
	provenFaulty := m.Quarantine.Failures >= minGoodJobFailures
	if m.DrainReason != "" || !provenFaulty && m.Quarantine.Failures+suspects < minSuspectJobs && !triesExhausted {
		return
	}
	q.drain(m, now)
	slog.Info("machine quarantined", "machine", m.ID, "failures", m.Quarantine.Failures, "jobs", suspects)
	if !provenFaulty {
		// The fault of the machine is not proven, so failures on it still count as evidence against its jobs. Otherwise
		// jobs with mistakes would drain one machine after another.
		return
	}
	q.discardFailuresOn(m, now)
}

// countSuspects counts the jobs, not known to be good, that failed on a machine and on no other, and removes the jobs
// to which this no longer applies from SuspectJobs. triesExhausted reports whether one of the jobs has failed there
// maxSoleMachineTries times.
func (q *Quarantine) countSuspects(m *state.Machine) (suspects int, triesExhausted bool) {
	for id := range m.Quarantine.SuspectJobs {
		j := q.Jobs[id]
		if j == nil || j.HasSucceeded() || j.Failures.Quarantined || len(j.Failures.ByMachine) != 1 {
			delete(m.Quarantine.SuspectJobs, id)
			continue
		}
		suspects++
		triesExhausted = triesExhausted || j.Failures.SoleMachineTries >= maxSoleMachineTries
	}
	return suspects, triesExhausted
}

// drain drains a machine. It evicts the tasks of gangs and stops the other tasks that can save a checkpoint; the rest
// run on for now.
func (q *Quarantine) drain(m *state.Machine, now micros.Micros) {
	m.DrainReason = DrainReason
	m.Quarantine.Since = now
	for _, a := range m.Attempts {
		if a.Job.IsGang() {
			q.EvictGangTask(a, state.CheckpointGrace(a.Job), stopReason, now)
		} else if a.Job.Spec.CheckpointIntervalS > 0 {
			q.StopTask(a, micros.FromSeconds(a.Job.Spec.CheckpointDurationS), stopReason)
		}
	}
}

// discardFailuresOn removes the failures on a machine that is proven to be faulty from the evidence against jobs.
func (q *Quarantine) discardFailuresOn(m *state.Machine, now micros.Micros) {
	for _, j := range q.Jobs {
		if _, failed := j.Failures.ByMachine[m.ID]; !failed {
			continue
		}
		delete(j.Failures.ByMachine, m.ID)
		if j.Failures.Quarantined && len(j.Failures.ByMachine) < minJobMachines {
			// The job may have failed only because its machines are faulty, so it is released at once. Its next
			// failure is evaluated again.
			clearBackoff(j)
			q.Demand.RestoreDemand(j, now)
			q.OnChange()
		}
	}
}

// Snapshot returns the IDs of at most maxSnapshotJobs quarantined jobs with the number of backoff rounds of each. The
// snapshot is stored for the next leader. Without it, the next leader would start all tasks of these jobs at once, and
// they would fail again.
func (q *Quarantine) Snapshot() map[string]int {
	rounds := map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(q.Jobs)) {
		if j := q.Jobs[id]; j.Failures.Quarantined && len(rounds) < maxSnapshotJobs {
			rounds[id] = j.Failures.BackoffRounds
		}
	}
	return rounds
}

// Restore quarantines the jobs in the snapshot of an earlier leader that have not ended and have no successful task.
func (q *Quarantine) Restore(rounds map[string]int, now micros.Micros) {
	for id, n := range rounds {
		if j := q.Jobs[id]; j != nil && !j.HasSucceeded() {
			j.Failures.Quarantined, j.Failures.BackoffRounds = true, max(1, n)
			deferProbe(j, now)
		}
	}
}
