package cluster

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// Each test in this file creates the situation that one particular safety check in the code protects against. A test
// verifies that the situation occurred, and fails if the safety check is removed.

// storedMachines returns the IDs of the machines in the stored values of the keys with a prefix.
func (c *cluster) storedMachines(prefix string) map[string]bool {
	ids := map[string]bool{}
	for _, e := range c.state.Entries(prefix) {
		var value struct {
			Listed   []string `json:"m"`        // of a machine list
			Launched []string `json:"machines"` // of a launch intent
		}
		if err := wire.Unmarshal(e.Value, &value); err != nil {
			c.t.Fatalf("decode the stored value of %s: %v", e.Key, err)
		}
		for _, entry := range append(value.Listed, value.Launched...) {
			id, _, _ := strings.Cut(entry, " ")
			ids[id] = true
		}
	}
	return ids
}

// machinesWithoutIntent returns the number of machines that are in a stored machine list, but in no stored launch
// intent.
func (c *cluster) machinesWithoutIntent() (n int) {
	launched := c.storedMachines(replica.LaunchIntentPrefix)
	for id := range c.storedMachines(replica.MachineListPrefix) {
		if !launched[id] {
			n++
		}
	}
	return n
}

// launchIntentFaults lists faults of the transactions that store the IDs of launched machines.
var launchIntentFaults = []struct {
	name  string
	fault fake.TxnFault
}{
	{"rejected", fake.TxnUnavailable},
	{"dropped", fake.TxnDropped},
	{"delayed", fake.TxnDelayed},
}

// TestMachineListWithoutLaunchIntent checks that a machine gets no task before its ID is stored in a launch intent
// (`InstanceState.IntentStored`). The state service stores machine lists, but the transactions that store the launch
// intents with the IDs of these machines are rejected, dropped or delayed, and a failover follows. The next leader
// finds machines that are listed but have no launch intent, and treats them as gone, so none of them may have a task.
func TestMachineListWithoutLaunchIntent(t *testing.T) {
	for _, intent := range launchIntentFaults {
		t.Run(intent.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 40 }
				c.submit("j-000009", 4) // its tasks occupy a machine that stays reachable
				time.Sleep(3 * time.Second)
				c.state.SetTxnFault(failIntentUpdates(intent.fault))
				c.submitJob(longJob("j-000001", 12))
				for i := 0; c.machinesWithoutIntent() == 0 && i < 200; i++ {
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(1500 * time.Millisecond)
				withoutIntent, before := c.machinesWithoutIntent(), c.fencingToken()
				var dropped counter
				c.setFault(c.isolateMachinesOf("j-000001", &dropped))
				c.restartNodes(c.leader())
				c.awaitLeaderAfter(before)
				c.state.SetTxnFault(nil)
				time.Sleep(time.Duration(leaseDurationS-1) * time.Second)
				c.setFault(nil)
				if withoutIntent == 0 {
					t.Error("every machine in a stored machine list was also in a stored launch intent, want one without")
				}
				c.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
				c.checkRules()
			})
		})
	}
}

// failIntentUpdates returns a function that applies a fault to the transactions that add machine IDs to a launch
// intent. A transaction that also changes another key, such as a machine list, is rejected as too large, so that the
// leader sends it again in parts.
func failIntentUpdates(fault fake.TxnFault) func(fake.Transaction) fake.TxnFault {
	return func(x fake.Transaction) fake.TxnFault {
		addsMachineIDs := slices.ContainsFunc(x.Compares, func(k wire.Compare) bool {
			return strings.HasPrefix(k.Key, replica.LaunchIntentPrefix) && k.ModRevision != 0
		})
		switch {
		case addsMachineIDs && len(x.Keys) > 1:
			return fake.TxnTooLarge
		case addsMachineIDs:
			return fault
		}
		return fake.TxnNoFault
	}
}

// TestStalePagesInInitialRead checks the read barrier at a failover. The pages of a starting node's initial read are
// from different times: the launch intents from before the leader launched machines, the leader key from after the
// leader's session ended. The node leads immediately, and its watches are dropped. Without the read barrier it would
// not know the machines that run the last job, and would start the job's tasks elsewhere.
func TestStalePagesInInitialRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTunedCluster(t, 3, func(s *settings.Settings) {
			s.Params.Workers.LeaseDurationS, s.Params.Workers.CancellationTimeoutS = 20, 50
		})
		defer c.close()
		c.cloud.RuntimeOf = func(string) float64 { return 60 }
		c.storeJobsBetweenPages()
		c.submitAndAwaitRunning(longJob("j-800000", 8)) // so that the next job needs other machines
		first := c.leader()
		next := (first + 1) % 3
		c.kill(next)
		c.kill((first + 2) % 3)
		var pages, watches counter
		c.setFault(delayPages(next, &pages, &watches))
		c.start(next)
		time.Sleep(2 * time.Second) // until the launch intents are read
		c.runLastJob(first)
		ran, read, before := c.runningTasks("j-900000"), pages.count("read"), c.fencingToken()
		var dropped counter
		isolated := c.isolateMachinesOf("j-900000", &dropped)
		c.kill(first)
		for i := 0; c.fencingToken() == before && i < 400; i++ {
			time.Sleep(50 * time.Millisecond)
		}
		if ran < 8 || c.fencingToken() == before || pages.count("read") <= read+4 || watches.count("dropped") == 0 {
			t.Errorf("%d tasks ran (want at least 8), fencing token %d (want above %d), %d pages read (want above %d+4), %d watches dropped (want some)",
				ran, c.fencingToken(), before, pages.count("read"), read, watches.count("dropped"))
		}
		time.Sleep(500 * time.Millisecond)
		c.setFault(isolated)
		time.Sleep(9 * time.Second) // well within the machines' leases
		if running := c.runningTasks("j-900000"); running < ran {
			t.Errorf("%d of %d tasks of the last job still run, want all", running, ran)
		}
		c.setFault(nil)
		c.start(first)
		c.awaitStatus("j-900000", wire.JobDone, 4*time.Minute)
		c.checkRules()
	})
}

// storeJobsBetweenPages stores jobs whose keys sort between the launch intents and the leader key, so that a node reads
// these two in different pages.
func (c *cluster) storeJobsBetweenPages() {
	c.t.Helper()
	const jobCount = 45
	for n := range jobCount {
		id := fmt.Sprintf("j-%06d", n+1)
		c.submit(id, 1)
		c.cancelJob(id, 0)
	}
}

// delayPages returns a fault function that delays the pages of a node's reads and drops its watches, and counts both.
func delayPages(node int, pages, watches *counter) func(string, *http.Request) fake.Fault {
	return func(from string, r *http.Request) fake.Fault {
		switch {
		case isFromNode(from, node) && r.URL.Path == "/store":
			pages.add("read")
			return fake.HighLatency
		case isFromNode(from, node) && r.URL.Path == "/watch":
			watches.add("dropped")
			return fake.DroppedRequest
		}
		return fake.NoFault
	}
}

// runLastJob submits a job to a node, and waits for up to 5 s until all of its tasks run.
func (c *cluster) runLastJob(node int) {
	c.t.Helper()
	job := longJob("j-900000", 8)
	for range 40 {
		if code, _ := c.submitTo(node, job); code == http.StatusCreated {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	for i := 0; c.runningTasks("j-900000") < 8 && i < 100; i++ {
		time.Sleep(50 * time.Millisecond)
	}
}

// oldLeaderRun is a cluster whose first leader loses its connection to the state service, while some machines can reach
// only that leader.
type oldLeaderRun struct {
	*cluster
	first      int             // index of the first leader
	token      uint64          // its fencing token
	machineIDs map[string]bool // machines that can reach only the first leader
	events     counter
}

// newOldLeaderRun returns a run that records the current leader as the first one, with its fencing token. The machines
// with these IDs will reach only this leader.
func newOldLeaderRun(c *cluster, machineIDs map[string]bool) *oldLeaderRun {
	return &oldLeaderRun{cluster: c, first: c.leader(), token: c.fencingToken(), machineIDs: machineIDs}
}

// isFirstLeader reports whether a host is the address of the first leader for users and workers.
func (r *oldLeaderRun) isFirstLeader(host string) bool { return host == memberName(r.first)+":8080" }

// isMisdirected reports whether a request is from a machine to a node that the machine may not reach. Machines that
// follow the next leader may not reach the old one, which would learn the next leader's fencing token from their
// heartbeats.
func (r *oldLeaderRun) isMisdirected(from string, q *http.Request) bool {
	machine := machineOf(from)
	return machine != "" && r.machineIDs[machine] != r.isFirstLeader(q.URL.Host)
}

// isFromOthersToMachine reports whether a request is from any sender except the first leader to a machine that may
// reach only this leader.
func (r *oldLeaderRun) isFromOthersToMachine(from string, q *http.Request) bool {
	return r.machineIDs[machineOf(q.URL.Host)] && !isFromNode(from, r.first)
}

// dropWatches is a fault function that drops the open watches of the first leader.
func (r *oldLeaderRun) dropWatches(from string, q *http.Request) fake.Fault {
	if isFromNode(from, r.first) && isOpenWatch(q) {
		return fake.DroppedRequest
	}
	return fake.NoFault
}

// supersedeFaults returns a fault function that drops the requests of the first leader to the state service. The state
// service is available to the other nodes only if others is set.
func (r *oldLeaderRun) supersedeFaults(others bool) func(string, *http.Request) fake.Fault {
	return func(from string, q *http.Request) fake.Fault {
		switch {
		case isStateRequest(q) && isFromNode(from, r.first):
			return fake.DroppedRequest
		case isStateRequest(q) && !others || q.URL.Path == "/hosts/return":
			return fake.ServiceUnavailable
		case r.isMisdirected(from, q):
			return fake.ServiceUnavailable
		case r.machineIDs[machineOf(from)] && others && r.fencingToken() > r.token:
			r.events.add("heartbeat to the old leader")
		case r.isFromOthersToMachine(from, q):
			return fake.DroppedRequest
		}
		return fake.NoFault
	}
}

// TestSupersededLeader checks that a leader stops answering workers as soon as it learns from its peers that another
// node leads (`Leader.Supersede`). The old leader has lost the state service, and half of the machines can reach only
// the old leader. Once the old leader has told the next leader that it knows the new fencing token, the next leader
// counts the leases of these machines as expired a lease duration later. From then on the old leader must not answer
// any of these machines, not even until its pending request to the state service has failed.
func TestSupersededLeader(t *testing.T) {
	for phase := range 8 {
		t.Run(fmt.Sprintf("phase %d", phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 60 }
				c.submitAndAwaitRunning(jobLeavingOneCPUFree(8))
				c.submitAndAwaitRunning(longJob("j-000001", 3))
				time.Sleep(2 * time.Second)
				r := newOldLeaderRun(c, c.machinesOf("j-000001"))
				r.setFault(r.dropWatches)
				time.Sleep(12 * time.Second) // until no watch is open through which the old leader could learn of the next one
				r.isolateFromPeers(r.first)
				r.setFault(r.supersedeFaults(false))
				time.Sleep(7*time.Second + time.Duration(phase)*210*time.Millisecond)
				r.healPartitions()
				r.setFault(r.supersedeFaults(true))
				r.awaitLeaderAfter(r.token)
				ran := r.runningTasks("j-000001")
				time.Sleep(600 * time.Millisecond) // until the nodes have exchanged their tokens
				r.isolateFromPeers(r.first)
				time.Sleep(time.Duration(leaseDurationS+4) * time.Second)
				r.setFault(nil)
				r.healPartitions()
				if ran != 3 || r.events.count("heartbeat to the old leader") == 0 {
					t.Errorf("%d tasks ran (want 3), events %v (want a heartbeat to the old leader)", ran, r.events.counts)
				}
				r.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
				r.checkRules()
			})
		})
	}
}

// dropWatchesAndIsolate is a fault function that drops the open watches of the first leader, and prevents the machines
// in machineIDs from reaching other nodes.
func (r *oldLeaderRun) dropWatchesAndIsolate(from string, q *http.Request) fake.Fault {
	switch {
	case isFromNode(from, r.first) && isOpenWatch(q):
		return fake.DroppedRequest
	case r.machineIDs[machineOf(from)] && !r.isFirstLeader(q.URL.Host):
		return fake.ServiceUnavailable
	}
	return fake.NoFault
}

// sessionEndFaults returns a fault function that drops the requests of the first leader to the state service, so that
// its session ends. If deliverChanges is set, its watches are not dropped, so it still receives changes.
func (r *oldLeaderRun) sessionEndFaults(deliverChanges bool) func(string, *http.Request) fake.Fault {
	return func(from string, q *http.Request) fake.Fault {
		switch {
		case isStateRequest(q) && isFromNode(from, r.first) && (!deliverChanges || q.URL.Path != "/watch"):
			return fake.DroppedRequest
		case isStateRequest(q) && isFromNode(from, r.first):
			r.events.add("changes")
		case q.URL.Path == "/hosts/return":
			return fake.ServiceUnavailable
		case r.isMisdirected(from, q):
			return fake.ServiceUnavailable
		case deliverChanges && r.machineIDs[machineOf(from)]:
			r.events.add("heartbeat to the old leader")
		case r.isFromOthersToMachine(from, q):
			return fake.DroppedRequest
		}
		return fake.NoFault
	}
}

// TestDelayedChangesAfterSessionEnd checks that a leader whose session has ended does not start a job that was accepted
// under the next leader. The old leader learns of the job before it notices that its own term is over: changes reach it
// late and all together, while it waits for the response to the renewal of its session. The next leader starts new jobs
// without waiting for any other node, so the old leader may start nothing unless its session has not ended or all peers
// promise not to lead (`Term.IsExclusive`).
func TestDelayedChangesAfterSessionEnd(t *testing.T) {
	for phase := range 6 {
		t.Run(fmt.Sprintf("phase %d", phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 40 }
				c.submitAndAwaitRunning(jobLeavingOneCPUFree(8))
				time.Sleep(2 * time.Second)
				ids := map[string]bool{} // machines that reach only the old leader
				for i, w := range c.cloud.WorkersOf("j-000009") {
					ids[w.ID] = i%2 == 0
				}
				r := newOldLeaderRun(c, ids)
				r.isolateFromPeers(r.first)
				r.setFault(r.dropWatchesAndIsolate)
				time.Sleep(12 * time.Second) // until no watch is open through which the old leader could learn of the next one
				r.setFault(r.sessionEndFaults(false))
				r.awaitLeaderAfter(r.token)
				time.Sleep(500 * time.Millisecond) // the job would not count as new if the next leader found it during its failover
				r.submitToOthers(longJob("j-000001", 4))
				time.Sleep(time.Duration(phase) * 270 * time.Millisecond)
				r.setFault(r.sessionEndFaults(true))
				time.Sleep(4 * time.Second)
				for i := 0; r.runningTasks("j-000001") == 0 && i < 100; i++ {
					time.Sleep(50 * time.Millisecond) // the machines try the next leader before the old one
				}
				ran := r.runningTasks("j-000001")
				if ran == 0 || r.events.count("changes") == 0 || r.events.count("heartbeat to the old leader") == 0 {
					t.Errorf("%d tasks of the new job ran (want some), events %v (want changes and a heartbeat to the old leader)", ran, r.events.counts)
				}
				r.setFault(nil)
				r.healPartitions()
				r.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
				r.checkRules()
			})
		})
	}
}

// submitToOthers submits a job to the nodes other than the first leader, in turn, until it is accepted or 20 attempts
// have failed.
func (r *oldLeaderRun) submitToOthers(job map[string]any) {
	for try := range 20 {
		if r.trySubmit((r.first+1+try%2)%3, job) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
}
