package leader

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"caperlatch/internal/explain"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

// Bounds of the memory for notes, and of what is shown of one job. A zone with half of 4,000
// machines loses some 16,000 tasks at once, and each has its note; they take 4 MB at most.
const (
	maxRecordedStops = 20000
	maxShownEntries  = 50
)

func (l *Leader) recordStop(a *attempt, why string) {
	n := explain.TaskStop{Task: taskID(a.job.spec.ID, a.index), Attempt: a.number, Machine: a.machine.id, At: micros.Wall(), Reason: why}
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
	e.Tasks, e.Done, e.Running, e.Waiting = j.spec.Tasks, j.doneCount, j.runningCount, j.waiting()
	explainTasks(&e, j)
	if e.Waiting > 0 {
		e.Reasons = l.waitReasons(j)
	} else if f := j.describeFailures(micros.Now()); f != "" {
		e.Reasons = append(e.Reasons, f)
	}
	e.Reasons = append(e.Reasons, l.zoneReasons(j)...)
	if _, finishing := l.finalJobs[id]; finishing {
		e.Reasons = append(e.Reasons, "all its tasks are done, which is not stored yet")
	}
	return e, true
}

// explainStops adds the latest stops of a job's tasks.
func (l *Leader) explainStops(e *explain.Explanation) {
	for _, s := range l.recentStops {
		if job, _, err := parseTaskID(s.Task); err == nil && job == e.Job {
			e.Stops = append(e.Stops, s)
		}
	}
	if more := len(e.Stops) - maxShownEntries; more > 0 {
		e.Notes = append(e.Notes, fmt.Sprintf("%d earlier stops are not shown", more))
		e.Stops = e.Stops[more:]
	}
}

// explainTasks adds where a job's tasks are.
func explainTasks(e *explain.Explanation, j *job) {
	for _, t := range slices.Sorted(maps.Keys(j.attempts)) {
		if len(e.Placements) == maxShownEntries {
			e.Notes = append(e.Notes, fmt.Sprintf("%d more tasks are on machines", len(j.attempts)-maxShownEntries))
			return
		}
		a := j.attempts[t]
		e.Placements = append(e.Placements, explain.TaskPlacement{
			Task:    taskID(j.spec.ID, t),
			Attempt: a.number,
			Machine: a.machine.id,
			State:   describeAttempt(a),
			Since:   micros.Wall() - (micros.Now() - max(a.startedAt, a.runningSince)),
		})
	}
}

// describeAttempt says what an attempt does.
func describeAttempt(a *attempt) string {
	switch {
	case a.stopRequestedAt != 0:
		return "being stopped: " + a.stopReason
	case a.reserved:
		return "its place is reserved, the start goes with its machine's next report"
	case a.machine.reconciliation.knowledge == tasksHandedOver:
		return "on its machine as the leader before said, which the machine has not confirmed yet"
	case a.reportedState == wire.TaskWaitingForGang:
		return "waiting for the other tasks of its gang"
	case a.reportedState == "":
		return "start sent"
	}
	return a.reportedState
}

func (l *Leader) waitReasons(j *job) (why []string) {
	now := micros.Now()
	teams := l.worstCaseTeamUse()
	if u := l.unknownMachinesNow(); l.mustAwaitReconciliation(j, u) {
		why = append(why, fmt.Sprintf("%d machines' tasks are not known yet after the take-over", u.count+l.countUnconfirmed()))
	}
	if f := j.describeFailures(now); f != "" && !j.hasSucceeded() {
		why = append(why, f)
	} else if now < j.backoffUntil {
		why = append(why, j.backoffReason)
	}
	if t := teams[j.spec.Team]; t != nil && t.Limit.CPU > 0 && t.Used.CPU+j.need.CPU > t.Limit.CPU {
		why = append(why, "its team uses as many CPUs as it may")
	}
	if t := teams[j.spec.Team]; t != nil && t.Limit.GPU > 0 && t.Used.GPU+j.need.GPU > t.Limit.GPU {
		why = append(why, "its team uses as many GPUs as it may")
	}
	if j.isGang() {
		if t := teams[j.spec.Team]; len(why) == 0 && t.CountAllowed(j.need, j.waiting()) < j.waiting() {
			why = append(why, "its team may not use as much as the whole gang needs")
		}
		switch {
		case j.gang.ending:
			why = append(why, fmt.Sprintf("its gang was ended, and %d tasks are not gone yet", len(j.attempts)))
		case len(j.attempts) > 0:
			why = append(why, fmt.Sprintf("%d of its gang's tasks have their places; it is completed under the same attempt", len(j.attempts)))
		case l.reservations[j.spec.ID] != nil && len(l.reservations[j.spec.ID].machines) > 0:
			why = append(why, fmt.Sprintf("room for the whole gang is gathered on %d machines", len(l.reservations[j.spec.ID].machines)))
		}
	}
	if !l.Term.IsExclusive() {
		why = append(why, "the leader is not sure of its leadership")
	}
	if len(why) > 0 {
		return why
	}
	machines, _ := l.schedulableMachines(now, placement.Resources{})
	for i := range machines {
		if machines[i].Free.Fits(j.need) && !machines[i].ZoneBoundOnly {
			if j.isGang() {
				return append(why, "there is room for single tasks, not for the whole gang where it may run")
			}
			return append(why, "it starts at a machine's next report, or its zone rules leave no room")
		}
	}
	coming := 0
	for _, m := range l.machines {
		if !m.instance.running {
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
	return j.doneCount, j.runningCount, true
}

// logSnapshot shows now and then what the leader sees.
func (l *Leader) logSnapshot(now micros.Micros) {
	if !slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	states := map[string]int{}
	waiting, held, cpus, open := 0, int64(0), int64(0), 0
	for _, j := range l.jobs {
		waiting += j.waiting()
		if j.startableTasks(now) > 0 {
			open++
		}
	}
	for _, m := range l.machines {
		for _, a := range m.attempts {
			states[a.reportedState]++
			held += a.job.need.CPU
		}
		if t := l.types[m.offering.Type]; t != nil && l.canReceiveStarts(m, now) {
			cpus += t.capacity.CPU
		}
	}
	targets := map[string]string{}
	for _, t := range l.types {
		targets[t.Name] = fmt.Sprintf("m=%.1f want=%.1f target=%d", t.mean, t.wanted, t.target)
	}
	slog.Debug("snapshot", "jobs", len(l.jobs), "waiting", waiting, "open", open, "states", states,
		"held_cpus", held/1000, "usable_cpus", cpus/1000, "machines", len(l.machines), "unresolved", l.countUnknownMachines(), "targets", targets)
}
