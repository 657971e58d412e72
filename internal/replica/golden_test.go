package replica

import (
	"testing"

	"caperlatch/internal/golden"
	"caperlatch/internal/wire"
)

// encodedTypes are those whose values are stored or sent to other nodes.
var encodedTypes = []golden.Type{
	golden.TypeOf[Job]("a stored job"),
	golden.TypeOf[Leader]("who leads"),
	golden.TypeOf[TokenRecord]("the highest token"),
	golden.TypeOf[Cancellation]("a cancellation told to another node"),
}

// TestEncoded compares their encodings with the golden file.
func TestEncoded(t *testing.T) {
	golden.CheckEncoded(t, "encoded.golden", golden.Codec{Encode: wire.Marshal, Decode: wire.Unmarshal}, encodedTypes...)
}

// TestEncodedTags requires a tag of each of their fields.
func TestEncodedTags(t *testing.T) { golden.CheckTags(t, "json", encodedTypes...) }

// TestKeys compares the names of the state service's keys with the golden file.
func TestKeys(t *testing.T) {
	golden.Check(t, "keys.golden", []golden.Section{
		{Name: "all", Text: Prefix},
		{Name: "who leads", Text: LeaderKey},
		{Name: "the highest token", Text: TokenKey},
		{Name: "the catalog", Text: InstanceTypesKey},
		{Name: "the staffing", Text: AutoscalerKey},
		{Name: "the zones", Text: ZonesKey},
		{Name: "jobs", Text: JobPrefix},
		{Name: "progress of jobs", Text: ProgressPrefix},
		{Name: "bookings", Text: LaunchIntentPrefix},
		{Name: "lists of machines that are up", Text: MachineListPrefix},
	})
}
