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

// jobTable holds the stored jobs, none of which is ever removed. The caller provides the locking.
type jobTable struct {
	byID      map[string]storedJob
	changed   map[string]bool // IDs of the jobs that changed since TakeChangedJobs was last called
	cancelled []string        // IDs of the cancelled jobs, in order of their mod revisions
}

func newJobTable() jobTable {
	return jobTable{byID: map[string]storedJob{}, changed: map[string]bool{}}
}

// put stores a job unless the table already has it with the same or a higher mod revision.
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

// insertCancelled adds a cancelled job to the list at the position of its mod revision. It searches from the end, as
// most newly cancelled jobs belong there.
func (t *jobTable) insertCancelled(id string, modRevision uint64) {
	position := len(t.cancelled)
	for position > 0 && t.byID[t.cancelled[position-1]].modRevision > modRevision {
		position--
	}
	t.cancelled = slices.Insert(t.cancelled, position, id)
}

// cancelledSince lists the IDs of cancelled jobs with a mod revision above since, in order of their mod revisions. The
// list is valid until the next put.
func (t *jobTable) cancelledSince(since uint64) []string {
	first := len(t.cancelled)
	for first > 0 && t.byID[t.cancelled[first-1]].modRevision > since {
		first--
	}
	return t.cancelled[first:]
}

// unfinished lists the IDs of all jobs that are not final, in no particular order.
func (t *jobTable) unfinished() (ids []string) {
	for id, stored := range t.byID {
		if !stored.job.IsFinal() {
			ids = append(ids, id)
		}
	}
	return ids
}

// Job returns a job in the replica and its key's mod revision; ok reports whether the replica has the job.
func (r *Replica) Job(id string) (job Job, modRevision uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stored, ok := r.jobs.byID[id]
	return stored.job, stored.modRevision, ok
}

// TakeChangedJobs returns the sorted IDs of the jobs that changed since the last call. If all is true, it returns the
// IDs of all jobs that are not final instead, for a leader whose term begins.
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
