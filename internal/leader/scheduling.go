package leader

import (
	"caperlatch/internal/leader/gangs"
	"caperlatch/internal/leader/scheduler"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

// newGangCoordinator returns the coordinator of gang attempts for this term.
func (l *Leader) newGangCoordinator() *gangs.Coordinator {
	workers := l.Settings.Params.Workers
	return gangs.New(gangs.Config{
		Term:                 l.Term,
		Jobs:                 l.jobs,
		HeartbeatInterval:    l.heartbeatInterval,
		AssemblyTimeout:      workers.GangAssemblyTimeout(),
		NextAttemptNumber:    l.nextAttemptNumber,
		MayStayAssigned:      func(j *state.Job, m *state.Machine) bool { return l.canStartTasks(j, m, 0) },
		AwaitsReconciliation: l.awaitsReconciliation,
		IsHeartbeatLate:      l.liveness.IsHeartbeatLate,
		IsZoneReachable:      func(zone string) bool { return l.zones.Policy.Decide(zone).Reachable },
		Assign:               l.assign,
		Release:              l.release,
		PublishStarted:       l.publishAssigned,
		Stop:                 l.stopTask,
		MarkStopping:         l.markStopping,
		SendStops:            l.sendStops,
		StoreProgress:        func(j *state.Job, chunk int) { l.writes.Enqueue(state.ProgressKey(j.Spec.ID, chunk)) },
		ExpireReservation:    func(j *state.Job, now micros.Micros) { l.scheduler.ExpireReservation(j, now) },
	})
}

// newScheduler returns the scheduler for this term.
func (l *Leader) newScheduler() *scheduler.Scheduler {
	return scheduler.New(scheduler.Config{
		Term:                 l.Term,
		Fleet:                l.fleet,
		Scaler:               l.scaler,
		Workload:             l.workload,
		Gangs:                l.gangs,
		Jobs:                 l.jobs,
		HeartbeatInterval:    l.heartbeatInterval,
		TermStartedAt:        l.startedAtWall,
		TeamUsage:            l.worstCaseTeamUsage,
		AwaitsReconciliation: l.awaitsReconciliation,
		ReviewQuarantine:     l.quarantine.ReviewJob,
		OnlyZone:             l.zones.OnlyZone,
		EvacuationRank:       l.zones.EvacuationRank,
		Stop:                 l.stopTask,
	})
}

// awaitsReconciliation returns a function that reports whether no task of a job may start yet, because machines whose
// tasks are not known at the time of this call may hold some of the job's tasks.
func (l *Leader) awaitsReconciliation() func(*state.Job) bool {
	unknown := l.findMachinesWithUnknownTasks()
	return func(j *state.Job) bool { return l.mustAwaitReconciliation(j, unknown) }
}

// sendStops sends a machine's worker the commands to stop some tasks of a gang. It retries until they are delivered, or
// for as long as the gang's other tasks take to notice that these tasks are lost.
func (l *Leader) sendStops(m *state.Machine, stops []*state.Attempt) {
	commands := make([]wire.Command, len(stops))
	for i, a := range stops {
		commands[i] = stopCommand(a)
	}
	l.dispatcher.SendUntilDelivered(commandTarget(m), commands, l.Settings.Params.Workers.GangLossTimeout())
}

// worstCaseTeamUsage returns the most that each team's tasks may be using: the resources of the tasks that are known to
// be on machines, plus the whole capacity of the machines whose tasks are not known. It also updates unknownUsage.
func (l *Leader) worstCaseTeamUsage() map[string]*placement.Team {
	teams := map[string]*placement.Team{}
	for name, t := range l.workload.Teams() {
		teams[name] = &placement.Team{Used: l.teamUsage[name], Limit: t.Limit}
	}
	l.unknownUsage = placement.Resources{}
	for _, m := range l.fleet.Sorted {
		if !m.TasksKnown() {
			if t := l.scaler.Type(m.Offering.Type); t != nil {
				l.unknownUsage = l.unknownUsage.Add(t.Capacity, 1)
			}
		}
	}
	for _, t := range teams {
		// Machines with unknown tasks may hold tasks of any job, even of one that is over, so their whole capacity
		// counts for every team.
		t.Used = t.Used.Add(l.unknownUsage, 1)
	}
	return teams
}
