package gangs

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// ObserveTask updates a gang's attempt from what a heartbeat reports about a task that is on its machine. It does
// nothing for a task whose job is not a gang or has ended.
func (c *Coordinator) ObserveTask(a *state.Attempt, now micros.Micros) {
	j := a.Job
	if !j.IsGang() || j.Ended {
		return
	}
	g := &j.Gang
	if a.Number > g.Number {
		// The task was adopted from an earlier term. The highest number is that of the gang's latest attempt, so the
		// tasks with lower numbers are left over from earlier attempts.
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
			// An earlier leader was stopping the gang. All tasks must receive the stop command in time to save a
			// checkpoint.
			c.EndAttempt(j, state.CheckpointGrace(j), reasonEarlierLeader)
		}
	}
	if g.Ending && a.StopRequestedAt == 0 {
		c.EndAttempt(j, state.CheckpointGrace(j), reasonBeingStopped)
	}
	c.endIfInconsistent(j)
}

// endIfInconsistent ends an attempt if heartbeats show that one of its tasks is lost, or that the gang runs although
// one of its tasks was told to stop.
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
		// Either task exits have shown that the attempt has ended, or the gang runs although one of its tasks is
		// assigned and its start was never sent. Such a task replaces one that has been lost.
		c.EndAttempt(j, 0, reasonTaskLost)
	case g.Started && isStopping:
		// A task was told to stop while it waited for the gang, but runs by now. All tasks must receive the stop
		// command in time to save a checkpoint.
		c.EndAttempt(j, state.CheckpointGrace(j), reasonMachineDrained)
	}
}

// ObserveExit stops the other tasks of a gang if a task's exit shows that a task was lost, that the gang was not
// complete in time, or that an earlier leader stopped the running gang. a is nil if the task was not known to be on the
// machine.
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
		// An earlier leader stopped the task. Once one task has saved its checkpoint, all have. The exit of a task that
		// was stopped while it waited for the gang is ignored: the task has been replaced, and its exit may be reported
		// again while the replacement is assigned.
		if j.Gang.Started && (a != nil || j.Attempts[index] == nil) {
			c.EndAttempt(j, state.CheckpointGrace(j), reasonEarlierLeader)
		}
	}
}

// ObserveRelease updates a gang's attempt after a task has been removed from its machine. The removal ends the attempt
// if the gang runs. It does nothing for a task that does not belong to a gang.
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
