package leader

import (
	"slices"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

// TestGangReservation has a gang find no room beside work that ends soon: machines are reserved for it for a
// time, then for as long not again.
func TestGangReservation(t *testing.T) {
	const s = micros.Second
	l := newGangTest(t, false)
	setTermStart(l, l.startedAt-100*s)
	now := micros.Now()
	small := state.NewJob(replica.Job{Spec: &wire.Job{ID: "j-000003", Team: "blue", Tasks: 40, CPUs: 1, EstimatedRuntimeS: 5, AllowSpot: true, Priority: "normal"}}, false)
	for _, m := range l.fleet.Sorted {
		for range 4 {
			task, _ := small.TakeWaitingTask()
			l.assign(&state.Attempt{Job: small, Index: task, Number: 1, Machine: m, StartSequence: 1, StartedAt: now, RunningSince: now, ReportedState: wire.TaskRunning})
		}
	}
	reserved := func() (n int) {
		for _, m := range l.fleet.Sorted {
			if m.Reservation != nil {
				n++
			}
		}
		return n
	}
	l.scheduler.Plan(now)
	if reserved() != 3 {
		t.Fatalf("%d machines are reserved", reserved())
	}
	m := l.fleet.Machines["i-1"]
	for _, a := range m.Attempts {
		l.release(a, "")
		break
	}
	l.jobs[small.Spec.ID] = small
	if small.Spec.Priority = "normal"; len(gangHeartbeat(t, l, "i-1")) != 0 {
		t.Error("reserved room went to another job")
	}
	m.Reservation.ExpiresAt = micros.Now()
	l.gangs.Check(micros.Now())
	if reserved() != 0 {
		t.Error("the reservation does not expire")
	}
	if l.scheduler.Plan(micros.Now()); reserved() != 0 {
		t.Error("machines are reserved again at once")
	}
}

// TestGangChangesAfterPlan has a gang change between two plans. A machine that sends a heartbeat is filled from the
// queue of the latest plan, which must not start what has ended meanwhile.
func TestGangChangesAfterPlan(t *testing.T) {
	cancel := func(l *Leader) {
		spec := l.jobs[gangID].Spec
		l.Replica.ApplyPut(replica.JobPrefix+spec.ID, replica.Job{State: wire.JobCancelled, Spec: spec}, 3)
	}
	cases := []struct {
		name    string
		cpus    float64 // of each task; a machine has four
		before  func(t *testing.T, l *Leader)
		between func(l *Leader)
		machine string
		tasks   gangStatuses // of its heartbeat
		want    []string
	}{
		{"it still waits", 1, nil, func(*Leader) {}, "i-1", nil, []string{"start", "start", "start"}},
		{"it is cancelled", 1, nil, cancel, "i-1", nil, nil},
		{"a task of it is assigned to the machine", 3, func(t *testing.T, l *Leader) { gangHeartbeat(t, l, "i-1") }, func(*Leader) {}, "i-2", nil, []string{"start"}},
		{"a task of it is assigned to the machine, and its team is at its limit by now", 3, func(t *testing.T, l *Leader) { gangHeartbeat(t, l, "i-1") }, func(l *Leader) {
			l.workload.SetTeam(settings.Team{Name: "blue", MaxCPUs: 9.5})
			l.teamUsage["blue"] = l.teamUsage["blue"].Add(placement.Resources{CPU: 1000}, 1)
		}, "i-2", nil, nil},
		{"one of its tasks is done", 1, nil, func(*Leader) {}, "i-1", gangStatuses{gangTask(0).exited(wire.ExitDone).ofAttempt(5)}, nil},
		{"its attempt ends while another task of it waits for a machine", 3, func(t *testing.T, l *Leader) {
			for _, id := range []string{"i-1", "i-2", "i-3"} {
				gangHeartbeat(t, l, id)
			}
			gangHeartbeat(t, l, "i-1", here.waiting())
			gangHeartbeat(t, l, "i-3", here.waiting())
			gangHeartbeat(t, l, "i-2", here.exited(wire.ExitError))
		}, func(*Leader) {}, "i-1", gangStatuses{here.exited(wire.ExitGangTimeout)}, []string{"clear"}},
		{"all tasks of its attempt have left, and one waited for a machine", 1, func(t *testing.T, l *Leader) {
			gangHeartbeat(t, l, "i-1")
			for _, id := range []string{"i-2", "i-3"} {
				l.fleet.Machines[id].StartBackoffUntil = micros.Now() + micros.Second
			}
			gangHeartbeat(t, l, "i-1", gangTask(0).waiting(), gangTask(1).waiting(), gangTask(2).exited(wire.ExitInsufficientResources))
		}, func(l *Leader) { l.releaseAll(l.fleet.Machines["i-1"], "test") }, "i-2", nil, nil},
	}
	for _, c := range cases {
		l := newGangTest(t, false)
		j := l.jobs[gangID]
		j.Spec.CPUs, j.Need.CPU = c.cpus, int64(1000*c.cpus)
		if c.before != nil {
			c.before(t, l)
		}
		later := micros.Now() + micros.Second
		for _, m := range l.fleet.Sorted {
			m.StartBackoffUntil = later
		}
		l.scheduler.Plan(micros.Now())
		for _, m := range l.fleet.Sorted {
			m.StartBackoffUntil = 0
		}
		c.between(l)
		l.scheduler.PlannedAt = micros.Now() + 3600*micros.Second // no other plan for long
		got := commandVerbs(gangHeartbeatBetweenPlans(t, l, c.machine, c.tasks...))
		if !slices.Equal(got, c.want) && len(got)+len(c.want) > 0 {
			t.Errorf("%s: commands %v, want %v", c.name, got, c.want)
		}
	}
}
