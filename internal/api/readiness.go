package api

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// ready tells whether this node can take requests, and which versions serve.
func (h *Handler) ready(c echo.Context) error {
	code := http.StatusOK
	if !h.Node.IsReady() {
		code = http.StatusServiceUnavailable
	}
	return respond(c, code, h.Node.Versions())
}
