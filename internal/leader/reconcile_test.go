package leader

import (
	"slices"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// TestReconciliationAfterFailover checks the commands in the responses to a sequence of a machine's heartbeats after a
// failover.
func TestReconciliationAfterFailover(t *testing.T) {
	running := func(task string, attempt uint64) wire.TaskStatus {
		return wire.TaskStatus{TaskID: task, Attempt: attempt, State: wire.TaskRunning}
	}
	l, _ := newTestLeader(t)
	steps := []struct {
		name      string
		heartbeat *wire.Heartbeat
		want      []string // nil if an error is expected
	}{
		// The worker sent this heartbeat before it received this term's fencing token. It may still execute a start of
		// an earlier leader, so no task of the job is started.
		{"a heartbeat of an earlier term", heartbeat(10, testToken-1), []string{}},
		// One task was started in the earlier term and is kept. The others are started.
		{"the first heartbeat of this term", heartbeat(11, testToken, running("j-000001/0", 5)), []string{"start j-000001/1", "start j-000001/2"}},
		{"a delayed heartbeat", heartbeat(10, testToken-1), nil},
		// A newer heartbeat proves that the response with the starts was lost.
		{"the starts were lost", heartbeat(12, testToken, running("j-000001/0", 5)), []string{"start j-000001/1", "start j-000001/2"}},
		{"a task of an unknown job is stopped", heartbeat(13, testToken, running("j-000001/0", 5), running("j-000001/1", testToken<<32|3),
			running("j-000001/2", testToken<<32|4), running("j-000099/0", 2)), []string{"stop j-000099/0"}},
		// The worker keeps the result until the leader knows that it is stored.
		{"a task is done", heartbeat(14, testToken, running("j-000001/0", 5), running("j-000001/1", testToken<<32|3),
			wire.TaskStatus{TaskID: "j-000001/2", Attempt: testToken<<32 | 4, State: wire.TaskExited, ExitReason: wire.ExitDone}), []string{}},
		{"a refused start is cleared and tried again", heartbeat(15, testToken, running("j-000001/0", 5),
			wire.TaskStatus{TaskID: "j-000001/1", Attempt: testToken<<32 | 3, State: wire.TaskExited, ExitReason: wire.ExitStopped}),
			[]string{"clear j-000001/1", "start j-000001/1"}},
	}
	for _, s := range steps {
		l.scheduler.PlannedAt = 0 // the leader may make a new plan at once
		response, err := l.HandleHeartbeat(s.heartbeat)
		if (err != nil) != (s.want == nil) {
			t.Fatalf("%s: error %v, want an error: %t", s.name, err, s.want == nil)
		}
		if got := commandNames(response); !slices.Equal(got, s.want) {
			t.Fatalf("%s: commands %v, want %v", s.name, got, s.want)
		}
	}
	var numbers []uint64
	for _, a := range l.fleet.Machines["i-1"].Attempts {
		numbers = append(numbers, a.Number)
	}
	slices.Sort(numbers)
	if len(numbers) != len(slices.Compact(numbers)) {
		t.Errorf("attempt numbers %v, want distinct ones", numbers)
	}
	if _, err := l.HandleHeartbeat(heartbeat(16, testToken+1)); err == nil {
		t.Error("a heartbeat with a higher fencing token got a response, want an error")
	}
	if _, err := l.HandleHeartbeat(heartbeat(17, testToken)); err == nil {
		t.Error("a heartbeat after one with a higher fencing token got a response, want an error")
	}
}

// TestTasksOfJobsCancelledBeforeTerm checks the handling of tasks of a job that was cancelled before this term. Every
// response renews the machine's lease. So it must stop the cancelled tasks even if the leader ignores the rest of the
// heartbeat. The tasks count against their team's limit until they have left their machine.
func TestTasksOfJobsCancelledBeforeTerm(t *testing.T) {
	l, _ := newTestLeader(t)
	l.workload.SetTeam(settings.Team{Name: "blue", MaxCPUs: 3})
	l.Replica.ApplyPut(replica.JobPrefix+"j-000002", replica.Job{State: wire.JobCancelled, Spec: &wire.Job{
		ID: "j-000002", Team: "blue", Kind: wire.KindArray, Tasks: 8, CPUs: 1, MemoryGB: 1, CheckpointDurationS: 5, CheckpointIntervalS: 1, AllowSpot: true}}, 2)
	l.fleet.Machines["i-1"].Free.CPU = 8000 // only the team's limit restricts starts
	cancelled := func(index int, taskState string) wire.TaskStatus {
		status := wire.TaskStatus{TaskID: state.TaskID("j-000002", index), Attempt: 3<<32 | 1, State: taskState}
		if taskState == wire.TaskExited {
			status.ExitReason = wire.ExitStopped
		}
		return status
	}
	started := func(index int) wire.TaskStatus {
		return wire.TaskStatus{TaskID: state.TaskID("j-000001", index), Attempt: testToken<<32 | uint64(index+1), State: wire.TaskRunning}
	}
	heartbeatOfUnknownMachine := heartbeat(1, 0, cancelled(0, wire.TaskRunning))
	heartbeatOfUnknownMachine.MachineID = "i-2"
	steps := []struct {
		name      string
		heartbeat *wire.Heartbeat
		want      []string
	}{
		{"a heartbeat of an unknown machine", heartbeatOfUnknownMachine, []string{"stop j-000002/0"}},
		{"a heartbeat from before this term", heartbeat(1, 3, cancelled(0, wire.TaskRunning), cancelled(1, wire.TaskCheckpointing)),
			[]string{"stop j-000002/0", "stop j-000002/1"}},
		{"the cancelled tasks use two of the team's three CPUs", heartbeat(2, testToken, cancelled(0, wire.TaskRunning), cancelled(1, wire.TaskCheckpointing)),
			[]string{"start j-000001/0", "stop j-000002/0", "stop j-000002/1"}},
		{"one cancelled task has left", heartbeat(3, testToken, started(0), cancelled(0, wire.TaskExited), cancelled(1, wire.TaskCheckpointing)),
			[]string{"clear j-000002/0", "start j-000001/1", "stop j-000002/1"}},
		{"the other cancelled task has left", heartbeat(4, testToken, started(0), started(1), cancelled(1, wire.TaskExited)),
			[]string{"clear j-000002/1", "start j-000001/2"}},
	}
	for _, s := range steps {
		l.scheduler.RequestPlan()
		l.scheduler.PlannedAt = 0
		response, err := l.HandleHeartbeat(s.heartbeat)
		if got := commandNames(response); err != nil || !slices.Equal(got, s.want) {
			t.Errorf("%s: commands %v (error %v), want %v", s.name, got, err, s.want)
		}
	}
	if len(l.cancelledJobs) > 0 || l.teamUsage["blue"].CPU != 3000 {
		t.Errorf("%d cancelled jobs are left, want 0; team usage %+v, want CPU 3000", len(l.cancelledJobs), l.teamUsage["blue"])
	}
}

// TestContradictoryHeartbeats checks that heartbeats with contradictory or invalid contents do not corrupt the counts
// of used resources, and do not keep tasks from starting once the machine's heartbeats are consistent again.
func TestContradictoryHeartbeats(t *testing.T) {
	task := func(id string, attempt uint64, state, exitReason string) wire.TaskStatus {
		return wire.TaskStatus{TaskID: id, Attempt: attempt, State: state, ExitReason: exitReason}
	}
	const currentAttempt, otherAttempt = testToken<<32 | 1, 3<<32 | 9
	cases := []struct {
		name  string
		tasks []wire.TaskStatus
	}{
		{"a task listed twice as running", []wire.TaskStatus{task("j-000001/0", currentAttempt, wire.TaskRunning, ""), task("j-000001/0", currentAttempt, wire.TaskRunning, "")}},
		{"a task listed as running and as failed", []wire.TaskStatus{task("j-000001/0", currentAttempt, wire.TaskRunning, ""), task("j-000001/0", currentAttempt, wire.TaskExited, wire.ExitError)}},
		{"a task listed as failed and as running", []wire.TaskStatus{task("j-000001/0", currentAttempt, wire.TaskExited, wire.ExitError), task("j-000001/0", currentAttempt, wire.TaskRunning, "")}},
		{"two attempts of a task running", []wire.TaskStatus{task("j-000001/0", otherAttempt, wire.TaskRunning, ""), task("j-000001/0", currentAttempt, wire.TaskRunning, "")}},
		{"an unknown state", []wire.TaskStatus{task("j-000001/0", currentAttempt, "dreaming", "")}},
		{"an unknown exit reason", []wire.TaskStatus{task("j-000001/0", currentAttempt, wire.TaskExited, "bored")}},
		{"no state", []wire.TaskStatus{task("j-000001/0", currentAttempt, "", "")}},
		{"tasks that do not exist", []wire.TaskStatus{task("j-000001/7", currentAttempt, wire.TaskRunning, ""), task("j-000001/-1", currentAttempt, wire.TaskRunning, ""),
			task("j-000001", currentAttempt, wire.TaskRunning, ""), task("", 0, "", ""), task("j-999999/0", currentAttempt, wire.TaskRunning, "")}},
	}
	for _, c := range cases {
		l, _ := newTestLeader(t)
		for i, h := range []*wire.Heartbeat{heartbeat(1, testToken), heartbeat(2, testToken, c.tasks...), heartbeat(3, testToken, c.tasks...), heartbeat(4, testToken)} {
			l.scheduler.RequestPlan()
			l.scheduler.PlannedAt = 0
			if _, err := l.HandleHeartbeat(h); err != nil {
				t.Errorf("%s: heartbeat %d: unexpected error: %v", c.name, i, err)
			}
		}
		m, j := l.fleet.Machines["i-1"], l.jobs["j-000001"]
		if used, assigned := l.teamUsage["blue"].CPU, int64(1000*len(m.Attempts)); used != assigned || m.Free.CPU != 4000-assigned || len(j.Attempts) != len(m.Attempts) || j.DoneCount != 0 {
			t.Errorf("%s: %d tasks on the machine, %d of the job, CPU usage of the team %d, free CPU %d, %d tasks done; want as many tasks of the job as on the machine, a usage of %d, free CPU %d and none done", c.name, len(m.Attempts), len(j.Attempts), used, m.Free.CPU, j.DoneCount, assigned, 4000-assigned)
		}
	}
}
