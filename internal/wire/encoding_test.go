package wire

import (
	"math"
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
	}
	for _, c := range cases {
		if _, err := ReadBody(strings.NewReader(c.body)); (err == nil) != c.ok {
			t.Errorf("%s: got error %v, want an error: %v", c.name, err, !c.ok)
		}
	}
}
