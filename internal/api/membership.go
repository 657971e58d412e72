package api

import (
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/membership"
)

// ErrMembershipDisabled means that the node runs without membership.
var ErrMembershipDisabled = errors.New("membership is off")

// MembershipObserver is the part of a node that questions about its peers need.
type MembershipObserver interface {
	// MembershipStatus returns this node's view of the others. The error is ErrMembershipOff
	// if there is none.
	MembershipStatus() (membership.Status, error)
}

// membershipHandler answers questions about the nodes.
type membershipHandler struct{ node MembershipObserver }

// get answers with this node's view of the others.
func (h membershipHandler) get(c echo.Context) error {
	status, err := h.node.MembershipStatus()
	if err != nil {
		return respondError(c, http.StatusNotFound, err)
	}
	return respond(c, http.StatusOK, status)
}
