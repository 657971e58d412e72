package leader

import (
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
)

// TestPublish has tasks start, run, stop and end: a follower's view shows at each step what the leader counts on the
// machine, before the response leaves.
func TestPublish(t *testing.T) {
	l, _ := newTestLeader(t)
	p := standby.NewPublisher(testToken, 1000)
	l.Followers = p
	steps := []struct {
		name      string
		heartbeat *wire.Heartbeat
	}{
		{"the first", heartbeat(11, testToken, wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskRunning})},
		{"starts lost", heartbeat(12, testToken, wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskRunning})},
		{"one is done", heartbeat(13, testToken, wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskExited, ExitReason: wire.ExitDone},
			wire.TaskStatus{TaskID: "j-000001/1", Attempt: testToken<<32 | 3, State: wire.TaskRunning})},
		{"no task is left", heartbeat(14, testToken)},
	}
	for _, s := range steps {
		l.scheduler.PlannedAt = 0
		if _, err := l.HandleHeartbeat(s.heartbeat); err != nil {
			t.Fatal(err)
		}
		f := standby.NewFollower("host-1")
		for !f.Progress().Complete || f.Progress().Position < p.Position() {
			if err := f.ApplyPage(p.HandleQuery(f.NextQuery(testToken)), micros.Now()); err != nil {
				t.Fatal(err)
			}
		}
		known := f.TakeView().Machines["i-1"]
		if !known.TasksKnown || known.Incarnation != 1 || len(known.Tasks) != len(l.fleet.Machines["i-1"].Attempts) {
			t.Errorf("%s: the view has %+v, the leader %d tasks", s.name, known, len(l.fleet.Machines["i-1"].Attempts))
		}
		for name, a := range l.fleet.Machines["i-1"].Attempts {
			if known.Tasks[name].Attempt != a.Number {
				t.Errorf("%s: %s: attempt %d, want %d", s.name, name, known.Tasks[name].Attempt, a.Number)
			}
		}
	}
}

// TestPublishReserved has a gang get its places: they are published as reserved, and as started with the response that
// carries the starts. A place that was still published as reserved then would be taken for a start that was never
// sent.
func TestPublishReserved(t *testing.T) {
	l, _ := newTestLeader(t)
	p := standby.NewPublisher(testToken, 1000)
	l.Followers = p
	l.jobs["j-000001"].Spec.Kind = wire.KindGang
	m := l.fleet.Machines["i-1"]
	m.Reconciliation.Knowledge = state.TasksConfirmed
	view := func() map[string]standby.TaskState {
		f := standby.NewFollower("host-1")
		if err := f.ApplyPage(p.HandleQuery(f.NextQuery(testToken)), micros.Now()); err != nil {
			t.Fatal(err)
		}
		return f.TakeView().Machines["i-1"].Tasks
	}
	l.scheduler.Plan(micros.Now())
	l.gangs.AssignTasks(m, l.jobs["j-000001"], 3, micros.Now())
	for task, state := range view() {
		if !state.Reserved {
			t.Errorf("%s is published as started before any response", task)
		}
	}
	response, err := l.HandleHeartbeat(heartbeat(11, testToken))
	if err != nil || len(response.Commands) != 3 {
		t.Fatalf("commands %v (%v)", commandNames(response), err)
	}
	for task, state := range view() {
		if state.Reserved {
			t.Errorf("%s is published as reserved after its start was sent", task)
		}
	}
}
