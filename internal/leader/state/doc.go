// Package state holds the leader's records of machines, jobs and attempts, and the assignments between them.
//
// The package maintains two invariants. An attached attempt is in the Attempts of both its machine and its job, and a
// detached one is in neither. A machine's free resources and a job's number of attempts per zone are updated whenever
// an attempt is attached or detached. The package makes no decisions, does no I/O and takes no lock: the leader calls
// it with the leader's lock held.
package state
