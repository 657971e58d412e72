// Package wire holds the messages of the protocol and its limits. The odd
// names of the wire stand in the tags here and nowhere else.
//
// It owns the encoding, the size limits of bodies, and which job descriptions are well
// formed. It does not know whether a job can run: that depends on the catalog and the
// teams (internal/api).
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// MaxBodyBytes is the most that a request or response body may measure as JSON.
const MaxBodyBytes = 64 << 10

// ContentType labels every body.
const ContentType = "application/cbor"

// Limits of decoding, well above what any message of the protocol or between nodes needs.
const (
	maxNestedLevels  = 16
	maxArrayElements = 1 << 18
	maxMapPairs      = 1 << 16
)

var (
	decoder = must(cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		// Maps in an untyped value must have a type that JSON knows: with the library's own,
		// every larger body that held a list of maps, as a machine's report of 200 tasks
		// does, measured as infinite.
		DefaultMapType: reflect.TypeFor[map[string]any](),
	}.DecMode())
	encoder = must(cbor.EncOptions{}.EncMode())
)

// must is the mode, which can only fail by a mistake in its options.
func must[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

// Raw is a value that has not been decoded yet.
type Raw = cbor.RawMessage

// Marshal encodes a body or a stored value.
func Marshal(v any) ([]byte, error) { return encoder.Marshal(v) }

// Unmarshal decodes a whole body; unknown fields are ignored, a body that is
// no map is an error when v is a struct.
func Unmarshal(b []byte, v any) error { return decoder.Unmarshal(b, v) }

// NewEncoder writes a stream of values to w.
func NewEncoder(w io.Writer) *cbor.Encoder { return encoder.NewEncoder(w) }

// NewDecoder reads a stream of values from r.
func NewDecoder(r io.Reader) *cbor.Decoder { return decoder.NewDecoder(r) }

// JSONSize is what v measures under the protocol's limits.
func JSONSize(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		return MaxBodyBytes + 1
	}
	return len(b)
}

// ErrBodyTooLarge says that a body is over MaxBodyBytes.
var ErrBodyTooLarge = errors.New("body over the limit")

// maxJSONPerByte is how many JSON characters a CBOR byte can stand for. Only bodies that may
// be too large by it need to be measured.
const maxJSONPerByte = 6

// ReadBody reads at most MaxBodyBytes bytes and checks what they measure as JSON.
func ReadBody(r io.Reader) ([]byte, error) {
	var buf bytes.Buffer
	if _, err := io.Copy(&buf, io.LimitReader(r, MaxBodyBytes+1)); err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if buf.Len() > MaxBodyBytes {
		return nil, ErrBodyTooLarge
	}
	if buf.Len() > MaxBodyBytes/maxJSONPerByte {
		var v map[string]any
		if err := Unmarshal(buf.Bytes(), &v); err == nil && JSONSize(v) > MaxBodyBytes {
			return nil, ErrBodyTooLarge
		}
	}
	return buf.Bytes(), nil
}
