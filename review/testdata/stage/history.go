package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// Times of the case "history".
const (
	historyJobs   = 100_000          // under five days of the brief's 14.9 jobs a minute
	restartDelay  = 5 * time.Second  // "back about 5 s after an end"
	restartSpread = time.Second      // between the returns of two controllers
	startPause    = 2 * time.Second  // between the first starts, in which the state service admits a burst again
	answerLimit   = 75 * time.Second // "a job about which no question is answered for 75 s counts as forgotten"
)

// runHistory ends all controllers at once, on a state service that holds the final states of some days' jobs, and starts
// them again a second apart. It asks about an accepted job from when all of them have been started again.
func runHistory(c *cluster, trouble bool) (int, error) {
	jobs := historyJobs
	if n, err := strconv.Atoi(os.Getenv("JOBS")); err == nil {
		jobs = n
	}
	keys := make([]string, jobs)
	for i := range keys {
		keys[i] = fmt.Sprintf("%sj-%07d", replica.JobPrefix, 1_000_000+i)
	}
	value, err := wire.Marshal(replica.Job{SubmittedAt: 1, State: wire.JobDone, Reason: "all tasks done", EndedAt: 2})
	if err != nil {
		return failed, err
	}
	c.state.preload(keys, func(int) []byte { return value })
	c.record.printf("state service: holds %d jobs that are done", jobs)
	for i := range c.nodes {
		if err := c.start(i); err != nil {
			return failed, err
		}
		if err := c.awaitReady(i, 30*time.Second); err != nil {
			return failed, err
		}
		time.Sleep(startPause)
	}
	const id = "j-5000001"
	job := newJob(id, 2)
	c.cloud.upload(job, 5)
	if !c.submit(0, job, id) {
		return failed, errNotReady
	}
	if trouble {
		for i := range c.nodes {
			c.kill(i)
		}
		c.state.takeCounts()
		time.Sleep(restartDelay - restartSpread)
		for i := range c.nodes {
			if i > 0 {
				time.Sleep(restartSpread)
			}
			if err := c.start(i); err != nil {
				return failed, err
			}
		}
	}
	return c.awaitAnswer(id, answerLimit), nil
}

// awaitAnswer asks all controllers about a job every second, and returns broken if none of them answers in time. It
// returns held with the first answer.
func (c *cluster) awaitAnswer(id string, limit time.Duration) int {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(time.Second) {
		for i := range c.nodes {
			status, answer := c.request(http.MethodGet, i, "/v1/jobs/"+id, nil)
			c.record.printf("user: GET /v1/jobs/%s at host-%d: %d %s", id, i, status, answer.State)
			if status == http.StatusOK {
				return held
			}
		}
		c.record.printf("state service: answers by node and status: %v", c.state.takeCounts())
	}
	c.record.printf("RULE BROKEN forgotten: no question about %s was answered for %v", id, limit)
	return broken
}
