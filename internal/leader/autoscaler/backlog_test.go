package autoscaler

import (
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// The tests in this file guard against launching more machines than the waiting tasks can use. For 500 tasks of one
// CPU, which fill 125 machines of four CPUs, 300 machines were launched, and 490 in those 10 of 24 runs in which a second
// step came before the first machines had sent heartbeats. Each machine is billed for at least a minute.
//
// The cause: the work of the backlog, 300 s for each task, is divided by the time within which the tasks should start,
// 60 s. So it requires five times as many CPUs as the tasks can use at once, regardless of the machines that have
// already been launched for them.
//
// The log at level debug shows the fault: "scaling instance type" with need=..., "launching instances" for six intents of
// 50 machines and, a second later, for four more, and then "summary" with used_cpus=500 schedulable_cpus=1960.

// countLaunched counts the machines of the fleet and those that open intents request.
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

// TestBacklogLaunchesWhatCanBeUsed checks that no more machines are launched than waiting long tasks fill, in one step
// or in several steps before any machine is up.
func TestBacklogLaunchesWhatCanBeUsed(t *testing.T) {
	for _, tc := range []struct {
		name     string
		machines int // idle machines before the first step
		tasks    int
		cpus     float64
		steps    int
		want     int // machines after the last step, including those that are requested
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
				t.Errorf("%d machines in the fleet or requested, want %d", got, tc.want)
			}
		})
	}
	t.Run("room that nobody can use", checkBacklogWithUnusableRoom)
}

// checkBacklogWithUnusableRoom checks how many machines are launched for waiting tasks of three CPUs while each machine
// has one of its four CPUs free. No waiting task fits there, so a machine is launched for each of them, and no more.
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
		t.Fatalf("%d tasks wait, want %d", n, waiting)
	}
	for range 3 {
		s.Step(now)
	}
	if got := countLaunched(s); got != busy+waiting {
		t.Errorf("%d machines in the fleet or requested, want %d", got, busy+waiting)
	}
}
