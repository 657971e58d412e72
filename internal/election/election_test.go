package election

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/statestore"
)

// noPeers are peers that say nothing.
type noPeers struct{}

func (noPeers) LastConfirmed(uint64) micros.Micros   { return 0 }
func (noPeers) AbstainingUntil(uint64) micros.Micros { return 0 }
func (noPeers) TokenKnownSince(uint64) micros.Micros { return 0 }

// abstention is how long a node abstains from leading in these tests.
const abstention = 1500 * micros.Millisecond

// TestAbstentions has a node that may lead at once abstain, or come back within a moment of
// an abstention of its earlier life: it must not lead before that is over. A leader whose
// session has ended still acts for as long (see Term.Sure), and would start
// what its successor starts elsewhere (TestDelayedChangesAfterSessionEnd).
func TestAbstentions(t *testing.T) {
	cases := []struct {
		name     string
		abstains []time.Duration // after the node's start
		leads    time.Duration   // not before; at most half a second later
	}{
		{"none, a first life: one before it may have abstained", nil, abstention.Duration()},
		{"one at its start", []time.Duration{0}, abstention.Duration()},
		{"one a second later", []time.Duration{time.Second}, time.Second + abstention.Duration()},
		{"again and again", []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, 3*time.Second + abstention.Duration()},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				net, state := fake.NewNetwork(), fake.NewStateService()
				net.Handle("state", state)
				store := statestore.New("state", settings.State{RPS: 200, WriteRPS: 60, ValueKB: 8, TxnOps: 6}, net.From("host-0/1"))
				copied := replica.New(store)
				began := time.Now()
				led := make(chan time.Duration, 1)
				e := New(Config{
					Member:        "host-0",
					Store:         store,
					Replica:       copied,
					Peers:         noPeers{},
					MaxAbstention: abstention,
					OnElected: func(ctx context.Context, _ *Term) {
						led <- time.Since(began)
						<-ctx.Done()
					},
				})
				go copied.Run(ctx)
				go e.Run(ctx)
				for _, at := range tc.abstains {
					time.AfterFunc(at, func() {
						if !e.Abstain(abstention) {
							t.Errorf("it does not abstain after %v", at)
						}
					})
				}
				if after := <-led; after < tc.leads || after > tc.leads+500*time.Millisecond {
					t.Errorf("it leads after %v, want %v", after, tc.leads)
				}
				if e.Abstain(abstention) {
					t.Error("a leader abstains from leading")
				}
				cancel()
				time.Sleep(time.Minute)
				state.Close()
			})
		})
	}
}

// TestYieldsAfterItsTerm has a leader hand over where nobody else leads: it lets others go first
// for the whole time, counted from the end of its own term, and then leads again.
func TestYieldsAfterItsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		net, state := fake.NewNetwork(), fake.NewStateService()
		net.Handle("state", state)
		store := statestore.New("state", settings.State{RPS: 200, WriteRPS: 60, ValueKB: 8, TxnOps: 6}, net.From("host-0/1"))
		copied := replica.New(store)
		const yields = 2 * time.Second
		terms, ended := make(chan time.Time, 2), time.Time{}
		e := New(Config{
			Member:   "host-0",
			Store:    store,
			Replica:  copied,
			Peers:    noPeers{},
			YieldFor: func() micros.Micros { return micros.Micros(yields / time.Microsecond) },
			OnElected: func(ctx context.Context, _ *Term) {
				terms <- time.Now()
				if len(terms) == 1 {
					time.Sleep(5 * time.Second)
					var l replica.Leader
					if _, err := copied.Get(replica.LeaderKey, &l); err != nil {
						t.Error(err)
					}
					if err := store.EndSession(ctx, l.SessionID); err != nil {
						t.Error(err)
					}
					time.Sleep(time.Second) // it sees that nobody leads before the term ends here
					ended = time.Now()
					return
				}
				<-ctx.Done()
			},
		})
		go copied.Run(ctx)
		go e.Run(ctx)
		time.Sleep(20 * time.Second)
		if len(terms) != 2 {
			t.Fatalf("%d terms", len(terms))
		}
		<-terms
		if after := (<-terms).Sub(ended); after < yields || after > yields+time.Second {
			t.Errorf("it leads again %v after its term, want %v", after, yields)
		}
		cancel()
		time.Sleep(time.Minute)
		state.Close()
	})
}
