package api

import (
	"context"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/zone"
)

// ErrZonePolicyDisabled means that the leader runs without the policy on zones, or with one that
// has no states to show.
var ErrZonePolicyDisabled = errors.New("the policy on zones is off")

// ZoneObserver is the part of a node that questions about zones need.
type ZoneObserver interface {
	// LeaderMember returns the member that leads as far as this node knows; empty: none known.
	LeaderMember() string
	// ZoneStatus returns the leader's view of the zones, whichever node is asked. The error
	// is ErrZonesOff if there is none.
	ZoneStatus(ctx context.Context) ([]zone.Status, error)
}

// ZonesStatus is the answer to a question about the zones.
type ZonesStatus struct {
	Leader string        `json:"leader"`
	Zones  []zone.Status `json:"zones"`
}

// zonesHandler answers questions about the zones.
type zonesHandler struct{ node ZoneObserver }

// get answers with the leader's view of the zones.
func (h zonesHandler) get(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), userTimeout.Duration())
	defer cancel()
	zones, err := h.node.ZoneStatus(ctx)
	switch {
	case errors.Is(err, ErrZonePolicyDisabled):
		return respondError(c, http.StatusNotFound, err)
	case err != nil:
		return respondError(c, http.StatusServiceUnavailable, err)
	}
	return respond(c, http.StatusOK, ZonesStatus{Leader: h.node.LeaderMember(), Zones: zones})
}
