package api

import (
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/membership"
)

// ErrMembershipDisabled means that the membership feature is disabled on the node.
var ErrMembershipDisabled = errors.New("membership is off")

// MembershipObserver is the part of a node that reports the state of its peers.
type MembershipObserver interface {
	// MembershipStatus returns this node's view of the other nodes. The error is ErrMembershipDisabled if the node
	// has no such view.
	MembershipStatus() (membership.Status, error)
}

// membershipHandler serves operators' queries about the nodes.
type membershipHandler struct{ node MembershipObserver }

// get responds with this node's view of the other nodes.
func (h membershipHandler) get(c echo.Context) error {
	status, err := h.node.MembershipStatus()
	if err != nil {
		return respondError(c, http.StatusNotFound, err)
	}
	return respond(c, http.StatusOK, status)
}
