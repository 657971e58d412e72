package main

import (
	"net/http"
	"time"

	"caperlatch/internal/wire"
)

// Numbers of the case "faulty".
const (
	faultyMachines = 2
	lookFor        = 105 * time.Second // from when the job is accepted
)

// runFaulty submits a job of one task to a quiet cluster. The first machines that the cloud rents out fail every task
// that they start; all others are sound, and the cloud has many of them.
func runFaulty(c *cluster, trouble bool) (int, error) {
	if trouble {
		c.cloud.faulty = faultyMachines
	}
	if err := c.startAll(); err != nil {
		return failed, err
	}
	const id = "j-000412"
	job := newJob(id, 1)
	c.cloud.upload(job, 5)
	if !c.submit(0, job, id) {
		return failed, errNotReady
	}
	if c.awaitDone(id, lookFor) {
		return held, nil
	}
	c.record.printf("RULE BROKEN must run: %s did not run in %v; starts of its task: %d", id, lookFor, c.cloud.startsOf(id+"/0"))
	return broken, nil
}

// startAll starts all controllers and waits until they are ready.
func (c *cluster) startAll() error {
	for i := range c.nodes {
		if err := c.start(i); err != nil {
			return err
		}
	}
	for i := range c.nodes {
		if err := c.awaitReady(i, 30*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// awaitDone asks about a job every 2 s until it is done, and reports whether it was done in time.
func (c *cluster) awaitDone(id string, limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(2 * time.Second) {
		status, answer := c.request(http.MethodGet, 0, "/v1/jobs/"+id, nil)
		c.record.printf("user: GET /v1/jobs/%s at host-0: %d %s", id, status, answer.State)
		if answer.State == wire.JobDone {
			return true
		}
	}
	return false
}
