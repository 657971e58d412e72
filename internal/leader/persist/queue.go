// Package persist writes what the leader has decided to the state service, behind its decisions.
//
// It owns which keys are to be written, in which order, how many go into one transaction, and
// what becomes of writes that the service rejects or whose outcome is not known. It does not
// know what the values mean: whoever owns a value encodes it when its turn has come. It must
// never write a key without a compare on the leader key and on the key's own mod revision, as a
// transaction without a response may be carried out late, after newer ones.
package persist

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// Write is one key's change on its way to the state service.
type Write struct {
	Key         string
	ModRevision uint64 // of the value that this one replaces
	Value       any    // nil deletes the key
	OnStored    func() // called with the lock held once the write is known to be stored; may be nil
}

// Config is what a queue works with.
type Config struct {
	// Lock is the leader's. It guards the queue and is held when Encode is called; it is
	// never held over a request.
	Lock    sync.Locker
	Store   *statestore.Client
	Replica *replica.Replica
	// LeaderKeyRevision is the mod revision of the leader key, on which every transaction is conditioned.
	LeaderKeyRevision uint64
	// MayWrite reports whether no other node can lead now.
	MayWrite func() bool
	// Encode makes the present write of a key. Its second result reports whether there is anything to write.
	Encode func(key string) (Write, bool)
	// OnTermLost is called when a write proves that a newer term has begun.
	OnTermLost func()
}

// Queue holds the keys that are to be written. Its methods are called with the lock held,
// but for Run, Wake and IsDrained.
type Queue struct {
	Config
	dirty map[string]bool // keys to be written; false: only when nothing more urgent is
	wake  chan struct{}
	// maxOps is the most changes in a transaction. It is lower than the settings allow once
	// the service has rejected that many.
	maxOps        int
	rejectedSizes map[string]int // of values that the service rejected, by key
	inFlight      bool           // a transaction is under way
}

// NewQueue makes an empty queue.
func NewQueue(c Config) *Queue {
	return &Queue{
		Config:        c,
		dirty:         map[string]bool{},
		wake:          make(chan struct{}, 1),
		maxOps:        c.Store.MaxLeaderOps(),
		rejectedSizes: map[string]int{},
	}
}

// Enqueue has a key written soon.
func (q *Queue) Enqueue(key string) { q.dirty[key] = true }

// EnqueueLowPriority has a key written when nothing more urgent is.
func (q *Queue) EnqueueLowPriority(key string) {
	if _, ok := q.dirty[key]; !ok {
		q.dirty[key] = false
	}
}

// Remove takes a key back that need not be written any more.
func (q *Queue) Remove(key string) { delete(q.dirty, key) }

// IsUrgent reports whether a key is marked to be written soon.
func (q *Queue) IsUrgent(key string) bool { return q.dirty[key] }

// Len is how many keys are to be written.
func (q *Queue) Len() int { return len(q.dirty) }

// MaxOps is the most changes that a transaction has now.
func (q *Queue) MaxOps() int { return q.maxOps }

// Wake has the queue written now and not with the next tick.
func (q *Queue) Wake() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// IsDrained reports whether nothing waits to be written but what can wait for long, and no
// transaction is under way. It takes the lock.
func (q *Queue) IsDrained() bool {
	q.Lock.Lock()
	defer q.Lock.Unlock()
	for _, soon := range q.dirty {
		if soon {
			return false
		}
	}
	return !q.inFlight
}

const (
	// flushInterval is the longest that a marked key waits for a Wake.
	flushInterval = micros.Second
	// flushPause lets changes accumulate between transactions, since writes are scarce.
	flushPause = 150 * micros.Millisecond
)

// Run writes what is marked until ctx ends. There is one transaction at a time, so a key's
// writes cannot overtake each other.
func (q *Queue) Run(ctx context.Context) {
	t := time.NewTicker(flushInterval.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		case <-t.C:
		}
		for ctx.Err() == nil && q.flush(ctx) {
		}
		micros.Pause(ctx, flushPause)
	}
}

// flush writes one transaction and reports whether more is waiting.
func (q *Queue) flush(ctx context.Context) (more bool) {
	if !q.MayWrite() {
		return false
	}
	q.Lock.Lock()
	writes, more := q.Collect()
	q.inFlight = len(writes) > 0
	q.Lock.Unlock()
	if len(writes) == 0 {
		return false
	}
	defer q.endFlush()
	revision, err := q.Store.CommitRateLimited(ctx, q.transaction(writes))
	var conflict *statestore.ConflictError
	switch {
	case err == nil:
		q.applyStored(writes, revision)
		return more
	case errors.As(err, &conflict) && slices.Contains(conflict.Keys, replica.LeaderKey):
		slog.Info("a newer term has begun")
		q.OnTermLost()
		return false
	case errors.Is(err, statestore.ErrRejected):
		q.Lock.Lock()
		defer q.Lock.Unlock()
		q.HandleRejection(writes, err)
		return true
	}
	slog.Debug("leader's transaction failed", "error", err)
	q.retry(ctx, writes)
	return false
}

// endFlush notes that no transaction is under way.
func (q *Queue) endFlush() {
	q.Lock.Lock()
	defer q.Lock.Unlock()
	q.inFlight = false
}

// transaction conditions each write on its key's mod revision as well as on the leadership: a
// transaction that got no response may be carried out late, and must not undo a newer one.
func (q *Queue) transaction(writes []Write) wire.Txn {
	t := wire.Txn{If: []wire.Compare{{Key: replica.LeaderKey, ModRevision: q.LeaderKeyRevision}}}
	for _, w := range writes {
		t.If = append(t.If, wire.Compare{Key: w.Key, ModRevision: w.ModRevision})
		op := wire.Op{Put: w.Key, Value: w.Value}
		if w.Value == nil {
			op = wire.Op{Delete: w.Key}
		}
		t.Then = append(t.Then, op)
	}
	return t
}

// applyStored takes over writes that were stored with a revision.
func (q *Queue) applyStored(writes []Write, revision uint64) {
	for _, w := range writes {
		if w.Value == nil {
			q.Replica.ApplyDelete(w.Key, revision)
		} else {
			q.Replica.ApplyPut(w.Key, w.Value, revision)
		}
	}
	q.Lock.Lock()
	defer q.Lock.Unlock()
	for _, w := range writes {
		if w.OnStored != nil {
			w.OnStored()
		}
	}
}

// retry has writes repeated whose outcome is not known, or of which a mod revision is not as
// thought, once the replica has seen what is stored.
func (q *Queue) retry(ctx context.Context, writes []Write) {
	q.Lock.Lock()
	for _, w := range writes {
		q.dirty[w.Key] = true
	}
	q.Lock.Unlock()
	if err := q.Replica.Barrier(ctx); err != nil {
		slog.Debug("read barrier after a failed transaction failed", "error", err)
	}
	q.Wake()
}

// HandleRejection makes a transaction smaller that the state service will never carry out as it is.
// Halves show whether the number of changes is at fault, which then stays lower, or a value: one
// that is rejected alone is given up until it is smaller, while the others go on. Without that it was
// sent again for ever, with all the writes beside it.
func (q *Queue) HandleRejection(writes []Write, err error) {
	if len(writes) == 1 {
		w := writes[0]
		q.rejectedSizes[w.Key] = wire.JSONSize(w.Value)
		q.maxOps = q.Store.MaxLeaderOps()
		slog.Error("state service rejects a value, which is given up", "key", w.Key, "bytes", q.rejectedSizes[w.Key], "error", err)
		return
	}
	q.maxOps = (len(writes) + 1) / 2
	slog.Info("the state service rejects a transaction, which is sent in parts", "count", len(writes), "error", err)
	for _, w := range writes {
		q.dirty[w.Key] = true
	}
}

// Sizes of a transaction as JSON, in bytes.
const (
	txnOverhead = 4096 // kept free for what stands beside the writes
	opOverhead  = 128  // at most, of a write beside its keys and value
	keysPerOp   = 3    // how often a key stands in the transaction at most
)

// Collect takes the most urgent keys that fit into one transaction, and reports whether more are waiting.
func (q *Queue) Collect() (writes []Write, more bool) {
	size := txnOverhead
	for _, key := range q.byPriority() {
		w, ok := q.Encode(key)
		if !ok || q.isRejected(key, w.Value) {
			delete(q.dirty, key)
			continue
		}
		opSize := wire.JSONSize(w.Value) + keysPerOp*len(key) + opOverhead
		if len(writes) == q.maxOps || len(writes) > 0 && size+opSize > wire.MaxBodyBytes {
			return writes, true
		}
		size += opSize
		delete(q.dirty, key)
		writes = append(writes, w)
	}
	return writes, false
}

// isRejected reports whether a value is no smaller than the one of its key that was rejected.
func (q *Queue) isRejected(key string, value any) bool {
	rejected, ok := q.rejectedSizes[key]
	if !ok {
		return false
	}
	if wire.JSONSize(value) >= rejected {
		return true
	}
	delete(q.rejectedSizes, key)
	return false
}

// byPriority lists the keys that are to be written, the most urgent first.
func (q *Queue) byPriority() []string {
	keys := make([]string, 0, len(q.dirty))
	for key := range q.dirty {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(cmp.Compare(q.priority(a), q.priority(b)), cmp.Compare(a, b))
	})
	return keys
}

// urgentPrefixes are what is written first, in this order: users wait for the ends of their
// jobs; then come machines that are to get tasks.
var urgentPrefixes = [...]string{
	replica.JobPrefix,
	replica.MachineListPrefix,
	replica.ZonesKey,
	replica.AutoscalerKey,
	replica.LaunchIntentPrefix,
}

// priority orders the keys, the lowest first. That machines were terminated can wait, since a
// record that still names them only makes a next leader careful. When that came before the ends
// of jobs, no user saw a job finish for a minute while a fleet was scaled in.
func (q *Queue) priority(key string) int {
	soon := q.dirty[key]
	for i, prefix := range urgentPrefixes {
		if soon && strings.HasPrefix(key, prefix) {
			return i
		}
	}
	switch {
	case !soon:
		return len(urgentPrefixes)
	case strings.HasPrefix(key, replica.ProgressPrefix):
		return len(urgentPrefixes) + 1
	}
	return len(urgentPrefixes) + 2
}
