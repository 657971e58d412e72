package leader

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"caperlatch/internal/leader/dispatch"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// heard has every call to a worker answered.
type heard struct{}

func (heard) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, nil
}

// newGangTest makes a leader of a gang of three tasks, each of which needs most of a
// machine, and of three machines that are up, not yet known if old.
func newGangTest(t *testing.T, old bool) *Leader {
	t.Helper()
	l, _ := newTest(t)
	useWorkers(l, heard{})
	l.Replica.ApplyPut(replica.JobPrefix+"j-000001", replica.Job{State: wire.JobDone}, 2)
	l.applyJobChanges()
	spec := &wire.Job{ID: "j-000002", Team: "blue", Kind: wire.KindGang, Priority: "normal", Tasks: 3, CPUs: 3, MemoryGB: 1,
		EstimatedRuntimeS: 60, CheckpointIntervalS: 20, CheckpointDurationS: 3, AllowSpot: true}
	l.jobs[spec.ID] = state.NewJob(replica.Job{Spec: spec, SubmittedAt: micros.Wall() - 5*micros.Second}, old)
	b := l.fleet.Intent("r-1")
	for _, id := range []string{"i-2", "i-3"} {
		l.fleet.Add(id, b, l.startedAt)
	}
	for _, m := range l.fleet.Sorted {
		m.Instance.Running, m.Instance.IntentStored, m.Instance.ListStored, m.Heartbeat.OfThisTerm = true, true, true, true
		m.Reconciliation.Knowledge = knowledge(!old)
		m.Instance.Address, m.Heartbeat.Incarnation, m.Heartbeat.ReceivedAt, m.Lease.RenewedAt = m.ID+":9000", 1, l.startedAt, l.startedAt
	}
	return l
}

// tellTasks has a machine report tasks given as "number state" or "number state cause",
// the attempt behind an @ if it is another, and a dot for the task that the leader has
// there. It returns what it is told, by a new plan if one is needed.
func tellTasks(t *testing.T, l *Leader, machine string, tasks ...string) []string {
	t.Helper()
	l.scheduler.PlannedAt = 0
	return tellTasksBetweenPlans(t, l, machine, tasks...)
}

// tellTasksBetweenPlans is the same without a new plan, unless one is due.
func tellTasksBetweenPlans(t *testing.T, l *Leader, machine string, tasks ...string) []string {
	t.Helper()
	m := l.fleet.Machines[machine]
	r := &wire.Heartbeat{MachineID: machine, Address: machine + ":9000", InstanceType: "m4", Zone: "a", Incarnation: 1, Sequence: m.Heartbeat.Sequence + 1, FencingToken: token, Tasks: nil}
	for _, s := range tasks {
		f := strings.Fields(s)
		number, at, _ := strings.Cut(f[0], "@")
		for task, a := range l.jobs["j-000002"].Attempts {
			if number == "." && a.Machine == m {
				number = strconv.Itoa(task)
				break
			}
		}
		x := wire.TaskStatus{TaskID: "j-000002/" + number, State: f[1], Attempt: l.jobs["j-000002"].Gang.Number}
		if at != "" {
			if _, err := fmt.Sscan(at, &x.Attempt); err != nil {
				t.Fatal(err)
			}
		}
		if len(f) > 2 {
			x.ExitReason = f[2]
		}
		r.Tasks = append(r.Tasks, x)
	}
	a, err := l.HandleHeartbeat(r)
	if err != nil {
		t.Fatal(err)
	}
	return verbs(a)
}

// addUp adds a machine that is up and may get tasks.
func addUp(l *Leader, id, zone string) {
	m := l.fleet.Add(id, l.fleet.Intent("r-1"), micros.Now())
	m.Offering.Zone = zone
	m.Instance.Running, m.Instance.IntentStored, m.Instance.ListStored, m.Heartbeat.OfThisTerm = true, true, true, true
	m.Instance.Address, m.Heartbeat.Incarnation, m.Heartbeat.ReceivedAt, m.Lease.RenewedAt = id+":9000", 1, micros.Now(), micros.Now()
}

// taskOn is the gang's task that the leader has on a machine.
func taskOn(l *Leader, machine string) *state.Attempt {
	for _, a := range l.fleet.Machines[machine].Attempts {
		if a.Job.Spec.ID == "j-000002" {
			return a
		}
	}
	return nil
}

// tellPlain has a machine report tasks as they are given, and returns what it is told.
func tellPlain(t *testing.T, l *Leader, machine string, tasks ...wire.TaskStatus) []string {
	t.Helper()
	m := l.fleet.Machines[machine]
	l.scheduler.RequestPlan()
	l.scheduler.PlannedAt = 0
	answer, err := l.HandleHeartbeat(&wire.Heartbeat{MachineID: m.ID, Address: m.Instance.Address, InstanceType: "m4", Zone: "a", Incarnation: m.Heartbeat.Incarnation, Sequence: m.Heartbeat.Sequence + 1, FencingToken: token, Tasks: tasks})
	if err != nil {
		t.Fatal(err)
	}
	return verbs(answer)
}

// leave has the gang's task leave a machine, which gets no others.
func leave(l *Leader, machine string) {
	a := taskOn(l, machine)
	a.Machine.DrainReason = "test"
	l.gangs.EvictTask(a, state.CheckpointGrace(a.Job), "test", micros.Now())
}

// launchGang has the gang's tasks started on three machines, and reported with a state
// unless it is empty.
func launchGang(t *testing.T, l *Leader, state string) {
	t.Helper()
	machines := []string{"i-1", "i-2", "i-3"}
	for _, id := range machines {
		tellTasks(t, l, id)
	}
	for _, id := range machines {
		if state != "" {
			tellTasks(t, l, id, ". "+state)
		}
	}
	if len(l.jobs["j-000002"].Attempts) != len(machines) {
		t.Fatalf("%d tasks of the gang are on machines", len(l.jobs["j-000002"].Attempts))
	}
}

// verbsOf are the verbs of commands.
func verbsOf(commands []string) []string {
	out := []string{}
	for _, c := range commands {
		verb, _, _ := strings.Cut(c, " ")
		out = append(out, verb)
	}
	return out
}

// useWorkers has a leader's direct calls reach workers by a transport.
func useWorkers(l *Leader, transport http.RoundTripper) {
	l.dispatcher = dispatch.New(&http.Client{Transport: transport}, l.FencingToken, l.Term.IsExclusive, 0)
}
