package staffing

import "math"

// RuntimeEstimator corrects a class's estimated run times by what ran. Owners are wrong
// by a factor, so it is a line through logarithms: a slope below one draws
// extreme estimates toward the class's middle, and the line's height removes a
// bias that a day's estimates have in common.
type RuntimeEstimator struct {
	weight, sumX, sumY, sumXX, sumXY float64 // decayed sums
}

// Observe counts a task that ran in one go, of a job of tasks tasks. They have one
// estimate, so all of them tell about as much as one: counted one by one, two arrays
// of 50 were all that the line went through.
func (e *RuntimeEstimator) Observe(estimatedS, ranS float64, tasks int) {
	if estimatedS <= 0 || ranS <= 0 {
		return
	}
	share := 1 / math.Max(1, float64(tasks))
	decay := math.Pow(0.98, share)
	x, y := math.Log(estimatedS), math.Log(ranS)
	e.weight = e.weight*decay + share
	e.sumX = e.sumX*decay + x*share
	e.sumY = e.sumY*decay + y*share
	e.sumXX = e.sumXX*decay + x*x*share
	e.sumXY = e.sumXY*decay + x*y*share
}

// Predict is the run time to be expected for an estimate. With few jobs
// seen the owner is trusted nearly in full.
func (e *RuntimeEstimator) Predict(estimatedS float64) float64 {
	if estimatedS <= 0 || e.weight == 0 {
		return estimatedS
	}
	const trust = 2 // jobs' worth of belief that estimates are right
	meanX, meanY := e.sumX/e.weight, e.sumY/e.weight
	varianceX, covarianceXY := e.sumXX/e.weight-meanX*meanX, e.sumXY/e.weight-meanX*meanY
	slope := math.Max(0, math.Min(1, (covarianceXY*e.weight+trust*0.1)/(varianceX*e.weight+trust*0.1)))
	bias := (meanY - meanX) * e.weight / (e.weight + trust)
	return math.Exp(meanX + bias + slope*(math.Log(estimatedS)-meanX))
}

// Moments is what the estimate has learned, for Restore.
func (e *RuntimeEstimator) Moments() []float64 {
	return []float64{e.weight, e.sumX, e.sumY, e.sumXX, e.sumXY}
}

// Restore goes on from another estimate's moments, and tells whether they are any.
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
