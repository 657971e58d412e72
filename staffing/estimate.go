package staffing

import "math"

// RuntimeEstimator corrects a class's estimated run times by what ran. Owners are wrong
// by a factor, so it is a line through logarithms: a slope below one draws
// extreme estimates toward the class's middle, and the line's height removes a
// bias that a day's estimates have in common.
type RuntimeEstimator struct {
	n, x, y, xx, xy float64 // decayed sums
}

// Observe counts a task that ran in one go, of a job of tasks tasks. They have one
// estimate, so all of them tell about as much as one: counted one by one, two arrays
// of 50 were all that the line went through.
func (e *RuntimeEstimator) Observe(estimated, ran float64, tasks int) {
	if estimated <= 0 || ran <= 0 {
		return
	}
	part := 1 / math.Max(1, float64(tasks))
	keep := math.Pow(0.98, part)
	x, y := math.Log(estimated), math.Log(ran)
	e.n = e.n*keep + part
	e.x = e.x*keep + x*part
	e.y = e.y*keep + y*part
	e.xx = e.xx*keep + x*x*part
	e.xy = e.xy*keep + x*y*part
}

// Predict is the run time to be expected for an estimate. With few jobs
// seen the owner is trusted nearly in full.
func (e *RuntimeEstimator) Predict(estimated float64) float64 {
	if estimated <= 0 || e.n == 0 {
		return estimated
	}
	const trust = 2 // jobs' worth of belief that estimates are right
	mx, my := e.x/e.n, e.y/e.n
	vxx, vxy := e.xx/e.n-mx*mx, e.xy/e.n-mx*my
	slope := math.Max(0, math.Min(1, (vxy*e.n+trust*0.1)/(vxx*e.n+trust*0.1)))
	bias := (my - mx) * e.n / (e.n + trust)
	return math.Exp(mx + bias + slope*(math.Log(estimated)-mx))
}

// Moments is what the estimate has learned, for Restore.
func (e *RuntimeEstimator) Moments() []float64 { return []float64{e.n, e.x, e.y, e.xx, e.xy} }

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
	e.n, e.x, e.y, e.xx, e.xy = moments[0], moments[1], moments[2], moments[3], moments[4]
	return true
}
