package api

import (
	"context"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/leader"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// Times of redirecting: a worker that comes back so soon after it was redirected cannot stay
// where it was sent.
const (
	redirectMemory = 15 * micros.Second
	// stillHereWithin is how soon after its redirection a report does not show yet that
	// the worker came back.
	stillHereWithin = micros.Second
)

var errNoLeader = errors.New("no leader known")

// heartbeat answers a worker. The leader has the other nodes take the reports, which
// they pass on to it: one node that took all of a large fleet's reports would
// spend its processor on connections. The leader alone makes the answers, so
// whoever hands them over, they are bound by the leader's token and contact.
func (h *Handler) heartbeat(c echo.Context) error {
	body, err := wire.ReadBody(c.Request().Body)
	if err != nil {
		return respondError(c, http.StatusBadRequest, err)
	}
	h.Node.AwaitHandover(c.Request().Context())
	if l := h.Node.LocalLeader(); l != nil {
		return h.respondToHeartbeat(c, l, body)
	}
	return h.forwardHeartbeat(c, body)
}

// respondToHeartbeat answers a report at the node that leads.
func (h *Handler) respondToHeartbeat(c echo.Context, l *leader.Leader, body []byte) error {
	var report wire.Heartbeat
	if err := wire.Unmarshal(body, &report); err != nil {
		return respondError(c, http.StatusBadRequest, err)
	}
	if front := h.Node.ForwarderFor(report.MachineID); front != "" && !h.hasComeBack(report.MachineID) {
		return redirect(c, front)
	}
	answer, err := l.HandleHeartbeat(&report)
	if err != nil {
		return respondError(c, http.StatusServiceUnavailable, err)
	}
	return respond(c, http.StatusOK, answer)
}

// forwardHeartbeat passes a report on to the leader, or sends the worker there.
func (h *Handler) forwardHeartbeat(c echo.Context, body []byte) error {
	member := h.Node.LeaderMember()
	if member == "" || member == h.Settings.Member {
		return respondError(c, http.StatusServiceUnavailable, errNoLeader)
	}
	if !h.Node.CanForward() && !h.Node.ExpectsSuccessor() {
		// A worker that comes back cannot reach the leader either.
		var report wire.Heartbeat
		if err := wire.Unmarshal(body, &report); err != nil {
			return respondError(c, http.StatusBadRequest, err)
		}
		if !h.hasComeBack(report.MachineID) {
			return redirect(c, member)
		}
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), h.ForwardTimeout.Duration())
	defer cancel()
	answer, err := h.Node.ForwardHeartbeat(ctx, body)
	if err != nil {
		return respondError(c, http.StatusServiceUnavailable, err)
	}
	return c.Blob(http.StatusOK, wire.ContentType, answer)
}

// redirect sends a worker to another node.
func redirect(c echo.Context, member string) error {
	return respond(c, http.StatusMisdirectedRequest, wire.Redirect{Member: member})
}

// hasComeBack tells whether a worker was sent to another node a short while ago.
// One that is answered here then stays; now and then it is sent again.
func (h *Handler) hasComeBack(machine string) bool {
	now := micros.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.redirected == nil || now-h.redirectsSweptAt > redirectMemory {
		for id, at := range h.redirected {
			if now-at > redirectMemory {
				delete(h.redirected, id)
			}
		}
		h.redirectsSweptAt = now
	}
	if h.redirected == nil {
		h.redirected = map[string]micros.Micros{}
	}
	since, ok := h.redirected[machine]
	if !ok || now-since > redirectMemory {
		h.redirected[machine] = now
		return false
	}
	return now-since > stillHereWithin
}
