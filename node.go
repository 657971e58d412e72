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
	outside  outside
	times    *api.Times
	features settings.Features

	standby    *standbyNode    // nil: off
	membership *membershipNode // nil: off

	mu       sync.Mutex
	leading  *leader.Leader
	suspects bool              // that the leader is about to change
	counts   map[string][2]int // as the leader last told
	countsAt micros.Micros
}

// outside is how a node reaches what is around it.
type outside struct {
	services http.RoundTripper
	workers  http.RoundTripper
	dial     peer.Dial
	listen   func() (net.Listener, error) // for peers
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
	return newNode(s, t, features, outside{
		services: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true},
		workers:  &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		dial:     func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) },
		listen:   func() (net.Listener, error) { return net.Listen("tcp", s.PeerListen) },
	})
}

// newNode makes a node that reaches everything around it through o.
func newNode(s *settings.Settings, t settings.Tuning, features settings.Features, o outside) *Node {
	n := &Node{settings: s, tuning: t, features: features, outside: o, times: api.NewTimes()}
	n.store = statestore.New(s.External.State, s.Params.State, o.services)
	n.cloud = cloud.New(s.External.Cloud, s.Params.Cloud, o.services)
	n.replica = replica.New(n.store)
	clients := map[string]*peer.Client{}
	for _, p := range s.Peers {
		clients[p.Member] = peer.NewClient(p.Addr, o.dial)
	}
	n.peers = peer.NewPeers(clients, n.probe, n.heard)
	config := election.Config{
		Member:     s.Member,
		Store:      n.store,
		Replica:    n.replica,
		Peers:      n.peers,
		Abstention: peer.PromiseLife,
		Lead:       n.lead,
	}
	if features.Standby != nil {
		n.standby = newStandbyNode(n, features.Standby)
		config.Campaigning = n.standby.takeover.Campaign
		config.Yield = n.standby.yield
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
		Handler:           n.handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         api.NewConns(limits.MaxSockets).State,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	var wg sync.WaitGroup
	wg.Go(func() { n.work(ctx) })
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

// handler answers users, workers and health checks.
func (n *Node) handler() http.Handler {
	return api.New(&api.Handler{
		Node:     n,
		Settings: n.settings,
		Store:    n.store,
		Batch:    statestore.NewBatcher(n.store),
		Replica:  n.replica,
		Times:    n.times,
		Keep:     n.keepReports(),
	})
}

// work does all that is not an answer to a request, until ctx ends.
func (n *Node) work(ctx context.Context) {
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
	return c.Ask(ctx, q)
}

// Relay asks the leader for its answer to a report.
func (n *Node) Relay(ctx context.Context, report wire.Raw) (wire.Raw, error) {
	if n.standby != nil {
		return n.standby.relay(ctx, report)
	}
	c := n.peers.Client(n.LeaderMember())
	if c == nil {
		return nil, errNoLeader
	}
	return c.Relay(ctx, report)
}

// Relays tells whether the leader answers this node.
func (n *Node) Relays() bool { return n.peers.Reachable(n.LeaderMember()) }

// Front names the node that is to take a machine's reports for this one, which
// leads; none if this node must do it itself. All nodes share the work of the
// connections by rendezvous hashing, and the leader's part is its own work.
func (n *Node) Front(machine string) string {
	best, bestWeight := "", uint32(0)
	for _, member := range n.peers.Fronts(n.election.Highest().Token) {
		hash := fnv.New32a()
		hash.Write([]byte(machine + " " + member))
		if weight := hash.Sum32(); best == "" || weight > bestWeight {
			best, bestWeight = member, weight
		}
	}
	return best
}

// lead is called by the election for each term.
func (n *Node) lead(ctx context.Context, t *election.Term) {
	config := leader.Config{
		Settings: n.settings,
		Tuning:   n.tuning,
		Store:    n.store,
		Cloud:    n.cloud,
		Replica:  n.replica,
		Term:     t,
		Token:    t.Token,
		Stamp:    t.Stamp,
		Workers:  &http.Client{Transport: n.outside.workers},
		Zones:    n.newZonePolicy(),
		Isolated: n.isolated,
	}
	if n.standby != nil {
		n.standby.beginTerm(t, &config)
		defer n.standby.endTerm()
	}
	l := leader.New(config)
	n.setLeading(l)
	defer n.setLeading(nil)
	l.Run(ctx)
}

// setLeading notes that this node leads, or with nil that it no longer does.
func (n *Node) setLeading(l *leader.Leader) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leading = l
	n.replica.SetEager(l != nil || n.suspects)
}

// setSuspects notes whether this node expects the leader to change. It then follows the
// state service as closely as a leader does.
func (n *Node) setSuspects(suspects bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.suspects = suspects
	n.replica.SetEager(n.leading != nil || suspects)
}

// Leading is this node's leader if it leads, else nil.
func (n *Node) Leading() *leader.Leader {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leading
}

// LeaderMember names the leader as known here: by the state service or, when
// that cannot be reached, by a peer that knows of a higher token.
func (n *Node) LeaderMember() string {
	return n.election.Highest().Member
}

// Ready tells whether the node can take requests. Without the state service it
// cannot, but when no peer can either, being skipped would not help anyone. A node that
// hears of nobody, neither the state service nor a peer, is cut off: the others serve
// its users better, who would only be told to come back later.
func (n *Node) Ready() bool {
	return n.replica.Loaded() && (n.store.SinceHeard() < peer.HeardWithin || n.peers.Heard() && !n.peers.InContact())
}

// Versions tells which versions serve.
func (n *Node) Versions() peer.Versions { return n.peers.Versions(n.settings.Member) }

// countsLife is how long the counts that the leader told last are shown.
const countsLife = 5 * micros.Second

// Counts shows how far a job is.
func (n *Node) Counts(id string) (done, running int) {
	if l := n.Leading(); l != nil {
		done, running, _ = l.Counts(id)
		return done, running
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if micros.Now()-n.countsAt > countsLife {
		return 0, 0
	}
	c := n.counts[id]
	return c[0], c[1]
}

// Explain asks the leader about a job.
func (n *Node) Explain(ctx context.Context, id string) (leader.Explanation, error) {
	if l := n.Leading(); l != nil {
		e, _ := l.Explain(id)
		return e, nil
	}
	a, err := n.askLeader(ctx, peer.Request{Explain: id})
	if err == nil && a.Explain == nil {
		err = errNoExplanation
	}
	if err != nil {
		return leader.Explanation{}, err
	}
	return *a.Explain, nil
}
