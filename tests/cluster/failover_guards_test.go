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

// TestMachineListWithoutLaunchIntent has the state service store machine lists, but not the launch
// intents with the IDs of these machines: their transactions are rejected, dropped or delayed. Then
// a failover follows. The next leader finds machines that are listed and have no launch intent, and
// takes them for gone: none of them may have got a task (the guard is `stored` in machine.open).
func TestMachineListWithoutLaunchIntent(t *testing.T) {
	faults := []struct {
		name  string
		fault fake.TxnFault
	}{{"rejected", fake.TxnUnavailable}, {"dropped", fake.TxnDropped}, {"delayed", fake.TxnDelayed}}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 40 }
				c.submit("j-000009", 4) // fills a machine that stays reachable
				time.Sleep(3 * time.Second)
				// A transaction that changes both is too large, and comes again in parts.
				c.state.SetTxnFault(func(x fake.Transaction) fake.TxnFault {
					namesMachines := slices.ContainsFunc(x.Compares, func(k wire.Compare) bool {
						return strings.HasPrefix(k.Key, replica.LaunchIntentPrefix) && k.ModRevision != 0
					})
					switch {
					case namesMachines && len(x.Keys) > 1:
						return fake.TxnTooLarge
					case namesMachines:
						return f.fault
					}
					return fake.TxnCommitted
				})
				long := testJob("j-000001", 12)
				long["expect_s"] = 200.0
				c.submitJob(long)
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
		const between = 45 // keys of jobs, in order between the launch intents and the leader key
		for n := range between {
			id := fmt.Sprintf("j-%06d", n+1)
			c.submit(id, 1)
			c.cancelJob(id, 0)
		}
		filler := testJob("j-800000", 8) // the next job needs other machines
		filler["expect_s"] = 200.0
		c.runJob(filler)
		first := c.leader()
		next := (first + 1) % 3
		c.kill(next)
		c.kill((first + 2) % 3)
		var pages, watches counter
		c.setFault(func(from string, r *http.Request) fake.Fault {
			switch {
			case isFromNode(from, next) && r.URL.Path == "/store":
				pages.add("read")
				return fake.HighLatency
			case isFromNode(from, next) && r.URL.Path == "/watch":
				watches.add("dropped")
				return fake.DroppedRequest
			}
			return fake.NoFault
		})
		c.start(next)
		time.Sleep(2 * time.Second) // until the launch intents are read
		job := testJob("j-900000", 8)
		job["expect_s"] = 200.0
		for range 40 {
			if code, _ := c.request(http.MethodPost, first, "/v1/jobs", job); code == http.StatusCreated {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		for i := 0; c.runningTasks("j-900000") < 8 && i < 100; i++ {
			time.Sleep(50 * time.Millisecond)
		}
		ran, read, before := c.runningTasks("j-900000"), pages.count("read"), c.fencingToken()
		var dropped counter
		isolated := c.isolateMachinesOf("j-900000", &dropped)
		c.kill(first)
		for i := 0; c.fencingToken() == before && i < 400; i++ {
			time.Sleep(50 * time.Millisecond)
		}
		if ran < 8 || c.fencingToken() == before || pages.count("read") <= read+4 || watches.count("dropped") == 0 {
			t.Errorf("%d tasks ran, fencing token %d after %d, pages %d after %d, %d watches dropped", ran, c.fencingToken(), before, pages.count("read"), read, watches.count("dropped"))
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

// TestSupersededLeader has a leader lose the state service, and then learn from its peers that
// another node leads, while half of the machines reach only the old leader. It told the next leader
// that it knows its fencing token, so the next leader counts the leases of these machines as
// expired a lease duration later: the old leader must answer none of them from then on
// (`superseded`), not even until its request to the state service has failed.
func TestSupersededLeader(t *testing.T) {
	for phase := range 8 {
		t.Run(fmt.Sprintf("phase %d", phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 60 }
				base := testJob("j-000009", 8) // leaves one CPU of each machine free
				base["vcpus"], base["expect_s"] = 3.0, 200.0
				c.runJob(base)
				job := testJob("j-000001", 3)
				job["expect_s"] = 200.0
				c.runJob(job)
				time.Sleep(2 * time.Second)
				ids := map[string]bool{}
				for _, w := range c.cloud.WorkersOf("j-000001") {
					ids[w.ID] = true
				}
				first, before := c.leader(), c.fencingToken()
				host := memberName(first)
				var noted counter
				c.setFault(func(from string, r *http.Request) fake.Fault {
					if isFromNode(from, first) && r.URL.Path == "/watch" && !strings.Contains(r.URL.RawQuery, "wait_ms=0") {
						return fake.DroppedRequest
					}
					return fake.NoFault
				})
				time.Sleep(12 * time.Second) // until no watch is open through which it would learn that
				fault := func(others bool) func(string, *http.Request) fake.Fault {
					return func(from string, r *http.Request) fake.Fault {
						switch {
						case isStateRequest(r) && isFromNode(from, first):
							return fake.DroppedRequest
						case isStateRequest(r) && !others || r.URL.Path == "/hosts/return":
							return fake.ServiceUnavailable
						case machineOf(from) != "" && ids[machineOf(from)] != (r.URL.Host == host+":8080"):
							return fake.ServiceUnavailable // the old leader would learn of the token from their heartbeats
						case ids[machineOf(from)] && others && c.fencingToken() > before:
							noted.add("heartbeat to the old leader")
						case ids[machineOf(r.URL.Host)] && !isFromNode(from, first):
							return fake.DroppedRequest
						}
						return fake.NoFault
					}
				}
				isolateLeader := func() { c.pipes.SetPartition(func(from, to string) bool { return (from == host) != (to == host) }) }
				isolateLeader()
				c.setFault(fault(false))
				time.Sleep(7*time.Second + time.Duration(phase)*210*time.Millisecond)
				c.healPeers()
				c.setFault(fault(true))
				c.awaitLeaderAfter(before)
				ran := c.runningTasks("j-000001")
				time.Sleep(600 * time.Millisecond) // until the nodes have exchanged their tokens
				isolateLeader()
				time.Sleep(time.Duration(leaseDurationS+4) * time.Second)
				c.setFault(nil)
				c.healPeers()
				if ran != 3 || noted.count("heartbeat to the old leader") == 0 {
					t.Errorf("%d tasks ran, noted %v", ran, noted.counts)
				}
				c.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
				c.checkRules()
			})
		})
	}
}

// TestDelayedChangesAfterSessionEnd has a leader whose session has ended learn of a job that was
// accepted under the next leader, before it notices that its own term is over: changes reach it
// late, all at once, while it waits for the response to the renewal of its session. The next leader
// starts new jobs without waiting for anybody; so the old one may start nothing unless its session
// lasts or all peers promise not to lead (`Term.Sure`).
func TestDelayedChangesAfterSessionEnd(t *testing.T) {
	for phase := range 6 {
		t.Run(fmt.Sprintf("phase %d", phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 40 }
				base := testJob("j-000009", 8) // leaves one CPU of each machine free
				base["vcpus"], base["expect_s"] = 3.0, 200.0
				c.runJob(base)
				time.Sleep(2 * time.Second)
				ids := map[string]bool{} // machines that reach only the old leader
				for i, w := range c.cloud.WorkersOf("j-000009") {
					ids[w.ID] = i%2 == 0
				}
				first, before := c.leader(), c.fencingToken()
				host := memberName(first)
				var noted counter
				fault := func(changes bool) func(string, *http.Request) fake.Fault {
					return func(from string, r *http.Request) fake.Fault {
						switch {
						case isStateRequest(r) && isFromNode(from, first) && (!changes || r.URL.Path != "/watch"):
							return fake.DroppedRequest
						case isStateRequest(r) && isFromNode(from, first):
							noted.add("changes")
						case r.URL.Path == "/hosts/return":
							return fake.ServiceUnavailable
						case machineOf(from) != "" && ids[machineOf(from)] != (r.URL.Host == host+":8080"):
							return fake.ServiceUnavailable
						case changes && ids[machineOf(from)]:
							noted.add("heartbeat to the old leader")
						case ids[machineOf(r.URL.Host)] && !isFromNode(from, first):
							return fake.DroppedRequest
						}
						return fake.NoFault
					}
				}
				c.pipes.SetPartition(func(from, to string) bool { return (from == host) != (to == host) })
				c.setFault(func(from string, r *http.Request) fake.Fault {
					switch {
					case isFromNode(from, first) && r.URL.Path == "/watch" && !strings.Contains(r.URL.RawQuery, "wait_ms=0"):
						return fake.DroppedRequest
					case ids[machineOf(from)] && r.URL.Host != host+":8080":
						return fake.ServiceUnavailable
					}
					return fake.NoFault
				})
				time.Sleep(12 * time.Second) // until no watch is open through which it would learn that
				c.setFault(fault(false))
				c.awaitLeaderAfter(before)
				time.Sleep(500 * time.Millisecond) // a job that it finds at its failover does not count as new
				job := testJob("j-000001", 4)
				job["expect_s"] = 200.0
				for try := range 20 {
					if code, _ := c.request(http.MethodPost, (first+1+try%2)%3, "/v1/jobs", job); code == http.StatusCreated || code == http.StatusOK {
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(time.Duration(phase) * 270 * time.Millisecond)
				c.setFault(fault(true))
				time.Sleep(4 * time.Second)
				for i := 0; c.runningTasks("j-000001") == 0 && i < 100; i++ {
					time.Sleep(50 * time.Millisecond) // the machines try the next leader first
				}
				ran := c.runningTasks("j-000001")
				if ran == 0 || noted.count("changes") == 0 || noted.count("heartbeat to the old leader") == 0 {
					t.Errorf("%d tasks of the new job ran, noted %v", ran, noted.counts)
				}
				c.setFault(nil)
				c.healPeers()
				c.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
				c.checkRules()
			})
		})
	}
}
