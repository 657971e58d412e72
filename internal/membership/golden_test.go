package membership

import (
	"testing"

	"caperlatch/internal/golden"
	"caperlatch/internal/wire"
)

// encodedTypes lists the types whose values are sent between nodes or shown to operators.
var encodedTypes = []golden.Type{
	golden.TypeOf[Heartbeat]("a heartbeat"),
	golden.TypeOf[MemberView]("an opinion of a member"),
	golden.TypeOf[Status]("what a member thinks of the others"),
	golden.TypeOf[MemberStatus]("what it thinks of one"),
	golden.TypeOf[EventCounts]("how often it was in doubt"),
}

// TestEncoded guards against changes of the encoding of these types, which nodes of other versions read.
func TestEncoded(t *testing.T) {
	golden.CheckEncoded(t, "encoded.golden", golden.Codec{Encode: wire.Marshal, Decode: wire.Unmarshal}, encodedTypes...)
}

// TestEncodedTags checks that a tag names each field of these types, so that renaming a field in Go does not change
// the encoding.
func TestEncodedTags(t *testing.T) { golden.CheckTags(t, "json", encodedTypes...) }

// TestStates guards against changes of the texts of states, which are sent and shown.
func TestStates(t *testing.T) {
	golden.Check(t, "states.golden", []golden.Section{{Name: "states", Text: golden.FormatValues([]State{Alive, Suspected, Failed, Left})}})
}
