package gangs

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// ObserveTask takes over what a heartbeat says of a task that is on its machine. It does nothing for a task
// that is of no gang.
func (c *Coordinator) ObserveTask(a *state.Attempt, now micros.Micros) {
	j := a.Job
	if !j.IsGang() || j.Ended {
		return
	}
	g := &j.Gang
	if a.Number > g.Number {
		// Adopted from an earlier term, whose latest attempt has the highest number.
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
			// An earlier leader was stopping the gang: all tasks must get that command in time.
			c.EndAttempt(j, state.CheckpointGrace(j), reasonEarlierLeader)
		}
	}
	if g.Ending && a.StopRequestedAt == 0 {
		c.EndAttempt(j, state.CheckpointGrace(j), reasonBeingStopped)
	}
	c.endIfInconsistent(j)
}

// endIfInconsistent ends an attempt of which a heartbeat shows that it can't be complete, or that it is being
// stopped.
func (c *Coordinator) endIfInconsistent(j *state.Job) {
	g := &j.Gang
	hasUnsent, isLeaving := false, false
	for _, a := range j.Attempts {
		hasUnsent = hasUnsent || a.Reserved
		isLeaving = isLeaving || a.Number == g.Number && a.StopRequestedAt != 0
	}
	switch {
	case g.Ending:
	case g.Number <= j.LastEndedAttempt || g.Started && hasUnsent:
		// Its exits say so, or one of its starts was never sent.
		c.EndAttempt(j, 0, reasonTaskLost)
	case g.Started && isLeaving:
		// One that was to leave while it waited runs by now: all must get that command in time.
		c.EndAttempt(j, state.CheckpointGrace(j), reasonMachineDrained)
	}
}

// ObserveExit has the other tasks of a gang stopped when one ended in a way that concerns the whole attempt.
// a is nil if the task was not known to be on the machine.
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
		// An earlier leader's stop. Once one task has saved its checkpoint, so have all. One that waited is
		// replaced, and its exit may be listed again beside its replacement.
		if j.Gang.Started && (a != nil || j.Attempts[index] == nil) {
			c.EndAttempt(j, state.CheckpointGrace(j), reasonEarlierLeader)
		}
	}
}

// ObserveRelease takes note that an attempt which its job counted is no longer on its machine. It does
// nothing for a task that is of no gang.
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

// Complete notes that all tasks of a gang are done, as one is: they complete together. It does nothing
// for a job that is no gang.
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
