package api

import (
	"context"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/zone"
)

// ErrZonePolicyDisabled means that the leader reports no status of zones: its zone policy is disabled or reports none,
// or its version does not support the query.
var ErrZonePolicyDisabled = errors.New("the policy on zones is off")

// ZoneObserver is the part of a node that reports the state of zones.
type ZoneObserver interface {
	// LeaderMember returns the name of the member that leads according to this node, or "" if it knows none.
	LeaderMember() string
	// ZoneStatus returns the leader's view of the zones, on whichever node it is called. The error is
	// ErrZonePolicyDisabled if the leader has no such view.
	ZoneStatus(ctx context.Context) ([]zone.Status, error)
}

// ZonesStatus is the response to an operator's query about the zones.
type ZonesStatus struct {
	Leader string        `json:"leader"`
	Zones  []zone.Status `json:"zones"`
}

// zonesHandler serves operators' queries about the zones.
type zonesHandler struct{ node ZoneObserver }

// get responds with the leader's view of the zones.
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
