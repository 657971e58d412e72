package api

import (
	"context"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// errNoLeader means that this node knows no other node that leads.
var errNoLeader = errors.New("no leader known")

// Leader handles heartbeats on the node that leads.
type Leader interface {
	// HandleHeartbeat processes a heartbeat and returns the response to its worker. It returns an error while the
	// leader must not respond.
	HandleHeartbeat(heartbeat *wire.Heartbeat) (wire.HeartbeatResponse, error)
}

// HeartbeatRouter is the part of a node that determines where a heartbeat is handled.
type HeartbeatRouter interface {
	// LocalLeader returns this node's leader, or nil if this node does not lead.
	LocalLeader() Leader
	// LeaderMember returns the name of the member that leads according to this node, or "" if it knows none.
	LeaderMember() string
	// ForwarderFor returns the member that must receive a machine's heartbeats and forward them to this node, which
	// leads. It returns "" if this node must receive them itself.
	ForwarderFor(machine string) string
	// CanForward reports whether the leader is reachable from this node, so that heartbeats can be forwarded to it.
	CanForward() bool
	// ForwardHeartbeat sends an encoded heartbeat to the leader and returns the encoded response.
	ForwardHeartbeat(ctx context.Context, heartbeat wire.RawMessage) (wire.RawMessage, error)
	// AwaitHandover blocks while leadership is being handed over, for a short and bounded time.
	AwaitHandover(ctx context.Context)
	// ExpectsSuccessor reports whether, if the leader does not respond, another node is expected to lead soon.
	// ForwardHeartbeat then waits for that node.
	ExpectsSuccessor() bool
}

// heartbeatHandler serves heartbeats from workers.
//
// Workers send their heartbeats to different nodes, which forward them to the leader, because a single node that
// received all heartbeats of a large fleet would spend its CPU time on connections. Only the leader produces
// responses. Whichever node delivers a response, it therefore carries the leader's fencing token, and the leader
// produces it only while its contact with the state service allows it to respond.
type heartbeatHandler struct {
	router         HeartbeatRouter
	member         string // name of this node
	forwardTimeout micros.Micros
	redirects      redirectTracker
}

// newHeartbeatHandler returns a handler that has redirected no worker yet.
func newHeartbeatHandler(config Config) *heartbeatHandler {
	return &heartbeatHandler{router: config.Node, member: config.Settings.Member, forwardTimeout: config.ForwardTimeout}
}

// post responds to a heartbeat, which either this node's leader or the leader on another node handles.
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

// respondAsLeader handles a heartbeat on the node that leads, or redirects the worker to its forwarder.
func (h *heartbeatHandler) respondAsLeader(c echo.Context, leader Leader, body []byte) error {
	heartbeat, err := wire.ParseHeartbeat(body)
	if err != nil {
		return respondError(c, http.StatusBadRequest, err)
	}
	if forwarder := h.router.ForwarderFor(heartbeat.MachineID); forwarder != "" && !h.redirects.recordUnlessReturned(heartbeat.MachineID) {
		return respondRedirect(c, forwarder)
	}
	response, err := leader.HandleHeartbeat(heartbeat)
	if err != nil {
		return respondError(c, http.StatusServiceUnavailable, err)
	}
	return respond(c, http.StatusOK, response)
}

// forward forwards a heartbeat to the leader, or redirects the worker to the leader if that is unreachable from here.
func (h *heartbeatHandler) forward(c echo.Context, body []byte) error {
	member := h.router.LeaderMember()
	if member == "" || member == h.member {
		return respondError(c, http.StatusServiceUnavailable, errNoLeader)
	}
	if !h.router.CanForward() && !h.router.ExpectsSuccessor() {
		heartbeat, err := wire.ParseHeartbeat(body)
		if err != nil {
			return respondError(c, http.StatusBadRequest, err)
		}
		// A worker that has returned could not reach the leader either, so forwarding is tried nevertheless.
		if !h.redirects.recordUnlessReturned(heartbeat.MachineID) {
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
