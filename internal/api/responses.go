package api

import (
	"errors"
	"log/slog"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/micros"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// handleError responds to a request whose handler returned an error.
func handleError(err error, c echo.Context) {
	status := http.StatusInternalServerError
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		status = httpError.Code
	} else {
		slog.Error("request handler failed", "path", c.Path(), "error", err)
	}
	if c.Response().Committed {
		return
	}
	if err := c.NoContent(status); err != nil {
		slog.Debug("error response not sent", "path", c.Path(), "error", err)
	}
}

// respond sends a response with an encoded value as its body.
func respond(c echo.Context, status int, value any) error {
	b, err := wire.Marshal(value)
	if err != nil {
		return err
	}
	return c.Blob(status, wire.ContentType, b)
}

// respondUnavailable tells a user immediately that the request cannot be served now and when to retry it.
func respondUnavailable(c echo.Context) error {
	return respondRetryLater(c, http.StatusServiceUnavailable)
}

// respondRetryLater responds with a status and tells the user when to retry the request.
func respondRetryLater(c echo.Context, status int) error {
	c.Response().Header().Set("Retry-After", strconv.Itoa(int(statestore.RetryAfter/micros.Second)))
	return respond(c, status, wire.ErrorResponse{Message: "come back later"})
}

// respondError responds with the text of an error.
func respondError(c echo.Context, status int, err error) error {
	return respond(c, status, wire.ErrorResponse{Message: err.Error()})
}
