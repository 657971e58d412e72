package scheduler

import (
	"cmp"
	"slices"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/leader/workload"
	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// machineView is the machines that may get tasks, as placement sees them and as they are.
type machineView struct {
	placement []placement.Machine
	machines  []*state.Machine // of these, with the same indexes
}

// Bounds of how long ago a machine's latest heartbeat may be, in intervals: for it to get tasks, and for
// consolidation to count on it.
const (
	maxHeartbeatsSilent            = 3
	maxHeartbeatsSilentConsolidate = 2
)

// surplusPenalty is how much longer a start may take elsewhere, for a surplus machine to be left idle.
const surplusPenalty = 30 * micros.Second

// schedulable views the machines that may get tasks and have room for need.
func (s *Scheduler) schedulable(now micros.Micros, need placement.Resources) machineView {
	var view machineView
	for _, m := range s.Fleet.Sorted {
		if m.Free.Fits(need) && s.mayGetTasks(m, now) {
			view.placement = append(view.placement, s.placementMachine(m, now))
			view.machines = append(view.machines, m)
		}
	}
	return view
}

// mayGetTasks reports whether a machine may get tasks, if it has room.
func (s *Scheduler) mayGetTasks(m *state.Machine, now micros.Micros) bool {
	return s.Scaler.Type(m.Offering.Type) != nil && m.IsSchedulable(now) &&
		now-m.Heartbeat.ReceivedAt <= maxHeartbeatsSilent*s.HeartbeatInterval
}

// HasRoomFor reports whether a machine that may get tasks of all zones has room for need.
func (s *Scheduler) HasRoomFor(need placement.Resources, now micros.Micros) bool {
	return slices.ContainsFunc(s.Fleet.Sorted, func(m *state.Machine) bool {
		return m.Free.Fits(need) && s.mayGetTasks(m, now) && !m.ZoneReturn.Closed
	})
}

// hasSpareRoom reports whether the machines that are no surplus have room enough for what waits.
func (view machineView) hasSpareRoom(waiting []*placement.Job) bool {
	free, need := int64(0), int64(0)
	for i, m := range view.machines {
		if !m.Surplus && !m.ZoneReturn.Closed {
			free += view.placement[i].Free.CPU
		}
	}
	for _, w := range waiting {
		need += int64(w.WaitingTasks) * w.Need.CPU
	}
	return free >= spareRoomFactor*need
}

// spareRoomFactor is how much more room than what waits the machines that are no surplus must have, so
// that it finds some soon: not all of it is where it fits, or on machines that send a heartbeat at once.
const spareRoomFactor = 2

// placementMachine is a machine as placement sees it.
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
		machine.CommandDelay = s.HeartbeatInterval + late // it has missed a heartbeat, and may have ended
	}
	if m == s.responding {
		machine.CommandDelay = 0
	}
	if m.Surplus {
		machine.StartPenalty += surplusPenalty
	}
	if r := m.Reservation; r != nil {
		machine.ReservedFor = r.QueuedJob
	}
	machine.GangsOnly = m.Pool.IsSet()
	machine.ZoneBoundOnly = m.ZoneReturn.Closed
	return machine
}

// subtractPlanned takes off what a machine has free what is planned on it.
func subtractPlanned(p *placement.Machine, m *state.Machine) {
	for _, j := range m.PlannedStarts {
		p.Free = p.Free.Add(j.Need, -1)
	}
}

// withVictims views the machines that may get tasks, with the tasks that could be preempted there.
func (s *Scheduler) withVictims(now micros.Micros) machineView {
	withinGuarantee, nonPreemptible := s.Workload.JobsWithinGuarantee(s.Jobs), s.Gangs.NonPreemptible(now)
	view := s.schedulable(now, placement.Resources{})
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

// minCountedRun is how long a task must run before its start is worth anything. The part of a best-effort
// job that starts first is protected for so long: what has just started loses least when it is stopped, so
// a job let in after two minutes was stopped again within seconds, and had not started for six.
const minCountedRun = 35 * micros.Second

// placementVictim is a running task as placement sees it.
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
	if a.Protected && (a.RunningSince == 0 || now-a.RunningSince < minCountedRun) {
		victim.BestEffort, victim.LostWork = false, victim.LostWork+minCountedRun
	}
	return victim
}

// withCompletions views the machines that may get tasks, with when what runs there should end.
func (s *Scheduler) withCompletions(now micros.Micros) machineView {
	view := s.schedulable(now, placement.Resources{})
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
