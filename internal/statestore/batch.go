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

// Batcher lets single-key writes share transactions: writes come in bursts,
// and the service's requests are scarcer than its changes.
type Batcher struct {
	client *Client

	mu      sync.Mutex
	pending []*pendingPut
	running bool
	maxOps  int // writes in a transaction
}

// pendingPut is a write that waits for its result.
type pendingPut struct {
	key         string
	modRevision uint64
	value       any
	size        int
	done        chan struct{}

	// The result, once done is closed.
	revision uint64
	err      error
}

// NewBatcher makes a batcher over client.
func NewBatcher(client *Client) *Batcher { return &Batcher{client: client, maxOps: client.MaxOps()} }

// Put writes value under key if the key has the given version (0: if there is
// no such key). It returns the write's revision.
func (b *Batcher) Put(ctx context.Context, key string, stamp uint64, value any) (uint64, error) {
	p := &pendingPut{
		key:         key,
		modRevision: stamp,
		value:       value,
		// The key stands in the condition and in the change.
		size: wire.JSONSize(value) + 2*len(key) + putOverhead,
		done: make(chan struct{}),
	}
	b.mu.Lock()
	b.pending = append(b.pending, p)
	if !b.running {
		b.running = true
		go b.run()
	}
	b.mu.Unlock()
	select {
	case <-p.done:
		return p.revision, p.err
	case <-ctx.Done():
		return 0, fmt.Errorf("put %s: %w", key, ctx.Err())
	}
}

// rateLimitPause lets the service's limit recover after a refusal.
const rateLimitPause = 100 * micros.Millisecond

// Sizes of a transaction as JSON, in bytes: at most what a write takes beside its key and
// value, and what is kept free for the rest.
const (
	putOverhead = 96
	txnOverhead = 4096
)

// sendTimeout bounds all transactions that a batch is sent in.
const sendTimeout = 2 * RequestTimeout

// run sends transactions until nothing waits.
func (b *Batcher) run() {
	for {
		b.mu.Lock()
		if len(b.pending) == 0 {
			b.running = false
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

// takeBatch takes the first writes that fit one transaction, each of another key; mu must
// be held.
func (b *Batcher) takeBatch() []*pendingPut {
	n, size := 0, txnOverhead
	keys := map[string]bool{}
	for n < len(b.pending) && n < b.maxOps {
		p := b.pending[n]
		size += p.size
		if n > 0 && size > wire.MaxBodyBytes || keys[p.key] {
			break
		}
		keys[p.key] = true
		n++
	}
	batch := slices.Clone(b.pending[:n])
	b.pending = slices.Delete(b.pending, 0, n)
	return batch
}

// send commits a batch; writes whose condition fails leave it, and the others
// go on without them. A batch that is refused as it is goes in halves, so that one
// value that is too large takes no other with it, and is itself not tried again.
func (b *Batcher) send(batch []*pendingPut) error {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout.Duration())
	defer cancel()
	for len(batch) > 0 {
		revision, err := b.client.Commit(ctx, transaction(batch))
		if errors.Is(err, ErrRejected) && len(batch) > 1 {
			return b.sendHalves(batch)
		}
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			finishAll(batch, revision, err)
			return err
		}
		failed, rest := conflict.split(batch)
		if len(failed) == 0 { // it named none of ours
			finishAll(batch, 0, err)
			return err
		}
		finishAll(failed, 0, err)
		batch = rest
	}
	return nil
}

// sendHalves sends a batch that was refused as it is in two.
func (b *Batcher) sendHalves(batch []*pendingPut) error {
	half := len(batch) / 2
	first, second := b.send(batch[:half]), b.send(batch[half:])
	if first == nil && second == nil {
		b.lowerMaxOps(half) // no value was at fault, but their number
	}
	return errors.Join(first, second)
}

// transaction is the one that carries out all writes of a batch.
func transaction(batch []*pendingPut) wire.Txn {
	var t wire.Txn
	for _, p := range batch {
		t.If = append(t.If, wire.Compare{Key: p.key, ModRevision: p.modRevision})
		t.Then = append(t.Then, wire.Op{Put: p.key, Value: p.value})
	}
	return t
}

// split tells which writes of a batch have a condition that failed.
func (c *ConflictError) split(batch []*pendingPut) (failed, rest []*pendingPut) {
	for _, p := range batch {
		if slices.Contains(c.Keys, p.key) {
			failed = append(failed, p)
		} else {
			rest = append(rest, p)
		}
	}
	return failed, rest
}

// lowerMaxOps lowers how many writes share a transaction, when the service takes fewer than
// the settings say.
func (b *Batcher) lowerMaxOps(most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if most = max(1, most); most < b.maxOps {
		b.maxOps = most
		slog.Warn("the state service refuses transactions of a size that the settings allow", "changes_now", most)
	}
}

// finish tells who waits for the write how it ended.
func (p *pendingPut) finish(revision uint64, err error) {
	p.revision, p.err = revision, err
	close(p.done)
}

// finishAll tells the same to all who wait for writes.
func finishAll(batch []*pendingPut, revision uint64, err error) {
	for _, p := range batch {
		p.finish(revision, err)
	}
}

// RetryAfter is when a user whose request found the service unable may come
// again.
const RetryAfter = micros.Second
