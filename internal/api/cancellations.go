package api

import (
	"context"
	"errors"
	"log/slog"
	"net/http"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// cancel cancels a job unless it has already ended, and responds with the job's final state.
func (h *jobHandlers) cancel(c echo.Context) error {
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
		return respond(c, http.StatusOK, wire.JobStatus{ID: id, State: job.State})
	}
	err = h.storeCancellation(ctx, id, job)
	switch {
	case err == nil:
		return respond(c, http.StatusOK, wire.JobStatus{ID: id, State: wire.JobCancelled})
	case errors.Is(err, statestore.ErrConflict):
		// A job's key changes only once after its creation, when the job ends. Reading it again shows how it ended.
		if job, err = h.currentJob(ctx, id); err == nil && job.IsFinal() {
			return respond(c, http.StatusOK, wire.JobStatus{ID: id, State: job.State})
		}
	}
	slog.Debug("cancellation not confirmed as stored, client told to retry", "job", id, "error", err)
	return respondUnavailable(c)
}

// storeCancellation stores a job as cancelled, provided that its key has not changed. It omits the job
// description if the value would be too large otherwise, since cancelling a job must always be possible.
func (h *jobHandlers) storeCancellation(ctx context.Context, id string, job storedJob) error {
	cancelled := replica.Job{
		Spec:        job.Spec,
		SubmittedAt: job.SubmittedAt,
		State:       wire.JobCancelled,
		Reason:      "cancelled by its user",
		EndedAt:     micros.WallTime(),
	}
	if !h.store.ValueAlwaysFits(cancelled) {
		cancelled.Spec = nil
	}
	key := replica.JobPrefix + id
	revision, err := h.putWithRetry(ctx, key, job.modRevision, cancelled)
	if errors.Is(err, statestore.ErrRejected) && cancelled.Spec != nil {
		// The state service's actual size limit is lower than the configured one.
		cancelled.Spec = nil
		revision, err = h.putWithRetry(ctx, key, job.modRevision, cancelled)
	}
	if err == nil {
		h.replica.ApplyPut(key, cancelled, revision)
	}
	return err
}
