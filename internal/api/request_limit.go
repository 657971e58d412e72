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

// newRequestLimiter makes a limit on requests in progress that adjusts itself to the
// times they take.
func newRequestLimiter() adaptivelimiter.AdaptiveLimiter[any] {
	return adaptivelimiter.NewBuilder[any]().WithLimits(minRequestLimit, maxRequestLimit, initialRequestLimit).Build()
}

// limitRequests sheds users' requests over the limit; workers' reports and health
// checks do not pass here.
func limitRequests(l adaptivelimiter.AdaptiveLimiter[any]) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			permit, ok := l.TryAcquirePermit()
			if !ok {
				return respondRetryLater(c, http.StatusTooManyRequests)
			}
			err := next(c)
			// What is refused says nothing of how long work takes.
			if c.Response().Status >= http.StatusInternalServerError {
				permit.Drop()
			} else {
				permit.Record()
			}
			return err
		}
	}
}
