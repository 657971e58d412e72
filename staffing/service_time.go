package staffing

import "math"

// MinFinishedTasks is how many tasks must have finished before measured run times are used instead
// of the owners' estimates.
const MinFinishedTasks = 20

// serviceTimeDecay is what older work counts for after each newer job, of however many tasks.
const serviceTimeDecay = 0.99

// ServiceTime keeps the mean time that work holds its share of a machine, whose inverse is the
// service rate μ of formula (12).
type ServiceTime struct {
	estimated, measured decayingMean
}

// ObserveEstimate counts a job's service time, in seconds, by its owner's estimate. weight is the
// job's work, in machines.
func (s *ServiceTime) ObserveEstimate(weight, seconds float64) { s.estimated.add(weight, seconds, 1) }

// ObserveFinished counts the service time, in seconds, of a finished task. weight is the share of a
// machine that it took; jobTasks is how many tasks its job has.
func (s *ServiceTime) ObserveFinished(weight, seconds float64, jobTasks int) {
	s.measured.add(weight, seconds, 1/math.Max(1, float64(jobTasks)))
}

// Rate is the service rate μ, per second; 0 if nothing is known of it. finished is how many tasks
// have finished.
func (s *ServiceTime) Rate(finished int) float64 {
	m := s.estimated
	if finished >= MinFinishedTasks && s.measured.weight > 0 || m.weight == 0 {
		m = s.measured
	}
	if m.weight <= 0 || m.sum <= 0 {
		return 0
	}
	return m.weight / m.sum
}

// decayingMean is a weighted mean in which older values count for less and less, so that it follows
// the day.
type decayingMean struct{ weight, sum float64 }

// add counts a value of a share of a job. Decay is by jobs: when each task counted as much as a job,
// arrays of 50 left the mean of the last second, and a target that holds the peak of 30 s took the
// worst of these.
func (m *decayingMean) add(weight, value, jobShare float64) {
	decay := math.Pow(serviceTimeDecay, jobShare)
	m.weight = m.weight*decay + weight
	m.sum = m.sum*decay + weight*value
}
