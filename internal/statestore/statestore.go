// Package statestore is the client of the state service, a consensus-backed key-value store.
//
// It owns the requests, what their responses mean as errors, this node's share of the service's
// rate limits, and which values and transactions the service takes. It must not know what the
// keys hold. It repeats nothing by itself, as a request without a response may yet be executed;
// Batcher alone splits a transaction that was rejected, which surely was not.
package statestore

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"

	"caperlatch/internal/micros"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// RequestTimeout bounds a request. The service usually takes under 10 ms and at times a few
// hundred, so a response later than this is taken for lost.
const RequestTimeout = 1500 * micros.Millisecond

// RetryAfter is how long users whose request found the service unavailable should wait before
// they repeat it.
const RetryAfter = micros.Second

// Client sends requests to the state service, within this node's share of its rate limits. It
// is safe for concurrent use.
type Client struct {
	base           string
	http           *http.Client
	limits         limits
	lastResponseAt atomic.Int64 // micros.Micros; when the service last responded
	lastFailureAt  atomic.Int64 // micros.Micros; when a request last got no response, or unavailable
}

// New returns a client of the service at addr, a host and port, which goes by transport.
func New(addr string, service settings.State, transport http.RoundTripper) *Client {
	return &Client{
		base:   "http://" + addr,
		http:   &http.Client{Transport: transport},
		limits: newLimits(service),
	}
}

// SinceLastResponse returns how long ago the service last responded anything but that it is
// unavailable.
func (c *Client) SinceLastResponse() micros.Micros {
	return micros.Now() - micros.Micros(c.lastResponseAt.Load())
}

// IsUnreachable reports whether the last request that ended got no response, or the response
// that the service is unavailable.
func (c *Client) IsUnreachable() bool { return c.lastFailureAt.Load() > c.lastResponseAt.Load() }

// request is a request to the service.
type request struct {
	method  string
	path    string
	body    any // nil: none
	timeout micros.Micros
}

// call sends a request once the rate limit allows it, and decodes the body of a 200 or 409 into
// out unless that is nil. Its errors do not name the request, which callers do.
func (c *Client) call(ctx context.Context, r request, out any) (status int, err error) {
	if err := c.limits.requests.Wait(ctx); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotExecuted, err)
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout.Duration())
	defer cancel()
	status, response, err := wire.Call(ctx, c.http, r.method, c.base+r.path, r.body)
	if err != nil {
		c.lastFailureAt.Store(int64(micros.Now()))
		return 0, err
	}
	if status != http.StatusServiceUnavailable {
		c.lastResponseAt.Store(int64(micros.Now()))
	} else {
		c.lastFailureAt.Store(int64(micros.Now()))
	}
	if err := statusError(status, response); err != nil {
		return status, err
	}
	if out != nil && (status == http.StatusOK || status == http.StatusConflict) {
		if err := wire.Unmarshal(response, out); err != nil {
			return 0, fmt.Errorf("decode response: %w", err)
		}
	}
	return status, nil
}
