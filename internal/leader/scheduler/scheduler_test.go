package scheduler

import (
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
	"caperlatch/placement"
)

// arrayJobSpec returns an array job whose tasks need one CPU each.
func arrayJobSpec(id string, tasks int) wire.Job {
	return wire.Job{ID: id, Team: "blue", Kind: wire.KindArray, Priority: "normal", Tasks: tasks, CPUs: 1, MemoryGB: 1, EstimatedRuntimeS: 10, AllowSpot: true}
}

// TestPlanIfNeeded checks when a new plan is made, by the time since the latest plan and how long that plan
// took.
func TestPlanIfNeeded(t *testing.T) {
	const ms = micros.Millisecond
	for _, c := range []struct {
		name      string
		requested bool          // a plan was requested
		queued    bool          // jobs are waiting
		since     micros.Micros // since the latest plan
		took      micros.Micros // duration of the latest plan
		plans     bool          // a plan is made
	}{
		{"nothing has changed", false, false, 5000 * ms, 0, false},
		{"something has changed", true, false, 100 * ms, 0, true},
		{"something has changed, soon after the plan", true, false, 99 * ms, 0, false},
		{"something has changed, and the plan took long", true, false, 999 * ms, 100 * ms, false},
		{"something has changed, longer after a plan that took long", true, false, 1000 * ms, 100 * ms, true},
		{"jobs are waiting", false, true, 999 * ms, 0, false},
		{"jobs have been waiting for long", false, true, 1000 * ms, 0, true},
	} {
		s, _ := newTestScheduler(t)
		now := micros.Now()
		if c.queued {
			s.queue.jobs = []*state.Job{addJob(s, arrayJobSpec("j-000001", 1))}
		}
		s.PlannedAt, s.planDuration, s.planRequested = now-c.since, c.took, c.requested
		plans := 0
		s.TeamUsage = func() map[string]*placement.Team {
			plans++
			return map[string]*placement.Team{"blue": {}}
		}
		s.PlanIfNeeded(nil, now)
		if plans != 0 != c.plans || s.PlannedAt >= now != c.plans || s.planRequested != (c.requested && !c.plans) {
			t.Errorf("%s: %d plans made, PlannedAt %d µs after now, plan requested: %t; want a plan: %t", c.name, plans, s.PlannedAt-now, s.planRequested, c.plans)
		}
	}
}

// TestPlan checks how many of a job's six tasks are planned on two machines of four CPUs.
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
		{"a machine has missed three heartbeats", func(s *Scheduler, _ *fakeTerm) {
			s.Fleet.Sorted[0].Heartbeat.ReceivedAt -= 4 * testHeartbeatInterval
		}, 4},
		{"the team is at its limit", func(s *Scheduler, _ *fakeTerm) {
			s.TeamUsage = func() map[string]*placement.Team {
				return map[string]*placement.Team{"blue": {Limit: placement.Resources{CPU: 2000}}}
			}
		}, 2},
	} {
		s, term := newTestScheduler(t)
		now := micros.Now()
		addMachine(s, "i-1", now)
		addMachine(s, "i-2", now)
		addJob(s, arrayJobSpec("j-000001", 6))
		c.set(s, term)
		for range 2 { // starts that were not sent are planned again
			s.Plan(now)
		}
		planned := 0
		for _, m := range s.Fleet.Sorted {
			planned += len(m.PlannedStarts)
		}
		if planned != c.planned {
			t.Errorf("%s: %d starts planned, want %d", c.name, planned, c.planned)
		}
	}
}

// TestFillMachine checks what is planned on a machine of four CPUs that sends a heartbeat after a plan in which
// a job's tasks found no room.
func TestFillMachine(t *testing.T) {
	for _, c := range []struct {
		name    string
		tasks   int // waiting tasks
		set     func(s *Scheduler, m *state.Machine)
		planned int
		queued  int // waiting jobs afterwards
	}{
		{"more tasks than room", 6, func(*Scheduler, *state.Machine) {}, 4, 1},
		{"room for all tasks", 3, func(*Scheduler, *state.Machine) {}, 3, 0},
		{"a start is planned already", 6, func(s *Scheduler, m *state.Machine) { m.PlannedStarts = append(m.PlannedStarts, s.queue.jobs[0]) }, 4, 1},
		{"surplus, and the other machines have spare room", 6, func(s *Scheduler, m *state.Machine) { m.Surplus, s.queue.hasSpareRoom = true, true }, 0, 1},
		{"surplus, and the other machines have no spare room", 6, func(_ *Scheduler, m *state.Machine) { m.Surplus = true }, 4, 1},
	} {
		s, _ := newTestScheduler(t)
		now := micros.Now()
		addJob(s, arrayJobSpec("j-000001", c.tasks))
		s.Plan(now) // plans nothing: there are no machines
		m := addMachine(s, "i-1", now)
		c.set(s, m)
		s.FillMachine(m, now)
		if len(m.PlannedStarts) != c.planned || len(s.queue.jobs) != c.queued {
			t.Errorf("%s: %d starts planned, want %d; %d jobs waiting, want %d", c.name, len(m.PlannedStarts), c.planned, len(s.queue.jobs), c.queued)
		}
	}
}

// TestFillMachineWithGang checks that a gang is assigned at once to a machine that sends a heartbeat and has
// room for all tasks of the gang.
func TestFillMachineWithGang(t *testing.T) {
	s, _ := newTestScheduler(t)
	now := micros.Now()
	spec := arrayJobSpec("j-000001", 2)
	spec.Kind = wire.KindGang
	addJob(s, spec)
	s.Plan(now) // plans nothing: there are no machines
	m := addMachine(s, "i-1", now)
	s.FillMachine(m, now)
	if n := s.Gangs.(*fakeGangs).assigned[m]; n != 2 || s.respondingTo != nil {
		t.Errorf("%d tasks assigned, want 2; machine still marked as being answered: %t, want false", n, s.respondingTo != nil)
	}
}

// TestHasSpareRoom checks whether two idle machines of four CPUs have ample room for waiting tasks that need
// four CPUs in all.
func TestHasSpareRoom(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(m *state.Machine)
		want bool
	}{
		{"twice as much room", func(*state.Machine) {}, true},
		{"one machine is surplus", func(m *state.Machine) { m.Surplus = true }, false},
		{"one machine is closed to jobs of other zones", func(m *state.Machine) { m.ZoneReturn.ZoneBoundOnly = true }, false},
		{"one machine has less room", func(m *state.Machine) { m.Free.CPU-- }, false},
	} {
		s, _ := newTestScheduler(t)
		now := micros.Now()
		c.set(addMachine(s, "i-1", now))
		addMachine(s, "i-2", now)
		waiting := []*placement.Job{{Request: placement.Request{WaitingTasks: 2, Need: placement.Resources{CPU: 2000}}}}
		if got := s.schedulableMachines(now, placement.Resources{}).hasSpareRoom(waiting); got != c.want {
			t.Errorf("%s: spare room: %t, want %t", c.name, got, c.want)
		}
	}
}

// TestHasRoomFor checks which states of a machine leave room for a task of one CPU.
func TestHasRoomFor(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(m *state.Machine)
		want bool
	}{
		{"idle", func(*state.Machine) {}, true},
		{"full", func(m *state.Machine) { m.Free.CPU = 999 }, false},
		{"drained", func(m *state.Machine) { m.DrainReason = "test" }, false},
		{"closed to jobs of other zones", func(m *state.Machine) { m.ZoneReturn.ZoneBoundOnly = true }, false},
		{"has missed heartbeats", func(m *state.Machine) { m.Heartbeat.ReceivedAt -= 4 * testHeartbeatInterval }, false},
	} {
		s, _ := newTestScheduler(t)
		now := micros.Now()
		c.set(addMachine(s, "i-1", now))
		if got := s.HasRoomFor(placement.Resources{CPU: 1000}, now); got != c.want {
			t.Errorf("%s: has room: %t, want %t", c.name, got, c.want)
		}
	}
}

// TestCommandDelay checks the expected delay of commands to a machine whose heartbeat interval is 2 s.
func TestCommandDelay(t *testing.T) {
	const second = micros.Second
	for _, c := range []struct {
		name       string
		silent     micros.Micros // since its latest heartbeat
		responding bool
		want       micros.Micros
	}{
		{"its heartbeat has just arrived", 0, false, 2 * second},
		{"its heartbeat is due in half a second", 1500 * micros.Millisecond, false, second / 2},
		{"its heartbeat is due", 2 * second, false, 0},
		{"its heartbeat is a quarter of an interval late", 2500 * micros.Millisecond, false, 0},
		{"its heartbeat is later than that", 3 * second, false, 2500 * micros.Millisecond},
		{"its heartbeat is being answered", 0, true, 0},
	} {
		s, _ := newTestScheduler(t)
		now := micros.Now()
		m := addMachine(s, "i-1", now-c.silent)
		if c.responding {
			s.respondingTo = m
		}
		if got := s.placementMachine(m, now).CommandDelay; got != c.want {
			t.Errorf("%s: command delay %v, want %v", c.name, got.Duration(), c.want.Duration())
		}
	}
}

// TestPlanWhileTasksWait guards against a task that waits for ever beside a machine with room, because its job was not
// queued and nothing requested another plan. It checks how long after a plan the next one is made without a request.
func TestPlanWhileTasksWait(t *testing.T) {
	const second = micros.Second
	const never = 0
	for _, c := range []struct {
		name string
		set  func(s *Scheduler, j *state.Job, m *state.Machine, now micros.Micros) // before the plan
		want micros.Micros
	}{
		{"no task waits", func(_ *Scheduler, j *state.Job, m *state.Machine, now micros.Micros) {
			runTask(j, m, now)
			runTask(j, m, now)
			runTask(j, m, now)
		}, never},
		{"queued", func(_ *Scheduler, _ *state.Job, m *state.Machine, _ micros.Micros) { m.DrainReason = "test" }, maxPlanInterval},
		{"a backoff", func(_ *Scheduler, j *state.Job, _ *state.Machine, now micros.Micros) { j.BackoffUntil = now + 2*second }, 2 * second},
		{"a backoff of less than an interval", func(_ *Scheduler, j *state.Job, _ *state.Machine, now micros.Micros) {
			j.BackoffUntil = now + second/2
		}, maxPlanInterval},
		{"planned, and not sent", func(*Scheduler, *state.Job, *state.Machine, micros.Micros) {}, maxHeartbeatAge * testHeartbeatInterval},
		{"a probe runs", func(_ *Scheduler, j *state.Job, m *state.Machine, now micros.Micros) {
			j.Failures.Quarantined = true
			runTask(j, m, now)
			runTask(j, m, now)
		}, maxHeartbeatAge * testHeartbeatInterval},
		{"awaits reconciliation", func(s *Scheduler, _ *state.Job, _ *state.Machine, _ micros.Micros) {
			s.AwaitsReconciliation = func() func(*state.Job) bool { return func(*state.Job) bool { return true } }
		}, maxHeartbeatAge * testHeartbeatInterval},
	} {
		s, _ := newTestScheduler(t)
		now := micros.Now()
		j := addJob(s, arrayJobSpec("j-000001", 3))
		c.set(s, j, addMachine(s, "i-1", now), now)
		s.Plan(now)
		s.PlannedAt = now
		got := micros.Micros(never)
		for after := micros.Micros(0); after < 60*second && got == never; after += second / 10 {
			if s.PlanIfNeeded(nil, now+after); s.PlannedAt != now {
				got = after
			}
		}
		if got != c.want {
			t.Errorf("%s: next plan after %v, want %v", c.name, got.Duration(), c.want.Duration())
		}
	}
}
