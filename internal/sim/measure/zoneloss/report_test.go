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

// newTestRun returns a run with a cut at 100 s. Up to that time, and again after recoveredAtS, 20 tasks of the class scan
// wait; in between, 200 wait. The run contains the given number of waiting times: 1 s, 2 s, and so on.
func newTestRun(t *testing.T, policy bool, seed uint64, recoveredAtS, waits int) *Run {
	t.Helper()
	r := NewRun(Scenario{Pattern: "cut", ZonePolicy: policy, MaxMachines: 400}, seed)
	r.FirstCutAt, r.Cost, r.RepeatedWorkS, r.LaunchedMachines, r.UnusedMachines = 100*time.Second, 10, 50, 8, 2
	for at := 60; at < 300; at++ {
		waiting := 20
		if at > 100 && at <= recoveredAtS {
			waiting = 200
		}
		r.Samples = append(r.Samples, checker.Sample{At: time.Duration(at) * time.Second, Waiting: map[string]int{"scan": waiting}, Running: map[string]int{"a": 300}})
	}
	for s := 1; s <= waits; s++ {
		if err := r.AddWait("scan", float64(s)); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

// TestSummarizeAndWriteHTML checks summaries of runs with known statistics, and that the report contains the scenarios,
// the runs, the class and the charts. It also checks that a run without samples before the cut is rejected.
func TestSummarizeAndWriteHTML(t *testing.T) {
	runs := []*Run{newTestRun(t, false, 1, 150, 50), newTestRun(t, true, 1, 120, 10), newTestRun(t, false, 2, 170, 100)}
	groups, err := Summarize(runs)
	if err != nil || len(groups) != 2 {
		t.Fatalf("got %d groups and error %v, want 2 groups", len(groups), err)
	}
	off, on := groups[0], groups[1]
	if off.ZonePolicy || !on.ZonePolicy || off.Runs != 2 || on.Runs != 1 || off.Cost != 10 || off.LaunchedMachines != 8 || off.UnusedMachines != 2 || off.RepeatedWorkS != 50 {
		t.Errorf("got groups %v and %v, want 2 runs with the policy off and one with it on", off, on)
	}
	isNear := func(got, want float64) bool { return math.Abs(got-want) <= 2*waitQuantileAccuracy*want+1 }
	if c := off.Classes[0]; c.MeanRecoveryS != 69 || c.MaxRecoveryS != 79 || c.WaitsMeasured != 150 || !isNear(c.MedianS, 38) || !isNear(c.P99S, 99) || !isNear(c.LongestWaitS, 100) {
		t.Errorf("got class %+v with the policy off, want recovery after 69 s on average and 79 s at most, and 150 waits: median 38 s, 99%% 99 s, longest 100 s", c)
	}
	if c := on.Classes[0]; c.MeanRecoveryS != 29 || !isNear(c.MedianS, 5) {
		t.Errorf("got class %+v with the policy on, want recovery after 29 s and a median wait of 5 s", c)
	}
	if s, err := newTestRun(t, true, 3, 0, 1).Recovery("scan"); s != 0 || err != nil {
		t.Errorf("got recovery after %v s and error %v for a class that was never above its baseline, want 0 s", s, err)
	}
	var out bytes.Buffer
	if err := WriteHTML(&out, runs); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"cut, policy off, 400 machines, 2 runs", "cut, policy on, 400 machines, seed 1", "median wait", "scan", "tasks on machines by zone"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the report does not contain %q", want)
		}
	}
	runs[0].Samples = runs[0].Samples[60:]
	if _, err := Summarize(runs); !errors.Is(err, ErrNoBaseline) {
		t.Errorf("got error %v for a run without samples before its cut, want %v", err, ErrNoBaseline)
	}
}
