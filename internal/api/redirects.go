package api

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// Times of redirecting: a worker that comes back so soon after it was redirected cannot stay
// where it was sent.
const (
	redirectTTL = 15 * micros.Second
	// redirectGracePeriod is how soon after its redirection a report does not show yet that
	// the worker came back.
	redirectGracePeriod = micros.Second
)

// redirect sends a worker to another node.
func redirect(c echo.Context, member string) error {
	return respond(c, http.StatusMisdirectedRequest, wire.Redirect{Member: member})
}

// hasReturned tells whether a worker was sent to another node a short while ago.
// One that is answered here then stays; now and then it is sent again.
func (h *Handler) hasReturned(machine string) bool {
	now := micros.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.redirected == nil || now-h.redirectsPrunedAt > redirectTTL {
		for id, at := range h.redirected {
			if now-at > redirectTTL {
				delete(h.redirected, id)
			}
		}
		h.redirectsPrunedAt = now
	}
	if h.redirected == nil {
		h.redirected = map[string]micros.Micros{}
	}
	redirectedAt, ok := h.redirected[machine]
	if !ok || now-redirectedAt > redirectTTL {
		h.redirected[machine] = now
		return false
	}
	return now-redirectedAt > redirectGracePeriod
}
