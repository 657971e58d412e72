// Package statestore provides a client of the state service, a consensus-backed key-value store.
//
// The package owns the requests, the errors for their responses, this node's share of the service's rate limits, and
// the limits on values and transactions. It must not depend on what the keys hold. It never repeats a request, as one
// without a response may still be executed. Only Batcher sends puts again, when their transaction was rejected or one
// of its conditions failed, as such a transaction is certain not to have been executed.
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

// RequestTimeout bounds a request. The service usually responds within 10 ms and at times takes a few hundred, so a
// response that takes longer than RequestTimeout is considered lost.
const RequestTimeout = 1500 * micros.Millisecond

// RetryAfter is how long users should wait before they repeat a request that failed because the service was unavailable.
const RetryAfter = micros.Second

// Client sends requests to the state service, within this node's share of its rate limits. It is safe for concurrent
// use.
type Client struct {
	baseURL        string
	http           *http.Client
	limits         limits
	lastResponseAt atomic.Int64 // micros.Micros; when the service last responded with a status other than 503
	lastFailureAt  atomic.Int64 // micros.Micros; when a request last got no response, or the status 503
}

// New returns a client that sends requests with transport to the service at addr, a host and port.
func New(addr string, service settings.State, transport http.RoundTripper) *Client {
	return &Client{
		baseURL: "http://" + addr,
		http:    &http.Client{Transport: transport},
		limits:  newLimits(service),
	}
}

// SinceLastResponse returns the time since the service's last response with a status other than 503 (Service
// Unavailable).
func (c *Client) SinceLastResponse() micros.Micros {
	return micros.Now() - micros.Micros(c.lastResponseAt.Load())
}

// IsUnreachable reports whether the request that ended last got no response, or the status 503 (Service Unavailable).
func (c *Client) IsUnreachable() bool { return c.lastFailureAt.Load() > c.lastResponseAt.Load() }

// request is a request to the service.
type request struct {
	method  string
	path    string
	body    any // nil for no body
	timeout micros.Micros
}

// call sends a request once the rate limit allows it. If the status is 200 or 409, it decodes the body of the response
// into out, unless out is nil. Callers must add the name of the request to the error.
func (c *Client) call(ctx context.Context, r request, out any) (status int, err error) {
	if err := c.limits.requests.Wait(ctx); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotExecuted, err)
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout.Duration())
	defer cancel()
	status, response, err := wire.Call(ctx, c.http, r.method, c.baseURL+r.path, r.body)
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
