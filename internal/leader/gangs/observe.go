package gangs

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// ObserveTask updates the gang's attempt from what a heartbeat reports about a task that is on its machine. It
// does nothing for a task that does not belong to a gang.
func (c *Coordinator) ObserveTask(a *state.Attempt, now micros.Micros) {
	j := a.Job
	if !j.IsGang() || j.Ended {
		return
	}
	g := &j.Gang
	if a.Number > g.Number {
		// The task was adopted from an earlier term, whose latest attempt has the highest number.
		*g = state.GangAttempt{Number: a.Number}
		for _, other := range j.Attempts {
			if other.Number < a.Number {
				c.Stop(other, 0, reasonSuperseded)
			}
		}
	}
	switch {
	case a.Number < g.Number:
		c.Stop(a, 0, reasonSuperseded)
	case a.ReportedState == wire.TaskWaitingForGang && g.WaitingSince == 0:
		g.WaitingSince = now
	case a.ReportedState == wire.TaskRunning:
		g.Started = true
	case a.ReportedState == wire.TaskCheckpointing:
		g.Started = true
		if !g.Ending {
			// An earlier leader was stopping the gang: all tasks must receive the stop command in time.
			c.EndAttempt(j, state.CheckpointGrace(j), reasonEarlierLeader)
		}
	}
	if g.Ending && a.StopRequestedAt == 0 {
		c.EndAttempt(j, state.CheckpointGrace(j), reasonBeingStopped)
	}
	c.endIfInconsistent(j)
}

// endIfInconsistent ends an attempt if a heartbeat shows that the attempt can't be complete or is being
// stopped.
func (c *Coordinator) endIfInconsistent(j *state.Job) {
	g := &j.Gang
	hasUnsentStart, isStopping := false, false
	for _, a := range j.Attempts {
		hasUnsentStart = hasUnsentStart || a.Reserved
		isStopping = isStopping || a.Number == g.Number && a.StopRequestedAt != 0
	}
	switch {
	case g.Ending:
	case g.Number <= j.LastEndedAttempt || g.Started && hasUnsentStart:
		// Task exits show that the attempt has ended, or one of its starts was never sent.
		c.EndAttempt(j, 0, reasonTaskLost)
	case g.Started && isStopping:
		// A task that was told to stop while it waited is running by now: all tasks must receive the stop
		// command in time.
		c.EndAttempt(j, state.CheckpointGrace(j), reasonMachineDrained)
	}
}

// ObserveExit stops the other tasks of a gang when a task's exit concerns the whole attempt. a is nil if the
// task was not known to be on the machine.
func (c *Coordinator) ObserveExit(j *state.Job, index int, a *state.Attempt, status *wire.TaskStatus) {
	if !j.IsGang() || j.Ended || j.DoneCount > 0 {
		return
	}
	if status.ExitReason == wire.ExitGangTaskLost || status.ExitReason == wire.ExitGangTimeout {
		j.LastEndedAttempt = max(j.LastEndedAttempt, status.Attempt)
	}
	if j.Gang.Ending || status.Attempt != j.Gang.Number || a != nil && a.StopRequestedAt != 0 {
		return
	}
	switch status.ExitReason {
	case wire.ExitGangTaskLost:
		c.EndAttempt(j, 0, reasonTaskLost)
	case wire.ExitGangTimeout:
		c.EndAttempt(j, 0, reasonIncomplete)
	case wire.ExitStopped:
		// An earlier leader stopped the task. Once one task has saved its checkpoint, all have. A task that
		// exited while it waited is replaced, and its exit may be reported again beside its replacement.
		if j.Gang.Started && (a != nil || j.Attempts[index] == nil) {
			c.EndAttempt(j, state.CheckpointGrace(j), reasonEarlierLeader)
		}
	}
}

// ObserveRelease updates the gang's attempt after a task's attempt has been removed from its machine. It does
// nothing for a task that does not belong to a gang.
func (c *Coordinator) ObserveRelease(a *state.Attempt) {
	j := a.Job
	if !j.IsGang() {
		return
	}
	if !j.Ended && j.DoneCount == 0 && a.Number == j.Gang.Number && j.Gang.Started && !j.Gang.Ending {
		c.EndAttempt(j, 0, reasonTaskLost)
	}
	if len(j.Attempts) == 0 {
		j.Gang = state.GangAttempt{}
	}
}

// Complete marks all tasks of a gang as done once one of them is, as they complete together. It does nothing
// for a job that is not a gang.
func (c *Coordinator) Complete(j *state.Job) {
	if !j.IsGang() {
		return
	}
	for index := range j.Spec.Tasks {
		if !j.Done.Has(index) {
			j.MarkDone(index)
			c.StoreProgress(j, index/state.ChunkTasks)
		}
	}
}
