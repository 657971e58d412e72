package cluster

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"caperlatch"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/sim/checker"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/sim/harness"
	"caperlatch/internal/wire"
)

// Heartbeat interval, lease duration and cancellation timeout of the workers in most of these tests, in seconds.
const (
	heartbeatIntervalS   = 1.0
	leaseDurationS       = 8.0
	cancellationTimeoutS = 25.0
)

// cluster is a cluster of nodes that run against fakes of the state service, the cloud, the workers and the network.
// A checker observes all messages and records violations of the protocol's rules.
type cluster struct {
	*harness.InProcessCluster // nil if the nodes run as separate processes
	t                         *testing.T
	net                       *fake.Network
	peerNet                   *fake.PeerNetwork
	state                     *fake.StateService
	cloud                     *fake.Cloud
	rules                     *checker.Rules
	userClient                *http.Client
	size                      int // number of nodes

	mu    sync.Mutex
	tune  func(*settings.Settings) // changes the settings of each node before it starts
	nodes []*caperlatch.Node       // current incarnation of each node
	// features are the optional features of every node that is not in nodesWithoutFeatures.
	features             settings.Features
	nodesWithoutFeatures map[int]bool
}

// nodeSettings returns the settings of node i in a cluster of the given number of nodes.
func nodeSettings(i, nodes int) *settings.Settings {
	s := &settings.Settings{Member: memberName(i), ClientListen: "unused"}
	s.External.State, s.External.Cloud = "state", "cloud"
	s.Params = settings.Params{
		Zones: []string{"a"},
		Teams: []settings.Team{{Name: "blue"}, {Name: "small", GuaranteedCPUs: 2, MaxCPUs: 4}},
		Workers: settings.Workers{
			HeartbeatIntervalS:   heartbeatIntervalS,
			LeaseDurationS:       leaseDurationS,
			CancellationTimeoutS: cancellationTimeoutS,
			GangAssemblyTimeoutS: fake.GangAssemblyTimeoutS,
			GangLossTimeoutS:     fake.GangLossTimeoutS,
		},
		State:  settings.State{RPS: 200, WriteRPS: 60, ValueKB: 8, TxnOps: 6},
		Cloud:  settings.Cloud{RPS: 20, ListLagS: 1},
		Limits: settings.Limits{CPU: 1, MemoryMB: 1000, MaxSockets: 1000},
	}
	for p := range nodes {
		if p != i {
			s.Peers = append(s.Peers, settings.Peer{Member: memberName(p), Addr: memberName(p)})
		}
	}
	return s
}

// newCluster starts a cluster of three nodes.
func newCluster(t *testing.T) *cluster { return newClusterOf(t, 3) }

// newClusterOf starts a cluster with the given number of nodes.
func newClusterOf(t *testing.T, size int) *cluster {
	return newTunedCluster(t, size, func(*settings.Settings) {})
}

// newTunedCluster starts a cluster after applying tune to the settings of each node.
func newTunedCluster(t *testing.T, size int, tune func(*settings.Settings)) *cluster {
	return newStandbyCluster(t, size, tune, nil)
}

// newStandbyCluster starts a cluster with the given warm standby settings. The standby is off if standby is nil.
func newStandbyCluster(t *testing.T, size int, tune func(*settings.Settings), standby *settings.Standby) *cluster {
	return newFeaturesCluster(t, size, tune, settings.Features{Standby: standby})
}

// newFeaturesCluster starts a cluster whose nodes have the given optional features.
func newFeaturesCluster(t *testing.T, size int, tune func(*settings.Settings), features settings.Features) *cluster {
	s := nodeSettings(0, size)
	tune(s)
	w := harness.NewInProcessCluster(size, s, func(string) float64 { return 5 })
	c := &cluster{
		InProcessCluster: w,
		t:                t,
		net:              w.Net,
		peerNet:          w.PeerNet,
		state:            w.State,
		cloud:            w.Cloud,
		rules:            w.Rules,
		userClient:       w.Client,
		size:             size,
		tune:             tune,
		features:         features,
		nodes:            make([]*caperlatch.Node, size),
	}
	w.NewNode = c.newNode
	c.state.InspectTxn = c.checkTxn
	for i := range size {
		c.start(i)
	}
	return c
}

// newNode creates the node of a new incarnation. The harness calls it as its NewNode function.
func (c *cluster) newNode(incarnation harness.NodeIncarnation) (http.Handler, func(context.Context)) {
	s := nodeSettings(incarnation.Node, c.size)
	c.tune(s)
	n := caperlatch.NewNodeWithNetwork(s, settings.DefaultTuning(), c.featuresOf(incarnation.Node), caperlatch.Network{
		ServiceTransport: c.net.From(incarnation.Sender),
		WorkerTransport:  c.net.From(incarnation.Sender),
		DialPeer: func(ctx context.Context, addr string) (net.Conn, error) {
			return c.peerNet.Dial(ctx, incarnation.Member, addr)
		},
		ListenForPeers: func() (net.Listener, error) { return c.peerNet.Listen(incarnation.Member), nil },
	})
	c.nodes[incarnation.Node] = n
	return n.Handler(), n.RunBackground
}

// start starts a new incarnation of a node.
func (c *cluster) start(i int) { c.Start(i) }

// featuresOf returns the optional features of node i.
func (c *cluster) featuresOf(i int) settings.Features {
	if c.nodesWithoutFeatures[i] {
		return settings.Features{}
	}
	return c.features
}

// kill ends a node as a crash would: no message that it sends arrives any more.
func (c *cluster) kill(i int) { c.Kill(i) }

// killAll kills all nodes.
func (c *cluster) killAll() {
	for i := range c.size {
		c.kill(i)
	}
}

// startAll starts a new incarnation of each node.
func (c *cluster) startAll() {
	for i := range c.size {
		c.start(i)
	}
}

// close stops all nodes and fakes, and waits until they have stopped.
func (c *cluster) close() { c.Close() }

// memberName returns the member name of a node.
func memberName(node int) string { return fmt.Sprintf("host-%d", node) }

// leader waits until a node leads, and returns its index.
func (c *cluster) leader() int {
	c.t.Helper()
	node, err := harness.Leadership{State: c.state}.AwaitLeader()
	c.must(err)
	return node
}

// fencingToken returns the stored fencing token, the highest that was issued.
func (c *cluster) fencingToken() uint64 {
	c.t.Helper()
	token := harness.Leadership{State: c.state}.FencingToken()
	if token == 0 {
		c.t.Fatal("no fencing token is stored")
	}
	return token
}

// checkTxn checks that a transaction cannot overwrite newer values if it is applied late: it must compare the revision
// of every key that it writes, and also the leader key if it writes a key that only the leader may write.
func (c *cluster) checkTxn(conditions []wire.Compare, keys []string) {
	comparesLeader := slices.ContainsFunc(conditions, func(x wire.Compare) bool {
		return x.Key == replica.LeaderKey && x.ModRevision != 0
	})
	for _, key := range keys {
		if !slices.ContainsFunc(conditions, func(x wire.Compare) bool { return x.Key == key }) {
			c.t.Errorf("a transaction writes %s without comparing its revision", key)
		}
		if isLeaderOnlyKey(key) && !comparesLeader {
			c.t.Errorf("a transaction writes %s without comparing the leader key", key)
		}
	}
}

// isLeaderOnlyKey reports whether only the leader may write a key.
func isLeaderOnlyKey(key string) bool {
	if key == replica.AutoscalerKey || key == replica.InstanceTypesKey || key == replica.ZonesKey {
		return true
	}
	prefixes := []string{replica.ProgressPrefix, replica.LaunchIntentPrefix, replica.MachineListPrefix}
	return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

// must fails the test immediately if err is not nil.
func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// restartNodes kills nodes and starts new incarnations of them within a fraction of a second.
func (c *cluster) restartNodes(nodes ...int) { c.Restart(nodes...) }

// checkRules reports each violation of the protocol's rules as a test error.
func (c *cluster) checkRules() {
	c.t.Helper()
	for _, violation := range c.rules.Violations() {
		c.t.Error(violation)
	}
}

// awaitLeaderAfter waits until a node leads with a higher fencing token than the given one.
func (c *cluster) awaitLeaderAfter(token uint64) {
	c.t.Helper()
	c.must(harness.Leadership{State: c.state}.AwaitLeaderAfter(token))
}
