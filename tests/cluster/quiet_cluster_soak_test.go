package cluster

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

const (
	soakVariable = "CAPERLATCH_SOAK" // number of seeds; default: soakSeeds
	soakSeeds    = 100
	soakSteps    = 5 // per seed

	maxSoakTasks    = 5  // of a job
	maxSoakRuntimeS = 30 // of a task
	// soakTimeout is the time within which a job must be done after the last trouble: it may wait for maxWaitBesideRoom,
	// and its tasks may run one after the other.
	soakTimeout = maxWaitBesideRoom + maxSoakTasks*maxSoakRuntimeS*time.Second
)

// TestQuietClusterSoak submits a few random jobs to clusters on which little else happens, beside random troubles. Each
// accepted job must be done soon after the last trouble.
func TestQuietClusterSoak(t *testing.T) {
	seeds := intFromEnvironment(t, soakVariable, soakSeeds)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runSoak(t, seed) })
		})
	}
}

// soakRun is the run of one seed.
type soakRun struct {
	*smallJobCluster
	random *rand.Rand
	jobs   []string // accepted ones

	mu       sync.Mutex
	runtimeS map[string]float64 // of a job's tasks
	failing  bool               // every task fails as soon as it starts
}

// runSoak runs the test with one seed.
func runSoak(t *testing.T, seed uint64) {
	r := &soakRun{
		smallJobCluster: newSmallJobCluster(t),
		random:          rand.New(rand.NewPCG(seed, 46)),
		runtimeS:        map[string]float64{},
	}
	defer r.close()
	r.cloud.Configure(func(config *fake.CloudConfig) { config.RuntimeOf, config.TaskFails = r.runtimeOf, r.fails })
	if r.random.IntN(2) == 0 {
		r.occupyMachine()
	}
	for range soakSteps {
		end := r.beginTrouble()
		for range 1 + r.random.IntN(2) {
			r.submitRandomJob()
		}
		r.sleepUpTo(2 * time.Minute)
		end()
		r.sleepUpTo(2 * time.Minute)
	}
	deadline := time.Now().Add(soakTimeout)
	for _, id := range r.jobs {
		r.awaitStatus(id, wire.JobDone, max(time.Second, time.Until(deadline)))
	}
	r.checkRules()
}

func (r *soakRun) sleepUpTo(d time.Duration) {
	time.Sleep(time.Duration(r.random.Int64N(int64(d))))
}

// runtimeOf returns the runtime of a task in seconds.
func (r *soakRun) runtimeOf(task string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runtimeS[task[:len("j-000000")]]
}

// fails reports whether a task fails now.
func (r *soakRun) fails(string, string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failing
}

func (r *soakRun) setFailing(failing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = failing
}

// occupyMachine has a task of hours run on a machine, which it fills or not.
func (r *soakRun) occupyMachine() {
	job := testJob("j-000009", 1)
	job["vcpus"] = pick(r.random, 1.0, 3.0, 4.0)
	r.mu.Lock()
	r.runtimeS["j-000009"] = (10 * time.Hour).Seconds()
	r.mu.Unlock()
	r.submitAndAwaitRunning(job)
}

// pick returns one of the values at random.
func pick[T any](random *rand.Rand, values ...T) T { return values[random.IntN(len(values))] }

// submitRandomJob submits a job of random shape and size.
func (r *soakRun) submitRandomJob() {
	id := fmt.Sprintf("j-%06d", 100+len(r.jobs))
	job := testJob(id, 1+r.random.IntN(maxSoakTasks))
	job["vcpus"] = pick(r.random, 0, 0.001, 0.5, 1, 4)
	job["memory_gb"] = pick(r.random, 0, 0.001, 1, 8, 16)
	job["pull_gb"] = pick(r.random, 0.0, 1)
	job["expect_s"] = pick(r.random, 0, 0.001, 0.05, 1, 10, 100)
	job["rank"] = pick(r.random, "idle", "normal", "urgent", "prod")
	job["lane"] = pick(r.random, "l", "objective")
	job["standby"] = r.random.IntN(3) > 0
	job["due_s"] = pick[any](r.random, nil, 10.0, 100.0)
	job["hall"] = pick[any](r.random, nil, nil, "a", "b")
	job["builds"] = pick[any](r.random, nil, []string{"m4"})
	switch r.random.IntN(5) {
	case 0:
		job["shape"] = wire.KindGang
		job["together"] = r.random.IntN(2) == 0
	case 1:
		job["together"] = true
	case 2:
		job["scatter"] = true
	}
	if job["hall"] != nil {
		job["scatter"] = false
	}
	r.mu.Lock()
	r.runtimeS[id] = pick(r.random, 0.1, 2, 10, maxSoakRuntimeS)
	r.mu.Unlock()
	if r.submitWithRetries(r.random.IntN(r.size), time.Second, job) {
		r.jobs = append(r.jobs, id)
	}
}

// beginTrouble begins a random trouble, and returns the function that ends it.
func (r *soakRun) beginTrouble() (end func()) {
	end = func() {}
	switch r.random.IntN(10) {
	case 0:
		r.refusesSpot.Store(true)
		end = func() { r.refusesSpot.Store(false) }
	case 1:
		r.refusesAll.Store(true)
		end = func() { r.refusesAll.Store(false) }
	case 2:
		r.failCloudRequests()
		end = func() { r.setFault(nil) }
	case 3:
		r.restartLeader()
	case 4:
		r.restartAllNodes()
	case 5:
		r.setFault(r.dropZoneB(&counter{}))
		end = func() { r.setFault(nil) }
	case 6:
		r.setFailing(true)
		end = func() { r.setFailing(false) }
	case 7:
		for _, w := range r.cloud.Workers() {
			w.Hang(time.Duration(1+r.random.IntN(40)) * time.Second)
		}
	case 8:
		r.setFault(everyNthNodeRequest(2, fake.ServiceUnavailable, isStateRequest))
		end = func() { r.setFault(nil) }
	}
	return end
}
