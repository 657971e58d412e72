package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/statestore"
)

// barrierPause is between two requests for barriers, which spares the state service's
// shared limit as the pauses of the watch do.
const barrierPause = 150 * micros.Millisecond

// barrierRound is one request on behalf of all who wait for a barrier.
type barrierRound struct {
	done chan struct{}
	err  error
}

// Barrier returns once the replica has seen all that was committed before the
// call. Calls share requests: one that comes while a request is under way
// waits for the next, since that one's answer may be older than the call.
func (r *Replica) Barrier(ctx context.Context) error {
	r.barrierMu.Lock()
	if r.nextRound == nil {
		r.nextRound = &barrierRound{done: make(chan struct{})}
	}
	mine := r.nextRound
	if !r.barrierRunning {
		r.barrierRunning = true
		go r.runBarrierRounds()
	}
	r.barrierMu.Unlock()
	select {
	case <-mine.done:
		return mine.err
	case <-ctx.Done():
		return fmt.Errorf("barrier: %w", ctx.Err())
	}
}

// runBarrierRounds runs rounds until nobody waits for one.
func (r *Replica) runBarrierRounds() {
	for {
		r.barrierMu.Lock()
		current := r.nextRound
		r.nextRound = nil
		if current == nil {
			r.barrierRunning = false
			r.barrierMu.Unlock()
			return
		}
		r.barrierMu.Unlock()
		current.err = r.runBarrierRound()
		close(current.done)
		time.Sleep(barrierPause.Duration())
	}
}

// runBarrierRound reads the changes up to the present.
func (r *Replica) runBarrierRound() error {
	if !r.IsLoaded() {
		return errors.New("barrier: nothing loaded yet")
	}
	ctx, cancel := context.WithTimeout(context.Background(), statestore.RequestTimeout.Duration())
	defer cancel()
	err := r.catchUp(ctx)
	if errors.Is(err, statestore.ErrRateLimited) {
		// All who wait share this request: a refusal for the rate limit, which
		// passes soon, would send them all away.
		micros.Pause(ctx, barrierPause)
		err = r.catchUp(ctx)
	}
	if err != nil {
		return fmt.Errorf("barrier: %w", err)
	}
	return nil
}

// catchUp takes over all that was committed before the call.
func (r *Replica) catchUp(ctx context.Context) error {
	sent := micros.Now()
	e, err := r.store.Watch(ctx, Prefix, r.Revision(), 0)
	if err != nil {
		return err
	}
	r.ApplyWatch(e, sent)
	return nil
}
