package leader

import (
	"slices"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// TestReconciliationAfterFailover goes through a machine's heartbeats after a failover, step by step, and the
// commands in the responses.
func TestReconciliationAfterFailover(t *testing.T) {
	running := func(task string, n uint64) wire.TaskStatus {
		return wire.TaskStatus{TaskID: task, Attempt: n, State: wire.TaskRunning}
	}
	l, _ := newTestLeader(t)
	steps := []struct {
		name      string
		heartbeat *wire.Heartbeat
		want      []string // nil: no response
	}{
		// Made before the worker had seen this term's fencing token: an earlier leader's start may
		// still be executed, so nothing of its job is started.
		{"a heartbeat of an earlier term", heartbeat(10, testToken-1), []string{}},
		// One task runs from the earlier term and is kept; the others start.
		{"the first of this term", heartbeat(11, testToken, running("j-000001/0", 5)), []string{"start j-000001/1", "start j-000001/2"}},
		{"a late copy", heartbeat(10, testToken-1), nil},
		// The response with the starts was lost: a newer heartbeat proves it.
		{"starts lost", heartbeat(12, testToken, running("j-000001/0", 5)), []string{"start j-000001/1", "start j-000001/2"}},
		{"an unknown task is stopped", heartbeat(13, testToken, running("j-000001/0", 5), running("j-000001/1", testToken<<32|3),
			running("j-000001/2", testToken<<32|4), running("j-000099/0", 2)), []string{"stop j-000099/0"}},
		// The result is kept on the worker until it is known to be stored.
		{"a task is done", heartbeat(14, testToken, running("j-000001/0", 5), running("j-000001/1", testToken<<32|3),
			wire.TaskStatus{TaskID: "j-000001/2", Attempt: testToken<<32 | 4, State: wire.TaskExited, ExitReason: wire.ExitDone}), []string{}},
		{"a refused start is cleared and tried again", heartbeat(15, testToken, running("j-000001/0", 5),
			wire.TaskStatus{TaskID: "j-000001/1", Attempt: testToken<<32 | 3, State: wire.TaskExited, ExitReason: wire.ExitStopped}),
			[]string{"clear j-000001/1", "start j-000001/1"}},
	}
	for _, s := range steps {
		l.scheduler.PlannedAt = 0 // plans may follow each other at once
		a, err := l.HandleHeartbeat(s.heartbeat)
		if (err != nil) != (s.want == nil) {
			t.Fatalf("%s: error %v", s.name, err)
		}
		if got := commandNames(a); !slices.Equal(got, s.want) {
			t.Fatalf("%s: commands %v, want %v", s.name, got, s.want)
		}
	}
	var numbers []uint64
	for _, a := range l.fleet.Machines["i-1"].Attempts {
		numbers = append(numbers, a.Number)
	}
	slices.Sort(numbers)
	if len(numbers) != len(slices.Compact(numbers)) {
		t.Errorf("attempt numbers repeat: %v", numbers)
	}
	if _, err := l.HandleHeartbeat(heartbeat(16, testToken+1)); err == nil {
		t.Error("a worker with a higher fencing token got a response")
	}
	if _, err := l.HandleHeartbeat(heartbeat(17, testToken)); err == nil {
		t.Error("responded after a higher fencing token was seen")
	}
}

// TestTasksOfJobsCancelledBeforeTerm has a machine report tasks of a job that was cancelled before this
// term. Whatever else is thought of a heartbeat, the response renews the lease, so it must have
// them stopped; and they count against their team's limit until they have left.
func TestTasksOfJobsCancelledBeforeTerm(t *testing.T) {
	l, _ := newTestLeader(t)
	l.workload.SetTeam(settings.Team{Name: "blue", MaxCPUs: 3})
	l.Replica.ApplyPut(replica.JobPrefix+"j-000002", replica.Job{State: wire.JobCancelled, Spec: &wire.Job{
		ID: "j-000002", Team: "blue", Kind: wire.KindArray, Tasks: 8, CPUs: 1, MemoryGB: 1, CheckpointDurationS: 5, CheckpointIntervalS: 1, AllowSpot: true}}, 2)
	l.fleet.Machines["i-1"].Free.CPU = 8000 // the limit alone is in the way
	task := func(n int, taskState string) wire.TaskStatus {
		status := wire.TaskStatus{TaskID: state.TaskID("j-000002", n), Attempt: 3<<32 | 1, State: taskState}
		if taskState == wire.TaskExited {
			status.ExitReason = wire.ExitStopped
		}
		return status
	}
	started := func(n int) wire.TaskStatus {
		return wire.TaskStatus{TaskID: state.TaskID("j-000001", n), Attempt: testToken<<32 | uint64(n+1), State: wire.TaskRunning}
	}
	ofUnknownMachine := heartbeat(1, 0, task(0, wire.TaskRunning))
	ofUnknownMachine.MachineID = "i-2"
	steps := []struct {
		name      string
		heartbeat *wire.Heartbeat
		want      []string
	}{
		{"an unknown machine", ofUnknownMachine, []string{"stop j-000002/0"}},
		{"a heartbeat from before this term", heartbeat(1, 3, task(0, wire.TaskRunning), task(1, wire.TaskCheckpointing)),
			[]string{"stop j-000002/0", "stop j-000002/1"}},
		{"two of the team's three", heartbeat(2, testToken, task(0, wire.TaskRunning), task(1, wire.TaskCheckpointing)),
			[]string{"start j-000001/0", "stop j-000002/0", "stop j-000002/1"}},
		{"one has left", heartbeat(3, testToken, started(0), task(0, wire.TaskExited), task(1, wire.TaskCheckpointing)),
			[]string{"clear j-000002/0", "start j-000001/1", "stop j-000002/1"}},
		{"the other too", heartbeat(4, testToken, started(0), started(1), task(1, wire.TaskExited)),
			[]string{"clear j-000002/1", "start j-000001/2"}},
	}
	for _, s := range steps {
		l.scheduler.RequestPlan()
		l.scheduler.PlannedAt = 0
		response, err := l.HandleHeartbeat(s.heartbeat)
		if got := commandNames(response); err != nil || !slices.Equal(got, s.want) {
			t.Errorf("%s: %v, %v, want %v", s.name, got, err, s.want)
		}
	}
	if len(l.cancelledJobs) > 0 || l.teamUsage["blue"].CPU != 3000 {
		t.Errorf("%d cancelled jobs are left, the team uses %v", len(l.cancelledJobs), l.teamUsage["blue"])
	}
}

// TestContradictoryHeartbeats has a machine report what cannot be. Nothing of that may upset the
// counts of what is in use, or keep the tasks from running once its heartbeats are consistent again.
func TestContradictoryHeartbeats(t *testing.T) {
	task := func(name string, n uint64, state, exitReason string) wire.TaskStatus {
		return wire.TaskStatus{TaskID: name, Attempt: n, State: state, ExitReason: exitReason}
	}
	const own, other = testToken<<32 | 1, 3<<32 | 9
	cases := []struct {
		name  string
		tasks []wire.TaskStatus
	}{
		{"a task twice, running", []wire.TaskStatus{task("j-000001/0", own, wire.TaskRunning, ""), task("j-000001/0", own, wire.TaskRunning, "")}},
		{"a task running and failed", []wire.TaskStatus{task("j-000001/0", own, wire.TaskRunning, ""), task("j-000001/0", own, wire.TaskExited, wire.ExitError)}},
		{"a task failed and running", []wire.TaskStatus{task("j-000001/0", own, wire.TaskExited, wire.ExitError), task("j-000001/0", own, wire.TaskRunning, "")}},
		{"two attempts running", []wire.TaskStatus{task("j-000001/0", other, wire.TaskRunning, ""), task("j-000001/0", own, wire.TaskRunning, "")}},
		{"an unknown state", []wire.TaskStatus{task("j-000001/0", own, "dreaming", "")}},
		{"an unknown exit reason", []wire.TaskStatus{task("j-000001/0", own, wire.TaskExited, "bored")}},
		{"no state", []wire.TaskStatus{task("j-000001/0", own, "", "")}},
		{"tasks that cannot be", []wire.TaskStatus{task("j-000001/7", own, wire.TaskRunning, ""), task("j-000001/-1", own, wire.TaskRunning, ""),
			task("j-000001", own, wire.TaskRunning, ""), task("", 0, "", ""), task("j-999999/0", own, wire.TaskRunning, "")}},
	}
	for _, c := range cases {
		l, _ := newTestLeader(t)
		for i, r := range []*wire.Heartbeat{heartbeat(1, testToken), heartbeat(2, testToken, c.tasks...), heartbeat(3, testToken, c.tasks...), heartbeat(4, testToken)} {
			l.scheduler.RequestPlan()
			l.scheduler.PlannedAt = 0
			if _, err := l.HandleHeartbeat(r); err != nil {
				t.Errorf("%s: heartbeat %d: %v", c.name, i, err)
			}
		}
		m, j := l.fleet.Machines["i-1"], l.jobs["j-000001"]
		if used, assigned := l.teamUsage["blue"].CPU, int64(1000*len(m.Attempts)); used != assigned || m.Free.CPU != 4000-assigned || len(j.Attempts) != len(m.Attempts) || j.DoneCount != 0 {
			t.Errorf("%s: %d tasks on the machine and %d of the job, %d used, %d free, %d done", c.name, len(m.Attempts), len(j.Attempts), used, m.Free.CPU, j.DoneCount)
		}
	}
}
