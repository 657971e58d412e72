package wire

import (
	"fmt"
	"slices"
	"testing"
)

// encodedPair is an encoded key of a map with its encoded value.
type encodedPair struct{ key, value []byte }

// submissionPairs returns the encoded pairs of a valid submission.
func submissionPairs(t *testing.T) (pairs []encodedPair) {
	t.Helper()
	for key, value := range validSubmission() {
		pairs = append(pairs, encodedPair{marshal(t, key), marshal(t, value)})
	}
	return pairs
}

// Heads of CBOR maps, and the mark that ends a map of unknown length.
const (
	headWithLengthByte  = 0xb8
	headWithLengthBytes = 0xb9
	headWithoutLength   = 0xbf
	endMark             = 0xff
)

// TestSubmissionKeys guards against a submission that can be read in two ways: with a field twice, or with keys that are
// not strings. Unknown fields must be ignored, also if they are repeated.
func TestSubmissionKeys(t *testing.T) {
	text := func(v string) []byte { return marshal(t, v) }
	pairsOf := func(pairs ...encodedPair) []encodedPair { return pairs }
	zone := encodedPair{text("hall"), text("a")}
	for _, c := range []struct {
		name  string
		first []encodedPair
		last  []encodedPair
		want  string
	}{
		{"valid", nil, nil, "<nil>"},
		{"a field twice, first of all", pairsOf(zone), nil, "hall is repeated"},
		{"a field twice, last of all", nil, pairsOf(zone), "hall is repeated"},
		{"a field twice with the same value", nil, pairsOf(encodedPair{text("id"), text("j-000412")}), "id is repeated"},
		{"an unknown field twice", pairsOf(encodedPair{text("Hall"), text("a")}), pairsOf(encodedPair{text("Hall"), text("b")}), "<nil>"},
		{"an unknown field three times, with a map", pairsOf(encodedPair{text("x"), marshal(t, map[string]int{"hall": 1})}, encodedPair{text("x"), text("hall")}), pairsOf(encodedPair{text("x"), text("y")}), "<nil>"},
		{"a number for a key", pairsOf(encodedPair{marshal(t, 1), text("a")}), nil, errKeyNotText.Error()},
		{"a negative number for a key", nil, pairsOf(encodedPair{marshal(t, -1), text("a")}), errKeyNotText.Error()},
	} {
		t.Run(c.name, func(t *testing.T) {
			pairs := slices.Concat(c.first, submissionPairs(t), c.last)
			var content []byte
			for _, p := range pairs {
				content = slices.Concat(content, p.key, p.value)
			}
			for _, body := range [][]byte{
				slices.Concat([]byte{headWithLengthByte, byte(len(pairs))}, content),
				slices.Concat([]byte{headWithLengthBytes, 0, byte(len(pairs))}, content),
				slices.Concat([]byte{headWithoutLength}, content, []byte{endMark}),
			} {
				if _, err := ParseJob(body); fmt.Sprint(err) != c.want {
					t.Errorf("body that begins with %x: got error %v, want %s", body[0], err, c.want)
				}
				// A repeated submission is answered by its ID alone.
				if id := ParseSubmissionID(body); id != "j-000412" {
					t.Errorf("body that begins with %x: got ID %q, want j-000412", body[0], id)
				}
			}
		})
	}
}
