package cluster

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

const (
	// repeatsVariable and repeatsFirstVariable name the environment variables with the number of seeds and the first one.
	repeatsVariable      = "CAPERLATCH_REPEATS"
	repeatsFirstVariable = "CAPERLATCH_REPEATS_FIRST"
	repeatsSeeds         = 40

	repeatsMachines    = 8
	repeatsInitialJobs = 8
	repeatsDuration    = 90 * time.Second // for which troubles are begun
	// repeatsTimeout is the time within which each job must end after the last trouble.
	repeatsTimeout = 6 * time.Minute
	// maxLeases is the number of lease durations after which the latest copies arrive.
	maxLeases = 3
)

// TestRepeatedMessages guards against a task that runs twice, and a cancelled task that runs again, because a message that
// was carried out before is delivered once more. The network delivers heartbeats, direct commands, transactions and the
// requests of users and to the cloud several times, from 0.1 s to three leases later. Meanwhile nodes and machines end and
// are back within a second, machines hang or lose responses, and tasks are preempted, lost and cancelled.
func TestRepeatedMessages(t *testing.T) {
	first, seeds := intFromEnvironment(t, repeatsFirstVariable, 0), intFromEnvironment(t, repeatsVariable, repeatsSeeds)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runRepeatedMessages(t, uint64(seed)) })
		})
	}
}

// intFromEnvironment returns the value of an environment variable, or a default value if it is not set.
func intFromEnvironment(t *testing.T, variable string, defaultValue int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return defaultValue
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// repeatsRun is a run of TestRepeatedMessages with one seed.
type repeatsRun struct {
	*cluster
	seed        uint64
	random      *rand.Rand
	submissions int             // submitted jobs, also those that no node has accepted
	jobs        []string        // accepted jobs
	cancelled   map[string]bool // jobs whose cancellation was confirmed
	users       sync.WaitGroup  // cancellations in progress
	events      counter
}

// runRepeatedMessages runs TestRepeatedMessages with one seed.
func runRepeatedMessages(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 52))
	size := 3 + 2*random.IntN(2)
	standby := pick(random, nil, testStandby())
	r := &repeatsRun{
		cluster:   newStandbyCluster(t, size, noTuning, standby),
		seed:      seed,
		random:    random,
		cancelled: map[string]bool{},
	}
	defer r.close()
	r.cloud.MaxMachines = repeatsMachines
	r.cloud.RuntimeOf = r.runtimeOf
	r.net.SetCopies(r.copiesOf)
	for range repeatsInitialJobs {
		r.submitRandomJob()
	}
	for start := time.Now(); time.Since(start) < repeatsDuration; {
		r.beginRandomTrouble()
		r.pauseUpTo(4 * time.Second)
	}
	r.setFault(nil)
	r.users.Wait()
	for _, id := range r.jobs {
		if !r.cancelled[id] {
			r.awaitStatus(id, wire.JobDone, repeatsTimeout)
		}
	}
	time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
	r.net.SetCopies(nil)
	r.checkJobsKnown(r.jobs)
	r.checkRules()
	if r.net.DeliveredCopies() < 100 {
		t.Errorf("%d copies were delivered, want at least 100", r.net.DeliveredCopies())
	}
	t.Logf("%d nodes, %d jobs, %d cancelled, %d starts, %d copies, %v", r.size, len(r.jobs), len(r.cancelled), r.cloud.Starts(), r.net.DeliveredCopies(), r.events.counts)
}

// hashOf returns a number that depends on the seed of the run and on the given texts only.
func (r *repeatsRun) hashOf(texts ...string) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, r.seed)
	for _, text := range texts {
		fmt.Fprintf(h, "\x00%s", text)
	}
	return h.Sum64()
}

// runtimeOf returns the run time of a task in seconds.
func (r *repeatsRun) runtimeOf(task string) float64 {
	return []float64{0.5, 3, 8, 20, 40}[r.hashOf("run time", task)%5]
}

// copiesOf returns the delays of the copies of a request. Most requests get none.
func (r *repeatsRun) copiesOf(from string, request *http.Request, body []byte) (delays []time.Duration) {
	if request.Method == http.MethodGet {
		return nil
	}
	if isCommand(request) {
		r.checkNoStart(body)
	}
	random := rand.New(rand.NewPCG(r.hashOf(from, request.URL.String(), string(body)), 0))
	share := 0.1
	if isHeartbeat(request) || isCommand(request) {
		share = 0.4
	}
	for random.Float64() < share {
		delays = append(delays, copyDelay(random))
	}
	return delays
}

// checkNoStart checks that a request to a worker's address starts nothing: the worker would carry out a copy of it.
func (r *repeatsRun) checkNoStart(body []byte) {
	var request wire.CommandRequest
	if err := wire.Unmarshal(body, &request); err != nil {
		r.t.Errorf("a request to a worker cannot be decoded: %v", err)
	}
	for _, c := range request.Commands {
		if c.Verb == wire.VerbStart {
			r.t.Errorf("the start of %s is sent directly to a worker, want it in a response to a heartbeat only", c.TaskID)
		}
	}
}

// copyDelay returns the delay of a copy: up to 2 s, up to a lease, or up to maxLeases.
func copyDelay(random *rand.Rand) time.Duration {
	lease := time.Duration(leaseDurationS * float64(time.Second))
	longest := []time.Duration{2 * time.Second, lease, maxLeases * lease}[random.IntN(3)]
	const shortest = 100 * time.Millisecond
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

// pauseUpTo sleeps for a random time.
func (r *repeatsRun) pauseUpTo(longest time.Duration) {
	time.Sleep(time.Duration(r.random.Int64N(int64(longest))))
}

// submitRandomJob submits a job of random size and priority, sometimes a gang.
func (r *repeatsRun) submitRandomJob() {
	r.submissions++
	id := fmt.Sprintf("j-%06d", 100+r.submissions)
	job := testJob(id, 1+r.random.IntN(6))
	if r.random.IntN(5) == 0 {
		job = gangJob(id, 2+r.random.IntN(3), 1, nil)
	}
	job["rank"] = pick(r.random, "idle", "normal", "urgent", "prod")
	job["vcpus"] = pick(r.random, 1.0, 2, 4)
	job["expect_s"] = pick(r.random, 1.0, 10, 100)
	job["save_every_s"] = pick(r.random, 0.0, 5)
	job["store_s"] = pick(r.random, 0.0, 1)
	if r.random.IntN(6) == 0 && job["shape"] != "gang" {
		job["desk"], job["vcpus"] = "small", 1.0
	}
	if r.submitWithRetries(r.random.IntN(r.size), 500*time.Millisecond, job) {
		r.jobs = append(r.jobs, id)
	}
}

// beginRandomTrouble begins a random trouble. Some end by themselves, and those of messages with the next of these.
func (r *repeatsRun) beginRandomTrouble() {
	troubles := []struct {
		name  string
		begin func()
	}{
		{"leader restarts", func() { r.restartLeader() }},
		{"leader restarts", func() { r.restartLeader() }},
		{"handover", r.handOver},
		{"handover", r.handOver},
		{"node restarts", func() { r.restartNodes(r.random.IntN(r.size)) }},
		{"all nodes restart", r.restartAll},
		{"machines restart", r.restartMachines},
		{"machines restart", r.restartMachines},
		{"machines hang", r.hangMachines},
		{"machines lose responses", func() { r.setFault(dropResponsesTo(r.randomMachines())) }},
		{"responses lost", func() { r.setFault(r.randomFaults(fake.DroppedResponse, isHeartbeat)) }},
		{"commands late", func() { r.setFault(r.randomFaults(fake.DelayedRequest, isCommand)) }},
		{"transactions late", func() { r.setFault(r.randomFaults(fake.DelayedRequest, isTxn)) }},
		{"state service unavailable", func() { r.setFault(stateUnavailableTo(r.random.IntN(r.size+1) - 1)) }},
		{"no fault of messages", func() { r.setFault(nil) }},
		{"no fault of messages", func() { r.setFault(nil) }},
		{"cancellation", r.cancelRandomJob},
		{"cancellation", r.cancelRandomJob},
		{"submission", r.submitRandomJob},
		{"submission", r.submitRandomJob},
	}
	trouble := troubles[r.random.IntN(len(troubles))]
	r.events.add(trouble.name)
	trouble.begin()
}

// handOver has the leader hand over, if there is one and it has a standby.
func (r *repeatsRun) handOver() {
	if leader := r.CurrentLeader(); leader >= 0 {
		_, _ = r.nodes[leader].HandOver() // an error means that the node cannot hand over now
	}
}

// restartAll ends all nodes and starts them again within a fraction of a second.
func (r *repeatsRun) restartAll() {
	var nodes []int
	for node := range r.size {
		nodes = append(nodes, node)
	}
	r.restartNodes(nodes...)
}

// randomMachines returns the IDs of about a third of the machines.
func (r *repeatsRun) randomMachines() map[string]bool {
	ids := map[string]bool{}
	for _, w := range r.cloud.Workers() {
		if r.random.IntN(3) == 0 {
			ids[w.ID] = true
		}
	}
	return ids
}

// restartMachines restarts about a third of the machines.
func (r *repeatsRun) restartMachines() {
	chosen := r.randomMachines()
	for _, w := range r.cloud.Workers() {
		if chosen[w.ID] {
			w.Restart(pick(r.random, fake.RestartWithNextIncarnation, fake.RestartFromScratch, fake.RestartWithNewLease))
		}
	}
}

// hangMachines makes about a third of the machines hang, some for over a lease.
func (r *repeatsRun) hangMachines() {
	chosen := r.randomMachines()
	for _, w := range r.cloud.Workers() {
		if chosen[w.ID] {
			w.Hang(time.Duration(200+r.random.IntN(10000)) * time.Millisecond)
		}
	}
}

// randomFaults returns a function that injects a fault into half of the matching requests.
func (r *repeatsRun) randomFaults(fault fake.Fault, match func(*http.Request) bool) fake.FaultFunc {
	random := rand.New(rand.NewPCG(r.random.Uint64(), 0))
	return func(_ string, request *http.Request) fake.Fault {
		if match(request) && random.IntN(2) == 0 {
			return fault
		}
		return fake.NoFault
	}
}

// cancelRandomJob has a user cancel a job, beside whatever follows. The user repeats it until it is answered.
func (r *repeatsRun) cancelRandomJob() {
	if len(r.jobs) == 0 {
		return
	}
	id, first := r.jobs[r.random.IntN(len(r.jobs))], r.random.IntN(r.size)
	r.users.Go(func() {
		for try := range 200 {
			code, status := r.requestCancellation((first+try)%r.size, id)
			if code == http.StatusOK {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.cancelled[id] = status.State == wire.JobCancelled
				return
			}
			time.Sleep(500 * time.Millisecond)
		}
		r.t.Errorf("cancellation of %s was not answered with 200 in 200 attempts", id)
	})
}

// restartLeader restarts the leading node, if there is one.
func (r *repeatsRun) restartLeader() {
	if leader := r.CurrentLeader(); leader >= 0 {
		r.restartNodes(leader)
	}
}
