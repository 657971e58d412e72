package fake

import (
	"testing"

	"caperlatch/internal/golden"
	"caperlatch/internal/wire"
)

// encodedTypes are the types whose encoding the state service decodes.
var encodedTypes = []golden.Type{
	golden.TypeOf[transaction]("a transaction"),
}

// TestTxnEncoding guards against changes to the encoding of encodedTypes.
func TestTxnEncoding(t *testing.T) {
	golden.CheckEncoded(t, "encoded.golden", golden.Codec{Encode: wire.Marshal, Decode: wire.Unmarshal}, encodedTypes...)
}

// TestTxnTags checks that every field of encodedTypes is named by a tag.
func TestTxnTags(t *testing.T) { golden.CheckTags(t, "json", encodedTypes...) }
