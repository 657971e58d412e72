package leader

import (
	"fmt"
	"slices"
	"testing"

	"caperlatch/internal/leader/quarantine"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// TestGangStoppedWholeOrNotAtAll has a running gang stopped for other work while its machines are in several
// states: all tasks, with time to save, or none.
func TestGangStoppedWholeOrNotAtAll(t *testing.T) {
	for _, c := range []struct {
		name  string
		edit  func(l *Leader, m *state.Machine)
		stops int
	}{
		{"all can be reached", func(*Leader, *state.Machine) {}, 3},
		{"one is silent", func(l *Leader, m *state.Machine) {
			m.Heartbeat.ReceivedAt = micros.Now() - 10*micros.Second
			setTermStart(l, m.Heartbeat.ReceivedAt)
		}, 0},
		{"one loses responses", func(_ *Leader, m *state.Machine) { m.Delivery.LostResponses = 1 }, 0},
		{"one is being terminated", func(_ *Leader, m *state.Machine) { m.Instance.Terminating = true }, 0},
		{"one is in a disrupted zone", func(l *Leader, _ *state.Machine) {
			l.zones.Policy.Observe(micros.Now(), zone.Observation{Zones: map[string]zone.Evidence{"a": {Running: 4, Silent: 3}}})
		}, 0},
		{"another node may lead", func(l *Leader, _ *state.Machine) { l.Term.(*fakeTerm).exclusive = false }, 0},
	} {
		l := newGangTest(t, false)
		for i := range 3 {
			gangHeartbeat(t, l, fmt.Sprintf("i-%d", i+1))
		}
		j := l.jobs[gangID]
		for i := range 3 {
			gangHeartbeat(t, l, fmt.Sprintf("i-%d", i+1), here.running())
		}
		c.edit(l, l.fleet.Machines["i-2"])
		stopped := l.gangs.StopIfReachable(j, state.CheckpointGrace(j), "test", micros.Now())
		n := 0
		for _, a := range j.Attempts {
			if a.StopRequestedAt != 0 && a.GracePeriod >= 3*micros.Second {
				n++
			}
		}
		if n != c.stops || stopped != (n > 0) {
			t.Errorf("%s: %d tasks are stopped with time to save (%v), want %d", c.name, n, stopped, c.stops)
		}
	}
}

// TestGangEvictedOnInterruption has the cloud take a machine with a task of a gang back after a notice. A gang that
// runs stops whole, with time to save; of one that waits only that task stops. As it may run unseen by then, that
// task has time to save too: to stop it at once would cost what the gang did since its last checkpoint.
func TestGangEvictedOnInterruption(t *testing.T) {
	cases := []struct {
		name                string
		states              []string // of the three, empty: no heartbeat has shown its start; none: it was not sent
		checkpointIntervalS float64
		stops               int
	}{
		{"its start is not sent", nil, 20, 0},
		{"its start is sent", []string{"", "", ""}, 20, 1},
		{"it pulls its image", []string{wire.TaskPullingImage, wire.TaskPullingImage, wire.TaskPullingImage}, 20, 1},
		{"it waits", []string{wire.TaskWaitingForGang, wire.TaskWaitingForGang, wire.TaskPullingImage}, 20, 1},
		{"it runs, which is not known", []string{wire.TaskWaitingForGang, wire.TaskWaitingForGang, wire.TaskWaitingForGang}, 20, 1},
		{"it runs", []string{wire.TaskRunning, wire.TaskRunning, wire.TaskRunning}, 20, 3},
		{"it runs, which only another has shown", []string{wire.TaskRunning, wire.TaskWaitingForGang, wire.TaskWaitingForGang}, 20, 3},
		{"it runs and can't save", []string{wire.TaskRunning, wire.TaskRunning, wire.TaskRunning}, 0, 0},
	}
	for _, c := range cases {
		l := newGangTest(t, false)
		j := l.jobs[gangID]
		j.Spec.CheckpointIntervalS = c.checkpointIntervalS
		gangHeartbeat(t, l, "i-1")
		for i := 1; i < len(c.states); i++ {
			gangHeartbeat(t, l, fmt.Sprintf("i-%d", i+1))
		}
		for i, state := range c.states {
			if state != "" {
				gangHeartbeat(t, l, fmt.Sprintf("i-%d", i+1), here.inState(state))
			}
		}
		l.fleet.Machines["i-2"].Heartbeat.InterruptionAt = micros.Now() + micros.Second
		l.drainOnInterruption(l.fleet.Machines["i-2"], micros.Now())
		stops := 0
		for _, a := range j.Attempts {
			if a.StopRequestedAt != 0 {
				stops++
			}
			if a.StopRequestedAt != 0 && a.GracePeriod < 3*micros.Second {
				t.Errorf("%s: task %d has %v to save", c.name, a.Index, a.GracePeriod.Duration())
			}
		}
		if stops != c.stops {
			t.Errorf("%s: %d tasks are stopped, want %d", c.name, stops, c.stops)
		}
	}
}

// TestGangGracePeriodIsKept has more happen to a gang that is saving checkpoints. None of it may cut its time.
func TestGangGracePeriodIsKept(t *testing.T) {
	cases := []struct {
		name  string
		event func(t *testing.T, l *Leader)
		least micros.Micros // time that each task which is left has to save
	}{
		{"nothing", func(*testing.T, *Leader) {}, 3 * micros.Second},
		{"it is stopped again for other work", func(_ *testing.T, l *Leader) {
			l.gangs.StopIfReachable(l.jobs[gangID], state.CheckpointGrace(l.jobs[gangID]), "test", micros.Now())
		}, 3 * micros.Second},
		{"one of its machines has a short interruption notice", func(_ *testing.T, l *Leader) {
			l.fleet.Machines["i-2"].Heartbeat.InterruptionAt = micros.Now() + micros.Second
			l.drainOnInterruption(l.fleet.Machines["i-2"], micros.Now())
		}, 3 * micros.Second},
		{"one of its machines is quarantined", func(t *testing.T, l *Leader) {
			m, good := l.fleet.Machines["i-2"], state.NewJob(replica.Job{Spec: &wire.Job{ID: "j-000100", Tasks: 20}}, false)
			good.DoneCount = 1
			for range 2 {
				l.quarantine.AttributeFailure(m, good, micros.Now())
			}
			if m.DrainReason != quarantine.DrainReason {
				t.Fatalf("drained for %q", m.DrainReason)
			}
		}, 3 * micros.Second},
		{"one has saved", func(t *testing.T, l *Leader) { gangHeartbeat(t, l, "i-2", here.exited(wire.ExitStopped)) }, 3 * micros.Second},
		{"one has saved, and another's machine is terminated", func(t *testing.T, l *Leader) {
			gangHeartbeat(t, l, "i-2", here.exited(wire.ExitStopped))
			l.fleet.Remove(l.fleet.Machines["i-1"])
		}, 3 * micros.Second},
		{"one has lost its gang", func(t *testing.T, l *Leader) { gangHeartbeat(t, l, "i-2", here.exited(wire.ExitGangTaskLost)) }, 3 * micros.Second},
		{"one has lost its gang, and is listed again", func(t *testing.T, l *Leader) {
			gangHeartbeat(t, l, "i-2", here.exited(wire.ExitGangTaskLost))
			gangHeartbeat(t, l, "i-2", gangTask(1).exited(wire.ExitGangTaskLost))
		}, 3 * micros.Second},
		{"a machine is terminated", func(_ *testing.T, l *Leader) { l.fleet.Remove(l.fleet.Machines["i-2"]) }, 3 * micros.Second},
		{"one still shows to run", func(t *testing.T, l *Leader) { gangHeartbeat(t, l, "i-2", here.running()) }, 3 * micros.Second},
		{"it is cancelled", func(_ *testing.T, l *Leader) { l.dropJob(l.jobs[gangID], wire.JobCancelled) }, 0},
	}
	for _, c := range cases {
		l := newGangTest(t, false)
		launchGang(t, l, wire.TaskRunning)
		j := l.jobs[gangID]
		if !l.gangs.StopIfReachable(j, state.CheckpointGrace(j), "test", micros.Now()) {
			t.Fatalf("%s: it can't be stopped", c.name)
		}
		c.event(t, l)
		l.gangs.Check(micros.Now())
		for _, a := range j.Attempts {
			if a.StopRequestedAt == 0 || a.GracePeriod < c.least || c.least == 0 && a.GracePeriod != 0 {
				t.Errorf("%s: task %d has %v to save, want %v", c.name, a.Index, a.GracePeriod.Duration(), c.least.Duration())
			}
		}
		if c.least > 0 && (j.Gang.Number == 0 || !j.Gang.Ending) {
			t.Errorf("%s: attempt %d is not ending", c.name, j.Gang.Number)
		}
	}
}

// TestGangCancelledInEachState has a gang cancelled in each of its states: no start follows, tasks whose start was not
// sent are released, and all the others have the command to stop at once until they have left.
func TestGangCancelledInEachState(t *testing.T) {
	launched := func(state string) func(t *testing.T, l *Leader) {
		return func(t *testing.T, l *Leader) { launchGang(t, l, state) }
	}
	cases := []struct {
		name        string
		before      func(t *testing.T, l *Leader)
		stops       int
		earlierTerm bool // may have started tasks
	}{
		{"none of its tasks is assigned", func(*testing.T, *Leader) {}, 0, false},
		{"one start is sent", func(t *testing.T, l *Leader) { gangHeartbeat(t, l, "i-1") }, 1, false},
		{"all starts are sent", launched(""), 3, false},
		{"it pulls its image", launched(wire.TaskPullingImage), 3, false},
		{"it waits", launched(wire.TaskWaitingForGang), 3, false},
		{"it runs", launched(wire.TaskRunning), 3, false},
		{"it waits for a replacement", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskWaitingForGang)
			evictGangTask(l, "i-2")
			gangHeartbeat(t, l, "i-2", here.exited(wire.ExitStopped))
		}, 2, false},
		{"a replacement is assigned", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskWaitingForGang)
			evictGangTask(l, "i-2")
			addSchedulable(l, "i-4", "a")
			gangHeartbeat(t, l, "i-2", here.exited(wire.ExitStopped))
		}, 2, false},
		{"it saves", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskRunning)
			l.gangs.EndAttempt(l.jobs[gangID], state.CheckpointGrace(l.jobs[gangID]), "test")
			gangHeartbeat(t, l, "i-1", here.checkpointing())
		}, 3, false},
		{"one task is lost, and its attempt ends", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskRunning)
			l.fleet.Remove(l.fleet.Machines["i-2"])
		}, 2, false},
		{"one machine hangs, and its termination is requested", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskRunning)
			l.fleet.Terminate(l.fleet.Machines["i-2"], "test")
		}, 3, false},
		{"it is done, which is not stored", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskRunning)
			gangHeartbeat(t, l, "i-2", here.exited(wire.ExitDone))
		}, 2, false},
		{"a new leader knows of one task", func(t *testing.T, l *Leader) {
			gangHeartbeat(t, l, "i-1", gangTask(0).waiting().ofAttempt(5))
		}, 1, true},
	}
	for _, c := range cases {
		l := newGangTest(t, c.earlierTerm)
		c.before(t, l)
		j := l.jobs[gangID]
		l.Replica.ApplyPut(replica.JobPrefix+j.Spec.ID, replica.Job{State: wire.JobCancelled, Spec: j.Spec}, 9)
		l.applyJobChanges()
		stopping := 0
		for _, m := range slices.Clone(l.fleet.Sorted) {
			a := gangAttemptOn(l, m.ID)
			if a == nil {
				if got := sendHeartbeat(t, l, m.ID); len(got) > 0 {
					t.Errorf("%s: %s has commands %v", c.name, m.ID, got)
				}
				continue
			}
			stopping++
			if a.StopRequestedAt == 0 || a.GracePeriod != 0 || a.Reserved {
				t.Errorf("%s: task %d is not stopping, or has %v to save", c.name, a.Index, a.GracePeriod.Duration())
			}
			task := wire.TaskStatus{TaskID: state.TaskID(j.Spec.ID, a.Index), Attempt: a.Number}
			for _, task.State = range []string{wire.TaskPullingImage, wire.TaskWaitingForGang, wire.TaskRunning, wire.TaskCheckpointing} {
				if got := sendHeartbeat(t, l, m.ID, task); !slices.Equal(got, []string{"stop " + task.TaskID}) {
					t.Errorf("%s: %s has commands %v while its task is %s", c.name, m.ID, got, task.State)
				}
			}
			task.State, task.ExitReason = wire.TaskExited, wire.ExitStopped
			if got := sendHeartbeat(t, l, m.ID, task); !slices.Equal(got, []string{"clear " + task.TaskID}) {
				t.Errorf("%s: %s has commands %v when its task has exited", c.name, m.ID, got)
			}
		}
		if stopping != c.stops || len(j.Attempts) > 0 || l.teamUsage["blue"].CPU != 0 {
			t.Errorf("%s: %d tasks are stopping, want %d; %d are left, %+v used", c.name, stopping, c.stops, len(j.Attempts), l.teamUsage["blue"])
		}
	}
}
