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

// TestServiceTimeOfInstantTasks guards against machines that are kept for ever for tasks that are estimated to take no
// time: their service rate counted as unknown, so that the mean did not decay.
func TestServiceTimeOfInstantTasks(t *testing.T) {
	var s ServiceTime
	s.ObserveEstimate(5, 0)
	mean := StepMean(5, 0, s.Rate(0), 60)
	if !near(mean, 0) {
		t.Errorf("mean of %v machines a minute after the last arrival of tasks without duration, want 0", mean)
	}
}
