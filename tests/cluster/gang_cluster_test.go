package cluster

import (
	"maps"
	"strings"
	"time"

	"caperlatch/internal/wire"
)

// gangJob returns the submission of a gang, with the protocol's names; edits are further fields.
func gangJob(id string, tasks int, cpus float64, edits map[string]any) map[string]any {
	job := testJob(id, tasks)
	job["shape"], job["vcpus"], job["save_every_s"], job["store_s"], job["expect_s"] = "gang", cpus, 10.0, 1.0, 20.0
	maps.Copy(job, edits)
	return job
}

// taskStateCounts counts the tasks of a job that machines have by their states.
func (c *cluster) taskStateCounts(id string) map[string]int {
	have := map[string]int{}
	for task, state := range c.cloud.TaskStates() {
		if strings.HasPrefix(task, id+"/") {
			have[state]++
		}
	}
	return have
}

// awaitTaskStates waits until the tasks of a job that machines have are in these states, by number.
func (c *cluster) awaitTaskStates(id string, want map[string]int) {
	c.t.Helper()
	for range 600 {
		if maps.Equal(c.taskStateCounts(id), want) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatalf("%s: tasks %v, want %v", id, c.cloud.TaskStates(), want)
}

// awaitGangRunning waits until a gang of some tasks runs.
func (c *cluster) awaitGangRunning(id string, tasks int) {
	c.t.Helper()
	c.awaitTaskStates(id, map[string]int{wire.TaskRunning: tasks})
}

// awaitGangPulling waits until three machines pull the image of a gang of three tasks.
func (c *cluster) awaitGangPulling(id string) {
	c.t.Helper()
	c.awaitTaskStates(id, map[string]int{wire.TaskPullingImage: 3})
}

// awaitGangWaiting waits until two tasks of a gang of three wait for the third, whose machine still
// pulls the image.
func (c *cluster) awaitGangWaiting(id string) {
	c.t.Helper()
	c.awaitTaskStates(id, map[string]int{wire.TaskWaitingForGang: 2, wire.TaskPullingImage: 1})
}
