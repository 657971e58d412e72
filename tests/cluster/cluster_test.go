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

// Times of the clusters' workers, in seconds.
const (
	heartbeatIntervalS   = 1.0
	leaseDurationS       = 8.0
	cancellationTimeoutS = 25.0
)

// cluster is some nodes among fakes of all that surrounds them, under the checker of the rules.
type cluster struct {
	*harness.InProcessCluster // nil where the nodes are processes
	t                         *testing.T
	net                       *fake.Network
	peerNet                   *fake.PeerNetwork
	state                     *fake.StateService
	cloud                     *fake.Cloud
	rules                     *checker.Rules
	userClient                *http.Client
	size                      int // nodes

	mu    sync.Mutex
	tune  func(*settings.Settings)
	nodes []*caperlatch.Node // in their present incarnations
	// features are the optional parts of all nodes but those in without.
	features             settings.Features
	nodesWithoutFeatures map[int]bool
}

// nodeSettings returns the settings of node i of a cluster.
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

// newClusterOf starts a cluster of size nodes.
func newClusterOf(t *testing.T, size int) *cluster {
	return newTunedCluster(t, size, func(*settings.Settings) {})
}

// newTunedCluster starts a cluster whose nodes have their settings changed by tune.
func newTunedCluster(t *testing.T, size int, tune func(*settings.Settings)) *cluster {
	return newStandbyCluster(t, size, tune, nil)
}

// newStandbyCluster starts a cluster with a warm standby, or without one if standby is nil.
func newStandbyCluster(t *testing.T, size int, tune func(*settings.Settings), standby *settings.Standby) *cluster {
	return newFeaturesCluster(t, size, tune, settings.Features{Standby: standby})
}

// newFeaturesCluster starts a cluster with optional parts.
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

// newNode makes a node for a new incarnation; it serves as StartNode.
func (c *cluster) newNode(life harness.NodeIncarnation) (http.Handler, func(context.Context)) {
	s := nodeSettings(life.Node, c.size)
	c.tune(s)
	n := caperlatch.NewNodeWithNetwork(s, settings.DefaultTuning(), c.featuresOf(life.Node), caperlatch.Network{
		ServiceTransport: c.net.From(life.Sender),
		WorkerTransport:  c.net.From(life.Sender),
		DialPeer: func(ctx context.Context, addr string) (net.Conn, error) {
			return c.peerNet.Dial(ctx, life.Member, addr)
		},
		ListenForPeers: func() (net.Listener, error) { return c.peerNet.Listen(life.Member), nil },
	})
	c.nodes[life.Node] = n
	return n.Handler(), n.RunBackground
}

// start starts a new incarnation of a node.
func (c *cluster) start(i int) { c.Start(i) }

// featuresOf returns the optional parts of node i.
func (c *cluster) featuresOf(i int) settings.Features {
	if c.nodesWithoutFeatures[i] {
		return settings.Features{}
	}
	return c.features
}

// kill ends a node as a crash would: nothing that it sends arrives any more.
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

// close ends all nodes and fakes and waits until nothing of them runs.
func (c *cluster) close() { c.Close() }

// memberName returns the member that is the node of an index.
func memberName(node int) string { return fmt.Sprintf("host-%d", node) }

// leader waits until a node leads, and returns its index.
func (c *cluster) leader() int {
	c.t.Helper()
	node, err := harness.Leadership{State: c.state}.AwaitLeader()
	c.must(err)
	return node
}

// fencingToken returns the highest fencing token that was given out, as stored.
func (c *cluster) fencingToken() uint64 {
	c.t.Helper()
	token := harness.Leadership{State: c.state}.FencingToken()
	if token == 0 {
		c.t.Fatal("no token is stored")
	}
	return token
}

// checkTxn checks that no write can do harm when it is carried out late: each compares its key's
// mod revision, and each of the leader's its leader key.
func (c *cluster) checkTxn(conditions []wire.Compare, keys []string) {
	comparesLeader := slices.ContainsFunc(conditions, func(x wire.Compare) bool {
		return x.Key == replica.LeaderKey && x.ModRevision != 0
	})
	for _, key := range keys {
		if !slices.ContainsFunc(conditions, func(x wire.Compare) bool { return x.Key == key }) {
			c.t.Errorf("%s is written without a compare of its revision", key)
		}
		if isLeaderKey(key) && !comparesLeader {
			c.t.Errorf("%s is written without a compare of the leader key", key)
		}
	}
}

// isLeaderKey reports whether only the leader may write a key.
func isLeaderKey(key string) bool {
	if key == replica.AutoscalerKey || key == replica.InstanceTypesKey || key == replica.ZonesKey {
		return true
	}
	prefixes := []string{replica.ProgressPrefix, replica.LaunchIntentPrefix, replica.MachineListPrefix}
	return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

// must ends the test if there is an error.
func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// restartNodes kills nodes and starts them within a fraction of a second.
func (c *cluster) restartNodes(nodes ...int) { c.Restart(nodes...) }

// checkRules fails the test for each violation of the rules.
func (c *cluster) checkRules() {
	c.t.Helper()
	for _, rule := range c.rules.Violations() {
		c.t.Error(rule)
	}
}

// awaitLeaderAfter waits until a node leads in a later term than the one with this fencing token.
func (c *cluster) awaitLeaderAfter(token uint64) {
	c.t.Helper()
	c.must(harness.Leadership{State: c.state}.AwaitLeaderAfter(token))
}
