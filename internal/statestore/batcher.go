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

// rateLimitPause is the pause after a refused transaction, in which the service's rate limit can recover.
const rateLimitPause = 100 * micros.Millisecond

// sendTimeout bounds the time to commit a batch, or one of the halves of a rejected batch, with all its transactions.
const sendTimeout = 2 * RequestTimeout

// Bounds of the encoded size of a transaction as JSON, in bytes.
const (
	putOverhead = 96   // the most that a put takes besides its key and value
	txnOverhead = 4096 // reserved for the rest of the transaction
)

// Batcher combines puts of single keys into transactions, as puts come in bursts and requests to the service are
// scarcer than operations. It is safe for concurrent use.
//
// One goroutine sends batches while puts are pending, and ends when there are none. No code waits for this goroutine to
// end: callers wait for their own puts, and when a node stops, the outcome of its last batch is as unknown as after a
// lost response.
type Batcher struct {
	client *Client

	mu      sync.Mutex
	pending []*pendingPut // in the order of the calls of Put
	sending bool          // whether the sending goroutine runs
	maxOps  int           // the most puts in a transaction
}

// pendingPut is a put whose outcome is not known yet.
type pendingPut struct {
	key         string
	modRevision uint64
	value       any
	size        int // encoded as JSON, in bytes

	done     chan struct{} // closed once the outcome is set
	revision uint64
	err      error
}

// NewBatcher returns a batcher that commits puts with client.
func NewBatcher(client *Client) *Batcher { return &Batcher{client: client, maxOps: client.MaxOps()} }

// Put writes value under key if the key has the given mod revision, or does not exist if modRevision is 0, and returns
// the revision of the write. If ctx ends first, the put may still be executed.
func (b *Batcher) Put(ctx context.Context, key string, modRevision uint64, value any) (revision uint64, err error) {
	put := &pendingPut{
		key:         key,
		modRevision: modRevision,
		value:       value,
		// The key occurs twice, in the condition and in the operation.
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
			// Refused requests count against the limit as well: without a pause, a burst of puts made the
			// service refuse the requests of all nodes for seconds.
			time.Sleep(rateLimitPause.Duration())
		}
	}
}

// takeBatch removes and returns the first pending puts that fit one transaction, up to the first one whose key is
// already in the batch; mu must be held.
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

// send commits a batch. Puts whose conditions do not hold fail, and the others are sent again without them. A batch
// that is rejected is split in half until the rejected put is alone, so that one value that is too large fails no other
// put. A rejected put is not retried.
func (b *Batcher) send(batch []*pendingPut) error {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout.Duration())
	defer cancel()
	for len(batch) > 0 {
		revision, err := b.client.Commit(ctx, batchTxn(batch))
		if errors.Is(err, ErrRejected) && len(batch) > 1 {
			return b.splitAndSend(batch)
		}
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			completeAll(batch, revision, err)
			return err
		}
		failed, rest := splitByConflict(batch, conflict)
		if len(failed) == 0 { // the conflict names no key of the batch
			completeAll(batch, 0, err)
			return err
		}
		completeAll(failed, 0, err)
		batch = rest
	}
	return nil
}

// splitAndSend sends the two halves of a rejected batch.
func (b *Batcher) splitAndSend(batch []*pendingPut) error {
	half := len(batch) / 2
	first, second := b.send(batch[:half]), b.send(batch[half:])
	if first == nil && second == nil {
		b.lowerMaxOps(half) // no value was too large, so the number of puts was
	}
	return errors.Join(first, second)
}

// lowerMaxOps lowers the number of puts in a transaction, when the service accepts fewer operations than the settings
// allow.
func (b *Batcher) lowerMaxOps(maxOps int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if maxOps = max(1, maxOps); maxOps < b.maxOps {
		b.maxOps = maxOps
		slog.Warn("state service rejected a transaction within the configured limit, sending smaller ones", "count", maxOps)
	}
}

// batchTxn returns the transaction that executes all puts of a batch.
func batchTxn(batch []*pendingPut) wire.Txn {
	var txn wire.Txn
	for _, put := range batch {
		txn.If = append(txn.If, wire.Compare{Key: put.key, ModRevision: put.modRevision})
		txn.Then = append(txn.Then, wire.Op{Put: put.key, Value: put.value})
	}
	return txn
}

// splitByConflict splits a batch into the puts whose condition failed and the others.
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

// complete reports the outcome of the put to the caller of Put.
func (p *pendingPut) complete(revision uint64, err error) {
	p.revision, p.err = revision, err
	close(p.done)
}

// completeAll reports the same outcome for all puts of a batch.
func completeAll(batch []*pendingPut, revision uint64, err error) {
	for _, put := range batch {
		put.complete(revision, err)
	}
}
