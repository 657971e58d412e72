package replica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/statestore"
)

// barrierPause is between two requests for barriers, which spares the state service's
// shared limit as the pauses of the watch do.
const barrierPause = 150 * micros.Millisecond

// errNotLoaded is a barrier's error before all keys have been read once.
var errNotLoaded = errors.New("nothing loaded yet")

// barrierRound is one request on behalf of all who wait for a barrier.
type barrierRound struct {
	done chan struct{} // closed after err is set
	err  error
}

// barrierRounds is who waits for a barrier, and whether a goroutine serves them.
type barrierRounds struct {
	mu      sync.Mutex
	running bool
	next    *barrierRound // whose request has not been sent; nil if nobody waits for one
}

// Barrier is a read barrier: it returns once the replica has applied every change that was committed, by any node,
// before the call.
//
// After it returned nil, a reader may conclude for what it then reads here:
//   - a value is the one that was stored at the call, or a newer one;
//   - a key that is not found did not exist at the call, or was deleted after it, as keys of jobs never are;
//   - a job that is not cancelled here had not been cancelled when the call began.
//
// It may not conclude that this is still so, nor that two reads are of one revision: a write that depends on them
// compares the mod revisions that were read. After an error, which says that ctx has ended, that nothing has been
// loaded yet, or what the state service answered, it may conclude nothing.
//
// Calls share requests: one that comes while a request is under way waits for the next, since that
// one's response may be older than the call.
func (r *Replica) Barrier(ctx context.Context) error {
	r.barrier.mu.Lock()
	if r.barrier.next == nil {
		r.barrier.next = &barrierRound{done: make(chan struct{})}
	}
	mine := r.barrier.next
	if !r.barrier.running {
		r.barrier.running = true
		go r.runBarrierRounds()
	}
	r.barrier.mu.Unlock()
	select {
	case <-mine.done:
		return mine.err
	case <-ctx.Done():
		return fmt.Errorf("barrier: %w", ctx.Err())
	}
}

// runBarrierRounds runs rounds until nobody waits for one. Nobody waits for it: it outlives callers that gave up, and
// ends by itself, as each round's requests have a timeout.
func (r *Replica) runBarrierRounds() {
	for {
		r.barrier.mu.Lock()
		current := r.barrier.next
		r.barrier.next = nil
		if current == nil {
			r.barrier.running = false
			r.barrier.mu.Unlock()
			return
		}
		r.barrier.mu.Unlock()
		current.err = r.runBarrierRound()
		close(current.done)
		time.Sleep(barrierPause.Duration())
	}
}

// runBarrierRound reads the changes up to the present.
func (r *Replica) runBarrierRound() error {
	if !r.IsLoaded() {
		return fmt.Errorf("barrier: %w", errNotLoaded)
	}
	ctx, cancel := context.WithTimeout(context.Background(), statestore.RequestTimeout.Duration())
	defer cancel()
	err := r.catchUp(ctx)
	if errors.Is(err, statestore.ErrRateLimited) {
		// All who wait share this request: a rejection for the rate limit, which
		// passes soon, would fail them all.
		micros.Pause(ctx, barrierPause)
		err = r.catchUp(ctx)
	}
	if err != nil {
		return fmt.Errorf("barrier: %w", err)
	}
	return nil
}

// catchUp applies all that was committed before the call.
func (r *Replica) catchUp(ctx context.Context) error {
	sent := micros.Now()
	response, err := r.store.Watch(ctx, Prefix, r.Revision(), 0)
	if err != nil {
		return err
	}
	r.ApplyWatch(response, sent)
	return nil
}
