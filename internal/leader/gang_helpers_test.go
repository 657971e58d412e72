package leader

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

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
	l, _ := newTestLeader(t)
	l.WorkerClient = &http.Client{Transport: heard{}}
	l.Replica.ApplyPut(replica.JobPrefix+"j-000001", replica.Job{State: wire.JobDone}, 2)
	l.applyJobChanges()
	spec := &wire.Job{ID: "j-000002", Team: "blue", Kind: wire.KindGang, Priority: "normal", Tasks: 3, CPUs: 3, MemoryGB: 1,
		EstimatedRuntimeS: 60, CheckpointIntervalS: 20, CheckpointDurationS: 3, AllowSpot: true}
	l.jobs[spec.ID] = newJob(replica.Job{Spec: spec, SubmittedAt: micros.Wall() - 5*micros.Second}, old)
	b := l.intents["r-1"]
	for _, id := range []string{"i-2", "i-3"} {
		l.addMachine(id, b, l.startedAt)
	}
	for _, m := range l.sorted {
		m.instance.running, m.instance.intentStored, m.instance.listStored, m.heartbeat.ofThisTerm = true, true, true, true
		m.reconciliation.knowledge = taskKnowledge(!old)
		m.instance.address, m.heartbeat.incarnation, m.heartbeat.receivedAt, m.lease.renewedAt = m.id+":9000", 1, l.startedAt, l.startedAt
	}
	return l
}

// tellTasks has a machine report tasks given as "number state" or "number state cause",
// the attempt behind an @ if it is another, and a dot for the task that the leader has
// there. It returns what it is told.
func tellTasks(t *testing.T, l *Leader, machine string, tasks ...string) []string {
	t.Helper()
	m := l.machines[machine]
	r := &wire.Heartbeat{MachineID: machine, Address: machine + ":9000", InstanceType: "m4", Zone: "a", Incarnation: 1, Sequence: m.heartbeat.sequence + 1, FencingToken: testToken, Tasks: nil}
	for _, s := range tasks {
		f := strings.Fields(s)
		number, at, _ := strings.Cut(f[0], "@")
		for task, a := range l.jobs["j-000002"].attempts {
			if number == "." && a.machine == m {
				number = strconv.Itoa(task)
				break
			}
		}
		x := wire.TaskStatus{TaskID: "j-000002/" + number, State: f[1], Attempt: l.jobs["j-000002"].gang.number}
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
	l.plannedAt = 0
	a, err := l.HandleHeartbeat(r)
	if err != nil {
		t.Fatal(err)
	}
	return commandNames(a)
}

// addUp adds a machine that is up and may get tasks.
func addUp(l *Leader, id, zone string) {
	m := l.addMachine(id, l.intents["r-1"], micros.Now())
	m.offering.Zone = zone
	m.instance.running, m.instance.intentStored, m.instance.listStored, m.heartbeat.ofThisTerm = true, true, true, true
	m.instance.address, m.heartbeat.incarnation, m.heartbeat.receivedAt, m.lease.renewedAt = id+":9000", 1, micros.Now(), micros.Now()
}

// taskOn is the gang's task that the leader has on a machine.
func taskOn(l *Leader, machine string) *attempt {
	for _, a := range l.machines[machine].attempts {
		if a.job.spec.ID == "j-000002" {
			return a
		}
	}
	return nil
}

// tellPlain has a machine report tasks as they are given, and returns what it is told.
func tellPlain(t *testing.T, l *Leader, machine string, tasks ...wire.TaskStatus) []string {
	t.Helper()
	m := l.machines[machine]
	l.replan, l.plannedAt = true, 0
	answer, err := l.HandleHeartbeat(&wire.Heartbeat{MachineID: m.id, Address: m.instance.address, InstanceType: "m4", Zone: "a", Incarnation: m.heartbeat.incarnation, Sequence: m.heartbeat.sequence + 1, FencingToken: testToken, Tasks: tasks})
	if err != nil {
		t.Fatal(err)
	}
	return commandNames(answer)
}

// leave has the gang's task leave a machine, which gets no others.
func leave(l *Leader, machine string) {
	a := taskOn(l, machine)
	a.machine.drainReason = "test"
	l.evictGangTask(a, checkpointGrace(a.job), "test", micros.Now())
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
	if len(l.jobs["j-000002"].attempts) != len(machines) {
		t.Fatalf("%d tasks of the gang are on machines", len(l.jobs["j-000002"].attempts))
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
