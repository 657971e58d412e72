package cluster

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"caperlatch/internal/sim/harness"
	"caperlatch/internal/wire"
)

// users returns the client through which tests send users' requests.
func (c *cluster) users() *harness.Users {
	return &harness.Users{Client: c.userClient, Rules: c.rules, Nodes: c.size}
}

// request sends a user's request to a node, and passes request and response to the checker of the rules. The code is 0
// if there was no response.
func (c *cluster) request(method string, node int, path string, body any) (int, wire.JobStatus) {
	return c.users().Request(method, node, path, body)
}

// testJob returns the submission of a job of small tasks. Its fields have their names on the wire.
func testJob(id string, tasks int) map[string]any {
	return map[string]any{
		"id":           id,
		"lane":         "l",
		"desk":         "blue",
		"shape":        wire.KindArray,
		"rank":         "normal",
		"pieces":       tasks,
		"vcpus":        1.0,
		"cards":        0.0,
		"memory_gb":    1.0,
		"bundle":       "img",
		"pull_gb":      1.0,
		"builds":       nil,
		"hall":         nil,
		"together":     false,
		"scatter":      false,
		"standby":      true,
		"expect_s":     5.0,
		"save_every_s": 0.0,
		"store_s":      0.0,
	}
}

// longJob returns the submission of a job of small tasks that are expected to take 200 s.
func longJob(id string, tasks int) map[string]any {
	job := testJob(id, tasks)
	job["expect_s"] = 200.0
	return job
}

// jobLeavingOneCPUFree returns the submission of a long job that leaves one CPU of each machine free.
func jobLeavingOneCPUFree(tasks int) map[string]any {
	job := longJob("j-000009", tasks)
	job["vcpus"] = 3.0
	return job
}

// submitTo submits a job to a node once.
func (c *cluster) submitTo(node int, job map[string]any) (code int, status wire.JobStatus) {
	return c.request(http.MethodPost, node, "/v1/jobs", job)
}

// queryJob queries a node about a job once.
func (c *cluster) queryJob(node int, id string) (code int, status wire.JobStatus) {
	return c.request(http.MethodGet, node, "/v1/jobs/"+id, nil)
}

// requestCancellation asks a node once to cancel a job.
func (c *cluster) requestCancellation(node int, id string) (code int, status wire.JobStatus) {
	return c.request(http.MethodPost, node, "/v1/jobs/"+id+"/abort", nil)
}

// trySubmit submits a job to a node once, and reports whether the node accepts it now or had accepted it before.
func (c *cluster) trySubmit(node int, job map[string]any) bool { return c.users().Submit(node, job) }

// submit submits a job of small tasks, each time to the next node, until it is accepted.
func (c *cluster) submit(id string, tasks int) { c.submitJob(testJob(id, tasks)) }

// submitJob submits a job, each time to the next node, until it is accepted.
func (c *cluster) submitJob(job map[string]any) {
	c.t.Helper()
	if !c.submitWithRetries(0, time.Second, job) {
		c.t.Fatalf("%s was not accepted", job["id"])
	}
}

// submitWithRetries repeats a submission, beginning at node first and going on to the next node each time, and reports
// whether it was accepted.
func (c *cluster) submitWithRetries(first int, pause time.Duration, job map[string]any) bool {
	return c.users().SubmitWithRetries(first, pause, job)
}

// submitWithin repeats a submission every 100 ms, each time to the next node, until it is accepted or the timeout has
// passed. It does not report which: callers check later what became of the job.
func (c *cluster) submitWithin(timeout time.Duration, job map[string]any) {
	const pause = 100 * time.Millisecond
	for try := range int(timeout / pause) {
		if c.trySubmit(try%c.size, job) {
			return
		}
		time.Sleep(pause)
	}
}

// awaitStatus polls, each time at the next node, until a job has the given status. It fails the test if the job does
// not have it within the timeout, or a node does not know the job.
func (c *cluster) awaitStatus(id, status string, timeout time.Duration) {
	c.t.Helper()
	c.must(c.users().AwaitStatus(id, status, timeout))
}

// checkJobsKnown checks that every node that is ready answers queries about every job. A job counts as forgotten by a
// node that answers no query about it for 30 s.
func (c *cluster) checkJobsKnown(ids []string) {
	c.t.Helper()
	for i := range c.size {
		if code, _ := c.request(http.MethodGet, i, "/ready", nil); code != http.StatusOK {
			continue
		}
		for _, id := range ids {
			for startedAt, code := time.Now(), 0; code != http.StatusOK; time.Sleep(time.Second) {
				if code, _ = c.queryJob(i, id); time.Since(startedAt) > 30*time.Second {
					c.t.Errorf("node %d does not answer queries about %s: last code %d, want 200", i, id, code)
					break
				}
			}
		}
	}
}

// submitAndAwaitRunning submits a job of long tasks, and waits until all of its tasks run.
func (c *cluster) submitAndAwaitRunning(job map[string]any) {
	c.t.Helper()
	c.submitWithRetries(0, 500*time.Millisecond, job)
	for range 120 {
		if c.runningTasks(job["id"].(string)) == job["pieces"] {
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	c.t.Fatalf("not all tasks of %s run; tasks on machines: %v", job["id"], c.cloud.TasksOnMachines())
}

// tasksWithPrefix returns the tasks on machines whose IDs have the given prefix.
func (c *cluster) tasksWithPrefix(prefix string) []string {
	return slices.DeleteFunc(c.cloud.TasksOnMachines(), func(task string) bool { return !strings.HasPrefix(task, prefix) })
}

// runningTasks returns the number of tasks of a job that are on machines.
func (c *cluster) runningTasks(id string) int { return len(c.tasksWithPrefix(id + "/")) }

// cancelJob requests a cancellation, beginning at node first and going on to the next node each time, until one confirms
// it.
func (c *cluster) cancelJob(id string, first int) {
	c.t.Helper()
	for try := range 200 {
		if code, _ := c.requestCancellation((first+try)%c.size, id); code == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("%s could not be cancelled", id)
}

// sendRequestsToAllNodes queries all nodes about a job every 7 ms for the given duration. In between it repeats the
// job's submission and, if cancel is set, its cancellation. It counts the responses by node and code in seen.
func (c *cluster) sendRequestsToAllNodes(job map[string]any, cancel bool, duration time.Duration, seen *counter) {
	id := job["id"].(string)
	var wg sync.WaitGroup
	for startedAt, n := time.Now(), 0; time.Since(startedAt) < duration; n++ {
		for node := range c.size {
			wg.Go(func() {
				code := 0
				switch {
				case n%4 == 3:
					code, _ = c.submitTo(node, job)
				case n%4 == 1 && cancel:
					code, _ = c.requestCancellation(node, id)
				default:
					code, _ = c.queryJob(node, id)
				}
				seen.add(fmt.Sprintf("node %d: %d", node, code))
			})
		}
		time.Sleep(7 * time.Millisecond)
	}
	wg.Wait()
}
