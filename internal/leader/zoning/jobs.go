package zoning

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/wire"
)

// EvacuationRank returns a job's rank in the order in which work is restarted outside a lost zone.
func (z *Zones) EvacuationRank(j *state.Job) int {
	return z.Policy.EvacuationRank(j.Spec.Class, j.Priority >= wire.PriorityRank(wire.PriorityUrgent))
}

// OnlyZone returns the zone in which a job may start tasks now if there is only one, and an empty string otherwise.
// While no zone has closed machines, the result is not needed, and OnlyZone returns an empty string.
func (z *Zones) OnlyZone(j *state.Job) string {
	if !z.anyClosed {
		return ""
	}
	if j.Spec.Zone != "" {
		return j.Spec.Zone
	}
	if j.Spec.SingleZone {
		for name, n := range j.AttemptsPerZone {
			if n > 0 {
				return name
			}
		}
	}
	onlyZone := ""
	for _, o := range z.Offerings(j) {
		if onlyZone != "" && o.Zone != onlyZone {
			return ""
		}
		onlyZone = o.Zone
	}
	return onlyZone
}

// RecordDisplaced counts a lost task as displaced if its machine is closed.
func (z *Zones) RecordDisplaced(a *state.Attempt) {
	if !a.Machine.ZoneReturn.ZoneBoundOnly {
		return
	}
	z.countersFor(a.Machine).displaced[a.Job.Spec.Class]++
	if a.Job.Displaced == nil {
		a.Job.Displaced = map[int]*state.Machine{}
	}
	a.Job.Displaced[a.Index] = a.Machine
}

// RecordAssigned counts a start that was sent to a machine in this term, or is reserved for its next heartbeat
// response. An adopted task counts as no start. If the task was displaced, RecordAssigned also counts whether the task
// is restarted in the zone where it was lost or moved to another one.
func (z *Zones) RecordAssigned(a *state.Attempt) {
	if a.StartSequence != 0 || a.Reserved {
		z.countersFor(a.Machine).startsSent++
	}
	lostOn := a.Job.Displaced[a.Index]
	if lostOn == nil {
		return
	}
	delete(a.Job.Displaced, a.Index)
	if lostOn.Offering.Zone == a.Machine.Offering.Zone {
		z.countersFor(lostOn).restarted[a.Job.Spec.Class]++
	} else {
		z.countersFor(lostOn).moved[a.Job.Spec.Class]++
	}
}

// RecordStartSeen counts a start whose arrival is shown by a machine's heartbeat.
func (z *Zones) RecordStartSeen(m *state.Machine) { z.countersFor(m).startsSeen++ }
