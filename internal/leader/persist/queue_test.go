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

// testQueue is a queue that records the calls of its callbacks.
type testQueue struct {
	*Queue
	values       map[string]any // values that Encode returns, by key
	stored       []string       // keys whose OnStored was called
	termLost     bool
	exclusive    bool
	mu           sync.Mutex
	transactions []wire.Txn
}

// newTestQueue returns a queue for a state service that answers each transaction with the status and body
// that respond returns.
func newTestQueue(t *testing.T, respond func(txn wire.Txn) (status int, body any)) *testQueue {
	t.Helper()
	q := &testQueue{values: map[string]any{}, exclusive: true}
	store := statestore.New("state", settings.State{RPS: 100, WriteRPS: 100, ValueKB: 8, TxnOps: 6}, fakeStateService(func(txn wire.Txn) (int, any) {
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

// enqueueValue schedules an urgent write of a value under a key.
func (q *testQueue) enqueueValue(key string, value any) {
	q.values[key] = value
	q.Enqueue(key)
}

// fakeStateService is a state service that accepts only transactions.
type fakeStateService func(txn wire.Txn) (status int, body any)

// RoundTrip implements http.RoundTripper.
func (f fakeStateService) RoundTrip(r *http.Request) (*http.Response, error) {
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

// keysOf returns the keys of writes.
func keysOf(writes []Write) (keys []string) {
	for _, w := range writes {
		keys = append(keys, w.Key)
	}
	return keys
}

// TestRejectedTransactions checks that a transaction rejected by the state service is never sent again with
// the same content, and that all of its values that can be stored are stored.
func TestRejectedTransactions(t *testing.T) {
	cases := []struct {
		name    string
		rejects func(writes []Write) bool
		lost    string // the key whose value cannot be stored
		maxOps  int    // maximum number of changes in a transaction, once the queue is empty
	}{
		{"nothing", func([]Write) bool { return false }, "", 6},
		{"more than two changes", func(writes []Write) bool { return len(writes) > 2 }, "", 2},
		{"one value", func(writes []Write) bool { return slices.Contains(keysOf(writes), "c/j/j-000104") }, "c/j/j-000104", 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newTestQueue(t, nil)
			for i := range 8 {
				q.enqueueValue(fmt.Sprintf("%sj-%06d", replica.JobPrefix, 101+i), replica.Job{State: wire.JobDone})
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
					t.Fatalf("transaction %d with keys %s was rejected, same keys rejected before: %t; want no keys rejected twice, and no rejection after transaction 50", n, keys, sent[keys])
				}
				sent[keys] = true
				q.HandleRejection(writes, errors.New("rejected"))
			}
			want := 8
			if c.lost != "" {
				want--
				q.Enqueue(c.lost)
				if writes, _ := q.Collect(); len(writes) != 0 {
					t.Errorf("the next transaction has %v, want no value as large as the rejected one", keysOf(writes))
				}
				q.enqueueValue(c.lost, "")
				if writes, _ := q.Collect(); !slices.Equal(keysOf(writes), []string{c.lost}) {
					t.Errorf("the next transaction has %v, want a value of %s that is smaller than the rejected one", keysOf(writes), c.lost)
				}
			}
			if stored != want || q.MaxOps() != c.maxOps {
				t.Errorf("%d values stored, at most %d changes per transaction; want %d, %d", stored, q.MaxOps(), want, c.maxOps)
			}
		})
	}
}

// TestWritesOrderedByPriority checks that pending keys of all kinds are written by priority and then by name.
func TestWritesOrderedByPriority(t *testing.T) {
	const lowPriorityKey = replica.JobPrefix + "j-000009"
	want := []string{
		replica.JobPrefix + "j-000001",
		replica.JobPrefix + "j-000002",
		replica.MachineListPrefix + "0",
		replica.ZonesKey,
		replica.AutoscalerKey,
		replica.LaunchIntentPrefix + "r-1",
		lowPriorityKey,
		replica.ProgressPrefix + "j-000001/0",
		"c/other",
	}
	q := newTestQueue(t, nil)
	for _, key := range slices.Backward(want) {
		if q.values[key] = 1; key != lowPriorityKey {
			q.Enqueue(key)
		}
		q.EnqueueLowPriority(key) // an urgent key remains urgent
		if q.IsUrgent(key) == (key == lowPriorityKey) {
			t.Errorf("%s is urgent: %t, want %t", key, q.IsUrgent(key), key != lowPriorityKey)
		}
	}
	first, more := q.Collect()
	second, last := q.Collect()
	if got := keysOf(append(slices.Clone(first), second...)); !slices.Equal(got, want) || len(first) != 6 || !more || last {
		t.Errorf("written %v, %d of them in the first transaction; more pending after the first: %t, after the second: %t; want %v, 6, true, false", got, len(first), more, last, want)
	}
}

// TestCollect checks which of the enqueued keys are in the next transaction.
func TestCollect(t *testing.T) {
	large := strings.Repeat("x", wire.MaxBodyBytes/2)
	cases := []struct {
		name string
		edit func(q *testQueue)
		want []string
		more bool
	}{
		{"nothing enqueued", func(*testQueue) {}, nil, false},
		{"one key", func(q *testQueue) { q.enqueueValue("c/a", 1) }, []string{"c/a"}, false},
		{"enqueued twice", func(q *testQueue) { q.enqueueValue("c/a", 1); q.enqueueValue("c/a", 2) }, []string{"c/a"}, false},
		{"removed", func(q *testQueue) { q.enqueueValue("c/a", 1); q.Remove("c/a") }, nil, false},
		{"without a value", func(q *testQueue) { q.Enqueue("c/a"); q.enqueueValue("c/b", 1) }, []string{"c/b"}, false},
		{"to be deleted", func(q *testQueue) { q.enqueueValue("c/a", nil) }, []string{"c/a"}, false},
		{"too large for one transaction", func(q *testQueue) { q.enqueueValue("c/a", large); q.enqueueValue("c/b", large) }, []string{"c/a"}, true},
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

// TestFlushOutcomes checks how each kind of response to a transaction is handled. The transaction must be
// conditional on the leader key and on the mod revision of its key, and its write counts as stored only after
// a response that says so.
func TestFlushOutcomes(t *testing.T) {
	const key = replica.JobPrefix + "j-000001"
	type outcome struct {
		sent, stored, termLost bool
		pending                bool // the key is still to be written
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
		{"another node may lead", false, http.StatusOK, wire.TxnResponse{Revision: 60}, outcome{pending: true}},
		{"a newer term has begun", true, http.StatusConflict, wire.TxnResponse{FailedKeys: []string{replica.LeaderKey}}, outcome{sent: true, termLost: true}},
		{"its key has changed", true, http.StatusConflict, wire.TxnResponse{FailedKeys: []string{key}}, outcome{sent: true, pending: true}},
		{"rejected", true, http.StatusBadRequest, wire.ErrorResponse{Message: "value too large"}, outcome{sent: true, continues: true}},
		{"no response", true, 0, nil, outcome{sent: true, pending: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newTestQueue(t, func(wire.Txn) (int, any) { return c.status, c.body })
			q.exclusive = c.exclusive
			q.Replica.ApplyPut(key, replica.Job{State: wire.JobPending}, 44)
			q.enqueueValue(key, replica.Job{State: wire.JobDone})
			continues := q.flush(t.Context())
			got := outcome{sent: len(q.transactions) == 1, stored: len(q.stored) == 1, termLost: q.termLost, pending: q.IsUrgent(key), continues: continues}
			if got != c.want {
				t.Fatalf("outcome %+v, want %+v", got, c.want)
			}
			if c.want.sent {
				conditions := []wire.Compare{{Key: replica.LeaderKey, ModRevision: leaderKeyRevision}, {Key: key, ModRevision: 44}}
				if txn := q.transactions[0]; !slices.Equal(txn.If, conditions) || len(txn.Then) != 1 || txn.Then[0].Put != key {
					t.Errorf("sent %+v, want conditions %+v and a write of %s", txn, conditions, key)
				}
			}
			if revision := q.Replica.ModRevision(key); (revision == 60) != c.want.stored {
				t.Errorf("the replica has revision %d of the key; is 60: %t, want %t", revision, revision == 60, c.want.stored)
			}
			if q.IsDrained() == c.want.pending {
				t.Errorf("drained: %t, want %t", q.IsDrained(), !c.want.pending)
			}
		})
	}
}
