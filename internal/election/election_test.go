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

// silentPeers are peers that never answered.
type silentPeers struct{}

func (silentPeers) LastConfirmed(uint64) micros.Micros   { return 0 }
func (silentPeers) AbstainingUntil(uint64) micros.Micros { return 0 }
func (silentPeers) TokenKnownSince(uint64) micros.Micros { return 0 }

// abstentionTTL is for how long a node abstains from campaigning in these tests.
const abstentionTTL = 1500 * micros.Millisecond

// testNode is a node that campaigns at a simulated state service.
type testNode struct {
	state    *fake.StateService
	store    *statestore.Client
	replica  *replica.Replica
	election *Election
}

// newTestNode makes a node whose election has the rest of a configuration.
func newTestNode(config Config) *testNode {
	net, state := fake.NewNetwork(), fake.NewStateService()
	net.Handle("state", state)
	store := statestore.New("state", settings.State{RPS: 200, WriteRPS: 60, ValueKB: 8, TxnOps: 6}, net.From("host-0/1"))
	config.Member, config.Store, config.Replica, config.Peers = "host-0", store, replica.New(store), silentPeers{}
	return &testNode{state, store, config.Replica, New(config)}
}

// start has the node take part. stop ends it, and returns a minute of simulated time later.
func (n *testNode) start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go n.replica.Run(ctx)
	go n.election.Run(ctx)
	return func() {
		cancel()
		time.Sleep(time.Minute)
		n.state.Close()
	}
}

// TestAbstentions has a node that may campaign at once abstain, or restart shortly after its earlier process agreed
// to abstain: it must not lead before that is over. A leader whose session has ended still acts for as long (see
// Term.IsExclusive), and would start what its successor starts elsewhere (TestNewsBeforeTheEnd).
func TestAbstentions(t *testing.T) {
	cases := []struct {
		name       string
		abstainAt  []time.Duration // after the node's start
		leadsAfter time.Duration   // not before; at most half a second later
	}{
		{"none, a first process: an earlier one may have abstained", nil, abstentionTTL.Duration()},
		{"at the start", []time.Duration{0}, abstentionTTL.Duration()},
		{"a second later", []time.Duration{time.Second}, time.Second + abstentionTTL.Duration()},
		{"again and again", []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, 3*time.Second + abstentionTTL.Duration()},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				startedAt := time.Now()
				elected := make(chan time.Duration, 1)
				node := newTestNode(Config{
					MaxAbstention: abstentionTTL,
					OnElected: func(ctx context.Context, _ *Term) {
						elected <- time.Since(startedAt)
						<-ctx.Done()
					},
				})
				stop := node.start()
				for _, at := range tc.abstainAt {
					time.AfterFunc(at, func() {
						if !node.election.Abstain(abstentionTTL) {
							t.Errorf("it does not abstain after %v", at)
						}
					})
				}
				if after := <-elected; after < tc.leadsAfter || after > tc.leadsAfter+500*time.Millisecond {
					t.Errorf("it leads after %v, want %v", after, tc.leadsAfter)
				}
				if node.election.Abstain(abstentionTTL) {
					t.Error("a leader abstains from campaigning")
				}
				stop()
			})
		})
	}
}

// TestYieldsAfterItsTerm has a leader hand over where nobody else leads: it lets others campaign first for the whole
// time, counted from the end of its own term, and then leads again.
func TestYieldsAfterItsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const yieldFor = 2 * time.Second
		termStarts, termEnd := make(chan time.Time, 2), time.Time{}
		var node *testNode
		node = newTestNode(Config{
			CampaignDelay: func() micros.Micros { return micros.Micros(yieldFor / time.Microsecond) },
			OnElected: func(ctx context.Context, _ *Term) {
				termStarts <- time.Now()
				if len(termStarts) == 1 {
					time.Sleep(5 * time.Second)
					var leader replica.Leader
					if _, err := node.replica.Get(replica.LeaderKey, &leader); err != nil {
						t.Error(err)
					}
					if err := node.store.EndSession(ctx, leader.SessionID); err != nil {
						t.Error(err)
					}
					time.Sleep(time.Second) // it sees that the leader key is absent before the term ends here
					termEnd = time.Now()
					return
				}
				<-ctx.Done()
			},
		})
		stop := node.start()
		time.Sleep(20 * time.Second)
		if len(termStarts) != 2 {
			t.Fatalf("%d terms", len(termStarts))
		}
		<-termStarts
		if after := (<-termStarts).Sub(termEnd); after < yieldFor || after > yieldFor+time.Second {
			t.Errorf("it leads again %v after its term, want %v", after, yieldFor)
		}
		stop()
	})
}
