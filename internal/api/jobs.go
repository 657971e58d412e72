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

// userTimeout bounds the work on a user's query. It is shorter than the time that users wait for the response to a
// poll.
const userTimeout = 1800 * micros.Millisecond

// errNoSuchJob means that no job has the requested ID.
var errNoSuchJob = errors.New("no such job")

// JobProgress is the part of a node that knows the progress of jobs.
type JobProgress interface {
	// TaskCounts returns how many tasks of a job are done and how many are running, according to this node.
	TaskCounts(id string) (done, running int)
}

// jobHandlers holds the handlers of users' submissions, polls and cancellations.
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

// storedJob is a job together with the mod revision of its key.
type storedJob struct {
	replica.Job
	modRevision uint64
}

// currentJob returns a job as it is currently stored. A job that has ended does not change any more, so this
// node's copy is returned at once; in all other cases a read barrier is needed first. The error is errNoSuchJob
// if the job does not exist.
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

// jobStatus returns the status of a job that is sent to users.
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

// Parameters for retrying a write while its user waits for the response.
const (
	putRetryPause  = 60 * micros.Millisecond // minimum; a random time below this is added
	putRetryWindow = 1500 * micros.Millisecond
	// maxUnansweredPuts is the number of attempts without a response after which a write is abandoned.
	maxUnansweredPuts = 2
)

// putWithRetry writes one key, provided that its mod revision is modRevision. It retries when the write was
// rejected by the rate limit, which is short-lived, and once after a lost response: both attempts have the same
// condition, so the second one shows whether the first was executed.
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

// isFinalPutError reports whether an immediate retry of a failed write would fail again.
func isFinalPutError(err error) bool {
	return errors.Is(err, statestore.ErrConflict) ||
		errors.Is(err, statestore.ErrUnavailable) ||
		errors.Is(err, statestore.ErrRejected)
}
