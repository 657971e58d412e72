package gangs

import (
	"maps"
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
)

// Reasons for stopping tasks. They are shown to users, so their texts must not change.
const (
	reasonTaskLost       = "another task of its gang is gone"
	reasonIncomplete     = "its gang was not complete in time"
	reasonBeingStopped   = "its gang is being stopped"
	reasonEarlierLeader  = "an earlier leader stopped its gang"
	reasonSuperseded     = "a later attempt of its gang is there"
	reasonMachineDrained = "one of its gang's machines is given up"
)

// StopIfReachable stops all tasks of a gang, with grace as the time to save a checkpoint, and reports whether it did.
// It does nothing if some of the tasks may not receive the command in time, unless the gang is already being stopped.
// If only some tasks were stopped, the gang would fall back to its last checkpoint; left alone, it loses no further
// work.
func (c *Coordinator) StopIfReachable(j *state.Job, grace micros.Micros, reason string, now micros.Micros) bool {
	if !j.Gang.Ending && !c.areAllReachable(j, now) {
		return false
	}
	c.EndAttempt(j, grace, reason)
	return true
}

// EvictTask stops a gang's task on a machine that is being drained. Before the gang runs, only this task is stopped: it
// exits at once and is replaced. Once the gang runs, all of its tasks are stopped, but only if they can save a
// checkpoint and all of them should receive the command in time. The gang may already be running although no heartbeat
// has reported it. In that case the task saves a checkpoint, and as soon as a heartbeat reports the task as
// checkpointing, ObserveTask stops the other tasks.
func (c *Coordinator) EvictTask(a *state.Attempt, grace micros.Micros, reason string, now micros.Micros) {
	switch {
	case !a.Job.Gang.Started && a.StopRequestedAt == 0:
		c.Stop(a, grace, reason)
	case a.Job.Spec.CheckpointIntervalS > 0 && a.StopRequestedAt == 0:
		c.StopIfReachable(a.Job, grace, reason, now)
	}
}

// areAllReachable reports whether all tasks of a gang should receive a stop command in time. It reports false while
// another node may lead.
func (c *Coordinator) areAllReachable(j *state.Job, now micros.Micros) bool {
	if !c.Term.IsExclusive() {
		return false
	}
	for _, a := range j.Attempts {
		m := a.Machine
		if m.Instance.Terminating || m.Delivery.LostResponses > 0 || m.Instance.Address == "" ||
			!c.IsZoneReachable(m.Offering.Zone) || c.IsHeartbeatLate(m, now) {
			return false
		}
	}
	return true
}

// EndAttempt ends a gang's attempt. Tasks whose start was not sent are released. The workers of the other tasks are
// called at once to stop them within the grace period. The next attempt begins only when all tasks have left their
// machines.
func (c *Coordinator) EndAttempt(j *state.Job, grace micros.Micros, reason string) {
	j.Gang.Ending = true
	stops := map[*state.Machine][]*state.Attempt{}
	for _, index := range slices.Sorted(maps.Keys(j.Attempts)) {
		if a := j.Attempts[index]; a != nil && c.MarkStopping(a, grace, reason) {
			stops[a.Machine] = append(stops[a.Machine], a)
		}
	}
	for m, attempts := range stops {
		c.SendStops(m, attempts)
	}
	if len(j.Attempts) == 0 {
		j.Gang = state.GangAttempt{}
	}
}

// NonPreemptible returns the gangs that must not be stopped for other work: gangs that are done or not fully
// running, and gangs with tasks that cannot be reached.
func (c *Coordinator) NonPreemptible(now micros.Micros) map[*state.Job]bool {
	nonPreemptible := map[*state.Job]bool{}
	for _, j := range state.Gangs(c.Jobs) {
		nonPreemptible[j] = !j.Gang.Started || j.DoneCount > 0 || !c.areAllReachable(j, now)
	}
	return nonPreemptible
}
