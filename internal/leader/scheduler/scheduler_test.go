package scheduler

import (
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

// arrayJob is a job of tasks that need one CPU each.
func arrayJob(id string, tasks int) wire.Job {
	return wire.Job{ID: id, Team: "blue", Kind: wire.KindArray, Priority: "normal", Tasks: tasks, CPUs: 1, MemoryGB: 1, EstimatedRuntimeS: 10, AllowSpot: true}
}

// TestPlanIfNeeded has time pass since a plan.
func TestPlanIfNeeded(t *testing.T) {
	const ms = micros.Millisecond
	for _, c := range []struct {
		name      string
		requested bool
		queued    bool // jobs wait
		since     micros.Micros
		took      micros.Micros
		plans     bool
	}{
		{"nothing has changed", false, false, 5000 * ms, 0, false},
		{"something has changed", true, false, 100 * ms, 0, true},
		{"something has changed, soon after the plan", true, false, 99 * ms, 0, false},
		{"something has changed, and the plan took long", true, false, 999 * ms, 100 * ms, false},
		{"something has changed, longer after a plan that took long", true, false, 1000 * ms, 100 * ms, true},
		{"jobs wait", false, true, 999 * ms, 0, false},
		{"jobs wait for long", false, true, 1000 * ms, 0, true},
	} {
		s, _ := newTest(t)
		now := micros.Now()
		if c.queued {
			s.queue.jobs = []*state.Job{addJob(s, arrayJob("j-000001", 1))}
		}
		s.PlannedAt, s.planDuration, s.planRequested = now-c.since, c.took, c.requested
		plans := 0
		s.TeamUsage = func() map[string]*placement.Team {
			plans++
			return map[string]*placement.Team{"blue": {}}
		}
		s.PlanIfNeeded(nil, now)
		if plans != 0 != c.plans || s.PlannedAt >= now != c.plans || s.planRequested != (c.requested && !c.plans) {
			t.Errorf("%s: %d plans, at %d", c.name, plans, s.PlannedAt-now)
		}
	}
}

// TestPlan has a job of six tasks wait for two machines of four CPUs.
func TestPlan(t *testing.T) {
	for _, c := range []struct {
		name    string
		set     func(s *Scheduler, term *fakeTerm)
		planned int
	}{
		{"all can start", func(*Scheduler, *fakeTerm) {}, 6},
		{"another node may lead", func(_ *Scheduler, term *fakeTerm) { term.isExclusive = false }, 0},
		{"the job awaits reconciliation", func(s *Scheduler, _ *fakeTerm) {
			s.AwaitsReconciliation = func() func(*state.Job) bool { return func(*state.Job) bool { return true } }
		}, 0},
		{"a machine is drained", func(s *Scheduler, _ *fakeTerm) { s.Fleet.Sorted[0].DrainReason = "test" }, 4},
		{"a machine is silent for three heartbeats", func(s *Scheduler, _ *fakeTerm) {
			s.Fleet.Sorted[0].Heartbeat.ReceivedAt -= 4 * testHeartbeatInterval
		}, 4},
		{"the team is at its limit", func(s *Scheduler, _ *fakeTerm) {
			s.TeamUsage = func() map[string]*placement.Team {
				return map[string]*placement.Team{"blue": {Limit: placement.Resources{CPU: 2000}}}
			}
		}, 2},
	} {
		s, term := newTest(t)
		now := micros.Now()
		addMachine(s, "i-1", now)
		addMachine(s, "i-2", now)
		addJob(s, arrayJob("j-000001", 6))
		c.set(s, term)
		for range 2 { // what was not sent is planned again
			s.Plan(now)
		}
		planned := 0
		for _, m := range s.Fleet.Sorted {
			planned += len(m.PlannedStarts)
		}
		if planned != c.planned {
			t.Errorf("%s: %d starts are planned, want %d", c.name, planned, c.planned)
		}
	}
}

// TestFillMachine has a machine of four CPUs send a heartbeat after a plan in which a job with tasks found no room.
func TestFillMachine(t *testing.T) {
	for _, c := range []struct {
		name    string
		tasks   int // that wait
		set     func(s *Scheduler, m *state.Machine)
		planned int
		queued  int // jobs afterwards
	}{
		{"more tasks than room", 6, func(*Scheduler, *state.Machine) {}, 4, 1},
		{"room for all tasks", 3, func(*Scheduler, *state.Machine) {}, 3, 0},
		{"a start is planned already", 6, func(s *Scheduler, m *state.Machine) { m.PlannedStarts = append(m.PlannedStarts, s.queue.jobs[0]) }, 4, 1},
		{"surplus, and the others have spare room", 6, func(s *Scheduler, m *state.Machine) { m.Surplus, s.queue.hasSpareRoom = true, true }, 0, 1},
		{"surplus, and the others have no spare room", 6, func(_ *Scheduler, m *state.Machine) { m.Surplus = true }, 4, 1},
	} {
		s, _ := newTest(t)
		now := micros.Now()
		addJob(s, arrayJob("j-000001", c.tasks))
		s.Plan(now) // there are no machines
		m := addMachine(s, "i-1", now)
		c.set(s, m)
		s.FillMachine(m, now)
		if len(m.PlannedStarts) != c.planned || len(s.queue.jobs) != c.queued {
			t.Errorf("%s: %d starts are planned, %d jobs wait", c.name, len(m.PlannedStarts), len(s.queue.jobs))
		}
	}
}

// TestFillMachineWithGang has a machine send a heartbeat that could take all tasks of a gang: it gets them at once.
func TestFillMachineWithGang(t *testing.T) {
	s, _ := newTest(t)
	now := micros.Now()
	spec := arrayJob("j-000001", 2)
	spec.Kind = wire.KindGang
	addJob(s, spec)
	s.Plan(now) // there are no machines
	m := addMachine(s, "i-1", now)
	s.FillMachine(m, now)
	if n := s.Gangs.(*fakeGangs).assigned[m]; n != 2 || s.responding != nil {
		t.Errorf("%d tasks are assigned", n)
	}
}

// TestHasSpareRoom has tasks that need four CPUs in all wait beside two idle machines of four.
func TestHasSpareRoom(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(m *state.Machine)
		want bool
	}{
		{"twice as much room", func(*state.Machine) {}, true},
		{"one machine is surplus", func(m *state.Machine) { m.Surplus = true }, false},
		{"one machine is closed to other zones", func(m *state.Machine) { m.ZoneReturn.Closed = true }, false},
		{"one machine has less room", func(m *state.Machine) { m.Free.CPU-- }, false},
	} {
		s, _ := newTest(t)
		now := micros.Now()
		c.set(addMachine(s, "i-1", now))
		addMachine(s, "i-2", now)
		waiting := []*placement.Job{{Request: placement.Request{WaitingTasks: 2, Need: placement.Resources{CPU: 2000}}}}
		if got := s.schedulable(now, placement.Resources{}).hasSpareRoom(waiting); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}

// TestHasRoomFor asks for room of one CPU on a machine.
func TestHasRoomFor(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(m *state.Machine)
		want bool
	}{
		{"idle", func(*state.Machine) {}, true},
		{"full", func(m *state.Machine) { m.Free.CPU = 999 }, false},
		{"drained", func(m *state.Machine) { m.DrainReason = "test" }, false},
		{"closed to other zones", func(m *state.Machine) { m.ZoneReturn.Closed = true }, false},
		{"silent", func(m *state.Machine) { m.Heartbeat.ReceivedAt -= 4 * testHeartbeatInterval }, false},
	} {
		s, _ := newTest(t)
		now := micros.Now()
		c.set(addMachine(s, "i-1", now))
		if got := s.HasRoomFor(placement.Resources{CPU: 1000}, now); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}

// TestCommandDelay looks at a machine whose heartbeats come every 2 s.
func TestCommandDelay(t *testing.T) {
	const second = micros.Second
	for _, c := range []struct {
		name       string
		silent     micros.Micros
		responding bool
		want       micros.Micros
	}{
		{"its heartbeat has just arrived", 0, false, 2 * second},
		{"its heartbeat is due in half a second", 1500 * micros.Millisecond, false, second / 2},
		{"its heartbeat is due", 2 * second, false, 0},
		{"its heartbeat is a quarter of an interval late", 2500 * micros.Millisecond, false, 0},
		{"its heartbeat is later", 3 * second, false, 2500 * micros.Millisecond},
		{"its heartbeat is being responded to", 0, true, 0},
	} {
		s, _ := newTest(t)
		now := micros.Now()
		m := addMachine(s, "i-1", now-c.silent)
		if c.responding {
			s.responding = m
		}
		if got := s.placementMachine(m, now).CommandDelay; got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got.Duration(), c.want.Duration())
		}
	}
}
