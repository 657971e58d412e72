// Package wire holds the messages of the protocol, their encoding and their limits. The words
// of the protocol stand here alone, as field tags and string constants; Go names are the
// terms of docs/glossary.md.
//
// It owns how messages are encoded and decoded, the size limits of bodies, and which job
// descriptions are well formed. It must not decide whether a job can run: that depends on the
// instance types and the teams, and is internal/api's. It keeps no state, and logs nothing.
//
// Order of fields, tags and constants are seen outside and are stored: golden files hold them.
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

// MaxBodyBytes is the largest size of a request's or response's body, measured as JSON.
const MaxBodyBytes = 64 << 10

// ContentType is the media type of every body.
const ContentType = "application/cbor"

// Limits of decoding, well above what any message of the protocol or between nodes needs.
const (
	maxNestedLevels  = 16
	maxArrayElements = 1 << 18
	maxMapPairs      = 1 << 16
)

var (
	decoder = mustMode(cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		// Maps in an untyped value must have a type that JSON knows: with the library's own,
		// every larger body that held a list of maps, as a machine's heartbeat with 200 tasks
		// does, measured as infinite.
		DefaultMapType: reflect.TypeFor[map[string]any](),
	}.DecMode())
	encoder = mustMode(cbor.EncOptions{}.EncMode())
)

// mustMode returns a mode of encoding or decoding. Making one can only fail by a mistake in its
// options, which are constants, so it panics then.
func mustMode[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

// RawMessage is a value that has not been decoded yet.
type RawMessage = cbor.RawMessage

// Marshal encodes a body or a stored value.
func Marshal(v any) ([]byte, error) { return encoder.Marshal(v) }

// Unmarshal decodes all of b into v. Unknown fields are ignored; a body that is no map is an
// error if v points to a struct.
func Unmarshal(b []byte, v any) error { return decoder.Unmarshal(b, v) }

// NewEncoder returns an encoder of a stream of values to w.
func NewEncoder(w io.Writer) *cbor.Encoder { return encoder.NewEncoder(w) }

// NewDecoder returns a decoder of a stream of values from r.
func NewDecoder(r io.Reader) *cbor.Decoder { return decoder.NewDecoder(r) }

// JSONSize returns the size of v in bytes as the protocol's limits measure it. What JSON cannot
// represent measures as over MaxBodyBytes.
func JSONSize(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		return MaxBodyBytes + 1
	}
	return len(b)
}

// ErrBodyTooLarge reports that a body is larger than MaxBodyBytes.
var ErrBodyTooLarge = errors.New("body over the limit")

// maxJSONPerByte is how many JSON characters one CBOR byte can stand for. Only bodies that may
// be too large by it need to be measured.
const maxJSONPerByte = 6

// ReadBody reads all of r, which the caller closes, and returns ErrBodyTooLarge if it measures
// more than MaxBodyBytes, as it is or as JSON.
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
