package leader

import (
	"testing"

	"caperlatch/internal/explain"
	"caperlatch/internal/golden"
	"caperlatch/internal/leader/autoscaler"
	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/wire"
)

// encodedTypes lists the types whose values the leader stores or uses to explain a job, with their section names in the
// golden file.
var encodedTypes = []golden.Type{
	golden.TypeOf[fleet.LaunchIntent]("a booking"),
	golden.TypeOf[fleet.MachineList]("a list of machines that are up"),
	golden.TypeOf[state.TaskProgress]("the progress of a job"),
	golden.TypeOf[autoscaler.Record]("the staffing"),
	golden.TypeOf[autoscaler.TypeRecord]("the staffing of a type"),
	golden.TypeOf[explain.TaskStop]("a stop in an explanation"),
	golden.TypeOf[explain.TaskPlacement]("a task in an explanation"),
	golden.TypeOf[explain.Explanation]("an explanation"),
}

// TestEncodedTypes checks that the encoding of each type in encodedTypes matches the golden file.
func TestEncodedTypes(t *testing.T) {
	golden.CheckEncoded(t, "encoded.golden", golden.Codec{Encode: wire.Marshal, Decode: wire.Unmarshal}, encodedTypes...)
}

// TestEncodedTags checks that all fields of the types in encodedTypes have a tag with their encoded name.
func TestEncodedTags(t *testing.T) { golden.CheckTags(t, "json", encodedTypes...) }

// TestStoredKeys checks that the task IDs and the progress keys that the leader generates match the golden file.
func TestStoredKeys(t *testing.T) {
	golden.Check(t, "keys.golden", []golden.Section{
		{Name: "a task", Text: state.TaskID("j-000412", 3)},
		{Name: "progress of a job", Text: state.ProgressKey("j-000412", 2)},
	})
}
