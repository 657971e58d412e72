package api

import (
	"errors"
	"log/slog"
	"net/http"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/wire"
)

// poll responds with a job's status.
func (h *jobHandlers) poll(c echo.Context) error {
	id := c.Param("id")
	if !wire.IsValidJobID(id) {
		return respondError(c, http.StatusNotFound, errNoSuchJob)
	}
	job, err := h.currentJob(c.Request().Context(), id)
	switch {
	case errors.Is(err, errNoSuchJob):
		return respondError(c, http.StatusNotFound, errNoSuchJob)
	case err != nil:
		slog.Debug("poll failed, client told to retry", "job", id, "error", err)
		return respondUnavailable(c)
	}
	return respond(c, http.StatusOK, h.jobStatus(id, job.Job))
}
