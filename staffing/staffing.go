// Package staffing computes how many machines the fleet needs, after Jennings, Mandelbaum, Massey
// and Whitt, "Server Staffing To Meet Time-Varying Demand", Management Science 42 (1996); "the
// paper". Numbers of formulas are the paper's.
//
// It owns the formulas and the estimates that they need: the rate of demand, service times, the
// sizes of batches, and run times. It is pure: no I/O, and time is an argument. It never decides
// what is launched or terminated: its caller, the leader's autoscaler, holds targets for an interval
// and carries them out.
//
// A server is a machine. Work is measured in machines: a task has the weight of the share of a
// machine that it takes, so the mean m is machines in use, and the arrival rate λ is machines' worth
// of work that comes in per second. The service rate μ is one over the mean time, in seconds, that
// work holds its share.
package staffing

import "math"

// StepMean is formula (12), m' = λ - μm, over a time: the mean of an infinite-server model, in
// machines, after elapsedS seconds with a constant arrival rate (machines per second) and service
// rate (per second). It is the closed form, exact for any time, so a late timer does not distort m.
func StepMean(mean, arrivalRate, serviceRate, elapsedS float64) float64 {
	if serviceRate <= 0 {
		return mean + arrivalRate*elapsedS
	}
	steadyState := arrivalRate / serviceRate
	return steadyState + (mean-steadyState)*math.Exp(-serviceRate*elapsedS)
}

// PeakMean is the largest mean, in machines, over the next intervalS seconds with a constant arrival
// rate. By formula (12) the mean moves monotonically toward λ/μ, so its peak is at one of the
// interval's ends. The paper's section 3 has a staffing level hold for the maximum over its interval.
func PeakMean(mean, arrivalRate, serviceRate, intervalS float64) float64 {
	return math.Max(mean, StepMean(mean, arrivalRate, serviceRate, intervalS))
}

// RequiredServers is formula (4), s = ⌈m + 0.5 + z√v⌉, in machines, where ⌈x⌉ is the least integer
// greater than x. mean is m; variance is v, in machines squared, by formula (17) the peakedness
// times the mean; z is z_α of formula (3).
func RequiredServers(mean, variance, z float64) int {
	return int(math.Floor(mean+0.5+z*math.Sqrt(math.Max(0, variance)))) + 1
}

// Peakedness is z(t) of formula (18), the variance of the number of busy servers over its mean, for
// work that comes in batches. A job that brings w machines' worth of tasks at once counts w times
// over in the variance of arrivals, so formula (19) is c² = Σw²/Σw, which is batchSize; as service
// times are taken for exponential, the integral of (1-G)² is half their mean, and z = (c²+1)/2.
// taskSize, Σwf/Σw for tasks that each take f of a machine, stands for the 1: a task that takes less
// than a machine adds less.
func Peakedness(batchSize, taskSize float64) float64 { return (batchSize + taskSize) / 2 }

// maxAlpha is the largest chance α that spare machines are kept for: z is 0, and there are none.
const maxAlpha = 0.5

// ZForPrice is z_α of formula (3), P(N(0,1) > z) = α, for machines that cost priceRatio times as
// much as the cheapest, for which it is z. The paper leaves α to the user; spare machines are worth
// their price as long as the chance that they are needed is in proportion to it, so α grows with the
// price, up to maxAlpha.
func ZForPrice(z, priceRatio float64) float64 {
	alpha := math.Min(maxAlpha, math.Max(1, priceRatio)*math.Erfc(z/math.Sqrt2)/2)
	return math.Sqrt2 * math.Erfinv(1-2*alpha)
}
