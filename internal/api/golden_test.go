package api

import (
	"slices"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/golden"
	"caperlatch/internal/wire"
)

// encodedTypes are those whose values answer questions for the state of the cluster.
var encodedTypes = []golden.Type{
	golden.Of[StandbyStatus]("the standby"),
	golden.Of[HandoverResponse]("a handover"),
	golden.Of[ZonesStatus]("the zones"),
}

// TestEncoded has them be encoded as they were.
func TestEncoded(t *testing.T) {
	golden.CheckEncoded(t, "encoded.golden", golden.Codec{Encode: wire.Marshal, Decode: wire.Unmarshal}, encodedTypes...)
}

// TestEncodedTags has all their fields be named by tags.
func TestEncodedTags(t *testing.T) { golden.CheckTags(t, "json", encodedTypes...) }

// TestRoutes has a node answer the requests that it answered.
func TestRoutes(t *testing.T) {
	var routes []string
	for _, r := range New(&Handler{RequestTimes: NewRequestTimes()}).(*echo.Echo).Routes() {
		routes = append(routes, r.Method+" "+r.Path)
	}
	slices.Sort(routes)
	golden.Check(t, "routes.golden", []golden.Section{{Name: "routes", Text: strings.Join(routes, "\n")}})
}
