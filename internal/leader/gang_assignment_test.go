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

// TestGangAssignments has the tasks of a gang that is starting count as if they ran, in their team's use and on
// their machines, and all released if the gang waits too long.
func TestGangAssignments(t *testing.T) {
	l := newGangTest(t, false)
	gangHeartbeat(t, l, "i-1")
	j := l.jobs[gangID]
	if len(j.Attempts) != 3 || l.teamUsage["blue"].CPU != 9000 {
		t.Fatalf("%d tasks assigned, %+v used", len(j.Attempts), l.teamUsage["blue"])
	}
	for _, m := range l.fleet.Sorted {
		if m.Free.CPU != 1000 {
			t.Errorf("%s has %d free", m.ID, m.Free.CPU)
		}
	}
	// A machine that sends no heartbeat in time gets no start.
	late := l.startedAt - 10*micros.Second
	setTermStart(l, late)
	l.fleet.Machines["i-3"].Heartbeat.ReceivedAt = late
	for _, a := range j.Attempts {
		a.StartedAt = late
	}
	l.gangs.Check(micros.Now())
	if j.WaitingTasks() != 1 || j.Gang.Number != testToken<<32|1 {
		t.Errorf("%d tasks wait for another machine, attempt %d", j.WaitingTasks(), j.Gang.Number)
	}
	// It waits too long: all tasks are released or stopped.
	j.Gang.WaitingSince = micros.Now() - 15*micros.Second
	l.gangs.Check(micros.Now())
	n := 0
	for _, a := range j.Attempts {
		if a.StopRequestedAt != 0 && !a.Reserved && a.GracePeriod >= state.CheckpointGrace(j) { // it may run unseen
			n++
		}
	}
	if n != len(j.Attempts) || n != 1 || l.teamUsage["blue"].CPU != 3000 {
		t.Errorf("%d of %d tasks are stopped, %+v used", n, len(j.Attempts), l.teamUsage["blue"])
	}
}

// TestGangSingleZone has a gang that must be in one zone lose a task. As long as one of the old attempt is left
// anywhere, nothing starts in another zone, and no new attempt begins.
func TestGangSingleZone(t *testing.T) {
	cases := []struct {
		name   string
		state  string
		event  func(t *testing.T, l *Leader) // after a task of it was lost
		starts int                           // on other machines, three in the other zone and one in its own
		same   bool                          // the attempt is
	}{
		{"it waits, and a replacement must be in its zone", wire.TaskWaitingForGang, func(*testing.T, *Leader) {}, 1, true},
		{"it runs, and the others have not left", wire.TaskRunning, func(*testing.T, *Leader) {}, 0, true},
		{"one is left", wire.TaskRunning, func(t *testing.T, l *Leader) { gangHeartbeat(t, l, "i-1", here.exited(wire.ExitStopped)) }, 0, true},
		{"one is left on a machine whose termination is requested", wire.TaskRunning, func(t *testing.T, l *Leader) {
			gangHeartbeat(t, l, "i-1", here.exited(wire.ExitGangTaskLost))
			l.fleet.Terminate(l.fleet.Machines["i-3"], "test")
		}, 0, true},
		{"all have left", wire.TaskRunning, func(t *testing.T, l *Leader) {
			gangHeartbeat(t, l, "i-1", here.exited(wire.ExitGangTaskLost))
			l.fleet.Remove(l.fleet.Machines["i-3"])
		}, 3, false},
	}
	for _, c := range cases {
		l := newGangTest(t, false)
		j := l.jobs[gangID]
		j.Spec.SingleZone = true
		launchGang(t, l, c.state)
		n := j.Gang.Number
		l.fleet.Remove(l.fleet.Machines["i-2"])
		for i, zone := range []string{"b", "b", "b", "a"} {
			addSchedulable(l, fmt.Sprintf("i-%d", i+4), zone)
		}
		c.event(t, l)
		for _, id := range []string{"i-1", "i-3"} {
			if m := l.fleet.Machines[id]; m != nil {
				m.StartBackoffUntil = micros.Now() + 100*micros.Second // the others alone may take tasks
			}
		}
		starts, zones := 0, map[string]bool{}
		for _, id := range []string{"i-4", "i-5", "i-6", "i-7"} {
			if slices.Contains(commandVerbs(gangHeartbeat(t, l, id)), "start") {
				starts++
				zones[l.fleet.Machines[id].Offering.Zone] = true
			}
		}
		if starts != c.starts || len(zones) > 1 || (j.Gang.Number == n) != c.same || zones["b"] && c.same {
			t.Errorf("%s: %d starts in zones %v, attempt %d after %d", c.name, starts, zones, j.Gang.Number, n)
		}
	}
}

// TestGangCountsAgainstTeamLimit has a gang use all that its team may, in each of its states: other jobs of the team
// wait until its tasks have left, those that wait for each other too.
func TestGangCountsAgainstTeamLimit(t *testing.T) {
	cases := []struct {
		name   string
		before func(t *testing.T, l *Leader)
		room   bool
	}{
		{"its tasks are assigned", func(t *testing.T, l *Leader) { gangHeartbeat(t, l, "i-1") }, false},
		{"its starts are sent", func(t *testing.T, l *Leader) { launchGang(t, l, "") }, false},
		{"it pulls its image", func(t *testing.T, l *Leader) { launchGang(t, l, wire.TaskPullingImage) }, false},
		{"it waits", func(t *testing.T, l *Leader) { launchGang(t, l, wire.TaskWaitingForGang) }, false},
		{"it runs", func(t *testing.T, l *Leader) { launchGang(t, l, wire.TaskRunning) }, false},
		{"it is stopped", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskRunning)
			l.gangs.EndAttempt(l.jobs[gangID], 0, "test")
		}, false},
		{"it is cancelled, and has not left", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskWaitingForGang)
			l.dropJob(l.jobs[gangID], wire.JobCancelled)
		}, false},
		{"it is cancelled, and one task has left", func(t *testing.T, l *Leader) {
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
		small := &wire.Job{ID: "j-000003", Team: "blue", Kind: wire.KindArray, Priority: "prod", Tasks: 4, CPUs: 1, EstimatedRuntimeS: 5, AllowSpot: true}
		l.jobs[small.ID] = state.NewJob(replica.Job{Spec: small, SubmittedAt: micros.WallTime()}, false)
		addSchedulable(l, "i-4", "a")
		got := sendHeartbeat(t, l, "i-4")
		if (len(got) > 0) != c.room || l.teamUsage["blue"].CPU > 9000 {
			t.Errorf("%s: another job of its team has commands %v; %d used", c.name, got, l.teamUsage["blue"].CPU)
		}
	}
}
