package api

import (
	"net/http"

	"github.com/failsafe-go/failsafe-go/adaptivelimiter"
	"github.com/labstack/echo/v4"
)

// Bounds of the limit on requests in progress. It starts above what bursts of users bring
// and never closes altogether.
const (
	minRequestLimit     = 16
	maxRequestLimit     = 256
	initialRequestLimit = 64
)

// newRequestLimiter returns a limit on requests in progress that adapts to the times that
// they take.
func newRequestLimiter() adaptivelimiter.AdaptiveLimiter[any] {
	return adaptivelimiter.NewBuilder[any]().WithLimits(minRequestLimit, maxRequestLimit, initialRequestLimit).Build()
}

// limitRequests sheds users' requests over the limit. Heartbeats and health checks
// are not limited.
func limitRequests(limiter adaptivelimiter.AdaptiveLimiter[any]) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			permit, ok := limiter.TryAcquirePermit()
			if !ok {
				return respondRetryLater(c, http.StatusTooManyRequests)
			}
			err := next(c)
			// The time of a request that could not be served says nothing of how long work takes.
			if c.Response().Status >= http.StatusInternalServerError {
				permit.Drop()
			} else {
				permit.Record()
			}
			return err
		}
	}
}
