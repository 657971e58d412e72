package api

import (
	"context"
	"errors"
	"math/rand/v2"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// userTimeout is within what users wait for a poll.
const userTimeout = 1800 * micros.Millisecond

// What users are told, and callers in this package tell apart.
var (
	errNoSuchJob            = errors.New("no such job")
	errNoJobID              = errors.New("no map with a good id")
	errDescriptionTooLong   = errors.New("the description is too long")
	errInstanceTypesUnknown = errors.New("the catalog is not known yet")
)

// storedJob is a job with its key's version.
type storedJob struct {
	replica.Job
	modRevision uint64
}

// currentJob finds a job as it is now: a job that is over stays so, anything else
// is only known after a read barrier. The error is errNoSuchJob if there is none.
func (h *Handler) currentJob(ctx context.Context, id string) (storedJob, error) {
	if job, modRevision, ok := h.Replica.Job(id); ok && job.IsFinal() {
		return storedJob{job, modRevision}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, userTimeout.Duration())
	defer cancel()
	if err := h.Replica.Barrier(ctx); err != nil {
		return storedJob{}, err
	}
	job, modRevision, ok := h.Replica.Job(id)
	if !ok {
		return storedJob{}, errNoSuchJob
	}
	return storedJob{job, modRevision}, nil
}

// jobStatus is what users are shown of a job.
func (h *Handler) jobStatus(id string, job replica.Job) wire.JobStatus {
	s := wire.JobStatus{ID: id, Status: job.State}
	if !job.IsFinal() {
		done, running := h.Node.TaskCounts(id)
		s.Done, s.Running = &done, &running
		if running > 0 {
			s.Status = wire.JobRunning
		}
	}
	return s
}

// Tries of a write whose user waits: refusals for the rate limit pass soon.
const (
	putRetryPause  = 60 * micros.Millisecond
	putRetryWindow = 1500 * micros.Millisecond
)

// maxUnansweredPuts is after how many tries without an answer a write is given up.
const maxUnansweredPuts = 2

// putWithRetry writes one key. A refusal for the rate limit passes soon; after a lost
// answer one more try tells whether the first was carried out, as both have
// the same condition.
func (h *Handler) putWithRetry(ctx context.Context, key string, modRevision uint64, value any) (revision uint64, err error) {
	start, unanswered := micros.Now(), 0
	for {
		revision, err = h.Batcher.Put(ctx, key, modRevision, value)
		switch {
		case err == nil, isFinalPutError(err):
			return revision, err
		case ctx.Err() != nil || micros.Now()-start > putRetryWindow:
			return revision, err
		case !errors.Is(err, statestore.ErrRateLimited):
			if unanswered++; unanswered == maxUnansweredPuts {
				return revision, err
			}
		}
		micros.Pause(ctx, putRetryPause+micros.Micros(rand.Int64N(int64(putRetryPause))))
	}
}

// isFinalPutError tells whether a failed write would fail again at once.
func isFinalPutError(err error) bool {
	return errors.Is(err, statestore.ErrConflict) ||
		errors.Is(err, statestore.ErrUnavailable) ||
		errors.Is(err, statestore.ErrRejected)
}
