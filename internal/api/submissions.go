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

// Reasons why a submission is not accepted.
var (
	errNoJobID              = errors.New("no map with a good id")
	errDescriptionTooLong   = errors.New("the description is too long")
	errInstanceTypesUnknown = errors.New("the catalog is not known yet") // it may be accepted later
)

// rejectionError means that a submission can never be accepted as it is.
type rejectionError struct {
	status int // of HTTP
	reason error
}

// Error returns the text that the user gets.
func (e *rejectionError) Error() string { return e.reason.Error() }

// Unwrap returns the reason.
func (e *rejectionError) Unwrap() error { return e.reason }

// submit stores a new job. A job that is known is answered with its status, whatever else its
// repeated submission says.
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

// checkSubmission returns the job to be stored. The error is a *rejectionError,
// errInstanceTypesUnknown or a failure of this node.
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

// reject answers a submission that cannot be accepted, unless its ID is known.
func (h *jobHandlers) reject(c echo.Context, id string, rejection *rejectionError) error {
	if answered, err := h.respondIfKnown(c, id); answered {
		return err
	}
	slog.Debug("submission rejected", "job", id, "status", rejection.status, "error", rejection.reason)
	return respondError(c, rejection.status, rejection.reason)
}

// respondIfKnown answers a submission whose ID was accepted at another node: such a job keeps
// its status, whatever the repeated submission says. It answers as well, that the service is
// unavailable, if this cannot be found out now.
func (h *jobHandlers) respondIfKnown(c echo.Context, id string) (answered bool, err error) {
	_, err = h.currentJob(c.Request().Context(), id)
	switch {
	case errors.Is(err, errNoSuchJob):
		return false, nil
	case err != nil:
		return true, respondUnavailable(c)
	}
	return true, h.respondWithJobStatus(c, id)
}

// storeSubmission writes a checked job and answers with the outcome.
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
		// The description is over a limit that has come into force. From then on no earlier
		// attempt to store it that got no answer is carried out either, but one may have been
		// before.
		if answered, err := h.respondIfKnown(c, id); answered {
			return err
		}
		slog.Info("submission rejected by the state service", "job", id, "error", err)
		return respondError(c, http.StatusBadRequest, errDescriptionTooLong)
	}
	slog.Debug("submission not stored", "job", id, "error", err)
	return respondUnavailable(c)
}

// respondWithJobStatus answers a submission of a job that was accepted before.
func (h *jobHandlers) respondWithJobStatus(c echo.Context, id string) error {
	job, err := h.currentJob(c.Request().Context(), id)
	if err != nil {
		return respondUnavailable(c)
	}
	return respond(c, http.StatusOK, h.jobStatus(id, job.Job))
}
