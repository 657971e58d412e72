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

// rejectionError says that a submission can never be accepted as it is.
type rejectionError struct {
	status int // HTTP status
	reason error
}

// Error is what the user is told.
func (r *rejectionError) Error() string { return r.reason.Error() }

// Unwrap is the reason.
func (r *rejectionError) Unwrap() error { return r.reason }

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
