package failover

import (
	"math"
	"path/filepath"
	"reflect"
	"testing"

	"caperlatch/internal/micros"
)

// TestWriteReadAndGroupChanges checks that failovers are written to a file, read back without loss, and grouped in the
// right order.
func TestWriteReadAndGroupChanges(t *testing.T) {
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
		t.Errorf("read %+v with error %v, want %+v", got, err, want)
	}
	if _, err := Read(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("got no error from reading a file that does not exist")
	}
	if err := Write(filepath.Join(t.TempDir(), "no", "such"), want); err == nil {
		t.Error("got no error from writing to a directory that does not exist")
	}
	groups, order := GroupChanges(got)
	if len(order) != 2 || order[0].Machines != 200 || len(groups[order[1]]) != 1 {
		t.Errorf("got groups %v, want one for 200 and one for 4000 machines", order)
	}
}

// seconds converts seconds to microseconds.
func seconds(values ...float64) (times []micros.Micros) {
	for _, v := range values {
		times = append(times, micros.FromSeconds(v))
	}
	return times
}

// isNear reports whether got differs from want by less than 1% of want, or by less than 0.01 if want is less than 1.
func isNear(got, want float64) bool { return math.Abs(got-want) < 0.01*math.Max(1, math.Abs(want)) }

// TestSummarize checks summaries of times with known statistics.
func TestSummarize(t *testing.T) {
	s := Summarize(append(seconds(1, 2, 3, 4, 5), Missing))
	// The 97.5% quantile of Student's t-distribution with four degrees of freedom is 2.776, and the standard error is
	// 0.7071, so the interval extends by 1.963 to each side.
	if s.Count != 5 || s.Missing != 1 || !isNear(s.Median.Seconds(), 3) || !isNear(s.Max.Seconds(), 5) ||
		!isNear(s.Mean.Value, 3) || !isNear(s.Mean.Low, 3-1.963) || !isNear(s.Mean.High, 3+1.963) {
		t.Errorf("got %+v for 1 to 5 s and a missing time, want median 3 s, maximum 5 s and mean 3 s ± 1.963 s", s)
	}
	if s := Summarize(nil); s.Count != 0 || !math.IsNaN(s.Mean.Value) {
		t.Errorf("got %+v for no times, want count 0 and mean NaN", s)
	}
	if s := Summarize(seconds(7)); !isNear(s.Mean.Value, 7) || !math.IsNaN(s.Mean.Low) {
		t.Errorf("got %+v for one time of 7 s, want mean 7 s without an interval", s)
	}
	if s := Summarize(seconds(5000)); s.Count != 1 || s.Max < 590*micros.Second {
		t.Errorf("got %+v for a time above the maximum of the histogram, want it counted as the maximum", s)
	}
}

// TestRatio checks ratios of samples with known statistics.
func TestRatio(t *testing.T) {
	r := Ratio(seconds(2, 2.2, 1.8, 2.1), seconds(1, 1.1, 0.9, 1.05))
	if !isNear(r.Value, 2) || r.Low >= 2 || r.High <= 2 || r.Low < 1.5 || r.High > 2.6 {
		t.Errorf("got %+v, want a ratio of 2 with an interval between 1.5 and 2.6", r)
	}
	if r := Ratio(seconds(2), seconds(1, 1)); !math.IsNaN(r.Value) {
		t.Errorf("got %+v for too few values, want NaN", r)
	}
	if r := Ratio(seconds(2, 2), seconds(1, 1)); !isNear(r.Value, 2) || r.Low != r.High {
		t.Errorf("got %+v for samples without variance, want a ratio of 2 with an interval of width 0", r)
	}
}
