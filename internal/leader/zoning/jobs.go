package zoning

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/wire"
)

// EvacuationRank is a job's place in the order in which work leaves a lost zone.
func (z *Zones) EvacuationRank(j *state.Job) int {
	return z.Policy.EvacuationRank(j.Spec.Class, j.Priority >= wire.PriorityRank(wire.PriorityUrgent))
}

// OnlyZone is the only zone in which a job may start tasks now, empty if there are others. It matters only
// while machines are closed, and is empty otherwise.
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
	only := ""
	for _, o := range z.Offerings(j) {
		if only != "" && o.Zone != only {
			return ""
		}
		only = o.Zone
	}
	return only
}

// RecordDisplaced counts a task that was lost on a closed machine.
func (z *Zones) RecordDisplaced(a *state.Attempt) {
	if !a.Machine.ZoneReturn.Closed {
		return
	}
	z.countersOf(a.Machine).displaced[a.Job.Spec.Class]++
	if a.Job.Displaced == nil {
		a.Job.Displaced = map[int]*state.Machine{}
	}
	a.Job.Displaced[a.Index] = a.Machine
}

// RecordAssigned counts a start that is sent, and in which zone a displaced task starts again.
func (z *Zones) RecordAssigned(a *state.Attempt) {
	if a.StartSequence != 0 || a.Reserved {
		z.countersOf(a.Machine).startsSent++
	}
	from := a.Job.Displaced[a.Index]
	if from == nil {
		return
	}
	delete(a.Job.Displaced, a.Index)
	if from.Offering.Zone == a.Machine.Offering.Zone {
		z.countersOf(from).restarted[a.Job.Spec.Class]++
	} else {
		z.countersOf(from).moved[a.Job.Spec.Class]++
	}
}

// RecordStartSeen counts a start that a machine's heartbeat shows to have arrived.
func (z *Zones) RecordStartSeen(m *state.Machine) { z.countersOf(m).startsSeen++ }
