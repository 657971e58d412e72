package wire

import (
	"math"
	"strings"
	"testing"
)

func good() map[string]any {
	return map[string]any{
		"id": "j-000412", "lane": "train", "desk": "vision", "shape": "sweep", "rank": "urgent", "pieces": 16, "vcpus": 8.0,
		"cards": 1.0, "memory_gb": 64.0, "bundle": "img-07", "pull_gb": 6.2, "builds": []string{"g8"}, "hall": nil,
		"together": true, "scatter": false, "standby": true, "expect_s": 240.0, "save_every_s": 30.0, "store_s": 4.0, "due_s": 900.0,
	}
}

func TestParseJob(t *testing.T) {
	set := func(key string, v any) func(map[string]any) { return func(m map[string]any) { m[key] = v } }
	drop := func(key string) func(map[string]any) { return func(m map[string]any) { delete(m, key) } }
	cases := []struct {
		name string
		edit func(map[string]any)
		ok   bool
	}{
		{"as it should be", func(map[string]any) {}, true},
		{"an unknown field", set("colour", "red"), true},
		{"whole numbers for amounts", set("vcpus", 8), true},
		{"nulls left out", func(m map[string]any) { delete(m, "hall"); delete(m, "builds"); delete(m, "due_s") }, true},
		{"no id", drop("id"), false},
		{"a bad id", set("id", "x-000412"), false},
		{"an id with more behind it", set("id", "j-000412/3"), false},
		{"an unknown shape", set("shape", "blob"), false},
		{"an unknown rank", set("rank", "vip"), false},
		{"no tasks", set("pieces", 0), false},
		{"too many tasks", set("pieces", MaxTasks+1), false},
		{"half a task", set("pieces", 1.5), false},
		{"text for a number", set("vcpus", "8"), false},
		{"a negative amount", set("memory_gb", -1.0), false},
		{"NaN", set("expect_s", math.NaN()), false},
		{"infinity", set("pull_gb", math.Inf(1)), false},
		{"a negative deadline", set("due_s", -3.0), false},
		{"a missing flag", drop("together"), false},
		{"null for a flag", set("scatter", nil), false},
		{"no team", drop("desk"), false},
		{"an empty list of types", set("builds", []string{}), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := good()
			c.edit(m)
			b, err := Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := ParseJob(b); (err == nil) != c.ok {
				t.Errorf("error %v, want ok %v", err, c.ok)
			}
		})
	}
	for _, raw := range []any{[]int{1}, "text", 7, nil} {
		b, err := Marshal(raw)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseJob(b); err == nil {
			t.Errorf("%v was taken for a job", raw)
		}
	}
	if _, err := ParseJob([]byte(`{"id":"j-000001"}`)); err == nil {
		t.Error("JSON was taken for CBOR")
	}
}

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
	report := func(tasks int) string {
		r := Heartbeat{MachineID: "i-000001", Tasks: make([]TaskStatus, tasks)}
		for i := range r.Tasks {
			r.Tasks[i] = TaskStatus{TaskID: "j-000412/123", Attempt: 7, State: TaskRunning}
		}
		b, err := Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	cases := []struct {
		name, body string
		ok         bool
	}{
		{"small", text(100), true},
		{"a machine with many tasks", report(1000), true},
		{"a machine with too many", report(2000), false},
		{"just under", text(MaxBodyBytes - 100), true},
		{"over", text(MaxBodyBytes), false},
		{"over as JSON only", string(b), false},
	}
	for _, c := range cases {
		if _, err := ReadBody(strings.NewReader(c.body)); (err == nil) != c.ok {
			t.Errorf("%s: error %v, want ok %v", c.name, err, c.ok)
		}
	}
}

// TestKnownWords has the protocol's words for states and causes be known, and no others.
func TestKnownWords(t *testing.T) {
	cases := []struct {
		word         string
		state, cause bool
	}{
		{"pulling", true, false}, {"waiting", true, false}, {"running", true, false}, {"flushing", true, false}, {"ended", true, false},
		{"done", false, true}, {"stopped", false, true}, {"error", false, true}, {"no_room", false, true}, {"busy", false, true},
		{"no_such", false, true}, {"peers", false, true}, {"incomplete", false, true},
		{"", false, false}, {"Waiting", false, false}, {"boredom", false, false},
	}
	for _, c := range cases {
		if state, cause := IsKnownTaskState(c.word), IsKnownExitReason(c.word); state != c.state || cause != c.cause {
			t.Errorf("%q: a state %t, a cause %t", c.word, state, cause)
		}
	}
}
