package fake

import (
	"bytes"
	"hash/fnv"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"

	"caperlatch/internal/wire"
)

// UnknownFields adds fields that the protocol does not have to a share of the messages that the fakes send. Receivers must
// ignore them. Most have names that differ from those of known fields in case only, and values that would matter. The
// choice depends on the seed and on the message alone. A nil pointer adds nothing. It is safe for concurrent use.
type UnknownFields struct {
	seed  uint64
	share float64
}

// NewUnknownFields returns a source of unknown fields for a share of the messages, from 0 to 1.
func NewUnknownFields(seed uint64, share float64) *UnknownFields { return &UnknownFields{seed, share} }

const (
	// maxExtendedBytes is the size of the largest message to which fields are added, so that they do not make a message
	// exceed the protocol's size limit.
	maxExtendedBytes = wire.MaxBodyBytes / 8
	// extendedMapShare is the share of the maps in a chosen message that get unknown fields.
	extendedMapShare = 0.3
	// maxFieldsPerMap is the maximum number of unknown fields in a map.
	maxFieldsPerMap = 3
	// unknownFieldDepth is the number of nested lists in the deepest values of unknown fields.
	unknownFieldDepth = 100
)

// storedValueField is the field with a stored value, which is not a message and stays as it is.
var storedValueField = func() string {
	f, _ := reflect.TypeFor[wire.KeyValue]().FieldByName("Value")
	return f.Tag.Get("json")
}()

// Transport returns a transport that adds unknown fields to requests before they are sent by another one.
func (u *UnknownFields) Transport(next http.RoundTripper) http.RoundTripper {
	if u == nil {
		return next
	}
	return &extendingTransport{u, next}
}

// extendingTransport is the transport that Transport returns.
type extendingTransport struct {
	fields *UnknownFields
	next   http.RoundTripper
}

// RoundTrip sends a request, possibly with unknown fields.
func (t *extendingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	if body == nil {
		return t.next.RoundTrip(r)
	}
	body = t.fields.extend(body)
	extended := r.Clone(r.Context())
	extended.ContentLength = int64(len(body))
	extended.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	extended.Body, _ = extended.GetBody()
	return t.next.RoundTrip(extended)
}

// Handler returns a handler that adds unknown fields to the responses of another one.
func (u *UnknownFields) Handler(next http.Handler) http.Handler {
	if u == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		next.ServeHTTP(recorder, r)
		maps.Copy(w.Header(), recorder.Header())
		w.WriteHeader(recorder.Code)
		w.Write(u.extend(recorder.Body.Bytes()))
	})
}

// extend returns an encoded message, with unknown fields if it is one of those that get some.
func (u *UnknownFields) extend(message []byte) []byte {
	hash := fnv.New64a()
	hash.Write(message)
	random := rand.New(rand.NewPCG(u.seed, hash.Sum64()))
	if len(message) == 0 || len(message) > maxExtendedBytes || random.Float64() >= u.share {
		return message
	}
	return fieldAdder{random}.extendValue(message)
}

// fieldAdder adds unknown fields to one message.
type fieldAdder struct{ random *rand.Rand }

// Major types of encoded values, which are in the top three bits of the first byte.
const (
	majorTypeShift    = 5
	majorTypeUnsigned = 0
	majorTypeList     = 4
	majorTypeMap      = 5
)

// extendValue returns an encoded value with unknown fields in some of its maps.
func (a fieldAdder) extendValue(encoded wire.RawMessage) wire.RawMessage {
	switch encoded[0] >> majorTypeShift {
	case majorTypeList:
		var elements []wire.RawMessage
		mustDecode(encoded, &elements)
		for i := range elements {
			elements[i] = a.extendValue(elements[i])
		}
		return mustEncode(elements)
	case majorTypeMap:
		var fields map[string]wire.RawMessage
		if wire.Unmarshal(encoded, &fields) != nil {
			return encoded // a map whose keys are not strings is no message
		}
		return a.extendMap(fields)
	}
	return encoded
}

// unknownField is an encoded field that is added to a map.
type unknownField struct {
	name  string
	value wire.RawMessage
}

// extendMap encodes a map with unknown fields in its values and, possibly, before or after its own fields.
func (a fieldAdder) extendMap(fields map[string]wire.RawMessage) wire.RawMessage {
	names := slices.Sorted(maps.Keys(fields))
	var known []unknownField
	for _, name := range names {
		value := fields[name]
		if name != storedValueField {
			value = a.extendValue(value)
		}
		known = append(known, unknownField{name, value})
	}
	var added []unknownField
	if len(names) > 0 && a.random.Float64() < extendedMapShare {
		for range 1 + a.random.IntN(maxFieldsPerMap) {
			name := names[a.random.IntN(len(names))]
			f := unknownField{a.similarName(name), a.valueUnlike(fields[name])}
			if _, isKnown := fields[f.name]; !isKnown && f.name != name {
				added = append(added, f)
			}
		}
	}
	if a.random.IntN(2) == 0 {
		return encodeFields(slices.Concat(added, known))
	}
	return encodeFields(slices.Concat(known, added))
}

// encodeFields encodes a map with fields in the given order.
func encodeFields(fields []unknownField) wire.RawMessage {
	const mapWithTwoLengthBytes = majorTypeMap<<majorTypeShift | 25
	encoded := []byte{mapWithTwoLengthBytes, byte(len(fields) >> 8), byte(len(fields))}
	for _, f := range fields {
		encoded = append(encoded, mustEncode(f.name)...)
		encoded = append(encoded, f.value...)
	}
	return encoded
}

// similarName returns a name that is similar to that of a field: mostly one that differs in case only.
func (a fieldAdder) similarName(name string) string {
	if name == "" {
		return "x"
	}
	candidates := []string{
		strings.ToUpper(name),
		strings.ToUpper(name[:1]) + name[1:],
		name[:len(name)-1] + strings.ToUpper(name[len(name)-1:]),
		strings.ReplaceAll(strings.ToUpper(name), "S", "\u017f"),
		strings.ReplaceAll(name, "k", "\u212a"),
		name + " ",
		"x_" + name,
	}
	return candidates[a.random.IntN(len(candidates))]
}

// valueUnlike returns a value for an unknown field: one that would change the known field of a similar name, or one that
// would be difficult to decode.
func (a fieldAdder) valueUnlike(known wire.RawMessage) wire.RawMessage {
	const emptyList, listOfOne = "\x80", "\x81"
	switch {
	case bytes.Equal(known, mustEncode(true)):
		return mustEncode(false)
	case bytes.Equal(known, mustEncode(false)):
		return mustEncode(true)
	case known[0]>>majorTypeShift == majorTypeUnsigned:
		return mustEncode(a.random.Uint64())
	}
	candidates := []wire.RawMessage{
		mustEncode("unknown"),
		mustEncode(a.random.IntN(10)),
		mustEncode(nil),
		mustEncode([]any{}),
		mustEncode(map[string]any{"id": 1}),
		mustEncode(strings.Repeat("x", 500)),
		wire.RawMessage("\xf9\x7e\x00"), // NaN
		append(wire.RawMessage("\xc2\x49"), bytes.Repeat([]byte{0xff}, 9)...), // an integer of 72 bits
		wire.RawMessage(strings.Repeat(listOfOne, unknownFieldDepth) + emptyList),
	}
	return candidates[a.random.IntN(len(candidates))]
}

// mustEncode encodes a value. It panics if that fails, which it cannot for the values in this package.
func mustEncode(v any) wire.RawMessage {
	b, err := wire.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// mustDecode decodes a value that was encoded in this process. It panics if that fails.
func mustDecode(b wire.RawMessage, v any) {
	if err := wire.Unmarshal(b, v); err != nil {
		panic(err)
	}
}
