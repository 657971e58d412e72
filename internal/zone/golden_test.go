package zone

import (
	"testing"

	"caperlatch/internal/golden"
	"caperlatch/internal/wire"
)

// encodedTypes lists the types whose values are stored, sent between nodes, or shown to operators.
var encodedTypes = []golden.Type{
	golden.TypeOf[Record]("the stored record"),
	golden.TypeOf[RecordedZone]("a stored zone"),
	golden.TypeOf[Status]("a zone"),
	golden.TypeOf[Evidence]("what is known of machines"),
	golden.TypeOf[WorkStatus]("what is known of work"),
}

// TestEncoded guards against changes of the encoding of these types, which nodes of other versions read.
func TestEncoded(t *testing.T) {
	golden.CheckEncoded(t, "encoded.golden", golden.Codec{Encode: wire.Marshal, Decode: wire.Unmarshal}, encodedTypes...)
}

// TestEncodedTags checks that a tag names each field of these types, so that renaming a field in Go does not change
// the encoding.
func TestEncodedTags(t *testing.T) { golden.CheckTags(t, "json", encodedTypes...) }

// TestStatesAndReasons guards against changes of the texts and numbers that are stored or shown to operators.
func TestStatesAndReasons(t *testing.T) {
	var states []string
	for s := Normal; s <= Reopening+1; s++ {
		states = append(states, s.String())
	}
	golden.Check(t, "words.golden", []golden.Section{
		{Name: "states", Text: golden.FormatValues(states)},
		{Name: "states as stored", Text: golden.FormatValues([]State{Normal, PartialDisruption, FullDisruption, HeldDown, Reopening})},
		{Name: "reasons", Text: golden.FormatValues([]Reason{ReasonHeartbeatsLate, ReasonHeartbeatsArrive, ReasonMostSilent, ReasonObserverAtFault, ReasonHeartbeatsResumed, ReasonNoMachines, ReasonHoldDownOver,
			ReasonStepSucceeded, ReasonRelapse, ReasonStartsFailed, ReasonFullyOpen})},
		{Name: "version of the record", Text: golden.FormatValues(RecordVersion)},
	})
}
