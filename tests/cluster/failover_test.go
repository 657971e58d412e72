package cluster

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/settings"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// termEnd is an event that ends a leader's term.
type termEnd struct {
	name    string
	end     func(c *cluster)
	standby *settings.Standby // nil: the warm standby is off
	pause   time.Duration     // additional delay before the term is ended
}

// termEnds lists the cases of TestCancellationDuringFailover.
var termEnds = []termEnd{
	// A handover needs the warm standby, and takes less time than the other failovers, so it starts later.
	{name: "handover", end: func(c *cluster) { c.handOver() }, standby: testStandby(), pause: 1500 * time.Millisecond},
	{name: "crash", end: func(c *cluster) { c.kill(c.leader()) }},
	{name: "restart", end: func(c *cluster) { c.restartNodes(c.leader()) }},
	{name: "state service unavailable to the leader", end: blockStateForCurrentLeader},
	{name: "state service unavailable to the leader, peers partitioned", end: blockStateAndPartitionLeader},
}

// blockStateForCurrentLeader makes the state service unavailable to the leader.
func blockStateForCurrentLeader(c *cluster) { c.setFault(stateUnavailableTo(c.leader())) }

// blockStateAndPartitionLeader makes the state service and the other nodes unavailable to the leader, so that it cannot
// learn that another node leads.
func blockStateAndPartitionLeader(c *cluster) {
	leader := c.leader()
	c.isolateFromPeers(leader)
	c.setFault(stateUnavailableTo(leader))
}

// cancellationRun is a cluster with jobs that are cancelled one after another while the leader's term ends.
type cancellationRun struct {
	*cluster
	ids         []string
	firstLeader int    // index of the first leader
	token       uint64 // its fencing token
}

// TestCancellationDuringFailover checks cancellations at every stage of a failover. After a cancellation is confirmed,
// no task of the job may start, except by start commands that were already in flight.
func TestCancellationDuringFailover(t *testing.T) {
	for _, tc := range termEnds {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &cancellationRun{cluster: newStandbyCluster(t, 5, noTuning, tc.standby)}
				defer r.close()
				r.cloud.RuntimeOf = func(string) float64 { return 300 }
				r.submitJobs()
				r.firstLeader, r.token = r.leader(), r.fencingToken()
				time.AfterFunc(400*time.Millisecond+tc.pause, func() { tc.end(r.cluster) })
				beforeFailover, afterFailover := r.cancelJobs()
				time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
				r.setFault(nil)
				r.healPartitions()
				for _, id := range r.ids {
					r.submit(id, 2)
					r.cancelJob(id, 0)
				}
				time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
				if left := r.cloud.TasksOnMachines(); len(left) > 0 {
					t.Errorf("tasks %v are still on machines after the cancellation timeout", left)
				}
				if beforeFailover < 2 || afterFailover < 2 {
					t.Errorf("%d jobs were cancelled before the next leader led and %d after, want at least 2 each", beforeFailover, afterFailover)
				}
				// The rules allow starts that were in flight when the cancellation was confirmed, but there are none
				// here.
				if n := r.rules.StartsAfterCancel(); n > 0 {
					t.Errorf("%d starts after a confirmed cancellation, want none", n)
				}
				r.checkRules()
			})
		})
	}
}

// submitJobs submits six of twelve jobs and waits until they run. The others are submitted during the next seconds, and
// are being started while the term ends.
func (r *cancellationRun) submitJobs() {
	const jobs = 12
	for n := range jobs {
		r.ids = append(r.ids, fmt.Sprintf("j-%06d", n+1))
	}
	for i, id := range r.ids {
		if i%2 == 0 {
			r.submitAndAwaitRunning(longJob(id, 2))
		} else {
			time.AfterFunc(time.Duration(i)*200*time.Millisecond, func() { r.submit(id, 2) })
		}
	}
}

// cancelJobs cancels the jobs one after another, except those that are not accepted yet. It returns the number of
// cancellations that were confirmed before the next leader led, and of those confirmed after.
func (r *cancellationRun) cancelJobs() (beforeFailover, afterFailover int) {
	for i, id := range r.ids {
		time.Sleep(150 * time.Millisecond)
		if i%2 == 1 {
			time.Sleep(400 * time.Millisecond)
		}
		if code, _ := r.queryJob((r.firstLeader+1)%5, id); code != http.StatusOK {
			continue // not accepted yet
		}
		r.cancelJob(id, (r.firstLeader+1+i)%5)
		if r.fencingToken() == r.token {
			beforeFailover++
		} else {
			afterFailover++
		}
	}
	return beforeFailover, afterFailover
}

// machineWriteFault is a fault that affects the writes of keys with the given prefix.
type machineWriteFault struct {
	name      string
	keyPrefix string
	fault     fake.Fault
}

// machineWriteFaults lists faults of the writes that contain machine IDs.
var machineWriteFaults = []machineWriteFault{
	{"machine lists delayed", "c/u/", fake.DelayedRequest},
	{"launch intents delayed", "c/b/", fake.DelayedRequest},
	{"machine lists rejected", "c/u/", fake.ServiceUnavailable},
	{"launch intents dropped", "c/b/", fake.DroppedRequest},
	{"responses to machine lists dropped", "c/u/", fake.DroppedResponse},
}

// affects reports whether the fault applies to a request. The first write of each launch intent, which contains no
// machine ID yet, is not affected, because without it nothing would be launched.
func (f machineWriteFault) affects(r *http.Request) bool {
	return r.URL.Path == "/txn" && bodyContains(r, f.keyPrefix) && (f.keyPrefix != "c/b/" || bodyContains(r, "i-0"))
}

// TestFailoverWithDelayedMachineWrites checks a failover while the writes that contain the IDs of new machines are
// delayed or lost. The machines boot immediately and can get tasks. Those that have tasks at the failover are isolated
// from the next leader, which must know of them nevertheless, or it would start their tasks elsewhere.
func TestFailoverWithDelayedMachineWrites(t *testing.T) {
	for _, fault := range machineWriteFaults {
		for _, after := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 5 * time.Second, 10 * time.Second} {
			t.Run(fmt.Sprintf("%s, failover %v later", fault.name, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { fault.run(t, after) })
			})
		}
	}
}

// run restarts the leader some time after the first write that is affected by the fault, and checks that the isolated
// tasks still run.
func (f machineWriteFault) run(t *testing.T, after time.Duration) {
	c := newCluster(t)
	defer c.close()
	c.cloud.RuntimeOf = func(string) float64 { return 60 }
	c.submit("j-000009", 1) // so that the nodes know the instance types
	time.Sleep(3 * time.Second)
	f.submitUnderFault(c)
	time.Sleep(after)
	var dropped counter
	isolated := isolateMachines(c.machinesOf("j-000001"), &dropped)
	c.setFault(func(from string, r *http.Request) fake.Fault {
		if f.affects(r) {
			return f.fault
		}
		return isolated(from, r)
	})
	before, ran := c.fencingToken(), c.runningTasks("j-000001")
	c.restartNodes(c.leader())
	c.awaitLeaderAfter(before)
	time.Sleep(2 * time.Second)
	c.setFault(isolated)
	time.Sleep(1500 * time.Millisecond)
	if running := c.runningTasks("j-000001"); running < ran {
		t.Errorf("%d of %d tasks on isolated machines still run, want all", running, ran)
	}
	c.setFault(nil)
	c.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
	c.checkRules()
}

// submitUnderFault sets the fault, submits a job that needs further machines, and waits until the fault has affected a
// write.
func (f machineWriteFault) submitUnderFault(c *cluster) {
	c.t.Helper()
	var events counter
	c.setFault(func(_ string, r *http.Request) fake.Fault {
		if f.affects(r) {
			events.add("fault")
			return f.fault
		}
		return fake.NoFault
	})
	c.submitWithin(4*time.Second, longJob("j-000001", 12))
	for i := 0; events.count("fault") == 0; i++ {
		if i == 200 {
			c.t.Fatalf("the fault %q affected no write within 10 s", f.name)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
