package leader

import (
	"caperlatch/internal/leader/gangs"
	"caperlatch/internal/leader/scheduler"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

// newGangs makes what keeps the attempts of gangs in this term.
func (l *Leader) newGangs() *gangs.Coordinator {
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

// newScheduler makes the scheduler of this term.
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
		TeamUsage:            l.worstCaseTeamUse,
		AwaitsReconciliation: l.awaitsReconciliation,
		ReviewQuarantine:     l.quarantine.ReviewJob,
		OnlyZone:             l.zones.OnlyZone,
		EvacuationRank:       l.zones.EvacuationRank,
		Stop:                 l.stopTask,
	})
}

// awaitsReconciliation makes a function that reports whether a job must start nothing yet, as machines
// whose tasks are not known now may hold some of its tasks.
func (l *Leader) awaitsReconciliation() func(*state.Job) bool {
	unknown := l.findUnknownMachines()
	return func(j *state.Job) bool { return l.mustAwaitReconciliation(j, unknown) }
}

// sendStops calls a machine's worker until it has the commands to stop some tasks of a gang, for as long as the
// gang's other tasks do not notice that these are lost.
func (l *Leader) sendStops(m *state.Machine, stops []*state.Attempt) {
	commands := make([]wire.Command, len(stops))
	for i, a := range stops {
		commands[i] = stopCommand(a)
	}
	l.dispatcher.SendUntilDelivered(commandTarget(m), commands, l.Settings.Params.Workers.GangLossTimeout())
}

// worstCaseTeamUse counts what each team's tasks may be using at worst: what is known to be on machines and
// all that machines with unknown tasks could hold.
func (l *Leader) worstCaseTeamUse() map[string]*placement.Team {
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
		// Not even a job that is over can be ruled out there, so all that these machines could hold
		// counts for every team.
		t.Used = t.Used.Add(l.unknownUsage, 1)
	}
	return teams
}
