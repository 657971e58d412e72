package statestore

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// rateLimitPause lets the service's limit recover after a refusal.
const rateLimitPause = 100 * micros.Millisecond

// sendTimeout bounds all transactions that a batch is sent in.
const sendTimeout = 2 * RequestTimeout

// Sizes of a transaction as JSON, in bytes: at most what a put takes besides its key and value,
// and what is kept free for the rest.
const (
	putOverhead = 96
	txnOverhead = 4096
)

// Batcher lets puts of single keys share transactions: they come in bursts, and the service's
// requests are scarcer than its operations. It is safe for concurrent use.
//
// One goroutine sends while puts are pending, and ends by itself when none is. Nobody waits for
// it: callers wait for their own puts, and a node that stops leaves its batch in the state of a
// lost response.
type Batcher struct {
	client *Client

	mu      sync.Mutex
	pending []*pendingPut // in the order in which they came
	sending bool          // whether the goroutine runs
	maxOps  int           // puts in a transaction
}

// pendingPut is a put that waits for its outcome.
type pendingPut struct {
	key         string
	modRevision uint64
	value       any
	size        int // bytes as JSON

	done     chan struct{} // closed once the outcome is set
	revision uint64
	err      error
}

// NewBatcher returns a batcher of puts that client commits.
func NewBatcher(client *Client) *Batcher { return &Batcher{client: client, maxOps: client.MaxOps()} }

// Put writes value under key if the key has the given mod revision, or does not exist if that is
// 0, and returns the revision of the write. If ctx ends first, the put may yet be carried out.
func (b *Batcher) Put(ctx context.Context, key string, modRevision uint64, value any) (revision uint64, err error) {
	put := &pendingPut{
		key:         key,
		modRevision: modRevision,
		value:       value,
		// The key stands in the condition and in the operation.
		size: wire.JSONSize(value) + 2*len(key) + putOverhead,
		done: make(chan struct{}),
	}
	b.mu.Lock()
	b.pending = append(b.pending, put)
	if !b.sending {
		b.sending = true
		go b.sendPending()
	}
	b.mu.Unlock()
	select {
	case <-put.done:
		return put.revision, put.err
	case <-ctx.Done():
		return 0, fmt.Errorf("state service: put %s: %w", key, ctx.Err())
	}
}

// sendPending sends batches until no put is pending.
func (b *Batcher) sendPending() {
	for {
		b.mu.Lock()
		if len(b.pending) == 0 {
			b.sending = false
			b.mu.Unlock()
			return
		}
		batch := b.takeBatch()
		b.mu.Unlock()
		if errors.Is(b.send(batch), ErrRateLimited) {
			// Refused requests count as well: without a pause a burst kept the
			// service refusing everybody for seconds.
			time.Sleep(rateLimitPause.Duration())
		}
	}
}

// takeBatch takes the first puts that fit one transaction, each of another key; mu must be held.
func (b *Batcher) takeBatch() []*pendingPut {
	count, size := 0, txnOverhead
	keys := map[string]bool{}
	for count < len(b.pending) && count < b.maxOps {
		put := b.pending[count]
		size += put.size
		if count > 0 && size > wire.MaxBodyBytes || keys[put.key] {
			break
		}
		keys[put.key] = true
		count++
	}
	batch := slices.Clone(b.pending[:count])
	b.pending = slices.Delete(b.pending, 0, count)
	return batch
}

// send commits a batch. Puts whose condition does not hold leave it, and the others go on
// without them. A batch that is rejected as it is goes in halves, so that one value that is too
// large takes no other put with it, and is itself not tried again.
func (b *Batcher) send(batch []*pendingPut) error {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout.Duration())
	defer cancel()
	for len(batch) > 0 {
		revision, err := b.client.Commit(ctx, batchTxn(batch))
		if errors.Is(err, ErrRejected) && len(batch) > 1 {
			return b.sendHalves(batch)
		}
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			completeAll(batch, revision, err)
			return err
		}
		failed, rest := splitByConflict(batch, conflict)
		if len(failed) == 0 { // it names no key of the batch
			completeAll(batch, 0, err)
			return err
		}
		completeAll(failed, 0, err)
		batch = rest
	}
	return nil
}

// sendHalves sends a batch that was rejected as it is in two.
func (b *Batcher) sendHalves(batch []*pendingPut) error {
	half := len(batch) / 2
	first, second := b.send(batch[:half]), b.send(batch[half:])
	if first == nil && second == nil {
		b.lowerMaxOps(half) // no value was at fault, but their number
	}
	return errors.Join(first, second)
}

// lowerMaxOps lowers how many puts share a transaction, when the service takes fewer than the
// settings say.
func (b *Batcher) lowerMaxOps(maxOps int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if maxOps = max(1, maxOps); maxOps < b.maxOps {
		b.maxOps = maxOps
		slog.Warn("state service rejects transactions that the settings allow, sending smaller ones", "count", maxOps)
	}
}

// batchTxn returns the transaction that carries out all puts of a batch.
func batchTxn(batch []*pendingPut) wire.Txn {
	var txn wire.Txn
	for _, put := range batch {
		txn.If = append(txn.If, wire.Compare{Key: put.key, ModRevision: put.modRevision})
		txn.Then = append(txn.Then, wire.Op{Put: put.key, Value: put.value})
	}
	return txn
}

// splitByConflict parts the puts of a batch into those whose condition failed and the others.
func splitByConflict(batch []*pendingPut, conflict *ConflictError) (failed, rest []*pendingPut) {
	for _, put := range batch {
		if slices.Contains(conflict.Keys, put.key) {
			failed = append(failed, put)
		} else {
			rest = append(rest, put)
		}
	}
	return failed, rest
}

// complete hands the outcome to the caller of Put.
func (p *pendingPut) complete(revision uint64, err error) {
	p.revision, p.err = revision, err
	close(p.done)
}

// completeAll hands the same outcome to the callers of all puts of a batch.
func completeAll(batch []*pendingPut, revision uint64, err error) {
	for _, put := range batch {
		put.complete(revision, err)
	}
}
