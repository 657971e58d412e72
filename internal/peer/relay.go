package peer

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// Reports are passed on in batches: a batch costs the leader one message and one
// wake-up where each report costs an HTTP request. The pause is what a start may
// wait for that; with a tenth of it nearly every report went alone.
const (
	forwardBatchDelay    = 60 * micros.Millisecond
	maxForwardBatchBytes = 256 << 10 // of a batch, well within maxMessage
	forwardTimeout       = 2500 * micros.Millisecond
)

// ErrRejected says that the peer has got a report and does not answer it.
var ErrRejected = errors.New("refused")

// pendingHeartbeat is a report that waits for its answer.
type pendingHeartbeat struct {
	heartbeat wire.Raw
	done      chan ForwardedResponse
}

// ForwardHeartbeat has the peer answer a worker's report. After an error other than
// ErrRejected nobody knows whether the peer has seen it.
func (c *Client) ForwardHeartbeat(ctx context.Context, report wire.Raw) (wire.Raw, error) {
	r := &pendingHeartbeat{report, make(chan ForwardedResponse, 1)}
	c.forwardMu.Lock()
	c.pendingHeartbeats = append(c.pendingHeartbeats, r)
	if !c.forwarding {
		c.forwarding = true
		go c.forwardBatches()
	}
	c.forwardMu.Unlock()
	select {
	case a := <-r.done:
		switch {
		case a.Response != nil:
			return a.Response, nil
		case a.Error != "":
			return nil, fmt.Errorf("%w: %s", ErrRejected, a.Error)
		}
		return nil, fmt.Errorf("peer %s: no answer", c.addr)
	case <-ctx.Done():
		return nil, fmt.Errorf("peer %s: %w", c.addr, ctx.Err())
	}
}

// forwardBatches sends batches until no report waits.
func (c *Client) forwardBatches() {
	for {
		micros.Pause(context.Background(), forwardBatchDelay)
		c.forwardMu.Lock()
		n, size := 0, 0
		for n < len(c.pendingHeartbeats) && (n == 0 || size+len(c.pendingHeartbeats[n].heartbeat) <= maxForwardBatchBytes) {
			size += len(c.pendingHeartbeats[n].heartbeat)
			n++
		}
		if n == 0 {
			c.forwarding = false
			c.forwardMu.Unlock()
			return
		}
		batch := slices.Clone(c.pendingHeartbeats[:n])
		c.pendingHeartbeats = slices.Delete(c.pendingHeartbeats, 0, n)
		c.forwardMu.Unlock()
		go c.forwardBatch(batch)
	}
}

// forwardBatch sends one batch and hands out the answers.
func (c *Client) forwardBatch(batch []*pendingHeartbeat) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout.Duration())
	defer cancel()
	q := Request{ForwardedHeartbeats: make([]wire.Raw, len(batch))}
	for i, r := range batch {
		q.ForwardedHeartbeats[i] = r.heartbeat
	}
	a, err := c.Call(ctx, q)
	for i, r := range batch {
		if err == nil && i < len(a.ForwardedResponses) {
			r.done <- a.ForwardedResponses[i]
		} else {
			r.done <- ForwardedResponse{}
		}
	}
}
