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

// unresponsivePeers implements Peers for peers that have never answered.
type unresponsivePeers struct{}

func (unresponsivePeers) LastConfirmed(uint64) micros.Micros   { return 0 }
func (unresponsivePeers) AbstainingUntil(uint64) micros.Micros { return 0 }
func (unresponsivePeers) TokenKnownSince(uint64) micros.Micros { return 0 }

// abstentionTTL is for how long a node agrees to abstain from campaigning in these tests.
const abstentionTTL = 1500 * micros.Millisecond

// testNode is a node that campaigns for leadership, with a simulated state service.
type testNode struct {
	state    *fake.StateService
	store    *statestore.Client
	replica  *replica.Replica
	election *Election
}

// newTestNode returns a node whose election has the given configuration; it sets Member, Store, Replica and Peers.
func newTestNode(config Config) *testNode {
	net, state := fake.NewNetwork(), fake.NewStateService()
	net.Handle("state", state)
	store := statestore.New("state", settings.State{RPS: 200, WriteRPS: 60, ValueKB: 8, TxnOps: 6}, net.From("host-0/1"))
	config.Member, config.Store, config.Replica, config.Peers = "host-0", store, replica.New(store), unresponsivePeers{}
	return &testNode{state, store, config.Replica, New(config)}
}

// start starts the node. The returned function stops it, and returns after a minute of simulated time.
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

// TestNoCampaignWhileAbstaining checks that a node does not lead before its abstention is over, nor, after a restart,
// before the longest abstention of an earlier process is over. A leader whose session has ended relies on the
// abstentions (see Term.IsExclusive) and would start the same tasks as its successor, which
// TestDelayedChangesAfterSessionEnd in tests/cluster guards against.
func TestNoCampaignWhileAbstaining(t *testing.T) {
	cases := []struct {
		name       string
		abstainAt  []time.Duration // after the node's start
		leadsAfter time.Duration   // after the node's start; it may lead up to half a second later
	}{
		{"no request to abstain, but an earlier process may have agreed to one", nil, abstentionTTL.Duration()},
		{"a request at the start", []time.Duration{0}, abstentionTTL.Duration()},
		{"a request after a second", []time.Duration{time.Second}, time.Second + abstentionTTL.Duration()},
		{"repeated requests", []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, 3*time.Second + abstentionTTL.Duration()},
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
							t.Errorf("Abstain after %v = false, want true", at)
						}
					})
				}
				if after := <-elected; after < tc.leadsAfter || after > tc.leadsAfter+500*time.Millisecond {
					t.Errorf("the node leads after %v, want %v to %v", after, tc.leadsAfter, tc.leadsAfter+500*time.Millisecond)
				}
				if node.election.Abstain(abstentionTTL) {
					t.Error("Abstain on the leader = true, want false")
				}
				stop()
			})
		})
	}
}

// TestCampaignDelayAfterHandover checks that a leader that has handed over while no other node campaigns leads again
// only after the whole campaign delay, counted from the end of its own term.
func TestCampaignDelayAfterHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const campaignDelay = 2 * time.Second
		termStarts, termEnd := make(chan time.Time, 2), time.Time{}
		var node *testNode
		node = newTestNode(Config{
			CampaignDelay: func() micros.Micros { return micros.Micros(campaignDelay / time.Microsecond) },
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
					time.Sleep(time.Second) // the node sees that the leader key is absent before OnElected returns
					termEnd = time.Now()
					return
				}
				<-ctx.Done()
			},
		})
		stop := node.start()
		time.Sleep(20 * time.Second)
		if len(termStarts) != 2 {
			t.Fatalf("%d terms, want 2", len(termStarts))
		}
		<-termStarts
		if after := (<-termStarts).Sub(termEnd); after < campaignDelay || after > campaignDelay+time.Second {
			t.Errorf("the node leads again %v after its term, want %v to %v", after, campaignDelay, campaignDelay+time.Second)
		}
		stop()
	})
}
