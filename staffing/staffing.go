// Package staffing holds the equations by which the fleet is sized, after
// Jennings, Mandelbaum, Massey and Whitt, "Server Staffing To Meet Time-Varying
// Demand". It is pure: the same inputs give the same outputs.
package staffing

import "math"

// StepMean carries the infinite-server mean m over dt seconds of the paper's
// equation (12), m' = λ - μm, with λ and μ constant. The closed form is exact
// for any dt, so a late timer does not distort m.
func StepMean(mean, arrivalRate, serviceRate, elapsedS float64) float64 {
	if serviceRate <= 0 {
		return mean + arrivalRate*elapsedS
	}
	steadyState := arrivalRate / serviceRate
	return steadyState + (mean-steadyState)*math.Exp(-serviceRate*elapsedS)
}

// PeakMean is the largest m over the next interval seconds when λ stays as it
// is: m moves monotonically toward λ/μ, so it is at one of the interval's ends.
func PeakMean(mean, arrivalRate, serviceRate, intervalS float64) float64 {
	return math.Max(mean, StepMean(mean, arrivalRate, serviceRate, intervalS))
}

// RequiredServers is the paper's formula (4), ⌈m + 0.5 + z√v⌉, where ⌈x⌉ is the least
// integer greater than x.
func RequiredServers(m, v, z float64) int {
	return int(math.Floor(m+0.5+z*math.Sqrt(math.Max(0, v)))) + 1
}

// Peakedness is the paper's z(t), formulas (17) to (19), for work that comes in
// batches. A job that brings w machines' worth of tasks at once counts w times
// over in the variance of arrivals, so c² = Σw²/Σw; as service times are
// taken for exponential, ∫(1-G)² is half their mean. A single task of size f
// adds the other half.
func Peakedness(batchSize, taskSize float64) float64 { return (batchSize + taskSize) / 2 }

// ZForPrice is z for machines that cost k times as much as the cheapest. The
// paper leaves α to the user; spare machines are worth their price as long as
// the chance that they are needed is in proportion to it, so α grows with k,
// up to an even chance (z = 0, no spare machines).
func ZForPrice(z, priceRatio float64) float64 {
	alpha := math.Min(0.5, math.Max(1, priceRatio)*math.Erfc(z/math.Sqrt2)/2)
	return math.Sqrt2 * math.Erfinv(1-2*alpha)
}
