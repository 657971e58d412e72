package fleet

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
)

// Thresholds for machines that boot slowly. Most machines are up within 1.5 times the nominal boot time. Waiting for a
// slower machine costs the time of the wait. Giving it up costs the boot time of a new machine, although the old one
// might have come up a second later. So the thresholds depend on how slow boots ended recently, and on whether other
// machines of the same cohort are late too. The factors are multiples of the nominal boot time. The margins are added
// to the result.
const (
	lateBootFactor       = 1.6 // after this, a machine is late and does not count as supply unless most of its cohort is late
	stuckBootFactor      = 2.0 // after this, a machine is stuck, unless slowCloudStuckFactor applies
	slowCloudStuckFactor = 4.0 // instead of stuckBootFactor if most of the cohort is late, or slow boots mostly succeed
	lateBootMargin       = 2 * micros.Second
	stuckBootMargin      = 10 * micros.Second
	// unknownBootTime is the boot time assumed for an instance type that the cloud no longer lists.
	unknownBootTime = 30 * micros.Second
	// cohortWindow is the largest difference between the launch times of machines in one cohort.
	cohortWindow = 15 * micros.Second
	// minCohort is the minimum number of machines from which the state of the cloud is inferred.
	minCohort = 3
	// lateSampleDivisor determines how many of the machines that are late together are replaced: one in that
	// many, rounded up.
	lateSampleDivisor = 10
	// bootOutcomeDecay is the factor by which the weight of earlier outcomes falls with each new one.
	bootOutcomeDecay = 0.9
)

// bootOutcomes counts slow boots by outcome. The weight of old outcomes decays.
type bootOutcomes struct{ cameUp, failed float64 }

func (b *bootOutcomes) add(cameUp bool) {
	b.cameUp, b.failed = bootOutcomeDecay*b.cameUp, bootOutcomeDecay*b.failed
	if cameUp {
		b.cameUp++
	} else {
		b.failed++
	}
}

// mostlySucceed reports whether, by their weights, at least as many slow boots succeeded as failed.
func (b *bootOutcomes) mostlySucceed() bool { return b.cameUp >= b.failed }

// bootTime returns the nominal boot time of a machine.
func (f *Fleet) bootTime(m *state.Machine) micros.Micros {
	if t, ok := f.InstanceType(m.Offering.Type); ok {
		return t.BootTime
	}
	return unknownBootTime
}

// scaleDuration returns a duration multiplied by a factor.
func scaleDuration(m micros.Micros, factor float64) micros.Micros {
	return micros.FromSeconds(factor * m.Seconds())
}

// isBootLate reports whether a machine is taking longer to boot than most machines do.
func (f *Fleet) isBootLate(m *state.Machine, now micros.Micros) bool {
	return !m.Instance.Running && now-m.Instance.LaunchedAt > scaleDuration(f.bootTime(m), lateBootFactor)+lateBootMargin
}

// IsOverdue reports whether a machine is late to boot, or silent beyond its lease. An overdue machine no
// longer counts as supply, so another one is launched for it, though it may still come up. A machine that
// boots late is not overdue if most machines of its cohort or of later launches are late as well. In that
// case the cloud is slow: replacements would be as late, and billed in addition to the first machines.
func (f *Fleet) IsOverdue(m *state.Machine, now micros.Micros) bool {
	return m.Lease.ExpiredSince != 0 || f.isBootLate(m, now) && !m.Instance.LateWithCohort
}

// BootTimeout returns how long after its launch a machine that has not come up counts as stuck.
func (f *Fleet) BootTimeout(m *state.Machine) micros.Micros {
	factor := stuckBootFactor
	if m.Instance.LateWithCohort || f.lateBoots.mostlySucceed() {
		factor = slowCloudStuckFactor
	}
	return scaleDuration(f.bootTime(m), factor) + stuckBootMargin
}

// RecordBoot records that a machine came up, if its boot was late.
func (f *Fleet) RecordBoot(m *state.Machine, now micros.Micros) {
	if f.isBootLate(m, now) {
		f.lateBoots.add(true)
	}
}

// RecordStuckBoot records that a machine was given up before it came up.
func (f *Fleet) RecordStuckBoot() { f.lateBoots.add(false) }

// CheckBoots finds machines that are late together, and replaces a few of them to test whether the cloud is
// still slow.
func (f *Fleet) CheckBoots(now micros.Micros) {
	f.markLateCohorts(now)
	f.replaceLateSample(now)
}

// markLateCohorts sets LateWithCohort of the booting machines. Machines that were launched more than cohortWindow
// after a machine show the present state of the cloud. If at least minCohort of them are running or late, the machine
// is marked if more of them are late than running. Otherwise, all machines launched later than cohortWindow before the
// machine are compared: it is marked if at least minCohort of them are late, and more of them are late than running.
func (f *Fleet) markLateCohorts(now micros.Micros) {
	var peers, laterLaunches cohort
	nextPeer, nextLater := len(f.Sorted)-1, len(f.Sorted)-1 // f.Sorted is in the order of creation
	for i := len(f.Sorted) - 1; i >= 0; i-- {
		m := f.Sorted[i]
		m.Instance.LateWithCohort = false
		if m.Instance.Running || m.Instance.Terminating {
			continue
		}
		for ; nextPeer >= 0 && f.Sorted[nextPeer].Instance.LaunchedAt >= m.Instance.LaunchedAt-cohortWindow; nextPeer-- {
			peers.add(f.Sorted[nextPeer], f.isBootLate(f.Sorted[nextPeer], now))
		}
		for ; nextLater >= 0 && f.Sorted[nextLater].Instance.LaunchedAt > m.Instance.LaunchedAt+cohortWindow; nextLater-- {
			laterLaunches.add(f.Sorted[nextLater], f.isBootLate(f.Sorted[nextLater], now))
		}
		if laterLaunches.running+laterLaunches.late >= minCohort {
			m.Instance.LateWithCohort = laterLaunches.late > laterLaunches.running
		} else {
			m.Instance.LateWithCohort = peers.late >= minCohort && peers.late > peers.running
		}
	}
}

// cohort counts the machines of a group by whether they run or are late.
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

// replaceLateSample terminates a few of the machines that are late with their cohort, so that their replacements show
// whether the cloud is still slow. In a fleet that is at its limit, nothing else is launched that could show it.
// Without the sample, the leader would go on waiting for all late machines long after new machines boot in time again.
func (f *Fleet) replaceLateSample(now micros.Micros) {
	var late []*state.Machine
	for _, m := range f.Sorted {
		bootTime := f.bootTime(m)
		sinceLaunch := now - m.Instance.LaunchedAt
		if !m.Instance.Running && !m.Instance.Terminating && sinceLaunch < bootTime/2 {
			return // the most recently launched machines may still come up in time
		}
		if m.Instance.LateWithCohort && sinceLaunch > scaleDuration(bootTime, stuckBootFactor)+stuckBootMargin {
			late = append(late, m)
		}
	}
	for _, m := range late[:(len(late)+lateSampleDivisor-1)/lateSampleDivisor] {
		f.Terminate(m, "to see whether another boots sooner")
	}
}
