package leader

import (
	"context"
	"fmt"
	"log/slog"

	"caperlatch/internal/micros"
)

// logSummary logs the state that the leader's decisions are based on, at level debug.
func (l *Leader) logSummary(now micros.Micros) {
	if !slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	waitingTasks, startableJobs := 0, 0
	for _, j := range l.jobs {
		waitingTasks += j.WaitingTasks()
		if j.StartableTasks(now) > 0 {
			startableJobs++
		}
	}
	tasksByState := map[string]int{}
	usedCPU, schedulableCPU := int64(0), int64(0) // thousandths of a CPU
	for _, m := range l.fleet.Machines {
		for _, a := range m.Attempts {
			tasksByState[a.ReportedState]++
			usedCPU += a.Job.Need.CPU
		}
		if t := l.scaler.Type(m.Offering.Type); t != nil && l.canReceiveStarts(m, now) {
			schedulableCPU += t.Capacity.CPU
		}
	}
	targets := map[string]string{}
	for _, t := range l.scaler.Types() {
		targets[t.Name] = fmt.Sprintf("mean=%.1f wanted=%.1f target=%d", t.Mean, t.Required, t.Target)
	}
	slog.Debug("summary",
		"jobs", len(l.jobs),
		"startable_jobs", startableJobs,
		"queued_jobs", l.scheduler.QueuedJobs(),
		"plan_age", (now - l.scheduler.PlannedAt).Duration(),
		"waiting_tasks", waitingTasks,
		"tasks_by_state", tasksByState,
		"used_cpus", usedCPU/1000,
		"schedulable_cpus", schedulableCPU/1000,
		"machines", len(l.fleet.Machines),
		"tasks_unknown", l.fleet.CountWithUnknownTasks(),
		"targets", targets)
}
