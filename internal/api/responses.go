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

// respondToFailure answers a request whose handler returned an error.
func respondToFailure(err error, c echo.Context) {
	status := http.StatusInternalServerError
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		status = httpError.Code
	} else {
		slog.Error("request failed", "path", c.Path(), "error", err)
	}
	if c.Response().Committed {
		return
	}
	if err := c.NoContent(status); err != nil {
		slog.Debug("response not sent", "path", c.Path(), "error", err)
	}
}

// respond answers with an encoded value.
func respond(c echo.Context, status int, value any) error {
	b, err := wire.Marshal(value)
	if err != nil {
		return err
	}
	return c.Blob(status, wire.ContentType, b)
}

// respondUnavailable answers a user at once that the request cannot be served now.
func respondUnavailable(c echo.Context) error {
	return respondRetryLater(c, http.StatusServiceUnavailable)
}

// respondRetryLater answers a user when to try again.
func respondRetryLater(c echo.Context, status int) error {
	c.Response().Header().Set("Retry-After", strconv.Itoa(int(statestore.RetryAfter/micros.Second)))
	return respond(c, status, wire.ErrorResponse{Message: "come back later"})
}

// respondError answers with the text of an error.
func respondError(c echo.Context, status int, err error) error {
	return respond(c, status, wire.ErrorResponse{Message: err.Error()})
}
