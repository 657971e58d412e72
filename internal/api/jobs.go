package api

import (
	"context"
	"errors"
	"math/rand/v2"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// userTimeout is less than users wait for the answer to a poll.
const userTimeout = 1800 * micros.Millisecond

// errNoSuchJob means that no job has the ID that a user asked for.
var errNoSuchJob = errors.New("no such job")

// JobProgress is the part of a node that knows how far jobs are.
type JobProgress interface {
	// TaskCounts returns how many tasks of a job are done and how many run, as well as it is
	// known here.
	TaskCounts(id string) (done, running int)
}

// jobHandlers answer users' submissions, polls and cancellations.
type jobHandlers struct {
	progress JobProgress
	settings *settings.Settings
	store    *statestore.Client
	batcher  *statestore.Batcher
	replica  *replica.Replica
}

func newJobHandlers(config Config) *jobHandlers {
	return &jobHandlers{
		progress: config.Node,
		settings: config.Settings,
		store:    config.Store,
		batcher:  config.Batcher,
		replica:  config.Replica,
	}
}

// storedJob is a job with the mod revision of its key.
type storedJob struct {
	replica.Job
	modRevision uint64
}

// currentJob returns a job as it is stored now: a job that has ended stays so, anything else
// is only known after a read barrier. The error is errNoSuchJob if there is none.
func (h *jobHandlers) currentJob(ctx context.Context, id string) (storedJob, error) {
	if job, modRevision, ok := h.replica.Job(id); ok && job.IsFinal() {
		return storedJob{job, modRevision}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, userTimeout.Duration())
	defer cancel()
	if err := h.replica.Barrier(ctx); err != nil {
		return storedJob{}, err
	}
	job, modRevision, ok := h.replica.Job(id)
	if !ok {
		return storedJob{}, errNoSuchJob
	}
	return storedJob{job, modRevision}, nil
}

// jobStatus returns what users are shown of a job.
func (h *jobHandlers) jobStatus(id string, job replica.Job) wire.JobStatus {
	s := wire.JobStatus{ID: id, State: job.State}
	if !job.IsFinal() {
		done, running := h.progress.TaskCounts(id)
		s.Done, s.Running = &done, &running
		if running > 0 {
			s.State = wire.JobRunning
		}
	}
	return s
}

// Retries of a write whose user waits for it.
const (
	putRetryPause  = 60 * micros.Millisecond // at least, and less than twice as long
	putRetryWindow = 1500 * micros.Millisecond
	// maxUnansweredPuts is after how many attempts without an answer a write is given up.
	maxUnansweredPuts = 2
)

// putWithRetry writes one key on the condition that its mod revision is modRevision. It tries
// again after a rejection by the rate limit, as that passes soon, and once after a lost answer:
// the second attempt shows whether the first was carried out, as both have the same condition.
func (h *jobHandlers) putWithRetry(ctx context.Context, key string, modRevision uint64, value any) (revision uint64, err error) {
	start, unanswered := micros.Now(), 0
	for {
		revision, err = h.batcher.Put(ctx, key, modRevision, value)
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

// isFinalPutError reports whether a failed write would fail again at once.
func isFinalPutError(err error) bool {
	return errors.Is(err, statestore.ErrConflict) ||
		errors.Is(err, statestore.ErrUnavailable) ||
		errors.Is(err, statestore.ErrRejected)
}
