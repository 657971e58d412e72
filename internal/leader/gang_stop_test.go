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

// TestGangStopsAllTasksOrNone checks that when a running gang is to be stopped for other work, all of its tasks are
// stopped with time to save a checkpoint. None is stopped if some task may not receive its stop in time, or if another
// node may lead.
func TestGangStopsAllTasksOrNone(t *testing.T) {
	for _, c := range []struct {
		name  string
		edit  func(l *Leader, m *state.Machine)
		stops int
	}{
		{"all machines can be reached", func(*Leader, *state.Machine) {}, 3},
		{"one machine is silent", func(l *Leader, m *state.Machine) {
			m.Heartbeat.ReceivedAt = micros.Now() - 10*micros.Second
			setTermStart(l, m.Heartbeat.ReceivedAt)
		}, 0},
		{"one machine loses responses", func(_ *Leader, m *state.Machine) { m.Delivery.LostResponses = 1 }, 0},
		{"one machine is being terminated", func(_ *Leader, m *state.Machine) { m.Instance.Terminating = true }, 0},
		{"the zone is disrupted", func(l *Leader, _ *state.Machine) {
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
			gangHeartbeat(t, l, fmt.Sprintf("i-%d", i+1), taskOnSender.running())
		}
		c.edit(l, l.fleet.Machines["i-2"])
		stopped := l.gangs.StopIfReachable(j, state.CheckpointGrace(j), "test", micros.Now())
		stopping := 0
		for _, a := range j.Attempts {
			if a.StopRequestedAt != 0 && a.GracePeriod >= 3*micros.Second {
				stopping++
			}
		}
		if stopping != c.stops || stopped != (stopping > 0) {
			t.Errorf("%s: %d tasks are stopping with time to save a checkpoint, want %d; StopIfReachable returned %v, want %v", c.name, stopping, c.stops, stopped, c.stops > 0)
		}
	}
}

// TestGangEvictedOnInterruption checks which tasks of a gang an interruption notice for one of its machines stops. All
// tasks of a running gang are stopped, with time to save a checkpoint. A running gang without checkpoints is not
// stopped. Of a gang that does not run yet, only the task on the machine is stopped, if its start was sent. The gang
// may already run before a heartbeat shows it, so this task gets time to save a checkpoint too. If the task were stopped
// at once, the gang would lose its work since its last checkpoint.
func TestGangEvictedOnInterruption(t *testing.T) {
	cases := []struct {
		name                string
		states              []string // of the three tasks, as listed in heartbeats; "" for a task that no heartbeat lists; nil if i-2 was sent no start
		checkpointIntervalS float64
		stops               int // tasks that are stopping
	}{
		{"start not sent", nil, 20, 0},
		{"starts sent", []string{"", "", ""}, 20, 1},
		{"pulling the image", []string{wire.TaskPullingImage, wire.TaskPullingImage, wire.TaskPullingImage}, 20, 1},
		{"waiting for each other", []string{wire.TaskWaitingForGang, wire.TaskWaitingForGang, wire.TaskPullingImage}, 20, 1},
		{"running, but listed as waiting", []string{wire.TaskWaitingForGang, wire.TaskWaitingForGang, wire.TaskWaitingForGang}, 20, 1},
		{"running", []string{wire.TaskRunning, wire.TaskRunning, wire.TaskRunning}, 20, 3},
		{"running, but only another task is listed as running", []string{wire.TaskRunning, wire.TaskWaitingForGang, wire.TaskWaitingForGang}, 20, 3},
		{"running without checkpoints", []string{wire.TaskRunning, wire.TaskRunning, wire.TaskRunning}, 0, 0},
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
				gangHeartbeat(t, l, fmt.Sprintf("i-%d", i+1), taskOnSender.inState(state))
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
				t.Errorf("%s: task %d has a grace period of %v, want at least 3s", c.name, a.Index, a.GracePeriod.Duration())
			}
		}
		if stops != c.stops {
			t.Errorf("%s: %d tasks are stopping, want %d", c.name, stops, c.stops)
		}
	}
}

// TestGangGracePeriodNotShortened checks that no further event shortens the grace period of a gang that is saving
// checkpoints, except cancellation.
func TestGangGracePeriodNotShortened(t *testing.T) {
	cases := []struct {
		name     string
		event    func(t *testing.T, l *Leader)
		minGrace micros.Micros // minimum grace period of each remaining task
	}{
		{"no event", func(*testing.T, *Leader) {}, 3 * micros.Second},
		{"the gang is stopped again for other work", func(_ *testing.T, l *Leader) {
			l.gangs.StopIfReachable(l.jobs[gangID], state.CheckpointGrace(l.jobs[gangID]), "test", micros.Now())
		}, 3 * micros.Second},
		{"a machine gets a short interruption notice", func(_ *testing.T, l *Leader) {
			l.fleet.Machines["i-2"].Heartbeat.InterruptionAt = micros.Now() + micros.Second
			l.drainOnInterruption(l.fleet.Machines["i-2"], micros.Now())
		}, 3 * micros.Second},
		{"a machine is quarantined", func(t *testing.T, l *Leader) {
			m, job := l.fleet.Machines["i-2"], state.NewJob(replica.Job{Spec: &wire.Job{ID: "j-000100", Tasks: 20}}, false)
			job.DoneCount = 1
			for range 2 {
				l.quarantine.AttributeFailure(m, job, micros.Now())
			}
			if m.DrainReason != quarantine.DrainReason {
				t.Fatalf("drain reason %q, want %q", m.DrainReason, quarantine.DrainReason)
			}
		}, 3 * micros.Second},
		{"a task has saved its checkpoint", func(t *testing.T, l *Leader) { gangHeartbeat(t, l, "i-2", taskOnSender.exited(wire.ExitStopped)) }, 3 * micros.Second},
		{"a task has saved its checkpoint, and another task's machine is terminated", func(t *testing.T, l *Leader) {
			gangHeartbeat(t, l, "i-2", taskOnSender.exited(wire.ExitStopped))
			l.fleet.Remove(l.fleet.Machines["i-1"])
		}, 3 * micros.Second},
		{"a task exits because its gang lost a task", func(t *testing.T, l *Leader) { gangHeartbeat(t, l, "i-2", taskOnSender.exited(wire.ExitGangTaskLost)) }, 3 * micros.Second},
		{"a task exits because its gang lost a task, and is listed again", func(t *testing.T, l *Leader) {
			gangHeartbeat(t, l, "i-2", taskOnSender.exited(wire.ExitGangTaskLost))
			gangHeartbeat(t, l, "i-2", gangTask(1).exited(wire.ExitGangTaskLost))
		}, 3 * micros.Second},
		{"a machine is terminated", func(_ *testing.T, l *Leader) { l.fleet.Remove(l.fleet.Machines["i-2"]) }, 3 * micros.Second},
		{"a task is still listed as running", func(t *testing.T, l *Leader) { gangHeartbeat(t, l, "i-2", taskOnSender.running()) }, 3 * micros.Second},
		{"the gang is cancelled", func(_ *testing.T, l *Leader) { l.dropJob(l.jobs[gangID], wire.JobCancelled) }, 0},
	}
	for _, c := range cases {
		l := newGangTest(t, false)
		launchGang(t, l, wire.TaskRunning)
		j := l.jobs[gangID]
		if !l.gangs.StopIfReachable(j, state.CheckpointGrace(j), "test", micros.Now()) {
			t.Fatalf("%s: StopIfReachable returned false, want true", c.name)
		}
		c.event(t, l)
		l.gangs.Check(micros.Now())
		for _, a := range j.Attempts {
			if a.StopRequestedAt == 0 || a.GracePeriod < c.minGrace || c.minGrace == 0 && a.GracePeriod != 0 {
				t.Errorf("%s: task %d has a grace period of %v (stop requested: %t), want at least %v", c.name, a.Index, a.GracePeriod.Duration(), a.StopRequestedAt != 0, c.minGrace.Duration())
			}
		}
		if c.minGrace > 0 && (j.Gang.Number == 0 || !j.Gang.Ending) {
			t.Errorf("%s: attempt number %d, ending: %t; want an attempt that is ending", c.name, j.Gang.Number, j.Gang.Ending)
		}
	}
}

// TestGangCancelledInEachState checks the cancellation of a gang in each of its states: no start follows, tasks whose
// start was not sent are released, and every response commands the other tasks to stop at once until they have left.
func TestGangCancelledInEachState(t *testing.T) {
	launched := func(state string) func(t *testing.T, l *Leader) {
		return func(t *testing.T, l *Leader) { launchGang(t, l, state) }
	}
	cases := []struct {
		name        string
		before      func(t *testing.T, l *Leader) // brings the gang into the state
		stops       int                           // tasks that are stopping after the cancellation
		earlierTerm bool                          // an earlier term may have started tasks of the gang
	}{
		{"no task is assigned", func(*testing.T, *Leader) {}, 0, false},
		{"one start is sent, and the other tasks are assigned", func(t *testing.T, l *Leader) { gangHeartbeat(t, l, "i-1") }, 1, false},
		{"all starts are sent", launched(""), 3, false},
		{"pulling the image", launched(wire.TaskPullingImage), 3, false},
		{"waiting for each other", launched(wire.TaskWaitingForGang), 3, false},
		{"running", launched(wire.TaskRunning), 3, false},
		{"a task waits for a machine as a replacement", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskWaitingForGang)
			evictGangTask(l, "i-2")
			gangHeartbeat(t, l, "i-2", taskOnSender.exited(wire.ExitStopped))
		}, 2, false},
		{"a replacement is assigned", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskWaitingForGang)
			evictGangTask(l, "i-2")
			addSchedulable(l, "i-4", "a")
			gangHeartbeat(t, l, "i-2", taskOnSender.exited(wire.ExitStopped))
		}, 2, false},
		{"saving checkpoints", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskRunning)
			l.gangs.EndAttempt(l.jobs[gangID], state.CheckpointGrace(l.jobs[gangID]), "test")
			gangHeartbeat(t, l, "i-1", taskOnSender.checkpointing())
		}, 3, false},
		{"a task is lost, and the attempt ends", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskRunning)
			l.fleet.Remove(l.fleet.Machines["i-2"])
		}, 2, false},
		{"a machine hangs, and its termination is requested", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskRunning)
			l.fleet.Terminate(l.fleet.Machines["i-2"], "test")
		}, 3, false},
		{"done, which is not stored", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskRunning)
			gangHeartbeat(t, l, "i-2", taskOnSender.exited(wire.ExitDone))
		}, 2, false},
		{"a new leader knows one task", func(t *testing.T, l *Leader) {
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
					t.Errorf("%s: commands for %s without a task: %v, want none", c.name, m.ID, got)
				}
				continue
			}
			stopping++
			if a.StopRequestedAt == 0 || a.GracePeriod != 0 || a.Reserved {
				t.Errorf("%s: task %d: stop requested: %t, grace period %v, reserved: %t; want a stop without grace period", c.name, a.Index, a.StopRequestedAt != 0, a.GracePeriod.Duration(), a.Reserved)
			}
			task := wire.TaskStatus{TaskID: state.TaskID(j.Spec.ID, a.Index), Attempt: a.Number}
			for _, task.State = range []string{wire.TaskPullingImage, wire.TaskWaitingForGang, wire.TaskRunning, wire.TaskCheckpointing} {
				if got := sendHeartbeat(t, l, m.ID, task); !slices.Equal(got, []string{"stop " + task.TaskID}) {
					t.Errorf("%s: commands for %s: %v while its task is %s, want its stop", c.name, m.ID, got, task.State)
				}
			}
			task.State, task.ExitReason = wire.TaskExited, wire.ExitStopped
			if got := sendHeartbeat(t, l, m.ID, task); !slices.Equal(got, []string{"clear " + task.TaskID}) {
				t.Errorf("%s: commands for %s: %v after its task has exited, want the clear", c.name, m.ID, got)
			}
		}
		if stopping != c.stops || len(j.Attempts) > 0 || l.teamUsage["blue"].CPU != 0 {
			t.Errorf("%s: %d tasks are stopping, want %d; %d tasks are left at the end, want 0; team usage %+v, want none", c.name, stopping, c.stops, len(j.Attempts), l.teamUsage["blue"])
		}
	}
}
