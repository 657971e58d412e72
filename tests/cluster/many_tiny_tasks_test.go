package cluster

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// tinyTasksScenario is a number of jobs of a hundred tiny tasks each, all of which would fit on one machine by their
// CPUs and memory.
type tinyTasksScenario struct {
	name      string
	runtimeS  float64
	machines  int           // maximum number; 0: unlimited
	unstored  time.Duration // for how long the state service refuses all writes once the first tasks are on machines
	doneAfter time.Duration // time within which all jobs are done after that
}

var tinyTasksScenarios = []tinyTasksScenario{
	{name: "running", runtimeS: 60, doneAfter: 3 * time.Minute},
	{name: "running, one machine", runtimeS: 20, machines: 1, doneAfter: 3 * time.Minute},
	{name: "ended, and not stored", runtimeS: 3, machines: 1, unstored: time.Minute, doneAfter: 3 * time.Minute},
}

// TestTinyTasksOutliveHeartbeats guards against tasks that are killed again and again because so many of them, running or
// not cleared yet, are on a machine that its heartbeats are larger than a request may be.
func TestTinyTasksOutliveHeartbeats(t *testing.T) {
	for _, scenario := range tinyTasksScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { scenario.run(t) })
		})
	}
}

// run checks that all jobs end, and that no task is started twice.
func (s tinyTasksScenario) run(t *testing.T) {
	const jobs, tasks = 12, 100
	c := newCluster(t)
	defer c.close()
	c.cloud.Configure(func(config *fake.CloudConfig) {
		config.RuntimeOf = func(string) float64 { return s.runtimeS }
		config.MaxMachines = s.machines
	})
	time.Sleep(3 * time.Second)
	var ids []string
	for n := range jobs {
		job := tinyJob(tasks)
		ids = append(ids, fmt.Sprintf("j-%06d", n+1))
		job["id"] = ids[n]
		c.submitJob(job)
	}
	for range 600 { // a minute
		if c.cloud.Starts() > 0 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if c.cloud.Starts() == 0 {
		t.Fatal("no task was started within a minute")
	}
	c.setFault(func(_ string, r *http.Request) fake.Fault {
		if r.URL.Path == "/txn" && s.unstored > 0 {
			return fake.ServiceUnavailable
		}
		return fake.NoFault
	})
	time.Sleep(s.unstored)
	c.setFault(nil)
	for _, id := range ids {
		c.awaitStatus(id, wire.JobDone, s.doneAfter)
		if starts := c.cloud.StartsOf(id); starts != tasks {
			t.Errorf("%s: %d starts of %d tasks, want one of each", id, starts, tasks)
		}
	}
	c.checkRules()
}
