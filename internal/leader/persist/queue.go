// Package persist writes the leader's decisions to the state service asynchronously.
//
// It owns which keys are to be written, in which order, and how many go into one transaction, and it handles
// writes that the service rejects or whose outcome is not known. It does not interpret the values: the owner of a
// value encodes the value when its key is to be written. It must never write a key without a compare on the leader key
// and on the key's own mod revision, because a transaction that got no response may be carried out late, after newer
// transactions.
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

// Write is a change to one key, to be sent to the state service.
type Write struct {
	Key         string
	ModRevision uint64 // of the value that is replaced
	Value       any    // nil deletes the key
	OnStored    func() // called with the lock held once the write is known to be stored; may be nil
}

// Config holds the dependencies of a queue.
type Config struct {
	// Lock is the leader's lock. It guards the queue and is held when Encode is called. It is never held
	// during a request.
	Lock    sync.Locker
	Store   *statestore.Client
	Replica *replica.Replica
	// LeaderKeyRevision is the mod revision of the leader key. Every transaction compares it.
	LeaderKeyRevision uint64
	// MayWrite reports whether no other node can be the leader now.
	MayWrite func() bool
	// Encode returns the write for the present value of a key, and whether there is anything to write.
	Encode func(key string) (Write, bool)
	// OnTermLost is called when a write proves that a newer term has begun.
	OnTermLost func()
}

// Queue holds the keys that are to be written. Its exported methods are called with the lock held, except for Run,
// Wake and IsDrained.
type Queue struct {
	Config
	pending map[string]bool // keys to be written, and whether each is urgent
	wake    chan struct{}
	// maxOps is the maximum number of changes in a transaction: as many as the settings allow, or fewer after the
	// service has rejected a transaction with that many.
	maxOps        int
	rejectedSizes map[string]int // sizes of values that the service rejected, by key
	inFlight      bool           // a transaction is being sent, or its outcome has not been handled yet
}

// NewQueue returns an empty queue.
func NewQueue(c Config) *Queue {
	return &Queue{
		Config:        c,
		pending:       map[string]bool{},
		wake:          make(chan struct{}, 1),
		maxOps:        c.Store.MaxLeaderOps(),
		rejectedSizes: map[string]int{},
	}
}

// Enqueue schedules an urgent write of a key.
func (q *Queue) Enqueue(key string) { q.pending[key] = true }

// EnqueueLowPriority schedules a write of a key that comes after those of the urgent keys in urgentPrefixes. A key
// that is already urgent remains urgent.
func (q *Queue) EnqueueLowPriority(key string) {
	if _, ok := q.pending[key]; !ok {
		q.pending[key] = false
	}
}

// Remove cancels the pending write of a key.
func (q *Queue) Remove(key string) { delete(q.pending, key) }

// IsUrgent reports whether an urgent write of a key is pending.
func (q *Queue) IsUrgent(key string) bool { return q.pending[key] }

// Len returns the number of keys to be written.
func (q *Queue) Len() int { return len(q.pending) }

// MaxOps returns the present maximum number of changes in a transaction.
func (q *Queue) MaxOps() int { return q.maxOps }

// Wake makes the queue write now instead of at the next tick.
func (q *Queue) Wake() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// IsDrained reports whether no urgent write is pending and no transaction is in flight. It takes the lock.
func (q *Queue) IsDrained() bool {
	q.Lock.Lock()
	defer q.Lock.Unlock()
	for _, urgent := range q.pending {
		if urgent {
			return false
		}
	}
	return !q.inFlight
}

const (
	// flushInterval is the time between two attempts to write the pending keys without a call of Wake.
	flushInterval = micros.Second
	// flushPause is the pause after a series of transactions, in which changes accumulate, because the rate
	// of writes is limited.
	flushPause = 150 * micros.Millisecond
)

// Run writes the pending keys until ctx ends. It sends one transaction at a time, so the writes of a key
// cannot overtake each other.
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

// flush writes one transaction and reports whether another one may follow at once.
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
		slog.Info("a newer term has begun; this leader stops writing")
		q.OnTermLost()
		return false
	case errors.Is(err, statestore.ErrRejected):
		q.Lock.Lock()
		defer q.Lock.Unlock()
		q.HandleRejection(writes, err)
		return true
	}
	slog.Debug("transaction of the leader failed or got no response; its writes are sent again", "error", err)
	q.retry(ctx, writes)
	return false
}

// endFlush records that no transaction is in flight.
func (q *Queue) endFlush() {
	q.Lock.Lock()
	defer q.Lock.Unlock()
	q.inFlight = false
}

// transaction makes each write conditional on the mod revision of its key as well as on the leader key. A
// transaction that got no response may be carried out late, and must not overwrite a newer one.
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

// applyStored applies writes that were stored at the given revision to the replica, and calls their OnStored
// functions.
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

// retry is called if the outcome of writes is not known, or if a key had another mod revision than expected. It
// schedules the writes again, and waits until the replica is up to date with the state service before it returns, so
// that the next transaction has current mod revisions.
func (q *Queue) retry(ctx context.Context, writes []Write) {
	q.Lock.Lock()
	for _, w := range writes {
		q.pending[w.Key] = true
	}
	q.Lock.Unlock()
	if err := q.Replica.Barrier(ctx); err != nil {
		slog.Debug("read barrier after a failed transaction failed; the writes are sent again without it", "error", err)
	}
	q.Wake()
}

// HandleRejection schedules smaller transactions in place of one that the state service will never accept. Halving the
// transaction shows whether it had too many changes or a value that is too large. In the first case, the lower limit
// on the number of changes stays. A value that is rejected alone is not sent again until it is smaller, and the other
// values are written. Without HandleRejection, the same transaction was sent forever, and none of its writes was
// stored.
func (q *Queue) HandleRejection(writes []Write, err error) {
	if len(writes) == 1 {
		w := writes[0]
		q.rejectedSizes[w.Key] = wire.JSONSize(w.Value)
		q.maxOps = q.Store.MaxLeaderOps()
		slog.Error("state service rejected a value; it is not stored until it is smaller", "key", w.Key, "bytes", q.rejectedSizes[w.Key], "error", err)
		return
	}
	q.maxOps = (len(writes) + 1) / 2
	slog.Info("state service rejected a transaction; its writes are sent in smaller ones", "count", len(writes), "error", err)
	for _, w := range writes {
		q.pending[w.Key] = true
	}
}

// Upper bounds of the sizes in a JSON-encoded transaction, in bytes.
const (
	txnOverhead = 4096 // of everything except the writes
	opOverhead  = 128  // of a write, without its keys and value
	keysPerOp   = 3    // occurrences of the key of a write
)

// Collect removes the most urgent keys that fit into one transaction from the queue. It returns their writes and
// whether more keys are pending. It also removes keys with nothing to write, and keys whose values are at least as
// large as a rejected one.
func (q *Queue) Collect() (writes []Write, more bool) {
	size := txnOverhead
	for _, key := range q.byPriority() {
		w, ok := q.Encode(key)
		if !ok || q.isRejected(key, w.Value) {
			delete(q.pending, key)
			continue
		}
		opSize := wire.JSONSize(w.Value) + keysPerOp*len(key) + opOverhead
		if len(writes) == q.maxOps || len(writes) > 0 && size+opSize > wire.MaxBodyBytes {
			return writes, true
		}
		size += opSize
		delete(q.pending, key)
		writes = append(writes, w)
	}
	return writes, false
}

// isRejected reports whether a value is at least as large as one that was rejected for its key.
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

// byPriority returns the keys to be written in ascending order of their priority rank, and then by name.
func (q *Queue) byPriority() []string {
	keys := make([]string, 0, len(q.pending))
	for key := range q.pending {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(cmp.Compare(q.priority(a), q.priority(b)), cmp.Compare(a, b))
	})
	return keys
}

// urgentPrefixes lists the prefixes of the keys that are written first, in this order. Jobs come first, as
// users wait for the ends of their jobs, followed by machines that are to get tasks. Progress and all other urgent
// keys are written after the keys of low priority.
var urgentPrefixes = [...]string{
	replica.JobPrefix,
	replica.MachineListPrefix,
	replica.ZonesKey,
	replica.AutoscalerKey,
	replica.LaunchIntentPrefix,
}

// priority returns the rank of a key; the lowest rank is written first. Low-priority writes, such as the removal of
// terminated machines, can wait, because a record that still names the machines only makes the next leader more
// careful. When these writes preceded the ends of jobs, no user saw a job finish for a minute while a fleet was being
// scaled in.
func (q *Queue) priority(key string) int {
	urgent := q.pending[key]
	for i, prefix := range urgentPrefixes {
		if urgent && strings.HasPrefix(key, prefix) {
			return i
		}
	}
	switch {
	case !urgent:
		return len(urgentPrefixes)
	case strings.HasPrefix(key, replica.ProgressPrefix):
		return len(urgentPrefixes) + 1
	}
	return len(urgentPrefixes) + 2
}
