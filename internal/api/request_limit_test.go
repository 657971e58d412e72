package api

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v4"
)

// TestLimitRequests starts more concurrent requests than the limit admits. Excess requests must be rejected
// immediately with a Retry-After header, not queued until the user's time-out.
func TestLimitRequests(t *testing.T) {
	e := echo.New()
	entered, release := make(chan struct{}), make(chan struct{})
	e.GET("/", func(c echo.Context) error {
		entered <- struct{}{}
		<-release
		return c.NoContent(http.StatusOK)
	}, limitRequests(newRequestLimiter()))
	defer close(release)
	for n := range 300 {
		responses := make(chan *httptest.ResponseRecorder, 1)
		go func() {
			rec := httptest.NewRecorder()
			e.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/", nil))
			responses <- rec
		}()
		select {
		case <-entered:
		case rec := <-responses: // all admitted requests are still in progress
			if rec.Code != http.StatusTooManyRequests || rec.Header().Get("Retry-After") != "1" {
				t.Errorf("request %d: got status %d, Retry-After %q, want status 429, Retry-After \"1\"", n, rec.Code, rec.Header().Get("Retry-After"))
			}
			if n < 16 {
				t.Errorf("request %d was rejected, want at least 16 admitted", n)
			}
			return
		}
	}
	t.Error("300 concurrent requests were admitted, want at least one rejected")
}
