package wire

import (
	"bytes"
	"math"
	"slices"
	"strings"
	"testing"
)

// TestReadBody checks which bodies are within the size limit, both as CBOR and as JSON.
func TestReadBody(t *testing.T) {
	text := func(n int) string {
		b, err := Marshal(map[string]string{"x": strings.Repeat("a", n)})
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	floats := make([]float64, 5000) // 45 KB as CBOR, over 64 KiB as JSON
	for i := range floats {
		floats[i] = math.Pi * float64(i+1)
	}
	b, err := Marshal(map[string]any{"x": floats})
	if err != nil {
		t.Fatal(err)
	}
	heartbeat := func(tasks int) string {
		message := Heartbeat{MachineID: "i-000001", Tasks: make([]TaskStatus, tasks)}
		for i := range message.Tasks {
			message.Tasks[i] = TaskStatus{TaskID: "j-000412/123", Attempt: 7, State: TaskRunning}
		}
		b, err := Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	cases := []struct {
		name, body string
		ok         bool
	}{
		{"a small body", text(100), true},
		{"a heartbeat with many tasks", heartbeat(1000), true},
		{"a heartbeat with too many tasks", heartbeat(2000), false},
		{"just under the limit as CBOR", text(MaxBodyBytes - 100), true},
		{"over the limit as CBOR", text(MaxBodyBytes), false},
		{"over the limit as JSON only", string(b), false},
		{"over the limit as JSON only, with a value that JSON lacks", string(marshal(t, map[string]any{"x": floats, "y": math.NaN()})), false},
		{"a value that JSON lacks", string(marshal(t, map[string]any{"x": strings.Repeat("a", MaxBodyBytes/2), "y": math.NaN()})), true},
		{"a list with values that JSON lacks", string(marshal(t, map[string]any{"x": slices.Repeat([]float64{math.Inf(1)}, 6000)})), true},
	}
	for _, c := range cases {
		if _, err := ReadBody(strings.NewReader(c.body)); (err == nil) != c.ok {
			t.Errorf("%s: got error %v, want an error: %v", c.name, err, !c.ok)
		}
	}
}

// nestedLists returns the CBOR encoding of lists that are nested to the given number of levels.
func nestedLists(levels int) RawMessage {
	const listOfOne, emptyList = "\x81", "\x80"
	return RawMessage(strings.Repeat(listOfOne, levels-1) + emptyList)
}

// TestUnknownFieldsOfAnyValue guards against a message that is rejected because of the value of an unknown field. Each
// value is in an unknown field of a submission and of a heartbeat.
func TestUnknownFieldsOfAnyValue(t *testing.T) {
	for _, c := range []struct {
		name  string
		value RawMessage
	}{
		{"null", RawMessage{0xf6}},
		{"undefined", RawMessage{0xf7}},
		{"a simple value without meaning", RawMessage{0xf8, 0xff}},
		{"NaN", RawMessage{0xf9, 0x7e, 0x00}},
		{"infinity", RawMessage{0xf9, 0x7c, 0x00}},
		{"an integer over 64 bits", append(RawMessage{0xc2, 0x49}, bytes.Repeat([]byte{0xff}, 9)...)},
		{"an unknown tag", RawMessage{0xd9, 0xff, 0x00, 0x01}},
		{"text that is not UTF-8", RawMessage{0x61, 0xff}},
		{"a map whose keys are numbers, one of them twice", RawMessage{0xa2, 0x01, 0x01, 0x01, 0x02}},
		{"a list of unknown length", RawMessage{0x9f, 0x01, 0xff}},
		{"lists on 20 levels", nestedLists(20)},
		{"lists on 1000 levels", nestedLists(1000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			submission := validSubmission()
			submission["colour"] = c.value
			if _, err := ParseJob(marshal(t, submission)); err != nil {
				t.Errorf("submission: got error %v, want none", err)
			}
			body := marshal(t, map[string]any{"host": "i-000001", "colour": c.value, "shift": 1})
			var heartbeat Heartbeat
			if err := Unmarshal(body, &heartbeat); err != nil || heartbeat.MachineID != "i-000001" || heartbeat.Incarnation != 1 {
				t.Errorf("heartbeat: got %+v, error %v, want its fields and no error", heartbeat, err)
			}
		})
	}
}

// marshal encodes a value, or fails the test.
func marshal(t *testing.T, v any) []byte {
	t.Helper()
	b, err := Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestDecodedJSONSize checks that the size of a decoded value is that of its JSON, with null for what JSON lacks.
func TestDecodedJSONSize(t *testing.T) {
	for _, c := range []struct{ value, inJSON any }{
		{map[string]any{}, map[string]any{}},
		{[]any{}, []any{}},
		{map[string]any{"a": []any{1, "<", nil, true}, "b": map[string]any{"c": 1.5}}, map[string]any{"a": []any{1, "<", nil, true}, "b": map[string]any{"c": 1.5}}},
		{[]any{math.NaN(), math.Inf(-1)}, []any{nil, nil}},
		{map[string]any{"x": []any{math.NaN()}}, map[string]any{"x": []any{nil}}},
	} {
		if got, want := decodedJSONSize(c.value), JSONSize(c.inJSON); got != want {
			t.Errorf("size of %v: got %d, want %d", c.value, got, want)
		}
	}
}
