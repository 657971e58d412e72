// Package caperlatch runs a controller node of the cluster scheduler.
//
// It owns how the components of a node are connected, and what one node answers another. It must not make decisions about
// jobs or machines, which belong to the leader (internal/leader), nor handle users' requests, which belong to the API
// (internal/api).
package caperlatch

import (
	"context"
	"fmt"
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
	"caperlatch/internal/standby"
	"caperlatch/internal/statestore"
)

// Node is one controller node. It creates and runs its components, and delegates requests to them. No component depends
// on Node itself. The components own:
//
//   - store, cloud: the clients of the state service and of the cloud API
//   - replica: this node's copy of the stored values
//   - election: terms, and the highest fencing token known to this node
//   - peers: the latest responses of the other nodes; peerHandler: this node's responses to them
//   - leadership: this node's leader while this node leads
//   - leader: requests to the node that leads
//   - connectivity: whether the state service and the peers respond
//   - forwarding: which node receives a worker's heartbeats, and how they reach the leader
//   - jobs, zones: this node's view of them, from its own or the remote leader
//   - standby, handover: the warm standby, and planned transfers of leadership; nil if disabled
//   - membership: which nodes are alive; nil if disabled
type Node struct {
	settings     *settings.Settings
	tuning       settings.Tuning
	features     settings.Features
	network      Network
	requestTimes *api.RequestTimes

	store        *statestore.Client
	cloud        *cloud.Client
	replica      *replica.Replica
	election     *election.Election
	peers        *peer.Peers
	peerHandler  *peerHandler
	leadership   *localLeadership
	leader       leaderClient
	connectivity *connectivity
	forwarding   *forwarding
	jobs         *jobView
	zones        zoneView
	standby      *standbyAgent
	handover     *handover
	membership   *membershipAgent
}

// NewNode returns a node with validated settings. Features without settings in features are disabled.
func NewNode(s *settings.Settings, t settings.Tuning, features settings.Features) *Node {
	return NewNodeWithNetwork(s, t, features, newTCPNetwork(s))
}

// NewNodeWithNetwork returns a node that uses network for its connections to other processes. The caller runs
// RunBackground and serves Handler, or calls only Run, which does both.
func NewNodeWithNetwork(s *settings.Settings, t settings.Tuning, features settings.Features, network Network) *Node {
	n := &Node{settings: s, tuning: t, features: features, network: network, requestTimes: api.NewRequestTimes()}
	n.store = statestore.New(s.External.State, s.Params.State, network.ServiceTransport)
	n.cloud = cloud.New(s.External.Cloud, s.Params.Cloud, network.ServiceTransport)
	n.replica = replica.New(n.store)
	n.leadership = &localLeadership{replica: n.replica}
	n.peers = n.newPeers()
	n.election = n.newElection()
	n.leader = leaderClient{election: n.election, peers: n.peers}
	n.connectivity = &connectivity{member: s.Member, others: s.Peers, store: n.store, replica: n.replica, peers: n.peers, election: n.election}
	n.forwarding = &forwarding{leader: n.leader}
	n.jobs = &jobView{leadership: n.leadership, leader: n.leader}
	n.zones = zoneView{leadership: n.leadership, leader: n.leader}
	if features.Standby != nil {
		n.addStandby(features.Standby)
	}
	if features.Membership != nil {
		n.membership = newMembershipAgent(s.Member, s.Peers, network.DialPeer, *features.Membership, n.connectivity.membershipEnvironment)
	}
	n.peerHandler = &peerHandler{
		member:     s.Member,
		store:      n.store,
		replica:    n.replica,
		election:   n.election,
		peers:      n.peers,
		leadership: n.leadership,
		jobs:       n.jobs,
		zones:      n.zones,
		standby:    n.standby,
		membership: n.membership,
	}
	return n
}

// newPeers returns the peers in the settings. Its callbacks use n.peerHandler, which is created later. They are called
// only while the node runs.
func (n *Node) newPeers() *peer.Peers {
	clients := map[string]*peer.Client{}
	for _, p := range n.settings.Peers {
		clients[p.Member] = peer.NewClient(p.Addr, n.network.DialPeer)
	}
	return peer.NewPeers(clients,
		func(sentCountsAsOf *micros.Micros) *peer.Probe { return n.peerHandler.makeProbe(sentCountsAsOf) },
		func(state *peer.NodeState) { n.peerHandler.handlePeerState(state) })
}

// newElection returns the election. Its callbacks use n.standby and n.handover, which are created later. They are called
// only while the node runs.
func (n *Node) newElection() *election.Election {
	config := election.Config{
		Member:        n.settings.Member,
		Store:         n.store,
		Replica:       n.replica,
		Peers:         n.peers,
		MaxAbstention: peer.AbstentionTTL,
		OnElected:     n.serveTerm,
	}
	if n.features.Standby != nil {
		config.OnCampaign = func() { n.standby.failover.CampaignStarted() }
		config.CampaignDelay = func() micros.Micros { return n.handover.campaignDelay() }
		config.IsSuccessorOf = func(l replica.Leader) bool { return n.standby.follower.IsSuccessorOf(l.FencingToken) }
		config.HandoverGracePeriod = func() micros.Micros { return n.handover.handoverGracePeriod() }
	}
	return election.New(config)
}

// addStandby enables the warm standby.
func (n *Node) addStandby(s *settings.Standby) {
	member := n.settings.Member
	n.standby = &standbyAgent{
		member:     member,
		settings:   s,
		election:   n.election,
		peers:      n.peers,
		leadership: n.leadership,
		follower:   standby.NewFollower(member),
		failover:   standby.NewFailover(),
	}
	n.handover = &handover{
		member:     member,
		timeout:    s.HandoverTimeout,
		election:   n.election,
		peers:      n.peers,
		replica:    n.replica,
		leadership: n.leadership,
		follower:   n.standby.follower,
		followers:  n.standby.followers,
	}
	n.forwarding.successor = &successorForwarding{
		member:           member,
		election:         n.election,
		peers:            n.peers,
		replica:          n.replica,
		expectsSuccessor: n.standby.expectsSuccessor,
		respondLocally:   n.leadership.respondToEncodedHeartbeat,
	}
}

// Garbage collection settings. Below the soft memory limit, which is a share of the process's limit, collections are
// infrequent, because the process has only a small CPU quota. Near the limit they become frequent.
const (
	memoryLimitShare = 0.6
	gcPercent        = 300
	mebibyte         = 1 << 20
)

// Timeouts of the HTTP server's connections. idleTimeout is far longer than the interval between a worker's heartbeats.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// Run runs the node and serves its HTTP API until ctx ends. It returns when all goroutines that it started have ended.
func (n *Node) Run(ctx context.Context) error {
	limits := n.settings.Params.Limits
	debug.SetMemoryLimit(int64(limits.MemoryMB * memoryLimitShare * mebibyte))
	debug.SetGCPercent(gcPercent)
	ln, err := net.Listen("tcp", n.settings.ClientListen)
	if err != nil {
		return fmt.Errorf("listen for clients at client_listen: %w", err)
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
	slog.Info("node started", "member", n.settings.Member, "address", ln.Addr().String())
	err = server.Serve(ln)
	if ctx.Err() == nil {
		return fmt.Errorf("serve HTTP: %w", err)
	}
	wg.Wait()
	return nil
}

// Handler returns the HTTP handler for requests of users and workers, and for health checks.
func (n *Node) Handler() http.Handler {
	return api.New(api.Config{
		Node:           n,
		Settings:       n.settings,
		Store:          n.store,
		Batcher:        statestore.NewBatcher(n.store),
		Replica:        n.replica,
		RequestTimes:   n.requestTimes,
		ForwardTimeout: n.forwarding.timeout(),
	})
}

// RunBackground runs all components of the node until ctx ends. It does not serve HTTP requests.
func (n *Node) RunBackground(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { n.replica.Run(ctx) })
	wg.Go(func() { n.election.Run(ctx) })
	wg.Go(func() { n.peers.Run(ctx) })
	wg.Go(func() { n.peerHandler.serve(ctx, n.network.ListenForPeers) })
	wg.Go(func() { n.connectivity.monitor(ctx) })
	wg.Go(func() { n.requestTimes.Run(ctx) })
	if n.standby != nil {
		wg.Go(func() { n.standby.run(ctx) })
	}
	if n.membership != nil {
		wg.Go(func() { n.membership.run(ctx) })
	}
	wg.Wait()
}

// serveTerm runs a leader for a term that this node has won, until ctx ends.
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
		ZonePolicy:        newZonePolicy(n.features.Zones),
		IsIsolated:        n.connectivity.isIsolated,
	}
	if n.standby != nil {
		n.standby.beginTerm(t, &config)
		defer n.standby.endTerm()
	}
	l := leader.New(config)
	n.leadership.setLocalLeader(l)
	defer n.leadership.setLocalLeader(nil)
	l.Run(ctx)
	if n.handover != nil {
		n.handover.setSuccessor(l.Successor())
	}
}

// HandOverOnShutdown hands leadership over if this node leads, and waits until this node has released the leader key.
func (n *Node) HandOverOnShutdown() {
	to, err := n.HandOver()
	if err != nil {
		slog.Info("shutting down without a handover", "error", err)
		return
	}
	n.handover.awaitRelease()
	slog.Info("shutting down after a handover", "to", to, "leader", n.LeaderMember())
}

// Leave announces to the other nodes that this node leaves, so that they do not suspect it.
func (n *Node) Leave() {
	if n.membership != nil {
		n.membership.leave()
	}
}
