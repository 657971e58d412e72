package autoscaler

import (
	"math"

	"caperlatch/internal/micros"
	"caperlatch/staffing"
)

const (
	// stepS is the time between two steps of the model, in seconds.
	stepS = 1
	// minMean is the mean below which no machine is kept: formula (4) would keep one for nothing.
	minMean = 0.05
	// traceOfMachine is what is not rounded up to a machine.
	traceOfMachine = 0.01
)

// RaiseMeans raises the types' means once to what is really held, when after a failover the tasks of
// all machines are known.
func (s *Scaler) RaiseMeans() {
	if s.meansRaised || s.Fleet.CountWithUnknownTasks() > 0 {
		return
	}
	s.meansRaised = true
	held := map[string]float64{}
	for _, m := range s.Fleet.Machines {
		for _, a := range m.Attempts {
			if t := s.types[m.Offering.Type]; t != nil {
				held[t.Name] += t.Fraction(a.Job.Need)
			}
		}
	}
	// A job's demand is counted for one type, and its tasks run on any: what is held beyond
	// the means counts only as far as it is more than all of these. Raised type by type, the
	// means doubled at a failover, and the fleet with them.
	missing, beyond := 0.0, 0.0 // CPUs
	for name, t := range s.types {
		missing += (held[name] - t.Mean) * t.CPUs
		beyond += math.Max(0, held[name]-t.Mean) * t.CPUs
	}
	if missing <= 0 {
		return
	}
	for name, t := range s.types {
		t.Mean += math.Max(0, held[name]-t.Mean) * missing / beyond
	}
}

// stepModel steps each type's mean and sets what the formula wants, which holds for an interval
// unless it rises.
func (s *Scaler) stepModel(types []*TypeModel, now micros.Micros) {
	interval := s.Tuning.ReviewInterval
	for _, t := range types {
		lambda, mu := t.Demand.Rate(now), t.service.Rate(t.finishedTasks)
		t.Mean = staffing.StepMean(t.Mean, lambda, mu, stepS)
		// The same equation for the part that is not worth on-demand machines.
		bestEffort := t.bestEffortDemand.Rate(now)
		t.MeanDelayTolerant = math.Min(t.Mean, staffing.StepMean(t.MeanDelayTolerant, bestEffort, mu, stepS))
		peak := staffing.PeakMean(t.Mean, lambda, mu, interval.Seconds())
		peakOnDemand := staffing.PeakMean(t.Mean-t.MeanDelayTolerant, math.Max(0, lambda-bestEffort), mu, interval.Seconds())
		if wanted := s.servers(t, peak, true); s.meansRaised && now >= t.heldUntil || wanted > t.Required {
			t.Required, t.RequiredOnDemand = wanted, s.servers(t, peakOnDemand, false)
			t.heldUntil = now + interval
		}
	}
}

// servers is how many machines of a type the formula requires at a mean.
func (s *Scaler) servers(t *TypeModel, mean float64, spot bool) float64 {
	if mean < minMean {
		return 0
	}
	z := staffing.ZForPrice(s.Tuning.Z, s.PriceRatio(t, spot))
	return float64(staffing.RequiredServers(mean, t.batches.Peakedness()*mean, z))
}

// ceilMachines rounds machines up, but not for a trace of one.
func ceilMachines(machines float64) float64 { return math.Ceil(machines - traceOfMachine) }
