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

// barrierInterval is the pause between two requests for barriers. Like the pauses between watches, it keeps the requests
// within the rate limit of the state service, which all nodes share.
const barrierInterval = 150 * micros.Millisecond

// errNotLoaded is a barrier's error before all keys have been read once.
var errNotLoaded = errors.New("replica not loaded yet")

// barrierRound is one request on behalf of all callers that wait for a barrier.
type barrierRound struct {
	done chan struct{} // closed after err is set
	err  error
}

// barrierRounds is the state of the barrier rounds of a replica, of which at most one runs at a time.
type barrierRounds struct {
	mu      sync.Mutex
	running bool          // whether the goroutine that runs the rounds exists
	next    *barrierRound // the round whose request has not been sent yet; nil if no caller waits for one
}

// Barrier is a read barrier: it returns once the replica has applied every change that any node committed before the
// call.
//
// After Barrier has returned nil, the following holds for each read of the replica:
//   - a value is the one that was stored when Barrier was called, or a newer one;
//   - a key that is not found did not exist when Barrier was called, or was deleted later; keys of jobs are never
//     deleted;
//   - a job that is not cancelled in the replica had not been cancelled when Barrier was called.
//
// A value may have changed in the state service since, and two reads need not be of the same revision: a write that
// depends on them must compare the mod revisions that were read. After an error, which means that ctx has ended, that
// the replica is not loaded yet, or that the state service did not answer as expected, nothing may be concluded.
//
// Calls share requests. A call during a request waits for the next one, since the response to the current one may be
// older than the call.
func (r *Replica) Barrier(ctx context.Context) error {
	r.barrier.mu.Lock()
	if r.barrier.next == nil {
		r.barrier.next = &barrierRound{done: make(chan struct{})}
	}
	round := r.barrier.next
	if !r.barrier.running {
		r.barrier.running = true
		go r.runBarrierRounds()
	}
	r.barrier.mu.Unlock()
	select {
	case <-round.done:
		return round.err
	case <-ctx.Done():
		return fmt.Errorf("barrier: %w", ctx.Err())
	}
}

// runBarrierRounds runs rounds until no caller waits for one. No code waits for this goroutine to end: it may outlive
// callers whose context has ended, but always ends itself, as the requests of each round have a timeout.
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
		time.Sleep(barrierInterval.Duration())
	}
}

// runBarrierRound brings the replica up to date, with one retry if the state service refuses the request for its rate
// limit.
func (r *Replica) runBarrierRound() error {
	if !r.IsLoaded() {
		return fmt.Errorf("barrier: %w", errNotLoaded)
	}
	ctx, cancel := context.WithTimeout(context.Background(), statestore.RequestTimeout.Duration())
	defer cancel()
	err := r.catchUp(ctx)
	if errors.Is(err, statestore.ErrRateLimited) {
		// All waiting callers share this request, so a rejection for the rate limit, which is short-lived, would
		// fail them all.
		micros.Pause(ctx, barrierInterval)
		err = r.catchUp(ctx)
	}
	if err != nil {
		return fmt.Errorf("barrier: %w", err)
	}
	return nil
}

// catchUp applies all changes that were committed before the call.
func (r *Replica) catchUp(ctx context.Context) error {
	sentAt := micros.Now()
	response, err := r.store.Watch(ctx, Prefix, r.Revision(), 0)
	if err != nil {
		return err
	}
	r.ApplyWatch(response, sentAt)
	return nil
}
