package failover

import (
	"math"
	"path/filepath"
	"reflect"
	"testing"

	"caperlatch/internal/micros"
)

// TestHistory checks that failovers are written to a file, read back, and grouped by their kind.
func TestHistory(t *testing.T) {
	want := []Change{
		{Run: "a", Number: 1, Mode: Cold, Cause: Killed, Machines: 200, LeaderElected: 3 * micros.Second, FirstNewJobStarted: 4 * micros.Second, FirstOldJobResumed: Missing},
		{Run: "b", Number: 2, Mode: Warm, Cause: Planned, Machines: 4000, LeaderElected: 1, FirstNewJobStarted: 2, FirstOldJobResumed: 3, OldLeaderFrozen: 4},
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
		t.Error("a file that does not exist was read")
	}
	if err := Write(filepath.Join(t.TempDir(), "no", "such"), want); err == nil {
		t.Error("a file was written to a folder that does not exist")
	}
	groups, order := GroupChanges(got)
	if len(order) != 2 || order[0].Machines != 200 || len(groups[order[1]]) != 1 {
		t.Errorf("groups %v", order)
	}
}

// seconds converts times.
func seconds(values ...float64) (times []micros.Micros) {
	for _, v := range values {
		times = append(times, micros.FromSeconds(v))
	}
	return times
}

// isNear reports whether a figure is within a hundredth of another.
func isNear(got, want float64) bool { return math.Abs(got-want) < 0.01*math.Max(1, math.Abs(want)) }

// TestSummarize checks the distributions of times whose figures are known.
func TestSummarize(t *testing.T) {
	s := Summarize(append(seconds(1, 2, 3, 4, 5), Missing))
	// Student's quantile for four degrees of freedom is 2.776, the standard error 0.7071.
	if s.Count != 5 || s.Missing != 1 || !isNear(s.Median.Seconds(), 3) || !isNear(s.Max.Seconds(), 5) ||
		!isNear(s.Mean.Value, 3) || !isNear(s.Mean.Low, 3-1.963) || !isNear(s.Mean.High, 3+1.963) {
		t.Errorf("%+v", s)
	}
	if s := Summarize(nil); s.Count != 0 || !math.IsNaN(s.Mean.Value) {
		t.Errorf("of no times: %+v", s)
	}
	if s := Summarize(seconds(7)); !isNear(s.Mean.Value, 7) || !math.IsNaN(s.Mean.Low) {
		t.Errorf("of one time: %+v", s)
	}
	if s := Summarize(seconds(5000)); s.Count != 1 || s.Max < 590*micros.Second {
		t.Errorf("of a time beyond the histogram: %+v", s)
	}
}

// TestRatio checks ratios of samples whose figures are known.
func TestRatio(t *testing.T) {
	r := Ratio(seconds(2, 2.2, 1.8, 2.1), seconds(1, 1.1, 0.9, 1.05))
	if !isNear(r.Value, 2) || r.Low >= 2 || r.High <= 2 || r.Low < 1.5 || r.High > 2.6 {
		t.Errorf("%+v", r)
	}
	if r := Ratio(seconds(2), seconds(1, 1)); !math.IsNaN(r.Value) {
		t.Errorf("of too few values: %+v", r)
	}
	if r := Ratio(seconds(2, 2), seconds(1, 1)); !isNear(r.Value, 2) || r.Low != r.High {
		t.Errorf("without variance: %+v", r)
	}
}
