package harness

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"caperlatch/internal/settings"
	"caperlatch/internal/sim/checker"
	"caperlatch/internal/sim/fake"
)

// Hosts of the fakes.
const (
	StateHost = "state"
	CloudHost = "cloud"
)

const (
	// restartPause is for how long nodes are down that are restarted.
	restartPause = 100 * time.Millisecond
	// maxTimeout is longer than the timeouts of all that waits for a response.
	maxTimeout = time.Minute
)

// InProcessCluster is a cluster within one process, often under simulated time: nodes, fakes of all
// that surrounds them, and the faults of messages. A node is started and killed by one goroutine at
// a time.
type InProcessCluster struct {
	Users
	Leadership
	Net     *fake.Network
	PeerNet *fake.PeerNetwork
	Cloud   *fake.Cloud
	// NewNode makes a node for a new incarnation: the handler of users' and workers' requests, and
	// what it does besides until its context ends.
	NewNode func(incarnation NodeIncarnation) (handler http.Handler, work func(context.Context))

	stops []func() // by node: kills its present incarnation and waits until it has ended

	mu           sync.Mutex      // guards what follows
	dead         map[string]bool // senders whose incarnation has ended
	fault        fake.FaultFunc  // nil: no faults
	faults       int             // messages that had one
	incarnations []int           // of each node so far
}

// NodeIncarnation is one incarnation of a node.
type NodeIncarnation struct {
	Node   int
	Member string
	Sender string // on the network: tells what it sends from what earlier incarnations sent
}

// NewInProcessCluster prepares a cluster for nodes with settings like these; Start starts them.
func NewInProcessCluster(nodes int, s *settings.Settings, runtimeOf func(task string) float64) *InProcessCluster {
	c := &InProcessCluster{
		Leadership:   Leadership{fake.NewStateService()},
		Net:          fake.NewNetwork(),
		PeerNet:      fake.NewPeerNetwork(),
		dead:         map[string]bool{},
		stops:        make([]func(), nodes),
		incarnations: make([]int, nodes),
	}
	c.Net.SetFault(c.faultOf)
	c.Users, c.Cloud = newSurroundings(c.Net, nodes, s, runtimeOf)
	c.Net.Handle(StateHost, c.State)
	c.Net.Handle(CloudHost, c.Cloud)
	return c
}

// newSurroundings returns the users and the cloud of some nodes.
func newSurroundings(n *fake.Network, nodes int, s *settings.Settings, runtimeOf func(task string) float64) (Users, *fake.Cloud) {
	limits := map[string]float64{}
	for _, team := range s.Params.Teams {
		limits[team.Name] = team.MaxCPUs
	}
	var hosts []string
	for i := range nodes {
		hosts = append(hosts, userHost(i))
	}
	workers := s.Params.Workers
	rules := checker.NewRules(workers.CancellationTimeout().Duration(), limits, fake.InstanceTypes().Types)
	users := Users{Client: &http.Client{Transport: n.From("user")}, Rules: rules, Nodes: nodes}
	return users, fake.NewCloud(fake.CloudConfig{
		Net:                n,
		Rules:              rules,
		NodeHosts:          hosts,
		HeartbeatIntervalS: workers.HeartbeatIntervalS,
		LeaseDurationS:     workers.LeaseDurationS,
		RuntimeOf:          runtimeOf,
	})
}

// faultOf returns the fault of a message.
func (c *InProcessCluster) faultOf(from string, r *http.Request) fake.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead[from] {
		return fake.DroppedRequest
	}
	if c.fault == nil {
		return fake.NoFault
	}
	fault := c.fault(from, r)
	if fault != fake.NoFault {
		c.faults++
	}
	return fault
}

// SetFault has f choose the faults of messages from now on; nil: no faults. It is called for one
// message at a time, with the cluster's lock held.
func (c *InProcessCluster) SetFault(f fake.FaultFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// FaultCount counts the faults so far: messages that had one, and incarnations of nodes beyond the
// first.
func (c *InProcessCluster) FaultCount() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = c.faults
	for _, incarnations := range c.incarnations {
		n += incarnations - 1
	}
	return n
}

// Start starts a new incarnation of a node.
func (c *InProcessCluster) Start(node int) {
	c.mu.Lock()
	c.incarnations[node]++
	member := fmt.Sprintf(MemberFormat, node)
	incarnation := NodeIncarnation{Node: node, Member: member, Sender: fmt.Sprintf("%s/%d", member, c.incarnations[node])}
	c.mu.Unlock()
	handler, work := c.NewNode(incarnation)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		work(ctx)
	}()
	c.Net.Handle(userHost(node), handler)
	c.stops[node] = func() {
		c.Net.Handle(userHost(node), nil)
		c.mu.Lock()
		c.dead[incarnation.Sender] = true
		c.mu.Unlock()
		cancel()
		<-done
	}
}

// Kill ends a node as a crash would: nothing that it sends arrives any more.
func (c *InProcessCluster) Kill(node int) { c.stops[node]() }

// Restart kills nodes and starts them within a fraction of a second.
func (c *InProcessCluster) Restart(nodes ...int) {
	for _, i := range nodes {
		c.Kill(i)
	}
	time.Sleep(restartPause)
	for _, i := range nodes {
		c.Start(i)
	}
}

// Close ends all nodes and fakes, and waits until nothing of them runs.
func (c *InProcessCluster) Close() {
	c.SetFault(nil)
	for i := range c.stops {
		c.Kill(i)
	}
	c.Cloud.Close()
	c.State.Close()
	c.Net.WaitDelayed()
	time.Sleep(maxTimeout)
}
