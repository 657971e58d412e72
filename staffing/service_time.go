package staffing

import "math"

// MinFinishedTasks is the number of tasks that must have finished before measured run times replace the owners'
// estimates.
const MinFinishedTasks = 20

// minServiceS is the shortest service time, in seconds. With 0, the service rate would be infinite.
const minServiceS = 0.001

// serviceTimeDecay is the factor by which the weight of older work decreases with each new job, regardless of its
// number of tasks.
const serviceTimeDecay = 0.99

// ServiceTime tracks the mean time for which work holds its share of a machine. Its inverse is the service rate μ
// of formula (12).
type ServiceTime struct {
	estimated, measured decayingMean
}

// ObserveEstimate counts a job's service time, in seconds, as estimated by its owner. weight is the job's work, in
// machines. Service times below minServiceS count as minServiceS.
func (s *ServiceTime) ObserveEstimate(weight, seconds float64) {
	s.estimated.add(weight, math.Max(minServiceS, seconds), 1)
}

// ObserveFinished counts the service time, in seconds, of a finished task. weight is the share of a machine that
// the task took, and jobTasks is the number of tasks of its job. Service times below minServiceS count as minServiceS.
func (s *ServiceTime) ObserveFinished(weight, seconds float64, jobTasks int) {
	s.measured.add(weight, math.Max(minServiceS, seconds), 1/math.Max(1, float64(jobTasks)))
}

// Rate returns the service rate μ, per second, or 0 if it is unknown. It uses the owners' estimates until
// MinFinishedTasks tasks have finished, and measured times from then on or if there are no estimates. finished is the
// number of tasks that have finished.
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

// decayingMean is a weighted mean in which older values count progressively less, so that it follows changes over
// the day.
type decayingMean struct{ weight, sum float64 }

// add counts a value with a weight. jobShare is the share of a job that the value stands for: 1 for a whole job, 1/n
// for one of n tasks. The decay is per job, not per task: when each task counted as much as a job, arrays of 50 tasks
// left only the values of the last second in the mean, and a staffing target, which is held at its peak for 30 s,
// followed the worst of these means.
func (m *decayingMean) add(weight, value, jobShare float64) {
	decay := math.Pow(serviceTimeDecay, jobShare)
	m.weight = m.weight*decay + weight
	m.sum = m.sum*decay + weight*value
}
