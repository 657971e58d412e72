package leader

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// pendingWrite is one key's change on its way to the state service.
type pendingWrite struct {
	key         string
	modRevision uint64 // the version that the value replaces
	value       any    // nil removes the key
	onStored    func()
}

// flushPause lets changes gather, since writes are scarce.
const flushPause = 150 * micros.Millisecond

func (l *Leader) wakeFlush() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// flushLoop writes what is dirty. There is one transaction at a time, so a
// key's writes cannot overtake each other.
func (l *Leader) flushLoop(ctx context.Context) {
	t := time.NewTicker(micros.Second.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-t.C:
		}
		for ctx.Err() == nil && l.flush(ctx) {
		}
		micros.Pause(ctx, flushPause)
	}
}

// flush writes one transaction and tells whether more is waiting.
func (l *Leader) flush(ctx context.Context) (more bool) {
	if !l.Term.IsExclusive() {
		return false
	}
	l.mu.Lock()
	ws, more := l.collectWrites()
	l.inFlight = len(ws) > 0
	l.mu.Unlock()
	if len(ws) == 0 {
		return false
	}
	defer l.endFlush()
	rev, err := l.Store.CommitRateLimited(ctx, l.transaction(ws))
	var conflict *statestore.ConflictError
	switch {
	case err == nil:
		l.applyFlushed(ws, rev)
		return more
	case errors.As(err, &conflict) && slices.Contains(conflict.Keys, replica.LeaderKey):
		slog.Info("a newer term has begun")
		l.termLostOnce.Do(func() { close(l.termLost) })
		return false
	case errors.Is(err, statestore.ErrRejected):
		l.shrinkRejected(ws, err)
		return true
	}
	slog.Debug("flush", "error", err)
	l.retryWrites(ctx, ws)
	return false
}

// endFlush notes that no transaction is under way.
func (l *Leader) endFlush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight = false
}

// transaction conditions each write on its key's version as well as on the leadership:
// a transaction that got no answer may be applied late, and must not undo a newer one.
func (l *Leader) transaction(ws []pendingWrite) wire.Txn {
	t := wire.Txn{If: []wire.Compare{{Key: replica.LeaderKey, ModRevision: l.LeaderKeyRevision}}}
	for _, w := range ws {
		t.If = append(t.If, wire.Compare{Key: w.key, ModRevision: w.modRevision})
		op := wire.Op{Put: w.key, Value: w.value}
		if w.value == nil {
			op = wire.Op{Delete: w.key}
		}
		t.Then = append(t.Then, op)
	}
	return t
}

// applyFlushed takes over writes that were stored with revision rev.
func (l *Leader) applyFlushed(ws []pendingWrite, rev uint64) {
	for _, w := range ws {
		if w.value == nil {
			l.Replica.ApplyDelete(w.key, rev)
		} else {
			l.Replica.ApplyPut(w.key, w.value, rev)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range ws {
		if w.onStored != nil {
			w.onStored()
		}
	}
}

// retryWrites has writes repeated whose outcome is not known, or of which a version is not
// as thought, once the replica has seen what is stored.
func (l *Leader) retryWrites(ctx context.Context, ws []pendingWrite) {
	l.mu.Lock()
	for _, w := range ws {
		l.dirty[w.key] = true
	}
	l.mu.Unlock()
	if err := l.Replica.Barrier(ctx); err != nil {
		slog.Debug("flush", "error", err)
	}
	l.wakeFlush()
}

// shrinkRejected makes a transaction smaller that the state service refuses as it is.
// Halves tell whether the number of changes is at fault, which then stays lower, or a
// value: one that is refused alone is given up until it is smaller, while the others go
// on. It was sent again for ever, with all that stood beside it.
func (l *Leader) shrinkRejected(ws []pendingWrite, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(ws) == 1 {
		w := ws[0]
		l.rejectedSizes[w.key] = wire.JSONSize(w.value)
		l.maxOps = l.Store.MaxLeaderOps()
		slog.Error("the state service refuses a value, which is given up", "key", w.key, "bytes", l.rejectedSizes[w.key], "error", err)
		return
	}
	l.maxOps = (len(ws) + 1) / 2
	slog.Info("the state service refuses a transaction: it goes in parts", "changes", len(ws), "error", err)
	for _, w := range ws {
		l.dirty[w.key] = true
	}
}

// collectWrites takes the most urgent dirty keys that fit into one transaction.
func (l *Leader) collectWrites() (ws []pendingWrite, more bool) {
	keys := make([]string, 0, len(l.dirty))
	for key := range l.dirty {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.writePriority(a), l.writePriority(b)), cmp.Compare(a, b))
	})
	size := 4096
	for _, key := range keys {
		w, ok := l.encode(key)
		if !ok {
			delete(l.dirty, key)
			continue
		}
		s := wire.JSONSize(w.value)
		if refused, ok := l.rejectedSizes[key]; ok {
			if s >= refused {
				delete(l.dirty, key)
				continue
			}
			delete(l.rejectedSizes, key)
		}
		s += 3*len(key) + 128
		if len(ws) == l.maxOps || len(ws) > 0 && size+s > wire.MaxBodyBytes {
			return ws, true
		}
		size += s
		delete(l.dirty, key)
		ws = append(ws, w)
	}
	return ws, false
}

// writePriority orders what is to be written: users wait for the ends of their jobs; then
// come machines that are to get tasks; that machines are gone can wait, since a record
// that still names them only makes a next leader careful. When that came before the
// ends, nobody was told of a finished job for a minute while a fleet went home.
func (l *Leader) writePriority(key string) int {
	for i, prefix := range []string{replica.JobPrefix, replica.MachineListPrefix, replica.ZonesKey, replica.AutoscalerKey, replica.LaunchIntentPrefix} {
		if strings.HasPrefix(key, prefix) && l.dirty[key] {
			return i
		}
	}
	switch {
	case !l.dirty[key]:
		return 5
	case strings.HasPrefix(key, replica.ProgressPrefix):
		return 6
	}
	return 7
}

// deleteLeftovers has keys removed that belong to nothing any more: a booking or a job's progress
// whose first write got no answer, was repeated, removed when over, and then carried out
// after all. The next leader would rent once more for such a booking.
func (l *Leader) deleteLeftovers() {
	for _, key := range l.Replica.Keys(replica.LaunchIntentPrefix) {
		if l.intents[strings.TrimPrefix(key, replica.LaunchIntentPrefix)] == nil {
			l.markDirtyLazily(key)
		}
	}
	for _, key := range l.Replica.Keys(replica.ProgressPrefix) {
		if id, _, err := parseProgressKey(key); err == nil && l.jobs[id] == nil {
			l.markDirtyLazily(key)
		}
	}
}

// markDirtyLazily has a key written when nothing more urgent is.
func (l *Leader) markDirtyLazily(key string) {
	if _, ok := l.dirty[key]; !ok {
		l.dirty[key] = false
	}
}

// encode makes a dirty key's present value.
func (l *Leader) encode(key string) (pendingWrite, bool) {
	w := pendingWrite{key: key, modRevision: l.Replica.ModRevision(key)}
	if strings.HasPrefix(key, replica.MachineListPrefix) {
		return l.encodeMachineList(w)
	}
	if id, ok := strings.CutPrefix(key, replica.LaunchIntentPrefix); ok {
		return l.encodeIntent(w, id)
	}
	if id, ok := strings.CutPrefix(key, replica.JobPrefix); ok {
		return l.encodeFinalJob(w, id)
	}
	if strings.HasPrefix(key, replica.ProgressPrefix) {
		return l.encodeProgress(w)
	}
	if key == replica.ZonesKey {
		return l.encodeZones(w)
	}
	if key == replica.AutoscalerKey {
		w.value = l.autoscalerRecord()
		return w, true
	}
	return w, false
}

// encodeFinalJob makes the record of a job that has ended.
func (l *Leader) encodeFinalJob(w pendingWrite, id string) (pendingWrite, bool) {
	final, ok := l.finalJobs[id]
	// The version and the state go together: were the version read later,
	// a cancellation that came in between would be overwritten.
	known, stamp, _ := l.Replica.Job(id)
	if known.IsFinal() {
		return w, false
	}
	w.value, w.modRevision = final, stamp
	w.onStored = func() { l.onFinalStored(id) }
	return w, ok
}

// encodeProgress makes the record of which tasks of a job are done.
func (l *Leader) encodeProgress(w pendingWrite) (pendingWrite, bool) {
	id, chunk, err := parseProgressKey(w.key)
	j := l.jobs[id]
	if err != nil || j == nil {
		return w, l.Replica.ModRevision(w.key) != 0 // the job is over
	}
	if _, finishing := l.finalJobs[id]; finishing {
		return w, false // the final state says it all
	}
	w.value = j.progress(chunk)
	snapshot := slices.Clone(j.done.chunk(chunk))
	w.onStored = func() { copy(j.storedDone.chunk(chunk), snapshot) }
	return w, true
}

// finishIfDone has a job's end stored once all its tasks are done.
func (l *Leader) finishIfDone(j *job) {
	if j.ended || j.doneCount < j.spec.Tasks {
		return
	}
	id := j.spec.ID
	if _, ok := l.finalJobs[id]; ok {
		return
	}
	l.finalJobs[id] = replica.Job{SubmittedAt: j.submittedAt, State: wire.JobDone, Reason: "all tasks done", EndedAt: micros.Wall()}
	l.dirty[replica.JobPrefix+id] = true
	l.wakeFlush()
}

func (l *Leader) onFinalStored(id string) {
	if j := l.jobs[id]; j != nil {
		slog.Debug("job done",
			"job", id,
			"class", j.spec.Class,
			"tasks", j.spec.Tasks,
			"estimate_s", j.spec.EstimatedRuntimeS,
			"took", (micros.Wall() - j.submittedAt).Duration(),
			"first_start", (j.firstStart - j.submittedAt).Duration(),
			"last_start", (j.lastStart - j.submittedAt).Duration(),
			"longest_run", j.longestRun.Duration())
		l.dropJob(j, wire.JobDone)
	}
}
