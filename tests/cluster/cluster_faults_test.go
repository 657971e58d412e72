package cluster

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"caperlatch/internal/sim/fake"
)

// setFault has f choose the faults of messages from now on; nil: no faults.
func (c *cluster) setFault(f func(from string, r *http.Request) fake.Fault) { c.SetFault(f) }

// faultCount counts the faults so far, with restarts of nodes.
func (c *cluster) faultCount() int { return c.FaultCount() }

// isStateRequest reports whether a request goes to the state service.
func isStateRequest(r *http.Request) bool { return r.URL.Host == "state" }

// isFromNode reports whether a sender is a node, in any of its incarnations.
func isFromNode(from string, node int) bool {
	return strings.HasPrefix(from, fmt.Sprintf("host-%d/", node))
}

// machineOf returns the machine that a sender or host is, empty if it is none.
func machineOf(name string) string {
	id, _, _ := strings.Cut(name, ":")
	if strings.HasPrefix(id, "i-") {
		return id
	}
	return ""
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

// everyNthNodeRequest gives every nth request of the nodes that matches a fault.
func everyNthNodeRequest(n int, fault fake.Fault, match func(*http.Request) bool) func(string, *http.Request) fake.Fault {
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

// isCloudRequest reports whether a request goes to the cloud.
func isCloudRequest(r *http.Request) bool { return r.URL.Host == "cloud" }

// isOpenWatch reports whether a request waits for changes at the state service; other watches are
// reads, which are answered at once.
func isOpenWatch(r *http.Request) bool {
	return r.URL.Path == "/watch" && !strings.Contains(r.URL.RawQuery, "wait_ms=0")
}

// refuseCloud is the fault that makes the cloud unavailable.
func refuseCloud(_ string, r *http.Request) fake.Fault {
	if isCloudRequest(r) {
		return fake.ServiceUnavailable
	}
	return fake.NoFault
}

// refuseTerminations is the fault that has the cloud terminate nothing: its response would prove
// that the machines are gone.
func refuseTerminations(_ string, r *http.Request) fake.Fault {
	if r.URL.Path == "/hosts/return" {
		return fake.ServiceUnavailable
	}
	return fake.NoFault
}

// machinesOf returns the IDs of the machines that have tasks of a job.
func (c *cluster) machinesOf(job string) map[string]bool {
	ids := map[string]bool{}
	for _, w := range c.cloud.WorkersOf(job) {
		ids[w.ID] = true
	}
	return ids
}

// isolateMachines drops all messages between these machines and the nodes. The cloud terminates
// nothing meanwhile, as its response would prove that the machines are gone.
func isolateMachines(ids map[string]bool, dropped *counter) func(string, *http.Request) fake.Fault {
	return func(from string, r *http.Request) fake.Fault {
		if ids[machineOf(from)] || ids[machineOf(r.URL.Host)] {
			dropped.add("dropped")
			return fake.DroppedRequest
		}
		return refuseTerminations(from, r)
	}
}

// isolateFromPeers cuts a node off from the other nodes.
func (c *cluster) isolateFromPeers(node int) {
	host := memberName(node)
	c.peerNet.SetPartition(func(from, to string) bool { return from == host || to == host })
}

// healPartitions ends the partitions between nodes.
func (c *cluster) healPartitions() {
	c.peerNet.SetPartition(func(string, string) bool { return false })
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
	c.submitAndAwaitRunning(job)
	time.Sleep(2 * time.Second)
}

// isolateMachinesOf returns the fault that isolates the machines with tasks of a job.
func (c *cluster) isolateMachinesOf(job string, dropped *counter) func(string, *http.Request) fake.Fault {
	ids := map[string]bool{}
	for _, w := range c.cloud.Workers() {
		ids[w.ID] = ids[w.ID] || slices.ContainsFunc(w.Tasks(), func(task string) bool { return strings.HasPrefix(task, job+"/") })
	}
	return isolateMachines(ids, dropped)
}
