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
