package peer

import (
	"testing"

	"caperlatch/internal/golden"
	"caperlatch/internal/wire"
)

// encodedTypes are those whose values go between nodes, or tell of versions.
var encodedTypes = []golden.Type{
	golden.Of[Request]("a request"),
	golden.Of[Response]("a response"),
	golden.Of[Probe]("a probe"),
	golden.Of[NodeState]("the state of a node"),
	golden.Of[ForwardedResponse]("the answer to a report that was passed on"),
	golden.Of[Versions]("versions"),
	golden.Of[MemberVersion]("the version of a peer"),
}

// TestEncoded has them be encoded as they were.
func TestEncoded(t *testing.T) {
	golden.CheckEncoded(t, "encoded.golden", golden.Codec{Encode: wire.Marshal, Decode: wire.Unmarshal}, encodedTypes...)
}

// TestEncodedTags has all their fields be named by tags.
func TestEncodedTags(t *testing.T) { golden.CheckTags(t, "json", encodedTypes...) }
