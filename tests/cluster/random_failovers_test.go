package cluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch"
	leadership "caperlatch/internal/leader"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// Sizes of TestRandomFailovers: five hundred failovers in all.
const (
	failoverSeeds          = 10
	failoversPerSeed       = 50
	randomFailoverMachines = 300
)

// TestRandomFailovers ends the term of the leader at random times, five hundred times in all, over
// 300 machines that run arrays and gangs, while users submit, cancel and query all nodes. Some
// terms end by handovers, some of which are interrupted by the crash of the leader or of the named
// node. A leader whose own failover is not complete rejects a handover; it is killed instead. Under
// the checker of the rules: no job has two final statuses or goes back, no task is on two machines,
// no job is forgotten, and every accepted job ends.
func TestRandomFailovers(t *testing.T) {
	for seed := range uint64(failoverSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runRandomFailovers(t, seed) })
		})
	}
}

// randomFailoverRun is the run of one seed of TestRandomFailovers.
type randomFailoverRun struct {
	*cluster
	random *rand.Rand
	size   int

	mu        sync.Mutex
	jobs      []string
	cancelled map[string]bool
	finished  bool
}

// runRandomFailovers runs one seed.
func runRandomFailovers(t *testing.T, seed uint64) {
	size := 3 + 2*int(seed%2)
	c := newStandbyCluster(t, size, func(s *settings.Settings) {
		s.Params.Workers.HeartbeatIntervalS = 2
	}, testStandby())
	defer c.close()
	c.cloud.MaxMachines = randomFailoverMachines
	c.cloud.RuntimeOf = func(task string) float64 { return float64(4 + 3*(len(task)+int(task[len(task)-1]))%24) }
	r := &randomFailoverRun{cluster: c, random: rand.New(rand.NewPCG(seed, 24)), size: size, cancelled: map[string]bool{}}
	var users sync.WaitGroup
	// Each has a random source of its own, as all run at the same time.
	users.Go(func() { r.submitJobs(rand.New(rand.NewPCG(seed, 1))) })
	users.Go(func() { r.queryJobs(rand.New(rand.NewPCG(seed, 2))) })
	time.Sleep(15 * time.Second)
	handovers := 0
	for range failoversPerSeed {
		time.Sleep(time.Duration(r.random.IntN(4000)) * time.Millisecond)
		token := c.fencingToken()
		if r.endLeader(c.leader()) {
			handovers++
		}
		c.awaitLeaderAfter(token)
	}
	r.mu.Lock()
	r.finished = true
	r.mu.Unlock()
	users.Wait()
	for _, id := range r.jobs {
		want := wire.JobDone
		if r.cancelled[id] {
			want = wire.JobCancelled
		}
		c.awaitStatus(id, want, 10*time.Minute)
	}
	c.checkJobsKnown(r.jobs)
	c.checkRules()
	t.Logf("%d nodes, %d failovers, %d of them handovers, %d jobs, %d starts", size, failoversPerSeed, handovers, len(r.jobs), c.cloud.Starts())
	if handovers < failoversPerSeed/10 || c.cloud.Starts() < 5000 {
		t.Errorf("%d handovers, %d starts", handovers, c.cloud.Starts())
	}
}

// endLeader ends the term of the leader in one of several ways, and reports whether it handed over.
func (r *randomFailoverRun) endLeader(leader int) (handedOver bool) {
	way := r.random.IntN(10)
	if way < 6 { // a crash
		r.crash(leader, time.Duration(r.random.IntN(3000))*time.Millisecond)
		return false
	}
	var to string
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		to, err = r.nodes[leader].HandOver()
	}()
	if way == 6 { // it crashes during the handover
		time.Sleep(time.Duration(r.random.IntN(400)) * time.Millisecond)
		r.crash(leader, 100*time.Millisecond)
	}
	<-done
	switch {
	case err != nil && way != 6: // rejected: the process ends without, as HandOverOnShutdown has it
		if !errors.Is(err, caperlatch.ErrNotLeading) && !errors.Is(err, leadership.ErrNotReady) {
			r.t.Errorf("handover: %v", err)
		}
		r.crash(leader, 100*time.Millisecond)
	case way == 7: // the named node crashes during its failover
		r.crashNamed(to)
	}
	return err == nil
}

// crashNamed kills the node that a handover names, within half a second.
func (r *randomFailoverRun) crashNamed(member string) {
	for i := range r.nodes {
		if memberName(i) == member {
			time.Sleep(time.Duration(r.random.IntN(500)) * time.Millisecond)
			r.crash(i, 200*time.Millisecond)
		}
	}
}

// crash kills a node and starts it again after a while.
func (r *randomFailoverRun) crash(node int, down time.Duration) {
	r.kill(node)
	time.Sleep(down)
	r.start(node)
}

// isFinished reports whether no more jobs are to be submitted.
func (r *randomFailoverRun) isFinished() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finished
}

// submitJobs submits jobs until the run is finished, and cancels some of them.
func (r *randomFailoverRun) submitJobs(random *rand.Rand) {
	for n := 1; !r.isFinished(); n++ {
		id := fmt.Sprintf("j-%06d", n)
		job := testJob(id, 20+random.IntN(200))
		if n%4 == 0 {
			job = gangJob(id, 2+random.IntN(4), 2, nil)
		}
		r.submitJob(job)
		r.mu.Lock()
		r.jobs = append(r.jobs, id)
		r.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(5000)) * time.Millisecond)
		if n%7 == 0 {
			r.cancelUnlessDone(id, random.IntN(r.size))
		}
	}
}

// cancelUnlessDone repeats a cancellation until it is confirmed or comes too late.
func (r *randomFailoverRun) cancelUnlessDone(id string, first int) {
	for try := range 200 {
		code, status := r.request(http.MethodPost, (first+try)%r.size, "/v1/jobs/"+id+"/abort", nil)
		if code == http.StatusOK {
			r.mu.Lock()
			r.cancelled[id] = status.State == wire.JobCancelled
			r.mu.Unlock()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.t.Errorf("%s could not be cancelled", id)
}

// queryJobs queries random nodes about random jobs until the run is finished.
func (r *randomFailoverRun) queryJobs(random *rand.Rand) {
	for !r.isFinished() {
		time.Sleep(200 * time.Millisecond)
		r.mu.Lock()
		id := ""
		if len(r.jobs) > 0 {
			id = r.jobs[random.IntN(len(r.jobs))]
		}
		r.mu.Unlock()
		if id != "" {
			r.request(http.MethodGet, random.IntN(r.size), "/v1/jobs/"+id, nil)
		}
	}
}
