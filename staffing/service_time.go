package staffing

import "math"

// MinFinishedTasks is how many tasks must have finished before their run times are
// used instead of the owners' estimates.
const MinFinishedTasks = 20

// ServiceTime keeps the mean time that work holds its share of a machine.
type ServiceTime struct {
	estimate, measured decayingMean
}

// ObserveEstimate counts what owners say of work that came in.
func (s *ServiceTime) ObserveEstimate(weight, seconds float64) { s.estimate.add(weight, seconds, 1) }

// ObserveFinished counts a finished task of a job of tasks tasks.
func (s *ServiceTime) ObserveFinished(weight, seconds float64, tasks int) {
	s.measured.add(weight, seconds, 1/math.Max(1, float64(tasks)))
}

// Rate is one over the mean time; finished says how many tasks have finished.
func (s *ServiceTime) Rate(finished int) float64 {
	m := s.estimate
	if finished >= MinFinishedTasks && s.measured.weight > 0 || m.weight == 0 {
		m = s.measured
	}
	if m.weight <= 0 || m.sum <= 0 {
		return 0
	}
	return m.weight / m.sum
}

type decayingMean struct{ weight, sum float64 }

// add counts a part of a job. Old work counts for less and less, so the mean follows
// the day: a job for a hundredth less with each newer job, of however many tasks. When
// each task counted as much as a job, arrays of 50 left the mean of the last second,
// and a target that holds the peak of 30 s took the worst of these.
func (m *decayingMean) add(weight, seconds, share float64) {
	decay := math.Pow(0.99, share)
	m.weight = m.weight*decay + weight
	m.sum = m.sum*decay + weight*seconds
}
