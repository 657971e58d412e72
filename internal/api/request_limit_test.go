package api

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v4"
)

// TestLimitRequests has more requests in progress than the limit admits: what is over it is
// answered at once when to retry, and never queued until the user gives up.
func TestLimitRequests(t *testing.T) {
	e := echo.New()
	entered, leave := make(chan struct{}), make(chan struct{})
	e.GET("/", func(c echo.Context) error {
		entered <- struct{}{}
		<-leave
		return c.NoContent(http.StatusOK)
	}, limitRequests(newRequestLimiter()))
	defer close(leave)
	for n := range 300 {
		answered := make(chan *httptest.ResponseRecorder, 1)
		go func() {
			rec := httptest.NewRecorder()
			e.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/", nil))
			answered <- rec
		}()
		select {
		case <-entered:
		case rec := <-answered: // while all that were admitted are still in progress
			if rec.Code != http.StatusTooManyRequests || rec.Header().Get("Retry-After") != "1" {
				t.Errorf("request %d answered %d, Retry-After %q", n, rec.Code, rec.Header().Get("Retry-After"))
			}
			if n < 16 {
				t.Errorf("request %d was shed already", n)
			}
			return
		}
	}
	t.Error("300 requests at once were admitted")
}
