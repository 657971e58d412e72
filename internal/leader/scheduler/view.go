package scheduler

import (
	"cmp"
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/leader/workload"
	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// machineView holds the machines that may receive tasks, both in placement's form and as the leader's records.
type machineView struct {
	placement []placement.Machine
	machines  []*state.Machine // the leader's records, with the same indexes as placement
}

// Limits of the age of a machine's latest heartbeat, in heartbeat intervals: maxHeartbeatAge for receiving
// tasks, maxHeartbeatAgeConsolidate for giving tasks to, or taking tasks from, other machines in a consolidation.
const (
	maxHeartbeatAge            = 3
	maxHeartbeatAgeConsolidate = 2
)

// surplusPenalty is added to the cost of a start on a surplus machine, so that another machine is preferred if the task
// starts there no more than surplusPenalty later.
const surplusPenalty = 30 * micros.Second

// schedulableMachines returns a view of the machines that may receive tasks and have room for need.
func (s *Scheduler) schedulableMachines(now micros.Micros, need placement.Resources) machineView {
	var view machineView
	for _, m := range s.Fleet.Sorted {
		if m.Free.Fits(need) && s.canReceiveTasks(m, now) {
			view.placement = append(view.placement, s.placementMachine(m, now))
			view.machines = append(view.machines, m)
		}
	}
	return view
}

// canReceiveTasks reports whether a machine may receive tasks, regardless of its free resources.
func (s *Scheduler) canReceiveTasks(m *state.Machine, now micros.Micros) bool {
	return s.Scaler.Type(m.Offering.Type) != nil && m.IsSchedulable(now) &&
		now-m.Heartbeat.ReceivedAt <= maxHeartbeatAge*s.HeartbeatInterval
}

// HasRoomFor reports whether any machine that may receive tasks, and is not closed to jobs that can run in
// other zones, has room for need.
func (s *Scheduler) HasRoomFor(need placement.Resources, now micros.Micros) bool {
	return slices.ContainsFunc(s.Fleet.Sorted, func(m *state.Machine) bool {
		return m.Free.Fits(need) && s.canReceiveTasks(m, now) && !m.ZoneReturn.ZoneBoundOnly
	})
}

// hasSpareRoom reports whether the machines that are neither surplus nor closed to jobs that can run in other zones
// have spareRoomFactor times as many free CPUs as all waiting tasks need.
func (view machineView) hasSpareRoom(waiting []*placement.Job) bool {
	free, need := int64(0), int64(0)
	for i, m := range view.machines {
		if !m.Surplus && !m.ZoneReturn.ZoneBoundOnly {
			free += view.placement[i].Free.CPU
		}
	}
	for _, w := range waiting {
		need += int64(w.WaitingTasks) * w.Need.CPU
	}
	return free >= spareRoomFactor*need
}

// spareRoomFactor is the ratio of free CPUs to the CPUs of all waiting tasks from which the tasks are expected to find
// room soon. It is above 1 because some of the free CPUs are too few for a task, or are on machines that do not send a
// heartbeat at once.
const spareRoomFactor = 2

// placementMachine converts a machine to placement's form.
func (s *Scheduler) placementMachine(m *state.Machine, now micros.Micros) placement.Machine {
	instanceType := s.Scaler.Type(m.Offering.Type)
	machine := placement.Machine{
		ID:           m.ID,
		InstanceType: m.Offering.Type,
		Zone:         m.Offering.Zone,
		Spot:         m.Offering.Spot,
		Free:         m.Free,
		StartFactors: placement.StartFactors{
			CommandDelay:    max(0, m.Heartbeat.ReceivedAt+s.HeartbeatInterval-now),
			Images:          m.ImageSet,
			ImagePullGBPerS: instanceType.ImagePullGBPerS,
			Idle:            len(m.Attempts) == 0,
			StartPenalty:    micros.FromSeconds(s.Scaler.PriceRatio(instanceType, m.Offering.Spot) - 1),
		},
		Restrictions: placement.Restrictions{RejectsDelayTolerant: m.RejectsDelayTolerant},
	}
	if late := now - m.Heartbeat.ReceivedAt - s.HeartbeatInterval - s.HeartbeatInterval/4; late > 0 {
		machine.CommandDelay = s.HeartbeatInterval + late // the heartbeat is overdue, and the machine may have failed
	}
	if m == s.respondingTo {
		machine.CommandDelay = 0
	}
	if m.Surplus {
		machine.StartPenalty += surplusPenalty
	}
	if r := m.Reservation; r != nil {
		machine.ReservedFor = r.QueuedJob
	}
	machine.GangsOnly = m.Pool.IsSet()
	machine.ZoneBoundOnly = m.ZoneReturn.ZoneBoundOnly
	return machine
}

// subtractPlanned subtracts the resources of the starts planned on m from the free resources of p.
func subtractPlanned(p *placement.Machine, m *state.Machine) {
	for _, j := range m.PlannedStarts {
		p.Free = p.Free.Add(j.Need, -1)
	}
}

// viewWithVictims returns a view of the machines that may receive tasks, with the tasks that could be preempted there
// and the resources that stopping tasks will release.
func (s *Scheduler) viewWithVictims(now micros.Micros) machineView {
	withinGuarantee, nonPreemptible := s.Workload.JobsWithinGuarantee(s.Jobs), s.Gangs.NonPreemptible(now)
	view := s.schedulableMachines(now, placement.Resources{})
	for i, m := range view.machines {
		machine := &view.placement[i]
		subtractPlanned(machine, m)
		for _, a := range m.Attempts {
			if a.StopRequestedAt != 0 {
				machine.Releasing = machine.Releasing.Add(a.Job.Need, 1)
			} else if !a.Job.Ended && !nonPreemptible[a.Job] {
				machine.Victims = append(machine.Victims, s.placementVictim(a, withinGuarantee[a.Job], now))
			}
		}
		slices.SortFunc(machine.Victims, func(a, b placement.Victim) int {
			return cmp.Or(cmp.Compare(a.JobID, b.JobID), cmp.Compare(a.Task, b.Task))
		})
	}
	return view
}

// minUsefulRuntime is how long a task must run before its start is useful to its job. The tasks of a job that start
// first are protected from preemption for this long. Without the protection, tasks that had just started were chosen as
// victims, as they lose the least work: a job that was started after waiting for two minutes was stopped again within
// seconds, and had still made no lasting start after six minutes.
const minUsefulRuntime = 35 * micros.Second

// placementVictim converts a running task to placement's form of a preemption victim. A protected task does not count
// as best-effort, so only jobs at risk can preempt it, and it costs minUsefulRuntime more.
func (s *Scheduler) placementVictim(a *state.Attempt, withinGuarantee bool, now micros.Micros) placement.Victim {
	victim := placement.Victim{
		JobID:           a.Job.Spec.ID,
		Task:            a.Index,
		Team:            a.Job.Spec.Team,
		Priority:        a.Job.Priority,
		Need:            a.Job.Need,
		WithinGuarantee: withinGuarantee,
		BestEffort:      a.Job.Priority == 0 && !withinGuarantee,
		LostWork:        workload.LostWork(a, now),
	}
	if victim.BestEffort {
		victim.LostWork += s.Workload.PreemptionPenalty(a, now)
	}
	if a.Job.IsGang() {
		victim.Gang, victim.LostWork = true, victim.LostWork*micros.Micros(len(a.Job.Attempts))
	}
	if a.Protected && (a.RunningSince == 0 || now-a.RunningSince < minUsefulRuntime) {
		victim.BestEffort, victim.LostWork = false, victim.LostWork+minUsefulRuntime
	}
	return victim
}

// viewWithCompletions returns a view of the machines that may receive tasks, with the times at which their
// running tasks are expected to end.
func (s *Scheduler) viewWithCompletions(now micros.Micros) machineView {
	view := s.schedulableMachines(now, placement.Resources{})
	for i, m := range view.machines {
		machine := &view.placement[i]
		subtractPlanned(machine, m)
		for _, a := range m.Attempts {
			completion := placement.Completion{Remaining: micros.FromSeconds(s.Workload.RemainingRuntime(a, now)), Need: a.Job.Need}
			if a.StopRequestedAt != 0 {
				completion.Remaining = a.GracePeriod
			}
			machine.Completions = append(machine.Completions, completion)
		}
	}
	return view
}
