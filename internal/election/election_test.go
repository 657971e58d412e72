package election

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/standin"
	"caperlatch/internal/statestore"
)

// noPeers are peers that say nothing.
type noPeers struct{}

func (noPeers) Confirmed(uint64) micros.Micros  { return 0 }
func (noPeers) Promised(uint64) micros.Micros   { return 0 }
func (noPeers) KnownSince(uint64) micros.Micros { return 0 }

// promiseLife is how long a promise binds in these tests.
const promiseLife = 1500 * micros.Millisecond

// TestPromises has a node that may lead at once give a promise, or come back within a
// moment of one that its earlier life gave: it must not lead before the promise is over.
// A leader whose hold has ended still acts for as long (see Term.Sure), and would start
// what its successor starts elsewhere (TestNewsBeforeTheEnd).
func TestPromises(t *testing.T) {
	cases := []struct {
		name     string
		promises []time.Duration // after the node's start
		leads    time.Duration   // not before; at most half a second later
	}{
		{"none, a first life: one before it may have promised", nil, promiseLife.Duration()},
		{"one at its start", []time.Duration{0}, promiseLife.Duration()},
		{"one a second later", []time.Duration{time.Second}, time.Second + promiseLife.Duration()},
		{"again and again", []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, 3*time.Second + promiseLife.Duration()},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				net, state := standin.NewNet(), standin.NewState()
				net.Handle("state", state)
				store := statestore.New("state", settings.State{RPS: 200, WriteRPS: 60, ValueKB: 8, TxnOps: 6}, net.From("host-0/1"))
				copied := replica.New(store)
				began := time.Now()
				led := make(chan time.Duration, 1)
				e := New("host-0", store, copied, noPeers{}, promiseLife, func(ctx context.Context, _ *Term) {
					led <- time.Since(began)
					<-ctx.Done()
				})
				go copied.Run(ctx)
				go e.Run(ctx)
				for _, at := range tc.promises {
					time.AfterFunc(at, func() {
						if !e.Promise(promiseLife) {
							t.Errorf("it does not promise after %v", at)
						}
					})
				}
				if after := <-led; after < tc.leads || after > tc.leads+500*time.Millisecond {
					t.Errorf("it leads after %v, want %v", after, tc.leads)
				}
				if e.Promise(promiseLife) {
					t.Error("a leader promises not to lead")
				}
				cancel()
				time.Sleep(time.Minute)
				state.Close()
			})
		})
	}
}
