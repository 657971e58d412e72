package autoscaler

import (
	"math"

	"caperlatch/internal/micros"
	"caperlatch/staffing"
)

const (
	// stepS is the time between two steps of the model, in seconds.
	stepS = 1
	// minMean is the mean below which requiredMachines returns 0. Formula (4) would keep a machine for a negligible
	// mean.
	minMean = 0.05
	// roundingTolerance is the largest fraction of a machine that is not rounded up to a whole machine.
	roundingTolerance = 0.01
)

// RaiseMeans raises the means of the types toward the load on the machines, until their sum equals the total load. It
// does so once, as soon as the tasks of all machines are known after a failover.
func (s *Scaler) RaiseMeans() {
	if s.meansRaised || s.Fleet.CountWithUnknownTasks() > 0 {
		return
	}
	s.meansRaised = true
	load := map[string]float64{}
	for _, m := range s.Fleet.Machines {
		for _, a := range m.Attempts {
			if t := s.types[m.Offering.Type]; t != nil {
				load[t.Name] += t.Fraction(a.Job.Need)
			}
		}
	}
	// A job's demand is counted for one type, but its tasks may run on any type. So load above a type's mean
	// counts only to the extent that the load of all types exceeds the sum of their means. When each type was
	// raised by itself, the means doubled at a failover, and the fleet with them.
	netExcess, excess := 0.0, 0.0 // in CPUs
	for name, t := range s.types {
		netExcess += (load[name] - t.Mean) * t.CPUs
		excess += math.Max(0, load[name]-t.Mean) * t.CPUs
	}
	if netExcess <= 0 {
		return
	}
	for name, t := range s.types {
		t.Mean += math.Max(0, load[name]-t.Mean) * netExcess / excess
	}
}

// stepModel advances the mean of each type and sets the number of machines that the formula requires. The number is
// lowered only once per review interval, and after a failover not before RaiseMeans has run. It is raised at once.
func (s *Scaler) stepModel(types []*TypeModel, now micros.Micros) {
	interval := s.Tuning.ReviewInterval
	for _, t := range types {
		lambda, mu := t.Demand.Rate(now), t.serviceTime.Rate(t.finishedTasks)
		t.Mean = staffing.StepMean(t.Mean, lambda, mu, stepS)
		// The part of the mean that is not worth on-demand machines follows the same equation.
		delayTolerantLambda := t.delayTolerantDemand.Rate(now)
		t.MeanDelayTolerant = math.Min(t.Mean, staffing.StepMean(t.MeanDelayTolerant, delayTolerantLambda, mu, stepS))
		peak := staffing.PeakMean(t.Mean, lambda, mu, interval.Seconds())
		peakOnDemand := staffing.PeakMean(t.Mean-t.MeanDelayTolerant, math.Max(0, lambda-delayTolerantLambda), mu, interval.Seconds())
		if required := s.requiredMachines(t, peak, true); s.meansRaised && now >= t.nextReviewAt || required > t.Required {
			t.Required, t.RequiredOnDemand = required, s.requiredMachines(t, peakOnDemand, false)
			t.nextReviewAt = now + interval
		}
	}
}

// requiredMachines returns how many machines of a type the formula requires at a given mean.
func (s *Scaler) requiredMachines(t *TypeModel, mean float64, spot bool) float64 {
	if mean < minMean {
		return 0
	}
	z := staffing.ZForPrice(s.Tuning.Z, s.PriceRatio(t, spot))
	return float64(staffing.RequiredServers(mean, t.batches.Peakedness()*mean, z))
}

// ceilMachines rounds a number of machines up, but ignores a fraction of up to roundingTolerance.
func ceilMachines(machines float64) float64 { return math.Ceil(machines - roundingTolerance) }
