package persist

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// leaderKeyRevision is the mod revision of the leader key in the tests.
const leaderKeyRevision = 33

// testQueue is a queue with what its callbacks have seen.
type testQueue struct {
	*Queue
	values       map[string]any // that Encode makes
	stored       []string       // keys whose OnStored was called
	termLost     bool
	exclusive    bool
	mu           sync.Mutex
	transactions []wire.Txn
}

// newTestQueue makes a queue over a service that responds to its transactions with a status and a body.
func newTestQueue(t *testing.T, respond func(txn wire.Txn) (status int, body any)) *testQueue {
	t.Helper()
	q := &testQueue{values: map[string]any{}, exclusive: true}
	store := statestore.New("state", settings.State{RPS: 100, WriteRPS: 100, ValueKB: 8, TxnOps: 6}, transport(func(txn wire.Txn) (int, any) {
		q.transactions = append(q.transactions, txn)
		return respond(txn)
	}))
	stored := replica.New(store)
	q.Queue = NewQueue(Config{
		Lock:              &q.mu,
		Store:             store,
		Replica:           stored,
		LeaderKeyRevision: leaderKeyRevision,
		MayWrite:          func() bool { return q.exclusive },
		Encode: func(key string) (Write, bool) {
			value, ok := q.values[key]
			return Write{Key: key, ModRevision: stored.ModRevision(key), Value: value, OnStored: func() { q.stored = append(q.stored, key) }}, ok
		},
		OnTermLost: func() { q.termLost = true },
	})
	return q
}

// mark has a value written under a key.
func (q *testQueue) mark(key string, value any) {
	q.values[key] = value
	q.Enqueue(key)
}

// transport is a state service that only takes transactions.
type transport func(txn wire.Txn) (status int, body any)

// RoundTrip implements http.RoundTripper.
func (f transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path != wire.PathTransactions {
		return nil, errors.New("no response")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	var txn wire.Txn
	if err := wire.Unmarshal(body, &txn); err != nil {
		return nil, err
	}
	status, message := f(txn)
	if status == 0 {
		return nil, errors.New("no response")
	}
	response, err := wire.Marshal(message)
	return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(response))}, err
}

// keysOf lists the keys of writes.
func keysOf(writes []Write) (keys []string) {
	for _, w := range writes {
		keys = append(keys, w.Key)
	}
	return keys
}

// TestRejectedTransactions has the state service reject transactions as they are. None is sent
// again with the same content, and what can be stored is.
func TestRejectedTransactions(t *testing.T) {
	cases := []struct {
		name    string
		rejects func(writes []Write) bool
		lost    string // the key that cannot be stored
		maxOps  int    // in a transaction afterwards
	}{
		{"nothing", func([]Write) bool { return false }, "", 6},
		{"more than two changes", func(writes []Write) bool { return len(writes) > 2 }, "", 2},
		{"one value", func(writes []Write) bool { return slices.Contains(keysOf(writes), "c/j/j-000104") }, "c/j/j-000104", 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newTestQueue(t, nil)
			for i := range 8 {
				q.mark(fmt.Sprintf("%sj-%06d", replica.JobPrefix, 101+i), replica.Job{State: wire.JobDone})
			}
			sent, stored := map[string]bool{}, 0
			for n := 0; q.Len() > 0; n++ {
				writes, _ := q.Collect()
				if !c.rejects(writes) {
					stored += len(writes)
					continue
				}
				keys := strings.Join(keysOf(writes), " ")
				if sent[keys] || n > 50 {
					t.Fatalf("sent again as it was rejected: %s", keys)
				}
				sent[keys] = true
				q.HandleRejection(writes, errors.New("rejected"))
			}
			want := 8
			if c.lost != "" {
				want--
				q.Enqueue(c.lost)
				if writes, _ := q.Collect(); len(writes) != 0 {
					t.Errorf("a value as large as the one rejected is sent")
				}
				q.mark(c.lost, "")
				if writes, _ := q.Collect(); !slices.Equal(keysOf(writes), []string{c.lost}) {
					t.Errorf("a smaller value than the one rejected is not sent, but %v", keysOf(writes))
				}
			}
			if stored != want || q.MaxOps() != c.maxOps {
				t.Errorf("%d stored, then %d changes at a time; want %d, %d", stored, q.MaxOps(), want, c.maxOps)
			}
		})
	}
}

// TestPriority has keys of all kinds wait, which are written by what waits for them and then by name.
func TestPriority(t *testing.T) {
	const lazy = replica.JobPrefix + "j-000009"
	want := []string{
		replica.JobPrefix + "j-000001",
		replica.JobPrefix + "j-000002",
		replica.MachineListPrefix + "0",
		replica.ZonesKey,
		replica.AutoscalerKey,
		replica.LaunchIntentPrefix + "r-1",
		lazy,
		replica.ProgressPrefix + "j-000001/0",
		"c/other",
	}
	q := newTestQueue(t, nil)
	for _, key := range slices.Backward(want) {
		if q.values[key] = 1; key != lazy {
			q.Enqueue(key)
		}
		q.EnqueueLowPriority(key) // what is urgent stays so
		if q.IsUrgent(key) == (key == lazy) {
			t.Errorf("%s is urgent: %t", key, q.IsUrgent(key))
		}
	}
	first, more := q.Collect()
	second, last := q.Collect()
	if got := keysOf(append(slices.Clone(first), second...)); !slices.Equal(got, want) || len(first) != 6 || !more || last {
		t.Errorf("written %v in transactions of %d and %d, more %t and %t; want %v", got, len(first), len(second), more, last, want)
	}
}

// TestCollect has keys marked of which not all are to be written.
func TestCollect(t *testing.T) {
	large := strings.Repeat("x", wire.MaxBodyBytes/2)
	cases := []struct {
		name string
		edit func(q *testQueue)
		want []string
		more bool
	}{
		{"nothing marked", func(*testQueue) {}, nil, false},
		{"one key", func(q *testQueue) { q.mark("c/a", 1) }, []string{"c/a"}, false},
		{"marked twice", func(q *testQueue) { q.mark("c/a", 1); q.mark("c/a", 2) }, []string{"c/a"}, false},
		{"unmarked", func(q *testQueue) { q.mark("c/a", 1); q.Remove("c/a") }, nil, false},
		{"without a value any more", func(q *testQueue) { q.Enqueue("c/a"); q.mark("c/b", 1) }, []string{"c/b"}, false},
		{"to be deleted", func(q *testQueue) { q.mark("c/a", nil) }, []string{"c/a"}, false},
		{"too large for one transaction", func(q *testQueue) { q.mark("c/a", large); q.mark("c/b", large) }, []string{"c/a"}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newTestQueue(t, nil)
			c.edit(q)
			writes, more := q.Collect()
			if got := keysOf(writes); !slices.Equal(got, c.want) || more != c.more {
				t.Errorf("collected %v, more %t; want %v, %t", got, more, c.want, c.more)
			}
		})
	}
}

// TestFlush has the state service respond to a transaction in each way. The transaction depends on the leader
// key and on the mod revision of its key, and its write counts as stored only after a response that says so.
func TestFlush(t *testing.T) {
	const key = replica.JobPrefix + "j-000001"
	type outcome struct {
		sent, stored, termLost bool
		waits                  bool // the key is still to be written
		continues              bool // the next transaction may follow at once
	}
	cases := []struct {
		name      string
		exclusive bool
		status    int // 0: no response
		body      any
		want      outcome
	}{
		{"carried out", true, http.StatusOK, wire.TxnResponse{Revision: 60}, outcome{sent: true, stored: true}},
		{"another node may lead", false, http.StatusOK, wire.TxnResponse{Revision: 60}, outcome{waits: true}},
		{"a newer term has begun", true, http.StatusConflict, wire.TxnResponse{FailedKeys: []string{replica.LeaderKey}}, outcome{sent: true, termLost: true}},
		{"its key has changed", true, http.StatusConflict, wire.TxnResponse{FailedKeys: []string{key}}, outcome{sent: true, waits: true}},
		{"rejected", true, http.StatusBadRequest, wire.ErrorResponse{Message: "value too large"}, outcome{sent: true, continues: true}},
		{"no response", true, 0, nil, outcome{sent: true, waits: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newTestQueue(t, func(wire.Txn) (int, any) { return c.status, c.body })
			q.exclusive = c.exclusive
			q.Replica.ApplyPut(key, replica.Job{State: wire.JobPending}, 44)
			q.mark(key, replica.Job{State: wire.JobDone})
			continues := q.flush(t.Context())
			got := outcome{sent: len(q.transactions) == 1, stored: len(q.stored) == 1, termLost: q.termLost, waits: q.IsUrgent(key), continues: continues}
			if got != c.want {
				t.Fatalf("%+v, want %+v", got, c.want)
			}
			if c.want.sent {
				conditions := []wire.Compare{{Key: replica.LeaderKey, ModRevision: leaderKeyRevision}, {Key: key, ModRevision: 44}}
				if txn := q.transactions[0]; !slices.Equal(txn.If, conditions) || len(txn.Then) != 1 || txn.Then[0].Put != key {
					t.Errorf("sent %+v, want conditions %+v and a write of %s", txn, conditions, key)
				}
			}
			if revision := q.Replica.ModRevision(key); (revision == 60) != c.want.stored {
				t.Errorf("the replica has revision %d", revision)
			}
			if q.IsDrained() == c.want.waits {
				t.Errorf("drained %t with the key waiting %t", q.IsDrained(), c.want.waits)
			}
		})
	}
}
