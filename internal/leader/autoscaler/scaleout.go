package autoscaler

import (
	"cmp"
	"log/slog"
	"math"
	"slices"

	"caperlatch/internal/cloud"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
)

// shortage is the number of CPUs that the types handled so far could not supply.
type shortage struct {
	total    float64
	onDemand float64 // the part that may be launched as on-demand machines
}

// scaleType launches or terminates machines of one type to reach its target: it launches spot machines, and terminates
// idle spot and on-demand machines. It also marks surplus machines and those that reject delay-tolerant jobs.
// uncovered is the shortage of the cheaper types. scaleType returns the shortage that remains.
func (s *Scaler) scaleType(t *TypeModel, supply Supply, need machineNeed, uncovered shortage, now micros.Micros) shortage {
	cpusPerMachine := math.Max(t.CPUs, minCPUs)
	minTarget, minOnDemandTarget := float64(supply.Busy), float64(supply.Busy)
	if need.total > roundingTolerance {
		minTarget = float64(supply.Total) + ceilMachines(need.total)
	}
	if need.onDemand > roundingTolerance {
		minOnDemandTarget = float64(supply.Total) + ceilMachines(need.onDemand)
	}
	poolExcess := s.pooledAboveMean(t.Name)
	required := t.Required + poolExcess + uncovered.total/cpusPerMachine
	requiredOnDemand := t.RequiredOnDemand + poolExcess + uncovered.onDemand/cpusPerMachine
	t.Target = int(math.Max(ceilMachines(required), minTarget))
	slog.Debug("scaling instance type", "instance_type", t.Name, "mean", t.Mean, "wanted", t.Required, "wanted_on_demand", t.RequiredOnDemand,
		"busy", supply.Busy, "need", need.total, "short_cpus", uncovered.total, "short_on_demand_cpus", uncovered.onDemand, "total", supply.Total)
	launched := 0
	if missing := t.Target - supply.Total; missing > 0 {
		launched = s.launch(t, true, missing, now)
	} else {
		s.terminateIdle(t, -missing, now)
	}
	needed := int(ceilMachines(required))
	if need.total > 0 {
		needed = supply.Total
	}
	s.markSurplus(t, supply.Total-needed, now)
	s.RejectDelayTolerant(t, requiredOnDemand, need.onDemand)
	available := float64(supply.Total + launched)
	return shortage{
		total:    math.Max(0, math.Max(required, minTarget)-available) * cpusPerMachine,
		onDemand: math.Max(0, math.Max(requiredOnDemand, minOnDemandTarget)-available) * cpusPerMachine,
	}
}

// launchOnDemand launches on-demand machines with the given number of CPUs in total, the cheapest first. They
// cost about three times as much as spot machines, so they only cover what no type could supply as spot
// machines.
func (s *Scaler) launchOnDemand(types []*TypeModel, cpus float64, now micros.Micros) {
	slices.SortStableFunc(types, func(a, b *TypeModel) int { return cmp.Compare(a.OnDemandPrice/a.CPUs, b.OnDemandPrice/b.CPUs) })
	for _, t := range types {
		cpusPerMachine := math.Max(t.CPUs, minCPUs)
		if n := int(ceilMachines(cpus / cpusPerMachine)); n > 0 {
			cpus -= float64(s.launch(t, false, n, now)) * cpusPerMachine
		}
	}
}

// maxIntentsPerOffering is how many launch intents are created for an offering at once. The requests for a
// fleet of a thousand machines must be sent within seconds, at a few requests to the cloud per second.
const maxIntentsPerOffering = 3

// launch requests up to n machines of a type, spread over the zones, and returns how many it has requested. It
// requests nothing while another node may lead, or while an earlier request for the type and the same price model,
// spot or on-demand, is unanswered. It then returns n, so that the caller does not launch other machines instead.
func (s *Scaler) launch(t *TypeModel, spot bool, n int, now micros.Micros) (launched int) {
	if !s.Term.IsExclusive() {
		return n
	}
	var available []state.Offering
	for _, zone := range t.Zones {
		o := state.Offering{Type: t.Name, Zone: zone, Spot: spot}
		switch {
		case s.Fleet.HasOpenIntent(o):
			return n // wait for the response first
		case s.ZonePolicy.Decide(zone).MaxMachines == 0:
		case s.Fleet.HasCapacity(o, now):
			available = append(available, o)
		}
	}
	perZone := map[string]int{}
	for _, m := range s.Fleet.Sorted {
		if m.Offering.Type == t.Name {
			perZone[m.Offering.Zone]++
		}
	}
	slices.SortStableFunc(available, func(a, b state.Offering) int { return cmp.Compare(perZone[a.Zone], perZone[b.Zone]) })
	for i, o := range available {
		remaining, offerings := n-launched, len(available)-i
		count := min((remaining+offerings-1)/offerings, s.LaunchAllowance(o.Zone))
		for range maxIntentsPerOffering {
			if count <= 0 {
				break
			}
			s.Fleet.Launch(o, count)
			batch := min(count, cloud.MaxInstancesPerLaunch)
			launched, count = launched+batch, count-batch
		}
	}
	return launched
}
