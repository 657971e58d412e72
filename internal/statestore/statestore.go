// Package statestore is the client of the state service.
//
// It owns the requests, what their answers mean as errors, this node's share of the rate
// limits, and which values and transactions the service takes. It does not know what the
// keys hold, and except for Batcher's split transactions it repeats nothing by itself.
package statestore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"golang.org/x/time/rate"

	"caperlatch/internal/micros"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// Errors that callers tell apart. Any other error means that nobody knows
// whether the request was or will be executed.
var (
	ErrConflict        = errors.New("a condition failed")
	ErrSessionNotFound = errors.New("no such session")
	ErrNotExecuted     = errors.New("not executed") // refused, or never sent
	ErrUnavailable     = fmt.Errorf("%w: unavailable", ErrNotExecuted)
	ErrRateLimited     = fmt.Errorf("%w: too many requests", ErrNotExecuted)
	ErrCompacted       = errors.New("revision too old")
	// ErrRejected: as it is, the request will never be executed, for its size.
	ErrRejected = fmt.Errorf("%w: refused as it is", ErrNotExecuted)
)

// ConflictError carries the keys whose conditions failed.
type ConflictError struct{ Keys []string }

// Error names the keys.
func (c *ConflictError) Error() string { return "conditions failed: " + strings.Join(c.Keys, " ") }

// Unwrap makes errors.Is(err, ErrConflict) true.
func (c *ConflictError) Unwrap() error { return ErrConflict }

// RequestTimeout bounds a request. The service usually takes under 10 ms and at times
// a few hundred, so an answer later than this is taken for lost.
const RequestTimeout = 1500 * micros.Millisecond

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

// Shares of the service's limits; see New.
const (
	requestShare     = 0.5 // of all requests, for each node
	leaderWriteShare = 0.6 // of the changes a second, for the leader's own
	writeBurstPart   = 3   // the leader's burst is this part of a second's changes
	minWriteBurst    = 3   // changes; as many as txn_ops allows at least
)

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

const bytesPerKB = 1024

// MaxOps is the most changes in a transaction.
func (c *Client) MaxOps() int { return c.maxOps }

// MaxLeaderOps is the most changes of the leader in a transaction.
func (c *Client) MaxLeaderOps() int { return c.maxLeaderOps }

// ValueAlwaysFits tells whether v may be stored under one key at any time.
func (c *Client) ValueAlwaysFits(v any) bool {
	return float64(wire.JSONSize(v)) <= c.valueKB*bytesPerKB
}

// ValueFitsNow tells whether v may be stored under one key as long as the present
// limits hold. A job that could be accepted before the change is not refused for a
// limit that may not hold yet: the write is tried, and ErrRejected tells.
func (c *Client) ValueFitsNow(v any) bool {
	return float64(wire.JSONSize(v)) <= c.currentValueKB*bytesPerKB
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

// errorNoSuchLease is what the service says when a write names a session that has ended.
const errorNoSuchLease = "no such lease"

// statusError is the error that a status stands for at every request.
func statusError(status int, answer []byte) error {
	switch status {
	case http.StatusServiceUnavailable:
		return fmt.Errorf("state service: %w", ErrUnavailable)
	case http.StatusTooManyRequests:
		return fmt.Errorf("state service: %w", ErrRateLimited)
	case http.StatusBadRequest:
		var e wire.ErrorResponse
		if wire.Unmarshal(answer, &e) == nil && e.Message == errorNoSuchLease {
			return ErrSessionNotFound
		}
		return fmt.Errorf("state service: %w: %s", ErrRejected, e.Message)
	}
	return nil
}

// maxPage is the most keys that the service lists in a page.
const maxPage = "500"

// ListPage reads a page of keys.
func (c *Client) ListPage(ctx context.Context, prefix, after string) (wire.KeyPage, error) {
	q := url.Values{"starts": {prefix}, "most": {maxPage}}
	if after != "" {
		q.Set("after", after)
	}
	var page wire.KeyPage
	code, err := c.call(ctx, http.MethodGet, "/store?"+q.Encode(), nil, &page, 2*RequestTimeout)
	if err == nil && code != http.StatusOK {
		err = fmt.Errorf("state service: list answered %d", code)
	}
	return page, err
}

// CommitRateLimited carries out a transaction of the leader within its part of the
// limit on changes.
func (c *Client) CommitRateLimited(ctx context.Context, t wire.Txn) (uint64, error) {
	if err := c.writes.WaitN(ctx, min(max(1, len(t.Then)), c.writes.Burst())); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotExecuted, err)
	}
	return c.Commit(ctx, t)
}

// Commit carries out a transaction at once and returns its revision.
func (c *Client) Commit(ctx context.Context, t wire.Txn) (uint64, error) {
	var a wire.TxnResponse
	code, err := c.call(ctx, http.MethodPost, "/txn", t, &a, RequestTimeout)
	switch {
	case err != nil:
		return 0, err
	case code == http.StatusConflict:
		return a.Revision, &ConflictError{Keys: a.FailedKeys}
	case code != http.StatusOK:
		return 0, fmt.Errorf("state service: transaction answered %d", code)
	}
	return a.Revision, nil
}

// Watch returns the changes of keys with the prefix after a revision, waiting
// at most wait for one. With no wait it is a read barrier.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait micros.Micros) (wire.WatchResponse, error) {
	q := url.Values{
		"starts":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(int64(wait/micros.Millisecond), 10)},
	}
	var e wire.WatchResponse
	code, err := c.call(ctx, http.MethodGet, "/watch?"+q.Encode(), nil, &e, wait+RequestTimeout)
	switch {
	case err != nil:
		return e, err
	case code == http.StatusGone:
		return e, ErrCompacted
	case code != http.StatusOK:
		return e, fmt.Errorf("state service: watch answered %d", code)
	}
	return e, nil
}

// NewSession begins a session, which the service calls a hold: it ends unless it is renewed
// within life, and the keys written with it are removed then.
func (c *Client) NewSession(ctx context.Context, life micros.Micros) (uint64, error) {
	var a wire.SessionResponse
	code, err := c.call(ctx, http.MethodPost, "/holds", wire.SessionRequest{TTLMS: int64(life / micros.Millisecond)}, &a, RequestTimeout)
	if err == nil && code != http.StatusOK {
		err = fmt.Errorf("state service: session answered %d", code)
	}
	return a.SessionID, err
}

// RenewSession has a session live for its whole life again.
func (c *Client) RenewSession(ctx context.Context, session uint64) error {
	code, err := c.call(ctx, http.MethodPost, fmt.Sprintf("/holds/%d/extend", session), struct{}{}, nil, RequestTimeout)
	return sessionError(code, err)
}

// EndSession ends a session at once.
func (c *Client) EndSession(ctx context.Context, session uint64) error {
	code, err := c.call(ctx, http.MethodDelete, fmt.Sprintf("/holds/%d", session), nil, nil, RequestTimeout)
	return sessionError(code, err)
}

// sessionError is the outcome of a request about a session.
func sessionError(code int, err error) error {
	switch {
	case err != nil:
		return err
	case code == http.StatusNotFound:
		return ErrSessionNotFound
	case code != http.StatusOK && code != http.StatusNoContent:
		return fmt.Errorf("state service: session answered %d", code)
	}
	return nil
}
