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
	"caperlatch/staffing"
)

// Arrays fill a fleet task by task, so a busy fleet seldom has room for an entire gang on
// any machine. Gangs therefore have machines of their own: their demand is a stream apart,
// measured in machines, with its mean stepped by the same equation as the fleet's
// and its margin by the same formula. Only gangs start on these machines.

// Pool is the machines of one kind that are held ready for gangs.
type Pool struct {
	kind          state.PoolKind
	Demand        *staffing.DemandWindow // gangs that came in, in machines
	service       staffing.ServiceTime
	batches       staffing.BatchSizes
	Mean          float64 // machines that gangs hold, by the equation
	readyMachines int     // machines that must have room, for one to send a heartbeat in time
	Target        int     // machines
	heldUntil     micros.Micros
}

// poolDivisor is which part of the fleet the pools may take at most.
const poolDivisor = 8

// minPoolMean is the mean below which a pool has no machine: formula (4) would keep one for a gang
// now and then.
const minPoolMean = 0.05

// poolFor is the pool that serves a gang: machines of the cheapest type that takes all of its tasks. It
// is nil for a gang that no single machine may take, and for one that is bound to types or a zone, which most of
// a pool could not serve.
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

// addPoolDemand counts a gang that came in. Its size is the part of a machine that it
// keeps from other gangs of its size: 12 of 16 CPUs count as one, 6 as half of one.
func (s *Scaler) addPoolDemand(j *state.Job, now micros.Micros) {
	p := s.poolFor(j)
	if p == nil {
		return
	}
	t := s.types[p.kind.Type]
	perMachine := t.Capacity.CountFitting(j.Need, unlimited) / j.Spec.Tasks
	size := 1 / float64(max(1, perMachine))
	pullTime := t.PullTimeS(j.Spec.ImageSizeGB)
	p.service.ObserveEstimate(size, s.Workload.ExpectedRuntime(j.Spec)+pullTime)
	p.batches.Add(size, 1, false)
	p.readyMachines = max(p.readyMachines, s.readyMachinesFor(j, pullTime))
	if j.MayHaveEarlierTasks {
		// It may hold its machine already. The rate is what keeps the mean as it is.
		p.Mean += size
		p.Demand.Seed(now, p.Mean*p.service.Rate(0))
		return
	}
	p.Demand.Add(now, size)
}

// readyMachinesFor is how many machines must have room for a gang, so that one of them sends a
// heartbeat in time for the objectives of its class, after the image is pulled (pullTime, in seconds).
func (s *Scaler) readyMachinesFor(j *state.Job, pullTime float64) int {
	ready := 1
	for _, o := range s.Workload.WaitObjectives(j.Spec.Class) {
		wait := o.WithinS
		if wait > pullTime {
			wait -= pullTime
		}
		ready = max(ready, staffing.IdleMachines(wait, s.HeartbeatInterval.Seconds(), 1-o.Share))
	}
	return ready
}

// StepPools steps the pools' means by a second and sets their targets, which hold for an interval unless they rise.
func (s *Scaler) StepPools(now micros.Micros) {
	for _, p := range s.pools {
		lambda, mu := p.Demand.EarlyRate(now, s.Tuning.Z), p.service.Rate(0)
		p.Mean = staffing.StepMean(p.Mean, lambda, mu, stepS)
		// What is launched now is up after a boot and should then do for an interval.
		horizon := s.types[p.kind.Type].BootTimeS + s.Tuning.ReviewInterval.Seconds()
		peak := staffing.PeakMean(p.Mean, lambda, mu, horizon)
		target := 0
		if peak >= minPoolMean {
			formula := staffing.RequiredServers(peak, p.batches.Peakedness()*peak, s.Tuning.Z)
			target = max(formula, int(math.Ceil(peak))+p.readyMachines)
		}
		target = min(target, len(s.Fleet.Sorted)/poolDivisor)
		if target > p.Target || now >= p.heldUntil {
			p.Target = target
			p.heldUntil = now + s.Tuning.ReviewInterval
		}
	}
}

// resizePools picks the pools' machines, and launches what the fleet lacks.
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

// sortedPools lists the pools in a fixed order.
func (s *Scaler) sortedPools() []*Pool {
	return slices.SortedFunc(maps.Values(s.pools), func(a, b *Pool) int {
		return cmp.Or(cmp.Compare(a.kind.Type, b.kind.Type), cmp.Compare(strconv.FormatBool(a.kind.OnDemand), strconv.FormatBool(b.kind.OnDemand)))
	})
}

// resizePool has a pool consist of as many machines as its target says.
func (s *Scaler) resizePool(p *Pool, now micros.Micros) {
	var members, others []*state.Machine
	booting := 0
	for _, m := range s.Fleet.Sorted {
		switch {
		case !p.kind.Admits(m.Offering) || m.Instance.Terminating || m.DrainReason != "":
		case m.Pool == p.kind:
			members = append(members, m)
		case !m.Instance.Running:
			booting++
		case !m.Pool.IsSet() && m.IsSchedulable(now):
			others = append(others, m)
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
	joined := s.addToPool(p, others, missing, t.BootTimeS, now)
	missing -= joined
	if n := missing - booting; n > 0 {
		slog.Debug("gang pool is short", "instance_type", p.kind.Type, "target", p.Target, "missing", missing, "booting", booting)
		if s.launch(t, !p.kind.OnDemand, n, now) == 0 {
			s.addToPool(p, others[joined:], n, math.Inf(1), now)
		}
	}
}

// addToPool takes up to count machines into a pool, those first whose other work ends soonest, if it
// does within so many seconds. It returns how many.
func (s *Scaler) addToPool(p *Pool, machines []*state.Machine, count int, within float64, now micros.Micros) (joined int) {
	clearIn := make(map[*state.Machine]float64, len(machines))
	for _, m := range machines {
		for _, a := range m.Attempts {
			if !a.Job.IsGang() {
				clearIn[m] = math.Max(clearIn[m], s.Workload.RemainingRuntime(a, now))
			}
		}
	}
	slices.SortStableFunc(machines, func(a, b *state.Machine) int { return cmp.Compare(clearIn[a], clearIn[b]) })
	for _, m := range machines[:min(count, len(machines))] {
		if clearIn[m] > within {
			break
		}
		m.Pool = p.kind
		s.OnChange()
		joined++
	}
	return joined
}

// RestorePoolMembership takes a machine back into a pool, when after a failover its first heartbeat
// shows nothing but gangs on it. Which machines were in a pool is not stored; in a fleet that arrays fill, those
// with room for gangs are the ones. Without it the room that an earlier leader held was filled up with arrays
// within a heartbeat interval.
func (s *Scaler) RestorePoolMembership(m *state.Machine) {
	for _, a := range m.Attempts {
		if !a.Job.IsGang() {
			return
		}
	}
	for _, p := range s.sortedPools() {
		if !m.Pool.IsSet() && p.kind.Admits(m.Offering) && s.poolMembers(p) < p.Target {
			m.Pool = p.kind
		}
	}
}

// poolMembers counts the machines of a pool.
func (s *Scaler) poolMembers(p *Pool) (n int) {
	for _, m := range s.Fleet.Sorted {
		if m.Pool == p.kind {
			n++
		}
	}
	return n
}

// removeFromPool opens machines of a pool to all work, the emptiest first.
func (s *Scaler) removeFromPool(members []*state.Machine, count int) {
	slices.SortStableFunc(members, func(a, b *state.Machine) int { return cmp.Compare(len(a.Attempts), len(b.Attempts)) })
	for _, m := range members[:count] {
		m.Pool = state.PoolKind{}
		s.OnChange()
	}
}

// pooledBeyondMean is how many machines of a type the pools hold beyond their mean, which counts in
// the type's own mean.
func (s *Scaler) pooledBeyondMean(instanceType string) (beyond float64) {
	for kind, p := range s.pools {
		if kind.Type == instanceType {
			beyond += math.Max(0, float64(p.Target)-p.Mean)
		}
	}
	return beyond
}

// Pools are the pools by kind. The map must not be changed.
func (s *Scaler) Pools() map[state.PoolKind]*Pool { return s.pools }
