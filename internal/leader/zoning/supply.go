package zoning

import (
	"math"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/zone"
)

// isUnusable reports whether the capacity of a running machine cannot be used now, because the machine is closed, its
// heartbeat is late, or it loses responses. A booting machine is not unusable: it was launched to add capacity.
func (z *Zones) isUnusable(m *state.Machine, now micros.Micros) bool {
	return m.Instance.Running && (m.ZoneReturn.ZoneBoundOnly || m.Silence(z.TermStartedAt, now) > state.HeartbeatTimeout(z.HeartbeatInterval) || m.LosesResponses())
}

// ReplacedMachines returns the machines that do not count as supply because their zone is disrupted. In each zone, the
// policy's replacement share of the unusable machines is replaced. The result is nil if no zone has a replacement
// share.
func (z *Zones) ReplacedMachines(now micros.Micros) map[*state.Machine]bool {
	if !z.anyReplaced {
		return nil
	}
	unusable := map[string]int{}
	for _, m := range z.Fleet.Sorted {
		if !m.Instance.Terminating && z.isUnusable(m, now) {
			unusable[m.Offering.Zone]++
		}
	}
	replacementQuota := map[string]int{}
	for name, n := range unusable {
		replacementQuota[name] = int(math.Round(z.Policy.Decide(name).ReplacementShare * float64(n)))
	}
	replaced := map[*state.Machine]bool{}
	for _, m := range z.Fleet.Sorted {
		if replacementQuota[m.Offering.Zone] > 0 && !m.Instance.Terminating && z.isUnusable(m, now) {
			replaced[m] = true
			replacementQuota[m.Offering.Zone]--
		}
	}
	return replaced
}

// LaunchAllowance returns how many more machines may be launched in a zone. It returns zone.Unlimited if the policy
// sets no limit.
func (z *Zones) LaunchAllowance(name string) int {
	allowance := z.Policy.Decide(name).MaxMachines
	if allowance == zone.Unlimited {
		return allowance
	}
	for _, m := range z.Fleet.Sorted {
		if m.Offering.Zone == name && !m.Instance.Terminating {
			allowance--
		}
	}
	for intent := range z.Fleet.OpenIntents() {
		if intent.Zone == name {
			allowance -= intent.Count
		}
	}
	return max(0, allowance)
}
