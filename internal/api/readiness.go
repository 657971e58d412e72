package api

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/peer"
)

// Readiness is the part of a node that health checks query.
type Readiness interface {
	// IsReady reports whether the node can serve requests.
	IsReady() bool
	// Versions returns the protocol versions of all nodes, as far as this node knows them.
	Versions() peer.Versions
}

// readinessHandler serves health checks.
type readinessHandler struct{ node Readiness }

// get responds with status 200 if this node can serve requests and with 503 if it cannot. The body lists the
// protocol versions of the nodes.
func (h readinessHandler) get(c echo.Context) error {
	status := http.StatusOK
	if !h.node.IsReady() {
		status = http.StatusServiceUnavailable
	}
	return respond(c, status, h.node.Versions())
}
