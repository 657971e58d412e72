package leader

import (
	"caperlatch/internal/leader/dispatch"
	"caperlatch/internal/leader/scheduler"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// maxCommands keeps a response to a worker well within wire.MaxBodyBytes.
const maxCommands = 300

// commandsForMachine are the commands in the response to a machine's heartbeat.
func (l *Leader) commandsForMachine(m *state.Machine, now micros.Micros) []wire.Command {
	commands := stopsAndFollowUps(m)
	if l.canReceiveStarts(m, now) {
		l.scheduler.FillMachine(m, now)
		commands = l.gangs.AppendStarts(m, commands, maxCommands)
		commands = l.commandPlannedStarts(m, commands, now)
	}
	recordSent(m, commands)
	return commands
}

// stopsAndFollowUps are the stops of a machine's attempts, and what its latest heartbeat calls for. Stops come
// first, and all of them: a response that renews the lease must not leave one out. There are no more than
// tasks on the machine.
func stopsAndFollowUps(m *state.Machine) []wire.Command {
	commands := make([]wire.Command, 0, len(m.Delivery.FollowUps)+m.StoppingCount+len(m.PlannedStarts))
	for name, a := range m.Attempts {
		if a.StopRequestedAt != 0 && a.Number != 0 {
			commands = append(commands, wire.Command{Verb: wire.VerbStop, TaskID: name, Attempt: a.Number, GracePeriodS: secondsPtr(a.GracePeriod)})
		}
	}
	for _, c := range m.Delivery.FollowUps {
		if c.Verb == wire.VerbStop || len(commands) < maxCommands {
			commands = append(commands, c)
		}
	}
	return commands
}

// commandPlannedStarts adds the starts that are planned for a machine to its commands.
func (l *Leader) commandPlannedStarts(m *state.Machine, commands []wire.Command, now micros.Micros) []wire.Command {
	for _, j := range m.PlannedStarts {
		if len(commands) >= maxCommands || j.Ended || j.StartableTasks(now) == 0 || !m.Free.Fits(j.Need) || !l.canStartTask(j, m) {
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

// recordSent notes the starts and clears of a response, by which the next heartbeat shows whether it arrived.
func recordSent(m *state.Machine, commands []wire.Command) {
	m.Delivery.Sent = m.Delivery.Sent[:0]
	for _, c := range commands {
		if c.Verb != wire.VerbStop {
			m.Delivery.Sent = append(m.Delivery.Sent, c)
		}
	}
}

// canReceiveStarts reports whether tasks may be started on a machine now.
func (l *Leader) canReceiveStarts(m *state.Machine, now micros.Micros) bool {
	return m.IsSchedulable(now) && l.Term.IsExclusive()
}

// canStartTask reports whether a task of a job may start on a machine as things are now. Plans see to all
// this, but are older: since then a machine may have shown tasks that were not known, or jobs may have
// lost the tasks that bound them to a zone.
func (l *Leader) canStartTask(j *state.Job, m *state.Machine) bool {
	return l.canStartTasks(j, m, 1)
}

// canStartTasks reports it of so many more tasks; 0 stands for one that is assigned there already.
func (l *Leader) canStartTasks(j *state.Job, m *state.Machine, more int) bool {
	s := j.Spec
	if !j.MayRunOn(m.Offering) {
		return false
	}
	if !l.workload.WithinLimit(s.Team, l.teamUsage[s.Team].Add(l.unknownUsage, 1).Add(j.Need, int64(more))) {
		return false
	}
	if !s.SingleZone && !s.SpreadZones {
		return true
	}
	inZone := j.AttemptsPerZone[m.Offering.Zone]
	return (!s.SingleZone || inZone == len(j.Attempts)) && (!s.SpreadZones || 2*(inZone+more) <= s.Tasks+1)
}

// attemptNumberShift is by how many bits the fencing token stands above the count of a term's attempts.
const attemptNumberShift = 32

// nextAttemptNumber is a new number for an attempt: rising across terms without a write, as the term's fencing
// token stands above.
func (l *Leader) nextAttemptNumber() uint64 {
	l.attempts++
	return l.FencingToken<<attemptNumberShift | l.attempts
}

// stopAtOnce stops a task that a heartbeat shows, without time to save a checkpoint.
func stopAtOnce(t *wire.TaskStatus) wire.Command {
	return wire.Command{Verb: wire.VerbStop, TaskID: t.TaskID, Attempt: t.Attempt, GracePeriodS: secondsPtr(0)}
}

// stopCommand stops an attempt within its grace period.
func stopCommand(a *state.Attempt) wire.Command {
	return wire.Command{Verb: wire.VerbStop, TaskID: a.TaskID(), Attempt: a.Number, GracePeriodS: secondsPtr(a.GracePeriod)}
}

// clearCommand has the worker forget a task that has exited.
func clearCommand(t *wire.TaskStatus) wire.Command {
	return wire.Command{Verb: wire.VerbClear, TaskID: t.TaskID, Attempt: t.Attempt}
}

func secondsPtr(m micros.Micros) *float64 {
	s := m.Seconds()
	return &s
}

// commandTarget is where a machine takes direct commands. These are also part of the responses to
// its heartbeats until they are obeyed, so a failure of a direct call needs no care.
func commandTarget(m *state.Machine) dispatch.Target {
	return dispatch.Target{MachineID: m.ID, Address: m.Instance.Address, Incarnation: m.Heartbeat.Incarnation}
}
