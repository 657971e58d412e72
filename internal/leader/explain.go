package leader

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"caperlatch/internal/explain"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// Bounds of the memory for notes, and of what is shown of one job. A zone with half of 4,000
// machines loses some 16,000 tasks at once, and each has its note; they take 4 MB at most.
const (
	maxRecordedStops = 20000
	maxShownEntries  = 50
)

func (l *Leader) recordStop(a *state.Attempt, why string) {
	n := explain.TaskStop{Task: a.TaskID(), Attempt: a.Number, Machine: a.Machine.ID, At: micros.Wall(), Reason: why}
	slog.Debug("task stopped", "task", n.Task, "machine", n.Machine, "why", why)
	if len(l.recentStops) >= maxRecordedStops {
		l.recentStops = slices.Delete(l.recentStops, 0, maxRecordedStops/4)
	}
	l.recentStops = append(l.recentStops, n)
}

// Explain says why a job waits, where its tasks are and why they were stopped.
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
	e.Reasons = append(e.Reasons, l.zones.Reasons(j)...)
	if _, finishing := l.finalJobs[id]; finishing {
		e.Reasons = append(e.Reasons, "all its tasks are done, which is not stored yet")
	}
	return e, true
}

// explainStops adds the latest stops of a job's tasks.
func (l *Leader) explainStops(e *explain.Explanation) {
	for _, s := range l.recentStops {
		if job, _, err := state.ParseTaskID(s.Task); err == nil && job == e.Job {
			e.Stops = append(e.Stops, s)
		}
	}
	if more := len(e.Stops) - maxShownEntries; more > 0 {
		e.Notes = append(e.Notes, fmt.Sprintf("%d earlier stops are not shown", more))
		e.Stops = e.Stops[more:]
	}
}

// explainTasks adds where a job's tasks are.
func explainTasks(e *explain.Explanation, j *state.Job) {
	for _, t := range slices.Sorted(maps.Keys(j.Attempts)) {
		if len(e.Placements) == maxShownEntries {
			e.Notes = append(e.Notes, fmt.Sprintf("%d more tasks are on machines", len(j.Attempts)-maxShownEntries))
			return
		}
		a := j.Attempts[t]
		e.Placements = append(e.Placements, explain.TaskPlacement{
			Task:    state.TaskID(j.Spec.ID, t),
			Attempt: a.Number,
			Machine: a.Machine.ID,
			State:   describeAttempt(a),
			Since:   micros.Wall() - (micros.Now() - max(a.StartedAt, a.RunningSince)),
		})
	}
}

// describeAttempt says what an attempt does.
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

func (l *Leader) waitReasons(j *state.Job) (why []string) {
	now := micros.Now()
	teams := l.worstCaseTeamUse()
	if u := l.findUnknownMachines(); l.mustAwaitReconciliation(j, u) {
		why = append(why, fmt.Sprintf("%d machines' tasks are not known yet after the take-over", u.count+l.countUnconfirmed()))
	}
	if f := j.DescribeFailures(now); f != "" && !j.HasSucceeded() {
		why = append(why, f)
	} else if now < j.BackoffUntil {
		why = append(why, j.BackoffReason)
	}
	if t := teams[j.Spec.Team]; t != nil && t.Limit.CPU > 0 && t.Used.CPU+j.Need.CPU > t.Limit.CPU {
		why = append(why, "its team uses as many CPUs as it may")
	}
	if t := teams[j.Spec.Team]; t != nil && t.Limit.GPU > 0 && t.Used.GPU+j.Need.GPU > t.Limit.GPU {
		why = append(why, "its team uses as many GPUs as it may")
	}
	if j.IsGang() {
		if t := teams[j.Spec.Team]; len(why) == 0 && t.CountAllowed(j.Need, j.WaitingTasks()) < j.WaitingTasks() {
			why = append(why, "its team may not use as much as the whole gang needs")
		}
		switch {
		case j.Gang.Ending:
			why = append(why, fmt.Sprintf("its gang was ended, and %d tasks are not gone yet", len(j.Attempts)))
		case len(j.Attempts) > 0:
			why = append(why, fmt.Sprintf("%d of its gang's tasks have their places; it is completed under the same attempt", len(j.Attempts)))
		case l.scheduler.ReservedMachines(j.Spec.ID) > 0:
			why = append(why, fmt.Sprintf("room for the whole gang is gathered on %d machines", l.scheduler.ReservedMachines(j.Spec.ID)))
		}
	}
	if !l.Term.IsExclusive() {
		why = append(why, "the leader is not sure of its leadership")
	}
	if len(why) > 0 {
		return why
	}
	switch hasRoom := l.scheduler.HasRoomFor(j.Need, now); {
	case hasRoom && j.IsGang():
		return append(why, "there is room for single tasks, not for the whole gang where it may run")
	case hasRoom:
		return append(why, "it starts at a machine's next report, or its zone rules leave no room")
	}
	coming := 0
	for _, m := range l.fleet.Machines {
		if !m.Instance.Running {
			coming++
		}
	}
	return append(why, fmt.Sprintf("no machine has room for a task; %d are coming up", coming))
}

// TaskCounts is what is shown of a job that is not over.
func (l *Leader) TaskCounts(id string) (done, running int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if j == nil {
		return 0, 0, false
	}
	return j.DoneCount, j.RunningCount, true
}

// logSnapshot shows now and then what the leader sees.
func (l *Leader) logSnapshot(now micros.Micros) {
	if !slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	states := map[string]int{}
	waiting, held, cpus, open := 0, int64(0), int64(0), 0
	for _, j := range l.jobs {
		waiting += j.WaitingTasks()
		if j.StartableTasks(now) > 0 {
			open++
		}
	}
	for _, m := range l.fleet.Machines {
		for _, a := range m.Attempts {
			states[a.ReportedState]++
			held += a.Job.Need.CPU
		}
		if t := l.scaler.Type(m.Offering.Type); t != nil && l.canReceiveStarts(m, now) {
			cpus += t.Capacity.CPU
		}
	}
	targets := map[string]string{}
	for _, t := range l.scaler.Types() {
		targets[t.Name] = fmt.Sprintf("m=%.1f want=%.1f target=%d", t.Mean, t.Wanted, t.Target)
	}
	slog.Debug("snapshot", "jobs", len(l.jobs), "waiting", waiting, "open", open, "states", states,
		"held_cpus", held/1000, "usable_cpus", cpus/1000, "machines", len(l.fleet.Machines), "unresolved", l.fleet.CountUnknown(), "targets", targets)
}
