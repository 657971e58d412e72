package api

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/peer"
)

// Readiness is the part of a node that health checks need.
type Readiness interface {
	// IsReady reports whether the node can take requests.
	IsReady() bool
	// Versions returns the versions that the nodes speak, as far as this one knows.
	Versions() peer.Versions
}

// readinessHandler answers health checks.
type readinessHandler struct{ node Readiness }

// get answers whether this node can take requests, by the status, and which versions serve.
func (h readinessHandler) get(c echo.Context) error {
	status := http.StatusOK
	if !h.node.IsReady() {
		status = http.StatusServiceUnavailable
	}
	return respond(c, status, h.node.Versions())
}
