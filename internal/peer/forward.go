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

// Limits of forwarding. Heartbeats are forwarded in batches, because a batch costs the leader one message and one
// wake-up, whereas each heartbeat sent directly costs an HTTP request.
const (
	// forwardBatchDelay is how long heartbeats are collected for a batch. It may delay the start of a task by as much.
	// With a tenth of it, nearly every heartbeat was sent in a batch of its own.
	forwardBatchDelay = 60 * micros.Millisecond
	// maxForwardBatchBytes bounds the heartbeats of a batch. It is well below maxMessageBytes.
	maxForwardBatchBytes = 256 << 10
	// forwardTimeout is how long a batch waits for its responses.
	forwardTimeout = 2500 * micros.Millisecond
)

// ErrRejected means that the peer received a forwarded heartbeat and refused to respond to it.
var ErrRejected = errors.New("refused")

// errNoResponse means that a batch failed, or that the peer's response contains fewer entries than the batch.
var errNoResponse = errors.New("no answer")

// pendingHeartbeat is a heartbeat whose response has not arrived yet.
type pendingHeartbeat struct {
	heartbeat wire.RawMessage
	result    chan ForwardedResponse // receives one value, which is zero if the peer sent no response
}

// forwardQueue holds the heartbeats that wait to be sent in a batch, oldest first.
type forwardQueue struct {
	mu            sync.Mutex
	pending       []*pendingHeartbeat
	senderRunning bool // a goroutine sends batches
}

// takeBatch removes and returns the heartbeats of the next batch: as many as fit into maxForwardBatchBytes, but at least
// one. If the queue is empty, it records that no goroutine sends batches any more, and returns nil.
func (q *forwardQueue) takeBatch() []*pendingHeartbeat {
	q.mu.Lock()
	defer q.mu.Unlock()
	count, size := 0, 0
	for count < len(q.pending) && (count == 0 || size+len(q.pending[count].heartbeat) <= maxForwardBatchBytes) {
		size += len(q.pending[count].heartbeat)
		count++
	}
	if count == 0 {
		q.senderRunning = false
		return nil
	}
	batch := slices.Clone(q.pending[:count])
	q.pending = slices.Delete(q.pending, 0, count)
	return batch
}

// ForwardHeartbeat forwards a worker's encoded heartbeat to the peer and returns the encoded response. After an error
// other than ErrRejected, it is unknown whether the peer has processed the heartbeat.
func (c *Client) ForwardHeartbeat(ctx context.Context, heartbeat wire.RawMessage) (wire.RawMessage, error) {
	pending := &pendingHeartbeat{heartbeat, make(chan ForwardedResponse, 1)}
	c.forwardQueue.mu.Lock()
	c.forwardQueue.pending = append(c.forwardQueue.pending, pending)
	if !c.forwardQueue.senderRunning {
		c.forwardQueue.senderRunning = true
		go c.forwardBatches()
	}
	c.forwardQueue.mu.Unlock()
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

// forwardBatches sends batches until the queue is empty. Batches do not wait for each other's responses. No caller waits
// for this goroutine or for those that it starts: all end by themselves, within forwardTimeout after the last batch.
func (c *Client) forwardBatches() {
	for {
		micros.Pause(context.Background(), forwardBatchDelay)
		batch := c.forwardQueue.takeBatch()
		if batch == nil {
			return
		}
		go c.forwardBatch(batch)
	}
}

// forwardBatch sends one batch and delivers the responses to the waiting callers.
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
