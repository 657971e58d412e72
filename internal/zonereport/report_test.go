package zonereport

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"testing"
)

// testRun has a class wait for more than usual from a cut at 100 s until a moment, and tasks
// wait from 1 s to n s.
func testRun(t *testing.T, policy bool, seed uint64, until float64, n int) *Run {
	t.Helper()
	r := NewRun("cut", policy, 400, seed)
	r.CutS, r.RestoreS, r.Money, r.RepeatedS, r.Rented, r.Unused = 100, 140, 10, 50, 8, 2
	for at := 60.0; at < 300; at++ {
		waiting := 20
		if at > 100 && at <= until {
			waiting = 200
		}
		r.Samples = append(r.Samples, Sample{AtS: at, Waiting: map[string]int{"scan": waiting}, Busy: map[string]int{"a": 300, "b": 10}})
	}
	for s := 1; s <= n; s++ {
		if err := r.AddWait("scan", float64(s)); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

// TestSummarize merges runs of a kind, whose waits are known.
func TestSummarize(t *testing.T) {
	runs := []*Run{testRun(t, false, 1, 150, 50), testRun(t, true, 1, 120, 10), testRun(t, false, 2, 170, 100)}
	groups, err := Summarize(runs)
	if err != nil || len(groups) != 2 {
		t.Fatalf("%d groups, %v", len(groups), err)
	}
	off, on := groups[0], groups[1]
	if off.Policy || !on.Policy || off.Runs != 2 || on.Runs != 1 || off.Money != 10 || off.Rented != 8 || off.Unused != 2 || off.RepeatedS != 50 {
		t.Errorf("groups %+v and %+v", off, on)
	}
	near := func(got, want float64) bool { return math.Abs(got-want) <= 2*accuracy*want+1 }
	if c := off.Classes[0]; c.RecoveryS != 69 || c.RecoveryMostS != 79 || c.WaitsMeasured != 150 || !near(c.MedianS, 38) || !near(c.P99S, 99) || !near(c.LongestWaitS, 100) {
		t.Errorf("off: %+v", c)
	}
	if c := on.Classes[0]; c.RecoveryS != 29 || !near(c.MedianS, 5) {
		t.Errorf("on: %+v", c)
	}
	if never := testRun(t, true, 3, 0, 1); true {
		if s, err := never.Recovery("scan"); s != 0 || err != nil {
			t.Errorf("a class that never waited for long recovered after %v s (%v)", s, err)
		}
	}
	short := testRun(t, true, 4, 120, 1)
	short.Samples = short.Samples[60:]
	if _, err := Summarize([]*Run{short}); !errors.Is(err, ErrTooShort) {
		t.Errorf("a run without samples before its cut: %v", err)
	}
}

// TestWriteHTML writes a report that shows every run and class.
func TestWriteHTML(t *testing.T) {
	var out bytes.Buffer
	if err := WriteHTML(&out, []*Run{testRun(t, false, 1, 150, 50), testRun(t, true, 1, 120, 10)}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"cut, policy off, 400 machines, 1 runs", "cut, policy on, 400 machines, seed 1", "median wait", "scan", "tasks on machines by zone"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the report does not show %q", want)
		}
	}
}
