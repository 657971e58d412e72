package main

import "time"

// Memory of the machine type that the case "whole" uses: 15,258 MiB, as GiB and rounded to a thousandth.
const (
	wholeMemoryGB   = 15258.0 / 1024 // 14.900390625
	roundedMemoryGB = 14.9
)

// runWhole submits a job whose task takes all the memory of a machine type.
func runWhole(c *cluster, trouble bool) (int, error) {
	memoryGB := roundedMemoryGB
	if trouble {
		memoryGB = wholeMemoryGB
	}
	for i := range c.cloud.types {
		c.cloud.types[i].MemoryGB = memoryGB
	}
	if err := c.startAll(); err != nil {
		return failed, err
	}
	const id, other = "j-000412", "j-000413"
	job := newJob(id, 1)
	job.MemoryGB = memoryGB
	c.cloud.upload(job, 5)
	if !c.submit(0, job, id) {
		return failed, errNotReady
	}
	small := newJob(other, 1)
	c.cloud.upload(small, 5)
	if !c.submit(0, small, other) || !c.awaitDone(other, 30*time.Second) {
		return failed, errNotReady
	}
	if c.awaitDone(id, 75*time.Second) {
		return held, nil
	}
	c.record.printf("RULE BROKEN must run: %s was accepted and did not run; starts of its task: %d", id, c.cloud.startsOf(id+"/0"))
	return broken, nil
}
