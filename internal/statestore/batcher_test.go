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
