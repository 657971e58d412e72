package cluster

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// maxWaitBesideRoom is the longest time for which a job may wait while a machine has room for it, once all troubles are
// over.
const maxWaitBesideRoom = 90 * time.Second

// quietClusterScenario is a job that waits beside the only machine, which runs a long task and has room. Nothing else
// happens on the cluster.
type quietClusterScenario struct {
	name    string
	job     map[string]any
	failFor time.Duration // for how long the machine fails every task that it starts
}

var quietClusterScenarios = []quietClusterScenario{
	{name: "task fails twice", job: tinyJob(1), failFor: 8 * time.Second},
	{name: "tasks fail", job: tinyJob(10), failFor: 8 * time.Second},
	{name: "task fails once", job: tinyJob(1), failFor: time.Second},
	{name: "more tasks than a response starts", job: tinyJob(350)},
}

// tinyJob returns a job whose tasks need almost nothing, but run for long.
func tinyJob(tasks int) map[string]any {
	job := testJob("j-000001", tasks)
	job["vcpus"], job["memory_gb"], job["expect_s"] = 0.001, 0.001, 0.001
	return job
}

// TestJobIsStartedOnQuietCluster guards against a job that waits beside a machine with room for as long as nothing
// unrelated happens: its tasks had failed, or were more than one response to a heartbeat starts, and no plan was made.
func TestJobIsStartedOnQuietCluster(t *testing.T) {
	for _, scenario := range quietClusterScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { scenario.run(t) })
		})
	}
}

func (s quietClusterScenario) run(t *testing.T) {
	c := newCluster(t)
	defer c.close()
	var failing atomic.Bool
	var failures counter
	c.cloud.Configure(func(config *fake.CloudConfig) {
		config.RuntimeOf = func(string) float64 { return time.Hour.Seconds() }
		config.TaskFails = func(string, string) bool { return failing.Load() && failures.add("failed") > 0 }
	})
	c.submitAndAwaitRunning(testJob("j-000009", 1))
	time.Sleep(2 * time.Minute) // until other machines have been terminated and the demand has decayed
	if n := len(c.cloud.Workers()); n != 1 {
		t.Fatalf("%d machines, want 1", n)
	}
	failing.Store(s.failFor > 0)
	time.AfterFunc(s.failFor, func() { failing.Store(false) })
	c.submitJob(s.job)
	time.Sleep(s.failFor + maxWaitBesideRoom)
	if s.failFor > 0 && failures.count("failed") == 0 {
		t.Error("no task failed")
	}
	if got, want := c.runningTasks("j-000001"), s.job["pieces"]; got != want {
		t.Errorf("%d tasks run %v after the trouble, want %d", got, maxWaitBesideRoom, want)
	}
	if _, status := c.queryJob(0, "j-000001"); status.State != wire.JobRunning {
		t.Errorf("the job is %s, want %s", status.State, wire.JobRunning)
	}
	c.checkRules()
}
