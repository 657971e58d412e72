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

// manyJobsRun is a cluster whose users measure latencies: of submissions and cancellations from the first request until
// the confirmation, and of completions from the end of a task on its machine until a user sees that the job is done.
type manyJobsRun struct {
	*cluster
	timesMu                                             sync.Mutex
	submissionTimes, cancellationTimes, completionTimes []time.Duration
}

// recordTimeSince appends the time since startedAt to a list.
func (r *manyJobsRun) recordTimeSince(list *[]time.Duration, startedAt time.Time) {
	r.timesMu.Lock()
	defer r.timesMu.Unlock()
	*list = append(*list, time.Since(startedAt))
}

// TestUserLatencyWithManyJobs submits four one-task jobs a second for two minutes, and cancels a quarter of them, under
// the lowest state service limits of any deployment. Submissions, cancellations and completions must not delay each
// other.
func TestUserLatencyWithManyJobs(t *testing.T) {
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
			users.Go(func() { r.runUserJob(n) })
			time.Sleep(250 * time.Millisecond)
		}
		users.Wait()
		checkTimes(t, "submissions", r.submissionTimes, 480, 2*time.Second)
		checkTimes(t, "cancellations", r.cancellationTimes, 120, 2*time.Second)
		checkTimes(t, "completions", r.completionTimes, 360, 3*time.Second)
		r.checkRules()
	})
}

// runUserJob submits job n. It cancels every fourth job soon after, and waits until the others are done.
func (r *manyJobsRun) runUserJob(n int) {
	id := fmt.Sprintf("j-%06d", 1000+n)
	startedAt := time.Now()
	for try := range 60 {
		if r.trySubmit((n+try)%5, testJob(id, 1)) {
			break
		}
		time.Sleep(time.Second)
	}
	r.recordTimeSince(&r.submissionTimes, startedAt)
	if n%4 == 0 {
		r.cancelAfterDelay(n, id)
	} else {
		r.awaitCompletion(n, id, startedAt)
	}
}

// cancelAfterDelay cancels a job up to 3 s after its submission, and records how long the cancellation took.
func (r *manyJobsRun) cancelAfterDelay(n int, id string) {
	time.Sleep(time.Duration(n%16) * 200 * time.Millisecond)
	startedAt := time.Now()
	for try := range 60 {
		if code, _ := r.requestCancellation((n+try)%5, id); code == http.StatusOK {
			break
		}
		time.Sleep(time.Second)
	}
	r.recordTimeSince(&r.cancellationTimes, startedAt)
}

// awaitCompletion waits until a job's task has ended on its machine, and records how long it then takes until a user
// sees that the job is done.
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
	r.recordTimeSince(&r.completionTimes, endedAt)
}

// checkTimes checks that there are count times, that the 95th percentile is at most bound, and that the maximum is at
// most twice bound.
func checkTimes(t *testing.T, name string, times []time.Duration, count int, bound time.Duration) {
	t.Helper()
	slices.Sort(times)
	if len(times) != count {
		t.Fatalf("%s: %d times recorded, want %d", name, len(times), count)
	}
	p95, longest := times[len(times)*95/100], times[len(times)-1]
	t.Logf("%s: median %v, p95 %v, max %v", name, times[len(times)/2], p95, longest)
	if p95 > bound || longest > 2*bound {
		t.Errorf("%s took too long: p95 %v, max %v, want at most %v and %v", name, p95, longest, bound, 2*bound)
	}
}
