package zoning

import (
	"math"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/zone"
)

// isUnusable reports whether the room of a running machine can't be used now. One that boots counts as supply:
// it is open once it sends heartbeats, and was launched for that.
func (z *Zones) isUnusable(m *state.Machine, now micros.Micros) bool {
	return m.Instance.Running && (m.ZoneReturn.Closed || m.Silence(z.TermStartedAt, now) > state.HeartbeatTimeout(z.HeartbeatInterval) || m.LosesResponses())
}

// ReplacedMachines picks the machines that do not count as supply, since their zone is disrupted: a share of
// those that can't be used. It is nil if there are none.
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
	quota := map[string]int{}
	for name, n := range unusable {
		quota[name] = int(math.Round(z.Policy.Decide(name).ReplacementShare * float64(n)))
	}
	replaced := map[*state.Machine]bool{}
	for _, m := range z.Fleet.Sorted {
		if quota[m.Offering.Zone] > 0 && !m.Instance.Terminating && z.isUnusable(m, now) {
			replaced[m] = true
			quota[m.Offering.Zone]--
		}
	}
	return replaced
}

// LaunchAllowance is how many more machines may be launched in a zone, or zone.Unlimited.
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
