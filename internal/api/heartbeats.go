package api

import (
	"context"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/leader"
	"caperlatch/internal/wire"
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
	var heartbeat wire.Heartbeat
	if err := wire.Unmarshal(body, &heartbeat); err != nil {
		return respondError(c, http.StatusBadRequest, err)
	}
	if forwarder := h.Node.ForwarderFor(heartbeat.MachineID); forwarder != "" && !h.hasReturned(heartbeat.MachineID) {
		return redirect(c, forwarder)
	}
	response, err := l.HandleHeartbeat(&heartbeat)
	if err != nil {
		return respondError(c, http.StatusServiceUnavailable, err)
	}
	return respond(c, http.StatusOK, response)
}

// forwardHeartbeat passes a report on to the leader, or sends the worker there.
func (h *Handler) forwardHeartbeat(c echo.Context, body []byte) error {
	member := h.Node.LeaderMember()
	if member == "" || member == h.Settings.Member {
		return respondError(c, http.StatusServiceUnavailable, errNoLeader)
	}
	if !h.Node.CanForward() && !h.Node.ExpectsSuccessor() {
		// A worker that comes back cannot reach the leader either.
		var heartbeat wire.Heartbeat
		if err := wire.Unmarshal(body, &heartbeat); err != nil {
			return respondError(c, http.StatusBadRequest, err)
		}
		if !h.hasReturned(heartbeat.MachineID) {
			return redirect(c, member)
		}
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), h.ForwardTimeout.Duration())
	defer cancel()
	response, err := h.Node.ForwardHeartbeat(ctx, body)
	if err != nil {
		return respondError(c, http.StatusServiceUnavailable, err)
	}
	return c.Blob(http.StatusOK, wire.ContentType, response)
}
