package staffing

import "testing"

// TestServiceTimeRate has measured times be used from enough finished tasks on.
func TestServiceTimeRate(t *testing.T) {
	var s ServiceTime
	s.ObserveEstimate(1, 50)
	s.ObserveFinished(1, 20, 1)
	for _, c := range []struct {
		finished int
		want     float64
	}{{MinFinishedTasks - 1, 1.0 / 50}, {MinFinishedTasks, 1.0 / 20}} {
		if got := s.Rate(c.finished); !near(got, c.want) {
			t.Errorf("after %d tasks: μ %v, want %v", c.finished, got, c.want)
		}
	}
}
