package leader

import (
	"caperlatch/internal/leader/dispatch"
	"caperlatch/internal/leader/scheduler"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// maxCommands limits the number of commands in a response, to keep the response well within wire.MaxBodyBytes. Stops
// are exempt.
const maxCommands = 300

// commandsForMachine returns the commands for the response to a machine's heartbeat.
func (l *Leader) commandsForMachine(m *state.Machine, now micros.Micros) []wire.Command {
	commands := stopsAndFollowUps(m)
	if l.canReceiveStarts(m, now) {
		l.scheduler.FillMachine(m, now)
		commands = l.gangs.AppendStarts(m, commands, maxCommands)
		commands = l.appendPlannedStarts(m, commands, now)
	}
	recordSentCommands(m, commands)
	return commands
}

// stopsAndFollowUps returns the stop commands for a machine's attempts, followed by the commands that its latest
// heartbeat requires. No stop is ever left out, whatever maxCommands is, because the response renews the machine's
// lease. There are at most as many stops as tasks on the machine.
func stopsAndFollowUps(m *state.Machine) []wire.Command {
	commands := make([]wire.Command, 0, len(m.Delivery.FollowUps)+m.StoppingCount+len(m.PlannedStarts))
	for taskID, a := range m.Attempts {
		if a.StopRequestedAt != 0 && a.Number != 0 {
			commands = append(commands, wire.Command{Verb: wire.VerbStop, TaskID: taskID, Attempt: a.Number, GracePeriodS: secondsPtr(a.GracePeriod)})
		}
	}
	for _, c := range m.Delivery.FollowUps {
		if c.Verb == wire.VerbStop || len(commands) < maxCommands {
			commands = append(commands, c)
		}
	}
	return commands
}

// appendPlannedStarts assigns the tasks that are planned for a machine and appends their start commands. It discards
// planned starts that are not possible any more or exceed maxCommands; the latter are planned again.
func (l *Leader) appendPlannedStarts(m *state.Machine, commands []wire.Command, now micros.Micros) []wire.Command {
	for _, j := range m.PlannedStarts {
		if len(commands) >= maxCommands {
			l.scheduler.RequestPlan()
			break
		}
		if j.Ended || j.StartableTasks(now) == 0 || !m.Free.Fits(j.Need) || !l.canStartTask(j, m) {
			continue
		}
		index, ok := j.TakeWaitingTask()
		if !ok {
			continue
		}
		a := &state.Attempt{
			Job:           j,
			Index:         index,
			Number:        l.nextAttemptNumber(),
			Machine:       m,
			StartSequence: m.Heartbeat.Sequence,
			StartedAt:     now,
			Protected:     scheduler.ProtectsNextStart(j),
		}
		if a.Protected {
			j.ProtectedTasks++
		}
		l.assign(a)
		commands = append(commands, wire.Command{Verb: wire.VerbStart, TaskID: a.TaskID(), Attempt: a.Number})
	}
	m.PlannedStarts = m.PlannedStarts[:0]
	return commands
}

// recordSentCommands records the starts and clears of a response. The next heartbeat is compared with them to find out
// whether the response arrived.
func recordSentCommands(m *state.Machine, commands []wire.Command) {
	m.Delivery.Sent = m.Delivery.Sent[:0]
	for _, c := range commands {
		if c.Verb != wire.VerbStop {
			m.Delivery.Sent = append(m.Delivery.Sent, c)
		}
	}
}

// canReceiveStarts reports whether this leader may start tasks on a machine now.
func (l *Leader) canReceiveStarts(m *state.Machine, now micros.Micros) bool {
	return m.IsSchedulable(now) && l.Term.IsExclusive()
}

// canStartTask reports whether one more task of a job may start on a machine in the current state. Plans follow the
// same rules, but may be out of date: a heartbeat may since have listed tasks that were not known, or a job may have
// lost the tasks that bound it to a zone.
func (l *Leader) canStartTask(j *state.Job, m *state.Machine) bool {
	return l.canStartTasks(j, m, 1)
}

// canStartTasks reports whether additional tasks of a job may start on a machine; see canStartTask. With 0, it reports
// whether a task that is already assigned there may stay.
func (l *Leader) canStartTasks(j *state.Job, m *state.Machine, additional int) bool {
	s := j.Spec
	if !j.MayRunOn(m.Offering) {
		return false
	}
	if !l.workload.WithinLimit(s.Team, l.teamUsage[s.Team].Add(l.unknownUsage, 1).Add(j.Need, int64(additional))) {
		return false
	}
	if !s.SingleZone && !s.SpreadZones {
		return true
	}
	inZone := j.AttemptsPerZone[m.Offering.Zone]
	return (!s.SingleZone || inZone == len(j.Attempts)) && (!s.SpreadZones || 2*(inZone+additional) <= s.Tasks+1)
}

// attemptNumberShift is the number of low bits of an attempt number that hold the term's attempt counter. The fencing
// token is in the bits above.
const attemptNumberShift = 32

// nextAttemptNumber returns a new attempt number. The numbers increase across terms without a write to the state
// service, because the term's fencing token is in their high bits.
func (l *Leader) nextAttemptNumber() uint64 {
	l.attempts++
	return l.FencingToken<<attemptNumberShift | l.attempts
}

// immediateStopCommand returns a command that stops a reported task without time to save a checkpoint.
func immediateStopCommand(t *wire.TaskStatus) wire.Command {
	return wire.Command{Verb: wire.VerbStop, TaskID: t.TaskID, Attempt: t.Attempt, GracePeriodS: secondsPtr(0)}
}

// stopCommand returns a command that stops an attempt within its grace period.
func stopCommand(a *state.Attempt) wire.Command {
	return wire.Command{Verb: wire.VerbStop, TaskID: a.TaskID(), Attempt: a.Number, GracePeriodS: secondsPtr(a.GracePeriod)}
}

// clearCommand returns a command that makes the worker discard a task that has exited.
func clearCommand(t *wire.TaskStatus) wire.Command {
	return wire.Command{Verb: wire.VerbClear, TaskID: t.TaskID, Attempt: t.Attempt}
}

func secondsPtr(m micros.Micros) *float64 {
	s := m.Seconds()
	return &s
}

// commandTarget returns the target for direct calls to a machine's worker. Failures of direct calls need no handling,
// because the same commands are part of the responses to the worker's heartbeats until it has carried them out.
func commandTarget(m *state.Machine) dispatch.Target {
	return dispatch.Target{MachineID: m.ID, Address: m.Instance.Address, Incarnation: m.Heartbeat.Incarnation}
}
