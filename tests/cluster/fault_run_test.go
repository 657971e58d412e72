package cluster

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// IDs of jobs with a special role in a faultRun.
const (
	lateJob        = "j-000004" // submitted after the fault has ended
	limitedJob     = "j-000005" // belongs to a team that may use four CPUs
	unsubmittedJob = "j-999999" // queried, but never submitted
)

const (
	maxLimitedTasks    = 4 // of limitedJob at a time, because of its team's limit
	maxTasksPerMachine = 4 // each needs one CPU
	addedJobRuntimeS   = 5 // of each task of a job that a test case adds
)

// faultJobRuntimes holds the run times of the jobs' tasks in seconds. The tasks complete far apart, so that there are
// completions before and after each event of a test. The jobs in cancelledJobs are cancelled during the fault.
var (
	faultJobRuntimes = map[string][]float64{
		"j-000001": {2, 25}, "j-000002": {3, 14, 40}, "j-000003": {8, 50}, lateJob: {1, 20, 33},
		limitedJob: {4, 4, 4, 4, 4, 4},
		"j-000006": {300, 300}, "j-000007": {300, 2, 300}, "j-000008": {300},
	}
	cancelledJobs = []string{"j-000006", "j-000007", "j-000008"}
)

// faultTaskRuntime returns the run time of a task in seconds.
func faultTaskRuntime(task string) float64 {
	id, n, _ := strings.Cut(task, "/")
	if tasks := faultJobRuntimes[id]; tasks != nil {
		return tasks[n[0]-'0']
	}
	return addedJobRuntimeS
}

// faultRun is a cluster whose users submit, query and cancel jobs during a fault.
type faultRun struct {
	*cluster
	ids               []string      // of all jobs
	jobsDone          chan struct{} // closed when the jobs that are not cancelled are done
	queriesDone       chan struct{} // closed when the last query was sent
	cancellationsDone chan struct{} // closed when the cancellations are confirmed

	// maxRunning is the highest number of tasks of any one job in cancelledJobs that ran at the same time after the
	// first fault. It may be read only after queriesDone is closed.
	maxRunning int
}

// runUnderFault submits the jobs, queries every node about them throughout, and injects a fault. During the fault some
// of the jobs are cancelled: inject calls cancel, which starts the cancellations and does not wait for them. Afterwards
// the other jobs must complete. No rule may be violated at any time.
func runUnderFault(t *testing.T, nodes int, inject func(c *cluster, cancel func())) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOf(t, nodes)
		defer c.close()
		c.cloud.RuntimeOf = faultTaskRuntime
		run := &faultRun{
			cluster:           c,
			ids:               slices.Sorted(maps.Keys(faultJobRuntimes)),
			jobsDone:          make(chan struct{}),
			queriesDone:       make(chan struct{}),
			cancellationsDone: make(chan struct{}),
		}
		for _, id := range run.ids {
			if id != lateJob {
				run.submitFaultJob(id)
			}
		}
		go run.queryUntilJobsDone()
		inject(c, func() { go run.cancelJobs() })
		c.setFault(nil)
		<-run.cancellationsDone
		go run.checkProgress()
		run.submitFaultJob(lateJob)
		for _, id := range run.ids {
			if !slices.Contains(cancelledJobs, id) {
				c.awaitStatus(id, wire.JobDone, 3*time.Minute)
			}
		}
		close(run.jobsDone)
		<-run.queriesDone
		if run.maxRunning == 0 {
			t.Error("no task of a job to be cancelled ran after the first fault")
		}
		time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
		c.checkJobsKnown(run.ids)
		for _, violation := range c.rules.Violations() {
			t.Error(violation)
		}
	})
}

// submitFaultJob submits one of the jobs to the nodes in turn until it is accepted.
func (r *faultRun) submitFaultJob(id string) {
	job := testJob(id, len(faultJobRuntimes[id]))
	job["expect_s"] = 200.0 // long enough that the fleet gets spare capacity, so that a task could start twice
	if id == limitedJob {
		job["desk"] = "small"
	}
	for try := range 90 {
		if r.trySubmit(try%r.size, job) {
			return
		}
		time.Sleep(time.Second)
	}
	r.t.Errorf("%s was not accepted in 90 attempts", id)
}

// queryUntilJobsDone queries each node in turn about the jobs, and about one that was never submitted, until the jobs
// are done. After the first fault it also records in maxRunning how many tasks of the jobs to be cancelled run.
func (r *faultRun) queryUntilJobsDone() {
	defer close(r.queriesDone)
	for n := 0; ; n++ {
		select {
		case <-r.jobsDone:
			return
		case <-time.After(300 * time.Millisecond):
		}
		id := unsubmittedJob
		if n%9 < len(r.ids) {
			id = r.ids[n%9]
		}
		go r.request(http.MethodGet, n/9%r.size, "/v1/jobs/"+id, nil)
		if r.faultCount() > 0 || r.state.InOutage() {
			for _, id := range cancelledJobs {
				r.maxRunning = max(r.maxRunning, r.runningTasks(id))
			}
		}
	}
}

// cancelJobs repeats the cancellation of each job in cancelledJobs until it is confirmed.
func (r *faultRun) cancelJobs() {
	defer close(r.cancellationsDone)
	for _, id := range cancelledJobs {
		done := false
		for try := 0; try < 90 && !done; try++ {
			code, status := r.request(http.MethodPost, try%r.size, "/v1/jobs/"+id+"/abort", nil)
			done = code == http.StatusOK && status.State == wire.JobCancelled
			time.Sleep(time.Second)
		}
		if !done {
			r.t.Errorf("cancellation of %s was not confirmed in 90 attempts", id)
		}
	}
}

// checkProgress checks, after the faults have ended, that no job waits for 90 s while a machine has room for one of its
// tasks and its team is below its limit.
func (r *faultRun) checkProgress() {
	waited := map[string]int{}
	for n := 0; ; n++ {
		select {
		case <-r.jobsDone:
			return
		case <-time.After(time.Second):
		}
		hasRoom := slices.ContainsFunc(r.cloud.Workers(), func(w *fake.Worker) bool { return len(w.Tasks()) < maxTasksPerMachine })
		for _, id := range r.ids {
			if !hasRoom || !r.hasWaitingTasks(id, n%r.size) {
				waited[id] = 0
			} else if waited[id]++; waited[id] == 90 {
				r.t.Errorf("%s has waited for 90 s although a machine has room", id)
			}
		}
	}
}

// hasWaitingTasks reports whether a job, according to a node, has tasks that neither run nor are done although its
// team's limit would allow another one to run.
func (r *faultRun) hasWaitingTasks(id string, node int) bool {
	running := r.runningTasks(id)
	if id == limitedJob && running >= maxLimitedTasks {
		return false
	}
	_, status := r.request(http.MethodGet, node, "/v1/jobs/"+id, nil)
	return status.Done != nil && *status.Done+running < len(faultJobRuntimes[id])
}
