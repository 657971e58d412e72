package api

import (
	"context"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/zone"
)

// ErrZonesOff says that the leader runs without a policy on zones that tells anything.
var ErrZonesOff = errors.New("the policy on zones is off")

// ZonesStatus is what the leader tells the duty team of the zones.
type ZonesStatus struct {
	Leader string        `json:"leader"`
	Zones  []zone.Status `json:"zones"`
}

// zones tells what the leader thinks of the zones, whichever node is asked.
func (h *Handler) zones(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), userTimeout.Duration())
	defer cancel()
	all, err := h.Node.ZoneStatus(ctx)
	switch {
	case errors.Is(err, ErrZonesOff):
		return respondError(c, http.StatusNotFound, err)
	case err != nil:
		return respondError(c, http.StatusServiceUnavailable, err)
	}
	return respond(c, http.StatusOK, ZonesStatus{Leader: h.Node.LeaderMember(), Zones: all})
}
