package statestore

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestErrors has each answer of the service be taken for what it means: whether the request
// was, or may yet be, executed, and whether the service was heard.
func TestErrors(t *testing.T) {
	ctx := context.Background()
	commit := func(c *Client) error {
		_, err := c.Commit(ctx, wire.Txn{Then: []wire.Op{{Put: "c/x", Value: 1}}})
		return err
	}
	list := func(c *Client) error { _, err := c.ListPage(ctx, "c/", ""); return err }
	watch := func(c *Client) error { _, err := c.Watch(ctx, "c/", 7, 0); return err }
	open := func(c *Client) error { _, err := c.NewSession(ctx, micros.Second); return err }
	renew := func(c *Client) error { return c.RenewSession(ctx, 7) }
	end := func(c *Client) error { return c.EndSession(ctx, 7) }
	cases := []struct {
		name string
		call func(c *Client) error
		answer
		want  error // nil with known: none; else one that says nothing of the execution
		known bool  // it surely was not executed, or was
		heard bool
	}{
		{"a transaction", commit, answer{200, wire.TxnResponse{Revision: 9}}, nil, true, true},
		{"conditions that failed", commit, answer{409, wire.TxnResponse{FailedKeys: []string{"c/x", "c/y"}}}, ErrConflict, true, true},
		{"a transaction that is too large", commit, answer{400, wire.ErrorResponse{Message: "value too large"}}, ErrRejected, true, true},
		{"a write by an ended session", commit, answer{400, wire.ErrorResponse{Message: wire.MessageSessionNotFound}}, ErrSessionNotFound, true, true},
		{"too many changes", commit, answer{429, nil}, ErrRateLimited, true, true},
		{"an outage", commit, answer{503, nil}, ErrUnavailable, true, false},
		{"no answer", commit, answer{}, errCut, false, false},
		{"an answer that nobody knows", commit, answer{500, nil}, nil, false, true},
		{"a list", list, answer{200, wire.KeyPage{}}, nil, true, true},
		{"no list", list, answer{404, nil}, nil, false, true},
		{"a watch", watch, answer{200, wire.WatchResponse{}}, nil, true, true},
		{"a watch from a revision that is gone", watch, answer{410, nil}, ErrCompacted, true, true},
		{"a watch in an outage", watch, answer{503, nil}, ErrUnavailable, true, false},
		{"a session", open, answer{200, wire.SessionResponse{SessionID: 7}}, nil, true, true},
		{"a renewal", renew, answer{200, nil}, nil, true, true},
		{"a renewal of an ended session", renew, answer{404, nil}, ErrSessionNotFound, true, true},
		{"an end", end, answer{204, nil}, nil, true, true},
		{"an end of an ended session", end, answer{404, nil}, ErrSessionNotFound, true, true},
		{"an end without an answer", end, answer{}, errCut, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client, _ := service(func(int, []string) answer { return c.answer }).client(testLimits)
			err := c.call(client)
			switch {
			case c.known && !errors.Is(err, c.want):
				t.Errorf("error %v, want %v", err, c.want)
			case !c.known && (err == nil || errors.Is(err, ErrNotExecuted) || c.want != nil && !errors.Is(err, c.want)):
				t.Errorf("error %v, which must leave open whether it was executed", err)
			}
			if want := slices.Contains([]error{ErrRejected, ErrRateLimited, ErrUnavailable}, c.want); errors.Is(err, ErrNotExecuted) != want {
				t.Errorf("error %v: not executed is %v, want %v", err, !want, want)
			}
			if conflict := new(ConflictError); errors.As(err, &conflict) && !strings.Contains(err.Error(), "c/x c/y") {
				t.Errorf("error %v does not name the keys", err)
			}
			if client.IsUnreachable() == c.heard || (client.SinceLastResponse() < micros.Second) != c.heard {
				t.Errorf("unreachable %v, heard %v ago; want heard %v", client.IsUnreachable(), client.SinceLastResponse(), c.heard)
			}
		})
	}
}
