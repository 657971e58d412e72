package fake

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"caperlatch/internal/wire"
)

// gangs is how the tasks of gangs find each other, by attempt number.
type gangs struct {
	mu       sync.Mutex
	attempts map[string]*gangAttempt  // by job and number
	saved    map[string]time.Duration // progress that is safe, by job
	done     map[string]bool          // jobs
	runs     map[string]int           // attempts of which all tasks ran, by job
}

// gangAttempt is the tasks of one attempt.
type gangAttempt struct {
	members   map[string]*gangMember // by task
	started   time.Time              // all run since then; zero: some wait
	ends      time.Time
	lost      time.Time // when one was first missed since then
	firstStop time.Time
	lastStop  time.Time
	failed    bool // to save: a task was not told, or is gone
	stored    bool
}

type gangMember struct {
	joined, seen time.Time
	told         bool
}

func newGangs() *gangs {
	return &gangs{attempts: map[string]*gangAttempt{}, saved: map[string]time.Duration{}, done: map[string]bool{}, runs: map[string]int{}}
}

// Times of gangs: how long a task waits for the others, and in what time it notices that
// one is gone.
const (
	GangAssemblyTimeoutS = 20.0
	GangLossTimeoutS     = 3.0
)

// unseen is how long after its last sign a task is taken to be gone.
const unseen = time.Second

func (g *gangs) attempt(task *workerTask, job *wire.Job) *gangAttempt {
	key := fmt.Sprintf("%s@%d", job.ID, task.Attempt)
	a := g.attempts[key]
	if a == nil {
		a = &gangAttempt{members: map[string]*gangMember{}}
		g.attempts[key] = a
	}
	return a
}

// all tells whether all tasks are there.
func (a *gangAttempt) all(job *wire.Job, now time.Time) bool {
	n := 0
	for _, m := range a.members {
		if now.Sub(m.seen) < unseen {
			n++
		}
	}
	return n == job.Tasks
}

func (a *gangAttempt) allTold(job *wire.Job) bool {
	n := 0
	for _, m := range a.members {
		if m.told {
			n++
		}
	}
	return n == job.Tasks
}

// fallBack has what ran since the last checkpoint be lost.
func (g *gangs) fallBack(a *gangAttempt, job *wire.Job, until time.Time) {
	if every := seconds(job.CheckpointIntervalS); every > 0 {
		g.saved[job.ID] = (g.saved[job.ID] + until.Sub(a.started)) / every * every
	}
}

// join has a task wait that has its image.
func (g *gangs) join(t *workerTask, job *wire.Job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.attempt(t, job).members[t.TaskID] = &gangMember{joined: now, seen: now}
	t.State = wire.TaskWaitingForGang
}

// step has a task that is on its machine do what the others' state asks for, and tells
// whether anything changed.
func (g *gangs) step(t *workerTask, job *wire.Job, runFor float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, a, was := time.Now(), g.attempt(t, job), t.State
	m := a.members[t.TaskID]
	if m == nil {
		m = &gangMember{joined: now}
		a.members[t.TaskID] = m
	}
	m.seen = now
	exit := func(cause string, saved bool) {
		t.State, t.ExitReason, t.Checkpointed = wire.TaskExited, cause, saved
		if cause != wire.ExitDone && !a.stored {
			delete(a.members, t.TaskID)
		}
	}
	switch {
	case g.done[job.ID]:
		exit(wire.ExitDone, false)
	case !a.firstStop.IsZero():
		switch {
		case a.stored && m.told:
			exit(wire.ExitStopped, true)
		case !a.failed && a.allTold(job) && a.all(job, now) && now.Sub(a.lastStop) >= seconds(job.CheckpointDurationS):
			a.stored = true
			g.saved[job.ID] += a.firstStop.Sub(a.started)
			exit(wire.ExitStopped, true)
		case !a.failed && (!a.all(job, now) || now.Sub(a.firstStop) > seconds(GangLossTimeoutS) && !a.allTold(job)):
			a.failed = true
			g.fallBack(a, job, a.firstStop)
		}
		if a.failed && m.told {
			exit(wire.ExitStopped, false)
		} else if a.failed {
			exit(wire.ExitGangTaskLost, false)
		}
	case !a.started.IsZero():
		if a.all(job, now) && a.lost.IsZero() {
			if !now.Before(a.ends) {
				g.done[job.ID] = true
				exit(wire.ExitDone, false)
			} else {
				t.State = wire.TaskRunning
			}
			break
		}
		if a.lost.IsZero() {
			a.lost = now
			g.fallBack(a, job, now)
		}
		if now.Sub(a.lost) >= seconds(GangLossTimeoutS)-unseen {
			exit(wire.ExitGangTaskLost, false)
		}
	case a.all(job, now):
		a.started, a.ends = now, now.Add(seconds(runFor)-g.saved[job.ID])
		g.runs[job.ID]++
		t.State = wire.TaskRunning
	case now.Sub(m.joined) > seconds(GangAssemblyTimeoutS):
		exit(wire.ExitGangTimeout, false)
	}
	return t.State != was
}

// stop has a task stop: one that waits at once, one that runs with the others.
func (g *gangs) stop(t *workerTask, job *wire.Job, grace float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, a := time.Now(), g.attempt(t, job)
	m := a.members[t.TaskID]
	switch {
	case t.State == wire.TaskCheckpointing && grace > 0:
		return
	case m != nil && t.State == wire.TaskRunning && job.CheckpointIntervalS > 0 && grace >= job.CheckpointDurationS:
		if a.firstStop.IsZero() {
			a.firstStop = now
		}
		a.lastStop, m.told, t.State = now, true, wire.TaskCheckpointing
		return
	}
	t.State, t.ExitReason = wire.TaskExited, wire.ExitStopped
	delete(a.members, t.TaskID)
}

// GangRuns counts the attempts of a job of which all tasks ran at the same time.
func (c *Cloud) GangRuns(id string) int {
	c.gangs.mu.Lock()
	defer c.gangs.mu.Unlock()
	return c.gangs.runs[id]
}

// GangProgress is how much of a job's progress is safe.
func (c *Cloud) GangProgress(id string) time.Duration {
	c.gangs.mu.Lock()
	defer c.gangs.mu.Unlock()
	return c.gangs.saved[id]
}

// Interrupt has the cloud take a machine after a notice.
func (w *Worker) Interrupt(notice time.Duration) {
	w.mu.Lock()
	w.recall = time.Now().Add(notice)
	w.wake()
	w.mu.Unlock()
	time.AfterFunc(notice, func() {
		c := w.cloud
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.machines[w.ID] == w {
			w.stop()
			delete(c.machines, w.ID)
			c.Net.Handle(w.address, nil)
			c.release(w.ID)
		}
	})
}

// TaskStates lists the tasks that machines have, with their states; those that ended are
// left out.
func (c *Cloud) TaskStates() map[string]string {
	out := map[string]string{}
	for _, w := range c.Workers() {
		w.mu.Lock()
		for _, t := range w.tasks {
			if t.State != wire.TaskExited {
				out[t.TaskID] = t.State
			}
		}
		w.mu.Unlock()
	}
	return out
}

// WorkersOf lists the machines that have a task of a job, by name.
func (c *Cloud) WorkersOf(job string) (out []*Worker) {
	for _, w := range c.Workers() {
		if slices.ContainsFunc(w.Tasks(), func(t string) bool { return strings.HasPrefix(t, job+"/") }) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *Worker) int { return strings.Compare(a.ID, b.ID) })
	return out
}
