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

// termEnd is a way in which a leader's term ends.
type termEnd struct {
	name    string
	end     func(c *cluster)
	standby *settings.Standby // nil: none
	pause   time.Duration     // until the term is ended
}

// termEnds are the ways in which a leader's term ends.
var termEnds = []termEnd{
	// A handover needs the standby, and takes less time than the other ways.
	{name: "handover", end: func(c *cluster) { c.handover() }, standby: testStandby(), pause: 1500 * time.Millisecond},
	{name: "crash", end: func(c *cluster) { c.kill(c.leader()) }},
	{name: "restart", end: func(c *cluster) { c.restartNodes(c.leader()) }},
	{name: "state service unavailable to the leader", end: refuseLeader},
	{name: "state service unavailable to the leader, peers partitioned", end: refuseAndPartitionLeader},
}

// refuseLeader makes the state service unavailable to the leader.
func refuseLeader(c *cluster) { c.setFault(stateUnavailableTo(c.leader())) }

// refuseAndPartitionLeader makes the state service and the other nodes unavailable to the leader: it
// cannot learn from anyone that another node leads.
func refuseAndPartitionLeader(c *cluster) {
	i := c.leader()
	c.isolateFromPeers(i)
	c.setFault(stateUnavailableTo(i))
}

// cancellationRun is a cluster with jobs that are cancelled one after the other as the leader's term
// ends.
type cancellationRun struct {
	*cluster
	ids   []string
	led   int    // the node that leads at first
	token uint64 // its fencing token
}

// TestCancellationDuringFailover has jobs cancelled in the seconds of a failover, at every stage of
// it; no task of them starts once its user was told, but for starts that were on their way.
func TestCancellationDuringFailover(t *testing.T) {
	for _, way := range termEnds {
		t.Run(way.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &cancellationRun{cluster: newStandbyCluster(t, 5, noTuning, way.standby)}
				defer r.close()
				r.cloud.RuntimeOf = func(string) float64 { return 300 }
				r.submitJobs()
				r.led, r.token = r.leader(), r.fencingToken()
				time.AfterFunc(400*time.Millisecond+way.pause, func() { way.end(r.cluster) })
				before, after := r.cancelJobs()
				time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
				r.setFault(nil)
				r.healPartitions()
				for _, id := range r.ids {
					r.submit(id, 2)
					r.cancelJob(id, 0)
				}
				time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
				if on := r.cloud.TasksOnMachines(); len(on) > 0 {
					t.Errorf("still on machines: %v", on)
				}
				if before < 2 || after < 2 {
					t.Errorf("%d jobs were cancelled before the next leader led, %d after", before, after)
				}
				// Starts that were on their way as their user was told are admitted; here there
				// were none.
				if n := r.rules.StartsAfterCancel(); n > 0 {
					t.Errorf("%d starts after a cancellation", n)
				}
				r.checkRules()
			})
		})
	}
}

// submitJobs submits twelve jobs. Half of them run; the others are submitted in the next seconds, and
// are being started as the term ends.
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

// cancelJobs cancels the jobs one after the other, those that are not accepted yet excepted. It counts
// the cancellations that were confirmed before the next leader led, and after.
func (r *cancellationRun) cancelJobs() (before, after int) {
	for i, id := range r.ids {
		time.Sleep(150 * time.Millisecond)
		if i%2 == 1 {
			time.Sleep(400 * time.Millisecond)
		}
		if code, _ := r.queryJob((r.led+1)%5, id); code != http.StatusOK {
			continue // not accepted yet
		}
		r.cancelJob(id, (r.led+1+i)%5)
		if r.fencingToken() == r.token {
			before++
		} else {
			after++
		}
	}
	return before, after
}

// machineWriteFault is a fault of the writes of some keys.
type machineWriteFault struct {
	name  string
	key   string // prefix of the keys
	fault fake.Fault
}

// machineWriteFaults are faults of the writes that name machines.
var machineWriteFaults = []machineWriteFault{
	{"machine lists delayed", "c/u/", fake.DelayedRequest},
	{"launch intents delayed", "c/b/", fake.DelayedRequest},
	{"machine lists rejected", "c/u/", fake.ServiceUnavailable},
	{"launch intents dropped", "c/b/", fake.DroppedRequest},
	{"responses to machine lists dropped", "c/u/", fake.DroppedResponse},
}

// affects reports whether a request has the fault. The first write of each launch intent passes, or
// nothing is launched.
func (f machineWriteFault) affects(r *http.Request) bool {
	return r.URL.Path == "/txn" && bodyContains(r, f.key) && (f.key != "c/b/" || bodyContains(r, "i-0"))
}

// TestFailoverWithDelayedMachineWrites has machines that are up at once get work while the writes
// that name them are delayed or lost, and then a failover. The machines that have work then are
// isolated from the next leader: it must know of them all the same, or it starts their tasks
// elsewhere.
func TestFailoverWithDelayedMachineWrites(t *testing.T) {
	for _, fault := range machineWriteFaults {
		for _, after := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 5 * time.Second, 10 * time.Second} {
			t.Run(fmt.Sprintf("%s, failover %v later", fault.name, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { fault.run(t, after) })
			})
		}
	}
}

// run forces the failover a while after the first write that has the fault.
func (f machineWriteFault) run(t *testing.T, after time.Duration) {
	c := newCluster(t)
	defer c.close()
	c.cloud.RuntimeOf = func(string) float64 { return 60 }
	c.submit("j-000009", 1) // so that the instance types are known
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
	if on := c.runningTasks("j-000001"); on < ran {
		t.Errorf("%d of %d tasks still run", on, ran)
	}
	c.setFault(nil)
	c.awaitStatus("j-000001", wire.JobDone, 4*time.Minute)
	c.checkRules()
}

// submitUnderFault sets the fault, submits a job that needs further machines, and waits until a write
// has had the fault.
func (f machineWriteFault) submitUnderFault(c *cluster) {
	c.t.Helper()
	var noted counter
	c.setFault(func(_ string, r *http.Request) fake.Fault {
		if f.affects(r) {
			noted.add("fault")
			return f.fault
		}
		return fake.NoFault
	})
	c.submitWithin(4*time.Second, longJob("j-000001", 12))
	for i := 0; noted.count("fault") == 0; i++ {
		if i == 200 {
			c.t.Fatal("no such write occurred")
		}
		time.Sleep(50 * time.Millisecond)
	}
}
