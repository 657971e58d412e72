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

// InProcessCluster is a cluster within one process: stand-ins of all around its nodes, which are started and
// ended one by one, and the faults that messages meet.
type InProcessCluster struct {
	Users
	Leadership
	Net   *fake.Network
	Pipes *fake.PeerNetwork
	Cloud *fake.Cloud
	// StartNode makes a node for a new life: what answers users, and what it does besides until its
	// context ends.
	StartNode func(life NodeIncarnation) (handler http.Handler, work func(context.Context))

	mu     sync.Mutex
	dead   map[string]bool // senders that are no more
	fault  func(from string, r *http.Request) fake.Fault
	faults int
	stops  []func()
	lives  []int
}

// NodeIncarnation is one life of a node.
type NodeIncarnation struct {
	Node   int
	Member string
	Sender string // by which what it sends is told from what earlier lives sent
}

// Hosts of the stand-ins.
const (
	StateHost = "state"
	CloudHost = "cloud"
)

// NewInProcessCluster prepares a world for nodes with settings like these; Begin starts them.
func NewInProcessCluster(nodes int, s *settings.Settings, runFor func(task string) float64) *InProcessCluster {
	w := &InProcessCluster{
		Leadership: Leadership{fake.NewStateService()},
		Net:        fake.NewNetwork(),
		Pipes:      fake.NewPeerNetwork(),
		dead:       map[string]bool{},
		stops:      make([]func(), nodes),
		lives:      make([]int, nodes),
	}
	w.Net.SetFault(w.faultOf)
	w.Users, w.Cloud = surroundings(w.Net, nodes, s, runFor)
	w.Net.Handle(StateHost, w.State)
	w.Net.Handle(CloudHost, w.Cloud)
	return w
}

// surroundings are the users and the cloud of some nodes.
func surroundings(n *fake.Network, nodes int, s *settings.Settings, runFor func(task string) float64) (Users, *fake.Cloud) {
	limits := map[string]float64{}
	for _, team := range s.Params.Teams {
		limits[team.Name] = team.MaxCPUs
	}
	var hosts []string
	for i := range nodes {
		hosts = append(hosts, host(i))
	}
	workers := s.Params.Workers
	rules := checker.NewRules(workers.CancellationTimeout().Duration(), limits, fake.InstanceTypes().Types)
	users := Users{Client: &http.Client{Transport: n.From("user")}, Rules: rules, Nodes: nodes}
	return users, fake.NewCloud(fake.CloudConfig{
		Net:                n,
		Rules:              rules,
		Nodes:              hosts,
		HeartbeatIntervalS: workers.HeartbeatIntervalS,
		LeaseDurationS:     workers.LeaseDurationS,
		RuntimeOf:          runFor,
	})
}

// faultOf is the fault that a message meets.
func (w *InProcessCluster) faultOf(from string, r *http.Request) fake.Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead[from] {
		return fake.DroppedRequest
	}
	if w.fault == nil {
		return fake.NoFault
	}
	fault := w.fault(from, r)
	if fault != fake.NoFault {
		w.faults++
	}
	return fault
}

// SetFault decides what messages meet from now on; nil lets all pass. One message at a time is
// decided on.
func (w *InProcessCluster) SetFault(f func(from string, r *http.Request) fake.Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// FaultCount counts what went wrong so far: messages that met a fault, and lives of nodes
// beyond the first.
func (w *InProcessCluster) FaultCount() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n = w.faults
	for _, lives := range w.lives {
		n += lives - 1
	}
	return n
}

// Start begins a new life of a node.
func (w *InProcessCluster) Start(node int) {
	w.mu.Lock()
	w.lives[node]++
	member := fmt.Sprintf(MemberFormat, node)
	life := NodeIncarnation{Node: node, Member: member, Sender: fmt.Sprintf("%s/%d", member, w.lives[node])}
	w.mu.Unlock()
	handler, work := w.StartNode(life)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		work(ctx)
	}()
	w.Net.Handle(host(node), handler)
	w.stops[node] = func() {
		w.Net.Handle(host(node), nil)
		w.mu.Lock()
		w.dead[life.Sender] = true
		w.mu.Unlock()
		cancel()
		<-done
	}
}

// Kill ends a node as a crash would: nothing that it sends arrives any more.
func (w *InProcessCluster) Kill(node int) { w.stops[node]() }

// backAfter is for how long nodes that restart at once are away.
const backAfter = 100 * time.Millisecond

// Restart restarts nodes within a fraction of a second.
func (w *InProcessCluster) Restart(nodes ...int) {
	for _, i := range nodes {
		w.Kill(i)
	}
	time.Sleep(backAfter)
	for _, i := range nodes {
		w.Start(i)
	}
}

// givesUp is within what time all that waits for an answer gives up.
const givesUp = time.Minute

// Close ends all nodes and stand-ins and waits until nothing of them runs.
func (w *InProcessCluster) Close() {
	w.SetFault(nil)
	for i := range w.stops {
		w.Kill(i)
	}
	w.Cloud.Close()
	w.State.Close()
	w.Net.WaitDelayed()
	time.Sleep(givesUp)
}
