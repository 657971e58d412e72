package statestore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/wire"
)

// TestBatcher has puts share transactions that the service carries out, rejects or does not
// respond to. Each put gets its own outcome, and none is repeated whose outcome is unknown.
func TestBatcher(t *testing.T) {
	withKey := func(_ int, keys []string) bool { return slices.Contains(keys, "c/2") }
	second := func(n int, _ []string) bool { return n == 2 }
	many := func(_ int, keys []string) bool { return len(keys) > 2 }
	all := func(err error) map[int]error { return map[int]error{1: err, 2: err, 3: err, 4: err} }
	cases := []struct {
		name  string
		where func(n int, keys []string) bool // requests that get this response
		response
		want  map[int]error // other than nil, by put
		sizes string        // operations of the transactions
	}{
		{"all are carried out", second, response{200, wire.TxnResponse{Revision: 9}}, nil, "[1 4 3]"},
		{"a condition fails, the others are carried out without it", withKey, response{409, wire.TxnResponse{FailedKeys: []string{"c/2"}}}, map[int]error{2: ErrConflict}, "[1 4 3 3]"},
		{"a conflict that names none of them", withKey, response{409, wire.TxnResponse{FailedKeys: []string{"c/other"}}}, all(ErrConflict), "[1 4 3]"},
		{"a value is rejected, halves find it", withKey, response{400, wire.ErrorResponse{Message: "value too large"}}, map[int]error{2: ErrRejected}, "[1 4 2 1 1 2 3]"},
		{"their number is rejected, transactions are smaller from then on", many, response{400, wire.ErrorResponse{Message: "too many changes"}}, nil, "[1 4 2 2 2 1]"},
		{"no response", second, response{}, all(errNoResponse), "[1 4 3]"},
		{"rate limited", second, response{429, nil}, all(ErrRateLimited), "[1 4 3]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, sizes := fakeService(func(n int, keys []string) response {
					if n == 1 {
						time.Sleep(time.Second) // the other puts gather meanwhile
					}
					if c.where(n, keys) {
						return c.response
					}
					return response{200, wire.TxnResponse{Revision: 9}}
				}).client(testLimits)
				b := NewBatcher(client)
				var errs [8]error
				for i := range errs {
					go func() { _, errs[i] = b.Put(context.Background(), fmt.Sprintf("c/%d", i), 0, i) }()
					time.Sleep(time.Millisecond)
				}
				time.Sleep(5 * time.Second)
				synctest.Wait() // orders what the puts wrote before what is read below
				for i, err := range errs {
					if !errors.Is(err, c.want[i]) {
						t.Errorf("put %d: %v, want %v", i, err, c.want[i])
					}
				}
				if got := fmt.Sprint(*sizes); got != c.sizes {
					t.Errorf("transactions of %s operations, want %s", got, c.sizes)
				}
			})
		})
	}
}
