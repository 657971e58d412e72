package leader

import (
	"fmt"
	"slices"
	"testing"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// TestGangStop has a running gang stopped for other work while its machines are in several
// states: whole, with time to save, or not at all.
func TestGangStop(t *testing.T) {
	for _, c := range []struct {
		name  string
		edit  func(l *Leader, m *machine)
		stops int
	}{
		{"all can be told", func(*Leader, *machine) {}, 3},
		{"one is silent", func(l *Leader, m *machine) {
			m.heartbeat.receivedAt = micros.Now() - 10*micros.Second
			l.startedAt = m.heartbeat.receivedAt
		}, 0},
		{"one hears nothing", func(_ *Leader, m *machine) { m.delivery.lostResponses = 1 }, 0},
		{"one is being returned", func(_ *Leader, m *machine) { m.instance.terminating = true }, 0},
		{"one is in a zone that is cut off", func(l *Leader, _ *machine) {
			l.policy.Observe(micros.Now(), zone.Observation{Zones: map[string]zone.Evidence{"a": {Running: 4, Silent: 3}}})
		}, 0},
		{"its leader is in doubt", func(l *Leader, _ *machine) { l.Term.(*fakeTerm).exclusive = false }, 0},
	} {
		l := newGangTest(t, false)
		for i := range 3 {
			tellTasks(t, l, fmt.Sprintf("i-%d", i+1))
		}
		j := l.jobs["j-000002"]
		for i := range 3 {
			tellTasks(t, l, fmt.Sprintf("i-%d", i+1), ". running")
		}
		c.edit(l, l.machines["i-2"])
		stopped := l.stopGangIfReachable(j, checkpointGrace(j), "test", micros.Now())
		n := 0
		for _, a := range j.attempts {
			if a.stopRequestedAt != 0 && a.gracePeriod >= 3*micros.Second {
				n++
			}
		}
		if n != c.stops || stopped != (n > 0) {
			t.Errorf("%s: %d tasks are stopped with time to save (%v), want %d", c.name, n, stopped, c.stops)
		}
	}
}

// TestGangLeaves has a machine with a task of a gang be taken after a notice. A gang that
// runs stops whole, with time to save; one that waits gives up that task alone. As it may
// run unseen by then, that task has time to save too: to stop it at once would cost what
// the gang did since its last checkpoint.
func TestGangLeaves(t *testing.T) {
	cases := []struct {
		name      string
		states    []string // of the three, empty: its start was not heard of; none: not sent
		saveEvery float64
		stops     int
	}{
		{"its start is not sent", nil, 20, 0},
		{"its start is sent", []string{"", "", ""}, 20, 1},
		{"it fetches", []string{wire.TaskPullingImage, wire.TaskPullingImage, wire.TaskPullingImage}, 20, 1},
		{"it waits", []string{wire.TaskWaitingForGang, wire.TaskWaitingForGang, wire.TaskPullingImage}, 20, 1},
		{"it runs, which is not known", []string{wire.TaskWaitingForGang, wire.TaskWaitingForGang, wire.TaskWaitingForGang}, 20, 1},
		{"it runs", []string{wire.TaskRunning, wire.TaskRunning, wire.TaskRunning}, 20, 3},
		{"it runs, which only another has shown", []string{wire.TaskRunning, wire.TaskWaitingForGang, wire.TaskWaitingForGang}, 20, 3},
		{"it runs and can't save", []string{wire.TaskRunning, wire.TaskRunning, wire.TaskRunning}, 0, 0},
	}
	for _, c := range cases {
		l := newGangTest(t, false)
		j := l.jobs["j-000002"]
		j.spec.CheckpointIntervalS = c.saveEvery
		tellTasks(t, l, "i-1")
		for i := 1; i < len(c.states); i++ {
			tellTasks(t, l, fmt.Sprintf("i-%d", i+1))
		}
		for i, state := range c.states {
			if state != "" {
				tellTasks(t, l, fmt.Sprintf("i-%d", i+1), ". "+state)
			}
		}
		l.machines["i-2"].heartbeat.interruptionAt = micros.Now() + micros.Second
		l.drainOnInterruption(l.machines["i-2"], micros.Now())
		stops := 0
		for _, a := range j.attempts {
			if a.stopRequestedAt != 0 {
				stops++
			}
			if a.stopRequestedAt != 0 && a.gracePeriod < 3*micros.Second {
				t.Errorf("%s: task %d has %v to save", c.name, a.index, a.gracePeriod.Duration())
			}
		}
		if stops != c.stops {
			t.Errorf("%s: %d tasks are stopped, want %d", c.name, stops, c.stops)
		}
	}
}

// TestGangSaves has more happen to a gang that is saving. None of it may cut its time.
func TestGangSaves(t *testing.T) {
	cases := []struct {
		name  string
		event func(t *testing.T, l *Leader)
		least micros.Micros // time that each task which is left has to save
	}{
		{"nothing", func(*testing.T, *Leader) {}, 3 * micros.Second},
		{"it is stopped again for other work", func(_ *testing.T, l *Leader) {
			l.stopGangIfReachable(l.jobs["j-000002"], checkpointGrace(l.jobs["j-000002"]), "test", micros.Now())
		}, 3 * micros.Second},
		{"one of its machines is taken after a short notice", func(_ *testing.T, l *Leader) {
			l.machines["i-2"].heartbeat.interruptionAt = micros.Now() + micros.Second
			l.drainOnInterruption(l.machines["i-2"], micros.Now())
		}, 3 * micros.Second},
		{"one of its machines is found faulty", func(_ *testing.T, l *Leader) {
			l.machines["i-2"].quarantine.failures = quarantineFailures
			l.evaluateMachine(l.machines["i-2"], micros.Now())
		}, 3 * micros.Second},
		{"one has saved", func(t *testing.T, l *Leader) { tellTasks(t, l, "i-2", ". ended stopped") }, 3 * micros.Second},
		{"one has saved, and another's machine is gone", func(t *testing.T, l *Leader) {
			tellTasks(t, l, "i-2", ". ended stopped")
			l.removeMachine(l.machines["i-1"])
		}, 3 * micros.Second},
		{"one was not told in time", func(t *testing.T, l *Leader) { tellTasks(t, l, "i-2", ". ended peers") }, 3 * micros.Second},
		{"one was not told in time, and is listed again", func(t *testing.T, l *Leader) {
			tellTasks(t, l, "i-2", ". ended peers")
			tellTasks(t, l, "i-2", "1 ended peers")
		}, 3 * micros.Second},
		{"a machine is gone", func(_ *testing.T, l *Leader) { l.removeMachine(l.machines["i-2"]) }, 3 * micros.Second},
		{"one still shows to run", func(t *testing.T, l *Leader) { tellTasks(t, l, "i-2", ". running") }, 3 * micros.Second},
		{"it is cancelled", func(_ *testing.T, l *Leader) { l.dropJob(l.jobs["j-000002"], wire.JobCancelled) }, 0},
	}
	for _, c := range cases {
		l := newGangTest(t, false)
		launchGang(t, l, wire.TaskRunning)
		j := l.jobs["j-000002"]
		if !l.stopGangIfReachable(j, checkpointGrace(j), "test", micros.Now()) {
			t.Fatalf("%s: it can't be stopped", c.name)
		}
		c.event(t, l)
		l.checkGangs(micros.Now())
		for _, a := range j.attempts {
			if a.stopRequestedAt == 0 || a.gracePeriod < c.least || c.least == 0 && a.gracePeriod != 0 {
				t.Errorf("%s: task %d has %v to save, want %v", c.name, a.index, a.gracePeriod.Duration(), c.least.Duration())
			}
		}
		if c.least > 0 && (j.gang.number == 0 || !j.gang.ending) {
			t.Errorf("%s: attempt %d is not ending", c.name, j.gang.number)
		}
	}
}

// TestGangCancelled has a gang cancelled in each of its states: no start follows, what was
// not sent is dropped, and all the others are told to stop at once until they are gone.
func TestGangCancelled(t *testing.T) {
	launched := func(state string) func(t *testing.T, l *Leader) {
		return func(t *testing.T, l *Leader) { launchGang(t, l, state) }
	}
	cases := []struct {
		name   string
		before func(t *testing.T, l *Leader)
		stops  int
	}{
		{"nothing of it is placed", func(*testing.T, *Leader) {}, 0},
		{"one start is sent", func(t *testing.T, l *Leader) { tellTasks(t, l, "i-1") }, 1},
		{"all starts are sent", launched(""), 3},
		{"it fetches", launched(wire.TaskPullingImage), 3},
		{"it waits", launched(wire.TaskWaitingForGang), 3},
		{"it runs", launched(wire.TaskRunning), 3},
		{"it waits for a replacement", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskWaitingForGang)
			leave(l, "i-2")
			tellTasks(t, l, "i-2", ". ended stopped")
		}, 2},
		{"it has a place for a replacement", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskWaitingForGang)
			leave(l, "i-2")
			addUp(l, "i-4", "a")
			tellTasks(t, l, "i-2", ". ended stopped")
		}, 2},
		{"it saves", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskRunning)
			l.endGangAttempt(l.jobs["j-000002"], checkpointGrace(l.jobs["j-000002"]), "test")
			tellTasks(t, l, "i-1", ". flushing")
		}, 3},
		{"one of it is gone, and it ends", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskRunning)
			l.removeMachine(l.machines["i-2"])
		}, 2},
		{"one of it hangs, and its machine is to be returned", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskRunning)
			l.terminate(l.machines["i-2"], "test")
		}, 3},
		{"it is done, which is not stored", func(t *testing.T, l *Leader) {
			launchGang(t, l, wire.TaskRunning)
			tellTasks(t, l, "i-2", ". ended done")
		}, 2},
		{"a new leader has heard of one task", func(t *testing.T, l *Leader) {
			*l = *newGangTest(t, true)
			tellTasks(t, l, "i-1", "0@5 waiting")
		}, 1},
	}
	for _, c := range cases {
		l := newGangTest(t, false)
		c.before(t, l)
		j := l.jobs["j-000002"]
		l.Replica.ApplyPut(replica.JobPrefix+j.spec.ID, replica.Job{State: wire.JobCancelled, Spec: j.spec}, 9)
		l.applyJobChanges()
		told := 0
		for _, m := range slices.Clone(l.sorted) {
			a := taskOn(l, m.id)
			if a == nil {
				if got := tellPlain(t, l, m.id); len(got) > 0 {
					t.Errorf("%s: %s is told %v", c.name, m.id, got)
				}
				continue
			}
			told++
			if a.stopRequestedAt == 0 || a.gracePeriod != 0 || a.reserved {
				t.Errorf("%s: task %d is told nothing, or has %v", c.name, a.index, a.gracePeriod.Duration())
			}
			task := wire.TaskStatus{TaskID: taskID(j.spec.ID, a.index), Attempt: a.number}
			for _, task.State = range []string{wire.TaskPullingImage, wire.TaskWaitingForGang, wire.TaskRunning, wire.TaskCheckpointing} {
				if got := tellPlain(t, l, m.id, task); !slices.Equal(got, []string{"stop " + task.TaskID}) {
					t.Errorf("%s: %s is told %v while its task is %s", c.name, m.id, got, task.State)
				}
			}
			task.State, task.ExitReason = wire.TaskExited, wire.ExitStopped
			if got := tellPlain(t, l, m.id, task); !slices.Equal(got, []string{"clear " + task.TaskID}) {
				t.Errorf("%s: %s is told %v when its task has ended", c.name, m.id, got)
			}
		}
		if told != c.stops || len(j.attempts) > 0 || l.teamUsage["blue"].CPU != 0 {
			t.Errorf("%s: %d are told, want %d; %d are left, %+v used", c.name, told, c.stops, len(j.attempts), l.teamUsage["blue"])
		}
	}
}
