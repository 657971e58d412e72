package api

import (
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"
)

// ErrMembershipOff says that the node runs without membership.
var ErrMembershipOff = errors.New("membership is off")

// members tells what this node thinks of the others.
func (h *Handler) members(c echo.Context) error {
	status, err := h.Node.MembershipStatus()
	if err != nil {
		return respondError(c, http.StatusNotFound, err)
	}
	return respond(c, http.StatusOK, status)
}
