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

// pageSize is the most keys in a page of a list.
const pageSize = "500"

// listTimeout bounds the request for a page, which takes longer than others.
const listTimeout = 2 * RequestTimeout

// ListPage returns the first page of the keys that have the prefix and come after the given
// key, which is empty for the first page of all.
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

// CommitRateLimited commits a transaction of the leader once its share of the limit on
// operations allows it. Its results are Commit's.
func (c *Client) CommitRateLimited(ctx context.Context, txn wire.Txn) (revision uint64, err error) {
	operations := min(max(1, len(txn.Then)), c.limits.leaderWrites.Burst())
	if err := c.limits.leaderWrites.WaitN(ctx, operations); err != nil {
		return 0, commitError(txn, fmt.Errorf("%w: %w", ErrNotExecuted, err))
	}
	return c.Commit(ctx, txn)
}

// Commit carries out a transaction at once and returns its revision. If a condition does not
// hold, the error is a *ConflictError.
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

// commitError returns the error of a transaction that failed for the given cause.
func commitError(txn wire.Txn, cause error) error {
	first := ""
	if len(txn.Then) > 0 {
		first = txn.Then[0].Put + txn.Then[0].Delete // one of them is empty
	}
	return fmt.Errorf("state service: commit %d operations, first on %q: %w", len(txn.Then), first, cause)
}

// Watch returns the changes of keys that have the prefix since the revision after. It waits up
// to wait for a first one. Without a wait it is a read barrier: the response's revision is at
// least that of all that was committed before the call. The error is ErrCompacted if the service
// has forgotten some of the changes.
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
