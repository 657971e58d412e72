package cluster

import (
	"maps"
	"strings"
	"time"

	"caperlatch/internal/wire"
)

// gangJob returns the submission of a gang, with the field names of the protocol. Fields in edits are added to it or
// replace its defaults.
func gangJob(id string, tasks int, cpus float64, edits map[string]any) map[string]any {
	job := testJob(id, tasks)
	job["shape"], job["vcpus"], job["save_every_s"], job["store_s"], job["expect_s"] = "gang", cpus, 10.0, 1.0, 20.0
	maps.Copy(job, edits)
	return job
}

// taskStateCounts returns the number of a job's tasks on machines, by task state.
func (c *cluster) taskStateCounts(id string) map[string]int {
	counts := map[string]int{}
	for task, state := range c.cloud.TaskStates() {
		if strings.HasPrefix(task, id+"/") {
			counts[state]++
		}
	}
	return counts
}

// awaitTaskStates waits up to 60 s until the number of a job's tasks on machines, by task state, is as wanted.
func (c *cluster) awaitTaskStates(id string, want map[string]int) {
	c.t.Helper()
	for range 600 {
		if maps.Equal(c.taskStateCounts(id), want) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatalf("%s: after 60 s the task states of all jobs are %v, want %v", id, c.cloud.TaskStates(), want)
}

// awaitGangRunning waits until all tasks of a gang run.
func (c *cluster) awaitGangRunning(id string, tasks int) {
	c.t.Helper()
	c.awaitTaskStates(id, map[string]int{wire.TaskRunning: tasks})
}

// awaitGangPulling waits until the machines pull the image for all tasks of a gang of three.
func (c *cluster) awaitGangPulling(id string) {
	c.t.Helper()
	c.awaitTaskStates(id, map[string]int{wire.TaskPullingImage: 3})
}

// awaitGangWaiting waits until two tasks of a gang of three wait for the third, whose machine is still pulling the
// image.
func (c *cluster) awaitGangWaiting(id string) {
	c.t.Helper()
	c.awaitTaskStates(id, map[string]int{wire.TaskWaitingForGang: 2, wire.TaskPullingImage: 1})
}
