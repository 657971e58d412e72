package fake

import (
	"slices"
	"strings"
	"time"

	"caperlatch/internal/wire"
)

// All methods in this file require that the caller holds the worker's lock.

// job returns the specification of a task's job, as the checker recorded it when a user submitted the job.
func (w *Worker) job(task string) wire.Job {
	id, _, _ := strings.Cut(task, "/")
	return w.cloud.Rules.Job(id)
}

// image returns the name of a task's image.
func (w *Worker) image(task string) string { return w.job(task).Image }

// step updates the states of all tasks. If the lease has expired, it kills them.
func (w *Worker) step() {
	if w.ctx.Err() != nil {
		w.tasks = nil
		return
	}
	now := time.Now()
	if now.Sub(w.leaseRenewedAt) > seconds(w.cloud.LeaseDurationS) {
		w.expireLease(now)
	}
	if w.resumed != nil {
		return
	}
	for _, t := range w.tasks {
		job := w.job(t.TaskID)
		switch {
		case job.Kind == wire.KindGang && t.State != wire.TaskExited && t.State != wire.TaskPullingImage:
			w.stepGang(t, &job)
		case !now.Before(t.endsAt) && w.stepTask(t):
			w.notifyChange()
		}
	}
}

// expireLease kills all tasks and starts the next incarnation.
func (w *Worker) expireLease(now time.Time) {
	for _, t := range w.tasks {
		w.cloud.taskExited(t.TaskID, w.ID, false)
	}
	w.tasks = nil
	w.incarnation++
	w.leaseRenewedAt = now
}

// stepTask moves a task whose endsAt has passed to its next state, and reports whether the task has one.
func (w *Worker) stepTask(t *workerTask) bool {
	switch t.State {
	case wire.TaskPullingImage:
		w.images[w.image(t.TaskID)] = true
		w.runTask(t)
	case wire.TaskRunning:
		t.State, t.ExitReason = wire.TaskExited, wire.ExitDone
		w.cloud.taskExited(t.TaskID, w.ID, true)
	case wire.TaskCheckpointing:
		t.State, t.ExitReason, t.Checkpointed = wire.TaskExited, wire.ExitStopped, true
		w.cloud.taskExited(t.TaskID, w.ID, false)
	default:
		return false
	}
	return true
}

// stepGang updates the state of a task of a gang according to the other tasks of the gang.
func (w *Worker) stepGang(t *workerTask, job *wire.Job) {
	if !w.cloud.gangs.step(t, job, w.cloud.RuntimeOf(t.TaskID)) {
		return
	}
	if t.State == wire.TaskExited {
		w.cloud.taskExited(t.TaskID, w.ID, t.ExitReason == wire.ExitDone)
	}
	w.notifyChange()
}

// runTask starts a task whose image is present: the task runs, or waits for the other tasks of its gang.
func (w *Worker) runTask(t *workerTask) {
	if job := w.job(t.TaskID); job.Kind == wire.KindGang {
		w.cloud.taskStarted(t.TaskID, w.ID)
		w.cloud.gangs.join(t, &job)
		w.stepGang(t, &job)
		return
	}
	runtime := seconds(w.cloud.RuntimeOf(t.TaskID))
	t.State, t.endsAt = wire.TaskRunning, time.Now().Add(runtime)
	w.cloud.taskStarted(t.TaskID, w.ID)
	time.AfterFunc(runtime, w.notifyChange)
}

// execute executes commands in order. Commands that do not apply are ignored.
func (w *Worker) execute(commands []wire.Command) {
	for _, c := range commands {
		i := slices.IndexFunc(w.tasks, func(t *workerTask) bool { return t.TaskID == c.TaskID && t.Attempt == c.Attempt })
		switch c.Verb {
		case wire.VerbStart:
			if i >= 0 {
				continue
			}
			w.start(&c)
		case wire.VerbStop:
			if i < 0 || w.tasks[i].State == wire.TaskExited {
				continue
			}
			w.stopTask(w.tasks[i], &c)
		case wire.VerbClear:
			if i >= 0 && w.tasks[i].State == wire.TaskExited {
				w.tasks = slices.Delete(w.tasks, i, i+1)
			}
		}
		w.notifyChange()
	}
}

// start executes a start command for an attempt that is not on the worker yet.
func (w *Worker) start(c *wire.Command) {
	t := &workerTask{TaskStatus: wire.TaskStatus{TaskID: c.TaskID, Attempt: c.Attempt, State: wire.TaskRunning}}
	otherAttempt := func(o *workerTask) bool { return o.TaskID == c.TaskID && o.State != wire.TaskExited }
	switch {
	case slices.ContainsFunc(w.tasks, otherAttempt):
		t.State, t.ExitReason = wire.TaskExited, wire.ExitOtherAttemptPresent
	case w.cloud.TaskFails != nil && w.cloud.TaskFails(c.TaskID, w.ID):
		t.State, t.ExitReason = wire.TaskExited, wire.ExitError
		w.cloud.taskStarted(c.TaskID, w.ID)
		w.cloud.taskExited(c.TaskID, w.ID, false)
	case w.cloud.ImagePullS > 0 && !w.images[w.image(c.TaskID)]:
		t.State, t.endsAt = wire.TaskPullingImage, time.Now().Add(seconds(w.cloud.ImagePullS))
	default:
		w.runTask(t)
	}
	w.tasks = append(w.tasks, t)
}

// stopTask executes a stop command: the task exits, after a checkpoint if the grace period is long enough for one.
func (w *Worker) stopTask(t *workerTask, c *wire.Command) {
	graceS := 0.0
	if c.GracePeriodS != nil {
		graceS = *c.GracePeriodS
	}
	job := w.job(c.TaskID)
	canCheckpoint := job.CheckpointIntervalS > 0 && job.CheckpointDurationS > 0 && graceS >= job.CheckpointDurationS
	switch {
	case job.Kind == wire.KindGang && t.State != wire.TaskPullingImage:
		w.cloud.gangs.stop(t, &job, graceS)
		if t.State == wire.TaskExited {
			w.cloud.taskExited(c.TaskID, w.ID, false)
		}
	case t.State == wire.TaskRunning && canCheckpoint:
		t.State, t.endsAt = wire.TaskCheckpointing, time.Now().Add(seconds(job.CheckpointDurationS))
	case t.State == wire.TaskCheckpointing && graceS > 0:
	default:
		t.State, t.ExitReason = wire.TaskExited, wire.ExitStopped
		w.cloud.taskExited(c.TaskID, w.ID, false)
	}
}
