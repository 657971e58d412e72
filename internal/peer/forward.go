package peer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// Heartbeats are forwarded in batches: a batch costs the leader one message and one
// wake-up where each heartbeat costs an HTTP request. The delay is what a start may
// wait for that; with a tenth of it nearly every heartbeat went alone.
const (
	forwardBatchDelay    = 60 * micros.Millisecond
	maxForwardBatchBytes = 256 << 10 // of a batch, well within maxMessageBytes
	forwardTimeout       = 2500 * micros.Millisecond
)

// ErrRejected says that the peer has got a heartbeat and does not respond to it.
var ErrRejected = errors.New("refused")

// errNoResponse says that a batch failed or that its response is short.
var errNoResponse = errors.New("no answer")

// pendingHeartbeat is a heartbeat that waits for its response.
type pendingHeartbeat struct {
	heartbeat wire.RawMessage
	result    chan ForwardedResponse // gets one; the zero value if nothing came from the peer
}

// forwardQueue is the heartbeats that are to go into the next batches, oldest first.
type forwardQueue struct {
	mu      sync.Mutex
	pending []*pendingHeartbeat
	running bool // a goroutine sends batches
}

// takeBatch removes the heartbeats of the next batch: at least one, and no more than fit. If none waits, it notes that
// no goroutine sends batches any more.
func (q *forwardQueue) takeBatch() []*pendingHeartbeat {
	q.mu.Lock()
	defer q.mu.Unlock()
	count, size := 0, 0
	for count < len(q.pending) && (count == 0 || size+len(q.pending[count].heartbeat) <= maxForwardBatchBytes) {
		size += len(q.pending[count].heartbeat)
		count++
	}
	if count == 0 {
		q.running = false
		return nil
	}
	batch := slices.Clone(q.pending[:count])
	q.pending = slices.Delete(q.pending, 0, count)
	return batch
}

// ForwardHeartbeat has the peer respond to a worker's heartbeat. After an error other than
// ErrRejected nobody knows whether the peer has seen it.
func (c *Client) ForwardHeartbeat(ctx context.Context, heartbeat wire.RawMessage) (wire.RawMessage, error) {
	pending := &pendingHeartbeat{heartbeat, make(chan ForwardedResponse, 1)}
	c.forwards.mu.Lock()
	c.forwards.pending = append(c.forwards.pending, pending)
	if !c.forwards.running {
		c.forwards.running = true
		go c.forwardBatches()
	}
	c.forwards.mu.Unlock()
	select {
	case response := <-pending.result:
		switch {
		case response.Response != nil:
			return response.Response, nil
		case response.Error != "":
			return nil, fmt.Errorf("%w: %s", ErrRejected, response.Error)
		}
		return nil, fmt.Errorf("peer %s: %w", c.addr, errNoResponse)
	case <-ctx.Done():
		return nil, fmt.Errorf("peer %s: %w", c.addr, ctx.Err())
	}
}

// forwardBatches sends batches until no heartbeat waits. Batches do not wait for each other's responses. Nobody waits
// for it or for what it starts: each ends by itself, within forwardTimeout after its last batch.
func (c *Client) forwardBatches() {
	for {
		micros.Pause(context.Background(), forwardBatchDelay)
		batch := c.forwards.takeBatch()
		if batch == nil {
			return
		}
		go c.forwardBatch(batch)
	}
}

// forwardBatch sends one batch and hands out the responses.
func (c *Client) forwardBatch(batch []*pendingHeartbeat) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout.Duration())
	defer cancel()
	request := Request{ForwardedHeartbeats: make([]wire.RawMessage, len(batch))}
	for i, pending := range batch {
		request.ForwardedHeartbeats[i] = pending.heartbeat
	}
	response, err := c.Call(ctx, request)
	for i, pending := range batch {
		if err == nil && i < len(response.ForwardedResponses) {
			pending.result <- response.ForwardedResponses[i]
		} else {
			pending.result <- ForwardedResponse{}
		}
	}
}
