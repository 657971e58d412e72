package leader

import (
	"cmp"
	"log/slog"
	"math"
	"slices"

	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// drainForConsolidation is why a machine is emptied whose few tasks have room elsewhere.
const drainForConsolidation = "its tasks have room elsewhere"

// A task is moved only after it has run for so long, and if it should for as long again.
const minRunBeforeMove = minCountedRun

// consolidate empties machines that are not wanted and hold a few tasks that can save,
// when others have room for all of these: long best-effort tasks, spread thin, kept half
// of a fleet up for minutes after everybody else had gone. It acts only while nothing
// waits, so that a moved task finds its room at once.
func (l *Leader) consolidate(now micros.Micros) {
	if len(l.queue.jobs) > 0 || !l.Term.HoldsSession() || !l.Term.IsExclusive() || l.countUnknownMachines() > 0 {
		return
	}
	var ms []*machine
	for _, m := range l.sorted {
		if l.types[m.offering.Type] != nil && m.isOpenToAllZones(now) && len(m.attempts) > 0 && now-m.heartbeat.receivedAt <= 2*l.heartbeatInterval {
			ms = append(ms, m)
		}
	}
	// The dearest a held CPU first: these are emptied, into the others from the end.
	perHeld := func(m *machine) float64 {
		t := l.types[m.offering.Type]
		return price(t, m.offering.Spot) / float64(max(1, t.capacity.CPU-m.free.CPU))
	}
	slices.SortStableFunc(ms, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(perHeld(b), perHeld(a)), cmp.Compare(a.id, b.id))
	})
	room := make([]placement.Resources, len(ms))
	for i, m := range ms {
		room[i] = m.free
	}
	for i, m := range ms {
		if !m.surplus && !m.rejectsDelayTolerant || !l.canConsolidate(m, now) {
			continue
		}
		into := slices.Clone(room)
		fits := true
		for _, a := range m.attempts {
			k := len(ms) - 1
			for ; k > i; k-- {
				o := ms[k]
				if o.drainReason == "" && !o.rejectsDelayTolerant && into[k].Fits(a.job.need) &&
					(&placement.Constraints{InstanceTypes: a.job.spec.InstanceTypes, Zone: a.job.spec.Zone, AllowSpot: a.job.spec.AllowSpot}).Admit(o.offering.Type, o.offering.Zone, o.offering.Spot) {
					break
				}
			}
			if fits = k > i; !fits {
				break
			}
			into[k] = into[k].Add(a.job.need, -1)
		}
		if !fits {
			continue
		}
		room = into
		m.drainReason = drainForConsolidation
		slog.Debug("consolidating", "machine", m.id, "type", m.offering.Type, "spot", m.offering.Spot, "tasks", len(m.attempts))
		for _, a := range m.attempts {
			l.stopTask(a, micros.FromSeconds(a.job.spec.CheckpointDurationS), drainForConsolidation)
		}
	}
}

// canConsolidate tells whether all tasks of a machine can save and are worth moving.
func (l *Leader) canConsolidate(m *machine, now micros.Micros) bool {
	// Its free room is worth as much as that of an idle machine, which is kept for a
	// while: moved at once, what came next found less room (hoalan-grown, bagtag-reprint
	// in 8 s 0.87 -> 0.78). Best-effort jobs never come so pressingly.
	longSurplus := m.surplusSince != 0 && now-m.surplusSince > l.idleTimeout(l.types[m.offering.Type], m.offering.Spot)
	for _, a := range m.attempts {
		// A gang would be stopped whole, wherever else its tasks are.
		s := a.job.spec
		if a.job.isGang() || s.CheckpointIntervalS <= 0 || s.SingleZone || s.SpreadZones || a.job.ended || a.stopRequestedAt != 0 ||
			a.runningSince == 0 || now-a.runningSince < minRunBeforeMove {
			return false
		}
		// One that has outlasted its estimate may last for long.
		run := l.expectedRuntime(s)
		left := run - (now - a.startedAt).Seconds()
		if left >= 0 && left < minRunBeforeMove.Seconds() {
			return false
		}
		if l.isDelayTolerant(a.job) {
			continue
		}
		if !longSurplus {
			return false
		}
		// It must not be late for being moved: on fleets whose images take 25 s to
		// fetch, a fifth of the jobs with a deadline were.
		wall := micros.Wall()
		due, late := l.startDeadline(a.job, false, wall)
		over := s.CheckpointDurationS + s.ImageSizeGB/math.Max(0.01, l.types[m.offering.Type].ImagePullGBPerS) + 2*l.heartbeatInterval.Seconds()
		if late || (due-wall).Seconds()+run-l.remainingRuntime(a, now) < 3*over {
			return false
		}
	}
	return true
}
