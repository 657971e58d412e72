package statestore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// pageSize is the most keys in one page of a list.
const pageSize = "500"

// listTimeout bounds the request for a page of a list, which takes longer than other requests.
const listTimeout = 2 * RequestTimeout

// ListPage returns the first page of the keys that have the given prefix and sort after the key after. If after is
// empty, it returns the first page of all keys that have the prefix.
func (c *Client) ListPage(ctx context.Context, prefix, after string) (wire.KeyPage, error) {
	query := url.Values{wire.QueryPrefix: {prefix}, wire.QueryLimit: {pageSize}}
	if after != "" {
		query.Set(wire.QueryAfter, after)
	}
	var page wire.KeyPage
	status, err := c.call(ctx, request{method: http.MethodGet, path: wire.PathKeys + "?" + query.Encode(), timeout: listTimeout}, &page)
	if err == nil && status != http.StatusOK {
		err = unexpectedStatus(status)
	}
	if err != nil {
		return page, fmt.Errorf("state service: list keys %s after %q: %w", prefix, after, err)
	}
	return page, nil
}

// CommitRateLimited commits a transaction of the leader once the leader's share of the limit on operations allows it. It
// returns the results of Commit.
func (c *Client) CommitRateLimited(ctx context.Context, txn wire.Txn) (revision uint64, err error) {
	operations := min(max(1, len(txn.Then)), c.limits.leaderWrites.Burst())
	if err := c.limits.leaderWrites.WaitN(ctx, operations); err != nil {
		return 0, commitError(txn, fmt.Errorf("%w: %w", ErrNotExecuted, err))
	}
	return c.Commit(ctx, txn)
}

// Commit commits a transaction without waiting for the leader's share of the limit on operations, and returns the
// transaction's revision. If a condition does not hold, the error wraps a *ConflictError.
func (c *Client) Commit(ctx context.Context, txn wire.Txn) (revision uint64, err error) {
	var response wire.TxnResponse
	status, err := c.call(ctx, request{method: http.MethodPost, path: wire.PathTransactions, body: txn, timeout: RequestTimeout}, &response)
	switch {
	case err != nil:
		return 0, commitError(txn, err)
	case status == http.StatusConflict:
		return response.Revision, commitError(txn, &ConflictError{Keys: response.FailedKeys})
	case status != http.StatusOK:
		return 0, commitError(txn, unexpectedStatus(status))
	}
	return response.Revision, nil
}

// commitError returns the error for a transaction that failed with the given cause.
func commitError(txn wire.Txn, cause error) error {
	first := ""
	if len(txn.Then) > 0 {
		first = txn.Then[0].Put + txn.Then[0].Delete // one of them is empty
	}
	return fmt.Errorf("state service: commit %d operations, first on %q: %w", len(txn.Then), first, cause)
}

// Watch returns the changes since the revision after of keys that have the given prefix. If there are none yet, it waits
// for the first one, at most for the time wait. With a wait of 0 it is a read barrier: the revision of the response is
// not lower than that of any change committed before the call. The error wraps ErrCompacted if the service no longer has
// some of the changes.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait micros.Micros) (wire.WatchResponse, error) {
	query := url.Values{
		wire.QueryPrefix:  {prefix},
		wire.QueryAfter:   {strconv.FormatUint(after, 10)},
		wire.QueryTimeout: {strconv.FormatInt(int64(wait/micros.Millisecond), 10)},
	}
	var response wire.WatchResponse
	status, err := c.call(ctx, request{method: http.MethodGet, path: wire.PathWatches + "?" + query.Encode(), timeout: wait + RequestTimeout}, &response)
	switch {
	case err != nil:
	case status == http.StatusGone:
		err = ErrCompacted
	case status != http.StatusOK:
		err = unexpectedStatus(status)
	}
	if err != nil {
		return response, fmt.Errorf("state service: watch keys %s after revision %d: %w", prefix, after, err)
	}
	return response, nil
}
