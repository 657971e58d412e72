package autoscaler

import (
	"cmp"
	"math"
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
)

// markSurplus marks as surplus the n machines of a type that the formula does not require: the most expensive ones,
// and among equally expensive ones those with the fewest tasks. Machines that do not run, are drained, are being
// terminated or are in a pool are left out. A surplus machine gets tasks only when no other machine has free capacity.
// If tasks were spread over all machines, a few tasks would keep each of them busy forever.
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

// RejectDelayTolerant marks the on-demand machines of a type that only delay-tolerant jobs would use. No further tasks
// of delay-tolerant jobs start on marked machines, so the machines become idle and are terminated. Without these
// marks, best-effort work kept machines that were launched for other jobs for the rest of the day. required is the
// number of machines that other jobs require. need is the number of on-demand machines that other jobs need in
// addition to the fleet; if it exceeds 0 by more than roundingTolerance, no machine is marked.
func (s *Scaler) RejectDelayTolerant(t *TypeModel, required, need float64) {
	remaining := ceilMachines(required)
	var candidates []*state.Machine
	for _, m := range s.Fleet.Sorted {
		if m.Offering.Type != t.Name || m.Instance.Terminating || m.DrainReason != "" {
			continue
		}
		m.RejectsDelayTolerant = false
		if m.Offering.Spot || !s.runsOnlyDelayTolerant(m) {
			remaining--
			continue
		}
		candidates = append(candidates, m)
	}
	if need > roundingTolerance {
		return
	}
	slices.SortStableFunc(candidates, func(a, b *state.Machine) int { return cmp.Compare(len(a.Attempts), len(b.Attempts)) })
	rejecting := max(0, min(len(candidates), len(candidates)-int(math.Max(0, remaining))))
	for _, m := range candidates[:rejecting] {
		m.RejectsDelayTolerant = true
	}
}

// runsOnlyDelayTolerant reports whether a machine is in no pool and has no tasks except those of delay-tolerant jobs.
func (s *Scaler) runsOnlyDelayTolerant(m *state.Machine) bool {
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
	// minBilledTime is the shortest time for which the cloud bills a machine.
	minBilledTime = 60 * micros.Second
	// billingMargin is how long before the end of the minimum billed time a machine may be terminated.
	billingMargin = 3 * micros.Second
)

// terminateIdle terminates up to n idle machines, the most expensive first, while this leader holds its session. It
// terminates no machine before its minimum billed time has almost passed.
func (s *Scaler) terminateIdle(t *TypeModel, n int, now micros.Micros) {
	if !s.Term.HoldsSession() {
		// The termination could not be stored, and the next leader would have to wait for the machine's lease
		// to end.
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

// isIdle reports whether a machine has been unused for so long that it may be terminated. A booting machine that a
// waiting job relies on is not idle.
func (s *Scaler) isIdle(m *state.Machine, t *TypeModel, now micros.Micros) bool {
	return len(m.Attempts) == 0 && len(m.PlannedStarts) == 0 && !m.Pool.IsSet() && !s.awaited[m] &&
		m.TasksKnown() && !m.Instance.Terminating && m.DrainReason == "" &&
		now-m.Instance.LaunchedAt > minBilledTime-billingMargin &&
		now-m.Instance.IdleSince > s.IdleTimeout(t, m.Offering.Spot)
}

// IdleTimeout returns how long an idle machine is kept in case it is needed again. This is the boot time, multiplied by
// the share of the work that cannot wait, as a mean over the instance types, and divided by the machine's price ratio.
// It is at least two heartbeat intervals.
//
// Keeping a machine for one boot time costs about as much as terminating it by mistake costs the jobs that cannot wait.
// An expensive machine is kept for a shorter time, because spot machines can replace it while they are available.
func (s *Scaler) IdleTimeout(t *TypeModel, spot bool) micros.Micros {
	immediateShares, typeCount := 0.0, 0.0
	for _, other := range s.types {
		immediateShares += other.batches.ImmediateShare()
		typeCount++
	}
	timeout := micros.FromSeconds(t.BootTimeS / s.PriceRatio(t, spot) * immediateShares / typeCount)
	return max(2*s.HeartbeatInterval, timeout)
}
