package fleet

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
)

// Machines that boot late. Most are up within one and a half times the nominal time. One that is
// not costs as long as it is waited for; one that is given up costs what a new one takes to boot, and may
// have come up the next second. So it depends on what late machines lately did, and on whether this one is
// late alone. The factors are of the nominal boot time.
const (
	lateBootFactor       = 1.6 // no longer counted on
	stuckBootFactor      = 2.0 // terminated, where late machines mostly don't come up
	slowCloudStuckFactor = 4.0 // terminated, where they do
	lateBootMargin       = 2 * micros.Second
	stuckBootMargin      = 10 * micros.Second
	// unknownBootTime is that of an instance type which the cloud no longer lists.
	unknownBootTime = 30 * micros.Second
	// cohortWindow is within what time machines were launched together.
	cohortWindow = 15 * micros.Second
	// minCohort is how many machines a cohort must have to be judged.
	minCohort = 3
	// lateSampleDivisor is which part of the machines that are late together is replaced to see.
	lateSampleDivisor = 10
	// bootMemory is by what factor an earlier outcome counts less with each later one.
	bootMemory = 0.9
)

// bootOutcomes counts late machines by how they ended. Old ones count for less and less.
type bootOutcomes struct{ cameUp, failed float64 }

func (b *bootOutcomes) add(cameUp bool) {
	b.cameUp, b.failed = bootMemory*b.cameUp, bootMemory*b.failed
	if cameUp {
		b.cameUp++
	} else {
		b.failed++
	}
}

// expectsArrival reports whether a late machine is as likely to come up as not.
func (b *bootOutcomes) expectsArrival() bool { return b.cameUp >= b.failed }

// bootTime is a machine's nominal boot time.
func (f *Fleet) bootTime(m *state.Machine) micros.Micros {
	if t, ok := f.InstanceType(m.Offering.Type); ok {
		return t.BootTime
	}
	return unknownBootTime
}

// scaled is a duration times a factor.
func scaled(m micros.Micros, factor float64) micros.Micros {
	return micros.FromSeconds(factor * m.Seconds())
}

// isBootLate reports whether a machine takes longer to boot than most do.
func (f *Fleet) isBootLate(m *state.Machine, now micros.Micros) bool {
	return !m.Instance.Running && now-m.Instance.LaunchedAt > scaled(f.bootTime(m), lateBootFactor)+lateBootMargin
}

// IsOverdue reports whether a machine boots late, or is silent beyond its lease. It is no longer
// counted on, though it may still come: another is launched for it. Not so when most that were launched with
// it or after are late as well: the cloud is slow then, and a second fleet would be as late, and paid for
// beside the first.
func (f *Fleet) IsOverdue(m *state.Machine, now micros.Micros) bool {
	return m.Lease.ExpiredSince != 0 || f.isBootLate(m, now) && !m.Instance.LateWithCohort
}

// BootTimeout is after what time since its launch a machine that has not come up counts as stuck.
func (f *Fleet) BootTimeout(m *state.Machine) micros.Micros {
	factor := stuckBootFactor
	if m.Instance.LateWithCohort || f.boots.expectsArrival() {
		factor = slowCloudStuckFactor
	}
	return scaled(f.bootTime(m), factor) + stuckBootMargin
}

// RecordBoot notes that a machine came up.
func (f *Fleet) RecordBoot(m *state.Machine, now micros.Micros) {
	if f.isBootLate(m, now) {
		f.boots.add(true)
	}
}

// RecordStuckBoot notes that a machine is given up before it came up.
func (f *Fleet) RecordStuckBoot() { f.boots.add(false) }

// CheckBoots finds machines that are late together, and replaces a few of them to see whether the
// cloud is still slow.
func (f *Fleet) CheckBoots(now micros.Micros) {
	f.markLateCohorts(now)
	f.replaceLateSample(now)
}

// markLateCohorts finds the machines that are late together: a machine is, if of those that were
// launched with it, and should be up, most are not, and those launched later, which show how the cloud is
// now, did no better.
func (f *Fleet) markLateCohorts(now micros.Micros) {
	var with, after cohort
	next, later := len(f.Sorted)-1, len(f.Sorted)-1 // IDs are in the order of creation
	for i := len(f.Sorted) - 1; i >= 0; i-- {
		m := f.Sorted[i]
		m.Instance.LateWithCohort = false
		if m.Instance.Running || m.Instance.Terminating {
			continue
		}
		for ; next >= 0 && f.Sorted[next].Instance.LaunchedAt >= m.Instance.LaunchedAt-cohortWindow; next-- {
			with.add(f.Sorted[next], f.isBootLate(f.Sorted[next], now))
		}
		for ; later >= 0 && f.Sorted[later].Instance.LaunchedAt > m.Instance.LaunchedAt+cohortWindow; later-- {
			after.add(f.Sorted[later], f.isBootLate(f.Sorted[later], now))
		}
		if after.running+after.late >= minCohort {
			m.Instance.LateWithCohort = after.late > after.running
		} else {
			m.Instance.LateWithCohort = with.late >= minCohort && with.late > with.running
		}
	}
}

// cohort counts machines that were launched at about the same time.
type cohort struct{ running, late int }

func (c *cohort) add(m *state.Machine, late bool) {
	switch {
	case m.Instance.Terminating:
	case m.Instance.Running:
		c.running++
	case late:
		c.late++
	}
}

// replaceLateSample terminates a few of the machines that are late together, so that new ones in
// their place show whether the cloud is still slow. Nothing else would, where the fleet is at its limit: all
// would be waited for long after a new one came up at once.
func (f *Fleet) replaceLateSample(now micros.Micros) {
	var late []*state.Machine
	for _, m := range f.Sorted {
		bootTime := f.bootTime(m)
		sinceLaunch := now - m.Instance.LaunchedAt
		if !m.Instance.Running && !m.Instance.Terminating && sinceLaunch < bootTime/2 {
			return // the last ones are still on their way
		}
		if m.Instance.LateWithCohort && sinceLaunch > scaled(bootTime, stuckBootFactor)+stuckBootMargin {
			late = append(late, m)
		}
	}
	for _, m := range late[:(len(late)+lateSampleDivisor-1)/lateSampleDivisor] {
		f.Terminate(m, "to see whether another boots sooner")
	}
}
