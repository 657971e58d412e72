package leader

import (
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
)

// TestPublish checks that a follower's view matches the attempts that the leader has assigned to a machine at each step
// while tasks start, run and end. Entries must be published before the response is sent.
func TestPublish(t *testing.T) {
	l, _ := newTestLeader(t)
	p := standby.NewPublisher(testToken, 1000)
	l.Followers = p
	steps := []struct {
		name      string
		heartbeat *wire.Heartbeat
	}{
		{"the first heartbeat", heartbeat(11, testToken, wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskRunning})},
		{"the response with the starts was lost", heartbeat(12, testToken, wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskRunning})},
		{"a task is done", heartbeat(13, testToken, wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskExited, ExitReason: wire.ExitDone},
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
		view := f.TakeView().Machines["i-1"]
		if !view.TasksKnown || view.Incarnation != 1 || len(view.Tasks) != len(l.fleet.Machines["i-1"].Attempts) {
			t.Errorf("%s: the view of the machine is %+v, want incarnation 1 and %d known tasks", s.name, view, len(l.fleet.Machines["i-1"].Attempts))
		}
		for id, a := range l.fleet.Machines["i-1"].Attempts {
			if view.Tasks[id].Attempt != a.Number {
				t.Errorf("%s: task %s in the view has attempt number %d, want %d", s.name, id, view.Tasks[id].Attempt, a.Number)
			}
		}
	}
}

// TestPublishReserved checks that assigned tasks of a gang are published as reserved, and as started once the response
// carries their starts. If a started task were still published as reserved, the next leader would assume that the
// task's start was never sent.
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
			t.Errorf("%s is published as started before its start was sent, want it published as reserved", task)
		}
	}
	response, err := l.HandleHeartbeat(heartbeat(11, testToken))
	if err != nil || len(response.Commands) != 3 {
		t.Fatalf("commands %v (error %v), want 3 starts", commandNames(response), err)
	}
	for task, state := range view() {
		if state.Reserved {
			t.Errorf("%s is published as reserved after its start was sent, want it published as started", task)
		}
	}
}
