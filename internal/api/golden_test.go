package api

import (
	"slices"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"caperlatch/internal/golden"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// encodedTypes are those whose values answer questions about the state of the cluster.
var encodedTypes = []golden.Type{
	golden.TypeOf[StandbyStatus]("the standby"),
	golden.TypeOf[HandoverResponse]("a handover"),
	golden.TypeOf[ZonesStatus]("the zones"),
}

// TestEncoded checks that they are encoded as they were.
func TestEncoded(t *testing.T) {
	golden.CheckEncoded(t, "encoded.golden", golden.Codec{Encode: wire.Marshal, Decode: wire.Unmarshal}, encodedTypes...)
}

// TestEncodedTags checks that tags name all their fields.
func TestEncodedTags(t *testing.T) { golden.CheckTags(t, "json", encodedTypes...) }

// TestRoutes checks that a node answers the same requests as before.
func TestRoutes(t *testing.T) {
	var routes []string
	for _, r := range New(Config{Settings: &settings.Settings{}, RequestTimes: NewRequestTimes()}).(*echo.Echo).Routes() {
		routes = append(routes, r.Method+" "+r.Path)
	}
	slices.Sort(routes)
	golden.Check(t, "routes.golden", []golden.Section{{Name: "routes", Text: strings.Join(routes, "\n")}})
}
