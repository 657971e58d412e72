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
	relayPause = 60 * micros.Millisecond
	relayBytes = 256 << 10 // of a batch, well within maxMessage
	relayLimit = 2500 * micros.Millisecond
)

// ErrRefused says that the peer has got a report and does not answer it.
var ErrRefused = errors.New("refused")

// relay is a report that waits for its answer.
type relay struct {
	report wire.Raw
	done   chan Relayed
}

// Relay has the peer answer a worker's report. After an error other than
// ErrRefused nobody knows whether the peer has seen it.
func (c *Client) Relay(ctx context.Context, report wire.Raw) (wire.Raw, error) {
	r := &relay{report, make(chan Relayed, 1)}
	c.relayMu.Lock()
	c.reports = append(c.reports, r)
	if !c.relaying {
		c.relaying = true
		go c.relayAll()
	}
	c.relayMu.Unlock()
	select {
	case a := <-r.done:
		switch {
		case a.Answer != nil:
			return a.Answer, nil
		case a.Error != "":
			return nil, fmt.Errorf("%w: %s", ErrRefused, a.Error)
		}
		return nil, fmt.Errorf("peer %s: no answer", c.addr)
	case <-ctx.Done():
		return nil, fmt.Errorf("peer %s: %w", c.addr, ctx.Err())
	}
}

// relayAll sends batches until no report waits.
func (c *Client) relayAll() {
	for {
		micros.Pause(context.Background(), relayPause)
		c.relayMu.Lock()
		n, size := 0, 0
		for n < len(c.reports) && (n == 0 || size+len(c.reports[n].report) <= relayBytes) {
			size += len(c.reports[n].report)
			n++
		}
		if n == 0 {
			c.relaying = false
			c.relayMu.Unlock()
			return
		}
		batch := slices.Clone(c.reports[:n])
		c.reports = slices.Delete(c.reports, 0, n)
		c.relayMu.Unlock()
		go c.relayBatch(batch)
	}
}

// relayBatch sends one batch and hands out the answers.
func (c *Client) relayBatch(batch []*relay) {
	ctx, cancel := context.WithTimeout(context.Background(), relayLimit.Duration())
	defer cancel()
	q := Request{Relay: make([]wire.Raw, len(batch))}
	for i, r := range batch {
		q.Relay[i] = r.report
	}
	a, err := c.Ask(ctx, q)
	for i, r := range batch {
		if err == nil && i < len(a.Relay) {
			r.done <- a.Relay[i]
		} else {
			r.done <- Relayed{}
		}
	}
}
