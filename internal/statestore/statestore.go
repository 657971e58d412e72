// Package statestore is the client of the state service.
//
// It owns the requests, what their answers mean as errors, this node's share of the rate
// limits, and which values and transactions the service takes. It does not know what the
// keys hold, and except for Batcher's split transactions it repeats nothing by itself.
package statestore

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"

	"golang.org/x/time/rate"

	"caperlatch/internal/micros"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// RequestTimeout bounds a request. The service usually takes under 10 ms and at times
// a few hundred, so an answer later than this is taken for lost.
const RequestTimeout = 1500 * micros.Millisecond

// RetryAfter is when a user whose request found the service unable may come
// again.
const RetryAfter = micros.Second

// Client talks to the state service within a share of its rate limits.
type Client struct {
	base           string
	http           *http.Client
	reads          *rate.Limiter
	writes         *rate.Limiter // of the leader
	maxOps         int
	maxLeaderOps   int // most changes of the leader in a transaction
	valueKB        float64
	currentValueKB float64      // of valueKB, before the limits change
	lastResponseAt atomic.Int64 // when the service last answered
	lastFailureAt  atomic.Int64 // when it last did not
}

// New makes a client for the service at addr. All nodes share the service's
// limits; each keeps to half of the requests, as they are rarely all busy, and
// takes a 429 as a sign to wait. Of the changes the leader's writes keep to a bit more than half,
// in transactions that leave most of the service's burst: users wait for intake,
// which is not held back here. When both passed one limit, submissions at the
// leader's node queued behind its progress for a second and more.
//
// All writes keep to the limits that hold before and after a change of them: see
// settings.State.Always. Only a new job's description may be larger, see ValueFitsNow.
func New(addr string, limits settings.State, transport http.RoundTripper) *Client {
	present := limits.ValueKB
	limits = limits.Strictest()
	requests := limits.RPS * requestShare
	burst := max(minWriteBurst, int(limits.WriteRPS/writeBurstPart))
	return &Client{
		base:           "http://" + addr,
		http:           &http.Client{Transport: transport},
		reads:          rate.NewLimiter(rate.Limit(requests), max(1, int(requests))),
		writes:         rate.NewLimiter(rate.Limit(limits.WriteRPS*leaderWriteShare), burst),
		maxOps:         limits.TxnOps,
		maxLeaderOps:   min(limits.TxnOps, burst),
		valueKB:        limits.ValueKB,
		currentValueKB: present,
	}
}

// SinceLastResponse is how long ago the service last answered anything but that it
// is unavailable.
func (c *Client) SinceLastResponse() micros.Micros {
	return micros.Now() - micros.Micros(c.lastResponseAt.Load())
}

// IsUnreachable tells whether the last request that ended got no answer or was
// told that the service is unavailable.
func (c *Client) IsUnreachable() bool { return c.lastFailureAt.Load() > c.lastResponseAt.Load() }

// call sends one request and decodes a 200 into out.
func (c *Client) call(ctx context.Context, method, path string, in, out any, timeout micros.Micros) (int, error) {
	if err := c.reads.Wait(ctx); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotExecuted, err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	status, b, err := wire.Call(ctx, c.http, method, c.base+path, in)
	if err != nil {
		c.lastFailureAt.Store(int64(micros.Now()))
		return 0, fmt.Errorf("state service: %w", err)
	}
	if status != http.StatusServiceUnavailable {
		c.lastResponseAt.Store(int64(micros.Now()))
	} else {
		c.lastFailureAt.Store(int64(micros.Now()))
	}
	if err := statusError(status, b); err != nil {
		return status, err
	}
	if out != nil && (status == http.StatusOK || status == http.StatusConflict) {
		if err := wire.Unmarshal(b, out); err != nil {
			return 0, fmt.Errorf("state service: %w", err)
		}
	}
	return status, nil
}
