package api

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"

	"github.com/labstack/echo/v4"

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

// rejectionError says that a submission can never be accepted as it is.
type rejectionError struct {
	status int // HTTP status
	reason error
}

// Error is what the user is told.
func (r *rejectionError) Error() string { return r.reason.Error() }

// Unwrap is the reason.
func (r *rejectionError) Unwrap() error { return r.reason }

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

// submit stores a new job. A job that is known is answered with its status, whatever
// else its repeat says.
func (h *Handler) submit(c echo.Context) error {
	body, err := wire.ReadBody(c.Request().Body)
	if err != nil {
		return respondError(c, http.StatusBadRequest, err)
	}
	id := wire.ParseSubmissionID(body)
	if id == "" {
		return respondError(c, http.StatusBadRequest, errNoJobID)
	}
	if !h.Replica.IsLoaded() {
		return respondUnavailable(c)
	}
	if _, _, ok := h.Replica.Job(id); ok {
		return h.respondWithJobStatus(c, id)
	}
	job, err := h.checkSubmission(body)
	var rejected *rejectionError
	switch {
	case errors.Is(err, errInstanceTypesUnknown):
		return respondUnavailable(c)
	case errors.As(err, &rejected):
		return h.reject(c, id, rejected)
	case err != nil:
		return err
	}
	return h.storeSubmission(c, id, job)
}

// checkSubmission makes the job to be stored. Its error is a refusal, errInstanceTypesUnknown
// or a failure of this node.
func (h *Handler) checkSubmission(body []byte) (replica.Job, error) {
	spec, err := wire.ParseJob(body)
	if err != nil {
		return replica.Job{}, &rejectionError{http.StatusBadRequest, err}
	}
	job := replica.Job{Spec: &spec, SubmittedAt: micros.Wall(), State: wire.JobPending}
	if !h.Store.ValueFitsNow(job) {
		return replica.Job{}, &rejectionError{http.StatusBadRequest, errDescriptionTooLong}
	}
	var instanceTypes wire.InstanceTypeList
	modRevision, err := h.Replica.Get(replica.InstanceTypesKey, &instanceTypes)
	if err != nil {
		return replica.Job{}, err
	}
	if modRevision == 0 {
		return replica.Job{}, errInstanceTypesUnknown
	}
	if err := checkFeasible(&spec, instanceTypes.Types, h.Settings.Params.Teams); err != nil {
		return replica.Job{}, &rejectionError{http.StatusUnprocessableEntity, err}
	}
	return job, nil
}

// reject answers a submission that cannot be accepted, unless its id is known.
func (h *Handler) reject(c echo.Context, id string, r *rejectionError) error {
	if answered, err := h.respondIfKnown(c, id); answered {
		return err
	}
	slog.Debug("submission refused", "job", id, "code", r.status, "error", r.reason)
	return respondError(c, r.status, r.reason)
}

// respondIfKnown answers a submission whose id was accepted elsewhere: that keeps its answer
// whatever its repeat says. It answers as well if that cannot be told now.
func (h *Handler) respondIfKnown(c echo.Context, id string) (answered bool, err error) {
	_, err = h.currentJob(c.Request().Context(), id)
	switch {
	case errors.Is(err, errNoSuchJob):
		return false, nil
	case err != nil:
		return true, respondUnavailable(c)
	}
	return true, h.respondWithJobStatus(c, id)
}

// storeSubmission writes a checked job and answers with how that ended.
func (h *Handler) storeSubmission(c echo.Context, id string, job replica.Job) error {
	key := replica.JobPrefix + id
	revision, err := h.putWithRetry(c.Request().Context(), key, 0, job)
	switch {
	case err == nil:
		h.Replica.ApplyPut(key, job, revision)
		return respond(c, http.StatusCreated, wire.JobStatus{ID: id, Status: wire.JobPending})
	case errors.Is(err, statestore.ErrConflict):
		return h.respondWithJobStatus(c, id)
	case errors.Is(err, statestore.ErrRejected):
		// Its description is over a limit that has come into force. From then on no copy
		// of it that got no answer is stored either; one may have been before.
		if answered, err := h.respondIfKnown(c, id); answered {
			return err
		}
		slog.Info("submission refused by the state service", "job", id, "error", err)
		return respondError(c, http.StatusBadRequest, errDescriptionTooLong)
	}
	slog.Debug("submission", "job", id, "error", err)
	return respondUnavailable(c)
}

// respondWithJobStatus answers a submission of a job that was accepted before.
func (h *Handler) respondWithJobStatus(c echo.Context, id string) error {
	job, err := h.currentJob(c.Request().Context(), id)
	if err != nil {
		return respondUnavailable(c)
	}
	return respond(c, http.StatusOK, h.jobStatus(id, job.Job))
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

// poll tells a job's status.
func (h *Handler) poll(c echo.Context) error {
	id := c.Param("id")
	if !wire.IsValidJobID(id) {
		return respondError(c, http.StatusNotFound, errNoSuchJob)
	}
	job, err := h.currentJob(c.Request().Context(), id)
	switch {
	case errors.Is(err, errNoSuchJob):
		return respondError(c, http.StatusNotFound, errNoSuchJob)
	case err != nil:
		slog.Debug("poll", "job", id, "error", err)
		return respondUnavailable(c)
	}
	return respond(c, http.StatusOK, h.jobStatus(id, job.Job))
}

// cancel cancels a job unless it is over, and tells how it ended.
func (h *Handler) cancel(c echo.Context) error {
	id := c.Param("id")
	ctx := c.Request().Context()
	if !wire.IsValidJobID(id) {
		return respondError(c, http.StatusNotFound, errNoSuchJob)
	}
	job, err := h.currentJob(ctx, id)
	switch {
	case errors.Is(err, errNoSuchJob):
		return respondError(c, http.StatusNotFound, errNoSuchJob)
	case err != nil:
		return respondUnavailable(c)
	case job.IsFinal():
		return respond(c, http.StatusOK, wire.JobStatus{ID: id, Status: job.State})
	}
	err = h.storeCancellation(ctx, id, job)
	switch {
	case err == nil:
		return respond(c, http.StatusOK, wire.JobStatus{ID: id, Status: wire.JobCancelled})
	case errors.Is(err, statestore.ErrConflict):
		// A job's key changes once after its creation, when it ends: a read tells how.
		if job, err = h.currentJob(ctx, id); err == nil && job.IsFinal() {
			return respond(c, http.StatusOK, wire.JobStatus{ID: id, Status: job.State})
		}
	}
	slog.Debug("abort", "job", id, "error", err)
	return respondUnavailable(c)
}

// storeCancellation writes that a job is cancelled, on the condition that it has not
// changed. It leaves the description out if it does not fit: a cancellation must always
// be possible.
func (h *Handler) storeCancellation(ctx context.Context, id string, job storedJob) error {
	cancelled := replica.Job{
		Spec:        job.Spec,
		SubmittedAt: job.SubmittedAt,
		State:       wire.JobCancelled,
		Reason:      "cancelled by its user",
		EndedAt:     micros.Wall(),
	}
	if !h.Store.ValueAlwaysFits(cancelled) {
		cancelled.Spec = nil
	}
	key := replica.JobPrefix + id
	revision, err := h.putWithRetry(ctx, key, job.modRevision, cancelled)
	if errors.Is(err, statestore.ErrRejected) && cancelled.Spec != nil {
		// The service takes less than the settings say.
		cancelled.Spec = nil
		revision, err = h.putWithRetry(ctx, key, job.modRevision, cancelled)
	}
	if err == nil {
		h.Replica.ApplyPut(key, cancelled, revision)
	}
	return err
}
