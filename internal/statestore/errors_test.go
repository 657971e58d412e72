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

// TestResponseErrors checks which error each response of the service results in, and whether the service then counts as
// reachable. The error must tell whether the request may have been executed, and must name the request.
func TestResponseErrors(t *testing.T) {
	ctx := context.Background()
	commit := func(c *Client) error {
		_, err := c.Commit(ctx, wire.Txn{Then: []wire.Op{{Put: "c/x", Value: 1}}})
		return err
	}
	// Prefixes of the errors of each request.
	const (
		commitFailed = `state service: commit 1 operations, first on "c/x": `
		listFailed   = `state service: list keys c/ after "": `
		watchFailed  = "state service: watch keys c/ after revision 7: "
		renewFailed  = "state service: renew session 7: "
		endFailed    = "state service: end session 7: "
	)
	list := func(c *Client) error { _, err := c.ListPage(ctx, "c/", ""); return err }
	watch := func(c *Client) error { _, err := c.Watch(ctx, "c/", 7, 0); return err }
	open := func(c *Client) error { _, err := c.NewSession(ctx, micros.Second); return err }
	renew := func(c *Client) error { return c.RenewSession(ctx, 7) }
	end := func(c *Client) error { return c.EndSession(ctx, 7) }
	cases := []struct {
		name       string
		call       func(c *Client) error
		wantPrefix string // the prefix of the error; empty for no error
		response
		want      error // if nil: no error if known is true, else any error but ErrNotExecuted
		known     bool  // whether the outcome must show if the request was executed
		responded bool  // whether the service counts as reachable
	}{
		{"a transaction", commit, "", response{200, wire.TxnResponse{Revision: 9}}, nil, true, true},
		{"failed conditions", commit, commitFailed, response{409, wire.TxnResponse{FailedKeys: []string{"c/x", "c/y"}}}, ErrConflict, true, true},
		{"a transaction that is too large", commit, commitFailed, response{400, wire.ErrorResponse{Message: "value too large"}}, ErrRejected, true, true},
		{"a put with an ended session", commit, commitFailed, response{400, wire.ErrorResponse{Message: wire.MessageSessionNotFound}}, ErrSessionNotFound, true, true},
		{"a transaction over the rate limit", commit, commitFailed, response{429, nil}, ErrRateLimited, true, true},
		{"an outage", commit, commitFailed, response{503, nil}, ErrUnavailable, true, false},
		{"a transaction without a response", commit, commitFailed, response{}, errNoResponse, false, false},
		{"an unexpected status", commit, commitFailed, response{500, nil}, nil, false, true},
		{"a list", list, "", response{200, wire.KeyPage{}}, nil, true, true},
		{"an unexpected status of a list", list, listFailed, response{404, nil}, nil, false, true},
		{"a watch", watch, "", response{200, wire.WatchResponse{}}, nil, true, true},
		{"a watch of a compacted revision", watch, watchFailed, response{410, nil}, ErrCompacted, true, true},
		{"a watch in an outage", watch, watchFailed, response{503, nil}, ErrUnavailable, true, false},
		{"a session", open, "", response{200, wire.SessionResponse{SessionID: 7}}, nil, true, true},
		{"a renewal", renew, "", response{200, nil}, nil, true, true},
		{"a renewal of an ended session", renew, renewFailed, response{404, nil}, ErrSessionNotFound, true, true},
		{"an end of a session", end, "", response{204, nil}, nil, true, true},
		{"an end of an ended session", end, endFailed, response{404, nil}, ErrSessionNotFound, true, true},
		{"an end without a response", end, endFailed, response{}, errNoResponse, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client, _ := fakeService(func(int, []string) response { return c.response }).client(testLimits)
			err := c.call(client)
			switch {
			case c.known && !errors.Is(err, c.want):
				t.Errorf("error %v, want %v", err, c.want)
			case !c.known && (err == nil || errors.Is(err, ErrNotExecuted)):
				t.Errorf("error %v, want an error other than ErrNotExecuted", err)
			case !c.known && c.want != nil && !errors.Is(err, c.want):
				t.Errorf("error %v, want %v", err, c.want)
			}
			switch {
			case err != nil && c.wantPrefix == "":
				t.Errorf("error %q, want none", err)
			case err != nil && !strings.HasPrefix(err.Error(), c.wantPrefix):
				t.Errorf("error %q, want prefix %q", err, c.wantPrefix)
			}
			if want := slices.Contains([]error{ErrRejected, ErrRateLimited, ErrUnavailable}, c.want); errors.Is(err, ErrNotExecuted) != want {
				t.Errorf("error %v: is ErrNotExecuted %v, want %v", err, !want, want)
			}
			if conflict := new(ConflictError); errors.As(err, &conflict) && !strings.Contains(err.Error(), "c/x c/y") {
				t.Errorf("error %v, want it to name the keys c/x c/y", err)
			}
			if client.IsUnreachable() == c.responded || (client.SinceLastResponse() < micros.Second) != c.responded {
				t.Errorf("unreachable %v, last response %d µs ago; want the service to count as reachable: %v", client.IsUnreachable(), client.SinceLastResponse(), c.responded)
			}
		})
	}
}
