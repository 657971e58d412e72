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

// The tests in this file bring about the situations that single guards are for. Each shows that its
// situation occurred, and fails when the guard is taken out.

// storedMachines returns the machines that the stored values under a prefix name.
func (c *cluster) storedMachines(prefix string) map[string]bool {
	names := map[string]bool{}
	for _, e := range c.state.Entries(prefix) {
		var value struct {
			Listed   []string `json:"m"`        // of a machine list
			Launched []string `json:"machines"` // of a launch intent
		}
		if wire.Unmarshal(e.Value, &value) != nil {
			c.t.Fatalf("stored %s is unreadable", e.Key)
		}
		for _, entry := range append(value.Listed, value.Launched...) {
			id, _, _ := strings.Cut(entry, " ")
			names[id] = true
		}
	}
	return names
}

// machinesWithoutIntent counts the machines that are in a stored machine list, but in no stored
// launch intent.
func (c *cluster) machinesWithoutIntent() (n int) {
	launched := c.storedMachines(replica.LaunchIntentPrefix)
	for id := range c.storedMachines(replica.MachineListPrefix) {
		if !launched[id] {
			n++
		}
	}
	return n
}

// launchIntentFaults are faults of the transactions with the IDs of launched machines.
var launchIntentFaults = []struct {
	name  string
	fault fake.TxnFault
}{
	{"rejected", fake.TxnUnavailable},
	{"dropped", fake.TxnDropped},
	{"delayed", fake.TxnDelayed},
}

// TestMachineListWithoutLaunchIntent has the state service store machine lists, but not the launch
// intents with the IDs of these machines: their transactions are rejected, dropped or delayed. Then
// a failover follows. The next leader finds machines that are listed and have no launch intent, and
// takes them for gone: none of them may have got a task (the guard is `InstanceState.IntentStored`).
func TestMachineListWithoutLaunchIntent(t *testing.T) {
	for _, intent := range launchIntentFaults {
		t.Run(intent.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 40 }
				c.submit("j-000009", 4) // fills a machine that stays reachable
				time.Sleep(3 * time.Second)
				c.state.SetTxnFault(failNamedMachines(intent.fault))
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
					t.Error("no machine was in a machine list and in no launch intent")
				}
				c.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
				c.checkRules()
			})
		})
	}
}

// failNamedMachines gives the transactions that add the IDs of machines to a launch intent a fault. A
// transaction that changes a machine list as well is too large, and comes again in parts.
func failNamedMachines(fault fake.TxnFault) func(fake.Transaction) fake.TxnFault {
	return func(x fake.Transaction) fake.TxnFault {
		namesMachines := slices.ContainsFunc(x.Compares, func(k wire.Compare) bool {
			return strings.HasPrefix(k.Key, replica.LaunchIntentPrefix) && k.ModRevision != 0
		})
		switch {
		case namesMachines && len(x.Keys) > 1:
			return fake.TxnTooLarge
		case namesMachines:
			return fault
		}
		return fake.TxnNoFault
	}
}

// TestStalePagesAtStart has a node start whose pages of all keys are of different times: the launch
// intents from before the leader launched machines, the leader key from after its session ended. It
// leads at once, with its watch delayed. Without the read barrier at the failover it does not know
// of the machines that run the last job, and starts the job's tasks elsewhere.
func TestStalePagesAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTunedCluster(t, 3, func(s *settings.Settings) {
			s.Params.Workers.LeaseDurationS, s.Params.Workers.CancellationTimeoutS = 20, 50
		})
		defer c.close()
		c.cloud.RuntimeOf = func(string) float64 { return 60 }
		c.storeKeysBetween()
		c.submitAndAwaitRunning(longJob("j-800000", 8)) // the next job needs other machines
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
			t.Errorf("%d tasks ran, fencing token %d after %d, pages %d after %d, %d watches dropped",
				ran, c.fencingToken(), before, pages.count("read"), read, watches.count("dropped"))
		}
		time.Sleep(500 * time.Millisecond)
		c.setFault(isolated)
		time.Sleep(9 * time.Second) // well within their lease
		if on := c.runningTasks("j-900000"); on < ran {
			t.Errorf("%d of %d tasks still run", on, ran)
		}
		c.setFault(nil)
		c.start(first)
		c.awaitStatus("j-900000", wire.JobDone, 4*time.Minute)
		c.checkRules()
	})
}

// storeKeysBetween stores jobs whose keys are, in order, between the launch intents and the leader
// key, so that a node reads these two in different pages.
func (c *cluster) storeKeysBetween() {
	c.t.Helper()
	const between = 45
	for n := range between {
		id := fmt.Sprintf("j-%06d", n+1)
		c.submit(id, 1)
		c.cancelJob(id, 0)
	}
}

// delayPages is the fault that has a node read its keys slowly, and drops its watches.
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

// runLastJob submits a job to a node, and waits for some seconds until all of its tasks run.
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

// oldLeaderRun is a cluster whose first leader loses the state service, while some machines reach
// only that leader.
type oldLeaderRun struct {
	*cluster
	first int             // the node that leads at first
	token uint64          // its fencing token
	ids   map[string]bool // the machines that reach only it
	noted counter
}

// newOldLeaderRun has the first leader and its fencing token noted. The IDs are those of the machines
// that will reach only this leader.
func newOldLeaderRun(c *cluster, ids map[string]bool) *oldLeaderRun {
	return &oldLeaderRun{cluster: c, first: c.leader(), token: c.fencingToken(), ids: ids}
}

// isFirst reports whether a host is the first leader, as users and workers reach it.
func (r *oldLeaderRun) isFirst(host string) bool { return host == memberName(r.first)+":8080" }

// isMisdirected reports whether a request is from a machine to a node that the machine does not reach.
// The old leader would learn of the next one's fencing token from the heartbeats of the others.
func (r *oldLeaderRun) isMisdirected(from string, q *http.Request) bool {
	machine := machineOf(from)
	return machine != "" && r.ids[machine] != r.isFirst(q.URL.Host)
}

// isCallFromOthers reports whether a request is from any but the first leader to a machine that only
// this leader reaches.
func (r *oldLeaderRun) isCallFromOthers(from string, q *http.Request) bool {
	return r.ids[machineOf(q.URL.Host)] && !isFromNode(from, r.first)
}

// dropWatches drops the open watches of the first leader.
func (r *oldLeaderRun) dropWatches(from string, q *http.Request) fake.Fault {
	if isFromNode(from, r.first) && isOpenWatch(q) {
		return fake.DroppedRequest
	}
	return fake.NoFault
}

// supersede is the fault by which the first leader loses the state service. The other nodes have it
// only if others is set.
func (r *oldLeaderRun) supersede(others bool) func(string, *http.Request) fake.Fault {
	return func(from string, q *http.Request) fake.Fault {
		switch {
		case isStateRequest(q) && isFromNode(from, r.first):
			return fake.DroppedRequest
		case isStateRequest(q) && !others || q.URL.Path == "/hosts/return":
			return fake.ServiceUnavailable
		case r.isMisdirected(from, q):
			return fake.ServiceUnavailable
		case r.ids[machineOf(from)] && others && r.fencingToken() > r.token:
			r.noted.add("heartbeat to the old leader")
		case r.isCallFromOthers(from, q):
			return fake.DroppedRequest
		}
		return fake.NoFault
	}
}

// TestSupersededLeader has a leader lose the state service, and then learn from its peers that
// another node leads, while half of the machines reach only the old leader. It told the next leader
// that it knows its fencing token, so the next leader counts the leases of these machines as
// expired a lease duration later: the old leader must answer none of them from then on
// (`Leader.Supersede`), not even until its request to the state service has failed.
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
				time.Sleep(12 * time.Second) // until no watch is open through which it would learn that
				r.isolateFromPeers(r.first)
				r.setFault(r.supersede(false))
				time.Sleep(7*time.Second + time.Duration(phase)*210*time.Millisecond)
				r.healPartitions()
				r.setFault(r.supersede(true))
				r.awaitLeaderAfter(r.token)
				ran := r.runningTasks("j-000001")
				time.Sleep(600 * time.Millisecond) // until the nodes have exchanged their tokens
				r.isolateFromPeers(r.first)
				time.Sleep(time.Duration(leaseDurationS+4) * time.Second)
				r.setFault(nil)
				r.healPartitions()
				if ran != 3 || r.noted.count("heartbeat to the old leader") == 0 {
					t.Errorf("%d tasks ran, noted %v", ran, r.noted.counts)
				}
				r.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
				r.checkRules()
			})
		})
	}
}

// isolateFromWatches is the fault that drops the open watches of the first leader, and keeps the
// machines that will reach only this leader from reaching the others.
func (r *oldLeaderRun) isolateFromWatches(from string, q *http.Request) fake.Fault {
	switch {
	case isFromNode(from, r.first) && isOpenWatch(q):
		return fake.DroppedRequest
	case r.ids[machineOf(from)] && !r.isFirst(q.URL.Host):
		return fake.ServiceUnavailable
	}
	return fake.NoFault
}

// endSession is the fault by which the first leader loses the state service; if changes is set, it
// gets the changes all the same.
func (r *oldLeaderRun) endSession(changes bool) func(string, *http.Request) fake.Fault {
	return func(from string, q *http.Request) fake.Fault {
		switch {
		case isStateRequest(q) && isFromNode(from, r.first) && (!changes || q.URL.Path != "/watch"):
			return fake.DroppedRequest
		case isStateRequest(q) && isFromNode(from, r.first):
			r.noted.add("changes")
		case q.URL.Path == "/hosts/return":
			return fake.ServiceUnavailable
		case r.isMisdirected(from, q):
			return fake.ServiceUnavailable
		case changes && r.ids[machineOf(from)]:
			r.noted.add("heartbeat to the old leader")
		case r.isCallFromOthers(from, q):
			return fake.DroppedRequest
		}
		return fake.NoFault
	}
}

// TestDelayedChangesAfterSessionEnd has a leader whose session has ended learn of a job that was
// accepted under the next leader, before it notices that its own term is over: changes reach it
// late, all at once, while it waits for the response to the renewal of its session. The next leader
// starts new jobs without waiting for anybody; so the old one may start nothing unless its session
// lasts or all peers promise not to lead (`Term.IsExclusive`).
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
				r.setFault(r.isolateFromWatches)
				time.Sleep(12 * time.Second) // until no watch is open through which it would learn that
				r.setFault(r.endSession(false))
				r.awaitLeaderAfter(r.token)
				time.Sleep(500 * time.Millisecond) // a job that it finds at its failover does not count as new
				r.submitToOthers(longJob("j-000001", 4))
				time.Sleep(time.Duration(phase) * 270 * time.Millisecond)
				r.setFault(r.endSession(true))
				time.Sleep(4 * time.Second)
				for i := 0; r.runningTasks("j-000001") == 0 && i < 100; i++ {
					time.Sleep(50 * time.Millisecond) // the machines try the next leader first
				}
				ran := r.runningTasks("j-000001")
				if ran == 0 || r.noted.count("changes") == 0 || r.noted.count("heartbeat to the old leader") == 0 {
					t.Errorf("%d tasks of the new job ran, noted %v", ran, r.noted.counts)
				}
				r.setFault(nil)
				r.healPartitions()
				r.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
				r.checkRules()
			})
		})
	}
}

// submitToOthers submits a job to the nodes other than the first leader, in turn.
func (r *oldLeaderRun) submitToOthers(job map[string]any) {
	for try := range 20 {
		if r.trySubmit((r.first+1+try%2)%3, job) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
}
