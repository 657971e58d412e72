package scheduler

import (
	"cmp"
	"log/slog"
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// consolidationReason is the reason given for draining a machine whose tasks have room on other machines. It is
// shown to users, so its text must not change.
const consolidationReason = "its tasks have room elsewhere"

// minRuntimeBeforeMove is the time that a task must have run before it may be moved. Unless the task has outlasted its
// estimate, it must also be expected to run on for at least that time.
const minRuntimeBeforeMove = minUsefulRuntime

// minSlackFactor is the minimum ratio of a task's slack, which is the time that it can lose without being late, to
// the cost of moving it.
const minSlackFactor = 3

// Consolidate drains machines that are surplus, or that reject delay-tolerant jobs, if all of their tasks are worth
// moving (see canConsolidate) and other machines have room for all of these tasks. Without consolidation, long
// best-effort tasks that were spread thinly kept half of a fleet running for minutes after all other work had ended.
//
// Consolidate does nothing while jobs are queued, as their tasks could take the room before the moved tasks start
// again. It also does nothing while another node may lead or the tasks of any machine are unknown.
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
		freeAfter, ok := planMoves(m, machines[i+1:], free[i+1:])
		if !ok {
			continue
		}
		copy(free[i+1:], freeAfter)
		m.DrainReason = consolidationReason
		slog.Debug("draining machine to consolidate its tasks on others", "machine", m.ID, "instance_type", m.Offering.Type, "spot", m.Offering.Spot, "tasks", len(m.Attempts))
		for _, a := range m.Attempts {
			s.Stop(a, micros.FromSeconds(a.Job.Spec.CheckpointDurationS), consolidationReason)
		}
	}
}

// consolidationOrder returns the machines that hold tasks, are open to jobs of all zones and have sent a heartbeat
// recently, in descending order of the price per CPU in use. Machines at the start are drained first, and their tasks
// are moved to machines at the end.
func (s *Scheduler) consolidationOrder(now micros.Micros) []*state.Machine {
	var machines []*state.Machine
	for _, m := range s.Fleet.Sorted {
		if s.Scaler.Type(m.Offering.Type) != nil && m.IsOpenToAllZones(now) && len(m.Attempts) > 0 &&
			now-m.Heartbeat.ReceivedAt <= maxHeartbeatAgeConsolidate*s.HeartbeatInterval {
			machines = append(machines, m)
		}
	}
	pricePerUsedCPU := func(m *state.Machine) float64 {
		instanceType := s.Scaler.Type(m.Offering.Type)
		return instanceType.Price(m.Offering.Spot) / float64(max(1, instanceType.Capacity.CPU-m.Free.CPU))
	}
	slices.SortStableFunc(machines, func(a, b *state.Machine) int {
		return cmp.Or(cmp.Compare(pricePerUsedCPU(b), pricePerUsedCPU(a)), cmp.Compare(a.ID, b.ID))
	})
	return machines
}

// planMoves finds room on other machines for all tasks of a machine, trying the last machines first. It returns
// the resources that would be free on the other machines after the moves, and reports whether there is room for
// all tasks.
func planMoves(m *state.Machine, others []*state.Machine, free []placement.Resources) (freeAfter []placement.Resources, ok bool) {
	freeAfter = slices.Clone(free)
	for _, a := range m.Attempts {
		target := len(others) - 1
		for target >= 0 && !canMoveTo(a, others[target], freeAfter[target]) {
			target--
		}
		if target < 0 {
			return nil, false
		}
		freeAfter[target] = freeAfter[target].Add(a.Job.Need, -1)
	}
	return freeAfter, true
}

// canMoveTo reports whether a task may be moved to a machine that has the given free resources. A machine that is being
// drained or rejects delay-tolerant jobs takes no moved task.
func canMoveTo(a *state.Attempt, m *state.Machine, free placement.Resources) bool {
	return m.DrainReason == "" && !m.RejectsDelayTolerant && free.Fits(a.Job.Need) && a.Job.MayRunOn(m.Offering)
}

// canConsolidate reports whether each task of a machine may be moved and is worth moving. A delay-tolerant task is
// always worth moving. Any other task is worth it only if the machine has been surplus for longer than its idle timeout
// and the task has slack for the move.
func (s *Scheduler) canConsolidate(m *state.Machine, now micros.Micros) bool {
	// The free room of a surplus machine is worth as much as that of an idle machine, which is kept until its idle
	// timeout. When tasks that are not delay-tolerant were moved at once, later jobs found less room (scenario
	// hoalan-grown: the share of class bagtag-reprint within 8 s fell from 0.87 to 0.78). Delay-tolerant tasks are
	// moved at once, because they are never urgent.
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

// canMove reports whether a task may be moved. The task must save checkpoints, belong to no gang and have no zone
// rules, and must have run, and be expected to run on, for minRuntimeBeforeMove. A task that is stopping, or whose job
// has ended, is not moved.
func (s *Scheduler) canMove(a *state.Attempt, now micros.Micros) bool {
	// Moving one task of a gang would stop all its tasks, also those on other machines.
	spec := a.Job.Spec
	if a.Job.IsGang() || spec.CheckpointIntervalS <= 0 || spec.SingleZone || spec.SpreadZones || a.Job.Ended || a.StopRequestedAt != 0 ||
		a.RunningSince == 0 || now-a.RunningSince < minRuntimeBeforeMove {
		return false
	}
	// A task that has outlasted its estimate may still run on for long.
	remaining := s.Workload.ExpectedRuntime(spec) - (now - a.StartedAt).Seconds()
	return remaining < 0 || remaining >= minRuntimeBeforeMove.Seconds()
}

// hasSlackToMove reports whether a task can still meet a deadline and its slack is at least minSlackFactor times the
// cost of moving it. Without this check, on fleets whose machines take 25 s to pull an image, a fifth of the jobs with
// a deadline became late.
func (s *Scheduler) hasSlackToMove(a *state.Attempt, now micros.Micros) bool {
	spec, instanceType := a.Job.Spec, s.Scaler.Type(a.Machine.Offering.Type)
	wall := micros.WallTime()
	deadlines := s.Workload.StartDeadlines(a.Job, false, wall)
	costS := spec.CheckpointDurationS + instanceType.PullTimeS(spec.ImageSizeGB) + 2*s.HeartbeatInterval.Seconds()
	slackS := (deadlines.Next - wall).Seconds() + s.Workload.ExpectedRuntime(spec) - s.Workload.RemainingRuntime(a, now)
	return !deadlines.Late && slackS >= minSlackFactor*costS
}
