package zoning

import (
	"fmt"
	"maps"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/zone"
)

// Status returns the status of all zones for operators. It returns nil if the policy reports none.
func (z *Zones) Status(now micros.Micros) []zone.Status {
	all := z.Policy.Status(now)
	replaced := z.ReplacedMachines(now)
	for i := range all {
		z.addWork(&all[i], replaced, now)
	}
	return all
}

// addWork adds to a zone's status the counts of displaced, moved and restarted tasks, the numbers of closed and
// replaced machines, and the tasks on unusable machines whose leases have not expired.
func (z *Zones) addWork(s *zone.Status, replaced map[*state.Machine]bool, now micros.Micros) {
	if c := z.counters[s.Zone]; c != nil {
		s.Work.Displaced, s.Work.Moved, s.Work.Restarted = maps.Clone(c.displaced), maps.Clone(c.moved), maps.Clone(c.restarted)
	}
	for _, m := range z.Fleet.Sorted {
		if m.Offering.Zone != s.Zone || m.Instance.Terminating {
			continue
		}
		if m.ZoneReturn.ZoneBoundOnly {
			s.Work.ClosedMachines++
		}
		if replaced[m] {
			s.Work.ReplacedMachines++
		}
		if leaseS := (z.LeaseExpiry(m) - now).Seconds(); z.isUnusable(m, now) && len(m.Attempts) > 0 && leaseS > 0 {
			s.Work.AddLease(len(m.Attempts), leaseS)
		}
	}
}

// DisruptionReasons describes how disrupted zones affect a job's tasks. The texts are shown to users.
func (z *Zones) DisruptionReasons(j *state.Job) (reasons []string) {
	if !z.anyClosed {
		return nil
	}
	now := micros.Now()
	onlyZone := z.OnlyZone(j)
	for _, s := range z.Policy.Status(now) {
		if s.OpenShare == 1 {
			continue
		}
		if onlyZone == s.Zone && j.WaitingTasks() > 0 {
			reasons = append(reasons, fmt.Sprintf("it can run in zone %s only, which is %s", s.Zone, s.State))
		}
		if reason := z.leaseReason(j, s, now); reason != "" {
			reasons = append(reasons, reason)
		}
	}
	return reasons
}

// leaseReason describes why a job's tasks on unusable machines of a disrupted zone are not started elsewhere yet. It
// returns an empty string if the job has no tasks on such machines.
func (z *Zones) leaseReason(j *state.Job, s zone.Status, now micros.Micros) string {
	var leased zone.WorkStatus
	for _, a := range j.Attempts {
		if a.Machine.Offering.Zone == s.Zone && z.isUnusable(a.Machine, now) {
			leased.AddLease(1, max(0, (z.LeaseExpiry(a.Machine)-now).Seconds()))
		}
	}
	switch {
	case leased.LeasedTasks == 0:
		return ""
	case j.IsGang():
		return fmt.Sprintf("%d of its gang's tasks are in zone %s, which is %s: the gang starts elsewhere only as a whole, once all are gone (leases end in %.0f s at the latest)",
			leased.LeasedTasks, s.Zone, s.State, leased.LastLeaseEndS)
	}
	return fmt.Sprintf("%d of its tasks are in zone %s, which is %s: each may run on until its machine's lease ends, in %.0f to %.0f s",
		leased.LeasedTasks, s.Zone, s.State, leased.NextLeaseEndS, leased.LastLeaseEndS)
}
