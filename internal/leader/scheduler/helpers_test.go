package scheduler

import (
	"cmp"
	"slices"
	"testing"

	"caperlatch/internal/leader/autoscaler"
	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/leader/workload"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

const testHeartbeatInterval = 2 * micros.Second

// fakeTerm is a term whose state the tests set.
type fakeTerm struct{ holdsSession, isExclusive bool }

func (t *fakeTerm) HoldsSession() bool { return t.holdsSession }
func (t *fakeTerm) IsExclusive() bool  { return t.isExclusive }

// fakeGangs records the calls that it receives.
type fakeGangs struct {
	assigned       map[*state.Machine]int
	stopped        []*state.Job
	nonPreemptible map[*state.Job]bool
}

func (g *fakeGangs) AssignTasks(m *state.Machine, _ *state.Job, count int, _ micros.Micros) {
	g.assigned[m] += count
}

func (g *fakeGangs) StopIfReachable(j *state.Job, _ micros.Micros, _ string, _ micros.Micros) bool {
	g.stopped = append(g.stopped, j)
	return true
}

func (g *fakeGangs) NonPreemptible(micros.Micros) map[*state.Job]bool { return g.nonPreemptible }

// newTestScheduler returns a scheduler without jobs or machines, whose only instance type m4 has four CPUs.
func newTestScheduler(t *testing.T) (*Scheduler, *fakeTerm) {
	t.Helper()
	term := &fakeTerm{holdsSession: true, isExclusive: true}
	machines := &fleet.Fleet{Machines: map[string]*state.Machine{}}
	work := workload.New(settings.Params{Teams: []settings.Team{{Name: "blue"}}})
	jobs := map[string]*state.Job{}
	scaler := autoscaler.New(autoscaler.Config{
		Tuning:            settings.DefaultTuning(),
		Fleet:             machines,
		Workload:          work,
		Jobs:              jobs,
		HeartbeatInterval: testHeartbeatInterval,
	})
	scaler.SetInstanceTypes(wire.InstanceTypeList{Types: []wire.InstanceType{
		{Name: "m4", CPUs: 4, MemoryGB: 16, ImageCacheGB: 50, ImagePullGBPerS: 1, OnDemandPrice: 1, SpotPrice: 1, Zones: []string{"a"}}}})
	return New(Config{
		Term:                 term,
		Fleet:                machines,
		Scaler:               scaler,
		Workload:             work,
		Gangs:                &fakeGangs{assigned: map[*state.Machine]int{}},
		Jobs:                 jobs,
		HeartbeatInterval:    testHeartbeatInterval,
		TermStartedAt:        micros.WallTime(),
		TeamUsage:            func() map[string]*placement.Team { return map[string]*placement.Team{"blue": {}} },
		AwaitsReconciliation: func() func(*state.Job) bool { return func(*state.Job) bool { return false } },
		ReviewQuarantine:     func(*state.Job, micros.Micros) {},
		OnlyZone:             func(*state.Job) string { return "" },
		EvacuationRank:       func(*state.Job) int { return 0 },
		Stop: func(a *state.Attempt, grace micros.Micros, reason string) {
			a.MarkStopping(grace, reason, micros.Now())
		},
	}), term
}

// addMachine adds an on-demand machine of type m4 that may receive tasks.
func addMachine(s *Scheduler, id string, now micros.Micros) *state.Machine {
	m := &state.Machine{
		ID:       id,
		Offering: state.Offering{Type: "m4", Zone: "a"},
		Attempts: map[string]*state.Attempt{},
		Free:     s.Scaler.Type("m4").Capacity,
	}
	m.Instance.Running, m.Instance.IntentStored, m.Instance.ListStored = true, true, true
	m.Heartbeat.FromCurrentTerm, m.Heartbeat.ReceivedAt = true, now
	m.Reconciliation.Knowledge = state.TasksConfirmed
	s.Fleet.Machines[id] = m
	s.Fleet.Sorted = append(s.Fleet.Sorted, m)
	slices.SortFunc(s.Fleet.Sorted, func(a, b *state.Machine) int { return cmp.Compare(a.ID, b.ID) })
	return m
}

// addJob adds a job that has just been submitted.
func addJob(s *Scheduler, spec wire.Job) *state.Job {
	j := state.NewJob(replica.Job{Spec: &spec, SubmittedAt: micros.WallTime()}, false)
	s.Jobs[spec.ID] = j
	return j
}

// runTask makes the next waiting task of a job run on a machine, since the given time.
func runTask(j *state.Job, m *state.Machine, since micros.Micros) *state.Attempt {
	index, _ := j.TakeWaitingTask()
	a := &state.Attempt{Job: j, Index: index, Number: 1, Machine: m, StartSequence: 1, StartedAt: since, RunningSince: since, ReportedState: wire.TaskRunning}
	a.Attach()
	return a
}
