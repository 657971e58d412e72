package cluster

import (
	"maps"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/settings"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// smallJobScenario is a job that needs almost nothing by its owner's estimate, on a cluster that has no machines unless
// prepare changes that.
type smallJobScenario struct {
	name       string
	submission map[string]any // changes to a job of one task of one CPU that is estimated to take no time
	prepare    func(c *smallJobCluster)
	disturb    func(c *smallJobCluster) // after the submission
}

var smallJobScenarios = []smallJobScenario{
	{name: "no time"},
	{name: "a millisecond", submission: map[string]any{"expect_s": 0.001}},
	{name: "ten milliseconds", submission: map[string]any{"expect_s": 0.01}},
	{name: "minutes of almost no CPU", submission: map[string]any{"expect_s": 120.0, "vcpus": 0.0001, "memory_gb": 0.0001}},
	{name: "minutes of memory alone", submission: map[string]any{"expect_s": 120.0, "vcpus": 0.0}},
	{name: "all memory of a machine", submission: map[string]any{"vcpus": 0.0, "memory_gb": 16.0}},
	{name: "a whole machine", submission: map[string]any{"vcpus": 4.0, "memory_gb": 16.0}},
	{name: "no resources", submission: map[string]any{"vcpus": 0.0, "memory_gb": 0.0, "pull_gb": 0.0}},
	{name: "array", submission: map[string]any{"pieces": 3}},
	{name: "gang", submission: gangOf(3)},
	{name: "gang without resources", submission: map[string]any{"shape": wire.KindGang, "pieces": 3, "vcpus": 0.0, "memory_gb": 0.0}},
	{name: "lowest priority", submission: map[string]any{"rank": "idle"}},
	{name: "urgent", submission: map[string]any{"rank": "urgent"}},
	{name: "class with an objective", submission: map[string]any{"lane": "objective"}},
	{name: "with a deadline", submission: map[string]any{"due_s": 30.0}},
	{name: "bound to an instance type", submission: map[string]any{"builds": []string{"m4"}}},
	{name: "bound to a zone", submission: map[string]any{"hall": "b"}},
	{name: "spread over zones", submission: map[string]any{"scatter": true, "pieces": 2}},
	{name: "single zone", submission: map[string]any{"together": true, "pieces": 2}},
	{name: "no spot machines allowed", submission: map[string]any{"standby": false}},
	{name: "almost no CPU, no spot machines allowed, beside one", submission: map[string]any{"standby": false, "vcpus": 0.001, "memory_gb": 0.001}, prepare: (*smallJobCluster).startLongTask},
	{name: "no spot capacity", prepare: (*smallJobCluster).refuseSpot},
	{name: "lowest priority without spot capacity", submission: map[string]any{"rank": "idle"}, prepare: (*smallJobCluster).refuseSpot},
	{name: "no capacity for minutes", submission: map[string]any{"expect_s": 20.0}, prepare: (*smallJobCluster).refuseAll, disturb: (*smallJobCluster).offerAllLater},
	{name: "gang, no capacity for minutes", submission: gangOf(2), prepare: (*smallJobCluster).refuseAll, disturb: (*smallJobCluster).offerAllLater},
	{name: "cloud unavailable for minutes", prepare: (*smallJobCluster).failCloudRequests, disturb: (*smallJobCluster).healLater},
	{name: "leader ends", disturb: (*smallJobCluster).restartLeader},
	{name: "leader ends while there is no capacity", prepare: (*smallJobCluster).refuseAll, disturb: (*smallJobCluster).restartLeaderThenOffer},
	{name: "all nodes end", disturb: (*smallJobCluster).restartAllNodes},
	{name: "no free CPU", prepare: (*smallJobCluster).startLargeTask},
	{name: "lowest priority, no free CPU", submission: map[string]any{"rank": "idle"}, prepare: (*smallJobCluster).startLargeTask},
	{name: "gang, no free CPU", submission: gangOf(2), prepare: (*smallJobCluster).startLargeTask},
	{name: "no free memory", submission: map[string]any{"memory_gb": 16.0}, prepare: (*smallJobCluster).startLongTask},
	{name: "after the fleet has become empty", prepare: (*smallJobCluster).emptyFleet},
	{name: "lost zone", submission: map[string]any{"hall": "b"}, prepare: (*smallJobCluster).loseZoneB, disturb: (*smallJobCluster).healLater},
}

// gangOf returns the changes to a submission that make it a gang.
func gangOf(tasks int) map[string]any { return map[string]any{"shape": wire.KindGang, "pieces": tasks} }

const (
	// smallJobTimeout is the time within which a job must be done once there is no more trouble. An aged job that spot
	// machines could run gets an on-demand machine after two minutes.
	smallJobTimeout = 3 * time.Minute
	// troubleTime is the duration of a trouble. It exceeds the window over which demand is measured.
	troubleTime = 2 * time.Minute
)

// TestSmallJobOnIdleCluster guards against an accepted job that never runs because its estimated work is rounded off to
// no machine and no later event launches one.
func TestSmallJobOnIdleCluster(t *testing.T) {
	for _, scenario := range smallJobScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { scenario.run(t) })
		})
	}
}

// run submits the job and checks that it runs.
func (s smallJobScenario) run(t *testing.T) {
	c := newSmallJobCluster(t)
	defer c.close()
	if s.prepare != nil {
		s.prepare(c)
	}
	job := testJob("j-000001", 1)
	job["expect_s"] = 0.0
	maps.Copy(job, s.submission)
	c.submitJob(job)
	if s.disturb != nil {
		s.disturb(c)
	}
	c.awaitStatus("j-000001", wire.JobDone, smallJobTimeout)
	c.checkRules()
}

// smallJobCluster is a cluster with two zones whose cloud may lack capacity.
type smallJobCluster struct {
	*cluster
	refusesSpot, refusesAll atomic.Bool // whether the cloud has no capacity for spot machines, or none at all
}

// newSmallJobCluster starts a cluster and waits until every node knows the instance types.
func newSmallJobCluster(t *testing.T) *smallJobCluster {
	zones := []string{"a", "b"}
	c := &smallJobCluster{cluster: newTunedCluster(t, 3, func(s *settings.Settings) {
		s.Params.Zones = zones
		s.Params.Objectives = []settings.Objective{{Kind: settings.ObjectiveWait, Class: "objective", WithinS: 5, Share: 0.9}}
	})}
	c.rules.InstanceTypes[0].Zones = zones
	c.cloud.Configure(func(config *fake.CloudConfig) {
		config.Zones = zones
		config.HasCapacity = func(request wire.LaunchRequest) bool {
			return !c.refusesAll.Load() && !(request.Spot && c.refusesSpot.Load())
		}
		config.RuntimeOf = func(task string) float64 {
			if strings.HasPrefix(task, "j-000009/") {
				return time.Hour.Seconds()
			}
			return 5
		}
	})
	time.Sleep(3 * time.Second)
	return c
}

func (c *smallJobCluster) refuseSpot() { c.refusesSpot.Store(true) }
func (c *smallJobCluster) refuseAll()  { c.refusesAll.Store(true) }

// offerAllLater ends refuseAll after troubleTime.
func (c *smallJobCluster) offerAllLater() {
	time.Sleep(troubleTime)
	c.refusesAll.Store(false)
}

// failCloudRequests makes all requests to the cloud fail.
func (c *smallJobCluster) failCloudRequests() { c.setFault(refuseAllCloudRequests) }

// healLater ends all faults of messages after troubleTime.
func (c *smallJobCluster) healLater() {
	time.Sleep(troubleTime)
	c.setFault(nil)
}

// restartLeader ends the leading node and waits for the next leader.
func (c *smallJobCluster) restartLeader() {
	token := c.fencingToken()
	c.restartNodes(c.leader())
	c.awaitLeaderAfter(token)
}

// restartLeaderThenOffer has the leader end while the cloud has no capacity, which it has again later.
func (c *smallJobCluster) restartLeaderThenOffer() {
	time.Sleep(troubleTime)
	c.restartLeader()
	c.offerAllLater()
}

// restartAllNodes ends all nodes at once.
func (c *smallJobCluster) restartAllNodes() {
	token := c.fencingToken()
	c.restartNodes(0, 1, 2)
	c.awaitLeaderAfter(token)
}

// startTask has a task of an hour run that needs the given numbers of CPUs and GB of memory, and waits until its machine
// is the only one and the demand has decayed.
func (c *smallJobCluster) startTask(cpus, memoryGB float64) {
	job := testJob("j-000009", 1)
	job["vcpus"], job["memory_gb"] = cpus, memoryGB
	c.submitAndAwaitRunning(job)
	time.Sleep(troubleTime)
	if n := len(c.cloud.Workers()); n != 1 {
		c.t.Fatalf("%d machines beside a single task, want 1", n)
	}
}

// startLongTask has a task of an hour run that leaves most of its machine free.
func (c *smallJobCluster) startLongTask() { c.startTask(1, 1) }

// startLargeTask has a task of an hour run that leaves no CPU of its machine free.
func (c *smallJobCluster) startLargeTask() { c.startTask(4, 1) }

// emptyFleet has a job run, and waits until the cluster has no machine left.
func (c *smallJobCluster) emptyFleet() {
	c.submit("j-000008", 1)
	c.awaitStatus("j-000008", wire.JobDone, smallJobTimeout)
	for range 600 {
		if len(c.cloud.Workers()) == 0 {
			return
		}
		time.Sleep(time.Second)
	}
	c.t.Fatalf("%d machines are left of an idle fleet", len(c.cloud.Workers()))
}

// loseZoneB has a job run on a machine of each zone, and then drops all messages of the machines in zone b.
func (c *smallJobCluster) loseZoneB() {
	job := testJob("j-000007", 4)
	job["vcpus"], job["scatter"] = 4.0, true
	c.submitJob(job)
	c.awaitStatus("j-000007", wire.JobDone, smallJobTimeout)
	var dropped counter
	c.setFault(c.dropZoneB(&dropped))
	time.Sleep(2 * time.Second)
	if dropped.count("dropped") == 0 {
		c.t.Fatal("no message of zone b was dropped")
	}
}

// dropZoneB returns a fault function that drops all messages of the machines in zone b.
func (c *smallJobCluster) dropZoneB(dropped *counter) func(string, *http.Request) fake.Fault {
	return func(from string, r *http.Request) fake.Fault {
		if c.rules.ZoneOf(machineOf(from)) == "b" || c.rules.ZoneOf(machineOf(r.URL.Host)) == "b" {
			dropped.add("dropped")
			return fake.DroppedRequest
		}
		return fake.NoFault
	}
}
