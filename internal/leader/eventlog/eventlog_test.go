package eventlog

import (
	"bytes"
	"log/slog"
	"maps"
	"testing"
)

// captureLog redirects the default logger to the returned buffer, without times and levels, until the test
// ends.
func captureLog(t *testing.T) *bytes.Buffer {
	t.Helper()
	before := slog.Default()
	t.Cleanup(func() { slog.SetDefault(before) })
	out := &bytes.Buffer{}
	slog.SetDefault(slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey || a.Key == slog.LevelKey {
			return slog.Attr{}
		}
		return a
	}})))
	return out
}

// TestFlushWritesOneLinePerKind checks that each kind of event is logged once, as one line that names only a
// few of its machines.
func TestFlushWritesOneLinePerKind(t *testing.T) {
	type event struct{ message, detail, machine string }
	cases := []struct {
		name   string
		events []event
		counts map[string]int
		lines  string
	}{
		{"none", nil, map[string]int{}, ""},
		{"one without a detail", []event{{"lease expired", "", "i-1"}}, map[string]int{"lease expired": 1},
			"msg=\"lease expired\" count=1 example_machines=i-1\n"},
		{"one of two kinds", []event{{"terminating", "silent", "i-1"}, {"terminating", "did not boot", "i-2"}},
			map[string]int{"terminating silent": 1, "terminating did not boot": 1},
			"msg=terminating count=1 example_machines=i-2 reason=\"did not boot\"\nmsg=terminating count=1 example_machines=i-1 reason=silent\n"},
		{"more machines than are named", []event{{"launched", "", "i-1"}, {"launched", "", "i-2"}, {"launched", "", "i-3"}, {"launched", "", "i-4"},
			{"launched", "", "i-5"}, {"launched", "", "i-6"}, {"launched", "", "i-7"}}, map[string]int{"launched": 7},
			"msg=launched count=7 example_machines=\"i-1 i-2 i-3 i-4 i-5 and 2 more\"\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			out := captureLog(t)
			l := New()
			for _, e := range c.events {
				l.Add(e.message, e.detail, e.machine)
			}
			if got := l.Counts(); !maps.Equal(got, c.counts) {
				t.Errorf("counted %v, want %v", got, c.counts)
			}
			l.Flush()
			if got := out.String(); got != c.lines {
				t.Errorf("logged %s, want %s", got, c.lines)
			}
			out.Reset()
			l.Flush()
			if got := out.String(); got != "" || len(l.Counts()) != 0 {
				t.Errorf("second Flush logged %q with %d counts left, want none", got, len(l.Counts()))
			}
		})
	}
}
