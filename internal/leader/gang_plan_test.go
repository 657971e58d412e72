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

// TestGangReservation checks that machines are reserved for a gang that finds no room while other tasks will end soon.
// Once the reservation has expired, the next plan does not reserve machines for the gang again: the gang must wait for
// a while first.
func TestGangReservation(t *testing.T) {
	const s = micros.Second
	l := newGangTest(t, false)
	setTermStart(l, l.startedAt-100*s)
	now := micros.Now()
	shortJob := state.NewJob(replica.Job{Spec: &wire.Job{ID: "j-000003", Team: "blue", Tasks: 40, CPUs: 1, EstimatedRuntimeS: 5, AllowSpot: true, Priority: "normal"}}, false)
	for _, m := range l.fleet.Sorted {
		for range 4 {
			task, _ := shortJob.TakeWaitingTask()
			l.assign(&state.Attempt{Job: shortJob, Index: task, Number: 1, Machine: m, StartSequence: 1, StartedAt: now, RunningSince: now, ReportedState: wire.TaskRunning})
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
		t.Fatalf("%d machines are reserved, want 3", reserved())
	}
	m := l.fleet.Machines["i-1"]
	for _, a := range m.Attempts {
		l.release(a, "")
		break
	}
	l.jobs[shortJob.Spec.ID] = shortJob
	if shortJob.Spec.Priority = "normal"; len(gangHeartbeat(t, l, "i-1")) != 0 {
		t.Error("i-1, which is reserved for the gang, got commands, want none for another job")
	}
	m.Reservation.ExpiresAt = micros.Now()
	l.gangs.Check(micros.Now())
	if reserved() != 0 {
		t.Errorf("%d machines are reserved after the reservation expired, want 0", reserved())
	}
	if l.scheduler.Plan(micros.Now()); reserved() != 0 {
		t.Errorf("%d machines are reserved again at once, want 0", reserved())
	}
}

// TestGangChangesAfterPlan checks the commands for a machine when a gang or its team's usage has changed since the
// latest plan. The machine gets tasks of the gang from the queue of that plan, unless the attempt or the job has ended
// since the plan or the team has reached its limit.
func TestGangChangesAfterPlan(t *testing.T) {
	cancel := func(l *Leader) {
		spec := l.jobs[gangID].Spec
		l.Replica.ApplyPut(replica.JobPrefix+spec.ID, replica.Job{State: wire.JobCancelled, Spec: spec}, 3)
	}
	cases := []struct {
		name    string
		cpus    float64                       // CPUs of each task; a machine has four
		before  func(t *testing.T, l *Leader) // runs before the plan, unless nil
		between func(l *Leader)               // runs between the plan and the heartbeat
		machine string                        // sends the heartbeat
		tasks   gangStatuses                  // in the heartbeat
		want    []string
	}{
		{"the gang still waits", 1, nil, func(*Leader) {}, "i-1", nil, []string{"start", "start", "start"}},
		{"the gang is cancelled", 1, nil, cancel, "i-1", nil, nil},
		{"a task of the gang is assigned to the machine", 3, func(t *testing.T, l *Leader) { gangHeartbeat(t, l, "i-1") }, func(*Leader) {}, "i-2", nil, []string{"start"}},
		{"a task of the gang is assigned to the machine, and the team has reached its limit since", 3, func(t *testing.T, l *Leader) { gangHeartbeat(t, l, "i-1") }, func(l *Leader) {
			l.workload.SetTeam(settings.Team{Name: "blue", MaxCPUs: 9.5})
			l.teamUsage["blue"] = l.teamUsage["blue"].Add(placement.Resources{CPU: 1000}, 1)
		}, "i-2", nil, nil},
		{"a task of the gang is done", 1, nil, func(*Leader) {}, "i-1", gangStatuses{gangTask(0).exited(wire.ExitDone).ofAttempt(5)}, nil},
		{"the attempt ends while another of its tasks waits for a machine", 3, func(t *testing.T, l *Leader) {
			for _, id := range []string{"i-1", "i-2", "i-3"} {
				gangHeartbeat(t, l, id)
			}
			gangHeartbeat(t, l, "i-1", taskOnSender.waiting())
			gangHeartbeat(t, l, "i-3", taskOnSender.waiting())
			gangHeartbeat(t, l, "i-2", taskOnSender.exited(wire.ExitError))
		}, func(*Leader) {}, "i-1", gangStatuses{taskOnSender.exited(wire.ExitGangTimeout)}, []string{"clear"}},
		{"all tasks of the attempt have left while one waited for a machine", 1, func(t *testing.T, l *Leader) {
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
		backoffUntil := micros.Now() + micros.Second
		for _, m := range l.fleet.Sorted {
			m.StartBackoffUntil = backoffUntil
		}
		l.scheduler.Plan(micros.Now())
		for _, m := range l.fleet.Sorted {
			m.StartBackoffUntil = 0
		}
		c.between(l)
		l.scheduler.PlannedAt = micros.Now() + 3600*micros.Second // no other plan is due
		got := commandVerbs(gangHeartbeatBetweenPlans(t, l, c.machine, c.tasks...))
		if !slices.Equal(got, c.want) && len(got)+len(c.want) > 0 {
			t.Errorf("%s: commands %v, want %v", c.name, got, c.want)
		}
	}
}
