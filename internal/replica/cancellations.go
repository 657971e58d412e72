package replica

import "caperlatch/internal/wire"

// Cancellation is a job's stored cancellation, as nodes pass it on to each other.
type Cancellation struct {
	ID          string `json:"id"`
	ModRevision uint64 `json:"stamp"`
	Job         Job    `json:"job"`
}

// Cancellations is a list of cancellations, oldest first.
type Cancellations struct {
	List []Cancellation
	// KnownThrough is the revision up to which these, and those before the revision that was asked from, are all
	// there are.
	KnownThrough uint64
	// Complete reports that these are all that are known here, which includes every one that this node
	// ever confirmed to a user.
	Complete bool
}

// Bounds of the cancellations in one message between nodes: their number, and their size as
// JSON. One transaction, whose changes share a mod revision, takes a small part of either, so each
// message gets further than the one before it.
const (
	maxCancellations     = 1000
	maxCancellationBytes = 1 << 19
)

// CancelledThrough is a revision up to which every cancellation is known here: what the
// changes have shown, or what a peer passed on that had read further.
func (r *Replica) CancelledThrough() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.revision, r.adoptedThrough)
}

// CancelledSince lists the cancellations known here with a mod revision above since, as many as fit one message. It
// goes by revision and not by time, as a transaction may be carried out minutes after it was sent.
func (r *Replica) CancelledSince(since uint64) Cancellations {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Cancellation
	size := 0
	for _, id := range r.jobs.cancelledSince(since) {
		stored := r.jobs.byID[id]
		size += wire.JSONSize(stored.job)
		if len(list) == maxCancellations || len(list) > 0 && size > maxCancellationBytes {
			// A transaction's changes share one mod revision, so the last one may be listed in part.
			complete := list[len(list)-1].ModRevision - 1
			return Cancellations{List: list, KnownThrough: min(r.revision, complete)}
		}
		list = append(list, Cancellation{id, stored.modRevision, stored.job})
	}
	return Cancellations{List: list, KnownThrough: r.revision, Complete: true}
}

// AdoptCancellations applies what a peer returned from CancelledSince(since), where since was
// CancelledThrough here or less. A cancellation is final, so it holds here as if it had
// been read from the state service.
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
