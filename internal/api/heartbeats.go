package api

import (
	"context"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// errNoLeader means that no other node is known to lead.
var errNoLeader = errors.New("no leader known")

// Leader answers heartbeats at the node that leads.
type Leader interface {
	// HandleHeartbeat takes a heartbeat and returns the response for its worker. It fails
	// while the leader must not answer.
	HandleHeartbeat(heartbeat *wire.Heartbeat) (wire.HeartbeatResponse, error)
}

// HeartbeatRouter is the part of a node that finds out who answers a heartbeat.
type HeartbeatRouter interface {
	// LocalLeader returns this node's leader if it leads, else nil.
	LocalLeader() Leader
	// LeaderMember returns the member that leads as far as this node knows; empty: none known.
	LeaderMember() string
	// ForwarderFor returns the member that is to take a machine's heartbeats for this node,
	// which leads; empty: this node itself.
	ForwarderFor(machine string) string
	// CanForward reports whether heartbeats can be forwarded to the leader.
	CanForward() bool
	// ForwardHeartbeat has the leader answer an encoded heartbeat and returns its encoded response.
	ForwardHeartbeat(ctx context.Context, heartbeat wire.RawMessage) (wire.RawMessage, error)
	// AwaitHandover waits while leadership is being handed over, for a short and bounded time.
	AwaitHandover(ctx context.Context)
	// ExpectsSuccessor reports whether a leader that does not answer now should have a
	// successor soon, so that heartbeats are kept for that one.
	ExpectsSuccessor() bool
}

// heartbeatHandler answers workers. The leader has the other nodes take the heartbeats and
// forward them: one node that took all of a large fleet's heartbeats would spend its
// processor on connections. The leader alone makes the responses, so whichever node delivers
// them, they are bound by the leader's fencing token and its contact with the state service.
type heartbeatHandler struct {
	router         HeartbeatRouter
	member         string // this node
	forwardTimeout micros.Micros
	redirects      redirects
}

// newHeartbeatHandler returns a handler without redirects.
func newHeartbeatHandler(config Config) *heartbeatHandler {
	return &heartbeatHandler{router: config.Node, member: config.Settings.Member, forwardTimeout: config.ForwardTimeout}
}

// post answers a heartbeat, here or by the leader.
func (h *heartbeatHandler) post(c echo.Context) error {
	body, err := wire.ReadBody(c.Request().Body)
	if err != nil {
		return respondError(c, http.StatusBadRequest, err)
	}
	h.router.AwaitHandover(c.Request().Context())
	if leader := h.router.LocalLeader(); leader != nil {
		return h.respondAsLeader(c, leader, body)
	}
	return h.forward(c, body)
}

// respondAsLeader answers a heartbeat at the node that leads, or sends the worker to its
// forwarder.
func (h *heartbeatHandler) respondAsLeader(c echo.Context, leader Leader, body []byte) error {
	var heartbeat wire.Heartbeat
	if err := wire.Unmarshal(body, &heartbeat); err != nil {
		return respondError(c, http.StatusBadRequest, err)
	}
	if forwarder := h.router.ForwarderFor(heartbeat.MachineID); forwarder != "" && !h.redirects.noteOrReturned(heartbeat.MachineID) {
		return respondRedirect(c, forwarder)
	}
	response, err := leader.HandleHeartbeat(&heartbeat)
	if err != nil {
		return respondError(c, http.StatusServiceUnavailable, err)
	}
	return respond(c, http.StatusOK, response)
}

// forward has the leader answer a heartbeat, or sends the worker to it.
func (h *heartbeatHandler) forward(c echo.Context, body []byte) error {
	member := h.router.LeaderMember()
	if member == "" || member == h.member {
		return respondError(c, http.StatusServiceUnavailable, errNoLeader)
	}
	if !h.router.CanForward() && !h.router.ExpectsSuccessor() {
		var heartbeat wire.Heartbeat
		if err := wire.Unmarshal(body, &heartbeat); err != nil {
			return respondError(c, http.StatusBadRequest, err)
		}
		// A worker that is back cannot reach the leader either: forwarding is tried all the same.
		if !h.redirects.noteOrReturned(heartbeat.MachineID) {
			return respondRedirect(c, member)
		}
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), h.forwardTimeout.Duration())
	defer cancel()
	response, err := h.router.ForwardHeartbeat(ctx, body)
	if err != nil {
		return respondError(c, http.StatusServiceUnavailable, err)
	}
	return c.Blob(http.StatusOK, wire.ContentType, response)
}
