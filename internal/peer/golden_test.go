package peer

import (
	"testing"

	"caperlatch/internal/golden"
	"caperlatch/internal/wire"
)

// encodedTypes are the types that nodes send to each other, and those that report the versions of the nodes.
var encodedTypes = []golden.Type{
	golden.TypeOf[Request]("a request"),
	golden.TypeOf[Response]("a response"),
	golden.TypeOf[Probe]("a probe"),
	golden.TypeOf[NodeState]("the state of a node"),
	golden.TypeOf[ForwardedResponse]("the answer to a report that was passed on"),
	golden.TypeOf[Versions]("versions"),
	golden.TypeOf[MemberVersion]("the version of a peer"),
}

// TestEncoded compares the encodings of encodedTypes with the golden file.
func TestEncoded(t *testing.T) {
	golden.CheckEncoded(t, "encoded.golden", golden.Codec{Encode: wire.Marshal, Decode: wire.Unmarshal}, encodedTypes...)
}

// TestEncodedTags checks that every field of encodedTypes has a tag.
func TestEncodedTags(t *testing.T) { golden.CheckTags(t, "json", encodedTypes...) }
