package autoscaler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// typeSlowM4 and typeSlowM8 take longer to boot than the cloud's minimum billed time.
var (
	typeSlowM4 = wire.InstanceType{Name: "m4", CPUs: 4, MemoryGB: 16, ImagePullGBPerS: 1, OnDemandPrice: 3, SpotPrice: 1, BootTimeS: 70, Zones: []string{"a"}}
	typeSlowM8 = wire.InstanceType{Name: "m8", CPUs: 8, MemoryGB: 32, ImagePullGBPerS: 1, OnDemandPrice: 9, SpotPrice: 3, BootTimeS: 70, Zones: []string{"a"}}
)

// newSmallJob returns a job of one CPU that is estimated to take next to no time.
func newSmallJob(id string) *state.Job {
	j := newJob(id, wire.KindArray, 1)
	j.Spec.EstimatedRuntimeS, j.Spec.Class = 0.001, "small"
	return j
}

// occupy has a task of the given number of CPUs, which is expected to run for runtimeS seconds, run on every machine.
func occupy(s *Scaler, kind wire.JobKind, cpus, runtimeS float64) {
	j := newJob("j-000900", kind, len(s.Fleet.Sorted))
	j.Spec.CPUs, j.Spec.EstimatedRuntimeS = cpus, runtimeS
	j.Need.CPU = state.CeilMilli(cpus)
	s.Jobs[j.Spec.ID] = j
	for _, m := range s.Fleet.Sorted {
		index, _ := j.TakeWaitingTask()
		a := &state.Attempt{Job: j, Index: index, Number: 1, Machine: m, StartedAt: micros.Now(), RunningSince: micros.Now(), ReportedState: wire.TaskRunning}
		a.Attach()
	}
}

// answerLaunches answers the open launch requests. No machine comes up.
func answerLaunches(s *Scaler) {
	for intent := range s.Fleet.OpenIntents() {
		var ids []string
		for n := range intent.Count {
			ids = append(ids, fmt.Sprintf("i-9%s-%d", intent.ID(), n))
		}
		s.Fleet.RecordLaunch(intent, ids)
	}
}

// TestLaunchOnlyWithoutRoomSoon guards against a small job that never runs beside machines without room for it, and
// against a launch for a job that the fleet will soon take. It counts the machines that are launched within five steps.
func TestLaunchOnlyWithoutRoomSoon(t *testing.T) {
	soon, later := 2*typeSlowM4.BootTimeS-20, 2*typeSlowM4.BootTimeS+20
	unchanged := func(*state.Job) {}
	gang := func(j *state.Job) { j.Spec.Kind, j.SeenAt = wire.KindGang, micros.Now()-60*micros.Second }
	for _, c := range []struct {
		name     string
		machines int
		prepare  func(s *Scaler)
		jobs     int
		edit     func(j *state.Job)
		want     int
	}{
		{"no machine", 0, func(*Scaler) {}, 1, unchanged, 1},
		{"no machine, many jobs", 0, func(*Scaler) {}, 20, unchanged, 1},
		{"an idle machine", 1, func(*Scaler) {}, 1, unchanged, 0},
		{"many jobs, an idle machine", 1, func(*Scaler) {}, 20, unchanged, 0},
		{"room beside a long task", 1, func(s *Scaler) { occupy(s, wire.KindArray, 3, later) }, 1, unchanged, 0},
		{"room soon", 3, func(s *Scaler) { occupy(s, wire.KindArray, 4, soon) }, 1, unchanged, 0},
		{"many jobs, room soon", 3, func(s *Scaler) { occupy(s, wire.KindArray, 4, soon) }, 20, unchanged, 0},
		{"room late", 3, func(s *Scaler) { occupy(s, wire.KindArray, 4, later) }, 1, unchanged, 1},
		{"room late on all machines but one", 3, func(s *Scaler) {
			occupy(s, wire.KindArray, 4, later)
			addMachines(s, 1)
		}, 1, unchanged, 0},
		{"room never", 1, func(s *Scaler) { occupy(s, wire.KindService, 4, 1) }, 1, unchanged, 1},
		{"a stopping task", 1, func(s *Scaler) {
			occupy(s, wire.KindArray, 4, later)
			for _, a := range s.Fleet.Sorted[0].Attempts {
				a.StopRequestedAt = micros.Now()
			}
		}, 1, unchanged, 0},
		{"a drained machine", 1, func(s *Scaler) { s.Fleet.Sorted[0].DrainReason = "test" }, 1, unchanged, 1},
		{"a silent machine", 1, func(s *Scaler) { s.Fleet.Sorted[0].Lease.ExpiredSince = 1 }, 1, unchanged, 1},
		{"unknown tasks", 1, func(s *Scaler) {
			occupy(s, wire.KindArray, 4, later)
			s.Fleet.Sorted[0].Reconciliation.Knowledge = state.TasksUnknown
		}, 1, unchanged, 0},
		{"a machine that rejects the job", 1, func(s *Scaler) {
			occupy(s, wire.KindArray, 1, later)
			s.Jobs["j-000900"].Spec.Class, s.Jobs["j-000900"].Priority = "small", 0
		}, 1, func(j *state.Job) { j.Priority = 0 }, 1},
		{"larger than any machine", 1, func(s *Scaler) { occupy(s, wire.KindArray, 1, later) }, 1, func(j *state.Job) { j.Spec.CPUs, j.Need.CPU = 8, 8000 }, 1},
		{"more memory than any machine", 1, func(s *Scaler) { occupy(s, wire.KindArray, 1, later) }, 1, func(j *state.Job) { j.Spec.MemoryGB, j.Need.Memory = 20, 20000 }, 1},
		{"a gang, room soon", 3, func(s *Scaler) { occupy(s, wire.KindArray, 4, soon) }, 1, gang, 0},
		{"a gang, room late", 3, func(s *Scaler) { occupy(s, wire.KindArray, 4, later) }, 1, gang, 1},
		{"waits for a backoff", 0, func(*Scaler) {}, 1, func(j *state.Job) { j.BackoffUntil = micros.Now() + 60*micros.Second }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Hour) // so that times in the past can be set
				s := newTest(t, c.machines, typeSlowM4, typeSlowM8)
				s.meansRaised = true
				c.prepare(s)
				for i := range c.jobs {
					j := newSmallJob(fmt.Sprintf("j-%06d", i))
					j.Priority = 1
					c.edit(j)
					s.Jobs[j.Spec.ID] = j
				}
				before := countLaunched(s)
				for range 5 {
					s.Step(micros.Now())
					answerLaunches(s)
					time.Sleep(time.Second)
				}
				if got := countLaunched(s) - before; got != c.want {
					t.Errorf("%d machines launched, want %d", got, c.want)
				}
			})
		})
	}
}

// TestSlowBootIsNotIdle guards against a small job that never runs because the machine that boots for it counts as idle
// and is terminated once the minimum billed time is over, again and again.
func TestSlowBootIsNotIdle(t *testing.T) {
	for _, c := range []struct {
		name  string
		kind  wire.JobKind
		tasks int
		want  int // machines
	}{
		{"array", wire.KindArray, 1, 1},
		{"gang on one machine", wire.KindGang, 2, 1},
		{"gang on two machines", wire.KindGang, 8, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTest(t, 0, typeSlowM4)
				j := newJob("j-000001", c.kind, c.tasks)
				j.Spec.EstimatedRuntimeS, j.Spec.Class = 0.001, "small"
				submit(s, j)
				for range 100 {
					s.Step(micros.Now())
					answerLaunches(s)
					time.Sleep(time.Second)
				}
				terminating := 0
				for _, m := range s.Fleet.Sorted {
					if m.Instance.Terminating {
						terminating++
					}
				}
				if terminating > 0 || len(s.Fleet.Sorted) != c.want {
					t.Errorf("%d machines, %d of them terminated, while a job waits for their boot; want %d and none terminated", len(s.Fleet.Sorted), terminating, c.want)
				}
			})
		})
	}
}

// TestBacklogOfMemory guards against an array of tasks without CPUs that runs on one machine after the other: its backlog
// counted as no work, so that no launch followed once the demand had decayed. Tasks that take the same share of a machine
// need equally many machines, whichever resource it is.
func TestBacklogOfMemory(t *testing.T) {
	launched := map[string]int{}
	for resource, need := range map[string][2]float64{"CPUs": {4, 1}, "memory": {0, 16}} {
		s := newTest(t, 0, typeSlowM4)
		j := newJob("j-000001", wire.KindArray, 20)
		j.Spec.CPUs, j.Spec.MemoryGB = need[0], need[1]
		j.Need.CPU, j.Need.Memory = state.CeilMilli(need[0]), state.CeilMilli(need[1])
		s.Jobs[j.Spec.ID] = j // without AddDemand, as if its demand had decayed
		s.Step(micros.Now())
		launched[resource] = countLaunched(s)
	}
	if launched["memory"] != launched["CPUs"] || launched["CPUs"] < 2 {
		t.Errorf("%v machines launched, want the same number for both, and several", launched)
	}
}
