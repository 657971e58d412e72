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
	"time"

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
	pipes                     *fake.PeerNetwork
	state                     *fake.StateService
	cloud                     *fake.Cloud
	rules                     *checker.Rules
	user                      *http.Client
	size                      int // nodes

	mu    sync.Mutex
	tune  func(*settings.Settings)
	nodes []*caperlatch.Node // in their present incarnations
	// features are the optional parts of all nodes but those in without.
	features settings.Features
	without  map[int]bool
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
		pipes:            w.Pipes,
		state:            w.State,
		cloud:            w.Cloud,
		rules:            w.Rules,
		user:             w.Client,
		size:             size,
		tune:             tune,
		features:         features,
		nodes:            make([]*caperlatch.Node, size),
	}
	w.StartNode = c.newNode
	c.state.InspectTxn = c.checkTxn
	for i := range size {
		c.start(i)
	}
	return c
}

// NewNodeOn makes a node for a new incarnation; it serves as StartNode.
func (c *cluster) newNode(life harness.NodeIncarnation) (http.Handler, func(context.Context)) {
	s := nodeSettings(life.Node, c.size)
	c.tune(s)
	n := caperlatch.NewNodeOn(s, settings.DefaultTuning(), c.featuresOf(life.Node), caperlatch.Network{
		ServiceTransport: c.net.From(life.Sender),
		WorkerTransport:  c.net.From(life.Sender),
		DialPeer:         func(ctx context.Context, addr string) (net.Conn, error) { return c.pipes.Dial(ctx, life.Member, addr) },
		ListenForPeers:   func() (net.Listener, error) { return c.pipes.Listen(life.Member), nil },
	})
	c.nodes[life.Node] = n
	return n.Handler(), n.RunBackground
}

// start starts a new incarnation of a node.
func (c *cluster) start(i int) { c.Start(i) }

// featuresOf returns the optional parts of node i.
func (c *cluster) featuresOf(i int) settings.Features {
	if c.without[i] {
		return settings.Features{}
	}
	return c.features
}

// kill ends a node as a crash would: nothing that it sends arrives any more.
func (c *cluster) kill(i int) { c.Kill(i) }

// setFault has f choose the faults of messages from now on; nil: no faults.
func (c *cluster) setFault(f func(from string, r *http.Request) fake.Fault) { c.SetFault(f) }

// faultCount counts the faults so far, with restarts of nodes.
func (c *cluster) faultCount() int { return c.FaultCount() }

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

// users returns the users of the cluster.
func (c *cluster) users() *harness.Users {
	return &harness.Users{Client: c.user, Rules: c.rules, Nodes: c.size}
}

// request sends a user's request to a node, with the checker of the rules watching. The code is 0
// if there was no response.
func (c *cluster) request(method string, node int, path string, body any) (int, wire.JobStatus) {
	return c.users().Request(method, node, path, body)
}

// testJob returns the submission of a job of small tasks, with the protocol's names.
func testJob(id string, tasks int) map[string]any {
	return map[string]any{
		"id":           id,
		"lane":         "l",
		"desk":         "blue",
		"shape":        wire.KindArray,
		"rank":         "normal",
		"pieces":       tasks,
		"vcpus":        1.0,
		"cards":        0.0,
		"memory_gb":    1.0,
		"bundle":       "img",
		"pull_gb":      1.0,
		"builds":       nil,
		"hall":         nil,
		"together":     false,
		"scatter":      false,
		"standby":      true,
		"expect_s":     5.0,
		"save_every_s": 0.0,
		"store_s":      0.0,
	}
}

// accept submits a job to a node and reports whether it is accepted now or was before.
func (c *cluster) accept(node int, job map[string]any) bool { return c.users().Submit(node, job) }

// submit submits a job of small tasks, each time to the next node, until it is accepted.
func (c *cluster) submit(id string, tasks int) { c.submitJob(testJob(id, tasks)) }

// submitJob submits any job, each time to the next node, until it is accepted.
func (c *cluster) submitJob(job map[string]any) {
	c.t.Helper()
	if !c.submitWithRetries(0, time.Second, job) {
		c.t.Fatalf("%s was not accepted", job["id"])
	}
}

// submitWithRetries repeats a submission, each time to the next node, and reports whether it was
// accepted.
func (c *cluster) submitWithRetries(first int, pause time.Duration, job map[string]any) bool {
	return c.users().SubmitWithRetries(first, pause, job)
}

// awaitStatus polls, each time at the next node, until a job has a status.
func (c *cluster) awaitStatus(id, status string, within time.Duration) {
	c.t.Helper()
	c.must(c.users().AwaitStatus(id, status, within))
}

// must ends the test if there is an error.
func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// isStateRequest reports whether a request goes to the state service.
func isStateRequest(r *http.Request) bool { return r.URL.Host == "state" }

// everyNth gives every nth request of the nodes that matches a fault.
func everyNth(n int, fault fake.Fault, match func(*http.Request) bool) func(string, *http.Request) fake.Fault {
	count := 0
	return func(from string, r *http.Request) fake.Fault {
		if strings.HasPrefix(from, "host") && match(r) {
			if count++; count%n == 0 {
				return fault
			}
		}
		return fake.NoFault
	}
}

// checkAnswers checks that every node that is ready answers queries of every job. A job none of
// whose queries is answered for 30 s counts as forgotten.
func (c *cluster) checkAnswers(ids []string) {
	c.t.Helper()
	for i := range c.size {
		if code, _ := c.request(http.MethodGet, i, "/ready", nil); code != http.StatusOK {
			continue
		}
		for _, id := range ids {
			for startedAt, code := time.Now(), 0; code != http.StatusOK; time.Sleep(time.Second) {
				if code, _ = c.request(http.MethodGet, i, "/v1/jobs/"+id, nil); time.Since(startedAt) > 30*time.Second {
					c.t.Errorf("node %d does not answer queries of %s (%d)", i, id, code)
					break
				}
			}
		}
	}
}

// restartNodes kills nodes and starts them within a fraction of a second.
func (c *cluster) restartNodes(nodes ...int) { c.Restart(nodes...) }

// partitionPeer cuts a node off from the other nodes.
func (c *cluster) partitionPeer(node int) {
	host := memberName(node)
	c.pipes.SetPartition(func(from, to string) bool { return from == host || to == host })
}

// healPeers ends the partitions between nodes.
func (c *cluster) healPeers() { c.pipes.SetPartition(func(string, string) bool { return false }) }

// isFromNode reports whether a sender is a node, in any of its incarnations.
func isFromNode(from string, node int) bool {
	return strings.HasPrefix(from, fmt.Sprintf("host-%d/", node))
}

// counter counts events by name, so that a test can show that its faults occurred. It is safe for
// concurrent use.
type counter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *counter) add(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[name]++
	return c.counts[name]
}

func (c *counter) count(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[name]
}

// checkRules fails the test for each violation of the rules.
func (c *cluster) checkRules() {
	c.t.Helper()
	for _, rule := range c.rules.Violations() {
		c.t.Error(rule)
	}
}

// machineOf returns the machine that a sender or host is, empty if it is none.
func machineOf(name string) string {
	id, _, _ := strings.Cut(name, ":")
	if strings.HasPrefix(id, "i-") {
		return id
	}
	return ""
}

// awaitLeaderAfter waits until a node leads in a later term than the one with this fencing token.
func (c *cluster) awaitLeaderAfter(token uint64) {
	c.t.Helper()
	c.must(harness.Leadership{State: c.state}.AwaitLeaderAfter(token))
}

// runJob submits a job of long tasks, and waits until all of them run.
func (c *cluster) runJob(job map[string]any) {
	c.t.Helper()
	c.submitWithRetries(0, 500*time.Millisecond, job)
	for range 120 {
		if c.runningTasks(job["id"].(string)) == job["pieces"] {
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	c.t.Fatalf("%s does not run: %v", job["id"], c.cloud.TasksOnMachines())
}

// runInNextIncarnation drops the machines' messages for some time, in which their leases expire,
// and then has a job run again on the machines' next incarnations. Other messages have the given
// fault.
func (c *cluster) runInNextIncarnation(job map[string]any, dropFor time.Duration, fault func(string, *http.Request) fake.Fault) {
	c.t.Helper()
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if machineOf(from) != "" {
			return fake.DroppedRequest
		}
		return fault(from, r)
	})
	time.Sleep(dropFor)
	c.setFault(fault)
	c.runJob(job)
	time.Sleep(2 * time.Second)
}

// tasksOn lists the tasks with a prefix that are on machines.
func (c *cluster) tasksOn(prefix string) []string {
	return slices.DeleteFunc(c.cloud.TasksOnMachines(), func(task string) bool { return !strings.HasPrefix(task, prefix) })
}

// runningTasks counts the tasks of a job that are on machines.
func (c *cluster) runningTasks(id string) int { return len(c.tasksOn(id + "/")) }

// cancelJob repeats a cancellation until it is confirmed.
func (c *cluster) cancelJob(id string, first int) {
	c.t.Helper()
	for try := range 200 {
		code, _ := c.request(http.MethodPost, (first+try)%c.size, "/v1/jobs/"+id+"/abort", nil)
		if code == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("%s could not be cancelled", id)
}

// isolateMachines drops all messages between these machines and the nodes. The cloud terminates
// nothing meanwhile, as its response would prove that the machines are gone.
func isolateMachines(ids map[string]bool, dropped *counter) func(string, *http.Request) fake.Fault {
	return func(from string, r *http.Request) fake.Fault {
		if ids[machineOf(from)] || ids[machineOf(r.URL.Host)] {
			dropped.add("dropped")
			return fake.DroppedRequest
		}
		if r.URL.Path == "/hosts/return" {
			return fake.ServiceUnavailable
		}
		return fake.NoFault
	}
}
