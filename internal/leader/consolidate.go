package leader

import (
	"cmp"
	"log/slog"
	"slices"

	"caperlatch/internal/leader/state"
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
	if len(l.queue.jobs) > 0 || !l.Term.HoldsSession() || !l.Term.IsExclusive() || l.fleet.CountUnknown() > 0 {
		return
	}
	var ms []*state.Machine
	for _, m := range l.fleet.Sorted {
		if l.scaler.Type(m.Offering.Type) != nil && m.IsOpenToAllZones(now) && len(m.Attempts) > 0 && now-m.Heartbeat.ReceivedAt <= 2*l.heartbeatInterval {
			ms = append(ms, m)
		}
	}
	// The dearest a held CPU first: these are emptied, into the others from the end.
	perHeld := func(m *state.Machine) float64 {
		t := l.scaler.Type(m.Offering.Type)
		return t.Price(m.Offering.Spot) / float64(max(1, t.Capacity.CPU-m.Free.CPU))
	}
	slices.SortStableFunc(ms, func(a, b *state.Machine) int {
		return cmp.Or(cmp.Compare(perHeld(b), perHeld(a)), cmp.Compare(a.ID, b.ID))
	})
	room := make([]placement.Resources, len(ms))
	for i, m := range ms {
		room[i] = m.Free
	}
	for i, m := range ms {
		if !m.Surplus && !m.RejectsDelayTolerant || !l.canConsolidate(m, now) {
			continue
		}
		into := slices.Clone(room)
		fits := true
		for _, a := range m.Attempts {
			k := len(ms) - 1
			for ; k > i; k-- {
				o := ms[k]
				if o.DrainReason == "" && !o.RejectsDelayTolerant && into[k].Fits(a.Job.Need) &&
					a.Job.MayRunOn(o.Offering) {
					break
				}
			}
			if fits = k > i; !fits {
				break
			}
			into[k] = into[k].Add(a.Job.Need, -1)
		}
		if !fits {
			continue
		}
		room = into
		m.DrainReason = drainForConsolidation
		slog.Debug("consolidating", "machine", m.ID, "type", m.Offering.Type, "spot", m.Offering.Spot, "tasks", len(m.Attempts))
		for _, a := range m.Attempts {
			l.stopTask(a, micros.FromSeconds(a.Job.Spec.CheckpointDurationS), drainForConsolidation)
		}
	}
}

// canConsolidate tells whether all tasks of a machine can save and are worth moving.
func (l *Leader) canConsolidate(m *state.Machine, now micros.Micros) bool {
	// Its free room is worth as much as that of an idle machine, which is kept for a
	// while: moved at once, what came next found less room (hoalan-grown, bagtag-reprint
	// in 8 s 0.87 -> 0.78). Best-effort jobs never come so pressingly.
	longSurplus := m.SurplusSince != 0 && now-m.SurplusSince > l.scaler.IdleTimeout(l.scaler.Type(m.Offering.Type), m.Offering.Spot)
	for _, a := range m.Attempts {
		// A gang would be stopped whole, wherever else its tasks are.
		s := a.Job.Spec
		if a.Job.IsGang() || s.CheckpointIntervalS <= 0 || s.SingleZone || s.SpreadZones || a.Job.Ended || a.StopRequestedAt != 0 ||
			a.RunningSince == 0 || now-a.RunningSince < minRunBeforeMove {
			return false
		}
		// One that has outlasted its estimate may last for long.
		run := l.workload.ExpectedRuntime(s)
		left := run - (now - a.StartedAt).Seconds()
		if left >= 0 && left < minRunBeforeMove.Seconds() {
			return false
		}
		if l.workload.IsDelayTolerant(a.Job) {
			continue
		}
		if !longSurplus {
			return false
		}
		// It must not be late for being moved: on fleets whose images take 25 s to
		// fetch, a fifth of the jobs with a deadline were.
		wall := micros.Wall()
		deadlines := l.workload.StartDeadlines(a.Job, false, wall)
		over := s.CheckpointDurationS + l.scaler.Type(m.Offering.Type).PullTimeS(s.ImageSizeGB) + 2*l.heartbeatInterval.Seconds()
		if deadlines.Late || (deadlines.Next-wall).Seconds()+run-l.workload.RemainingRuntime(a, now) < 3*over {
			return false
		}
	}
	return true
}
