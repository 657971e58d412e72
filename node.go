// Package caperlatch runs a controller node of the cluster scheduler.
//
// It owns how the parts of a node are put together: who is told what by whom, and what one
// node answers another. It decides nothing about jobs or machines, which is the leader's
// part (internal/leader), and does not handle users' requests (internal/api).
package caperlatch

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"caperlatch/internal/api"
	"caperlatch/internal/cloud"
	"caperlatch/internal/election"
	"caperlatch/internal/explain"
	"caperlatch/internal/leader"
	"caperlatch/internal/micros"
	"caperlatch/internal/peer"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// Node is one controller.
type Node struct {
	settings *settings.Settings
	tuning   settings.Tuning
	store    *statestore.Client
	cloud    *cloud.Client
	replica  *replica.Replica
	election *election.Election
	peers    *peer.Peers
	network  Network
	times    *api.RequestTimes
	features settings.Features

	standby    *standbyNode    // nil: off
	membership *membershipNode // nil: off

	mu                  sync.Mutex
	localLeader         *leader.Leader
	expectsLeaderChange bool              // that the leader is about to change
	taskCounts          map[string][2]int // as the leader last told
	taskCountsAt        micros.Micros
}

// Network is how a node reaches what is around it.
type Network struct {
	ServiceTransport http.RoundTripper
	WorkerTransport  http.RoundTripper
	DialPeer         peer.Dial
	ListenForPeers   func() (net.Listener, error) // for peers
}

var (
	_ api.Node     = (*Node)(nil)
	_ peer.Handler = (*Node)(nil)
)

// Errors that the user, or another node, is told.
var (
	errNotLeading    = errors.New("not leading")
	errNoLeader      = errors.New("no leader known")
	errNoExplanation = errors.New("no explanation in the answer")
)

// NewNode makes a node from checked settings; what has none in features is off.
func NewNode(s *settings.Settings, t settings.Tuning, features settings.Features) *Node {
	var dialer net.Dialer
	return NewNodeOn(s, t, features, Network{
		ServiceTransport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true},
		WorkerTransport:  &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		DialPeer:         func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) },
		ListenForPeers:   func() (net.Listener, error) { return net.Listen("tcp", s.PeerListen) },
	})
}

// NewNodeOn makes a node that reaches everything around it through o.
func NewNodeOn(s *settings.Settings, t settings.Tuning, features settings.Features, o Network) *Node {
	n := &Node{settings: s, tuning: t, features: features, network: o, times: api.NewRequestTimes()}
	n.store = statestore.New(s.External.State, s.Params.State, o.ServiceTransport)
	n.cloud = cloud.New(s.External.Cloud, s.Params.Cloud, o.ServiceTransport)
	n.replica = replica.New(n.store)
	clients := map[string]*peer.Client{}
	for _, p := range s.Peers {
		clients[p.Member] = peer.NewClient(p.Addr, o.DialPeer)
	}
	n.peers = peer.NewPeers(clients, n.makeProbe, n.handlePeerState)
	config := election.Config{
		Member:        s.Member,
		Store:         n.store,
		Replica:       n.replica,
		Peers:         n.peers,
		MaxAbstention: peer.AbstentionTTL,
		OnElected:     n.serveTerm,
	}
	if features.Standby != nil {
		n.standby = newStandbyNode(n, features.Standby)
		config.OnCampaign = n.standby.failover.CampaignStarted
		config.YieldFor = n.standby.yieldFor
	}
	n.election = election.New(config)
	if features.Membership != nil {
		n.membership = newMembershipNode(n, *features.Membership)
	}
	return n
}

// How the runtime uses the process's limits: most of the memory limit may be used before
// the collector works hard; below it, few collections spare the small share of the processor.
const (
	memoryShare = 0.6
	gcPercent   = 300
)

// Times of the HTTP server's connections. Workers report far more often than a connection
// may be idle.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// Run serves until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	limits := n.settings.Params.Limits
	debug.SetMemoryLimit(int64(limits.MemoryMB * memoryShare * (1 << 20)))
	debug.SetGCPercent(gcPercent)
	ln, err := net.Listen("tcp", n.settings.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	server := &http.Server{
		Handler:           n.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         api.NewConnLimiter(limits.MaxSockets).ConnState,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	var wg sync.WaitGroup
	wg.Go(func() { n.RunBackground(ctx) })
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	slog.Info("node started", "member", n.settings.Member, "listen", ln.Addr().String())
	err = server.Serve(ln)
	if ctx.Err() == nil {
		return fmt.Errorf("serve: %w", err)
	}
	wg.Wait()
	return nil
}

// Handler answers users, workers and health checks.
func (n *Node) Handler() http.Handler {
	return api.New(&api.Handler{
		Node:           n,
		Settings:       n.settings,
		Store:          n.store,
		Batcher:        statestore.NewBatcher(n.store),
		Replica:        n.replica,
		RequestTimes:   n.times,
		ForwardTimeout: n.heartbeatHoldTime(),
	})
}

// RunBackground does all that is not an answer to a request, until ctx ends.
func (n *Node) RunBackground(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { n.replica.Run(ctx) })
	wg.Go(func() { n.election.Run(ctx) })
	wg.Go(func() { n.peers.Run(ctx) })
	wg.Go(func() { n.listenToPeers(ctx) })
	wg.Go(func() { n.stayInContact(ctx) })
	wg.Go(func() { n.times.Run(ctx) })
	if n.standby != nil {
		wg.Go(func() { n.standby.follow(ctx) })
	}
	if n.membership != nil {
		wg.Go(func() { n.membership.run(ctx) })
	}
	wg.Wait()
}

// askLeader sends a request to the leader known here.
func (n *Node) askLeader(ctx context.Context, q peer.Request) (peer.Response, error) {
	c := n.peers.Client(n.LeaderMember())
	if c == nil {
		return peer.Response{}, errNoLeader
	}
	return c.Call(ctx, q)
}

// ForwardHeartbeat asks the leader for its answer to a report.
func (n *Node) ForwardHeartbeat(ctx context.Context, report wire.Raw) (wire.Raw, error) {
	if n.standby != nil {
		return n.standby.forwardHeartbeat(ctx, report)
	}
	c := n.peers.Client(n.LeaderMember())
	if c == nil {
		return nil, errNoLeader
	}
	return c.ForwardHeartbeat(ctx, report)
}

// CanForward tells whether the leader answers this node.
func (n *Node) CanForward() bool { return n.peers.IsReachable(n.LeaderMember()) }

// ForwarderFor names the node that is to take a machine's reports for this one, which
// leads; none if this node must do it itself. All nodes share the work of the
// connections by rendezvous hashing, and the leader's part is its own work.
func (n *Node) ForwarderFor(machine string) string {
	best, bestWeight := "", uint32(0)
	for _, member := range n.peers.Forwarders(n.election.HighestKnownLeader().FencingToken) {
		hash := fnv.New32a()
		hash.Write([]byte(machine + " " + member))
		if weight := hash.Sum32(); best == "" || weight > bestWeight {
			best, bestWeight = member, weight
		}
	}
	return best
}

// serveTerm is called by the election for each term.
func (n *Node) serveTerm(ctx context.Context, t *election.Term) {
	config := leader.Config{
		Settings:          n.settings,
		Tuning:            n.tuning,
		Store:             n.store,
		Cloud:             n.cloud,
		Replica:           n.replica,
		Term:              t,
		FencingToken:      t.FencingToken,
		LeaderKeyRevision: t.LeaderKeyRevision,
		WorkerClient:      &http.Client{Transport: n.network.WorkerTransport},
		ZonePolicy:        n.newZonePolicy(),
		IsIsolated:        n.isIsolated,
	}
	if n.standby != nil {
		n.standby.beginTerm(t, &config)
		defer n.standby.endTerm()
	}
	l := leader.New(config)
	n.setLocalLeader(l)
	defer n.setLocalLeader(nil)
	l.Run(ctx)
}

// setLocalLeader notes that this node leads, or with nil that it no longer does.
func (n *Node) setLocalLeader(l *leader.Leader) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.localLeader = l
	n.replica.SetLowLatency(l != nil || n.expectsLeaderChange)
}

// setExpectsLeaderChange notes whether this node expects the leader to change. It then follows the
// state service as closely as a leader does.
func (n *Node) setExpectsLeaderChange(suspects bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.expectsLeaderChange = suspects
	n.replica.SetLowLatency(n.localLeader != nil || suspects)
}

// LocalLeader is this node's leader if it leads, else nil.
func (n *Node) LocalLeader() *leader.Leader {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.localLeader
}

// LeaderMember names the leader as known here: by the state service or, when
// that cannot be reached, by a peer that knows of a higher token.
func (n *Node) LeaderMember() string {
	return n.election.HighestKnownLeader().Member
}

// IsReady tells whether the node can take requests. Without the state service it
// cannot, but when no peer can either, being skipped would not help anyone. A node that
// hears of nobody, neither the state service nor a peer, is cut off: the others serve
// its users better, who would only be told to come back later.
func (n *Node) IsReady() bool {
	return n.replica.IsLoaded() && (n.store.SinceLastResponse() < peer.FreshWithin || n.peers.AnyResponds() && !n.peers.AnyReachesStateService())
}

// Versions tells which versions serve.
func (n *Node) Versions() peer.Versions { return n.peers.Versions(n.settings.Member) }

// taskCountsTTL is how long the counts that the leader told last are shown.
const taskCountsTTL = 5 * micros.Second

// TaskCounts shows how far a job is.
func (n *Node) TaskCounts(id string) (done, running int) {
	if l := n.LocalLeader(); l != nil {
		done, running, _ = l.TaskCounts(id)
		return done, running
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if micros.Now()-n.taskCountsAt > taskCountsTTL {
		return 0, 0
	}
	c := n.taskCounts[id]
	return c[0], c[1]
}

// Explain asks the leader about a job.
func (n *Node) Explain(ctx context.Context, id string) (explain.Explanation, error) {
	if l := n.LocalLeader(); l != nil {
		e, _ := l.Explain(id)
		return e, nil
	}
	a, err := n.askLeader(ctx, peer.Request{ExplainJob: id})
	if err == nil && a.Explanation == nil {
		err = errNoExplanation
	}
	if err != nil {
		return explain.Explanation{}, err
	}
	return *a.Explanation, nil
}
