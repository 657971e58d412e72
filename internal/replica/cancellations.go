package replica

import "caperlatch/internal/wire"

// Cancellation is the stored state of a cancelled job, as nodes send it to each other.
type Cancellation struct {
	ID          string `json:"id"`
	ModRevision uint64 `json:"stamp"`
	Job         Job    `json:"job"`
}

// Cancellations is a list of cancellations, oldest first.
type Cancellations struct {
	List []Cancellation
	// KnownThrough is a revision up to which no cancellation is missing: each one up to it is in List, or has a mod
	// revision not above the one that the list was requested since.
	KnownThrough uint64
	// Complete reports whether List ends with the last cancellation that this node knows, rather than at the bounds
	// of a message. This node knows at least every cancellation that it has confirmed to a user.
	Complete bool
}

// Bounds of the cancellations in one message between nodes: their number, and their size as JSON in bytes. One
// transaction, whose changes share a mod revision, uses a small part of either bound, so each message reaches a higher
// revision than the one before.
const (
	maxCancellations     = 1000
	maxCancellationBytes = 1 << 19
)

// CancelledThrough returns a revision up to which this node knows every cancellation: from the changes that it has
// read, or from a peer that had read more of them.
func (r *Replica) CancelledThrough() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.revision, r.adoptedThrough)
}

// CancelledSince lists the cancellations known to this node that have a mod revision above since, as many as fit one
// message. It selects by revision and not by time, as a transaction may be executed minutes after it was sent.
func (r *Replica) CancelledSince(since uint64) Cancellations {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Cancellation
	size := 0
	for _, id := range r.jobs.cancelledSince(since) {
		stored := r.jobs.byID[id]
		size += wire.JSONSize(stored.job)
		if len(list) == maxCancellations || len(list) > 0 && size > maxCancellationBytes {
			// The changes of a transaction share one mod revision, so the last transaction in the list may be
			// incomplete.
			completeThrough := list[len(list)-1].ModRevision - 1
			return Cancellations{List: list, KnownThrough: min(r.revision, completeThrough)}
		}
		list = append(list, Cancellation{id, stored.modRevision, stored.job})
	}
	return Cancellations{List: list, KnownThrough: r.revision, Complete: true}
}

// AdoptCancellations applies the cancellations that a peer returned from CancelledSince(since), where since was at most
// this node's CancelledThrough. through is the peer's KnownThrough. A cancellation is final, so it is as valid as one
// that was read from the state service.
func (r *Replica) AdoptCancellations(list []Cancellation, through uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range list {
		if c.Job.State == wire.JobCancelled {
			r.jobs.put(c.ID, c.Job, c.ModRevision)
		}
	}
	r.adoptedThrough = max(r.adoptedThrough, through)
	if len(list) > 0 {
		r.notify()
	}
}
