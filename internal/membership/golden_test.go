package membership

import (
	"testing"

	"caperlatch/internal/golden"
	"caperlatch/internal/wire"
)

// encodedTypes are those whose values members tell each other, and of each other.
var encodedTypes = []golden.Type{
	golden.Of[Heartbeat]("a heartbeat"),
	golden.Of[MemberView]("an opinion of a member"),
	golden.Of[Status]("what a member thinks of the others"),
	golden.Of[MemberStatus]("what it thinks of one"),
	golden.Of[Counts]("how often it was in doubt"),
}

// TestEncoded has them be encoded as they were.
func TestEncoded(t *testing.T) {
	golden.CheckEncoded(t, "encoded.golden", golden.Codec{Encode: wire.Marshal, Decode: wire.Unmarshal}, encodedTypes...)
}

// TestEncodedTags has all their fields be named by tags.
func TestEncodedTags(t *testing.T) { golden.CheckTags(t, "json", encodedTypes...) }

// TestStates has the states of members be called as they were.
func TestStates(t *testing.T) {
	golden.Check(t, "states.golden", []golden.Section{{Name: "states", Text: golden.Values([]State{Alive, Suspected, Failed, Left})}})
}
