// Package api serves the HTTP API for users, workers and operators.
//
// It owns the routes, the status codes and texts of responses, the limits on concurrent requests and on
// connections, and the rules by which a heartbeat is handled locally, forwarded or redirected.
//
// The package stores no jobs itself: it reads them from the replica, writes them through the state service
// client, and passes heartbeats to the leader. Three rules hold:
//   - Only the leader produces a response to a heartbeat; other nodes forward it or redirect the worker.
//   - A user is not told of a change before the state service has stored it.
//   - The package does not depend on how a leader makes decisions, so it imports no package of the leader.
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

// Node is the node that the API serves. Each embedded interface is declared next to the handlers that use it.
type Node interface {
	Readiness
	JobProgress
	Explainer
	HeartbeatRouter
	Standby
	ZoneObserver
	MembershipObserver
}

// Config holds the dependencies of the handlers. The node owns all of them and outlives the handlers.
type Config struct {
	Node         Node
	Settings     *settings.Settings
	Store        *statestore.Client
	Batcher      *statestore.Batcher // groups several writes to the state service into one transaction
	Replica      *replica.Replica
	RequestTimes *RequestTimes // records all requests; the caller runs its periodic logging
	// ForwardTimeout is the maximum time to wait for the leader's response to a forwarded heartbeat.
	ForwardTimeout micros.Micros
}

// New returns an HTTP handler that serves all routes.
func New(config Config) http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = handleError
	e.Use(config.RequestTimes.middleware)

	submissions, polls := newRequestLimiter(), newRequestLimiter()
	jobs := newJobHandlers(config)
	e.POST("/v1/jobs", jobs.submit, limitRequests(submissions))
	e.GET("/v1/jobs/:id", jobs.poll, limitRequests(polls))
	e.POST("/v1/jobs/:id/abort", jobs.cancel, limitRequests(submissions))

	// Explanations have their own limiter, so that heavy polling by users cannot lock out operators.
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
