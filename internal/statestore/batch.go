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
	waiting []*put
	running bool
	most    int // writes in a transaction
}

// put is a write that waits for its result.
type put struct {
	key   string
	stamp uint64
	value any
	size  int
	done  chan struct{}
	rev   uint64
	err   error
}

// NewBatcher makes a batcher over client.
func NewBatcher(client *Client) *Batcher { return &Batcher{client: client, most: client.MaxOps()} }

// Put writes value under key if the key has the given version (0: if there is
// no such key). It returns the write's revision.
func (b *Batcher) Put(ctx context.Context, key string, stamp uint64, value any) (uint64, error) {
	p := &put{key: key, stamp: stamp, value: value, size: wire.JSONSize(value) + 2*len(key) + 96, done: make(chan struct{})}
	b.mu.Lock()
	b.waiting = append(b.waiting, p)
	if !b.running {
		b.running = true
		go b.run()
	}
	b.mu.Unlock()
	select {
	case <-p.done:
		return p.rev, p.err
	case <-ctx.Done():
		return 0, fmt.Errorf("put %s: %w", key, ctx.Err())
	}
}

// refusedPause lets the service's limit recover after a refusal.
const refusedPause = 100 * micros.Millisecond

// run sends transactions until nothing waits.
func (b *Batcher) run() {
	for {
		b.mu.Lock()
		if len(b.waiting) == 0 {
			b.running = false
			b.mu.Unlock()
			return
		}
		n, size := 0, 4096
		keys := map[string]bool{}
		for n < len(b.waiting) && n < b.most {
			p := b.waiting[n]
			size += p.size
			if n > 0 && size > wire.MaxBody || keys[p.key] {
				break
			}
			keys[p.key] = true
			n++
		}
		batch := slices.Clone(b.waiting[:n])
		b.waiting = slices.Delete(b.waiting, 0, n)
		b.mu.Unlock()
		if errors.Is(b.send(batch), ErrTooMany) {
			// Refused requests count as well: without a pause a burst kept the
			// service refusing everybody for seconds.
			time.Sleep(refusedPause.Duration())
		}
	}
}

// send commits a batch; writes whose condition fails leave it, and the others
// go on without them. A batch that is refused as it is goes in halves, so that one
// value that is too large takes no other with it, and is itself not tried again.
func (b *Batcher) send(batch []*put) error {
	ctx, cancel := context.WithTimeout(context.Background(), (2 * Timeout).Duration())
	defer cancel()
	for len(batch) > 0 {
		var t wire.Txn
		for _, p := range batch {
			t.If = append(t.If, wire.Condition{Key: p.key, Stamp: p.stamp})
			t.Then = append(t.Then, wire.Op{Write: p.key, Value: p.value})
		}
		rev, err := b.client.Commit(ctx, t)
		var conflict *Conflict
		if errors.Is(err, ErrRefused) && len(batch) > 1 {
			half := len(batch) / 2
			one, two := b.send(batch[:half]), b.send(batch[half:])
			if one == nil && two == nil {
				b.shrink(half) // no value was at fault, but their number
			}
			return errors.Join(one, two)
		}
		if !errors.As(err, &conflict) {
			for _, p := range batch {
				p.finish(rev, err)
			}
			return err
		}
		rest := batch[:0:0]
		for _, p := range batch {
			if slices.Contains(conflict.Keys, p.key) {
				p.finish(0, err)
			} else {
				rest = append(rest, p)
			}
		}
		if len(rest) == len(batch) { // it named none of ours
			for _, p := range batch {
				p.finish(0, err)
			}
			return err
		}
		batch = rest
	}
	return nil
}

// shrink lowers how many writes share a transaction, when the service takes fewer than
// the settings say.
func (b *Batcher) shrink(most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if most = max(1, most); most < b.most {
		b.most = most
		slog.Warn("the state service refuses transactions of a size that the settings allow", "changes_now", most)
	}
}

// finish tells who waits for the write how it ended.
func (p *put) finish(rev uint64, err error) {
	p.rev, p.err = rev, err
	close(p.done)
}

// RetryAfter is when a user whose request found the service unable may come
// again.
const RetryAfter = micros.Second
