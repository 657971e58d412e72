package autoscaler

import (
	"cmp"
	"log/slog"
	"math"
	"slices"

	"caperlatch/internal/cloud"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// shortage is what the types so far could not give, in CPUs.
type shortage struct {
	any      float64
	onDemand float64 // the part that may be on-demand machines
}

// scaleType launches or terminates spot machines of one type toward its target, and returns what
// is short with it.
func (s *Scaler) scaleType(t *TypeModel, supply Supply, need machineNeed, short shortage, now micros.Micros) shortage {
	size := math.Max(t.CPUs, minCPUs)
	floor, onDemandFloor := float64(supply.Busy), float64(supply.Busy)
	if need.any > traceOfMachine {
		floor = float64(supply.Total) + ceilMachines(need.any)
	}
	if need.onDemand > traceOfMachine {
		onDemandFloor = float64(supply.Total) + ceilMachines(need.onDemand)
	}
	pooled := s.pooledBeyondMean(t.Name)
	wanted := t.Required + pooled + short.any/size
	wantedOnDemand := t.RequiredOnDemand + pooled + short.onDemand/size
	t.Target = int(math.Max(ceilMachines(wanted), floor))
	slog.Debug("scaling instance type", "instance_type", t.Name, "mean", t.Mean, "wanted", t.Required, "wanted_on_demand", t.RequiredOnDemand,
		"busy", supply.Busy, "need", need.any, "short_cpus", short.any, "short_on_demand_cpus", short.onDemand, "total", supply.Total)
	launched := 0
	if missing := t.Target - supply.Total; missing > 0 {
		launched = s.launch(t, true, missing, now)
	} else {
		s.terminateIdle(t, -missing, now)
	}
	lean := int(ceilMachines(wanted))
	if need.any > 0 {
		lean = supply.Total
	}
	s.markSurplus(t, supply.Total-lean, now)
	s.RejectDelayTolerant(t, wantedOnDemand, need.onDemand)
	given := float64(supply.Total + launched)
	return shortage{
		any:      math.Max(0, math.Max(wanted, floor)-given) * size,
		onDemand: math.Max(0, math.Max(wantedOnDemand, onDemandFloor)-given) * size,
	}
}

// launchOnDemand launches on-demand machines for so many CPUs, the cheapest first. They cost about
// three times as much: it is what no type had as spot machines.
func (s *Scaler) launchOnDemand(types []*TypeModel, cpus float64, now micros.Micros) {
	slices.SortStableFunc(types, func(a, b *TypeModel) int { return cmp.Compare(a.OnDemandPrice/a.CPUs, b.OnDemandPrice/b.CPUs) })
	for _, t := range types {
		size := math.Max(t.CPUs, minCPUs)
		if n := int(ceilMachines(cpus / size)); n > 0 {
			cpus -= float64(s.launch(t, false, n, now)) * size
		}
	}
}

// maxIntentsPerOffering is how many launch intents of an offering are made at once: a fleet of a
// thousand machines is to be on its way within seconds, with a few requests to the cloud a second.
const maxIntentsPerOffering = 3

// launch has up to n machines of a type launched, spread over the zones, and returns how many are
// on their way.
func (s *Scaler) launch(t *TypeModel, spot bool, n int, now micros.Micros) (launched int) {
	if !s.Term.IsExclusive() {
		return n
	}
	var open []state.Offering
	for _, zone := range t.Zones {
		o := state.Offering{Type: t.Name, Zone: zone, Spot: spot}
		switch {
		case s.Fleet.HasOpenIntent(o):
			return n // the response to it comes first
		case s.ZonePolicy.Decide(zone).MaxMachines == 0:
		case s.Fleet.HasCapacity(o, now):
			open = append(open, o)
		}
	}
	perZone := map[string]int{}
	for _, m := range s.Fleet.Sorted {
		if m.Offering.Type == t.Name {
			perZone[m.Offering.Zone]++
		}
	}
	slices.SortStableFunc(open, func(a, b state.Offering) int { return cmp.Compare(perZone[a.Zone], perZone[b.Zone]) })
	for i, o := range open {
		left, offerings := n-launched, len(open)-i
		count := min((left+offerings-1)/offerings, s.LaunchAllowance(o.Zone))
		for range maxIntentsPerOffering {
			if count <= 0 {
				break
			}
			s.Fleet.Launch(o, count)
			part := min(count, cloud.MaxInstancesPerLaunch)
			launched, count = launched+part, count-part
		}
	}
	return launched
}

const (
	// constrainedLaunchDelay is how long a job may make no start before a machine is launched for
	// it alone.
	constrainedLaunchDelay = 10 * micros.Second
	// maxConstrainedLaunch is how many machines are launched for one job at a time.
	maxConstrainedLaunch = 4
)

// offeringCount counts the machines of an offering.
type offeringCount struct{ all, booting int }

// launchForConstrainedJobs launches machines for jobs that some of the fleet is closed to, by
// type, zone or kind, and that get nowhere: the types' targets count machines, not whom they serve, and such
// a job would starve beside idle ones.
func (s *Scaler) launchForConstrainedJobs(now micros.Micros) {
	wall := micros.Wall()
	teams, awaitsReconciliation := s.TeamUse(), s.AwaitsReconciliation()
	counts := s.countByOffering()
	for _, j := range s.Jobs {
		if awaitsReconciliation(j) || teams[j.Spec.Team].CountAllowed(j.Need, 1) == 0 {
			continue // not for want of machines
		}
		if j.StartableTasks(now) > 0 && now-j.SeenAt >= constrainedLaunchDelay && wall-j.LastStart >= constrainedLaunchDelay {
			s.launchForConstrainedJob(j, counts, now)
		}
	}
}

// countByOffering counts the machines by what they were launched as.
func (s *Scaler) countByOffering() map[state.Offering]offeringCount {
	counts := map[state.Offering]offeringCount{}
	for _, m := range s.Fleet.Sorted {
		n := counts[m.Offering]
		n.all++
		if !m.Instance.Running && !m.Instance.Terminating {
			n.booting++
		}
		counts[m.Offering] = n
	}
	return counts
}

// launchForConstrainedJob launches machines for a job if some of the fleet is closed to it.
func (s *Scaler) launchForConstrainedJob(j *state.Job, counts map[state.Offering]offeringCount, now micros.Micros) {
	probe := placementProbe(j)
	closed, booting := 0, 0
	for o, n := range counts {
		if probe.CanStartOn(o.Type, o.Zone, o.Spot) {
			booting += n.booting
		} else {
			closed += n.all
		}
	}
	if closed == 0 {
		return // the targets serve it
	}
	for _, o := range s.OfferingsFor(j) {
		if !probe.CanStartOn(o.Type, o.Zone, o.Spot) {
			continue // its other tasks bind it to another zone
		}
		if s.Fleet.HasOpenIntent(o) {
			return // the response to it comes first
		}
		count := int(ceilMachines(float64(j.StartableTasks(now))*s.types[o.Type].Fraction(j.Need))) - booting
		if count > 0 && s.Fleet.HasCapacity(o, now) && s.Term.IsExclusive() {
			s.Fleet.Launch(o, min(count, maxConstrainedLaunch))
			return
		}
	}
}

// placementProbe is what placement must know of a job to choose where its next task can start.
func placementProbe(j *state.Job) placement.Job {
	return placement.Job{
		Constraints:  j.Constraints(),
		Request:      placement.Request{TotalTasks: j.Spec.Tasks},
		TasksPerZone: j.AttemptsPerZone,
	}
}
