package caperlatch

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

// The tests in this file bring about the moments for which single guards are there. Each
// shows that its moment came, and fails when the guard is taken out.

// storedMachines lists the machines that stand in the stored values under a prefix.
func (c *cluster) storedMachines(prefix string) map[string]bool {
	names := map[string]bool{}
	for _, e := range c.state.Entries(prefix) {
		var value struct {
			Listed []string `json:"m"`        // of a list of machines that are up
			Booked []string `json:"machines"` // of a booking
		}
		if wire.Unmarshal(e.Value, &value) != nil {
			c.t.Fatalf("stored %s is unreadable", e.Key)
		}
		for _, entry := range append(value.Listed, value.Booked...) {
			id, _, _ := strings.Cut(entry, " ")
			names[id] = true
		}
	}
	return names
}

// machinesWithoutIntent counts the machines that stand in a stored list, but in no stored booking.
func (c *cluster) machinesWithoutIntent() (n int) {
	booked := c.storedMachines(replica.LaunchIntentPrefix)
	for id := range c.storedMachines(replica.MachineListPrefix) {
		if !booked[id] {
			n++
		}
	}
	return n
}

// isolateMachinesOf has the machines with tasks of a job be out of reach.
func (c *cluster) isolateMachinesOf(job string, dropped *counter) func(string, *http.Request) fake.Fault {
	ids := map[string]bool{}
	for _, w := range c.cloud.Workers() {
		ids[w.ID] = ids[w.ID] || slices.ContainsFunc(w.Tasks(), func(task string) bool { return strings.HasPrefix(task, job+"/") })
	}
	return isolateMachines(ids, dropped)
}

// TestMachineListWithoutLaunchIntent has the state service take lists of machines that are up, and the
// bookings that name these machines not: refused, lost or carried out late. Then the leader
// ends. The next one finds machines listed that no booking has, and takes them for gone:
// none of them may have got a task (the guard is `stored` in machine.open).
func TestMachineListWithoutLaunchIntent(t *testing.T) {
	fates := []struct {
		name string
		fate fake.TxnFault
	}{{"refused", fake.TxnUnavailable}, {"lost", fake.TxnDropped}, {"carried out late", fake.TxnDelayed}}
	for _, f := range fates {
		t.Run(f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 40 }
				c.submit("j-000009", 4) // it fills a machine that stays in reach
				time.Sleep(3 * time.Second)
				// One that changes both is too large, and comes again in parts.
				c.state.SetTxnFault(func(x fake.Transaction) fake.TxnFault {
					names := slices.ContainsFunc(x.Compares, func(k wire.Compare) bool {
						return strings.HasPrefix(k.Key, replica.LaunchIntentPrefix) && k.ModRevision != 0
					})
					switch {
					case names && len(x.Keys) > 1:
						return fake.TxnTooLarge
					case names:
						return f.fate
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
				unbooked, before := c.machinesWithoutIntent(), c.fencingToken()
				var dropped counter
				c.setFault(c.isolateMachinesOf("j-000001", &dropped))
				c.restartNodes(c.leader())
				c.awaitLeaderAfter(before)
				c.state.SetTxnFault(nil)
				time.Sleep(time.Duration(leaseDurationS-1) * time.Second)
				c.setFault(nil)
				if unbooked == 0 {
					t.Error("no machine was listed and not booked")
				}
				c.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
				c.checkRules()
			})
		})
	}
}

// TestStalePagesAtStart has a node start, whose pages of all keys are of different moments: the
// bookings from before the leader rented machines, the leader key from after it ended. It
// leads at once, with its watch held up. Without the barrier at the take-over it does not
// know of the machines that run the last job, and starts the job's tasks elsewhere.
func TestStalePagesAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTunedCluster(t, 3, func(s *settings.Settings) {
			s.Params.Workers.LeaseDurationS, s.Params.Workers.CancellationTimeoutS = 20, 50
		})
		defer c.close()
		c.cloud.RuntimeOf = func(string) float64 { return 60 }
		const between = 45 // keys of jobs that are read between the bookings and the leader key
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
				watches.add("held")
				return fake.DroppedRequest
			}
			return fake.NoFault
		})
		c.start(next)
		time.Sleep(2 * time.Second) // the bookings are read
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
		cutThem := c.isolateMachinesOf("j-900000", &dropped)
		c.kill(first)
		for i := 0; c.fencingToken() == before && i < 400; i++ {
			time.Sleep(50 * time.Millisecond)
		}
		if ran < 8 || c.fencingToken() == before || pages.count("read") <= read+4 || watches.count("held") == 0 {
			t.Errorf("%d tasks ran, token %d after %d, pages %d after %d, %d watches held", ran, c.fencingToken(), before, pages.count("read"), read, watches.count("held"))
		}
		time.Sleep(500 * time.Millisecond)
		c.setFault(cutThem)
		time.Sleep(9 * time.Second) // well within their lease
		if on := c.runningTasks("j-900000"); on < ran {
			t.Errorf("%d of %d tasks still ran", on, ran)
		}
		c.setFault(nil)
		c.start(first)
		c.awaitStatus("j-900000", wire.JobDone, 4*time.Minute)
		c.checkRules()
	})
}

// TestSupersededLeader has a leader be cut from the state service, and then hear from its
// peers that another leads, while half of the machines reach only it. It told the next
// leader that it knows its token, which thus counts these machines' leases as over a lease
// later: it must answer none of them from then on (`superseded`), not even until its
// request to the state service has failed.
func TestSupersededLeader(t *testing.T) {
	for phase := range 8 {
		t.Run(fmt.Sprintf("phase %d", phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 60 }
				base := testJob("j-000009", 8) // leaves a CPU of each machine
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
				host := fmt.Sprintf("host-%d", first)
				var met counter
				c.setFault(func(from string, r *http.Request) fake.Fault {
					if isFromNode(from, first) && r.URL.Path == "/watch" && !strings.Contains(r.URL.RawQuery, "wait_ms=0") {
						return fake.DroppedRequest
					}
					return fake.NoFault
				})
				time.Sleep(12 * time.Second) // until no watch is open that would tell it
				fault := func(others bool) func(string, *http.Request) fake.Fault {
					return func(from string, r *http.Request) fake.Fault {
						switch {
						case isStateRequest(r) && isFromNode(from, first):
							return fake.DroppedRequest
						case isStateRequest(r) && !others || r.URL.Path == "/hosts/return":
							return fake.ServiceUnavailable
						case machineOf(from) != "" && ids[machineOf(from)] != (r.URL.Host == host+":8080"):
							return fake.ServiceUnavailable // the others would tell the old leader by their reports
						case ids[machineOf(from)] && others && c.fencingToken() > before:
							met.add("reports to the old leader")
						case ids[machineOf(r.URL.Host)] && !isFromNode(from, first):
							return fake.DroppedRequest
						}
						return fake.NoFault
					}
				}
				cut := func() { c.pipes.SetPartition(func(from, to string) bool { return (from == host) != (to == host) }) }
				cut()
				c.setFault(fault(false))
				time.Sleep(7*time.Second + time.Duration(phase)*210*time.Millisecond)
				c.healPeers()
				c.setFault(fault(true))
				c.awaitLeaderAfter(before)
				ran := c.runningTasks("j-000001")
				time.Sleep(600 * time.Millisecond) // until all have told each other
				cut()
				time.Sleep(time.Duration(leaseDurationS+4) * time.Second)
				c.setFault(nil)
				c.healPeers()
				if ran != 3 || met.count("reports to the old leader") == 0 {
					t.Errorf("%d tasks ran, met %v", ran, met.counts)
				}
				c.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
				c.checkRules()
			})
		})
	}
}

// TestDelayedChangesAfterSessionEnd has a leader whose hold has ended hear of a job that was accepted
// under the next leader, before it notices that its own term is over: its changes come late,
// all at once, while it waits for the answer about its hold. The next leader starts new jobs
// without waiting for anybody; so the old one may start nothing unless its hold lasts or all
// peers promise not to lead (`Term.Sure`).
func TestDelayedChangesAfterSessionEnd(t *testing.T) {
	for phase := range 6 {
		t.Run(fmt.Sprintf("phase %d", phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RuntimeOf = func(string) float64 { return 40 }
				base := testJob("j-000009", 8) // leaves a CPU of each machine
				base["vcpus"], base["expect_s"] = 3.0, 200.0
				c.runJob(base)
				time.Sleep(2 * time.Second)
				ids := map[string]bool{} // machines that reach the old leader only
				for i, w := range c.cloud.WorkersOf("j-000009") {
					ids[w.ID] = i%2 == 0
				}
				first, before := c.leader(), c.fencingToken()
				host := fmt.Sprintf("host-%d", first)
				var met counter
				fault := func(news bool) func(string, *http.Request) fake.Fault {
					return func(from string, r *http.Request) fake.Fault {
						switch {
						case isStateRequest(r) && isFromNode(from, first) && (!news || r.URL.Path != "/watch"):
							return fake.DroppedRequest
						case isStateRequest(r) && isFromNode(from, first):
							met.add("news")
						case r.URL.Path == "/hosts/return":
							return fake.ServiceUnavailable
						case machineOf(from) != "" && ids[machineOf(from)] != (r.URL.Host == host+":8080"):
							return fake.ServiceUnavailable
						case news && ids[machineOf(from)]:
							met.add("reports to the old leader")
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
				time.Sleep(12 * time.Second) // until no watch is open that would tell it
				c.setFault(fault(false))
				c.awaitLeaderAfter(before)
				time.Sleep(500 * time.Millisecond) // a job that it finds at its take-over is none of its own
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
					time.Sleep(50 * time.Millisecond) // machines look for the next leader first
				}
				ran := c.runningTasks("j-000001")
				if ran == 0 || met.count("news") == 0 || met.count("reports to the old leader") == 0 {
					t.Errorf("%d tasks of the new job ran, met %v", ran, met.counts)
				}
				c.setFault(nil)
				c.healPeers()
				c.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
				c.checkRules()
			})
		})
	}
}
