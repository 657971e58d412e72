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

// TestBatcherOutcomes checks that each of several puts in a transaction gets its own outcome when the service executes
// the transaction, rejects it or does not respond, and that a put whose outcome is unknown is not repeated.
func TestBatcherOutcomes(t *testing.T) {
	withKey := func(_ int, keys []string) bool { return slices.Contains(keys, "c/2") }
	second := func(n int, _ []string) bool { return n == 2 }
	many := func(_ int, keys []string) bool { return len(keys) > 2 }
	all := func(err error) map[int]error { return map[int]error{1: err, 2: err, 3: err, 4: err} }
	cases := []struct {
		name  string
		where func(n int, keys []string) bool // selects the requests that get this response
		response
		want  map[int]error // errors other than nil, by number of the put
		sizes string        // number of operations in each transaction
	}{
		{"all puts are executed", second, response{200, wire.TxnResponse{Revision: 9}}, nil, "[1 4 3]"},
		{"one condition fails, the other puts are executed", withKey, response{409, wire.TxnResponse{FailedKeys: []string{"c/2"}}}, map[int]error{2: ErrConflict}, "[1 4 3 3]"},
		{"a conflict names no key of the batch", withKey, response{409, wire.TxnResponse{FailedKeys: []string{"c/other"}}}, all(ErrConflict), "[1 4 3]"},
		{"one value is rejected, splitting isolates it", withKey, response{400, wire.ErrorResponse{Message: "value too large"}}, map[int]error{2: ErrRejected}, "[1 4 2 1 1 2 3]"},
		{"too many operations are rejected, later transactions are smaller", many, response{400, wire.ErrorResponse{Message: "too many changes"}}, nil, "[1 4 2 2 2 1]"},
		{"no response", second, response{}, all(errNoResponse), "[1 4 3]"},
		{"rate limited", second, response{429, nil}, all(ErrRateLimited), "[1 4 3]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, sizes := fakeService(func(n int, keys []string) response {
					if n == 1 {
						time.Sleep(time.Second) // the other puts become pending meanwhile
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
				synctest.Wait() // orders the writes to errs before the reads below
				for i, err := range errs {
					if !errors.Is(err, c.want[i]) {
						t.Errorf("put %d: error %v, want %v", i, err, c.want[i])
					}
				}
				if got := fmt.Sprint(*sizes); got != c.sizes {
					t.Errorf("transactions of %s operations, want %s", got, c.sizes)
				}
			})
		})
	}
}
