// Package wire defines the messages of the protocol, their encoding and their limits.
//
// The protocol's own terms appear only in this package, as field tags and string constants. Go names use the terms of
// docs/glossary.md.
//
// The package owns the encoding and decoding of messages, the size limits of bodies, and the validation of job
// descriptions. It does not decide whether a job can run: that depends on the instance types and the teams, and is
// decided in internal/api. The package has no state and logs nothing.
//
// The order of fields, the tags and the constants are visible to other programs and part of stored data. Golden files
// guard them against changes.
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

// MaxBodyBytes is the maximum size of a request's or response's body, measured as JSON.
const MaxBodyBytes = 64 << 10

// ContentType is the media type of every body.
const ContentType = "application/cbor"

// Decoder limits. They are far above what any message of the protocol or between nodes needs.
const (
	// maxNestedLevels also applies to unknown fields. A body could nest deeper, but would then take megabytes of stack.
	maxNestedLevels  = 1024
	maxArrayElements = 1 << 18
	maxMapPairs      = 1 << 16
)

var (
	decoder = mustMode(cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		// Maps in an untyped value must have a type that encoding/json supports. With the library's default type,
		// JSONSize could not encode a list of maps, so ReadBody rejected every body with such a list that was large
		// enough to be measured, for example a heartbeat with 200 tasks.
		DefaultMapType: reflect.TypeFor[map[string]any](),
		// A field counts only under its own name. By default, the library also takes a key that differs from a field's
		// name in case only, so that an unknown field would replace the field.
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
	}.DecMode())
	encoder = mustMode(cbor.EncOptions{}.EncMode())
)

// mustMode returns an encoding or decoding mode, and panics if creating it failed. Creating it can fail only because of
// invalid options, which are constants in this package.
func mustMode[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

// RawMessage is an encoded value that has not been decoded yet.
type RawMessage = cbor.RawMessage

// Marshal encodes a body or a stored value.
func Marshal(v any) ([]byte, error) { return encoder.Marshal(v) }

// Unmarshal decodes all of b into v. It ignores unknown fields, those that differ from a known one in case only among
// them. If v points to a struct, a body that is not a map is an error.
func Unmarshal(b []byte, v any) error { return decoder.Unmarshal(b, v) }

// NewEncoder returns an encoder that writes a stream of values to w.
func NewEncoder(w io.Writer) *cbor.Encoder { return encoder.NewEncoder(w) }

// NewDecoder returns a decoder that reads a stream of values from r.
func NewDecoder(r io.Reader) *cbor.Decoder { return decoder.NewDecoder(r) }

// JSONSize returns the size of v in bytes as JSON, by which the protocol's limits are defined. For a value that JSON
// cannot represent, it returns a size greater than MaxBodyBytes.
func JSONSize(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		return MaxBodyBytes + 1
	}
	return len(b)
}

// decodedJSONSize returns the size in bytes, as JSON, of a value that was decoded without a type. Values that JSON cannot
// represent count as null: they may be in unknown fields, which must not make a message invalid.
func decodedJSONSize(v any) int {
	const brackets, separator = len("[]"), len(",")
	switch v := v.(type) {
	case map[string]any:
		size := brackets
		for key, value := range v {
			size += JSONSize(key) + len(":") + decodedJSONSize(value) + separator
		}
		return max(brackets, size-separator)
	case []any:
		size := brackets
		for _, element := range v {
			size += decodedJSONSize(element) + separator
		}
		return max(brackets, size-separator)
	}
	b, err := json.Marshal(v)
	if err != nil {
		return len("null")
	}
	return len(b)
}

// ErrBodyTooLarge means that a body is larger than MaxBodyBytes.
var ErrBodyTooLarge = errors.New("body over the limit")

// maxJSONCharsPerByte is the maximum number of JSON characters that one byte of CBOR can represent. A body of at most
// MaxBodyBytes/maxJSONCharsPerByte cannot be too large as JSON, so it need not be measured.
const maxJSONCharsPerByte = 6

// ReadBody reads a complete body from r, which the caller must close. The error is ErrBodyTooLarge if the body is
// larger than MaxBodyBytes, either as received or as JSON.
func ReadBody(r io.Reader) ([]byte, error) {
	var buf bytes.Buffer
	if _, err := io.Copy(&buf, io.LimitReader(r, MaxBodyBytes+1)); err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if buf.Len() > MaxBodyBytes {
		return nil, ErrBodyTooLarge
	}
	if buf.Len() > MaxBodyBytes/maxJSONCharsPerByte {
		var v map[string]any
		if err := Unmarshal(buf.Bytes(), &v); err == nil && decodedJSONSize(v) > MaxBodyBytes {
			return nil, ErrBodyTooLarge
		}
	}
	return buf.Bytes(), nil
}
