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

// Hosts of the fakes on the network.
const (
	StateHost = "state"
	CloudHost = "cloud"
)

const (
	// restartDelay is the time for which restarted nodes are down.
	restartDelay = 100 * time.Millisecond
	// drainDuration is the time that Close waits for goroutines to return. It is longer than every timeout for a
	// response.
	drainDuration = time.Minute
)

// InProcessCluster is a cluster within one process, often under simulated time: nodes, fakes of the external systems,
// and message faults. A node must be started and killed by only one goroutine at a time.
type InProcessCluster struct {
	Users
	Leadership
	Net     *fake.Network
	PeerNet *fake.PeerNetwork
	Cloud   *fake.Cloud
	// NewNode creates a node for a new incarnation. It returns the handler for requests of users and workers, and a
	// function that does the other work of the node until its context is cancelled.
	NewNode func(incarnation NodeIncarnation) (handler http.Handler, work func(context.Context))

	killFuncs []func() // by node: kills the current incarnation and waits until it has ended

	mu            sync.Mutex      // guards the fields below
	deadSenders   map[string]bool // the senders whose incarnation has ended
	fault         fake.FaultFunc  // nil: no faults
	messageFaults int             // number of messages into which a fault was injected
	incarnations  []int           // number of incarnations so far, by node
}

// NodeIncarnation is one incarnation of a node.
type NodeIncarnation struct {
	Node   int
	Member string
	Sender string // sender name on the network; distinguishes the messages of this incarnation from those of earlier ones
}

// NewInProcessCluster creates a cluster whose fakes are configured according to the settings of its nodes. It does not
// start the nodes; Start does.
func NewInProcessCluster(nodes int, s *settings.Settings, runtimeOf func(task string) float64) *InProcessCluster {
	c := &InProcessCluster{
		Leadership:   Leadership{fake.NewStateService()},
		Net:          fake.NewNetwork(),
		PeerNet:      fake.NewPeerNetwork(),
		deadSenders:  map[string]bool{},
		killFuncs:    make([]func(), nodes),
		incarnations: make([]int, nodes),
	}
	c.Net.SetFault(c.faultOf)
	unknownFields := NewUnknownFields()
	c.Users, c.Cloud = newUsersAndCloud(c.Net, nodes, s, runtimeOf, unknownFields)
	c.Net.Handle(StateHost, unknownFields.Handler(c.State))
	c.Net.Handle(CloudHost, unknownFields.Handler(c.Cloud))
	return c
}

// Seed of the unknown fields in messages of the fakes and the users, and the share of the messages that may have some.
const (
	unknownFieldsSeed  = 1
	unknownFieldsShare = 0.2
)

// NewUnknownFields returns the source of unknown fields in the messages of the fakes and the users of a cluster.
func NewUnknownFields() *fake.UnknownFields {
	return fake.NewUnknownFields(unknownFieldsSeed, unknownFieldsShare)
}

// newUsersAndCloud returns the users and the cloud for a cluster with the given number of nodes. unknownFields is nil if
// their messages have no unknown fields.
func newUsersAndCloud(n *fake.Network, nodes int, s *settings.Settings, runtimeOf func(task string) float64, unknownFields *fake.UnknownFields) (Users, *fake.Cloud) {
	limits := map[string]float64{}
	for _, team := range s.Params.Teams {
		limits[team.Name] = team.MaxCPUs
	}
	var hosts []string
	for i := range nodes {
		hosts = append(hosts, nodeHost(i))
	}
	workers := s.Params.Workers
	rules := checker.NewRules(workers.CancellationTimeout().Duration(), limits, fake.InstanceTypes().Types)
	users := Users{Client: &http.Client{Transport: unknownFields.Transport(n.From("user"))}, Rules: rules, Nodes: nodes}
	return users, fake.NewCloud(fake.CloudConfig{
		Net:                n,
		Rules:              rules,
		NodeHosts:          hosts,
		HeartbeatIntervalS: workers.HeartbeatIntervalS,
		LeaseDurationS:     workers.LeaseDurationS,
		RuntimeOf:          runtimeOf,
		UnknownFields:      unknownFields,
	})
}

// faultOf returns the fault of a message. Messages of dead senders are dropped.
func (c *InProcessCluster) faultOf(from string, r *http.Request) fake.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadSenders[from] {
		return fake.DroppedRequest
	}
	if c.fault == nil {
		return fake.NoFault
	}
	fault := c.fault(from, r)
	if fault != fake.NoFault {
		c.messageFaults++
	}
	return fault
}

// SetFault sets the function that returns the fault of each message; nil: no faults. f is called for one message at a
// time, with the cluster's lock held.
func (c *InProcessCluster) SetFault(f fake.FaultFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// FaultCount returns the number of faults so far: messages into which a fault was injected, and incarnations of each
// node after its first.
func (c *InProcessCluster) FaultCount() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = c.messageFaults
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
	c.Net.Handle(nodeHost(node), handler)
	c.killFuncs[node] = func() {
		c.Net.Handle(nodeHost(node), nil)
		c.mu.Lock()
		c.deadSenders[incarnation.Sender] = true
		c.mu.Unlock()
		cancel()
		<-done
	}
}

// Kill stops a node abruptly, like a crash: no message of the node arrives afterwards.
func (c *InProcessCluster) Kill(node int) { c.killFuncs[node]() }

// Restart kills nodes and starts them again after restartDelay.
func (c *InProcessCluster) Restart(nodes ...int) {
	for _, i := range nodes {
		c.Kill(i)
	}
	time.Sleep(restartDelay)
	for _, i := range nodes {
		c.Start(i)
	}
}

// Close stops all nodes and fakes, and waits until their goroutines have returned.
func (c *InProcessCluster) Close() {
	c.SetFault(nil)
	for i := range c.killFuncs {
		c.Kill(i)
	}
	c.Cloud.Close()
	c.State.Close()
	c.Net.WaitDelayed()
	time.Sleep(drainDuration)
}
