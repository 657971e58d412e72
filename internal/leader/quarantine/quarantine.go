// Package quarantine decides whether failed tasks speak against their machine or against their job, and puts
// the one at fault into quarantine: a machine is drained, and a job is tried seldom and a few tasks at a time.
//
// It owns the evidence in state.Machine.Quarantine and state.Job.Failures, but for what the heartbeats count
// there, and what is stored of it for the next leader. Only a task that exited with an error is evidence: one
// that was lost, stopped or refused must never be recorded as failed here. Nothing here proves that a task
// has ended.
//
// A task fails because its machine is faulty or because its job was submitted with a mistake, and then it
// fails on every machine. So a job of which any task has ever succeeded is good, and a machine on which a
// task succeeded that started after a failure was not at fault for that failure.
//
// Its methods are called with the leader's lock held.
package quarantine

import (
	"log/slog"
	"maps"
	"slices"

	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
)

// DrainReason is why a machine in quarantine is drained. It is shown to operators.
const DrainReason = "tasks fail on it"

// stopReason is why tasks are stopped on a machine in quarantine. It is shown to users.
const stopReason = "its machine is faulty"

// Why the starts of a job are put off. The reasons are shown to users.
const (
	probeBackoffReason       = "put off: its tasks fail"
	soleMachineBackoffReason = "its tasks failed on the only machine tried"
)

// How much evidence a quarantine takes.
const (
	// minGoodJobFailures is how many failures of good jobs since its last success show a machine to be
	// faulty.
	minGoodJobFailures = 2
	// minSuspectJobs is how many jobs, not known to be good, must have failed on a machine and on no
	// other, since its last success. A few in a hundred jobs have a mistake: that three different ones
	// in a row meet on one machine is rarer than a faulty machine.
	minSuspectJobs = 3
	// minJobMachines is on how many machines a job must have failed of which nothing succeeded.
	minJobMachines = 3
	// maxSoleMachineTries is how often a job is tried on one machine, when there is no other to show
	// which of them is at fault, until the machine is replaced.
	maxSoleMachineTries = 5
)

// Pauses after failures.
const (
	// The pause between probes of a quarantined job doubles from firstProbeBackoff on.
	firstProbeBackoff        = 2 * micros.Second
	maxProbeBackoff          = 60 * micros.Second
	maxProbeBackoffDoublings = 10
	// So does that between tries of a job on the only machine.
	firstSoleMachineBackoff        = micros.Second
	maxSoleMachineBackoffDoublings = 4
	// machineBackoff is for how long a machine gets no starts, for each failure of a good job.
	machineBackoff = micros.Second
	// suspectBackoff is the same for each suspect job, up to maxSuspectBackoffs of them.
	suspectBackoff     = micros.Second / 2
	maxSuspectBackoffs = 3
)

// maxRecorded bounds how many quarantined jobs the record for the next leader names.
const maxRecorded = 50

// Demand is the part of the autoscaler that counts a job's work as demand for machines.
type Demand interface {
	RemoveDemand(j *state.Job, now micros.Micros)
	RestoreDemand(j *state.Job, now micros.Micros)
}

// Config is what a quarantine works with. The functions are called with the lock held.
type Config struct {
	Fleet *fleet.Fleet
	// Jobs are the jobs that have not ended, by ID; the leader keeps them.
	Jobs map[string]*state.Job
	// Demand is that of jobs: a quarantined job has none, as machines are no help to it.
	Demand Demand
	// StopTask stops a task, which may save a checkpoint within the grace period.
	StopTask func(a *state.Attempt, grace micros.Micros, reason string)
	// EvictGangTask has a gang's task leave its machine.
	EvictGangTask func(a *state.Attempt, grace micros.Micros, reason string, now micros.Micros)
	// OnChange is called when jobs may start tasks that could not before.
	OnChange func()
}

// Quarantine attributes the failures of one term.
type Quarantine struct {
	Config
}

// New makes a quarantine without evidence.
func New(c Config) *Quarantine { return &Quarantine{Config: c} }

// RecordSuccess notes that a task of a job has succeeded on a machine, after the job counted it. The attempt
// is nil if this term does not know it.
func (q *Quarantine) RecordSuccess(m *state.Machine, j *state.Job, a *state.Attempt, now micros.Micros) {
	m.Quarantine.Failures = 0
	clear(m.Quarantine.SuspectJobs)
	if a != nil && a.StartSequence != 0 {
		m.Quarantine.LatestSuccessStartedAt = max(m.Quarantine.LatestSuccessStartedAt, a.StartedAt)
	}
	if j.DoneCount != 1 || len(j.Failures.ByMachine) == 0 {
		return
	}
	// So the job is good: its failures speak against the machines.
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

// AttributeFailure decides whether the failure of a task speaks against its machine or its job.
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
		// What fails everywhere is no evidence against its machines; it is tried ever more seldom. Tasks
		// that failed at the same time are one probe.
		if now >= j.BackoffUntil {
			j.Failures.BackoffRounds++
			deferProbe(j, now)
		}
		return
	}
	// It is not known yet which is at fault: the job is tried on other machines, and the machine with other
	// jobs. If there is no other machine, both wait a little longer each time.
	deferStarts(m, now+micros.Micros(min(maxSuspectBackoffs, len(m.Quarantine.SuspectJobs)))*suspectBackoff)
	if len(j.Failures.ByMachine) == 1 && now >= j.BackoffUntil {
		deferSoleMachineTry(j, now)
	}
	q.evaluateMachine(m, now)
}

// deferStarts has a machine get no starts until then, or later.
func deferStarts(m *state.Machine, until micros.Micros) {
	m.StartBackoffUntil = max(m.StartBackoffUntil, until)
}

// deferProbe has a quarantined job wait for its next probe, the longer the more there were.
func deferProbe(j *state.Job, now micros.Micros) {
	j.BackoffUntil = now + min(maxProbeBackoff, firstProbeBackoff<<min(j.Failures.BackoffRounds, maxProbeBackoffDoublings))
	j.BackoffReason = probeBackoffReason
}

// deferSoleMachineTry counts a try on the only machine on which a job failed, and has the job wait after any
// but the first.
func deferSoleMachineTry(j *state.Job, now micros.Micros) {
	j.Failures.SoleMachineTries++
	if j.Failures.SoleMachineTries == 1 {
		return
	}
	j.Failures.BackoffRounds++
	j.BackoffUntil = now + firstSoleMachineBackoff<<min(j.Failures.BackoffRounds, maxSoleMachineBackoffDoublings)
	j.BackoffReason = soleMachineBackoffReason
}

// clearBackoff ends a job's quarantine, if it is in one, and its pauses.
func clearBackoff(j *state.Job) {
	j.Failures.Quarantined, j.Failures.BackoffRounds, j.Failures.SoleMachineTries, j.BackoffUntil = false, 0, 0, 0
}

// evaluateJob quarantines a job that failed on several machines, or on one on which a task succeeded
// afterwards, unless some task of it runs longer than those that failed. The latest failure, on failedOn,
// need not be in the job's record yet.
func (q *Quarantine) evaluateJob(j *state.Job, failedOn *state.Machine, now micros.Micros) {
	proven, machines := false, len(j.Failures.ByMachine)
	if _, recorded := j.Failures.ByMachine[failedOn.ID]; !recorded {
		machines++
	}
	for id, failedAt := range j.Failures.ByMachine {
		if m := q.Fleet.Machines[id]; m != nil && m.Quarantine.LatestSuccessStartedAt > failedAt {
			proven = true
		}
	}
	if machines < minJobMachines && !proven {
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

// ReviewJob releases a job from quarantine if its running tasks show that it is not at fault: when many
// machines are faulty at once, a good job may fail on three of them in its first second.
func (q *Quarantine) ReviewJob(j *state.Job, now micros.Micros) {
	if j.Failures.Quarantined && j.OutlivesFailures() {
		slog.Info("job released from quarantine", "job", j.Spec.ID)
		clearBackoff(j)
		q.Demand.RestoreDemand(j, now)
	}
}

// evaluateMachine quarantines a machine on which tasks fail that should succeed.
func (q *Quarantine) evaluateMachine(m *state.Machine, now micros.Micros) {
	suspects, isSoleMachine := q.countSuspects(m)
	proven := m.Quarantine.Failures >= minGoodJobFailures
	if m.DrainReason != "" || !proven && m.Quarantine.Failures+suspects < minSuspectJobs && !isSoleMachine {
		return
	}
	q.drain(m, now)
	slog.Info("machine quarantined", "machine", m.ID, "failures", m.Quarantine.Failures, "jobs", suspects)
	if !proven {
		// Quarantined on suspicion only, it still counts as evidence where its jobs are judged: else jobs
		// with mistakes would drain one machine after another.
		return
	}
	q.discardFailuresOn(m, now)
}

// countSuspects counts the jobs, not known to be good, that failed on a machine and on no other, and forgets
// those that no longer are such jobs. isSoleMachine: one was tried there in vain for long enough.
func (q *Quarantine) countSuspects(m *state.Machine) (suspects int, isSoleMachine bool) {
	for id := range m.Quarantine.SuspectJobs {
		j := q.Jobs[id]
		if j == nil || j.HasSucceeded() || j.Failures.Quarantined || len(j.Failures.ByMachine) != 1 {
			delete(m.Quarantine.SuspectJobs, id)
			continue
		}
		suspects++
		isSoleMachine = isSoleMachine || j.Failures.SoleMachineTries >= maxSoleMachineTries
	}
	return suspects, isSoleMachine
}

// drain has the tasks leave a machine that can save a checkpoint; the others run on for now.
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

// discardFailuresOn takes the failures on a machine that is proven to be faulty out of the evidence against
// jobs.
func (q *Quarantine) discardFailuresOn(m *state.Machine, now micros.Micros) {
	for _, j := range q.Jobs {
		if _, failed := j.Failures.ByMachine[m.ID]; !failed {
			continue
		}
		delete(j.Failures.ByMachine, m.ID)
		if j.Failures.Quarantined && len(j.Failures.ByMachine) < minJobMachines {
			// It may have run on faulty machines only: it is judged anew, at once.
			clearBackoff(j)
			q.Demand.RestoreDemand(j, now)
			q.OnChange()
		}
	}
}

// Snapshot names the quarantined jobs and how often each was probed, for the next leader: if that started from
// nothing, all of them would fail at once again.
func (q *Quarantine) Snapshot() map[string]int {
	rounds := map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(q.Jobs)) {
		if j := q.Jobs[id]; j.Failures.Quarantined && len(rounds) < maxRecorded {
			rounds[id] = j.Failures.BackoffRounds
		}
	}
	return rounds
}

// Restore goes on from what an earlier leader recorded.
func (q *Quarantine) Restore(rounds map[string]int, now micros.Micros) {
	for id, n := range rounds {
		if j := q.Jobs[id]; j != nil && !j.HasSucceeded() {
			j.Failures.Quarantined, j.Failures.BackoffRounds = true, max(1, n)
			deferProbe(j, now)
		}
	}
}
