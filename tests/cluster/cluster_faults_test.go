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

// setFault sets the function that chooses the fault of each message from now on. Nil means no faults.
func (c *cluster) setFault(f func(from string, r *http.Request) fake.Fault) { c.SetFault(f) }

// faultCount returns the number of faults so far, including restarts of nodes.
func (c *cluster) faultCount() int { return c.FaultCount() }

// isStateRequest reports whether a request goes to the state service.
func isStateRequest(r *http.Request) bool { return r.URL.Host == "state" }

// isFromNode reports whether a sender is any incarnation of a node.
func isFromNode(from string, node int) bool {
	return strings.HasPrefix(from, fmt.Sprintf("host-%d/", node))
}

// machineOf returns the machine ID in the name of a sender or host, or an empty string if the name is not a machine's.
func machineOf(name string) string {
	id, _, _ := strings.Cut(name, ":")
	if strings.HasPrefix(id, "i-") {
		return id
	}
	return ""
}

// counter counts events by name, so that a test can verify that its faults occurred. It is safe for concurrent use.
type counter struct {
	mu     sync.Mutex
	counts map[string]int
}

// add counts an event and returns how often it has occurred.
func (c *counter) add(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[name]++
	return c.counts[name]
}

// count returns how often an event has occurred.
func (c *counter) count(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[name]
}

// everyNthNodeRequest returns a fault function that applies a fault to every nth matching request of the nodes.
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

// isOpenWatch reports whether a request is a watch that waits for changes at the state service. A watch with wait_ms=0
// is a read, which is answered at once.
func isOpenWatch(r *http.Request) bool {
	return r.URL.Path == "/watch" && !strings.Contains(r.URL.RawQuery, "wait_ms=0")
}

// refuseAllCloudRequests is a fault function that answers every request to the cloud with 503.
func refuseAllCloudRequests(_ string, r *http.Request) fake.Fault {
	if isCloudRequest(r) {
		return fake.ServiceUnavailable
	}
	return fake.NoFault
}

// refuseTerminations is a fault function that answers every termination request with 503. A successful response would
// prove that the machines are gone.
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

// isolateMachines returns a fault function that drops all messages between some machines and the nodes. It also rejects
// terminations, because a successful response would prove that the machines are gone.
func isolateMachines(ids map[string]bool, dropped *counter) func(string, *http.Request) fake.Fault {
	return func(from string, r *http.Request) fake.Fault {
		if ids[machineOf(from)] || ids[machineOf(r.URL.Host)] {
			dropped.add("dropped")
			return fake.DroppedRequest
		}
		return refuseTerminations(from, r)
	}
}

// isolateFromPeers drops all messages between a node and the other nodes.
func (c *cluster) isolateFromPeers(node int) {
	host := memberName(node)
	c.peerNet.SetPartition(func(from, to string) bool { return from == host || to == host })
}

// healPartitions ends all partitions between nodes.
func (c *cluster) healPartitions() {
	c.peerNet.SetPartition(func(string, string) bool { return false })
}

// runInNextIncarnation drops all messages from machines for dropFor, which must exceed a lease so that their leases
// expire. It then waits until the job runs again on the machines' next incarnations. Other messages get the given
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

// isolateMachinesOf returns a fault function that isolates the machines that have tasks of a job.
func (c *cluster) isolateMachinesOf(job string, dropped *counter) func(string, *http.Request) fake.Fault {
	ids := map[string]bool{}
	for _, w := range c.cloud.Workers() {
		ids[w.ID] = ids[w.ID] || slices.ContainsFunc(w.Tasks(), func(task string) bool { return strings.HasPrefix(task, job+"/") })
	}
	return isolateMachines(ids, dropped)
}
