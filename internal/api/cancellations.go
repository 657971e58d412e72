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

// cancel cancels a job unless it has ended, and answers how it ended.
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
		// A job's key changes once after its creation, when the job ends: a read shows how.
		if job, err = h.currentJob(ctx, id); err == nil && job.IsFinal() {
			return respond(c, http.StatusOK, wire.JobStatus{ID: id, State: job.State})
		}
	}
	slog.Debug("cancellation not stored", "job", id, "error", err)
	return respondUnavailable(c)
}

// storeCancellation writes that a job is cancelled, on the condition that it has not changed.
// It leaves the description out if that does not fit: a cancellation must always be possible.
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
		// The service accepts less than the settings say.
		cancelled.Spec = nil
		revision, err = h.putWithRetry(ctx, key, job.modRevision, cancelled)
	}
	if err == nil {
		h.replica.ApplyPut(key, cancelled, revision)
	}
	return err
}
