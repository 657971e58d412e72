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
	errNoSuchJob      = errors.New("no such job")
	errNoJobID        = errors.New("no map with a good id")
	errTooLong        = errors.New("the description is too long")
	errCatalogUnknown = errors.New("the catalog is not known yet")
)

// rejection says that a submission can never be accepted as it is.
type rejection struct {
	code   int // HTTP status
	reason error
}

// Error is what the user is told.
func (r *rejection) Error() string { return r.reason.Error() }

// Unwrap is the reason.
func (r *rejection) Unwrap() error { return r.reason }

// storedJob is a job with its key's version.
type storedJob struct {
	replica.Job
	modRevision uint64
}

// currentJob finds a job as it is now: a job that is over stays so, anything else
// is only known after a read barrier. The error is errNoSuchJob if there is none.
func (h *Handler) currentJob(ctx context.Context, id string) (storedJob, error) {
	if job, stamp, ok := h.Replica.Job(id); ok && job.IsFinal() {
		return storedJob{job, stamp}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, userTimeout.Duration())
	defer cancel()
	if err := h.Replica.Barrier(ctx); err != nil {
		return storedJob{}, err
	}
	job, stamp, ok := h.Replica.Job(id)
	if !ok {
		return storedJob{}, errNoSuchJob
	}
	return storedJob{job, stamp}, nil
}

// status is what users are shown of a job.
func (h *Handler) status(id string, job replica.Job) wire.JobStatus {
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
		return h.respondWithStatus(c, id)
	}
	job, err := h.checkSubmission(body)
	var refused *rejection
	switch {
	case errors.Is(err, errCatalogUnknown):
		return respondUnavailable(c)
	case errors.As(err, &refused):
		return h.refuse(c, id, refused)
	case err != nil:
		return err
	}
	return h.storeSubmission(c, id, job)
}

// checkSubmission makes the job to be stored. Its error is a refusal, errCatalogUnknown
// or a failure of this node.
func (h *Handler) checkSubmission(body []byte) (replica.Job, error) {
	spec, err := wire.ParseJob(body)
	if err != nil {
		return replica.Job{}, &rejection{http.StatusBadRequest, err}
	}
	job := replica.Job{Spec: &spec, SubmittedAt: micros.Wall(), State: wire.JobPending}
	if !h.Store.ValueFitsNow(job) {
		return replica.Job{}, &rejection{http.StatusBadRequest, errTooLong}
	}
	var catalog wire.InstanceTypeList
	stamp, err := h.Replica.Get(replica.InstanceTypesKey, &catalog)
	if err != nil {
		return replica.Job{}, err
	}
	if stamp == 0 {
		return replica.Job{}, errCatalogUnknown
	}
	if err := checkFeasible(&spec, catalog.Types, h.Settings.Params.Teams); err != nil {
		return replica.Job{}, &rejection{http.StatusUnprocessableEntity, err}
	}
	return job, nil
}

// refuse answers a submission that cannot be accepted, unless its id is known.
func (h *Handler) refuse(c echo.Context, id string, r *rejection) error {
	if answered, err := h.respondIfKnown(c, id); answered {
		return err
	}
	slog.Debug("submission refused", "job", id, "code", r.code, "error", r.reason)
	return respondError(c, r.code, r.reason)
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
	return true, h.respondWithStatus(c, id)
}

// storeSubmission writes a checked job and answers with how that ended.
func (h *Handler) storeSubmission(c echo.Context, id string, job replica.Job) error {
	key := replica.JobPrefix + id
	revision, err := h.put(c.Request().Context(), key, 0, job)
	switch {
	case err == nil:
		h.Replica.ApplyPut(key, job, revision)
		return respond(c, http.StatusCreated, wire.JobStatus{ID: id, Status: wire.JobPending})
	case errors.Is(err, statestore.ErrConflict):
		return h.respondWithStatus(c, id)
	case errors.Is(err, statestore.ErrRejected):
		// Its description is over a limit that has come into force. From then on no copy
		// of it that got no answer is stored either; one may have been before.
		if answered, err := h.respondIfKnown(c, id); answered {
			return err
		}
		slog.Info("submission refused by the state service", "job", id, "error", err)
		return respondError(c, http.StatusBadRequest, errTooLong)
	}
	slog.Debug("submission", "job", id, "error", err)
	return respondUnavailable(c)
}

// respondWithStatus answers a submission of a job that was accepted before.
func (h *Handler) respondWithStatus(c echo.Context, id string) error {
	job, err := h.currentJob(c.Request().Context(), id)
	if err != nil {
		return respondUnavailable(c)
	}
	return respond(c, http.StatusOK, h.status(id, job.Job))
}

// Tries of a write whose user waits: refusals for the rate limit pass soon.
const (
	putPause  = 60 * micros.Millisecond
	putWithin = 1500 * micros.Millisecond
)

// maxLostAnswers is after how many tries without an answer a write is given up.
const maxLostAnswers = 2

// put writes one key. A refusal for the rate limit passes soon; after a lost
// answer one more try tells whether the first was carried out, as both have
// the same condition.
func (h *Handler) put(ctx context.Context, key string, stamp uint64, value any) (revision uint64, err error) {
	begun, lost := micros.Now(), 0
	for {
		revision, err = h.Batcher.Put(ctx, key, stamp, value)
		switch {
		case err == nil, isDecided(err):
			return revision, err
		case ctx.Err() != nil || micros.Now()-begun > putWithin:
			return revision, err
		case !errors.Is(err, statestore.ErrRateLimited):
			if lost++; lost == maxLostAnswers {
				return revision, err
			}
		}
		micros.Pause(ctx, putPause+micros.Micros(rand.Int64N(int64(putPause))))
	}
}

// isDecided tells whether a failed write would fail again at once.
func isDecided(err error) bool {
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
	return respond(c, http.StatusOK, h.status(id, job.Job))
}

// abort cancels a job unless it is over, and tells how it ended.
func (h *Handler) abort(c echo.Context) error {
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
	revision, err := h.put(ctx, key, job.modRevision, cancelled)
	if errors.Is(err, statestore.ErrRejected) && cancelled.Spec != nil {
		// The service takes less than the settings say.
		cancelled.Spec = nil
		revision, err = h.put(ctx, key, job.modRevision, cancelled)
	}
	if err == nil {
		h.Replica.ApplyPut(key, cancelled, revision)
	}
	return err
}
