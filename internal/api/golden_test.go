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

// encodedTypes are the types of this package that are sent as responses to operators' queries about the cluster.
var encodedTypes = []golden.Type{
	golden.TypeOf[StandbyStatus]("the standby"),
	golden.TypeOf[HandoverResponse]("a handover"),
	golden.TypeOf[ZonesStatus]("the zones"),
}

// TestEncoding checks that the encoding of these types has not changed.
func TestEncoding(t *testing.T) {
	golden.CheckEncoded(t, "encoded.golden", golden.Codec{Encode: wire.Marshal, Decode: wire.Unmarshal}, encodedTypes...)
}

// TestEncodingTags checks that every field of these types has a tag.
func TestEncodingTags(t *testing.T) { golden.CheckTags(t, "json", encodedTypes...) }

// TestRoutes checks that the set of routes has not changed.
func TestRoutes(t *testing.T) {
	var routes []string
	for _, r := range New(Config{Settings: &settings.Settings{}, RequestTimes: NewRequestTimes()}).(*echo.Echo).Routes() {
		routes = append(routes, r.Method+" "+r.Path)
	}
	slices.Sort(routes)
	golden.Check(t, "routes.golden", []golden.Section{{Name: "routes", Text: strings.Join(routes, "\n")}})
}
