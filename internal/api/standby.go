package api

import (
	"errors"
	"net"
	"net/http"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/standby"
)

// ErrStandbyOff says that a node runs without the warm standby.
var ErrStandbyOff = errors.New("the warm standby is off")

// errNotLocal says that a request must come from the node's own machine.
var errNotLocal = errors.New("only asked on the node's own machine")

// StandbyStatus is what a node tells the duty team of the warm standby.
type StandbyStatus struct {
	Member       string `json:"member"`
	Leader       string `json:"leader"`
	FencingToken uint64 `json:"token"`
	Phase        string `json:"phase"`
	Leading      bool   `json:"leading"`
	// Of a leader.
	Position  uint64                  `json:"position,omitempty"`
	Followers []standby.FollowerState `json:"followers,omitempty"`
	// Of a follower.
	Progress *standby.Progress `json:"progress,omitempty"`
	// LastFailover is the node's last take-over, nil if it never led.
	LastFailover *standby.FailoverRecord `json:"last,omitempty"`
}

// HandoverResponse answers a request to hand over.
type HandoverResponse struct {
	To string `json:"to"` // the member that was named; empty: any
}

// standby tells how far the warm standby is.
func (h *Handler) standby(c echo.Context) error {
	status, err := h.Node.StandbyStatus()
	if err != nil {
		return respondError(c, http.StatusNotFound, err)
	}
	return respond(c, http.StatusOK, status)
}

// handOver hands leadership over. Users reach the same address, so it is asked for on the
// node's own machine only.
func (h *Handler) handOver(c echo.Context) error {
	if !sameMachine(c.Request()) {
		return respondError(c, http.StatusForbidden, errNotLocal)
	}
	to, err := h.Node.HandOver()
	switch {
	case errors.Is(err, ErrStandbyOff):
		return respondError(c, http.StatusNotFound, err)
	case err != nil:
		return respondError(c, http.StatusConflict, err)
	}
	return respond(c, http.StatusOK, HandoverResponse{To: to})
}

// sameMachine tells whether a request comes from the address that it was sent to, or from
// a loopback address.
func sameMachine(r *http.Request) bool {
	from, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(from)
	local, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	return ip != nil && (ip.IsLoopback() || ok && ip.Equal(local.IP))
}
