package leader

import (
	"cmp"
	"log/slog"
	"math"
	"slices"

	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// spread is why a machine is emptied whose few tasks have room elsewhere.
const spread = "its tasks have room elsewhere"

// A task is moved only after it has run for so long, and if it should for as long again.
const movedAfter = counted

// consolidate empties machines that are not wanted and hold a few tasks that can save,
// when others have room for all of these: long best-effort tasks, spread thin, kept half
// of a fleet up for minutes after everybody else had gone. It acts only while nothing
// waits, so that a moved task finds its room at once.
func (l *Leader) consolidate(now micros.Micros) {
	if len(l.queue.jobs) > 0 || !l.Term.HoldsSession() || !l.Term.IsExclusive() || l.unresolved() > 0 {
		return
	}
	var ms []*machine
	for _, m := range l.order {
		if l.types[m.kind.Type] != nil && m.openToAll(now) && len(m.tasks) > 0 && now-m.reported <= 2*l.report {
			ms = append(ms, m)
		}
	}
	// The dearest a held CPU first: these are emptied, into the others from the end.
	perHeld := func(m *machine) float64 {
		t := l.types[m.kind.Type]
		return price(t, m.kind.Spot) / float64(max(1, t.capacity.CPU-m.free.CPU))
	}
	slices.SortStableFunc(ms, func(a, b *machine) int {
		return cmp.Or(cmp.Compare(perHeld(b), perHeld(a)), cmp.Compare(a.id, b.id))
	})
	room := make([]placement.Resources, len(ms))
	for i, m := range ms {
		room[i] = m.free
	}
	for i, m := range ms {
		if !m.surplus && !m.closedToPatient || !l.movable(m, now) {
			continue
		}
		into := slices.Clone(room)
		fits := true
		for _, a := range m.tasks {
			k := len(ms) - 1
			for ; k > i; k-- {
				o := ms[k]
				if o.draining == "" && !o.closedToPatient && into[k].Fits(a.job.need) &&
					placement.ConstraintsAdmit(&placement.Job{InstanceTypes: a.job.spec.InstanceTypes, Zone: a.job.spec.Zone, AllowSpot: a.job.spec.AllowSpot}, o.kind.Type, o.kind.Zone, o.kind.Spot) {
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
		m.draining = spread
		slog.Debug("consolidating", "machine", m.id, "type", m.kind.Type, "spot", m.kind.Spot, "tasks", len(m.tasks))
		for _, a := range m.tasks {
			l.stop(a, micros.FromSeconds(a.job.spec.CheckpointDurationS), spread)
		}
	}
}

// movable tells whether all tasks of a machine can save and are worth moving.
func (l *Leader) movable(m *machine, now micros.Micros) bool {
	// Its free room is worth as much as that of an idle machine, which is kept for a
	// while: moved at once, what came next found less room (hoalan-grown, bagtag-reprint
	// in 8 s 0.87 -> 0.78). Best-effort jobs never come so pressingly.
	longSurplus := m.surplusAt != 0 && now-m.surplusAt > l.idleLimit(l.types[m.kind.Type], m.kind.Spot)
	for _, a := range m.tasks {
		// A gang would be stopped whole, wherever else its tasks are.
		s := a.job.spec
		if a.job.isGang() || s.CheckpointIntervalS <= 0 || s.SingleZone || s.SpreadZones || a.job.over || a.stopped != 0 ||
			a.running == 0 || now-a.running < movedAfter {
			return false
		}
		// One that has outlasted its estimate may last for long.
		run := l.expected(s)
		left := run - (now - a.began).Seconds()
		if left >= 0 && left < movedAfter.Seconds() {
			return false
		}
		if l.patient(a.job) {
			continue
		}
		if !longSurplus {
			return false
		}
		// It must not be late for being moved: on fleets whose images take 25 s to
		// fetch, a fifth of the jobs with a deadline were.
		wall := micros.Wall()
		due, late := l.due(a.job, false, wall)
		over := s.CheckpointDurationS + s.ImageSizeGB/math.Max(0.01, l.types[m.kind.Type].ImagePullGBPerS) + 2*l.report.Seconds()
		if late || (due-wall).Seconds()+run-l.left(a, now) < 3*over {
			return false
		}
	}
	return true
}
