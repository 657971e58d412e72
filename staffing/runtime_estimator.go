package staffing

import "math"

const (
	// estimateDecay is the factor by which the weight of older jobs decreases with each new job.
	estimateDecay = 0.98
	// priorJobs is the weight of the prior belief that estimates are right, as a number of jobs.
	priorJobs = 2
	// priorVariance is the variance that the prior belief assumes for the logarithms of the estimates.
	priorVariance = 0.1
)

// RuntimeEstimator corrects the estimated run times of a class by measured ones. Owners' estimates are wrong by a
// factor, so the estimator fits a line through the logarithms of the estimated and the measured run times. A slope
// below one draws extreme estimates toward the middle of the class, and the intercept removes a bias that the
// estimates of a day have in common.
type RuntimeEstimator struct {
	// Decayed sums over jobs, with x and y the logarithms of estimated and measured seconds.
	weight, sumX, sumY, sumXX, sumXY float64
}

// Observe counts an uninterrupted run of a task that belongs to a job of jobTasks tasks. The tasks of a job share one
// estimate, so together they have about the weight of one job with a single task. When each task had that weight, two
// arrays of 50 tasks alone determined the line.
func (e *RuntimeEstimator) Observe(estimatedS, measuredS float64, jobTasks int) {
	if estimatedS <= 0 || measuredS <= 0 {
		return
	}
	jobShare := 1 / math.Max(1, float64(jobTasks))
	decay := math.Pow(estimateDecay, jobShare)
	x, y := math.Log(estimatedS), math.Log(measuredS)
	e.weight = e.weight*decay + jobShare
	e.sumX = e.sumX*decay + x*jobShare
	e.sumY = e.sumY*decay + y*jobShare
	e.sumXX = e.sumXX*decay + x*x*jobShare
	e.sumXY = e.sumXY*decay + x*y*jobShare
}

// Predict returns the expected run time, in seconds, for an owner's estimate. While few jobs have been observed,
// it is close to the estimate.
func (e *RuntimeEstimator) Predict(estimatedS float64) float64 {
	if estimatedS <= 0 || e.weight == 0 {
		return estimatedS
	}
	meanX, meanY := e.sumX/e.weight, e.sumY/e.weight
	varianceX, covarianceXY := e.sumXX/e.weight-meanX*meanX, e.sumXY/e.weight-meanX*meanY
	const prior = priorJobs * priorVariance
	slope := math.Max(0, math.Min(1, (covarianceXY*e.weight+prior)/(varianceX*e.weight+prior)))
	bias := (meanY - meanX) * e.weight / (e.weight + priorJobs)
	return math.Exp(meanX + bias + slope*(math.Log(estimatedS)-meanX))
}

// Moments returns the state of the estimator in the form in which it is stored and passed to Restore.
func (e *RuntimeEstimator) Moments() []float64 {
	return []float64{e.weight, e.sumX, e.sumY, e.sumXX, e.sumXY}
}

// Restore sets the estimator to the moments of another one, and reports whether they are valid. If they are not, the
// estimator stays as it is.
func (e *RuntimeEstimator) Restore(moments []float64) bool {
	if len(moments) != len(e.Moments()) || moments[0] < 0 {
		return false
	}
	for _, v := range moments {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return false
		}
	}
	e.weight, e.sumX, e.sumY, e.sumXX, e.sumXY = moments[0], moments[1], moments[2], moments[3], moments[4]
	return true
}
