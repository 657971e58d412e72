package membership

import (
	"testing"

	"caperlatch/internal/golden"
	"caperlatch/internal/wire"
)

// encodedTypes are those whose values are sent between nodes, or shown to operators.
var encodedTypes = []golden.Type{
	golden.TypeOf[Heartbeat]("a heartbeat"),
	golden.TypeOf[MemberView]("an opinion of a member"),
	golden.TypeOf[Status]("what a member thinks of the others"),
	golden.TypeOf[MemberStatus]("what it thinks of one"),
	golden.TypeOf[Counts]("how often it was in doubt"),
}

// TestEncoded checks their encoding against the captured one.
func TestEncoded(t *testing.T) {
	golden.CheckEncoded(t, "encoded.golden", golden.Codec{Encode: wire.Marshal, Decode: wire.Unmarshal}, encodedTypes...)
}

// TestEncodedTags checks that all their fields are named by tags.
func TestEncodedTags(t *testing.T) { golden.CheckTags(t, "json", encodedTypes...) }

// TestStates checks the words of states against the captured ones.
func TestStates(t *testing.T) {
	golden.Check(t, "states.golden", []golden.Section{{Name: "states", Text: golden.FormatValues([]State{Alive, Suspected, Failed, Left})}})
}
