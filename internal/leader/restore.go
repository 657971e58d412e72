package leader

import (
	"fmt"
	"log/slog"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
)

// restoreState restores this term's state from the state service. The tasks of a machine are not known until the
// machine has sent a heartbeat, or responded to a query, with this term's fencing token, unless a handover proves them.
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

// restoreProgress restores which tasks of a job are done from one stored chunk. If the job has ended, it queues the key
// for deletion.
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
		return fmt.Errorf("restore job progress from %s: %w", key, err)
	}
	if j.DoneCount > 0 {
		l.gangs.Complete(j)
	}
	l.finishIfDone(j)
	return nil
}
