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

// answerError answers a request whose handler failed.
func answerError(err error, c echo.Context) {
	code := http.StatusInternalServerError
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		code = httpError.Code
	} else {
		slog.Error("request", "path", c.Path(), "error", err)
	}
	if c.Response().Committed {
		return
	}
	if err := c.NoContent(code); err != nil {
		slog.Debug("answer", "error", err)
	}
}

// respond answers with a value.
func respond(c echo.Context, code int, v any) error {
	b, err := wire.Marshal(v)
	if err != nil {
		return err
	}
	return c.Blob(code, wire.ContentType, b)
}

// respondUnavailable tells a user at once to come back.
func respondUnavailable(c echo.Context) error {
	return respondRetryLater(c, http.StatusServiceUnavailable)
}

// respondRetryLater tells a user when to come back.
func respondRetryLater(c echo.Context, code int) error {
	c.Response().Header().Set("Retry-After", strconv.Itoa(int(statestore.RetryAfter/micros.Second)))
	return respond(c, code, wire.ErrorResponse{Error: "come back later"})
}

// respondError answers with what is wrong.
func respondError(c echo.Context, code int, err error) error {
	return respond(c, code, wire.ErrorResponse{Error: err.Error()})
}
