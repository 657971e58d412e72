package main

import (
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"
)

// TestReadJobDescription guards against a job that is submitted otherwise than its file says: with one of two values of a
// repeated key, or without what follows the description.
func TestReadJobDescription(t *testing.T) {
	for _, c := range []struct {
		name, content string
		want          map[string]any
		wantErr       string // the beginning of the error, after the file's name
	}{
		{"integers and decimals", `{"pieces":3,"vcpus":1.5}`, map[string]any{"pieces": int64(3), "vcpus": 1.5}, ""},
		{"keys that differ in case", `{"hall":"a","Hall":"b"}`, map[string]any{"hall": "a", "Hall": "b"}, ""},
		{"a nested value", `{"x":{"hall":[null,"a"]},"hall":"b"}`, map[string]any{"x": map[string]any{"hall": []any{nil, "a"}}, "hall": "b"}, ""},
		{"a repeated key", `{"hall":"a","pieces":1,"hall":"b"}`, nil, "hall is repeated"},
		{"two descriptions", `{"pieces":3}{"pieces":4}`, nil, errMoreThanOne.Error()},
		{"a list", `[{"pieces":3}]`, nil, errNotObject.Error()},
		{"null", `null`, nil, errNotObject.Error()},
		{"an empty file", ``, nil, "EOF"},
		{"the end is missing", `{"pieces":3`, nil, io.ErrUnexpectedEOF.Error()},
		{"a number that is too large", `{"pieces":1e999}`, nil, "pieces: "},
	} {
		t.Run(c.name, func(t *testing.T) {
			job, err := readJobDescription(strings.NewReader(c.content), "-")
			if c.wantErr == "" && (err != nil || !reflect.DeepEqual(job, c.want)) {
				t.Errorf("got %v, error %v, want %v", job, err, c.want)
			}
			if c.wantErr != "" && !strings.HasPrefix(fmt.Sprint(err), "-: "+c.wantErr) {
				t.Errorf("got %v, error %v, want an error that begins with %q", job, err, c.wantErr)
			}
		})
	}
}
