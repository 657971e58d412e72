package autoscaler

import (
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// What happens: for 500 tasks of one CPU, which fill 125 machines of four, 300 machines were launched, and in 10 of 24 runs
// 490, when a second step came before the first machines had sent heartbeats. Users pay for a minute of each.
//
// Why: the backlog's work, 300 s for each task, is divided by the time within which the tasks are to start, 60 s, so that
// it asks for five times the CPUs that the tasks can use at once, whatever has been launched for them already.
//
// What showed it, at level debug: "scaling instance type" need=..., "launching instances" for six intents of 50 and, a second
// later, four more, where "summary" then has used_cpus=500 schedulable_cpus=1960.

// countLaunched counts the machines that the fleet has or has intents for.
func countLaunched(s *Scaler) int {
	count := len(s.Fleet.Machines)
	for intent := range s.Fleet.OpenIntents() {
		count += intent.Count
	}
	return count
}

// longJob is a job whose tasks run for far longer than they may wait for their start.
func longJob(id string, tasks int, cpus float64) *state.Job {
	j := newJob(id, wire.KindArray, tasks)
	j.Spec.CPUs, j.Spec.EstimatedRuntimeS, j.Spec.Class = cpus, 300, "long"
	j.Need.CPU = int64(cpus * 1000)
	return j
}

// TestBacklogLaunchesWhatCanBeUsed has long tasks wait: no more machines are launched than they fill, in one step or in
// several before any machine is up.
func TestBacklogLaunchesWhatCanBeUsed(t *testing.T) {
	for _, tc := range []struct {
		name     string
		machines int // idle ones that there are
		tasks    int
		cpus     float64
		steps    int
		want     int // machines in the end
	}{
		{"one step", 0, 500, 1, 1, 125},
		{"five steps before a machine is up", 0, 500, 1, 5, 125},
		{"idle machines take all", 125, 500, 1, 3, 125},
		{"idle machines take a part", 50, 500, 1, 3, 125},
		{"tasks that leave room unused", 0, 100, 3, 3, 100},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTest(t, tc.machines, typeM4)
			s.meansRaised = true
			now := micros.Now()
			s.Jobs["j-000001"] = longJob("j-000001", tc.tasks, tc.cpus)
			for step := range tc.steps {
				s.Step(now + micros.Micros(step)*micros.Second)
			}
			if got := countLaunched(s); got != tc.want {
				t.Errorf("%d machines, want %d", got, tc.want)
			}
		})
	}
	t.Run("room that nobody can use", checkBacklogWithUnusableRoom)
}

// checkBacklogWithUnusableRoom has tasks of three CPUs wait beside machines of four, each with one CPU free: that room
// helps nobody, so machines are launched for all that wait, and no more.
func checkBacklogWithUnusableRoom(t *testing.T) {
	const busy, waiting = 40, 10
	s := newTest(t, busy, typeM4)
	s.meansRaised = true
	now := micros.Now()
	j := longJob("j-000001", busy+waiting, 3)
	s.Jobs[j.Spec.ID] = j
	for _, m := range s.Fleet.Sorted {
		index, _ := j.TakeWaitingTask()
		a := &state.Attempt{Job: j, Index: index, Number: 1, Machine: m, StartedAt: now, RunningSince: now, ReportedState: wire.TaskRunning}
		a.Attach()
	}
	if n := j.StartableTasks(now); n != waiting {
		t.Fatalf("%d tasks wait", n)
	}
	for range 3 {
		s.Step(now)
	}
	if got := countLaunched(s); got != busy+waiting {
		t.Errorf("%d machines, want %d", got, busy+waiting)
	}
}
