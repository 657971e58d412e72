package leader

import (
	"net/http"
	"strings"
	"testing"

	"caperlatch/internal/leader/dispatch"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// acceptingWorkers is a transport on which every call to a worker succeeds.
type acceptingWorkers struct{}

func (acceptingWorkers) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, nil
}

// gangID is the ID of the gang in the tests of gangs.
const gangID = "j-000002"

// newGangTest returns a leader with a gang of three tasks, each of which needs most of a machine, and with three
// running machines. If earlierTerm is set, an earlier term may have started tasks, and the tasks of no machine are
// known yet.
func newGangTest(t *testing.T, earlierTerm bool) *Leader {
	t.Helper()
	l, _ := newTestLeader(t)
	useWorkers(l, acceptingWorkers{})
	l.Replica.ApplyPut(replica.JobPrefix+"j-000001", replica.Job{State: wire.JobDone}, 2)
	l.applyJobChanges()
	spec := &wire.Job{ID: gangID, Team: "blue", Kind: wire.KindGang, Priority: "normal", Tasks: 3, CPUs: 3, MemoryGB: 1,
		EstimatedRuntimeS: 60, CheckpointIntervalS: 20, CheckpointDurationS: 3, AllowSpot: true}
	l.jobs[spec.ID] = state.NewJob(replica.Job{Spec: spec, SubmittedAt: micros.WallTime() - 5*micros.Second}, earlierTerm)
	for _, id := range []string{"i-2", "i-3"} {
		l.fleet.Add(id, l.fleet.Intent("r-1"), l.startedAt)
	}
	for _, m := range l.fleet.Sorted {
		m.Instance.Running, m.Instance.IntentStored, m.Instance.ListStored, m.Heartbeat.FromCurrentTerm = true, true, true, true
		m.Reconciliation.Knowledge = taskKnowledge(!earlierTerm)
		m.Instance.Address, m.Heartbeat.Incarnation, m.Heartbeat.ReceivedAt, m.Lease.RenewedAt = m.ID+":9000", 1, l.startedAt, l.startedAt
	}
	return l
}

// gangTask is the index of a task of the gang, or the constant taskOnSender.
type gangTask int

// taskOnSender stands for the task of the gang that the leader has assigned to the machine that sends the heartbeat.
const taskOnSender gangTask = -1

// gangStatus is the status of a task of the gang in a heartbeat.
type gangStatus struct {
	index      gangTask
	attempt    uint64 // attempt number; 0 stands for the gang's current attempt
	state      string
	exitReason string
}

// gangStatuses is the list of statuses of the gang's tasks in a heartbeat.
type gangStatuses []gangStatus

// A task state and an exit reason that the protocol does not define.
const (
	unknownTaskState  = "pondering"
	unknownExitReason = "boredom"
)

func (n gangTask) inState(state string) gangStatus { return gangStatus{index: n, state: state} }
func (n gangTask) pulling() gangStatus             { return n.inState(wire.TaskPullingImage) }
func (n gangTask) waiting() gangStatus             { return n.inState(wire.TaskWaitingForGang) }
func (n gangTask) running() gangStatus             { return n.inState(wire.TaskRunning) }
func (n gangTask) checkpointing() gangStatus       { return n.inState(wire.TaskCheckpointing) }
func (n gangTask) exited(reason string) gangStatus {
	return gangStatus{index: n, state: wire.TaskExited, exitReason: reason}
}

// ofAttempt returns the status with the given attempt number in place of the current one.
func (s gangStatus) ofAttempt(number uint64) gangStatus {
	s.attempt = number
	return s
}

// onWire returns the status as the machine m sends it in a heartbeat.
func (s gangStatus) onWire(j *state.Job, m *state.Machine) wire.TaskStatus {
	if s.index == taskOnSender {
		for index, a := range j.Attempts {
			if a.Machine == m {
				s.index = gangTask(index)
			}
		}
	}
	if s.attempt == 0 {
		s.attempt = j.Gang.Number
	}
	return wire.TaskStatus{TaskID: state.TaskID(j.Spec.ID, int(s.index)), Attempt: s.attempt, State: s.state, ExitReason: s.exitReason}
}

// gangHeartbeat sends a heartbeat of a machine with tasks of the gang, and returns the commands of the response. If a
// new plan is needed, the leader makes it first, even if the latest plan is very recent.
func gangHeartbeat(t *testing.T, l *Leader, machine string, tasks ...gangStatus) []string {
	t.Helper()
	l.scheduler.PlannedAt = 0
	return gangHeartbeatBetweenPlans(t, l, machine, tasks...)
}

// gangHeartbeatBetweenPlans is like gangHeartbeat, but the leader makes no new plan if the latest one is very recent.
func gangHeartbeatBetweenPlans(t *testing.T, l *Leader, machine string, tasks ...gangStatus) []string {
	t.Helper()
	m := l.fleet.Machines[machine]
	h := &wire.Heartbeat{MachineID: machine, Address: machine + ":9000", InstanceType: "m4", Zone: "a", Incarnation: 1, Sequence: m.Heartbeat.Sequence + 1, FencingToken: testToken}
	for _, status := range tasks {
		h.Tasks = append(h.Tasks, status.onWire(l.jobs[gangID], m))
	}
	response, err := l.HandleHeartbeat(h)
	if err != nil {
		t.Fatal(err)
	}
	return commandNames(response)
}

// addSchedulable adds a running, schedulable machine in a zone.
func addSchedulable(l *Leader, id, zone string) {
	m := l.fleet.Add(id, l.fleet.Intent("r-1"), micros.Now())
	m.Offering.Zone = zone
	m.Instance.Running, m.Instance.IntentStored, m.Instance.ListStored, m.Heartbeat.FromCurrentTerm = true, true, true, true
	m.Instance.Address, m.Heartbeat.Incarnation, m.Heartbeat.ReceivedAt, m.Lease.RenewedAt = id+":9000", 1, micros.Now(), micros.Now()
}

// gangAttemptOn returns the attempt of a task of the gang that is assigned to a machine, or nil if there is none.
func gangAttemptOn(l *Leader, machine string) *state.Attempt {
	for _, a := range l.fleet.Machines[machine].Attempts {
		if a.Job.Spec.ID == gangID {
			return a
		}
	}
	return nil
}

// sendHeartbeat sends a heartbeat of a machine with the given tasks, and returns the commands of the response. The
// leader makes a new plan first.
func sendHeartbeat(t *testing.T, l *Leader, machine string, tasks ...wire.TaskStatus) []string {
	t.Helper()
	m := l.fleet.Machines[machine]
	l.scheduler.RequestPlan()
	l.scheduler.PlannedAt = 0
	response, err := l.HandleHeartbeat(&wire.Heartbeat{MachineID: m.ID, Address: m.Instance.Address, InstanceType: "m4", Zone: "a", Incarnation: m.Heartbeat.Incarnation, Sequence: m.Heartbeat.Sequence + 1, FencingToken: testToken, Tasks: tasks})
	if err != nil {
		t.Fatal(err)
	}
	return commandNames(response)
}

// evictGangTask drains a machine and evicts the gang's task from it.
func evictGangTask(l *Leader, machine string) {
	a := gangAttemptOn(l, machine)
	a.Machine.DrainReason = "test"
	l.gangs.EvictTask(a, state.CheckpointGrace(a.Job), "test", micros.Now())
}

// launchGang starts the gang's tasks on three machines. Unless state is empty, the machines' next heartbeats list the
// tasks in that state.
func launchGang(t *testing.T, l *Leader, state string) {
	t.Helper()
	machines := []string{"i-1", "i-2", "i-3"}
	for _, id := range machines {
		gangHeartbeat(t, l, id)
	}
	for _, id := range machines {
		if state != "" {
			gangHeartbeat(t, l, id, taskOnSender.inState(state))
		}
	}
	if len(l.jobs[gangID].Attempts) != len(machines) {
		t.Fatalf("%d tasks of the gang are on machines, want %d", len(l.jobs[gangID].Attempts), len(machines))
	}
}

// commandVerbs returns the verbs of commands that have the form "verb task".
func commandVerbs(commands []string) []string {
	verbs := []string{}
	for _, c := range commands {
		verb, _, _ := strings.Cut(c, " ")
		verbs = append(verbs, verb)
	}
	return verbs
}

// useWorkers makes a leader call workers through the given transport.
func useWorkers(l *Leader, transport http.RoundTripper) {
	l.dispatcher = dispatch.New(&http.Client{Transport: transport}, l.FencingToken, l.Term.IsExclusive, 0)
}
