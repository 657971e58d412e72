package zone

import (
	"testing"

	"caperlatch/internal/golden"
	"caperlatch/internal/wire"
)

// encodedTypes are those whose values are stored, and told of zones.
var encodedTypes = []golden.Type{
	golden.Of[Record]("the stored record"),
	golden.Of[RecordedZone]("a stored zone"),
	golden.Of[Status]("a zone"),
	golden.Of[Evidence]("what is known of machines"),
	golden.Of[WorkStatus]("what is known of work"),
}

// TestEncoded has them be encoded as they were.
func TestEncoded(t *testing.T) {
	golden.CheckEncoded(t, "encoded.golden", golden.Codec{Encode: wire.Marshal, Decode: wire.Unmarshal}, encodedTypes...)
}

// TestEncodedTags has all their fields be named by tags.
func TestEncodedTags(t *testing.T) { golden.CheckTags(t, "json", encodedTypes...) }

// TestWords has what is said of zones be what it was.
func TestWords(t *testing.T) {
	var states []string
	for s := Normal; s <= Reopening+1; s++ {
		states = append(states, s.String())
	}
	golden.Check(t, "words.golden", []golden.Section{
		{Name: "states", Text: golden.Values(states)},
		{Name: "states as stored", Text: golden.Values([]State{Normal, PartialDisruption, FullDisruption, HeldDown, Reopening})},
		{Name: "reasons", Text: golden.Values([]Reason{ReasonHeartbeatsLate, ReasonHeartbeatsArrive, ReasonMostSilent, ReasonObserverAtFault, ReasonHeartbeatsResumed, ReasonNoMachines, ReasonHoldDownOver,
			ReasonStepSucceeded, ReasonRelapse, ReasonStartsFailed, ReasonFullyOpen})},
		{Name: "version of the record", Text: golden.Values(RecordVersion)},
	})
}
