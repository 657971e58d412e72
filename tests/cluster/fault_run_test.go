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

// Jobs of a run under a fault that are not like the others.
const (
	lateJob        = "j-000004" // submitted once the fault is over
	limitedJob     = "j-000005" // of a team with a limit of four CPUs
	unsubmittedJob = "j-999999" // queried, but nobody submits it
)

const (
	maxLimitedTasks    = 4 // of limitedJob at a time, by its team's limit
	maxTasksPerMachine = 4 // each needs one CPU
	addedJobRuntimeS   = 5 // of each task of a job that a case adds
)

// Run times of the tasks of the jobs in these tests, in seconds. The tasks complete far apart, so
// that completions lie on both sides of whatever happens; cancelledJobs are cancelled during the
// fault.
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

// faultRun is a cluster whose users submit, query and cancel jobs while it has a fault.
type faultRun struct {
	*cluster
	ids       []string      // of all jobs
	over      chan struct{} // closed when the jobs that are not cancelled are done
	queried   chan struct{} // closed when the last query was sent
	cancelled chan struct{} // closed when the cancellations are confirmed

	// maxRunning is how many tasks of a job to be cancelled ran at a time once there was a fault.
	// It is read after queried is closed.
	maxRunning int
}

// runUnderFault has the jobs accepted, users query every node about them all the time, and a fault
// injected. During the fault users cancel some of the jobs: inject calls cancel, which does not
// wait for them. Afterwards the others must complete, and no rule be violated at any time.
func runUnderFault(t *testing.T, nodes int, inject func(c *cluster, cancel func())) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOf(t, nodes)
		defer c.close()
		c.cloud.RuntimeOf = faultTaskRuntime
		run := &faultRun{
			cluster:   c,
			ids:       slices.Sorted(maps.Keys(faultJobRuntimes)),
			over:      make(chan struct{}),
			queried:   make(chan struct{}),
			cancelled: make(chan struct{}),
		}
		for _, id := range run.ids {
			if id != lateJob {
				run.submitFaultJob(id)
			}
		}
		go run.queryUntilOver()
		inject(c, func() { go run.cancelJobs() })
		c.setFault(nil)
		<-run.cancelled
		go run.checkProgress()
		run.submitFaultJob(lateJob)
		for _, id := range run.ids {
			if !slices.Contains(cancelledJobs, id) {
				c.awaitStatus(id, wire.JobDone, 3*time.Minute)
			}
		}
		close(run.over)
		<-run.queried
		if run.maxRunning == 0 {
			t.Error("no task of a job to be cancelled ran during the fault")
		}
		time.Sleep(time.Duration(cancellationTimeoutS) * time.Second)
		c.checkJobsKnown(run.ids)
		for _, rule := range c.rules.Violations() {
			t.Error(rule)
		}
	})
}

// submitFaultJob submits one of the jobs, each time to the next node, until it is accepted.
func (r *faultRun) submitFaultJob(id string) {
	job := testJob(id, len(faultJobRuntimes[id]))
	job["expect_s"] = 200.0 // for a fleet with room, so that a task could start twice
	if id == limitedJob {
		job["desk"] = "small"
	}
	for try := range 90 {
		if r.trySubmit(try%r.size, job) {
			return
		}
		time.Sleep(time.Second)
	}
	r.t.Errorf("%s was not accepted", id)
}

// queryUntilOver queries the jobs, and one that nobody submitted, at each node in turn. It notes how
// many tasks of the jobs to be cancelled run once there was a fault.
func (r *faultRun) queryUntilOver() {
	defer close(r.queried)
	for n := 0; ; n++ {
		select {
		case <-r.over:
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

// cancelJobs repeats the cancellation of each of the jobs to be cancelled until it is confirmed.
func (r *faultRun) cancelJobs() {
	defer close(r.cancelled)
	for _, id := range cancelledJobs {
		done := false
		for try := 0; try < 90 && !done; try++ {
			code, status := r.request(http.MethodPost, try%r.size, "/v1/jobs/"+id+"/abort", nil)
			done = code == http.StatusOK && status.State == wire.JobCancelled
			time.Sleep(time.Second)
		}
		if !done {
			r.t.Errorf("%s could not be cancelled", id)
		}
	}
}

// checkProgress checks, once the faults are over, that no job waits for 90 s while a machine has
// room for a task of it and its team is under its limit.
func (r *faultRun) checkProgress() {
	waited := map[string]int{}
	for n := 0; ; n++ {
		select {
		case <-r.over:
			return
		case <-time.After(time.Second):
		}
		hasRoom := slices.ContainsFunc(r.cloud.Workers(), func(w *fake.Worker) bool { return len(w.Tasks()) < maxTasksPerMachine })
		for _, id := range r.ids {
			if !hasRoom || !r.hasWaitingTasks(id, n%r.size) {
				waited[id] = 0
			} else if waited[id]++; waited[id] == 90 {
				r.t.Errorf("%s waits although a machine has room", id)
			}
		}
	}
}

// hasWaitingTasks reports whether a job has tasks that neither run nor are done, by a node's
// answer, although its team's limit leaves room for one.
func (r *faultRun) hasWaitingTasks(id string, node int) bool {
	running := r.runningTasks(id)
	if id == limitedJob && running >= maxLimitedTasks {
		return false
	}
	_, status := r.request(http.MethodGet, node, "/v1/jobs/"+id, nil)
	return status.Done != nil && *status.Done+running < len(faultJobRuntimes[id])
}
