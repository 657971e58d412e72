package leader

import (
	"slices"

	"caperlatch/internal/leader/dispatch"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// maxCommands keeps an answer to a worker well within wire.MaxBodyBytes.
const maxCommands = 300

// commandsForMachine are the commands for a machine that has just reported.
func (l *Leader) commandsForMachine(m *state.Machine, now micros.Micros) (orders []wire.Command) {
	// Stops first, and all of them: an answer that renews the lease must not leave one out.
	// There are no more than tasks on the machine.
	orders = make([]wire.Command, 0, len(m.Delivery.FollowUps)+m.StoppingCount+len(m.Planned))
	for name, a := range m.Attempts {
		if a.StopRequestedAt != 0 && a.Number != 0 {
			orders = append(orders, wire.Command{Verb: wire.VerbStop, TaskID: name, Attempt: a.Number, GracePeriodS: secondsPtr(a.GracePeriod)})
		}
	}
	for _, c := range m.Delivery.FollowUps {
		if c.Verb == wire.VerbStop || len(orders) < maxCommands {
			orders = append(orders, c)
		}
	}
	defer func() {
		m.Delivery.Sent = m.Delivery.Sent[:0]
		for _, c := range orders {
			if c.Verb != wire.VerbStop {
				m.Delivery.Sent = append(m.Delivery.Sent, c)
			}
		}
	}()
	if !l.canReceiveStarts(m, now) {
		return orders
	}
	l.fillMachine(m, now)
	orders = l.commandReservedStarts(m, orders)
	for _, j := range m.Planned {
		if len(orders) >= maxCommands || j.Ended || j.StartableTasks(now) == 0 || !m.Free.Fits(j.Need) || !l.canStartTask(j, m) {
			continue
		}
		task, ok := j.TakeWaitingTask()
		if !ok {
			continue
		}
		n := l.nextAttemptNumber()
		a := &state.Attempt{Job: j, Index: task, Number: n, Machine: m, StartSequence: m.Heartbeat.Sequence, StartedAt: now, Protected: j.ProtectedTasks < 1+j.Spec.Tasks/agingDivisor}
		if a.Protected {
			j.ProtectedTasks++
		}
		l.assign(a)
		orders = append(orders, wire.Command{Verb: wire.VerbStart, TaskID: state.TaskID(j.Spec.ID, task), Attempt: n})
	}
	m.Planned = m.Planned[:0]
	return orders
}

// canReceiveStarts tells whether tasks may be started on a machine now.
func (l *Leader) canReceiveStarts(m *state.Machine, now micros.Micros) bool {
	return m.IsSchedulable(now) && l.Term.IsExclusive()
}

// canStartTask tells whether a task of a job may begin on a machine as things are at this
// moment. Plans see to all this, but are older: since then a machine may have shown tasks
// that nobody knew of, or jobs may have lost the tasks that bound them to a zone.
func (l *Leader) canStartTask(j *state.Job, m *state.Machine) bool {
	return l.canStartTasks(j, m, 1)
}

// canStartTasks tells it of so many more tasks; none more: of one that has its place there.
func (l *Leader) canStartTasks(j *state.Job, m *state.Machine, more int) bool {
	s := j.Spec
	if len(s.InstanceTypes) > 0 && !slices.Contains(s.InstanceTypes, m.Offering.Type) || s.Zone != "" && s.Zone != m.Offering.Zone || m.Offering.Spot && !s.AllowSpot {
		return false
	}
	if !l.workload.WithinLimit(s.Team, l.teamUsage[s.Team].Add(l.unknownUsage, 1).Add(j.Need, int64(more))) {
		return false
	}
	if !s.SingleZone && !s.SpreadZones {
		return true
	}
	here := j.AttemptsPerZone[m.Offering.Zone]
	return (!s.SingleZone || here == len(j.Attempts)) && (!s.SpreadZones || 2*(here+more) <= s.Tasks+1)
}

// nextAttemptNumber is a new number for a start: rising across terms without a write, as the
// term's token stands above.
func (l *Leader) nextAttemptNumber() uint64 {
	l.attempts++
	return l.FencingToken<<32 | l.attempts
}

// stopAtOnce stops a reported task without time to save.
func stopAtOnce(t *wire.TaskStatus) wire.Command {
	return wire.Command{Verb: wire.VerbStop, TaskID: t.TaskID, Attempt: t.Attempt, GracePeriodS: secondsPtr(0)}
}

func stopCommand(a *state.Attempt) wire.Command {
	return wire.Command{Verb: wire.VerbStop, TaskID: a.TaskID(), Attempt: a.Number, GracePeriodS: secondsPtr(a.GracePeriod)}
}

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
