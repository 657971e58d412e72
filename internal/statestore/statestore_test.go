package statestore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// answer is what the service says to a request; with status 0 there is no answer.
type answer struct {
	status int
	body   any
}

// service answers its nth request, with the keys that a transaction writes.
type service func(n int, keys []string) answer

// errCut is what a request meets that gets no answer.
var errCut = errors.New("cut")

// client talks to a service, and notes how many changes each of its transactions has.
func (s service) client(limits settings.State) (c *Client, sizes *[]int) {
	sizes = &[]int{}
	return New("state", limits, roundTrip(func(r *http.Request) (*http.Response, error) {
		var t wire.Txn
		if r.URL.Path == "/txn" {
			b, err := io.ReadAll(r.Body)
			if err = errors.Join(err, wire.Unmarshal(b, &t)); err != nil {
				return nil, err
			}
		}
		var keys []string
		for _, op := range t.Then {
			keys = append(keys, op.Put)
		}
		*sizes = append(*sizes, len(keys))
		a := s(len(*sizes), keys)
		b, err := wire.Marshal(a.body)
		if a.status == 0 {
			err = errCut
		}
		return &http.Response{StatusCode: a.status, Body: io.NopCloser(bytes.NewReader(b))}, err
	})), sizes
}

// roundTrip is a transport.
type roundTrip func(r *http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// testLimits are wide.
var testLimits = settings.State{RPS: 1000, WriteRPS: 100, ValueKB: 4, TxnOps: 4}

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
		{"a write by an ended session", commit, answer{400, wire.ErrorResponse{Message: errorNoSuchLease}}, ErrSessionNotFound, true, true},
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

// TestLimits counts what a client sends in ten seconds when it always has more to send, and
// what it takes for storable: the smaller of the limits before and after a change.
func TestLimits(t *testing.T) {
	half, ops, kb := 50.0, 2, 2.0
	later := settings.UpcomingLimits{RPS: &half, WriteRPS: &half, TxnOps: &ops, ValueKB: &kb}
	cases := []struct {
		name           string
		limits         settings.State
		requests       int // in ten seconds, with the burst
		changes        int // of the leader, the same
		ops, flush, kb int
	}{
		{"wide", settings.State{RPS: 200, WriteRPS: 100, ValueKB: 4, TxnOps: 8}, 1100, 633, 8, 8, 4},
		{"few changes", settings.State{RPS: 100, WriteRPS: 6, ValueKB: 4, TxnOps: 8}, 550, 39, 8, 3, 4},
		{"lower later", settings.State{RPS: 100, WriteRPS: 100, ValueKB: 4, TxnOps: 8, Upcoming: later}, 275, 275, 2, 2, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, _ := service(func(int, []string) answer { return answer{200, wire.TxnResponse{}} }).client(c.limits)
				count := func(send func(ctx context.Context) error) (n int) {
					ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
					defer cancel()
					for send(ctx) == nil {
						n++
					}
					time.Sleep(10 * time.Second) // the burst is back
					return n
				}
				near := func(got, want int) bool { return got >= want-2 && got <= want+2 }
				requests := count(func(ctx context.Context) error { _, err := client.ListPage(ctx, "", ""); return err })
				one := wire.Txn{Then: []wire.Op{{Put: "c/x"}}}
				changes := count(func(ctx context.Context) error { _, err := client.CommitRateLimited(ctx, one); return err })
				if !near(requests, c.requests) || !near(changes, c.changes) {
					t.Errorf("%d requests and %d changes, want %d and %d", requests, changes, c.requests, c.changes)
				}
				fits := strings.Repeat("x", c.kb*bytesPerKB-2)
				if client.MaxOps() != c.ops || client.MaxLeaderOps() != c.flush || !client.ValueAlwaysFits(fits) || client.ValueAlwaysFits(fits+"x") || !client.ValueFitsNow(fits) {
					t.Errorf("%d changes, %d of the leader, want %d and %d; or values are taken for other than %d KB", client.MaxOps(), client.MaxLeaderOps(), c.ops, c.flush, c.kb)
				}
			})
		})
	}
}

// TestBatcher has writes share transactions that the service takes, refuses or does not
// answer. Each write is told its own outcome, and none is repeated whose outcome is unknown.
func TestBatcher(t *testing.T) {
	withKey := func(_ int, keys []string) bool { return slices.Contains(keys, "c/2") }
	second := func(n int, _ []string) bool { return n == 2 }
	many := func(_ int, keys []string) bool { return len(keys) > 2 }
	all := func(err error) map[int]error { return map[int]error{1: err, 2: err, 3: err, 4: err} }
	cases := []struct {
		name  string
		where func(n int, keys []string) bool // the answer is this one
		answer
		want  map[int]error // of other than nil, by write
		sizes string        // of the transactions
	}{
		{"all taken", second, answer{200, wire.TxnResponse{Revision: 9}}, nil, "[1 4 3]"},
		{"a condition fails, the others go on without it", withKey, answer{409, wire.TxnResponse{FailedKeys: []string{"c/2"}}}, map[int]error{2: ErrConflict}, "[1 4 3 3]"},
		{"a conflict that names none of them", withKey, answer{409, wire.TxnResponse{FailedKeys: []string{"c/other"}}}, all(ErrConflict), "[1 4 3]"},
		{"a value is refused, halves find it", withKey, answer{400, wire.ErrorResponse{Message: "value too large"}}, map[int]error{2: ErrRejected}, "[1 4 2 1 1 2 3]"},
		{"their number is refused, fewer go from then on", many, answer{400, wire.ErrorResponse{Message: "too many changes"}}, nil, "[1 4 2 2 2 1]"},
		{"no answer", second, answer{}, all(errCut), "[1 4 3]"},
		{"too many at once", second, answer{429, nil}, all(ErrRateLimited), "[1 4 3]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, sizes := service(func(n int, keys []string) answer {
					if n == 1 {
						time.Sleep(time.Second) // the others gather meanwhile
					}
					if c.where(n, keys) {
						return c.answer
					}
					return answer{200, wire.TxnResponse{Revision: 9}}
				}).client(testLimits)
				b := NewBatcher(client)
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
				if got := fmt.Sprint(*sizes); got != c.sizes {
					t.Errorf("transactions of %s changes, want %s", got, c.sizes)
				}
			})
		})
	}
}
