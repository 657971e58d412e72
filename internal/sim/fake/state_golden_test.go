package fake

import (
	"testing"

	"caperlatch/internal/golden"
	"caperlatch/internal/wire"
)

// encodedTypes are those whose values the state service reads.
var encodedTypes = []golden.Type{
	golden.TypeOf[transaction]("a transaction"),
}

// TestTxnEncoding checks that they are encoded as they were.
func TestTxnEncoding(t *testing.T) {
	golden.CheckEncoded(t, "encoded.golden", golden.Codec{Encode: wire.Marshal, Decode: wire.Unmarshal}, encodedTypes...)
}

// TestTxnTags checks that tags name all their fields.
func TestTxnTags(t *testing.T) { golden.CheckTags(t, "json", encodedTypes...) }
