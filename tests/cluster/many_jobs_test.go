package cluster

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/settings"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// manyJobsRun is a cluster whose users time what they ask for. The times are those of submissions
// and cancellations until they are confirmed, and of completions from a task's end on its machine
// until the users see the job done.
type manyJobsRun struct {
	*cluster
	timesMu                                 sync.Mutex
	submissions, cancellations, completions []time.Duration
}

// record adds the time since startedAt to one of the lists.
func (r *manyJobsRun) record(list *[]time.Duration, startedAt time.Time) {
	r.timesMu.Lock()
	defer r.timesMu.Unlock()
	*list = append(*list, time.Since(startedAt))
}

// TestManyJobs submits one-task jobs four a second for two minutes, a quarter of which are
// cancelled, at the lowest limits that a deployment has. Neither their completions nor their
// cancellations may be delayed by each other.
func TestManyJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &manyJobsRun{cluster: newTunedCluster(t, 5, func(s *settings.Settings) {
			s.Params.State = settings.State{RPS: 60, WriteRPS: 15, ValueKB: 4, TxnOps: 12}
		})}
		defer r.close()
		r.state.SetLimits(fake.StateLimits{RPS: 60, WriteRPS: 15, TxnOps: 12})
		r.cloud.RuntimeOf = func(string) float64 { return 3 }
		r.submit("j-000009", 1)
		r.awaitStatus("j-000009", wire.JobDone, time.Minute)
		var users sync.WaitGroup
		for n := range 480 {
			users.Go(func() { r.followJob(n) })
			time.Sleep(250 * time.Millisecond)
		}
		users.Wait()
		checkTimes(t, "submissions", r.submissions, 480, 2*time.Second)
		checkTimes(t, "cancellations", r.cancellations, 120, 2*time.Second)
		checkTimes(t, "completions", r.completions, 360, 3*time.Second)
		r.checkRules()
	})
}

// followJob submits the job of a number, cancels every fourth one soon after, and waits until the
// others are done.
func (r *manyJobsRun) followJob(n int) {
	id := fmt.Sprintf("j-%06d", 1000+n)
	startedAt := time.Now()
	for try := range 60 {
		if r.trySubmit((n+try)%5, testJob(id, 1)) {
			break
		}
		time.Sleep(time.Second)
	}
	r.record(&r.submissions, startedAt)
	if n%4 == 0 {
		r.cancelSoon(n, id)
	} else {
		r.awaitCompletion(n, id, startedAt)
	}
}

// cancelSoon cancels a job within some seconds of its submission, and records how long that took.
func (r *manyJobsRun) cancelSoon(n int, id string) {
	time.Sleep(time.Duration(n%16) * 200 * time.Millisecond)
	startedAt := time.Now()
	for try := range 60 {
		if code, _ := r.requestCancellation((n+try)%5, id); code == http.StatusOK {
			break
		}
		time.Sleep(time.Second)
	}
	r.record(&r.cancellations, startedAt)
}

// awaitCompletion waits until a job's task has run on its machine, and records how long it takes from
// then on until users see that the job is done.
func (r *manyJobsRun) awaitCompletion(n int, id string, submittedAt time.Time) {
	for r.runningTasks(id) == 0 && time.Since(submittedAt) < 2*time.Minute {
		time.Sleep(100 * time.Millisecond)
	}
	for r.runningTasks(id) > 0 {
		time.Sleep(100 * time.Millisecond)
	}
	endedAt := time.Now()
	for try := range 120 {
		if _, s := r.queryJob((n+try)%5, id); s.State == wire.JobDone {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	r.record(&r.completions, endedAt)
}

// checkTimes checks that there are so many times, and that 95 in 100 of them are within a bound; the
// rest may take twice as long.
func checkTimes(t *testing.T, name string, times []time.Duration, count int, bound time.Duration) {
	t.Helper()
	slices.Sort(times)
	if len(times) != count {
		t.Fatalf("%s: %d of %d", name, len(times), count)
	}
	p95, most := times[len(times)*95/100], times[len(times)-1]
	t.Logf("%s: median %v, 95 in 100 %v, most %v", name, times[len(times)/2], p95, most)
	if p95 > bound || most > 2*bound {
		t.Errorf("%s took too long: 95 in 100 %v, most %v", name, p95, most)
	}
}
