// Package state holds the leader's records of machines, jobs and attempts, and the assignments
// between them.
//
// It owns the invariants of the records: an attempt is in its machine's and in its job's Attempts, or
// in neither, and what a machine has free and a job has in each zone are counted as attempts are attached
// and detached. It decides nothing, does no I/O and takes no lock: the leader calls it with its own held.
package state
