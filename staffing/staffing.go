// Package staffing computes how many machines the fleet needs, after Jennings, Mandelbaum, Massey and Whitt,
// "Server Staffing To Meet Time-Varying Demand", Management Science 42 (1996), referred to as the paper. Formula
// numbers are those of the paper.
//
// It owns the formulas and the estimates that they need: the arrival rate, service times, batch sizes, and run
// times. It is pure: it does no I/O, and takes the time as an argument. It does not decide which machines are
// launched or terminated: its caller, the leader's autoscaler, holds targets for an interval and applies them.
//
// A server is a machine. Work is measured in machines: the weight of a task is the share of a machine that it
// takes. The mean m is therefore the number of machines in use, and the arrival rate λ is the work that arrives
// per second, in machines. The service rate μ is the inverse of the mean time, in seconds, for which work holds
// its share.
package staffing

import "math"

// StepMean returns the solution of formula (12), m' = λ - μm, after elapsedS seconds: the mean of an
// infinite-server model, in machines, for a constant arrival rate (machines per second) and service rate (per
// second). It uses the closed form, which is exact for any elapsed time, so a late timer does not distort m.
func StepMean(mean, arrivalRate, serviceRate, elapsedS float64) float64 {
	if serviceRate <= 0 {
		return mean + arrivalRate*elapsedS
	}
	steadyState := arrivalRate / serviceRate
	return steadyState + (mean-steadyState)*math.Exp(-serviceRate*elapsedS)
}

// PeakMean returns the largest mean, in machines, over the next intervalS seconds with a constant arrival rate. By
// formula (12), the mean moves monotonically toward λ/μ, so its peak is at one end of the interval. According to
// section 3 of the paper, a staffing level must cover the maximum over its interval.
func PeakMean(mean, arrivalRate, serviceRate, intervalS float64) float64 {
	return math.Max(mean, StepMean(mean, arrivalRate, serviceRate, intervalS))
}

// RequiredServers returns formula (4), s = ⌈m + 0.5 + z√v⌉, in machines, where ⌈x⌉ is the least integer greater
// than x. mean is m. variance is v, in machines squared; by formula (17) it is the peakedness times the mean. z is
// z_α of formula (3).
func RequiredServers(mean, variance, z float64) int {
	return int(math.Floor(mean+0.5+z*math.Sqrt(math.Max(0, variance)))) + 1
}

// Peakedness returns z(t) of formula (18), the variance of the number of busy servers divided by its mean, for
// work that arrives in batches. A job that brings w machines' worth of tasks at once counts w times in the
// variance of the arrivals, so formula (19) becomes c² = Σw²/Σw, which is batchSize. Service times are assumed to
// be exponential, so the integral of (1-G)² is half their mean, and z = (c²+1)/2. taskSize, which is Σwf/Σw for
// tasks that each take a fraction f of a machine, replaces the 1, because a task that takes less than a machine
// contributes less.
func Peakedness(batchSize, taskSize float64) float64 { return (batchSize + taskSize) / 2 }

// maxAlpha is the largest probability α for which spare machines are kept. At this value z is 0, so there are no
// spare machines.
const maxAlpha = 0.5

// ZForPrice returns z_α of formula (3), P(N(0,1) > z) = α, for machines that cost priceRatio times as much as the
// cheapest ones, for which z_α is z. The paper leaves the choice of α to the user. Spare machines are worth their
// price as long as the probability that they are needed is in proportion to it, so α grows with the price, up to
// maxAlpha.
func ZForPrice(z, priceRatio float64) float64 {
	alpha := math.Min(maxAlpha, math.Max(1, priceRatio)*math.Erfc(z/math.Sqrt2)/2)
	return math.Sqrt2 * math.Erfinv(1-2*alpha)
}
