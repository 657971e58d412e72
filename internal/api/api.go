// Package api answers users, workers and health checks.
//
// It owns the HTTP routes, the status codes, the limits on requests in progress and on
// connections, and the choice which node answers a worker. It keeps no state of jobs: it
// reads them from the replica, writes them through the state service's client, and has
// the leader make the answers to workers.
package api

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"sync"

	"github.com/failsafe-go/failsafe-go/adaptivelimiter"
	"github.com/labstack/echo/v4"

	"caperlatch/internal/explain"
	"caperlatch/internal/leader"
	"caperlatch/internal/membership"
	"caperlatch/internal/micros"
	"caperlatch/internal/peer"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// Node is what the handlers ask of the node they run on.
type Node interface {
	// LocalLeader is this node's leader if it leads, else nil.
	LocalLeader() *leader.Leader
	// LeaderMember names the leader as known here, if any.
	LeaderMember() string
	// IsReady tells whether the node can take requests.
	IsReady() bool
	// Versions tells which versions serve, as far as it is known here.
	Versions() peer.Versions
	// TaskCounts shows how far a job is, as well as it is known here.
	TaskCounts(id string) (done, running int)
	// CanForward tells whether reports can be passed on to the leader.
	CanForward() bool
	// ForwardHeartbeat asks the leader for its answer to a report.
	ForwardHeartbeat(ctx context.Context, report wire.Raw) (wire.Raw, error)
	// ForwarderFor names the node that takes a machine's reports for the leader.
	ForwarderFor(machine string) string
	// Explain asks the leader about a job.
	Explain(ctx context.Context, id string) (explain.Explanation, error)
	// AwaitHandover waits, for a moment at most, while leadership is being handed over.
	AwaitHandover(ctx context.Context)
	// ExpectsSuccessor tells whether a leader that does not answer now should have a successor
	// soon, so that reports are kept for it.
	ExpectsSuccessor() bool
	// StandbyStatus tells how far the warm standby is.
	StandbyStatus() (StandbyStatus, error)
	// ZoneStatus tells what the leader thinks of the zones.
	ZoneStatus(ctx context.Context) ([]zone.Status, error)
	// MembershipStatus tells what this node thinks of the others.
	MembershipStatus() (membership.Status, error)
	// HandOver hands leadership over, and tells to whom.
	HandOver() (to string, err error)
}

// Handler holds what the handlers work with.
type Handler struct {
	Node           Node
	Settings       *settings.Settings
	Store          *statestore.Client
	Batcher        *statestore.Batcher
	Replica        *replica.Replica
	RequestTimes   *RequestTimes
	ForwardTimeout micros.Micros // how long a report that is passed on is kept for its answer

	mu               sync.Mutex
	redirected       map[string]micros.Micros // machines sent to another node, when
	redirectsSweptAt micros.Micros            // when old ones were forgotten
}

// New makes the HTTP handler.
func New(h *Handler) http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = answerError
	e.Use(h.RequestTimes.middleware)
	intake, polls := newLimiter(), newLimiter()
	e.POST("/v1/jobs", h.submit, limited(intake))
	e.GET("/v1/jobs/:id", h.poll, limited(polls))
	e.POST("/v1/jobs/:id/abort", h.abort, limited(intake))
	// Users who ask very often must not keep the duty team from asking why.
	e.GET("/v1/jobs/:id/why", h.explain, limited(newLimiter()))
	e.GET("/ready", h.ready)
	e.GET("/standby", h.standby)
	e.POST("/standby/handover", h.handOver)
	e.GET("/zones", h.zones)
	e.GET("/members", h.members)
	e.POST("/hello", h.heartbeat)
	return e
}

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

// Bounds of the limit on requests in progress. It starts above what bursts of users bring
// and never closes altogether.
const (
	minRequestLimit   = 16
	maxRequestLimit   = 256
	firstRequestLimit = 64
)

// newLimiter makes a limit on requests in progress that adjusts itself to the
// times they take.
func newLimiter() adaptivelimiter.AdaptiveLimiter[any] {
	return adaptivelimiter.NewBuilder[any]().WithLimits(minRequestLimit, maxRequestLimit, firstRequestLimit).Build()
}

// limited sheds users' requests over the limit; workers' reports and health
// checks do not pass here.
func limited(l adaptivelimiter.AdaptiveLimiter[any]) echo.MiddlewareFunc {
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

// ready tells whether this node can take requests, and which versions serve.
func (h *Handler) ready(c echo.Context) error {
	code := http.StatusOK
	if !h.Node.IsReady() {
		code = http.StatusServiceUnavailable
	}
	return respond(c, code, h.Node.Versions())
}
