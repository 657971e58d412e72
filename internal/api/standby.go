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

// ErrStandbyDisabled means that the warm standby is disabled on the node.
var ErrStandbyDisabled = errors.New("the warm standby is off")

// errNotLocal means that a request was rejected because it did not come from the node's own machine.
var errNotLocal = errors.New("only asked on the node's own machine")

// Standby is the part of a node that reports the state of the warm standby and hands leadership over.
type Standby interface {
	// StandbyStatus returns the state of the warm standby according to this node. The error is ErrStandbyDisabled if
	// the warm standby is disabled.
	StandbyStatus() (StandbyStatus, error)
	// HandOverAndConfirm hands leadership over from this node to a member that this node chooses, and returns that
	// member once the member leads. It fails while this node does not lead. The error is ErrStandbyDisabled if the
	// warm standby is disabled, and a *HandoverError if a member other than the chosen one leads next or if no
	// member leads within a time-out.
	HandOverAndConfirm(ctx context.Context) (to string, err error)
}

// HandoverError means that leadership was handed over, but is not known to have passed to a chosen member.
type HandoverError struct {
	Target string // the member chosen to lead next; empty: any, because no follower was close enough
	Leader string // the member that leads now; empty: no leader is known yet
}

// Error implements error. The text is shown to operators.
func (e *HandoverError) Error() string {
	to := cmp.Or(e.Target, "any node, as none follows closely")
	if e.Leader == "" {
		return "handed over to " + to + ", and nobody is known to lead yet"
	}
	return "handed over to " + to + ", and " + e.Leader + " leads"
}

// StandbyStatus is the response to an operator's query about the warm standby.
type StandbyStatus struct {
	Member       string `json:"member"`
	Leader       string `json:"leader"`
	FencingToken uint64 `json:"token"`
	Phase        string `json:"phase"`
	Leading      bool   `json:"leading"`
	// Position and Followers are set by a leader.
	Position  uint64                  `json:"position,omitempty"`
	Followers []standby.FollowerState `json:"followers,omitempty"`
	// Progress is set by a follower.
	Progress *standby.Progress `json:"progress,omitempty"`
	// LastFailover is the last failover to this node; nil if it never led.
	LastFailover *standby.FailoverRecord `json:"last,omitempty"`
}

// HandoverResponse is the response to a handover request.
type HandoverResponse struct {
	// To is the member that was chosen and now leads. In versions up to 01da0cf it is the chosen member, which need
	// not lead; empty: any.
	To string `json:"to"`
}

// standbyHandlers holds the handlers of operators' queries and requests about the warm standby.
type standbyHandlers struct{ node Standby }

// get responds with the state of the warm standby.
func (h standbyHandlers) get(c echo.Context) error {
	status, err := h.node.StandbyStatus()
	if err != nil {
		return respondError(c, http.StatusNotFound, err)
	}
	return respond(c, http.StatusOK, status)
}

// handOver hands leadership over. Users can reach the same address, so it accepts requests from the node's own
// machine only.
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

// isFromSameMachine reports whether a request's source address is a loopback address or the address that the request
// was sent to.
func isFromSameMachine(r *http.Request) bool {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	local, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	return ip != nil && (ip.IsLoopback() || ok && ip.Equal(local.IP))
}
