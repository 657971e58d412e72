package zoneloss

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"caperlatch/internal/sim/checker"
)

// testRun returns a run in which more tasks of a class wait than before from a cut at 100 s until
// untilS, and n tasks wait for 1 s, 2 s, and so on.
func testRun(t *testing.T, policy bool, seed uint64, untilS, n int) *Run {
	t.Helper()
	r := NewRun(Scenario{Pattern: "cut", ZonePolicy: policy, MaxMachines: 400}, seed)
	r.FirstCutAt, r.Cost, r.RepeatedWorkS, r.LaunchedMachines, r.UnusedMachines = 100*time.Second, 10, 50, 8, 2
	for at := 60; at < 300; at++ {
		waiting := 20
		if at > 100 && at <= untilS {
			waiting = 200
		}
		r.Samples = append(r.Samples, checker.Sample{At: time.Duration(at) * time.Second, Waiting: map[string]int{"scan": waiting}, Running: map[string]int{"a": 300}})
	}
	for s := 1; s <= n; s++ {
		if err := r.AddWait("scan", float64(s)); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

// TestReport checks the summaries of runs whose figures are known, and that the report shows every
// run and class.
func TestReport(t *testing.T) {
	runs := []*Run{testRun(t, false, 1, 150, 50), testRun(t, true, 1, 120, 10), testRun(t, false, 2, 170, 100)}
	groups, err := Summarize(runs)
	if err != nil || len(groups) != 2 {
		t.Fatalf("%d groups, %v", len(groups), err)
	}
	off, on := groups[0], groups[1]
	if off.ZonePolicy || !on.ZonePolicy || off.Runs != 2 || on.Runs != 1 || off.Cost != 10 || off.LaunchedMachines != 8 || off.UnusedMachines != 2 || off.RepeatedWorkS != 50 {
		t.Errorf("groups %v and %v", off, on)
	}
	isNear := func(got, want float64) bool { return math.Abs(got-want) <= 2*accuracy*want+1 }
	if c := off.Classes[0]; c.MeanRecoveryS != 69 || c.MaxRecoveryS != 79 || c.WaitsMeasured != 150 || !isNear(c.MedianS, 38) || !isNear(c.P99S, 99) || !isNear(c.LongestWaitS, 100) {
		t.Errorf("off: %+v", c)
	}
	if c := on.Classes[0]; c.MeanRecoveryS != 29 || !isNear(c.MedianS, 5) {
		t.Errorf("on: %+v", c)
	}
	if s, err := testRun(t, true, 3, 0, 1).Recovery("scan"); s != 0 || err != nil {
		t.Errorf("a class whose tasks never waited for long recovered after %v s (%v)", s, err)
	}
	var out bytes.Buffer
	if err := WriteHTML(&out, runs); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"cut, policy off, 400 machines, 2 runs", "cut, policy on, 400 machines, seed 1", "median wait", "scan", "tasks on machines by zone"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the report lacks %q", want)
		}
	}
	runs[0].Samples = runs[0].Samples[60:]
	if _, err := Summarize(runs); !errors.Is(err, ErrNoBaseline) {
		t.Errorf("a run without samples before its cut: error %v", err)
	}
}
