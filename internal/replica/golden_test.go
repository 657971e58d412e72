package replica

import (
	"testing"

	"caperlatch/internal/golden"
	"caperlatch/internal/wire"
)

// encodedTypes are the types whose values are stored or sent to other nodes, under their names in the golden file.
var encodedTypes = []golden.Type{
	golden.TypeOf[Job]("a stored job"),
	golden.TypeOf[Leader]("who leads"),
	golden.TypeOf[TokenRecord]("the highest token"),
	golden.TypeOf[Cancellation]("a cancellation told to another node"),
}

// TestEncoded checks that values of the encoded types are encoded and decoded as in the golden file.
func TestEncoded(t *testing.T) {
	golden.CheckEncoded(t, "encoded.golden", golden.Codec{Encode: wire.Marshal, Decode: wire.Unmarshal}, encodedTypes...)
}

// TestEncodedTags checks that each field of the encoded types has a tag, so that renaming a field does not change the
// encoding.
func TestEncodedTags(t *testing.T) { golden.CheckTags(t, "json", encodedTypes...) }

// TestKeyNames checks the names of the keys in the state service against the golden file.
func TestKeyNames(t *testing.T) {
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
