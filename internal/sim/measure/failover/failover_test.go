package failover

import (
	"math"
	"path/filepath"
	"reflect"
	"testing"

	"caperlatch/internal/micros"
)

// TestHistory writes a history and reads it back.
func TestHistory(t *testing.T) {
	want := []Change{
		{Run: "a", Number: 1, Mode: Cold, Cause: Killed, Machines: 200, LeaderElected: 3 * micros.Second, FirstNewStart: 4 * micros.Second, FirstOldResumed: Missing},
		{Run: "b", Number: 2, Mode: Warm, Cause: Planned, Machines: 4000, LeaderElected: 1, FirstNewStart: 2, FirstOldResumed: 3, OldLeaderFrozen: 4},
	}
	path := filepath.Join(t.TempDir(), "history.parquet")
	if err := Write(path, want); err != nil {
		t.Fatal(err)
	}
	got, err := Read(path)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v (%v), want %+v", got, err, want)
	}
	if _, err := Read(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a history that is not there was read")
	}
	if err := Write(filepath.Join(t.TempDir(), "no", "such"), want); err == nil {
		t.Error("a history was written to nowhere")
	}
	groups, order := GroupChanges(got)
	if len(order) != 2 || order[0].Machines != 200 || len(groups[order[1]]) != 1 {
		t.Errorf("groups %v", order)
	}
}

// TestSummarize summarizes samples whose figures are known.
func TestSummarize(t *testing.T) {
	seconds := func(values ...float64) (times []micros.Micros) {
		for _, v := range values {
			times = append(times, micros.FromSeconds(v))
		}
		return times
	}
	near := func(got, want float64) bool { return math.Abs(got-want) < 0.01*math.Max(1, math.Abs(want)) }
	s := Summarize(append(seconds(1, 2, 3, 4, 5), Missing))
	// Student's quantile for four degrees of freedom is 2.776, the standard error 0.7071.
	if s.Count != 5 || s.Missing != 1 || !near(s.Median.Seconds(), 3) || !near(s.Max.Seconds(), 5) ||
		!near(s.Mean, 3) || !near(s.MeanLow, 3-1.963) || !near(s.MeanHigh, 3+1.963) {
		t.Errorf("%+v", s)
	}
	if s := Summarize(nil); s.Count != 0 || !math.IsNaN(s.Mean) {
		t.Errorf("of nothing: %+v", s)
	}
	if s := Summarize(seconds(7)); !near(s.Mean, 7) || !math.IsNaN(s.MeanLow) {
		t.Errorf("of one: %+v", s)
	}
	if s := Summarize(seconds(5000)); s.Count != 1 || s.Max < 590*micros.Second {
		t.Errorf("of one that is too long: %+v", s)
	}
	ratio, low, high := Ratio(seconds(2, 2.2, 1.8, 2.1), seconds(1, 1.1, 0.9, 1.05))
	if !near(ratio, 2) || low >= 2 || high <= 2 || low < 1.5 || high > 2.6 {
		t.Errorf("ratio %v in %v to %v", ratio, low, high)
	}
	if ratio, _, _ := Ratio(seconds(2), seconds(1, 1)); !math.IsNaN(ratio) {
		t.Errorf("ratio of too few: %v", ratio)
	}
	if ratio, low, high := Ratio(seconds(2, 2), seconds(1, 1)); !near(ratio, 2) || low != high {
		t.Errorf("ratio of equals: %v in %v to %v", ratio, low, high)
	}
}
