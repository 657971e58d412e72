package api

import (
	"errors"
	"log/slog"
	"net/http"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// Errors for submissions that are not accepted.
var (
	errNoJobID              = errors.New("no map with a good id")
	errDescriptionTooLong   = errors.New("the description is too long")
	errInstanceTypesUnknown = errors.New("the catalog is not known yet") // the submission may be accepted later
)

// rejectionError means that a submission can never be accepted in its present form.
type rejectionError struct {
	status int // HTTP status of the response
	reason error
}

// Error returns the text that is sent to the user.
func (e *rejectionError) Error() string { return e.reason.Error() }

// Unwrap returns the reason of the rejection.
func (e *rejectionError) Unwrap() error { return e.reason }

// submit stores a new job. If the job ID is already in use, it responds with the status of that job, regardless of
// the rest of the submission.
func (h *jobHandlers) submit(c echo.Context) error {
	body, err := wire.ReadBody(c.Request().Body)
	if err != nil {
		return respondError(c, http.StatusBadRequest, err)
	}
	id := wire.ParseSubmissionID(body)
	if id == "" {
		return respondError(c, http.StatusBadRequest, errNoJobID)
	}
	if !h.replica.IsLoaded() {
		return respondUnavailable(c)
	}
	if _, _, ok := h.replica.Job(id); ok {
		return h.respondWithJobStatus(c, id)
	}
	job, err := h.checkSubmission(body)
	var rejection *rejectionError
	switch {
	case errors.Is(err, errInstanceTypesUnknown):
		return respondUnavailable(c)
	case errors.As(err, &rejection):
		return h.reject(c, id, rejection)
	case err != nil:
		return err
	}
	return h.storeSubmission(c, id, job)
}

// checkSubmission validates a submission and returns the job to store. The error is a *rejectionError,
// errInstanceTypesUnknown or an internal error of this node.
func (h *jobHandlers) checkSubmission(body []byte) (replica.Job, error) {
	spec, err := wire.ParseJob(body)
	if err != nil {
		return replica.Job{}, &rejectionError{http.StatusBadRequest, err}
	}
	job := replica.Job{Spec: &spec, SubmittedAt: micros.WallTime(), State: wire.JobPending}
	if !h.store.ValueFitsNow(job) {
		return replica.Job{}, &rejectionError{http.StatusBadRequest, errDescriptionTooLong}
	}
	var instanceTypes wire.InstanceTypeList
	modRevision, err := h.replica.Get(replica.InstanceTypesKey, &instanceTypes)
	if err != nil {
		return replica.Job{}, err
	}
	if modRevision == 0 {
		return replica.Job{}, errInstanceTypesUnknown
	}
	if err := checkFeasible(&spec, instanceTypes.Types, h.settings.Params.Teams); err != nil {
		return replica.Job{}, &rejectionError{http.StatusUnprocessableEntity, err}
	}
	return job, nil
}

// reject responds to a submission that cannot be accepted with the reason, or with the status of the existing job if
// its ID is already in use.
func (h *jobHandlers) reject(c echo.Context, id string, rejection *rejectionError) error {
	if responded, err := h.respondIfKnown(c, id); responded {
		return err
	}
	slog.Debug("submission rejected", "job", id, "status", rejection.status, "error", rejection.reason)
	return respondError(c, rejection.status, rejection.reason)
}

// respondIfKnown responds to a submission if its job ID was already accepted, possibly by another node: the response
// is then the status of that job, regardless of the rest of the submission. If the job's existence cannot be
// determined now, it responds that the service is unavailable. It reports whether it has responded.
func (h *jobHandlers) respondIfKnown(c echo.Context, id string) (responded bool, err error) {
	_, err = h.currentJob(c.Request().Context(), id)
	switch {
	case errors.Is(err, errNoSuchJob):
		return false, nil
	case err != nil:
		return true, respondUnavailable(c)
	}
	return true, h.respondWithJobStatus(c, id)
}

// storeSubmission stores a validated job and responds with the outcome.
func (h *jobHandlers) storeSubmission(c echo.Context, id string, job replica.Job) error {
	key := replica.JobPrefix + id
	revision, err := h.putWithRetry(c.Request().Context(), key, 0, job)
	switch {
	case err == nil:
		h.replica.ApplyPut(key, job, revision)
		return respond(c, http.StatusCreated, wire.JobStatus{ID: id, State: wire.JobPending})
	case errors.Is(err, statestore.ErrConflict):
		return h.respondWithJobStatus(c, id)
	case errors.Is(err, statestore.ErrRejected):
		// The description exceeds a size limit that the state service has begun to enforce. No earlier attempt whose
		// response was lost can be executed any more, but one may have been executed before the limit applied.
		if responded, err := h.respondIfKnown(c, id); responded {
			return err
		}
		slog.Info("submission rejected by the state service", "job", id, "error", err)
		return respondError(c, http.StatusBadRequest, errDescriptionTooLong)
	}
	slog.Debug("submission not confirmed as stored, client told to retry", "job", id, "error", err)
	return respondUnavailable(c)
}

// respondWithJobStatus responds to a submission with the status of the existing job that has its ID.
func (h *jobHandlers) respondWithJobStatus(c echo.Context, id string) error {
	job, err := h.currentJob(c.Request().Context(), id)
	if err != nil {
		return respondUnavailable(c)
	}
	return respond(c, http.StatusOK, h.jobStatus(id, job.Job))
}
