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

// newWriteQueue makes the queue of what this term writes to the state service.
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

// deleteLeftovers has keys deleted that belong to nothing any more: a launch intent or a job's progress
// whose first write got no response, was repeated, deleted when no longer needed, and then carried out
// after all. The next leader would launch once more for such an intent.
func (l *Leader) deleteLeftovers() {
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

// encode makes the write of a marked key's present value. It reports whether there is anything to write.
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

// encodeFinalJob makes the write of a job that has ended.
func (l *Leader) encodeFinalJob(w persist.Write) (persist.Write, bool) {
	id := strings.TrimPrefix(w.Key, replica.JobPrefix)
	final, ok := l.finalJobs[id]
	// The mod revision and the state go together: were the mod revision read later,
	// a cancellation that came in between would be overwritten.
	stored, revision, _ := l.Replica.Job(id)
	if stored.IsFinal() {
		return w, false
	}
	w.Value, w.ModRevision = final, revision
	w.OnStored = func() { l.onFinalStored(id) }
	return w, ok
}

// encodeProgress makes the write of which tasks of a job are done.
func (l *Leader) encodeProgress(w persist.Write) (persist.Write, bool) {
	id, chunk, err := state.ParseProgressKey(w.Key)
	j := l.jobs[id]
	if err != nil || j == nil {
		return w, l.Replica.ModRevision(w.Key) != 0 // the job has ended
	}
	if _, finishing := l.finalJobs[id]; finishing {
		return w, false // the final state implies it
	}
	w.Value = j.Progress(chunk)
	snapshot := slices.Clone(j.Done.Chunk(chunk))
	w.OnStored = func() { copy(j.StoredDone.Chunk(chunk), snapshot) }
	return w, true
}

// finishIfDone has a job's end stored once all its tasks are done.
func (l *Leader) finishIfDone(j *state.Job) {
	if j.Ended || j.DoneCount < j.Spec.Tasks {
		return
	}
	id := j.Spec.ID
	if _, ok := l.finalJobs[id]; ok {
		return
	}
	l.finalJobs[id] = replica.Job{SubmittedAt: j.SubmittedAt, State: wire.JobDone, Reason: "all tasks done", EndedAt: micros.Wall()}
	l.writes.Enqueue(replica.JobPrefix + id)
	l.writes.Wake()
}

// onFinalStored drops a job once its end is stored.
func (l *Leader) onFinalStored(id string) {
	j := l.jobs[id]
	if j == nil {
		return
	}
	slog.Debug("job done",
		"job", id,
		"class", j.Spec.Class,
		"tasks", j.Spec.Tasks,
		"estimated_runtime", micros.FromSeconds(j.Spec.EstimatedRuntimeS).Duration(),
		"duration", (micros.Wall() - j.SubmittedAt).Duration(),
		"first_start", (j.FirstStart - j.SubmittedAt).Duration(),
		"last_start", (j.LastStart - j.SubmittedAt).Duration(),
		"longest_run", j.LongestRun.Duration())
	l.dropJob(j, wire.JobDone)
}
