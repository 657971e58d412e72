package autoscaler

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strconv"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
	"caperlatch/staffing"
)

// Array jobs fill a fleet task by task, so a busy fleet seldom has capacity for an entire gang on one machine.
// Therefore some machines, the pools, start only gangs. The demand of gangs is modeled separately for each pool, in
// machines. The mean of this demand follows the same equation as the mean of an instance type, and its safety margin
// follows the same formula.

// Pool is the set of machines of one kind that are kept available for gangs.
type Pool struct {
	kind          state.PoolKind
	Demand        *staffing.DemandWindow // newly submitted gangs, in machines
	serviceTime   staffing.ServiceTime
	batches       staffing.BatchSizes
	Mean          float64 // machines that gangs occupy, by the equation of the model
	readyMachines int     // number of machines that must have free capacity, so that one sends a heartbeat in time
	Target        int     // in machines
	nextReviewAt  micros.Micros
}

// The target of each pool is at most 1/poolFleetDivisor of the machines in the fleet.
const poolFleetDivisor = 8

// minPoolMean is the mean below which the target of a pool is 0. It is compared with the largest mean expected within
// one boot time and one review interval. Formula (4) would keep a machine for an occasional gang.
const minPoolMean = 0.05

// poolFor returns the pool that serves a gang, and creates it if necessary. The pool consists of machines of the
// cheapest type of which one machine holds all tasks of the gang. poolFor returns nil for other jobs, for a gang that
// fits on no single machine, and for a gang that is spread over zones or restricted to certain types or to a zone, as
// most machines of a pool could not serve it.
func (s *Scaler) poolFor(j *state.Job) *Pool {
	spec := j.Spec
	if !j.IsGang() || spec.SpreadZones || spec.Zone != "" || len(spec.InstanceTypes) > 0 {
		return nil
	}
	for _, o := range s.OfferingsFor(j) {
		if s.types[o.Type].Capacity.CountFitting(j.Need, spec.Tasks) < spec.Tasks {
			continue
		}
		kind := state.PoolKind{Type: o.Type, OnDemand: !spec.AllowSpot}
		p := s.pools[kind]
		if p == nil {
			p = &Pool{kind: kind, Demand: staffing.NewDemandWindow(s.Tuning.Window)}
			s.pools[kind] = p
		}
		return p
	}
	return nil
}

// addPoolDemand adds a newly submitted gang to the demand of its pool. The size of a gang is the fraction of
// a machine that it makes unavailable to other gangs of its size: 12 of 16 CPUs count as one machine, 6 as
// half of one.
func (s *Scaler) addPoolDemand(j *state.Job, now micros.Micros) {
	p := s.poolFor(j)
	if p == nil {
		return
	}
	t := s.types[p.kind.Type]
	perMachine := t.Capacity.CountFitting(j.Need, wire.MaxTasksPerMachine) / j.Spec.Tasks
	size := 1 / float64(max(1, perMachine))
	pullTimeS := t.PullTimeS(j.Spec.ImageSizeGB)
	p.serviceTime.ObserveEstimate(size, s.Workload.ExpectedRuntime(j.Spec)+pullTimeS)
	p.batches.Add(size, 1, false)
	p.readyMachines = max(p.readyMachines, s.readyMachinesFor(j, pullTimeS))
	if j.MayHaveEarlierTasks {
		// The gang may already occupy a machine, so it raises the mean at once instead of the measured demand. The
		// arrival rate is set to the one that keeps the mean at its new value.
		p.Mean += size
		p.Demand.Seed(now, p.Mean*p.serviceTime.Rate(0))
		return
	}
	p.Demand.Add(now, size)
}

// readyMachinesFor returns how many machines must have free capacity for a gang, so that one of them sends a
// heartbeat in time for the objectives of the gang's class. The time to pull the image is deducted from the
// waiting time that an objective allows, unless the objective allows less than the pull takes.
func (s *Scaler) readyMachinesFor(j *state.Job, pullTimeS float64) int {
	ready := 1
	for _, o := range s.Workload.WaitObjectives(j.Spec.Class) {
		waitS := o.WithinS
		if waitS > pullTimeS {
			waitS -= pullTimeS
		}
		ready = max(ready, staffing.IdleMachines(waitS, s.HeartbeatInterval.Seconds(), 1-o.Share))
	}
	return ready
}

// StepPools advances the means of the pools by one second and sets their targets. A target is lowered only once per
// review interval, but raised at once.
func (s *Scaler) StepPools(now micros.Micros) {
	for _, p := range s.pools {
		lambda, mu := p.Demand.EarlyRate(now, s.Tuning.Z), p.serviceTime.Rate(0)
		p.Mean = staffing.StepMean(p.Mean, lambda, mu, stepS)
		// A machine launched now is up after one boot time, and should then suffice for a review interval.
		horizon := s.types[p.kind.Type].BootTimeS + s.Tuning.ReviewInterval.Seconds()
		peak := staffing.PeakMean(p.Mean, lambda, mu, horizon)
		target := 0
		if peak >= minPoolMean {
			formula := staffing.RequiredServers(peak, p.batches.Peakedness()*peak, s.Tuning.Z)
			target = max(formula, int(math.Ceil(peak))+p.readyMachines)
		}
		target = min(target, len(s.Fleet.Sorted)/poolFleetDivisor)
		if target > p.Target || now >= p.nextReviewAt {
			p.Target = target
			p.nextReviewAt = now + s.Tuning.ReviewInterval
		}
	}
}

// resizePools removes machines that do not run, are drained or are being terminated from the pools. It then adjusts
// each pool to its target; see resizePool.
func (s *Scaler) resizePools(now micros.Micros) {
	for _, m := range s.Fleet.Sorted {
		if m.Pool.IsSet() && (m.Instance.Terminating || m.DrainReason != "" || !m.Instance.Running) {
			m.Pool = state.PoolKind{}
		}
	}
	for _, p := range s.sortedPools() {
		s.resizePool(p, now)
	}
}

// sortedPools returns the pools in a fixed order.
func (s *Scaler) sortedPools() []*Pool {
	return slices.SortedFunc(maps.Values(s.pools), func(a, b *Pool) int {
		return cmp.Or(cmp.Compare(a.kind.Type, b.kind.Type), cmp.Compare(strconv.FormatBool(a.kind.OnDemand), strconv.FormatBool(b.kind.OnDemand)))
	})
}

// resizePool adds machines to a pool or removes machines from it to reach its target. It first adds machines whose
// non-gang tasks end within one boot time. If these and the booting machines are too few, it launches machines. If
// none can be launched, it adds machines regardless of when their tasks end.
func (s *Scaler) resizePool(p *Pool, now micros.Micros) {
	var members, candidates []*state.Machine
	booting := 0
	for _, m := range s.Fleet.Sorted {
		switch {
		case !p.kind.Admits(m.Offering) || m.Instance.Terminating || m.DrainReason != "":
		case m.Pool == p.kind:
			members = append(members, m)
		case !m.Instance.Running:
			booting++
		case !m.Pool.IsSet() && m.IsSchedulable(now):
			candidates = append(candidates, m)
		}
	}
	if len(members) > p.Target {
		s.removeFromPool(members, len(members)-p.Target)
		return
	}
	missing := p.Target - len(members)
	if missing == 0 {
		return
	}
	t := s.types[p.kind.Type]
	added := s.addToPool(p, candidates, missing, t.BootTimeS, now)
	missing -= added
	if n := missing - booting; n > 0 {
		slog.Debug("gang pool is below its target", "instance_type", p.kind.Type, "target", p.Target, "missing", missing, "booting", booting)
		if s.launch(t, !p.kind.OnDemand, n, now) == 0 {
			s.addToPool(p, candidates[added:], n, math.Inf(1), now)
		}
	}
}

// addToPool adds up to count machines to a pool, first those whose non-gang tasks end soonest. It adds no machine on
// which a non-gang task is expected to run for more than maxWaitS seconds. It returns how many machines it added.
func (s *Scaler) addToPool(p *Pool, machines []*state.Machine, count int, maxWaitS float64, now micros.Micros) (added int) {
	remainingS := make(map[*state.Machine]float64, len(machines))
	for _, m := range machines {
		for _, a := range m.Attempts {
			if !a.Job.IsGang() {
				remainingS[m] = math.Max(remainingS[m], s.Workload.RemainingRuntime(a, now))
			}
		}
	}
	slices.SortStableFunc(machines, func(a, b *state.Machine) int { return cmp.Compare(remainingS[a], remainingS[b]) })
	for _, m := range machines[:min(count, len(machines))] {
		if remainingS[m] > maxWaitS {
			break
		}
		m.Pool = p.kind
		s.OnChange()
		added++
	}
	return added
}

// RestorePoolMembership is called for a machine's first heartbeat after a failover. It adds the machine to a pool that
// is below its target, if the machine has no tasks but those of gangs. Pool membership is not stored, and in a fleet
// that array jobs fill, a machine without array tasks was most likely in a pool. Without RestorePoolMembership, array
// tasks filled the capacity that an earlier leader had reserved for gangs within one heartbeat interval.
func (s *Scaler) RestorePoolMembership(m *state.Machine) {
	for _, a := range m.Attempts {
		if !a.Job.IsGang() {
			return
		}
	}
	for _, p := range s.sortedPools() {
		if !m.Pool.IsSet() && p.kind.Admits(m.Offering) && s.countPoolMachines(p) < p.Target {
			m.Pool = p.kind
		}
	}
}

// countPoolMachines returns the number of machines in a pool.
func (s *Scaler) countPoolMachines(p *Pool) (n int) {
	for _, m := range s.Fleet.Sorted {
		if m.Pool == p.kind {
			n++
		}
	}
	return n
}

// removeFromPool opens machines of a pool to all jobs, first those with the fewest tasks.
func (s *Scaler) removeFromPool(members []*state.Machine, count int) {
	slices.SortStableFunc(members, func(a, b *state.Machine) int { return cmp.Compare(len(a.Attempts), len(b.Attempts)) })
	for _, m := range members[:count] {
		m.Pool = state.PoolKind{}
		s.OnChange()
	}
}

// pooledAboveMean returns by how many machines of a type the targets of the pools exceed the means of the pools. It
// leaves out the means, because the mean of the type includes the demand of gangs.
func (s *Scaler) pooledAboveMean(instanceType string) (excess float64) {
	for kind, p := range s.pools {
		if kind.Type == instanceType {
			excess += math.Max(0, float64(p.Target)-p.Mean)
		}
	}
	return excess
}

// Pools returns the pools by kind. The caller must not change the map.
func (s *Scaler) Pools() map[state.PoolKind]*Pool { return s.pools }
