package api

import (
	"net/http"

	"github.com/failsafe-go/failsafe-go/adaptivelimiter"
	"github.com/labstack/echo/v4"
)

// Bounds and initial value of the adaptive limit on concurrent requests. The initial value is above the usual bursts
// of user requests, and the lower bound ensures that some requests are always admitted.
const (
	minRequestLimit     = 16
	maxRequestLimit     = 256
	initialRequestLimit = 64
)

// newRequestLimiter returns a limiter of concurrent requests that adapts its limit to their latencies.
func newRequestLimiter() adaptivelimiter.AdaptiveLimiter[any] {
	return adaptivelimiter.NewBuilder[any]().WithLimits(minRequestLimit, maxRequestLimit, initialRequestLimit).Build()
}

// limitRequests returns middleware that rejects requests beyond the limiter's current limit with status 429. It is
// used for requests about jobs, not for heartbeats, health checks or other requests of operators.
func limitRequests(limiter adaptivelimiter.AdaptiveLimiter[any]) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			permit, ok := limiter.TryAcquirePermit()
			if !ok {
				return respondRetryLater(c, http.StatusTooManyRequests)
			}
			err := next(c)
			// The latency of a request that could not be served is not representative, so the limiter ignores it.
			if c.Response().Status >= http.StatusInternalServerError {
				permit.Drop()
			} else {
				permit.Record()
			}
			return err
		}
	}
}
