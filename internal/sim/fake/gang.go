package fake

import (
	"fmt"
	"sync"
	"time"

	"caperlatch/internal/wire"
)

// Times of gangs, in seconds.
const (
	GangAssemblyTimeoutS = 20.0 // how long a task waits for the others of its gang
	GangLossTimeoutS     = 3.0  // within what time a task notices that another one is lost
)

// unseenTimeout is how long after its last sign of life a task is taken to be lost.
const unseenTimeout = time.Second

// gangRegistry is how the tasks of gangs on different machines find each other: by job and attempt.
type gangRegistry struct {
	mu       sync.Mutex               // guards what follows, and all attempts
	attempts map[string]*gangAttempt  // by job and number
	progress map[string]time.Duration // that checkpoints keep, by job
	done     map[string]bool          // jobs
	fullRuns map[string]int           // attempts of which all tasks ran at the same time, by job
}

// gangAttempt is the tasks of one attempt of a gang.
type gangAttempt struct {
	members     map[string]*gangMember // by task
	startedAt   time.Time              // since when all run; zero: some wait
	endsAt      time.Time              // when they are done
	lostAt      time.Time              // when the first one was missed since the start; zero: none is
	firstStopAt time.Time              // when the first one was told to checkpoint and stop; zero: none was
	lastStopAt  time.Time              // when the last one was
	// The checkpoint is stored at most once, and cannot be stored after it has failed, as a task was
	// not told in time or is lost. A task that is started anew after it was stored still sets failed.
	checkpointStored bool
	checkpointFailed bool
}

// gangMember is a task of an attempt.
type gangMember struct {
	joinedAt, seenAt time.Time
	stopping         bool // it was told to checkpoint and stop
}

func newGangRegistry() *gangRegistry {
	return &gangRegistry{
		attempts: map[string]*gangAttempt{},
		progress: map[string]time.Duration{},
		done:     map[string]bool{},
		fullRuns: map[string]int{},
	}
}

// attempt returns the attempt that a task belongs to; the caller holds the lock.
func (g *gangRegistry) attempt(t *workerTask, job *wire.Job) *gangAttempt {
	key := fmt.Sprintf("%s@%d", job.ID, t.Attempt)
	a := g.attempts[key]
	if a == nil {
		a = &gangAttempt{members: map[string]*gangMember{}}
		g.attempts[key] = a
	}
	return a
}

// isComplete reports whether all tasks of the job were seen lately.
func (a *gangAttempt) isComplete(job *wire.Job, now time.Time) bool {
	n := 0
	for _, m := range a.members {
		if now.Sub(m.seenAt) < unseenTimeout {
			n++
		}
	}
	return n == job.Tasks
}

// isStopping reports whether all tasks of the job were told to checkpoint and stop.
func (a *gangAttempt) isStopping(job *wire.Job) bool {
	n := 0
	for _, m := range a.members {
		if m.stopping {
			n++
		}
	}
	return n == job.Tasks
}

// keepProgress keeps the progress up to the last checkpoint that the tasks made by themselves before
// a given time; the caller holds the lock.
func (g *gangRegistry) keepProgress(a *gangAttempt, job *wire.Job, until time.Time) {
	if interval := seconds(job.CheckpointIntervalS); interval > 0 {
		g.progress[job.ID] = (g.progress[job.ID] + until.Sub(a.startedAt)) / interval * interval
	}
}

// join has a task that has its image wait for the others.
func (g *gangRegistry) join(t *workerTask, job *wire.Job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.attempt(t, job).members[t.TaskID] = &gangMember{joinedAt: now, seenAt: now}
	t.State = wire.TaskWaitingForGang
}

// gangStep is one look of a task at its gang; it lasts while the registry's lock is held.
type gangStep struct {
	registry *gangRegistry
	attempt  *gangAttempt
	member   *gangMember
	task     *workerTask
	job      *wire.Job
	now      time.Time
}

// step has a task that is on its machine do what the state of the others requires, and reports
// whether its own state changed. The task runs for runtimeS seconds in all.
func (g *gangRegistry) step(t *workerTask, job *wire.Job, runtimeS float64) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, a, before := time.Now(), g.attempt(t, job), t.State
	m := a.members[t.TaskID]
	if m == nil {
		m = &gangMember{joinedAt: now}
		a.members[t.TaskID] = m
	}
	m.seenAt = now
	s := &gangStep{registry: g, attempt: a, member: m, task: t, job: job, now: now}
	switch {
	case g.done[job.ID]:
		s.exit(wire.ExitDone, false)
	case !a.firstStopAt.IsZero():
		s.stepStopping()
	case !a.startedAt.IsZero():
		s.stepRunning()
	case a.isComplete(job, now):
		a.startedAt, a.endsAt = now, now.Add(seconds(runtimeS)-g.progress[job.ID])
		g.fullRuns[job.ID]++
		t.State = wire.TaskRunning
	case now.Sub(m.joinedAt) > seconds(GangAssemblyTimeoutS):
		s.exit(wire.ExitGangTimeout, false)
	}
	return t.State != before
}

// exit has the task exit. It leaves its attempt, unless that is over for all.
func (s *gangStep) exit(reason string, checkpointed bool) {
	s.task.State, s.task.ExitReason, s.task.Checkpointed = wire.TaskExited, reason, checkpointed
	if reason != wire.ExitDone && !s.attempt.checkpointStored {
		delete(s.attempt.members, s.task.TaskID)
	}
}

// stepRunning is a step of a gang that has started.
func (s *gangStep) stepRunning() {
	a := s.attempt
	if a.isComplete(s.job, s.now) && a.lostAt.IsZero() {
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
		s.registry.keepProgress(a, s.job, s.now)
	}
	if s.now.Sub(a.lostAt) >= seconds(GangLossTimeoutS)-unseenTimeout {
		s.exit(wire.ExitGangTaskLost, false)
	}
}

// stepStopping is a step of a gang of which a task was told to checkpoint and stop.
func (s *gangStep) stepStopping() {
	a, complete, stopping := s.attempt, s.attempt.isComplete(s.job, s.now), s.attempt.isStopping(s.job)
	switch {
	case a.checkpointStored && s.member.stopping:
		s.exit(wire.ExitStopped, true)
	case a.checkpointFailed:
	case stopping && complete && s.now.Sub(a.lastStopAt) >= seconds(s.job.CheckpointDurationS):
		a.checkpointStored = true
		s.registry.progress[s.job.ID] += a.firstStopAt.Sub(a.startedAt)
		s.exit(wire.ExitStopped, true)
	case !complete || s.now.Sub(a.firstStopAt) > seconds(GangLossTimeoutS) && !stopping:
		a.checkpointFailed = true
		s.registry.keepProgress(a, s.job, a.firstStopAt)
	}
	if a.checkpointFailed && s.member.stopping {
		s.exit(wire.ExitStopped, false)
	} else if a.checkpointFailed {
		s.exit(wire.ExitGangTaskLost, false)
	}
}

// stop has a task stop: at once if it waits, with the others if it runs and there is time for a
// checkpoint. A task that is being stopped goes on with its checkpoint unless graceS is 0.
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

// GangRuns counts the attempts of a job of which all tasks ran at the same time.
func (c *Cloud) GangRuns(job string) int {
	c.gangs.mu.Lock()
	defer c.gangs.mu.Unlock()
	return c.gangs.fullRuns[job]
}

// GangProgress returns how much of a job's progress its checkpoints keep.
func (c *Cloud) GangProgress(job string) time.Duration {
	c.gangs.mu.Lock()
	defer c.gangs.mu.Unlock()
	return c.gangs.progress[job]
}
