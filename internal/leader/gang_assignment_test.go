package leader

import (
	"fmt"
	"slices"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// TestGangAssignments checks that the tasks of a gang that is being launched count towards their team's usage and their
// machines' used resources as if they ran. If the gang waits too long, all of its tasks are released or stopped.
func TestGangAssignments(t *testing.T) {
	l := newGangTest(t, false)
	gangHeartbeat(t, l, "i-1")
	j := l.jobs[gangID]
	if len(j.Attempts) != 3 || l.teamUsage["blue"].CPU != 9000 {
		t.Fatalf("%d tasks assigned, want 3; team usage %+v, want CPU 9000", len(j.Attempts), l.teamUsage["blue"])
	}
	for _, m := range l.fleet.Sorted {
		if m.Free.CPU != 1000 {
			t.Errorf("%s: free CPU %d, want 1000", m.ID, m.Free.CPU)
		}
	}
	// The assignment to a machine that sends no heartbeat in time is released.
	late := l.startedAt - 10*micros.Second
	setTermStart(l, late)
	l.fleet.Machines["i-3"].Heartbeat.ReceivedAt = late
	for _, a := range j.Attempts {
		a.StartedAt = late
	}
	l.gangs.Check(micros.Now())
	if j.WaitingTasks() != 1 || j.Gang.Number != testToken<<32|1 {
		t.Errorf("%d tasks wait for another machine, want 1; attempt number %d, want %d", j.WaitingTasks(), j.Gang.Number, uint64(testToken<<32|1))
	}
	// The gang waits too long, so all of its tasks are released or stopped.
	j.Gang.WaitingSince = micros.Now() - 15*micros.Second
	l.gangs.Check(micros.Now())
	stopping := 0
	for _, a := range j.Attempts {
		// The task may already run before a heartbeat shows it, so it gets time to save a checkpoint.
		if a.StopRequestedAt != 0 && !a.Reserved && a.GracePeriod >= state.CheckpointGrace(j) {
			stopping++
		}
	}
	if stopping != len(j.Attempts) || stopping != 1 || l.teamUsage["blue"].CPU != 3000 {
		t.Errorf("%d of %d remaining tasks are stopping, want 1 of 1; team usage %+v, want CPU 3000", stopping, len(j.Attempts), l.teamUsage["blue"])
	}
}

// TestGangSingleZone checks what starts after a gang that must run in a single zone has lost a task. As long as a task
// of the old attempt is left on any machine, nothing starts in another zone and no new attempt begins.
func TestGangSingleZone(t *testing.T) {
	cases := []struct {
		name        string
		state       string                        // of the gang's tasks when one of them is lost
		event       func(t *testing.T, l *Leader) // follows the loss
		starts      int                           // on four more machines: three in the other zone, one in the gang's zone
		sameAttempt bool                          // the gang still has the same attempt
	}{
		{"the gang waits, so the task is replaced in its zone", wire.TaskWaitingForGang, func(*testing.T, *Leader) {}, 1, true},
		{"the gang runs, and its other tasks are still on their machines", wire.TaskRunning, func(*testing.T, *Leader) {}, 0, true},
		{"the gang runs, and one task is still on its machine", wire.TaskRunning, func(t *testing.T, l *Leader) { gangHeartbeat(t, l, "i-1", taskOnSender.exited(wire.ExitStopped)) }, 0, true},
		{"the gang runs, and one task is still on a machine whose termination was requested", wire.TaskRunning, func(t *testing.T, l *Leader) {
			gangHeartbeat(t, l, "i-1", taskOnSender.exited(wire.ExitGangTaskLost))
			l.fleet.Terminate(l.fleet.Machines["i-3"], "test")
		}, 0, true},
		{"the gang ran, and all its tasks have left", wire.TaskRunning, func(t *testing.T, l *Leader) {
			gangHeartbeat(t, l, "i-1", taskOnSender.exited(wire.ExitGangTaskLost))
			l.fleet.Remove(l.fleet.Machines["i-3"])
		}, 3, false},
	}
	for _, c := range cases {
		l := newGangTest(t, false)
		j := l.jobs[gangID]
		j.Spec.SingleZone = true
		launchGang(t, l, c.state)
		numberBefore := j.Gang.Number
		l.fleet.Remove(l.fleet.Machines["i-2"])
		for i, zone := range []string{"b", "b", "b", "a"} {
			addSchedulable(l, fmt.Sprintf("i-%d", i+4), zone)
		}
		c.event(t, l)
		for _, id := range []string{"i-1", "i-3"} {
			if m := l.fleet.Machines[id]; m != nil {
				m.StartBackoffUntil = micros.Now() + 100*micros.Second // only the four other machines may get tasks
			}
		}
		starts, zones := 0, map[string]bool{}
		for _, id := range []string{"i-4", "i-5", "i-6", "i-7"} {
			if slices.Contains(commandVerbs(gangHeartbeat(t, l, id)), "start") {
				starts++
				zones[l.fleet.Machines[id].Offering.Zone] = true
			}
		}
		if starts != c.starts || len(zones) > 1 || (j.Gang.Number == numberBefore) != c.sameAttempt || zones["b"] && c.sameAttempt {
			t.Errorf("%s: %d starts in zones %v, want %d in a single zone, which is a if the attempt is the same; attempt number %d, before the loss %d, want the same: %t", c.name, starts, zones, c.starts, j.Gang.Number, numberBefore, c.sameAttempt)
		}
	}
}

// TestGangCountsAgainstTeamLimit checks that a gang that uses all of its team's limit blocks the team's other jobs. It
// blocks them from the assignment of its tasks, through every state of the gang, until a task has left its machine.
func TestGangCountsAgainstTeamLimit(t *testing.T) {
	cases := []struct {
		name   string
		before func(t *testing.T, l *Leader)
		starts bool // tasks of the other job start
	}{
		{"assigned", func(t *testing.T, l *Leader) { gangHeartbeat(t, l, "i-1") }, false},
		{"starts sent", func(t *testing.T, l *Leader) { launchGang(t, l, "") }, false},
		{"pulling the image", func(t *testing.T, l *Leader) { launchGang(t, l, wire.TaskPullingImage) }, false},
		{"waiting for each other", func(t *testing.T, l *Leader) { launchGang(t, l, wire.TaskWaitingForGang) }, false},
		{"running", func(t *testing.T, l *Leader) { launchGang(t, l, wire.TaskRunning) }, false},
		{"stopping", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskRunning)
			l.gangs.EndAttempt(l.jobs[gangID], 0, "test")
		}, false},
		{"cancelled, and all tasks are still on their machines", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskWaitingForGang)
			l.dropJob(l.jobs[gangID], wire.JobCancelled)
		}, false},
		{"cancelled, and one task has left", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskWaitingForGang)
			j := l.jobs[gangID]
			l.dropJob(j, wire.JobCancelled)
			l.fleet.Remove(l.fleet.Machines["i-3"])
		}, true},
	}
	for _, c := range cases {
		l := newGangTest(t, false)
		l.workload.SetTeam(settings.Team{Name: "blue", MaxCPUs: 9})
		c.before(t, l)
		otherJob := &wire.Job{ID: "j-000003", Team: "blue", Kind: wire.KindArray, Priority: "prod", Tasks: 4, CPUs: 1, EstimatedRuntimeS: 5, AllowSpot: true}
		l.jobs[otherJob.ID] = state.NewJob(replica.Job{Spec: otherJob, SubmittedAt: micros.WallTime()}, false)
		addSchedulable(l, "i-4", "a")
		got := sendHeartbeat(t, l, "i-4")
		if (len(got) > 0) != c.starts || l.teamUsage["blue"].CPU > 9000 {
			t.Errorf("%s: commands %v for another job of the team, want any: %t; CPU usage of the team %d, want at most 9000", c.name, got, c.starts, l.teamUsage["blue"].CPU)
		}
	}
}
