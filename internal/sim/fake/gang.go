package fake

import (
	"fmt"
	"sync"
	"time"

	"caperlatch/internal/wire"
)

// Timeouts of gangs, in seconds.
const (
	GangAssemblyTimeoutS = 20.0 // how long a task waits for the other tasks of its gang
	GangLossTimeoutS     = 3.0  // the time within which a task detects the loss of another task of its gang
)

// memberTimeout is the time after a task's latest update by step after which the task is considered lost.
const memberTimeout = time.Second

// gangRegistry tracks the attempts of gangs. Through it, the tasks of a gang observe each other across machines.
type gangRegistry struct {
	mu       sync.Mutex               // guards the fields below, and all attempts
	attempts map[string]*gangAttempt  // by job ID and attempt number
	progress map[string]time.Duration // checkpointed progress, by job
	done     map[string]bool          // the jobs that are done
	fullRuns map[string]int           // number of attempts in which all tasks ran at the same time, by job
}

// gangAttempt is one attempt to run a gang.
type gangAttempt struct {
	members     map[string]*gangMember // by task
	startedAt   time.Time              // when all tasks started to run; zero: they have not yet
	endsAt      time.Time              // when all tasks will be done
	lostAt      time.Time              // when the first task was found lost after startedAt; zero: no task is lost
	firstStopAt time.Time              // when the first task was told to checkpoint and stop; zero: none was
	lastStopAt  time.Time              // when the latest task was told to checkpoint and stop
	// The checkpoint fails if a task is lost, or is not told to checkpoint within GangLossTimeoutS of firstStopAt. It
	// is never stored after it has failed. If a task is started again in this attempt after the checkpoint was stored,
	// checkpointFailed is set too, so that this task exits.
	checkpointStored bool
	checkpointFailed bool
}

// gangMember is one task of an attempt.
type gangMember struct {
	joinedAt, lastStepAt time.Time
	stopping             bool // whether the task was told to checkpoint and stop
}

func newGangRegistry() *gangRegistry {
	return &gangRegistry{
		attempts: map[string]*gangAttempt{},
		progress: map[string]time.Duration{},
		done:     map[string]bool{},
		fullRuns: map[string]int{},
	}
}

// attempt returns the attempt to which a task belongs, and creates it if necessary. The caller holds the lock.
func (g *gangRegistry) attempt(t *workerTask, job *wire.Job) *gangAttempt {
	key := fmt.Sprintf("%s@%d", job.ID, t.Attempt)
	a := g.attempts[key]
	if a == nil {
		a = &gangAttempt{members: map[string]*gangMember{}}
		g.attempts[key] = a
	}
	return a
}

// allPresent reports whether step has updated every task of the job within memberTimeout, so that none is lost.
func (a *gangAttempt) allPresent(job *wire.Job, now time.Time) bool {
	n := 0
	for _, m := range a.members {
		if now.Sub(m.lastStepAt) < memberTimeout {
			n++
		}
	}
	return n == job.Tasks
}

// allStopping reports whether every task of the job was told to checkpoint and stop.
func (a *gangAttempt) allStopping(job *wire.Job) bool {
	n := 0
	for _, m := range a.members {
		if m.stopping {
			n++
		}
	}
	return n == job.Tasks
}

// saveProgress saves the progress up to the last periodic checkpoint before a given time. The caller holds the lock.
func (g *gangRegistry) saveProgress(a *gangAttempt, job *wire.Job, until time.Time) {
	if interval := seconds(job.CheckpointIntervalS); interval > 0 {
		g.progress[job.ID] = (g.progress[job.ID] + until.Sub(a.startedAt)) / interval * interval
	}
}

// join adds a task whose image is present to its gang; the task then waits for the other tasks.
func (g *gangRegistry) join(t *workerTask, job *wire.Job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.attempt(t, job).members[t.TaskID] = &gangMember{joinedAt: now, lastStepAt: now}
	t.State = wire.TaskWaitingForGang
}

// gangStep is one update of the state of a task. It is used only while the registry's lock is held.
type gangStep struct {
	registry *gangRegistry
	attempt  *gangAttempt
	member   *gangMember
	task     *workerTask
	job      *wire.Job
	now      time.Time
}

// step updates the state of a task of a gang according to the states of the other tasks, and reports whether the
// state of the task changed. runtimeS is the total runtime of the task, in seconds.
func (g *gangRegistry) step(t *workerTask, job *wire.Job, runtimeS float64) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, a, before := time.Now(), g.attempt(t, job), t.State
	m := a.members[t.TaskID]
	if m == nil {
		m = &gangMember{joinedAt: now}
		a.members[t.TaskID] = m
	}
	m.lastStepAt = now
	s := &gangStep{registry: g, attempt: a, member: m, task: t, job: job, now: now}
	switch {
	case g.done[job.ID]:
		s.exit(wire.ExitDone, false)
	case !a.firstStopAt.IsZero():
		s.stepStopping()
	case !a.startedAt.IsZero():
		s.stepRunning()
	case a.allPresent(job, now):
		a.startedAt, a.endsAt = now, now.Add(seconds(runtimeS)-g.progress[job.ID])
		g.fullRuns[job.ID]++
		t.State = wire.TaskRunning
	case now.Sub(m.joinedAt) > seconds(GangAssemblyTimeoutS):
		s.exit(wire.ExitGangTimeout, false)
	}
	return t.State != before
}

// exit sets the task's state to exited. It also removes the task from its attempt, unless the task is done or the
// checkpoint of the attempt is stored.
func (s *gangStep) exit(reason string, checkpointed bool) {
	s.task.State, s.task.ExitReason, s.task.Checkpointed = wire.TaskExited, reason, checkpointed
	if reason != wire.ExitDone && !s.attempt.checkpointStored {
		delete(s.attempt.members, s.task.TaskID)
	}
}

// stepRunning updates a task while the gang runs: the task is done at endsAt, and exits about GangLossTimeoutS after
// another task of the gang was lost.
func (s *gangStep) stepRunning() {
	a := s.attempt
	if a.allPresent(s.job, s.now) && a.lostAt.IsZero() {
		if s.now.Before(a.endsAt) {
			s.task.State = wire.TaskRunning
		} else {
			s.registry.done[s.job.ID] = true
			s.exit(wire.ExitDone, false)
		}
		return
	}
	if a.lostAt.IsZero() {
		a.lostAt = s.now
		s.registry.saveProgress(a, s.job, s.now)
	}
	if s.now.Sub(a.lostAt) >= seconds(GangLossTimeoutS)-memberTimeout {
		s.exit(wire.ExitGangTaskLost, false)
	}
}

// stepStopping updates a task after any task of the gang was told to checkpoint and stop. The tasks exit with a
// checkpoint once all of them have had the time to write it, and without one if the checkpoint fails.
func (s *gangStep) stepStopping() {
	a, present, stopping := s.attempt, s.attempt.allPresent(s.job, s.now), s.attempt.allStopping(s.job)
	switch {
	case a.checkpointStored && s.member.stopping:
		s.exit(wire.ExitStopped, true)
	case a.checkpointFailed:
	case stopping && present && s.now.Sub(a.lastStopAt) >= seconds(s.job.CheckpointDurationS):
		a.checkpointStored = true
		s.registry.progress[s.job.ID] += a.firstStopAt.Sub(a.startedAt)
		s.exit(wire.ExitStopped, true)
	case !present || s.now.Sub(a.firstStopAt) > seconds(GangLossTimeoutS) && !stopping:
		a.checkpointFailed = true
		s.registry.saveProgress(a, s.job, a.firstStopAt)
	}
	if a.checkpointFailed && s.member.stopping {
		s.exit(wire.ExitStopped, false)
	} else if a.checkpointFailed {
		s.exit(wire.ExitGangTaskLost, false)
	}
}

// stop stops a task. If the task runs and the grace period is long enough for a checkpoint, the task starts to
// checkpoint and exits together with the other tasks; otherwise it exits immediately. A task that is already
// checkpointing continues unless graceS is 0.
func (g *gangRegistry) stop(t *workerTask, job *wire.Job, graceS float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, a := time.Now(), g.attempt(t, job)
	m := a.members[t.TaskID]
	canCheckpoint := job.CheckpointIntervalS > 0 && graceS >= job.CheckpointDurationS
	switch {
	case t.State == wire.TaskCheckpointing && graceS > 0:
		return
	case m != nil && t.State == wire.TaskRunning && canCheckpoint:
		if a.firstStopAt.IsZero() {
			a.firstStopAt = now
		}
		a.lastStopAt, m.stopping, t.State = now, true, wire.TaskCheckpointing
		return
	}
	t.State, t.ExitReason = wire.TaskExited, wire.ExitStopped
	delete(a.members, t.TaskID)
}

// GangRuns returns the number of attempts of a job in which all tasks ran at the same time.
func (c *Cloud) GangRuns(job string) int {
	c.gangs.mu.Lock()
	defer c.gangs.mu.Unlock()
	return c.gangs.fullRuns[job]
}

// GangProgress returns the checkpointed progress of a job.
func (c *Cloud) GangProgress(job string) time.Duration {
	c.gangs.mu.Lock()
	defer c.gangs.mu.Unlock()
	return c.gangs.progress[job]
}
