package api

import (
	"context"
	"log/slog"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/labstack/echo/v4"

	"caperlatch/internal/micros"
)

// RequestTimes records how long requests take, by route, and logs it every minute.
type RequestTimes struct {
	mu     sync.Mutex
	routes map[string]*hdrhistogram.Histogram // of microseconds
}

// NewRequestTimes returns an empty record.
func NewRequestTimes() *RequestTimes {
	return &RequestTimes{routes: map[string]*hdrhistogram.Histogram{}}
}

const (
	// maxRecordedTime is the longest time told apart from longer ones.
	maxRecordedTime = 60 * micros.Second
	// significantDigits is the precision of the recorded times.
	significantDigits = 2
	// logInterval is the time between two log lines of a route.
	logInterval = 60 * micros.Second
)

// record adds the duration of a request to a route.
func (t *RequestTimes) record(route string, duration micros.Micros) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.routes[route]
	if h == nil {
		h = hdrhistogram.New(1, int64(maxRecordedTime), significantDigits)
		t.routes[route] = h
	}
	// A value in range cannot fail.
	_ = h.RecordValue(int64(min(max(duration, 1), maxRecordedTime)))
}

// middleware records every request.
func (t *RequestTimes) middleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		start := micros.Now()
		err := next(c)
		t.record(c.Request().Method+" "+c.Path(), micros.Now()-start)
		return err
	}
}

// Run logs the times of each minute until ctx ends.
func (t *RequestTimes) Run(ctx context.Context) { micros.Every(ctx, logInterval, t.log) }

// log logs the times since the last call and forgets them.
func (t *RequestTimes) log() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for route, h := range t.routes {
		if h.TotalCount() > 0 {
			slog.Info("request times", "route", route, "count", h.TotalCount(),
				"p50_us", h.ValueAtQuantile(50), "p99_us", h.ValueAtQuantile(99), "max_us", h.Max())
			h.Reset()
		}
	}
}
