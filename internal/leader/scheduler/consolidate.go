package scheduler

import (
	"cmp"
	"log/slog"
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// drainForConsolidation is why a machine is drained whose few tasks have room elsewhere. It is shown to
// users: its text does not change.
const drainForConsolidation = "its tasks have room elsewhere"

// minRunBeforeMove is how long a task must have run before it is moved, and should have left to run.
const minRunBeforeMove = minCountedRun

// minSlack is how many times the cost of moving a task must be left until the task would be late.
const minSlack = 3

// Consolidate drains machines that the autoscaler does not want and that hold a few tasks which can save
// checkpoints, when others have room for all of these: long best-effort tasks, spread thin, kept half of a
// fleet running for minutes after everybody else had left. It acts only while nothing waits, so that a moved task
// finds its room at once.
func (s *Scheduler) Consolidate(now micros.Micros) {
	if len(s.queue.jobs) > 0 || !s.Term.HoldsSession() || !s.Term.IsExclusive() || s.Fleet.CountWithUnknownTasks() > 0 {
		return
	}
	machines := s.consolidationOrder(now)
	free := make([]placement.Resources, len(machines))
	for i, m := range machines {
		free[i] = m.Free
	}
	for i, m := range machines {
		if !m.Surplus && !m.RejectsDelayTolerant || !s.canConsolidate(m, now) {
			continue
		}
		freeAfter, ok := moveTasks(m, machines[i+1:], free[i+1:])
		if !ok {
			continue
		}
		copy(free[i+1:], freeAfter)
		m.DrainReason = drainForConsolidation
		slog.Debug("machine consolidated", "machine", m.ID, "instance_type", m.Offering.Type, "spot", m.Offering.Spot, "tasks", len(m.Attempts))
		for _, a := range m.Attempts {
			s.Stop(a, micros.FromSeconds(a.Job.Spec.CheckpointDurationS), drainForConsolidation)
		}
	}
}

// consolidationOrder lists the machines with tasks that are known to be in order, those first that cost most
// for each CPU in use: these are drained, into the others from the end.
func (s *Scheduler) consolidationOrder(now micros.Micros) []*state.Machine {
	var machines []*state.Machine
	for _, m := range s.Fleet.Sorted {
		if s.Scaler.Type(m.Offering.Type) != nil && m.IsOpenToAllZones(now) && len(m.Attempts) > 0 &&
			now-m.Heartbeat.ReceivedAt <= maxHeartbeatsSilentConsolidate*s.HeartbeatInterval {
			machines = append(machines, m)
		}
	}
	pricePerUsed := func(m *state.Machine) float64 {
		instanceType := s.Scaler.Type(m.Offering.Type)
		return instanceType.Price(m.Offering.Spot) / float64(max(1, instanceType.Capacity.CPU-m.Free.CPU))
	}
	slices.SortStableFunc(machines, func(a, b *state.Machine) int {
		return cmp.Or(cmp.Compare(pricePerUsed(b), pricePerUsed(a)), cmp.Compare(a.ID, b.ID))
	})
	return machines
}

// moveTasks finds room for all tasks of a machine on others, the last ones first, and returns what is free
// there afterwards. It reports whether there is room.
func moveTasks(m *state.Machine, others []*state.Machine, free []placement.Resources) (freeAfter []placement.Resources, ok bool) {
	freeAfter = slices.Clone(free)
	for _, a := range m.Attempts {
		to := len(others) - 1
		for to >= 0 && !canMoveTo(a, others[to], freeAfter[to]) {
			to--
		}
		if to < 0 {
			return nil, false
		}
		freeAfter[to] = freeAfter[to].Add(a.Job.Need, -1)
	}
	return freeAfter, true
}

// canMoveTo reports whether a task may start on another machine that has so much free.
func canMoveTo(a *state.Attempt, m *state.Machine, free placement.Resources) bool {
	return m.DrainReason == "" && !m.RejectsDelayTolerant && free.Fits(a.Job.Need) && a.Job.MayRunOn(m.Offering)
}

// canConsolidate reports whether all tasks of a machine can save checkpoints and are worth moving.
func (s *Scheduler) canConsolidate(m *state.Machine, now micros.Micros) bool {
	// Its free room is worth as much as that of an idle machine, which is kept for a while: moved at once,
	// what came next found less room (hoalan-grown, bagtag-reprint in 8 s 0.87 -> 0.78). Best-effort jobs
	// never press so much.
	longSurplus := m.SurplusSince != 0 && now-m.SurplusSince > s.Scaler.IdleTimeout(s.Scaler.Type(m.Offering.Type), m.Offering.Spot)
	for _, a := range m.Attempts {
		if !s.canMove(a, now) {
			return false
		}
		if !s.Workload.IsDelayTolerant(a.Job) && !(longSurplus && s.hasSlackToMove(a, now)) {
			return false
		}
	}
	return true
}

// canMove reports whether a task can save a checkpoint, has run for long enough, and should run on for as long.
func (s *Scheduler) canMove(a *state.Attempt, now micros.Micros) bool {
	// All tasks of a gang would be stopped, wherever else its tasks are.
	spec := a.Job.Spec
	if a.Job.IsGang() || spec.CheckpointIntervalS <= 0 || spec.SingleZone || spec.SpreadZones || a.Job.Ended || a.StopRequestedAt != 0 ||
		a.RunningSince == 0 || now-a.RunningSince < minRunBeforeMove {
		return false
	}
	// One that has outlasted its estimate may last for long.
	left := s.Workload.ExpectedRuntime(spec) - (now - a.StartedAt).Seconds()
	return left < 0 || left >= minRunBeforeMove.Seconds()
}

// hasSlackToMove reports whether a task would not be late for being moved: on fleets whose images take 25 s
// to pull, a fifth of the jobs with a deadline were.
func (s *Scheduler) hasSlackToMove(a *state.Attempt, now micros.Micros) bool {
	spec, instanceType := a.Job.Spec, s.Scaler.Type(a.Machine.Offering.Type)
	wall := micros.Wall()
	deadlines := s.Workload.StartDeadlines(a.Job, false, wall)
	costS := spec.CheckpointDurationS + instanceType.PullTimeS(spec.ImageSizeGB) + 2*s.HeartbeatInterval.Seconds()
	slackS := (deadlines.Next - wall).Seconds() + s.Workload.ExpectedRuntime(spec) - s.Workload.RemainingRuntime(a, now)
	return !deadlines.Late && slackS >= minSlack*costS
}
