package wire

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
)

// errKeyNotText means that a map in a message has a key that is not a string.
var errKeyNotText = errors.New("a key is not a text")

// submissionFields are the names of all fields of a submission.
var submissionFields = func() map[string]bool {
	fields := map[string]bool{}
	for _, f := range reflect.VisibleFields(reflect.TypeFor[submission]()) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		fields[name] = true
	}
	return fields
}()

// checkSubmissionKeys returns an error if a submission, which must be a map, has a key that is not a string, or a field
// of a submission more than once: it cannot be told which of the values its user means. Unknown fields may be repeated.
func checkSubmissionKeys(body []byte) error {
	pairs, err := mapPairs(body)
	if err != nil {
		return err
	}
	seen := map[string]bool{}
	for len(pairs) > 0 {
		var key string
		if pairs, err = decoder.UnmarshalFirst(pairs, &key); err != nil {
			return errKeyNotText
		}
		if submissionFields[key] && seen[key] {
			return fmt.Errorf("%s is repeated", key)
		}
		seen[key] = true
		var value RawMessage
		if pairs, err = decoder.UnmarshalFirst(pairs, &value); err != nil {
			return err
		}
	}
	return nil
}

// The major type of a CBOR value is in the top three bits of its first byte. The other bits tell the length of the head
// or, for a map of unknown length, that a byte marks the end.
const (
	cborMap        = 5
	majorTypeShift = 5
	lowBits        = 1<<majorTypeShift - 1
	unknownLength  = 31
)

// errNotMap means that a body is not a map.
var errNotMap = errors.New("not a map")

// mapPairs returns the encoded keys and values of a well-formed CBOR map, without the map's head and end mark.
func mapPairs(body []byte) ([]byte, error) {
	if len(body) == 0 || body[0]>>majorTypeShift != cborMap {
		return nil, errNotMap
	}
	// Numbers of bytes that follow the first byte of the head, by its low bits. Smaller ones are the length themselves.
	lengthBytes := map[byte]int{24: 1, 25: 2, 26: 4, 27: 8}
	low := body[0] & lowBits
	if low == unknownLength {
		return body[1 : len(body)-1], nil
	}
	return body[1+lengthBytes[low]:], nil
}
