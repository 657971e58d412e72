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

// write is one key's change on its way to the state service.
type write struct {
	key    string
	stamp  uint64 // the version that the value replaces
	value  any    // nil removes the key
	stored func()
}

// flushPause lets changes gather, since writes are scarce.
const flushPause = 150 * micros.Millisecond

func (l *Leader) wakeFlush() {
	select {
	case l.flushNow <- struct{}{}:
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
		case <-l.flushNow:
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
	ws, more := l.gather()
	l.writing = len(ws) > 0
	l.mu.Unlock()
	if len(ws) == 0 {
		return false
	}
	defer l.endWriting()
	rev, err := l.Store.CommitRateLimited(ctx, l.transaction(ws))
	var conflict *statestore.Conflict
	switch {
	case err == nil:
		l.flushed(ws, rev)
		return more
	case errors.As(err, &conflict) && slices.Contains(conflict.Keys, replica.LeaderKey):
		slog.Info("a newer term has begun")
		l.lostOnce.Do(func() { close(l.lost) })
		return false
	case errors.Is(err, statestore.ErrRejected):
		l.flushRefused(ws, err)
		return true
	}
	slog.Debug("flush", "error", err)
	l.flushAgain(ctx, ws)
	return false
}

// endWriting notes that no transaction is under way.
func (l *Leader) endWriting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writing = false
}

// transaction conditions each write on its key's version as well as on the leadership:
// a transaction that got no answer may be applied late, and must not undo a newer one.
func (l *Leader) transaction(ws []write) wire.Txn {
	t := wire.Txn{If: []wire.Compare{{Key: replica.LeaderKey, ModRevision: l.LeaderKeyRevision}}}
	for _, w := range ws {
		t.If = append(t.If, wire.Compare{Key: w.key, ModRevision: w.stamp})
		op := wire.Op{Put: w.key, Value: w.value}
		if w.value == nil {
			op = wire.Op{Delete: w.key}
		}
		t.Then = append(t.Then, op)
	}
	return t
}

// flushed takes over writes that were stored with revision rev.
func (l *Leader) flushed(ws []write, rev uint64) {
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
		if w.stored != nil {
			w.stored()
		}
	}
}

// flushAgain has writes repeated whose outcome is not known, or of which a version is not
// as thought, once the replica has seen what is stored.
func (l *Leader) flushAgain(ctx context.Context, ws []write) {
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

// flushRefused makes a transaction smaller that the state service refuses as it is.
// Halves tell whether the number of changes is at fault, which then stays lower, or a
// value: one that is refused alone is given up until it is smaller, while the others go
// on. It was sent again for ever, with all that stood beside it.
func (l *Leader) flushRefused(ws []write, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(ws) == 1 {
		w := ws[0]
		l.tooLarge[w.key] = wire.JSONSize(w.value)
		l.flushOps = l.Store.MaxLeaderOps()
		slog.Error("the state service refuses a value, which is given up", "key", w.key, "bytes", l.tooLarge[w.key], "error", err)
		return
	}
	l.flushOps = (len(ws) + 1) / 2
	slog.Info("the state service refuses a transaction: it goes in parts", "changes", len(ws), "error", err)
	for _, w := range ws {
		l.dirty[w.key] = true
	}
}

// gather takes the most urgent dirty keys that fit into one transaction.
func (l *Leader) gather() (ws []write, more bool) {
	keys := make([]string, 0, len(l.dirty))
	for key := range l.dirty {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.urgency(a), l.urgency(b)), cmp.Compare(a, b))
	})
	size := 4096
	for _, key := range keys {
		w, ok := l.build(key)
		if !ok {
			delete(l.dirty, key)
			continue
		}
		s := wire.JSONSize(w.value)
		if refused, ok := l.tooLarge[key]; ok {
			if s >= refused {
				delete(l.dirty, key)
				continue
			}
			delete(l.tooLarge, key)
		}
		s += 3*len(key) + 128
		if len(ws) == l.flushOps || len(ws) > 0 && size+s > wire.MaxBody {
			return ws, true
		}
		size += s
		delete(l.dirty, key)
		ws = append(ws, w)
	}
	return ws, false
}

// urgency orders what is to be written: users wait for the ends of their jobs; then
// come machines that are to get tasks; that machines are gone can wait, since a record
// that still names them only makes a next leader careful. When that came before the
// ends, nobody was told of a finished job for a minute while a fleet went home.
func (l *Leader) urgency(key string) int {
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

// sweep has keys removed that belong to nothing any more: a booking or a job's progress
// whose first write got no answer, was repeated, removed when over, and then carried out
// after all. The next leader would rent once more for such a booking.
func (l *Leader) sweep() {
	for _, key := range l.Replica.Keys(replica.LaunchIntentPrefix) {
		if l.bookings[strings.TrimPrefix(key, replica.LaunchIntentPrefix)] == nil {
			l.markLazily(key)
		}
	}
	for _, key := range l.Replica.Keys(replica.ProgressPrefix) {
		if id, _, err := parseProgressKey(key); err == nil && l.jobs[id] == nil {
			l.markLazily(key)
		}
	}
}

// markLazily has a key written when nothing more urgent is.
func (l *Leader) markLazily(key string) {
	if _, ok := l.dirty[key]; !ok {
		l.dirty[key] = false
	}
}

// build makes a dirty key's present value.
func (l *Leader) build(key string) (write, bool) {
	w := write{key: key, stamp: l.Replica.ModRevision(key)}
	if strings.HasPrefix(key, replica.MachineListPrefix) {
		return l.buildRunningList(w)
	}
	if id, ok := strings.CutPrefix(key, replica.LaunchIntentPrefix); ok {
		return l.buildBooking(w, id)
	}
	if id, ok := strings.CutPrefix(key, replica.JobPrefix); ok {
		return l.buildFinal(w, id)
	}
	if strings.HasPrefix(key, replica.ProgressPrefix) {
		return l.buildProgress(w)
	}
	if key == replica.ZonesKey {
		return l.buildZones(w)
	}
	if key == replica.AutoscalerKey {
		w.value = l.staffingRecord()
		return w, true
	}
	return w, false
}

// buildFinal makes the record of a job that has ended.
func (l *Leader) buildFinal(w write, id string) (write, bool) {
	final, ok := l.finals[id]
	// The version and the state go together: were the version read later,
	// a cancellation that came in between would be overwritten.
	known, stamp, _ := l.Replica.Job(id)
	if known.IsFinal() {
		return w, false
	}
	w.value, w.stamp = final, stamp
	w.stored = func() { l.finalStored(id) }
	return w, ok
}

// buildProgress makes the record of which tasks of a job are done.
func (l *Leader) buildProgress(w write) (write, bool) {
	id, chunk, err := parseProgressKey(w.key)
	j := l.jobs[id]
	if err != nil || j == nil {
		return w, l.Replica.ModRevision(w.key) != 0 // the job is over
	}
	if _, finishing := l.finals[id]; finishing {
		return w, false // the final state says it all
	}
	w.value = j.progress(chunk)
	snapshot := slices.Clone(j.done.part(chunk))
	w.stored = func() { copy(j.stored.part(chunk), snapshot) }
	return w, true
}

// finishIfDone has a job's end stored once all its tasks are done.
func (l *Leader) finishIfDone(j *job) {
	if j.over || j.ndone < j.spec.Tasks {
		return
	}
	id := j.spec.ID
	if _, ok := l.finals[id]; ok {
		return
	}
	l.finals[id] = replica.Job{SubmittedAt: j.submitted, State: wire.JobDone, Reason: "all tasks done", EndedAt: micros.Wall()}
	l.dirty[replica.JobPrefix+id] = true
	l.wakeFlush()
}

func (l *Leader) finalStored(id string) {
	if j := l.jobs[id]; j != nil {
		slog.Debug("job done",
			"job", id,
			"class", j.spec.Class,
			"tasks", j.spec.Tasks,
			"estimate_s", j.spec.EstimatedRuntimeS,
			"took", (micros.Wall() - j.submitted).Duration(),
			"first_start", (j.firstStart - j.submitted).Duration(),
			"last_start", (j.lastStart - j.submitted).Duration(),
			"longest_run", j.longest.Duration())
		l.forget(j, wire.JobDone)
	}
}
