package statestore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// service answers requests by a function, and keeps what it was sent.
type service struct {
	answer func(n int, r *http.Request, t wire.Txn) (status int, body any)
	sent   []string
	sizes  []int // changes of the transactions
}

// errCut is what a request meets that gets no answer.
var errCut = errors.New("cut")

// RoundTrip implements http.RoundTripper.
func (s *service) RoundTrip(r *http.Request) (*http.Response, error) {
	var t wire.Txn
	if r.Body != nil {
		b, err := io.ReadAll(r.Body)
		if err == nil && r.URL.Path == "/txn" {
			err = wire.Unmarshal(b, &t)
		}
		if err != nil {
			return nil, err
		}
	}
	s.sent = append(s.sent, r.Method+" "+r.URL.Path)
	s.sizes = append(s.sizes, len(t.Then))
	status, body := s.answer(len(s.sent), r, t)
	if status == 0 {
		return nil, errCut
	}
	b, err := wire.Marshal(body)
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(b))}, nil
}

// always answers each request alike.
func always(status int, body any) *service {
	return &service{answer: func(int, *http.Request, wire.Txn) (int, any) { return status, body }}
}

// testLimits are wide.
var testLimits = settings.State{RPS: 1000, WriteRPS: 100, ValueKB: 4, TxnOps: 4}

// TestErrors has each answer of the service be taken for what it means: whether the request
// was, or may yet be, executed, and whether the service was heard.
func TestErrors(t *testing.T) {
	txn := wire.Txn{Then: []wire.Op{{Write: "c/x", Value: 1}}}
	commit := func(c *Client) error { _, err := c.Commit(context.Background(), txn); return err }
	list := func(c *Client) error { _, err := c.List(context.Background(), "c/", ""); return err }
	watch := func(c *Client) error { _, err := c.Watch(context.Background(), "c/", 7, 0); return err }
	open := func(c *Client) error { _, err := c.NewSession(context.Background(), micros.Second); return err }
	renew := func(c *Client) error { return c.RenewSession(context.Background(), 7) }
	end := func(c *Client) error { return c.EndSession(context.Background(), 7) }
	tooLarge := wire.ErrorBody{Error: "value too large"}
	cases := []struct {
		name   string
		call   func(c *Client) error
		status int
		body   any
		want   error // nil with executed: none; else one that says nothing of the execution
		known  bool  // it surely was not executed, or was
		heard  bool
	}{
		{"a transaction", commit, 200, wire.TxnAnswer{Revision: 9}, nil, true, true},
		{"a condition that failed", commit, 409, wire.TxnAnswer{Failed: []string{"c/x"}}, ErrConflict, true, true},
		{"a transaction that is too large", commit, 400, tooLarge, ErrRefused, true, true},
		{"a write by an ended session", commit, 400, wire.ErrorBody{Error: noSuchLease}, ErrNoSession, true, true},
		{"too many changes", commit, 429, nil, ErrTooMany, true, true},
		{"an outage", commit, 503, nil, ErrUnavailable, true, false},
		{"no answer", commit, 0, nil, errCut, false, false},
		{"an answer that nobody knows", commit, 500, nil, nil, false, true},
		{"a list", list, 200, wire.EntryPage{}, nil, true, true},
		{"no list", list, 404, nil, nil, false, true},
		{"a watch", watch, 200, wire.Events{}, nil, true, true},
		{"a watch from a revision that is gone", watch, 410, nil, ErrCompacted, true, true},
		{"a watch in an outage", watch, 503, nil, ErrUnavailable, true, false},
		{"a session", open, 200, wire.HoldAnswer{Hold: 7}, nil, true, true},
		{"a renewal", renew, 200, nil, nil, true, true},
		{"a renewal of an ended session", renew, 404, nil, ErrNoSession, true, true},
		{"an end", end, 204, nil, nil, true, true},
		{"an end of an ended session", end, 404, nil, ErrNoSession, true, true},
		{"an end without an answer", end, 0, nil, errCut, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := New("state", testLimits, always(c.status, c.body))
			err := c.call(client)
			switch {
			case c.known && !errors.Is(err, c.want):
				t.Errorf("error %v, want %v", err, c.want)
			case !c.known && (err == nil || errors.Is(err, ErrNotExecuted) || c.want != nil && !errors.Is(err, c.want)):
				t.Errorf("error %v, which must leave open whether it was executed", err)
			}
			notExecuted := c.want == ErrRefused || c.want == ErrTooMany || c.want == ErrUnavailable
			if errors.Is(err, ErrNotExecuted) != notExecuted {
				t.Errorf("error %v: not executed is %v, want %v", err, !notExecuted, notExecuted)
			}
			if client.Unreachable() == c.heard || (client.SinceHeard() < micros.Second) != c.heard {
				t.Errorf("unreachable %v, heard %v ago; want heard %v", client.Unreachable(), client.SinceHeard(), c.heard)
			}
		})
	}
}

// TestConflictNames has a failed transaction tell which keys it was.
func TestConflictNames(t *testing.T) {
	c := New("state", testLimits, always(409, wire.TxnAnswer{Failed: []string{"c/x", "c/y"}}))
	_, err := c.Commit(context.Background(), wire.Txn{})
	var conflict *Conflict
	if !errors.As(err, &conflict) || len(conflict.Keys) != 2 || !strings.Contains(err.Error(), "c/x c/y") {
		t.Errorf("error %v, want one that names c/x and c/y", err)
	}
}

// TestLimits counts what a client sends in ten seconds when it always has more to send, and
// what it takes for storable: the smaller of the limits before and after a change.
func TestLimits(t *testing.T) {
	half, ops, kb := 50.0, 2, 2.0
	later := settings.StateLater{RPS: &half, WriteRPS: &half, TxnOps: &ops, ValueKB: &kb}
	cases := []struct {
		name           string
		limits         settings.State
		requests       int // in ten seconds, with the burst
		changes        int // of the leader, the same
		ops, flush, kb int
	}{
		{"wide", settings.State{RPS: 100, WriteRPS: 100, ValueKB: 4, TxnOps: 8}, 550, 633, 8, 8, 4},
		{"few changes", settings.State{RPS: 100, WriteRPS: 6, ValueKB: 4, TxnOps: 8}, 550, 39, 8, 3, 4},
		{"lower later", settings.State{RPS: 100, WriteRPS: 100, ValueKB: 4, TxnOps: 8, Next: later}, 275, 316, 2, 2, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := always(200, wire.TxnAnswer{})
				client := New("state", c.limits, s)
				count := func(send func(ctx context.Context) error) (n int) {
					ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
					defer cancel()
					for send(ctx) == nil {
						n++
					}
					time.Sleep(10 * time.Second) // the burst is back
					return n
				}
				requests := count(func(ctx context.Context) error { _, err := client.List(ctx, "", ""); return err })
				one := wire.Txn{Then: []wire.Op{{Write: "c/x"}}}
				changes := count(func(ctx context.Context) error { _, err := client.CommitPaced(ctx, one); return err })
				if requests < c.requests-2 || requests > c.requests+2 || changes < min(c.changes, c.requests)-2 || changes > min(c.changes, c.requests)+2 {
					t.Errorf("%d requests and %d changes, want %d and %d", requests, changes, c.requests, min(c.changes, c.requests))
				}
				fits := strings.Repeat("x", c.kb*bytesPerKB-2)
				if client.MaxOps() != c.ops || client.FlushOps() != c.flush || !client.FitsValue(fits) || client.FitsValue(fits+"x") || !client.AcceptsValue(fits) {
					t.Errorf("%d changes, %d of the leader, want %d and %d; or values are taken for other than %d KB", client.MaxOps(), client.FlushOps(), c.ops, c.flush, c.kb)
				}
			})
		})
	}
}

// TestBatcher has writes share transactions that the service takes, refuses or does not
// answer. Each write is told its own outcome, and none is repeated whose outcome is unknown.
func TestBatcher(t *testing.T) {
	taken := func(int, *http.Request, wire.Txn) (int, any) { return 200, wire.TxnAnswer{Revision: 9} }
	has := func(t wire.Txn, key string) bool {
		for _, op := range t.Then {
			if op.Write == key {
				return true
			}
		}
		return false
	}
	cases := []struct {
		name   string
		answer func(n int, r *http.Request, t wire.Txn) (int, any)
		want   map[int]error // of other than nil, by write
		sizes  string        // of the transactions
	}{
		{"all taken", taken, nil, "[1 4 3]"},
		{"a condition fails, the others go on without it", func(_ int, _ *http.Request, t wire.Txn) (int, any) {
			if has(t, "c/2") {
				return 409, wire.TxnAnswer{Failed: []string{"c/2"}}
			}
			return 200, wire.TxnAnswer{Revision: 9}
		}, map[int]error{2: ErrConflict}, "[1 4 3 3]"},
		{"a conflict that names none of them", func(_ int, _ *http.Request, t wire.Txn) (int, any) {
			if has(t, "c/2") {
				return 409, wire.TxnAnswer{Failed: []string{"c/other"}}
			}
			return 200, wire.TxnAnswer{Revision: 9}
		}, map[int]error{1: ErrConflict, 2: ErrConflict, 3: ErrConflict, 4: ErrConflict}, "[1 4 3]"},
		{"a value is refused, halves find it", func(_ int, _ *http.Request, t wire.Txn) (int, any) {
			if has(t, "c/2") {
				return 400, wire.ErrorBody{Error: "value too large"}
			}
			return 200, wire.TxnAnswer{Revision: 9}
		}, map[int]error{2: ErrRefused}, "[1 4 2 1 1 2 3]"},
		{"their number is refused, fewer go from then on", func(_ int, _ *http.Request, t wire.Txn) (int, any) {
			if len(t.Then) > 2 {
				return 400, wire.ErrorBody{Error: "too many changes"}
			}
			return 200, wire.TxnAnswer{Revision: 9}
		}, nil, "[1 4 2 2 2 1]"},
		{"no answer", func(n int, _ *http.Request, _ wire.Txn) (int, any) {
			if n == 2 {
				return 0, nil
			}
			return 200, wire.TxnAnswer{Revision: 9}
		}, map[int]error{1: errCut, 2: errCut, 3: errCut, 4: errCut}, "[1 4 3]"},
		{"too many at once", func(n int, _ *http.Request, _ wire.Txn) (int, any) {
			if n == 2 {
				return 429, nil
			}
			return 200, wire.TxnAnswer{Revision: 9}
		}, map[int]error{1: ErrTooMany, 2: ErrTooMany, 3: ErrTooMany, 4: ErrTooMany}, "[1 4 3]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &service{answer: func(n int, r *http.Request, txn wire.Txn) (int, any) {
					if n == 1 {
						time.Sleep(time.Second) // the others gather meanwhile
					}
					return c.answer(n, r, txn)
				}}
				b := NewBatcher(New("state", testLimits, s))
				var errs [8]error
				for i := range errs {
					go func() { _, errs[i] = b.Put(context.Background(), fmt.Sprintf("c/%d", i), 0, i) }()
					time.Sleep(time.Millisecond)
				}
				time.Sleep(5 * time.Second)
				for i, err := range errs {
					if !errors.Is(err, c.want[i]) {
						t.Errorf("write %d: %v, want %v", i, err, c.want[i])
					}
				}
				if got := fmt.Sprint(s.sizes); got != c.sizes {
					t.Errorf("transactions of %s changes, want %s", got, c.sizes)
				}
			})
		})
	}
}
