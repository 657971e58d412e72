package leader

import (
	"fmt"
	"log/slog"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
)

// restoreState makes this term's state from what is stored. Which tasks a machine holds is not known until it has sent
// a heartbeat, or responded to a query, with this term's fencing token.
func (l *Leader) restoreState() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := micros.Now()
	if err := l.fleet.RestoreIntents(now); err != nil {
		return err
	}
	if err := l.fleet.RestoreLists(); err != nil {
		return err
	}
	for _, id := range l.Replica.TakeChangedJobs(true) {
		l.applyJobChange(id, true)
	}
	for _, key := range l.Replica.Keys(replica.ProgressPrefix) {
		if err := l.restoreProgress(key); err != nil {
			return err
		}
	}
	if err := l.restoreAutoscaler(now); err != nil {
		return err
	}
	l.zones.Restore(now)
	l.restoreFromPreviousTerm()
	l.scaler.StepPools(now)
	l.ready = true
	l.scheduler.RequestPlan()
	slog.Info("stored state restored", "fencing_token", l.FencingToken, "jobs", len(l.jobs), "machines", len(l.fleet.Machines), "tasks_unknown", l.fleet.CountWithUnknownTasks())
	return nil
}

// restoreProgress takes over which tasks of a job are done, from a stored chunk.
func (l *Leader) restoreProgress(key string) error {
	id, chunk, err := state.ParseProgressKey(key)
	if err != nil {
		return err
	}
	j := l.jobs[id]
	if j == nil {
		l.writes.Enqueue(key) // the job has ended
		return nil
	}
	var progress state.TaskProgress
	if _, err := l.Replica.Get(key, &progress); err != nil {
		return err
	}
	if err := j.RestoreProgress(chunk, progress); err != nil {
		return fmt.Errorf("stored %s: %w", key, err)
	}
	if j.DoneCount > 0 {
		l.gangs.Complete(j)
	}
	l.finishIfDone(j)
	return nil
}
