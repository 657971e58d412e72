package autoscaler

import (
	"cmp"
	"math"
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
)

// markSurplus picks the n machines of a type that the formula does not want, the dearest and
// emptiest. They get tasks only when no other has room: spread over all machines, a few tasks would keep every
// one of them busy for ever.
func (s *Scaler) markSurplus(t *TypeModel, n int, now micros.Micros) {
	var candidates []*state.Machine
	for _, m := range s.Fleet.Sorted {
		if m.Offering.Type == t.Name {
			m.Surplus = false
			if m.Instance.Running && !m.Instance.Terminating && m.DrainReason == "" && !m.Pool.IsSet() {
				candidates = append(candidates, m)
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b *state.Machine) int {
		return cmp.Or(cmp.Compare(t.Price(b.Offering.Spot), t.Price(a.Offering.Spot)), cmp.Compare(len(a.Attempts), len(b.Attempts)))
	})
	for i, m := range candidates {
		switch m.Surplus = i < n; {
		case !m.Surplus:
			m.SurplusSince = 0
		case m.SurplusSince == 0:
			m.SurplusSince = now
		}
	}
}

// RejectDelayTolerant picks the on-demand machines of a type that only delay-tolerant jobs would
// use. They get none of these, and so are terminated when they are idle: once launched for others,
// best-effort work kept them for the rest of the day. wanted is how many machines are to be there for other
// jobs, and need how many on-demand machines these need beyond the fleet: then none is picked.
func (s *Scaler) RejectDelayTolerant(t *TypeModel, wanted, need float64) {
	left := ceilMachines(wanted)
	var candidates []*state.Machine
	for _, m := range s.Fleet.Sorted {
		if m.Offering.Type != t.Name || m.Instance.Terminating || m.DrainReason != "" {
			continue
		}
		m.RejectsDelayTolerant = false
		if m.Offering.Spot || !s.servesDelayTolerantOnly(m) {
			left--
			continue
		}
		candidates = append(candidates, m)
	}
	if need > traceOfMachine {
		return
	}
	slices.SortStableFunc(candidates, func(a, b *state.Machine) int { return cmp.Compare(len(a.Attempts), len(b.Attempts)) })
	picked := max(0, min(len(candidates), len(candidates)-int(math.Max(0, left))))
	for _, m := range candidates[:picked] {
		m.RejectsDelayTolerant = true
	}
}

// servesDelayTolerantOnly reports whether no other than delay-tolerant jobs have tasks on a machine.
func (s *Scaler) servesDelayTolerantOnly(m *state.Machine) bool {
	if m.Pool.IsSet() {
		return false
	}
	for _, a := range m.Attempts {
		if !s.Workload.IsDelayTolerant(a.Job) {
			return false
		}
	}
	return true
}

const (
	// minBilledTime is how long a machine is paid for at least.
	minBilledTime = 60 * micros.Second
	// billingMargin is how long before its end a machine may be terminated.
	billingMargin = 3 * micros.Second
)

// terminateIdle terminates up to n idle machines, the dearest first, but none before the time is
// used that is paid for.
func (s *Scaler) terminateIdle(t *TypeModel, n int, now micros.Micros) {
	if !s.Term.HoldsSession() {
		// That a machine is terminated could not be stored, and a next leader would
		// have to wait for its lease.
		return
	}
	var idle []*state.Machine
	for _, m := range s.Fleet.Sorted {
		if m.Offering.Type == t.Name && s.isIdle(m, t, now) {
			idle = append(idle, m)
		}
	}
	slices.SortStableFunc(idle, func(a, b *state.Machine) int {
		return cmp.Compare(t.Price(b.Offering.Spot), t.Price(a.Offering.Spot))
	})
	for _, m := range idle[:min(n, len(idle))] {
		s.Fleet.Terminate(m, "not needed")
	}
}

// isIdle reports whether a machine has been without use for so long that it may be terminated.
func (s *Scaler) isIdle(m *state.Machine, t *TypeModel, now micros.Micros) bool {
	return len(m.Attempts) == 0 && len(m.PlannedStarts) == 0 && !m.Pool.IsSet() &&
		m.TasksKnown() && !m.Instance.Terminating && m.DrainReason == "" &&
		now-m.Instance.LaunchedAt > minBilledTime-billingMargin &&
		now-m.Instance.IdleSince > s.IdleTimeout(t, m.Offering.Spot)
}

// IdleTimeout is how long an idle machine is kept in case it is needed again. As much time as a new
// one takes to boot costs about what terminating it in error would, to jobs that cannot wait; an expensive one
// is not worth that while spot machines can be had.
func (s *Scaler) IdleTimeout(t *TypeModel, spot bool) micros.Micros {
	immediate, types := 0.0, 0.0
	for _, other := range s.types {
		immediate += other.batches.ImmediateShare()
		types++
	}
	keep := micros.FromSeconds(t.BootTimeS / s.PriceRatio(t, spot) * immediate / types)
	return max(2*s.HeartbeatInterval, keep)
}
