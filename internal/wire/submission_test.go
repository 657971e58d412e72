package wire

import (
	"fmt"
	"maps"
	"math"
	"testing"
)

// validSubmission returns a valid submission that contains every field.
func validSubmission() map[string]any {
	return map[string]any{
		"id": "j-000412", "lane": "train", "desk": "vision", "shape": "sweep", "rank": "urgent", "pieces": 16, "vcpus": 8.0,
		"cards": 1.0, "memory_gb": 64.0, "bundle": "img-07", "pull_gb": 6.2, "builds": []string{"g8"}, "hall": nil,
		"together": true, "scatter": false, "standby": true, "expect_s": 240.0, "save_every_s": 30.0, "store_s": 4.0, "due_s": 900.0,
	}
}

// TestParseJob checks which submissions are accepted as valid.
func TestParseJob(t *testing.T) {
	set := func(key string, v any) func(map[string]any) { return func(m map[string]any) { m[key] = v } }
	drop := func(key string) func(map[string]any) { return func(m map[string]any) { delete(m, key) } }
	cases := []struct {
		name string
		edit func(map[string]any)
		ok   bool
	}{
		{"every field", func(map[string]any) {}, true},
		{"an unknown field", set("colour", "red"), true},
		{"an integer for an amount", set("vcpus", 8), true},
		{"optional fields left out", func(m map[string]any) { delete(m, "hall"); delete(m, "builds"); delete(m, "due_s") }, true},
		{"no id", drop("id"), false},
		{"a malformed id", set("id", "x-000412"), false},
		{"a valid id with a suffix", set("id", "j-000412/3"), false},
		{"an unknown shape", set("shape", "blob"), false},
		{"an unknown rank", set("rank", "vip"), false},
		{"no tasks", set("pieces", 0), false},
		{"too many tasks", set("pieces", MaxTasks+1), false},
		{"a fractional number of tasks", set("pieces", 1.5), false},
		{"a string for a number", set("vcpus", "8"), false},
		{"a negative amount", set("memory_gb", -1.0), false},
		{"NaN", set("expect_s", math.NaN()), false},
		{"infinity", set("pull_gb", math.Inf(1)), false},
		{"a negative deadline", set("due_s", -3.0), false},
		{"a missing flag", drop("together"), false},
		{"null for a flag", set("scatter", nil), false},
		{"no team", drop("desk"), false},
		{"an empty list of instance types", set("builds", []string{}), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := validSubmission()
			c.edit(m)
			b, err := Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := ParseJob(b); (err == nil) != c.ok {
				t.Errorf("got error %v, want an error: %v", err, !c.ok)
			}
		})
	}
	for _, raw := range []any{[]int{1}, "text", 7, nil} {
		b, err := Marshal(raw)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseJob(b); err == nil {
			t.Errorf("%v was parsed as a job, want an error", raw)
		}
	}
	if _, err := ParseJob([]byte(`{"id":"j-000001"}`)); err == nil {
		t.Error("a JSON body was parsed as a job, want an error")
	}
}

// TestSubmissionErrors checks the error texts for invalid submissions. If several fields are invalid, the text must be
// about the first one, in the order of submission.job and then of submission.check.
func TestSubmissionErrors(t *testing.T) {
	cases := []struct {
		name   string
		fields map[string]any // replace the valid values; nil: missing
		want   string
	}{
		{"a missing string", map[string]any{"lane": nil}, "lane is missing"},
		{"an empty string", map[string]any{"bundle": ""}, "bundle is missing"},
		{"an empty zone", map[string]any{"hall": ""}, "hall is missing"},
		{"a missing number", map[string]any{"cards": nil}, "cards is missing"},
		{"a negative number", map[string]any{"cards": -1.0}, "cards is out of range"},
		{"the maximum number", map[string]any{"expect_s": 1e12}, "<nil>"},
		{"a number that is too large", map[string]any{"expect_s": 1.1e12}, "expect_s is out of range"},
		{"NaN", map[string]any{"due_s": math.NaN()}, "due_s is out of range"},
		{"a missing flag", map[string]any{"scatter": nil}, "scatter is missing"},
		{"an invalid ID", map[string]any{"id": "j-1"}, "id is not in the form j-000000"},
		{"an unknown kind", map[string]any{"shape": "blob"}, "shape is unknown"},
		{"an unknown priority", map[string]any{"rank": "vip"}, "rank is unknown"},
		{"no number of tasks", map[string]any{"pieces": nil}, "pieces is missing"},
		{"no tasks", map[string]any{"pieces": 0}, "pieces is out of range"},
		{"no instance types", map[string]any{"builds": []string{}}, "builds is empty"},
		{"two missing strings", map[string]any{"rank": nil, "desk": nil}, "desk is missing"},
		{"a missing flag and an invalid number before it", map[string]any{"together": nil, "pull_gb": -1.0}, "pull_gb is out of range"},
		{"an invalid zone and an invalid number after it", map[string]any{"hall": "", "store_s": -1.0}, "store_s is out of range"},
		{"an invalid ID and a missing field", map[string]any{"id": "j-1", "standby": nil}, "standby is missing"},
		{"an invalid deadline and no number of tasks", map[string]any{"pieces": nil, "due_s": -1.0}, "due_s is out of range"},
		{"an unknown kind and an unknown priority", map[string]any{"shape": "blob", "rank": "vip"}, "shape is unknown"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			submission := validSubmission()
			maps.Copy(submission, c.fields)
			body, err := Marshal(submission)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := ParseJob(body); fmt.Sprint(err) != c.want {
				t.Errorf("got error %v, want %s", err, c.want)
			}
		})
	}
}
