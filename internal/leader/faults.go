package leader

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"caperlatch/internal/micros"
)

// faulty is why a machine on which tasks fail is emptied.
const faulty = "tasks fail on it"

// How failures are judged. A task fails because its machine is faulty or because its
// job was submitted with a mistake, and then it fails on every machine. So a job of
// which any task has ever been done is good, and a machine on which a task succeeded
// that began after a failure was not at fault for that failure.
const (
	// Failures of good jobs since its last success that show a machine to be faulty.
	faultyStrikes = 2
	// Jobs, not known to be good, that failed on a machine and on no other, since its
	// last success. A few in a hundred jobs have a mistake: that three different
	// ones in a row meet on one machine is rarer than a faulty machine.
	faultySuspects = 3
	// Machines on which a job of which nothing succeeded must have failed.
	jobMachines = 3
	// Tries of a job on one machine, when no other is there to tell which is at
	// fault, until the machine is replaced.
	lonelyTries = 5
	// Tasks of a job put off that are tried at a time, and the longest pause between.
	probeTasks = 2
	probePause = 60 * micros.Second
	// keptAtFault bounds how many jobs put off the staffing record names.
	maxAtFault = 50
)

// good tells whether any task of the job has been done.
func (j *job) good() bool { return j.ndone > 0 }

// probing tells whether the job is tried a few tasks at a time only.
func (j *job) probing() bool { return !j.good() && (j.atFault || j.rounds > 0) }

// ready is how many of the waiting tasks may be started.
func (j *job) ready(now micros.Micros) int {
	switch {
	case now < j.notBefore:
		return 0
	case j.isGang():
		return j.gangReady()
	case j.probing():
		return min(j.waiting(), max(0, probeTasks-len(j.on)))
	}
	return j.waiting()
}

// succeeded notes that a task of a job was done on a machine.
func (l *Leader) succeeded(m *machine, j *job, a *attempt, now micros.Micros) {
	m.strikes = 0
	clear(m.failed)
	if a != nil && a.sentAt != 0 {
		m.proven = max(m.proven, a.began)
	}
	if j.ndone != 1 || len(j.errors) == 0 {
		return
	}
	// The job is good, then: its failures speak against the machines.
	if j.atFault {
		slog.Info("job is not at fault", "job", j.spec.ID)
		l.putBack(j, now)
	}
	errors := j.errors
	j.errors, j.atFault, j.rounds, j.notBefore = map[string]micros.Micros{}, false, 0, 0
	for id, at := range errors {
		if other := l.machines[id]; other != nil && other.proven <= at {
			delete(other.failed, j.spec.ID)
			other.strikes++
			l.judgeMachine(other, now)
		}
	}
	l.replan = true
}

// attributeFault decides whether a failure speaks against the machine or the job.
func (l *Leader) attributeFault(m *machine, j *job, now micros.Micros) {
	if j.good() {
		m.strikes++
		m.notUntil = max(m.notUntil, now+micros.Micros(m.strikes)*micros.Second)
		l.judgeMachine(m, now)
		return
	}
	if !j.atFault {
		m.failed[j.spec.ID] = true
		l.judgeJob(j, now, m)
	}
	j.errors[m.id] = now
	if j.atFault {
		// What fails everywhere says nothing of its machines; it is tried ever more
		// seldom. Tasks that failed at the same time are one try.
		if now >= j.notBefore {
			j.rounds++
			j.notBefore = now + min(probePause, 2*micros.Second<<min(j.rounds, 10))
			j.waitsFor = "put off: its tasks fail"
		}
		return
	}
	// Nobody knows yet which is at fault: the job is tried on other machines, and the
	// machine with other jobs. With no other machine there, both wait a little longer
	// each time.
	m.notUntil = max(m.notUntil, now+micros.Micros(min(3, len(m.failed)))*micros.Second/2)
	if len(j.errors) == 1 && now >= j.notBefore {
		if j.tries++; j.tries > 1 {
			j.rounds++
			j.notBefore = now + micros.Second<<min(j.rounds, 4)
			j.waitsFor = "its tasks failed on the only machine tried"
		}
	}
	l.judgeMachine(m, now)
}

// judgeJob finds a job to be at fault that failed on several machines, or on one that
// did well afterwards, and of which nothing runs longer than what failed.
func (l *Leader) judgeJob(j *job, now micros.Micros, failedOn *machine) {
	proof, machines := false, len(j.errors)
	if _, ok := j.errors[failedOn.id]; !ok {
		machines++
	}
	for id, at := range j.errors {
		if m := l.machines[id]; m != nil && m.proven > at {
			proof = true
		}
	}
	if machines < jobMachines && !proof {
		return
	}
	if j.outlasts() {
		return
	}
	j.atFault = true
	delete(failedOn.failed, j.spec.ID)
	for id := range j.errors {
		if m := l.machines[id]; m != nil {
			delete(m.failed, j.spec.ID)
		}
	}
	l.takeOut(j, now)
	slog.Info("job is at fault", "job", j.spec.ID, "class", j.spec.Class, "machines", machines)
}

// outlasts tells whether a report shows a task of the job to run well beyond what failed.
func (j *job) outlasts() bool {
	for _, a := range j.on {
		if a.running != 0 && a.machine.reported-a.running > 3*micros.Second+2*j.failTook {
			return true
		}
	}
	return false
}

// pardon ends a verdict that what runs shows to be wrong: when many machines are faulty
// at once, a good job may fail on three of them in its first second.
func (l *Leader) pardon(j *job, now micros.Micros) {
	if j.atFault && j.outlasts() {
		slog.Info("job is not at fault", "job", j.spec.ID)
		j.atFault, j.rounds, j.tries, j.notBefore = false, 0, 0, 0
		l.putBack(j, now)
	}
}

// judgeMachine has a machine emptied on which what should succeed fails.
func (l *Leader) judgeMachine(m *machine, now micros.Micros) {
	suspects, lonely := 0, false
	for id := range m.failed {
		j := l.jobs[id]
		if j == nil || j.good() || j.atFault || len(j.errors) != 1 {
			delete(m.failed, id)
			continue
		}
		suspects++
		lonely = lonely || j.tries >= lonelyTries
	}
	if m.draining != "" || m.strikes < faultyStrikes && m.strikes+suspects < faultySuspects && !lonely {
		return
	}
	proven := m.strikes >= faultyStrikes
	m.draining = faulty
	m.faultyAt = now
	for _, a := range m.tasks {
		if a.job.isGang() {
			l.leaveWith(a, saveGrace(a.job), "its machine is faulty", now)
		} else if a.job.spec.CheckpointIntervalS > 0 {
			l.stop(a, micros.FromSeconds(a.job.spec.CheckpointDurationS), "its machine is faulty")
		}
	}
	slog.Info("machine is faulty", "machine", m.id, "good_jobs_failures", m.strikes, "other_jobs", suspects)
	if !proven {
		// Found on suspicion only, it still counts where its jobs are judged: else
		// jobs with mistakes would empty one machine after another.
		return
	}
	for _, j := range l.jobs {
		if _, ok := j.errors[m.id]; !ok {
			continue
		}
		delete(j.errors, m.id)
		if j.atFault && len(j.errors) < jobMachines {
			// It may have met bad machines only: it is judged anew, at once.
			j.atFault, j.rounds, j.tries, j.notBefore = false, 0, 0, 0
			l.putBack(j, now)
			l.replan = true
		}
	}
}

// takeOut takes what a job at fault brought out of the demand, and putBack puts it
// back: machines are no help to it.
func (l *Leader) takeOut(j *job, now micros.Micros) {
	if j.demandWork > 0 {
		j.demandOf.window.Add(now, -j.demandWork)
	}
}

func (l *Leader) putBack(j *job, now micros.Micros) {
	if j.demandWork > 0 {
		j.demandOf.window.Add(now, j.demandWork)
	}
}

// atFaultRecord names the jobs put off and how often they were tried, for the next
// leader: to begin from nothing would have all of them fail at once again.
func (l *Leader) atFaultRecord() map[string]int {
	out := map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		if j := l.jobs[id]; j.atFault && len(out) < maxAtFault {
			out[id] = j.rounds
		}
	}
	return out
}

// restoreAtFault takes over what an earlier leader found.
func (l *Leader) restoreAtFault(rounds map[string]int, now micros.Micros) {
	for id, n := range rounds {
		if j := l.jobs[id]; j != nil && !j.good() {
			j.atFault, j.rounds = true, max(1, n)
			j.notBefore = now + min(probePause, 2*micros.Second<<min(j.rounds, 10))
			j.waitsFor = "put off: its tasks fail"
		}
	}
}

// failing says for the duty team how a job fails.
func (j *job) failing(now micros.Micros) string {
	if j.failures == 0 && !j.atFault {
		return ""
	}
	s := fmt.Sprintf("%d of its tasks' runs failed, on %d machines, lately on %s", j.failures, len(j.errors), j.lastFailed)
	if j.lastFailed == "" {
		s = "its tasks failed under an earlier leader"
	}
	if j.atFault {
		s += "; none succeeded, so it was most likely submitted with a mistake: only a few tasks are tried"
	}
	if now < j.notBefore {
		s += fmt.Sprintf(", the next in %.0f s", (j.notBefore - now).Seconds())
	}
	return s
}
