// Package api answers users, workers and health checks.
//
// It owns the HTTP routes, the status codes, the limits on requests in progress and on
// connections, and the choice which node answers a worker. It keeps no state of jobs: it
// reads them from the replica, writes them through the state service's client, and has
// the leader make the answers to workers.
package api

import (
	"context"
	"net/http"
	"sync"

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

	mu                sync.Mutex
	redirected        map[string]micros.Micros // machines sent to another node, when
	redirectsPrunedAt micros.Micros            // when old ones were forgotten
}

// New makes the HTTP handler.
func New(h *Handler) http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = answerError
	e.Use(h.RequestTimes.middleware)
	intake, polls := newRequestLimiter(), newRequestLimiter()
	e.POST("/v1/jobs", h.submit, limitRequests(intake))
	e.GET("/v1/jobs/:id", h.poll, limitRequests(polls))
	e.POST("/v1/jobs/:id/abort", h.cancel, limitRequests(intake))
	// Users who ask very often must not keep the duty team from asking why.
	e.GET("/v1/jobs/:id/why", h.explain, limitRequests(newRequestLimiter()))
	e.GET("/ready", h.ready)
	e.GET("/standby", h.standby)
	e.POST("/standby/handover", h.handOver)
	e.GET("/zones", h.zones)
	e.GET("/members", h.members)
	e.POST("/hello", h.heartbeat)
	return e
}
