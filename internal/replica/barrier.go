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

// round is one request on behalf of all who wait for a barrier.
type round struct {
	done chan struct{}
	err  error
}

// Barrier returns once the replica has seen all that was committed before the
// call. Calls share requests: one that comes while a request is under way
// waits for the next, since that one's answer may be older than the call.
func (r *Replica) Barrier(ctx context.Context) error {
	r.barrierMu.Lock()
	if r.next == nil {
		r.next = &round{done: make(chan struct{})}
	}
	mine := r.next
	if !r.running {
		r.running = true
		go r.barriers()
	}
	r.barrierMu.Unlock()
	select {
	case <-mine.done:
		return mine.err
	case <-ctx.Done():
		return fmt.Errorf("barrier: %w", ctx.Err())
	}
}

// barriers runs rounds until nobody waits for one.
func (r *Replica) barriers() {
	for {
		r.barrierMu.Lock()
		current := r.next
		r.next = nil
		if current == nil {
			r.running = false
			r.barrierMu.Unlock()
			return
		}
		r.barrierMu.Unlock()
		current.err = r.barrier()
		close(current.done)
		time.Sleep(barrierPause.Duration())
	}
}

// barrier reads the changes up to the present.
func (r *Replica) barrier() error {
	if !r.Loaded() {
		return errors.New("barrier: nothing loaded yet")
	}
	ctx, cancel := context.WithTimeout(context.Background(), statestore.Timeout.Duration())
	defer cancel()
	err := r.catchUp(ctx)
	if errors.Is(err, statestore.ErrTooMany) {
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
	r.Apply(e, sent)
	return nil
}
