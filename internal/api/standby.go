package api

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/standby"
)

// ErrStandbyDisabled means that the node runs without the warm standby.
var ErrStandbyDisabled = errors.New("the warm standby is off")

// errNotLocal means that a request must come from the node's own machine.
var errNotLocal = errors.New("only asked on the node's own machine")

// Standby is the part of a node that questions about the warm standby need.
type Standby interface {
	// StandbyStatus returns how far the warm standby is, as this node knows it. The error is
	// ErrStandbyOff if there is none.
	StandbyStatus() (StandbyStatus, error)
	// HandOverAndConfirm has this node, if it leads, hand leadership over to a member that it names, and returns
	// that member once it leads. The error is ErrStandbyOff without a standby, and a *HandoverError if
	// another member than the named one leads next, or none does for a while.
	HandOverAndConfirm(ctx context.Context) (to string, err error)
}

// HandoverError says that leadership was handed over, and not to a named member.
type HandoverError struct {
	Target string // the member that was to lead next; empty: any, as none followed closely
	Leader string // the member that leads now; empty: none is known yet
}

// Error implements error. Operators are shown the text.
func (e *HandoverError) Error() string {
	to := cmp.Or(e.Target, "any node, as none follows closely")
	if e.Leader == "" {
		return "handed over to " + to + ", and nobody is known to lead yet"
	}
	return "handed over to " + to + ", and " + e.Leader + " leads"
}

// StandbyStatus is the answer to a question about the warm standby.
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
	// LastFailover is the last failover to this node, nil if it never led.
	LastFailover *standby.FailoverRecord `json:"last,omitempty"`
}

// HandoverResponse is the answer to a request to hand over.
type HandoverResponse struct {
	To string `json:"to"` // the member that was named, and leads; versions up to 01da0cf say whom they named, empty: any
}

// standbyHandlers answer operators' questions and requests about the warm standby.
type standbyHandlers struct{ node Standby }

// get answers how far the warm standby is.
func (h standbyHandlers) get(c echo.Context) error {
	status, err := h.node.StandbyStatus()
	if err != nil {
		return respondError(c, http.StatusNotFound, err)
	}
	return respond(c, http.StatusOK, status)
}

// handOver hands leadership over. Users reach the same address, so the request is taken from
// the node's own machine only.
func (h standbyHandlers) handOver(c echo.Context) error {
	if !isFromSameMachine(c.Request()) {
		return respondError(c, http.StatusForbidden, errNotLocal)
	}
	to, err := h.node.HandOverAndConfirm(c.Request().Context())
	switch {
	case errors.Is(err, ErrStandbyDisabled):
		return respondError(c, http.StatusNotFound, err)
	case err != nil:
		return respondError(c, http.StatusConflict, err)
	}
	return respond(c, http.StatusOK, HandoverResponse{To: to})
}

// isFromSameMachine reports whether a request comes from the address that it was sent to, or
// from a loopback address.
func isFromSameMachine(r *http.Request) bool {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	local, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	return ip != nil && (ip.IsLoopback() || ok && ip.Equal(local.IP))
}
