package leader

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
)

// Machines that come up late. Most are up within one and a half times the catalog's
// time. One that is not costs as long as it is waited for; one that is given up costs
// what a new one takes to boot, and may have come the next second. So it depends on
// what late machines lately did, and on whether this one is late alone.
const (
	lateBootFactor       = 1.6 // times the catalog's time: no longer counted on
	stuckBootFactor      = 2   // returned, where late machines don't come
	slowCloudStuckFactor = 4   // returned, where they do
	cohortWindow         = 15 * micros.Second
)

// bootOutcomes counts late machines by how they ended. Old ones count for less and less.
type bootOutcomes struct{ arrived, failed float64 }

func (b *bootOutcomes) add(came bool) {
	b.arrived, b.failed = 0.9*b.arrived, 0.9*b.failed
	if came {
		b.arrived++
	} else {
		b.failed++
	}
}

// expectArrival tells whether a late machine is as likely to come as not.
func (b *bootOutcomes) expectArrival() bool { return b.arrived >= b.failed }

func (l *Leader) bootTime(m *state.Machine) micros.Micros {
	if t := l.types[m.Offering.Type]; t != nil {
		return micros.FromSeconds(t.BootTimeS)
	}
	return 30 * micros.Second
}

func scaled(m micros.Micros, n float64) micros.Micros {
	return micros.FromSeconds(n * m.Seconds())
}

// isBootLate tells whether a machine takes longer to come up than most do.
func (l *Leader) isBootLate(m *state.Machine, now micros.Micros) bool {
	return !m.Instance.Running && now-m.Instance.LaunchedAt > scaled(l.bootTime(m), lateBootFactor)+2*micros.Second
}

// isOverdue tells whether a machine is late, or is silent beyond its lease. It is no
// longer counted on, though it may still come: another is rented for it. Not so when
// most that were rented with it or after are late as well: the cloud is slow then, and
// a second fleet would be as late, and paid for beside the first.
func (l *Leader) isOverdue(m *state.Machine, now micros.Micros) bool {
	return m.Lease.ExpiredSince != 0 || l.isBootLate(m, now) && !m.Instance.LateWithCohort
}

// bootTimeout is when a machine that has not come up counts as stuck.
func (l *Leader) bootTimeout(m *state.Machine) micros.Micros {
	n := float64(stuckBootFactor)
	if m.Instance.LateWithCohort || l.bootOutcomes.expectArrival() {
		n = slowCloudStuckFactor
	}
	return scaled(l.bootTime(m), n) + 10*micros.Second
}

// markLateCohorts finds the machines that are late together: a machine is, if of those that
// were rented with it, and should be up, most are not, and those rented later, which tell
// how the cloud is now, did no better.
func (l *Leader) markLateCohorts(now micros.Micros) {
	var with, after cohortCount
	next, later := len(l.sorted)-1, len(l.sorted)-1 // names are in the order of creation
	for i := len(l.sorted) - 1; i >= 0; i-- {
		m := l.sorted[i]
		m.Instance.LateWithCohort = false
		if m.Instance.Running || m.Instance.Terminating {
			continue
		}
		for ; next >= 0 && l.sorted[next].Instance.LaunchedAt >= m.Instance.LaunchedAt-cohortWindow; next-- {
			with.add(l.sorted[next], l.isBootLate(l.sorted[next], now))
		}
		for ; later >= 0 && l.sorted[later].Instance.LaunchedAt > m.Instance.LaunchedAt+cohortWindow; later-- {
			after.add(l.sorted[later], l.isBootLate(l.sorted[later], now))
		}
		if after.running+after.late >= 3 {
			m.Instance.LateWithCohort = after.late > after.running
		} else {
			m.Instance.LateWithCohort = with.late >= 3 && with.late > with.running
		}
	}
}

// cohortCount is how many machines are up and how many late.
type cohortCount struct{ running, late int }

func (c *cohortCount) add(m *state.Machine, late bool) {
	switch {
	case m.Instance.Terminating:
	case m.Instance.Running:
		c.running++
	case late:
		c.late++
	}
}

// replaceLateSample returns a few of the machines that are late together, so that new ones in
// their place show whether the cloud is still slow. Nothing else would, where the fleet is
// at its limit: all would be waited for long after a new one came up at once.
func (l *Leader) replaceLateSample(now micros.Micros) {
	var late []*state.Machine
	for _, m := range l.sorted {
		boot := l.bootTime(m)
		if !m.Instance.Running && !m.Instance.Terminating && now-m.Instance.LaunchedAt < boot/2 {
			return // the last ones are still on their way
		}
		if m.Instance.LateWithCohort && now-m.Instance.LaunchedAt > scaled(boot, stuckBootFactor)+10*micros.Second {
			late = append(late, m)
		}
	}
	for _, m := range late[:(len(late)+lateSampleDivisor-1)/lateSampleDivisor] {
		l.terminate(m, "to see whether another boots sooner")
	}
}

// lateSampleDivisor is which part of the late machines is replaced to see.
const lateSampleDivisor = 10

// recordBoot notes that a machine came up.
func (l *Leader) recordBoot(m *state.Machine, now micros.Micros) {
	if l.isBootLate(m, now) {
		l.bootOutcomes.add(true)
	}
}
