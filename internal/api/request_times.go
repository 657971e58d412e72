package api

import (
	"context"
	"log/slog"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/labstack/echo/v4"

	"caperlatch/internal/micros"
)

// RequestTimes records the latencies of requests by route, and logs a summary every minute.
type RequestTimes struct {
	mu     sync.Mutex
	routes map[string]*hdrhistogram.Histogram // by route; values in microseconds
}

// NewRequestTimes returns a RequestTimes without any recorded latencies.
func NewRequestTimes() *RequestTimes {
	return &RequestTimes{routes: map[string]*hdrhistogram.Histogram{}}
}

const (
	// maxRecordedTime is the largest latency that is recorded; longer ones are recorded as this value.
	maxRecordedTime = 60 * micros.Second
	// significantDigits is the number of significant decimal digits of recorded latencies.
	significantDigits = 2
	// logInterval is the time between two log messages for a route.
	logInterval = 60 * micros.Second
)

// record adds the latency of a request to its route's histogram.
func (t *RequestTimes) record(route string, duration micros.Micros) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.routes[route]
	if h == nil {
		h = hdrhistogram.New(1, int64(maxRecordedTime), significantDigits)
		t.routes[route] = h
	}
	// RecordValue fails only for values out of range.
	_ = h.RecordValue(int64(min(max(duration, 1), maxRecordedTime)))
}

// middleware records the latency of every request.
func (t *RequestTimes) middleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		start := micros.Now()
		err := next(c)
		t.record(c.Request().Method+" "+c.Path(), micros.Now()-start)
		return err
	}
}

// Run logs the latencies of each minute until ctx is done.
func (t *RequestTimes) Run(ctx context.Context) { micros.Every(ctx, logInterval, t.log) }

// log logs the latencies that were recorded since the last call, and resets the histograms.
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
