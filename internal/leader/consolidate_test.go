package leader

import (
	"fmt"
	"testing"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// TestConsolidate has long tasks thin on two machines. The one that is not wanted is
// emptied into the other, unless that would help nobody or lose work.
func TestConsolidate(t *testing.T) {
	const s = micros.Second
	cases := []struct {
		name            string
		saves           float64
		ran             micros.Micros
		surplus         bool
		waiting         bool
		tasks           [2]int // on each machine of four GuaranteedCPUs
		held            bool
		closedToPatient bool // the other machine
		due             float64
		since           micros.Micros // it is not wanted
		emptied         bool
	}{
		{"room elsewhere", 30, 60 * s, true, false, [2]int{1, 2}, true, false, 0, 60 * s, true},
		{"no room elsewhere", 30, 60 * s, true, false, [2]int{2, 3}, true, false, 0, 60 * s, false},
		{"the machine is wanted", 30, 60 * s, false, false, [2]int{1, 2}, true, false, 0, 60 * s, false},
		{"its tasks never save", 0, 60 * s, true, false, [2]int{1, 2}, true, false, 0, 60 * s, false},
		{"they have just begun", 30, 10 * s, true, false, [2]int{1, 2}, true, false, 0, 60 * s, false},
		{"they are nearly over", 30, 290 * s, true, false, [2]int{1, 2}, true, false, 0, 60 * s, false},
		{"other work waits for the room", 30, 60 * s, true, true, [2]int{1, 2}, true, false, 0, 60 * s, false},
		{"in doubt", 30, 60 * s, true, false, [2]int{1, 2}, false, false, 0, 60 * s, false},
		{"time enough to be moved", 30, 60 * s, true, false, [2]int{1, 2}, true, false, 700, 60 * s, true},
		{"not wanted for a moment only", 30, 60 * s, true, false, [2]int{1, 2}, true, false, 700, 2 * s, false},
		{"it would be late for being moved", 30, 60 * s, true, false, [2]int{1, 2}, true, false, 255, 60 * s, false},
		{"the room is to be given up as well", 30, 60 * s, true, false, [2]int{1, 2}, true, true, 0, 60 * s, false},
	}
	for _, c := range cases {
		l, term := newTestLeader(t)
		term.holdsSession = c.held
		now := micros.Now() + 1000*s
		j := newJob(replica.Job{Spec: &wire.Job{ID: "j-000300", Team: "blue", Tasks: 20, CPUs: 1, EstimatedRuntimeS: 300, AllowSpot: true, CheckpointIntervalS: c.saves, CheckpointDurationS: 3}}, false)
		if j.submittedAt = micros.Wall(); c.due > 0 {
			j.spec.DeadlineS = &c.due
		}
		l.jobs = map[string]*job{j.spec.ID: j}
		l.addMachine("i-2", l.intents["r-1"], now)
		for i, m := range l.sorted {
			m.instance.running, m.instance.intentStored, m.instance.listStored, m.heartbeat.ofThisTerm, m.heartbeat.receivedAt = true, true, true, true, now
			m.reconciliation.knowledge = tasksConfirmed
			for range c.tasks[i] {
				task, _ := j.takeWaitingTask()
				l.assign(&attempt{job: j, index: task, number: 1, machine: m, startSequence: 1, startedAt: now - c.ran, runningSince: now - c.ran, reportedState: wire.TaskRunning})
			}
		}
		l.sorted[0].surplus, l.sorted[1].rejectsDelayTolerant = c.surplus, c.closedToPatient
		l.sorted[0].surplusSince = now - c.since
		if c.waiting {
			l.queue.jobs = []*job{j}
		}
		l.consolidate(now)
		if got := l.sorted[0].drainReason == drainForConsolidation; got != c.emptied || l.sorted[1].drainReason != "" {
			t.Errorf("%s: emptied %v (the other: %q), want %v", c.name, got, l.sorted[1].drainReason, c.emptied)
		}
		for _, a := range l.sorted[0].attempts {
			if stopped := a.stopRequestedAt != 0 && a.gracePeriod == 3*s; stopped != c.emptied {
				t.Errorf("%s: a task is stopped with time to save: %v", c.name, stopped)
			}
		}
	}
}

// TestClosedToPatient has best-effort tasks on ordinary machines that nobody else wants: no more of them
// start there. What others use, or wait for, stays open to all.
func TestClosedToPatient(t *testing.T) {
	for _, c := range []struct {
		name       string
		priorities []int // of a task on each machine
		want, need float64
		closed     int
	}{
		{"nobody wants them", []int{0, 0, 0}, 0, 0, 3},
		{"one holds other work", []int{0, 1, 0}, 0, 0, 2},
		{"the formula wants two", []int{0, 0, 0}, 2, 0, 1},
		{"other work waits", []int{0, 0, 0}, 0, 1, 0},
	} {
		l, _ := newTestLeader(t)
		for i, p := range c.priorities {
			if i > 0 {
				l.addMachine(fmt.Sprintf("i-%d", i+1), l.intents["r-1"], l.startedAt)
			}
			j := newJob(replica.Job{Spec: &wire.Job{ID: fmt.Sprintf("j-00030%d", i), Team: "blue", Tasks: 1, CPUs: 1, AllowSpot: true}}, false)
			j.priority = p
			l.assign(&attempt{job: j, machine: l.sorted[i]})
		}
		l.closeToDelayTolerant(l.types["m4"], c.want, c.need)
		n := 0
		for _, m := range l.sorted {
			if m.rejectsDelayTolerant {
				n++
			}
		}
		if n != c.closed {
			t.Errorf("%s: %d machines closed to patient work, want %d", c.name, n, c.closed)
		}
	}
}

// TestVictims has best-effort tasks that could be stopped: the part of a job that begins is
// left alone until its starts count, what is nearly over is spared, and of the others the
// job goes first that has most yet to start.
func TestVictims(t *testing.T) {
	const s = micros.Second
	for _, c := range []struct {
		name       string
		tasks      int // of the job; 4 of them are on the machine
		protected  bool
		ran        micros.Micros
		bestEffort bool
		lost       [2]micros.Micros // at least, at most
	}{
		{"begun long ago", 400, true, 100 * s, true, [2]micros.Micros{3 * s, 4 * s}},
		{"just begun", 400, true, 10 * s, false, [2]micros.Micros{38 * s, 39 * s}},
		{"just begun, beyond the part that is left alone", 400, false, 10 * s, true, [2]micros.Micros{3 * s, 4 * s}},
		{"the last of its job", 4, false, 100 * s, true, [2]micros.Micros{13 * s, 13 * s}},
		{"nearly over", 400, false, 290 * s, true, [2]micros.Micros{23 * s, 24 * s}},
	} {
		l, _ := newTestLeader(t)
		m, now := l.machines["i-1"], micros.Now()+1000*s
		m.heartbeat.receivedAt = now
		m.reconciliation.knowledge = tasksConfirmed
		j := newJob(replica.Job{Spec: &wire.Job{ID: "j-000300", Team: "blue", Priority: "idle", Tasks: c.tasks, CPUs: 1, EstimatedRuntimeS: 300, CheckpointIntervalS: 30, CheckpointDurationS: 3, AllowSpot: true}}, false)
		l.jobs = map[string]*job{j.spec.ID: j}
		for range 4 {
			task, _ := j.takeWaitingTask()
			l.assign(&attempt{job: j, index: task, machine: m, startedAt: now - c.ran, runningSince: now - c.ran, protected: c.protected})
		}
		ms, _ := l.machinesWithVictims(now)
		if len(ms) != 1 || len(ms[0].Victims) != 4 {
			t.Fatalf("%s: %+v", c.name, ms)
		}
		if v := ms[0].Victims[0]; v.BestEffort != c.bestEffort || v.LostWork < c.lost[0] || v.LostWork > c.lost[1] {
			t.Errorf("%s: best-effort %v, loses %v", c.name, v.BestEffort, v.LostWork.Duration())
		}
	}
}
