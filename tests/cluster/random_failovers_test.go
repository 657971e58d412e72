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

// Numbers of TestRandomFailovers: ten seeds with fifty failovers each make five hundred failovers.
const (
	failoverSeeds          = 10
	failoversPerSeed       = 50
	randomFailoverMachines = 300
)

// TestRandomFailovers ends the leader's term at random times, five hundred times in total, on clusters with 300
// machines that run arrays and gangs, while users submit, cancel and query jobs at all nodes. Some terms end by a
// handover, and some handovers are interrupted by a crash of the leader or of the node to which it hands over. A leader
// whose own failover is not complete rejects a handover, and is killed instead. The rule checker verifies that no job
// has two final statuses or returns to an earlier status, that no task is on two machines, that no job is forgotten,
// and that every accepted job ends.
func TestRandomFailovers(t *testing.T) {
	for seed := range uint64(failoverSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runRandomFailovers(t, seed) })
		})
	}
}

// randomFailoverRun is a run of TestRandomFailovers with one seed.
type randomFailoverRun struct {
	*cluster
	random *rand.Rand
	size   int

	mu        sync.Mutex
	jobs      []string
	cancelled map[string]bool
	finished  bool
}

// runRandomFailovers runs TestRandomFailovers with one seed.
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
	// Each goroutine has its own random source, because a source is not safe for concurrent use.
	users.Go(func() { r.submitJobs(rand.New(rand.NewPCG(seed, 1))) })
	users.Go(func() { r.queryJobs(rand.New(rand.NewPCG(seed, 2))) })
	time.Sleep(15 * time.Second)
	handovers := 0
	for range failoversPerSeed {
		time.Sleep(time.Duration(r.random.IntN(4000)) * time.Millisecond)
		token := c.fencingToken()
		if r.endTerm(c.leader()) {
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
		t.Errorf("%d handovers (want at least %d), %d starts (want at least 5000)", handovers, failoversPerSeed/10, c.cloud.Starts())
	}
}

// endTerm ends the leader's term by a crash or a handover, chosen at random, and reports whether the leader handed
// over.
func (r *randomFailoverRun) endTerm(leader int) (handedOver bool) {
	kind := r.random.IntN(10)
	if kind < 6 { // a crash
		r.crash(leader, time.Duration(r.random.IntN(3000))*time.Millisecond)
		return false
	}
	var target string
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		target, err = r.nodes[leader].HandOver()
	}()
	if kind == 6 { // the leader crashes during the handover
		time.Sleep(time.Duration(r.random.IntN(400)) * time.Millisecond)
		r.crash(leader, 100*time.Millisecond)
	}
	<-done
	switch {
	case err != nil && kind != 6: // rejected: the process ends without a handover, as after HandOverOnShutdown
		if !errors.Is(err, caperlatch.ErrNotLeading) && !errors.Is(err, leadership.ErrNotReady) {
			r.t.Errorf("handover failed: %v; want success, ErrNotLeading or ErrNotReady", err)
		}
		r.crash(leader, 100*time.Millisecond)
	case kind == 7: // the node to which the leader hands over crashes during its failover
		r.crashHandoverTarget(target)
	}
	return err == nil
}

// crashHandoverTarget crashes a member, which a handover has named as the next leader, within half a second.
func (r *randomFailoverRun) crashHandoverTarget(member string) {
	for i := range r.nodes {
		if memberName(i) == member {
			time.Sleep(time.Duration(r.random.IntN(500)) * time.Millisecond)
			r.crash(i, 200*time.Millisecond)
		}
	}
}

// crash kills a node and starts it again after downtime.
func (r *randomFailoverRun) crash(node int, downtime time.Duration) {
	r.kill(node)
	time.Sleep(downtime)
	r.start(node)
}

// isFinished reports whether users should stop submitting and querying jobs.
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

// cancelUnlessDone repeats a cancellation until it is confirmed or the job is already done.
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
	r.t.Errorf("cancellation of %s was not answered with 200 in 200 attempts", id)
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
