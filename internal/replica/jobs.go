package replica

import (
	"slices"

	"caperlatch/internal/wire"
)

// storedJob is a job with its key's mod revision.
type storedJob struct {
	job         Job
	modRevision uint64
}

// jobTable is the stored jobs, none of which is ever removed. It holds no lock.
type jobTable struct {
	byID      map[string]storedJob
	changed   map[string]bool // IDs of those that changed since they were last taken
	cancelled []string        // IDs of those that are cancelled, by mod revision
}

func newJobTable() jobTable {
	return jobTable{byID: map[string]storedJob{}, changed: map[string]bool{}}
}

// put applies a job's state unless the one known is as new.
func (t *jobTable) put(id string, job Job, modRevision uint64) {
	if modRevision <= t.byID[id].modRevision {
		return
	}
	t.byID[id] = storedJob{job, modRevision}
	t.changed[id] = true
	if job.State == wire.JobCancelled {
		t.insertCancelled(id, modRevision)
	}
}

// insertCancelled adds a cancelled job at its place, mostly the last.
func (t *jobTable) insertCancelled(id string, modRevision uint64) {
	at := len(t.cancelled)
	for at > 0 && t.byID[t.cancelled[at-1]].modRevision > modRevision {
		at--
	}
	t.cancelled = slices.Insert(t.cancelled, at, id)
}

// cancelledSince lists the IDs of cancelled jobs with a mod revision above since, in their order. The list is valid
// until the next put.
func (t *jobTable) cancelledSince(since uint64) []string {
	from := len(t.cancelled)
	for from > 0 && t.byID[t.cancelled[from-1]].modRevision > since {
		from--
	}
	return t.cancelled[from:]
}

// unfinished lists the IDs of all jobs that are not final, in no order.
func (t *jobTable) unfinished() (ids []string) {
	for id, stored := range t.byID {
		if !stored.job.IsFinal() {
			ids = append(ids, id)
		}
	}
	return ids
}

// Job returns a job and its key's mod revision as known here; ok reports whether it is known.
func (r *Replica) Job(id string) (job Job, modRevision uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stored, ok := r.jobs.byID[id]
	return stored.job, stored.modRevision, ok
}

// TakeChangedJobs returns the IDs of jobs that changed since the last call, in order. With all it returns those of
// every job that is not final instead, for a leader that begins.
func (r *Replica) TakeChangedJobs(all bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	if all {
		ids = r.jobs.unfinished()
	} else {
		for id := range r.jobs.changed {
			ids = append(ids, id)
		}
	}
	clear(r.jobs.changed)
	slices.Sort(ids)
	return ids
}
