package staffing

import "math"

const (
	// estimateDecay is what older jobs count for after each newer one.
	estimateDecay = 0.98
	// estimateTrust is the belief that estimates are right before any were compared, in jobs.
	estimateTrust = 2
	// estimateTrustVariance is the variance of the logarithms of those jobs' estimates.
	estimateTrustVariance = 0.1
)

// RuntimeEstimator corrects a class's estimated run times by measured ones. Owners are wrong by a
// factor, so it is a line through the logarithms of both: a slope below one draws extreme estimates
// toward the class's middle, and the line's height removes a bias that a day's estimates have in
// common.
type RuntimeEstimator struct {
	// Decayed sums over jobs, with x and y the logarithms of estimated and measured seconds.
	weight, sumX, sumY, sumXX, sumXY float64
}

// Observe counts a task that ran without interruption, of a job of jobTasks tasks. They have one
// estimate, so all of them are about as much evidence as one: counted one by one, two arrays of 50
// were all that the line went through.
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

// Predict is the expected run time, in seconds, for an owner's estimate. With few jobs observed the
// owner is trusted nearly in full.
func (e *RuntimeEstimator) Predict(estimatedS float64) float64 {
	if estimatedS <= 0 || e.weight == 0 {
		return estimatedS
	}
	meanX, meanY := e.sumX/e.weight, e.sumY/e.weight
	varianceX, covarianceXY := e.sumXX/e.weight-meanX*meanX, e.sumXY/e.weight-meanX*meanY
	const prior = estimateTrust * estimateTrustVariance
	slope := math.Max(0, math.Min(1, (covarianceXY*e.weight+prior)/(varianceX*e.weight+prior)))
	bias := (meanY - meanX) * e.weight / (e.weight + estimateTrust)
	return math.Exp(meanX + bias + slope*(math.Log(estimatedS)-meanX))
}

// Moments is what the estimator has learned, for Restore of another one. They are stored.
func (e *RuntimeEstimator) Moments() []float64 {
	return []float64{e.weight, e.sumX, e.sumY, e.sumXX, e.sumXY}
}

// Restore continues from another estimator's moments, and reports whether they are valid; if not,
// nothing changes.
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
