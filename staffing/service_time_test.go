package staffing

import "testing"

// TestServiceTimeRate checks that measured times replace estimates once enough tasks have finished.
func TestServiceTimeRate(t *testing.T) {
	var s ServiceTime
	s.ObserveEstimate(1, 50)
	s.ObserveFinished(1, 20, 1)
	for _, c := range []struct {
		finished int
		want     float64
	}{{MinFinishedTasks - 1, 1.0 / 50}, {MinFinishedTasks, 1.0 / 20}} {
		if got := s.Rate(c.finished); !near(got, c.want) {
			t.Errorf("after %d finished tasks: service rate %v, want %v", c.finished, got, c.want)
		}
	}
}
