package leader

import (
	"log/slog"
	"slices"
	"strings"

	"caperlatch/internal/leader/persist"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// newWriteQueue returns the queue of this term's writes to the state service.
func (l *Leader) newWriteQueue() *persist.Queue {
	return persist.NewQueue(persist.Config{
		Lock:              &l.mu,
		Store:             l.Store,
		Replica:           l.Replica,
		LeaderKeyRevision: l.LeaderKeyRevision,
		MayWrite:          l.Term.IsExclusive,
		Encode:            l.encode,
		OnTermLost:        l.loseTerm,
	})
}

// deleteOrphanedKeys queues the deletion of stored launch intents and job progress that are no longer in use. Such a
// key is left if its first write gets no response and is repeated, the key is deleted later, and the state service
// carries out the first write only after that. For an orphaned intent the next leader would launch instances again.
func (l *Leader) deleteOrphanedKeys() {
	for _, key := range l.Replica.Keys(replica.LaunchIntentPrefix) {
		if l.fleet.Intent(strings.TrimPrefix(key, replica.LaunchIntentPrefix)) == nil {
			l.writes.EnqueueLowPriority(key)
		}
	}
	for _, key := range l.Replica.Keys(replica.ProgressPrefix) {
		if id, _, err := state.ParseProgressKey(key); err == nil && l.jobs[id] == nil {
			l.writes.EnqueueLowPriority(key)
		}
	}
}

// encode returns the write of a queued key's current value. It reports whether there is anything to write.
func (l *Leader) encode(key string) (persist.Write, bool) {
	w := persist.Write{Key: key, ModRevision: l.Replica.ModRevision(key)}
	switch {
	case strings.HasPrefix(key, replica.MachineListPrefix):
		return l.fleet.EncodeList(w)
	case strings.HasPrefix(key, replica.LaunchIntentPrefix):
		return l.fleet.EncodeIntent(w)
	case strings.HasPrefix(key, replica.JobPrefix):
		return l.encodeFinalJob(w)
	case strings.HasPrefix(key, replica.ProgressPrefix):
		return l.encodeProgress(w)
	case key == replica.ZonesKey:
		return l.zones.EncodeRecord(w)
	case key == replica.AutoscalerKey:
		w.Value = l.autoscalerRecord(micros.Now())
		return w, true
	}
	return w, false
}

// encodeFinalJob returns the write of the final state of a job. It reports false if a final state is already stored.
func (l *Leader) encodeFinalJob(w persist.Write) (persist.Write, bool) {
	id := strings.TrimPrefix(w.Key, replica.JobPrefix)
	final, ok := l.finalJobs[id]
	// The mod revision must be read together with the state. If it were read later, a cancellation stored in between
	// would be overwritten.
	stored, revision, _ := l.Replica.Job(id)
	if stored.IsFinal() {
		return w, false
	}
	w.Value, w.ModRevision = final, revision
	w.OnStored = func() { l.onFinalStateStored(id) }
	return w, ok
}

// encodeProgress returns the write of a chunk of a job's progress, or its deletion if the job has ended.
func (l *Leader) encodeProgress(w persist.Write) (persist.Write, bool) {
	id, chunk, err := state.ParseProgressKey(w.Key)
	j := l.jobs[id]
	if err != nil || j == nil {
		return w, l.Replica.ModRevision(w.Key) != 0 // the job has ended: delete the key if it is stored
	}
	if _, finishing := l.finalJobs[id]; finishing {
		return w, false // the final state implies that all tasks are done
	}
	w.Value = j.Progress(chunk)
	snapshot := slices.Clone(j.Done.Chunk(chunk))
	w.OnStored = func() { copy(j.StoredDone.Chunk(chunk), snapshot) }
	return w, true
}

// finishIfDone queues the final state of a job for storage if all its tasks are done.
func (l *Leader) finishIfDone(j *state.Job) {
	if j.Ended || j.DoneCount < j.Spec.Tasks {
		return
	}
	id := j.Spec.ID
	if _, ok := l.finalJobs[id]; ok {
		return
	}
	l.finalJobs[id] = replica.Job{SubmittedAt: j.SubmittedAt, State: wire.JobDone, Reason: "all tasks done", EndedAt: micros.WallTime()}
	l.writes.Enqueue(replica.JobPrefix + id)
	l.writes.Wake()
}

// onFinalStateStored logs and drops a job whose final state has been stored.
func (l *Leader) onFinalStateStored(id string) {
	j := l.jobs[id]
	if j == nil {
		return
	}
	slog.Debug("job done",
		"job", id,
		"class", j.Spec.Class,
		"tasks", j.Spec.Tasks,
		"estimated_runtime", micros.FromSeconds(j.Spec.EstimatedRuntimeS).Duration(),
		"duration", (micros.WallTime() - j.SubmittedAt).Duration(),
		"first_start", (j.FirstStart - j.SubmittedAt).Duration(),
		"last_start", (j.LastStart - j.SubmittedAt).Duration(),
		"longest_run", j.LongestRun.Duration())
	l.dropJob(j, wire.JobDone)
}
