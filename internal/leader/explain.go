package leader

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"caperlatch/internal/explain"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// Limits on the task stops that are kept, and on the entries that are returned for one job. When a zone with half of
// 4,000 machines fails, some 16,000 tasks stop at once. The stops that are kept take at most 4 MB.
const (
	maxRecordedStops    = 20000
	maxExplainedEntries = 50
)

// recordStop keeps the reason why a task stopped, for Explain. At the limit it first drops the oldest quarter.
func (l *Leader) recordStop(a *state.Attempt, reason string) {
	stop := explain.TaskStop{Task: a.TaskID(), Attempt: a.Number, Machine: a.Machine.ID, At: micros.WallTime(), Reason: reason}
	slog.Debug("task stopped", "task", stop.Task, "attempt", stop.Attempt, "machine", stop.Machine, "reason", reason)
	if len(l.recentStops) >= maxRecordedStops {
		l.recentStops = slices.Delete(l.recentStops, 0, maxRecordedStops/4)
	}
	l.recentStops = append(l.recentStops, stop)
}

// Explain returns why a job waits, where its tasks are and why they were stopped. It reports false if nothing is known
// about the job. The texts are shown to users and must not change.
func (l *Leader) Explain(id string) (explain.Explanation, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := explain.Explanation{Job: id, Member: l.Settings.Member}
	l.explainStops(&e)
	if !l.ready {
		e.Notes = append(e.Notes, l.Settings.Member+" is taking over and has not read what is stored yet")
	}
	j := l.jobs[id]
	if j == nil {
		return e, len(e.Stops) > 0
	}
	e.Tasks, e.Done, e.Running, e.Waiting = j.Spec.Tasks, j.DoneCount, j.RunningCount, j.WaitingTasks()
	explainTasks(&e, j)
	if e.Waiting > 0 {
		e.Reasons = l.waitReasons(j)
	} else if f := j.DescribeFailures(micros.Now()); f != "" {
		e.Reasons = append(e.Reasons, f)
	}
	e.Reasons = append(e.Reasons, l.zones.DisruptionReasons(j)...)
	if _, finishing := l.finalJobs[id]; finishing {
		e.Reasons = append(e.Reasons, "all its tasks are done, which is not stored yet")
	}
	return e, true
}

// explainStops adds the latest stops of the job's tasks to e.
func (l *Leader) explainStops(e *explain.Explanation) {
	for _, s := range l.recentStops {
		if job, _, err := state.ParseTaskID(s.Task); err == nil && job == e.Job {
			e.Stops = append(e.Stops, s)
		}
	}
	if omitted := len(e.Stops) - maxExplainedEntries; omitted > 0 {
		e.Notes = append(e.Notes, fmt.Sprintf("%d earlier stops are not shown", omitted))
		e.Stops = e.Stops[omitted:]
	}
}

// explainTasks adds the machines and states of a job's tasks to e.
func explainTasks(e *explain.Explanation, j *state.Job) {
	for _, index := range slices.Sorted(maps.Keys(j.Attempts)) {
		if len(e.Placements) == maxExplainedEntries {
			e.Notes = append(e.Notes, fmt.Sprintf("%d more tasks are on machines", len(j.Attempts)-maxExplainedEntries))
			return
		}
		a := j.Attempts[index]
		e.Placements = append(e.Placements, explain.TaskPlacement{
			Task:    state.TaskID(j.Spec.ID, index),
			Attempt: a.Number,
			Machine: a.Machine.ID,
			State:   describeAttempt(a),
			Since:   micros.WallTime() - (micros.Now() - max(a.StartedAt, a.RunningSince)),
		})
	}
}

// describeAttempt returns the state of an attempt as users see it.
func describeAttempt(a *state.Attempt) string {
	switch {
	case a.StopRequestedAt != 0:
		return "being stopped: " + a.StopReason
	case a.Reserved:
		return "its place is reserved, the start goes with its machine's next report"
	case a.Machine.Reconciliation.Knowledge == state.TasksHandedOver:
		return "on its machine as the leader before said, which the machine has not confirmed yet"
	case a.ReportedState == wire.TaskWaitingForGang:
		return "waiting for the other tasks of its gang"
	case a.ReportedState == "":
		return "start sent"
	}
	return a.ReportedState
}

// waitReasons returns the reasons why tasks of a job wait. There is always at least one.
func (l *Leader) waitReasons(j *state.Job) (reasons []string) {
	now := micros.Now()
	if u := l.findMachinesWithUnknownTasks(); l.mustAwaitReconciliation(j, u) {
		reasons = append(reasons, fmt.Sprintf("%d machines' tasks are not known yet after the take-over", u.count+l.countUnconfirmed()))
	}
	if failures := j.DescribeFailures(now); failures != "" && !j.HasSucceeded() {
		reasons = append(reasons, failures)
	} else if now < j.BackoffUntil {
		reasons = append(reasons, j.BackoffReason)
	}
	reasons = l.appendLimitReasons(reasons, j)
	if j.IsGang() {
		reasons = l.appendGangReasons(reasons, j)
	}
	if !l.Term.IsExclusive() {
		reasons = append(reasons, "the leader is not sure of its leadership")
	}
	if len(reasons) > 0 {
		return reasons
	}
	return []string{l.capacityReason(j, now)}
}

// appendLimitReasons appends the team limits that keep a job's tasks from starting.
func (l *Leader) appendLimitReasons(reasons []string, j *state.Job) []string {
	team := l.worstCaseTeamUsage()[j.Spec.Team]
	if team != nil && team.Limit.CPU > 0 && team.Used.CPU+j.Need.CPU > team.Limit.CPU {
		reasons = append(reasons, "its team uses as many CPUs as it may")
	}
	if team != nil && team.Limit.GPU > 0 && team.Used.GPU+j.Need.GPU > team.Limit.GPU {
		reasons = append(reasons, "its team uses as many GPUs as it may")
	}
	if j.IsGang() && len(reasons) == 0 && team.CountAllowed(j.Need, j.WaitingTasks()) < j.WaitingTasks() {
		reasons = append(reasons, "its team may not use as much as the whole gang needs")
	}
	return reasons
}

// appendGangReasons appends the progress of a gang's attempt.
func (l *Leader) appendGangReasons(reasons []string, j *state.Job) []string {
	reserved := l.scheduler.ReservedMachines(j.Spec.ID)
	switch {
	case j.Gang.Ending:
		return append(reasons, fmt.Sprintf("its gang was ended, and %d tasks are not gone yet", len(j.Attempts)))
	case len(j.Attempts) > 0:
		return append(reasons, fmt.Sprintf("%d of its gang's tasks have their places; it is completed under the same attempt", len(j.Attempts)))
	case reserved > 0:
		return append(reasons, fmt.Sprintf("room for the whole gang is gathered on %d machines", reserved))
	}
	return reasons
}

// capacityReason returns the reason why a job waits if waitReasons has found no other one.
func (l *Leader) capacityReason(j *state.Job, now micros.Micros) string {
	switch hasRoom := l.scheduler.HasRoomFor(j.Need, now); {
	case hasRoom && j.IsGang():
		return "there is room for single tasks, not for the whole gang where it may run"
	case hasRoom:
		return "it starts at a machine's next report, or its zone rules leave no room"
	}
	booting := 0
	for _, m := range l.fleet.Machines {
		if !m.Instance.Running {
			booting++
		}
	}
	return fmt.Sprintf("no machine has room for a task; %d are coming up", booting)
}
