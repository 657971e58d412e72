// Package api answers users, workers and operators over HTTP.
//
// It owns the routes, the status codes and texts of answers, the limits on requests in
// progress and on connections, and the choice of the node that takes a worker's heartbeats.
// It keeps no state of jobs: it reads them from the replica, writes them through the client
// of the state service, and has the leader answer heartbeats. It must never answer a worker
// on its own, nor answer a user before what the answer says is stored; and it must not know
// how a leader decides, so it imports no package of the leader.
package api

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// Node is the node that the API serves. Each part is declared beside the handlers that
// need it.
type Node interface {
	Readiness
	JobProgress
	Explainer
	HeartbeatRouter
	Standby
	ZoneObserver
	MembershipObserver
}

// Config is what the handlers work with. All of it belongs to the node, which outlives them.
type Config struct {
	Node         Node
	Settings     *settings.Settings
	Store        *statestore.Client
	Batcher      *statestore.Batcher // writes to the state service, several in a transaction
	Replica      *replica.Replica
	RequestTimes *RequestTimes // New adds all requests to it; the caller has it log them
	// ForwardTimeout is how long a forwarded heartbeat waits for the leader's response.
	ForwardTimeout micros.Micros
}

// New returns the handler of all routes.
func New(config Config) http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = respondToFailure
	e.Use(config.RequestTimes.middleware)

	submissions, polls := newRequestLimiter(), newRequestLimiter()
	jobs := newJobHandlers(config)
	e.POST("/v1/jobs", jobs.submit, limitRequests(submissions))
	e.GET("/v1/jobs/:id", jobs.poll, limitRequests(polls))
	e.POST("/v1/jobs/:id/abort", jobs.cancel, limitRequests(submissions))

	// Users who ask very often must not keep the engineer on call from asking why.
	explanations := newExplainHandler(config)
	e.GET("/v1/jobs/:id/why", explanations.explain, limitRequests(newRequestLimiter()))

	e.GET("/ready", readinessHandler{config.Node}.get)
	standby := standbyHandlers{config.Node}
	e.GET("/standby", standby.get)
	e.POST("/standby/handover", standby.handOver)
	e.GET("/zones", zonesHandler{config.Node}.get)
	e.GET("/members", membershipHandler{config.Node}.get)

	e.POST(wire.PathHeartbeats, newHeartbeatHandler(config).post)
	return e
}
