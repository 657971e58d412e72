package cluster

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// writeKinds are the kinds of writes to the state service.
var writeKinds = []struct {
	name  string
	match func(r *http.Request) bool
}{
	{"submissions", func(r *http.Request) bool { return bodyContains(r, "c/j/") && bodyContains(r, "pieces") }},
	{"cancellations", writesOf("cancelled by its user")},
	{"completions", writesOf("all tasks done")},
	{"progress", writesOf("c/p/")},
	{"launch intents", writesOf("c/b/")},
	{"machine lists", writesOf("c/u/")},
	{"leader key and fencing token", writesOf("c/token")},
	{"sessions", func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/holds") }},
}

// writesOf returns a function that matches requests whose body contains the given content: a key, or part of a value.
func writesOf(content string) func(r *http.Request) bool {
	return func(r *http.Request) bool { return bodyContains(r, content) }
}

// TestDroppedWriteResponses drops most responses to writes of each kind. The writes are applied at once, so all nodes
// can read them. If a node repeats such a write, a condition fails because the first attempt was applied, and the node
// must allow for that.
func TestDroppedWriteResponses(t *testing.T) {
	for _, kind := range writeKinds {
		t.Run(kind.name, func(t *testing.T) {
			runUnderFault(t, 3, func(c *cluster, cancel func()) { dropResponsesToWrites(c, cancel, kind.match) })
		})
	}
}

// dropResponsesToWrites drops two of three responses to the writes that match, across submissions, a cancellation and two
// failovers. It fails the test if fewer than two writes match.
func dropResponsesToWrites(c *cluster, cancel func(), match func(r *http.Request) bool) {
	var dropped, seen counter
	c.setFault(func(_ string, r *http.Request) fake.Fault {
		if isStateRequest(r) && match(r) && dropped.add("dropped")%3 != 0 {
			return fake.DroppedResponse
		}
		return fake.NoFault
	})
	c.submit("j-000010", 2) // while the fault is active
	time.Sleep(6 * time.Second)
	c.queryFaultJobs(&seen)
	c.restartNodes(c.leader()) // so that nodes write the leader key and sessions
	time.Sleep(time.Second)
	cancel()
	for range 8 {
		c.queryFaultJobs(&seen)
		time.Sleep(100 * time.Millisecond)
	}
	c.restartNodes(c.leader())
	for range 10 {
		time.Sleep(900 * time.Millisecond)
		c.queryFaultJobs(&seen)
	}
	if n := dropped.count("dropped"); n < 2 {
		c.t.Errorf("%d writes matched, want at least 2", n)
	}
}

// queryFaultJobs queries all nodes about the jobs of runUnderFault, except the one that is submitted after the fault.
func (c *cluster) queryFaultJobs(seen *counter) {
	var users sync.WaitGroup
	for id := range faultJobRuntimes {
		if id != "j-000004" {
			job := longJob(id, len(faultJobRuntimes[id]))
			users.Go(func() { c.sendRequestsToAllNodes(job, false, 100*time.Millisecond, seen) })
		}
	}
	users.Wait()
}

// delayedWriteScenario delays a write, so that it arrives after a newer one.
type delayedWriteScenario struct {
	name      string
	run       func(c *cluster) (delayed *counter)
	runtimeOf func(task string) float64 // nil: delayedWriteRuntime
}

var delayedWriteScenarios = []delayedWriteScenario{
	{name: "machine list after one with more machines", run: delayMachineList},
	{name: "launch intent after one with its machines", run: delayLaunchIntent},
	{name: "progress after newer progress", run: delayProgress, runtimeOf: staggeredRuntime},
	{name: "completion after the job's cancellation", run: delayCompletion},
	{name: "cancellation after the job's completion", run: delayCancellation},
	{name: "submission after its repeat and the job's completion", run: delaySubmission},
}

// isQuickTask reports whether a task is one of those that end within seconds.
func isQuickTask(task string) bool {
	return task == "j-000003/0" || strings.HasPrefix(task, "j-000009")
}

// delayedWriteRuntime returns the run time of a task in seconds. Tasks that are not quick outlast the delay and a failover.
func delayedWriteRuntime(task string) float64 {
	if isQuickTask(task) {
		return 2.5
	}
	return 50
}

// staggeredRuntime returns the run time of a task in seconds. The tasks of a job end 4 s apart, and the fourth another
// 12 s later, so that each completion is a write of its own.
func staggeredRuntime(task string) float64 {
	if isQuickTask(task) {
		return 2.5
	}
	number := task[len(task)-1] - '0'
	return 2 + 4*float64(number) + 12*float64(number/3)
}

// TestDelayedWriteAfterNewer delays a write by 9 s, so that it arrives after newer writes of the same leader. It must not
// be applied, because it would undo what was decided in between.
func TestDelayedWriteAfterNewer(t *testing.T) {
	for _, scenario := range delayedWriteScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.cloud.RuntimeOf = delayedWriteRuntime
				if scenario.runtimeOf != nil {
					c.cloud.RuntimeOf = scenario.runtimeOf
				}
				time.Sleep(3 * time.Second)
				if delayed := scenario.run(c); delayed.count("delayed") == 0 {
					t.Error("no write was delayed")
				}
				c.checkRules()
			})
		})
	}
}

// delayWrites delays up to maxDelayed transactions that contain the given content, and counts all that contain it.
func delayWrites(c *cluster, maxDelayed int, content string) *counter {
	var delayed counter
	c.setFault(func(_ string, r *http.Request) fake.Fault {
		if r.URL.Path == "/txn" && bodyContains(r, content) && delayed.add("delayed") <= maxDelayed {
			return fake.DelayedRequest
		}
		return fake.NoFault
	})
	return &delayed
}

// checkNextLeaderKnows forces a failover while the machines that run a job are isolated. The next leader must learn of
// these machines from the stored values, and the job must complete.
func checkNextLeaderKnows(c *cluster, id string) {
	var dropped counter
	c.setFault(isolateMachines(c.machinesOf(id), &dropped))
	before := c.fencingToken()
	c.restartNodes(c.leader())
	c.awaitLeaderAfter(before)
	time.Sleep(4 * time.Second)
	if dropped.count("dropped") == 0 || c.runningTasks(id) == 0 {
		c.t.Errorf("%d messages dropped, %d tasks still running; want some of each", dropped.count("dropped"), c.runningTasks(id))
	}
	c.setFault(nil)
	c.awaitStatus(id, wire.JobDone, 4*time.Minute)
}

// delayMachineList delays the write of the machine list with the first job's machines. Applied late, it would remove the
// second job's machines from the list.
func delayMachineList(c *cluster) *counter {
	delayed := delayWrites(c, 1, "c/u/")
	c.submitAndAwaitRunning(longJob("j-000001", 4))
	c.submitAndAwaitRunning(longJob("j-000002", 4))
	time.Sleep(10 * time.Second)
	checkNextLeaderKnows(c, "j-000002")
	return delayed
}

// delayLaunchIntent delays the write of the launch intent of a job's machines. Applied late, it would remove the machines'
// IDs from the intent.
func delayLaunchIntent(c *cluster) *counter {
	delayed := delayWrites(c, 1, "c/b/")
	c.submitAndAwaitRunning(longJob("j-000001", 4))
	time.Sleep(10 * time.Second)
	checkNextLeaderKnows(c, "j-000001")
	return delayed
}

// delayProgress delays the write that records that the first task is done. Applied late, it would make the tasks that
// completed after it start again after the failover.
func delayProgress(c *cluster) *counter {
	delayed := delayWrites(c, 1, "c/p/")
	c.submitAndAwaitRunning(longJob("j-000001", 4)) // its tasks end 4 s apart
	time.Sleep(18 * time.Second)
	c.restartNodes(c.leader())
	c.awaitStatus("j-000001", wire.JobDone, 2*time.Minute)
	if n := c.cloud.Starts(); n != 4 {
		c.t.Errorf("%d task starts for 4 tasks, want 4", n)
	}
	return delayed
}

// delayCompletion cancels a job while the write that records its completion is delayed. The job must stay cancelled.
func delayCompletion(c *cluster) *counter {
	delayed := delayWrites(c, 1000, "all tasks done")
	c.submit("j-000003", 1)
	for i := 0; delayed.count("delayed") == 0 && i < 600; i++ {
		time.Sleep(100 * time.Millisecond)
	}
	c.cancelJob("j-000003", 1)
	time.Sleep(15 * time.Second)
	c.checkJobsKnown([]string{"j-000003"})
	c.awaitStatus("j-000003", wire.JobCancelled, time.Second)
	return delayed
}

// delayCancellation lets a job complete while the write of its cancellation is delayed. The job must stay done, and the
// user's cancellation must not be confirmed.
func delayCancellation(c *cluster) *counter {
	delayed := delayWrites(c, 1000, "cancelled by its user")
	c.submitAndAwaitRunning(testJob("j-000003", 1))
	if code, _ := c.requestCancellation(1, "j-000003"); code == http.StatusOK {
		c.t.Error("the cancellation was confirmed before it was applied")
	}
	c.awaitStatus("j-000003", wire.JobDone, 8*time.Second)
	time.Sleep(15 * time.Second)
	c.checkJobsKnown([]string{"j-000003"})
	return delayed
}

// delaySubmission delays the write of a job's first submission until the job was accepted by a repeated submission and has
// completed. The job must not become pending again.
func delaySubmission(c *cluster) *counter {
	delayed := delayWrites(c, 1, "pieces")
	c.submit("j-000003", 1)
	c.awaitStatus("j-000003", wire.JobDone, 20*time.Second)
	time.Sleep(10 * time.Second)
	c.checkJobsKnown([]string{"j-000003"})
	return delayed
}
