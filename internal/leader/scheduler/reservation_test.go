package scheduler

import (
	"fmt"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// gangJobSpec returns a gang job each of whose tasks needs three of a machine's four CPUs.
func gangJobSpec(id string, tasks int) wire.Job {
	spec := arrayJobSpec(id, tasks)
	spec.Kind, spec.CPUs = wire.KindGang, 3
	return spec
}

// addFullMachines adds machines that are filled with tasks which end within a few seconds.
func addFullMachines(s *Scheduler, count int, now micros.Micros) {
	spec := arrayJobSpec("j-000900", 4*count)
	spec.EstimatedRuntimeS = 5
	j := addJob(s, spec)
	for i := range count {
		m := addMachine(s, fmt.Sprintf("i-%02d", i), now)
		for range 4 {
			runTask(j, m, now)
		}
	}
}

// TestReserveForGangs checks how many machines are reserved for gangs of two tasks when all machines are full of tasks
// that end soon.
func TestReserveForGangs(t *testing.T) {
	for _, c := range []struct {
		name            string
		machines, gangs int
		reserved        int
	}{
		{"the first gang gets all the machines that it needs", 4, 1, 2},
		{"no further gang once an eighth of the fleet is reserved", 16, 3, 2},
		{"a larger fleet", 17, 3, 4},
		{"at most maxReservationJobs gangs in a plan", 200, 12, 16},
	} {
		s, _ := newTestScheduler(t)
		now := micros.Now()
		addFullMachines(s, c.machines, now)
		for i := range c.gangs {
			addJob(s, gangJobSpec(fmt.Sprintf("j-00010%d", i), 2))
		}
		s.Plan(now)
		if got := s.countReserved(); got != c.reserved {
			t.Errorf("%s: %d machines reserved, want %d", c.name, got, c.reserved)
		}
	}
}

// TestReservationExpires checks that a gang's reservation expires, and that the gang then waits for as long
// again before it gets the next one.
func TestReservationExpires(t *testing.T) {
	s, _ := newTestScheduler(t)
	now := micros.Now()
	addFullMachines(s, 4, now)
	j := addJob(s, gangJobSpec("j-000100", 2))
	s.Plan(now)
	lifetime := reservationHorizon + testHeartbeatInterval
	r := s.reservations[j.Spec.ID]
	if r == nil || len(r.Machines) != 2 || r.ExpiresAt != now+lifetime || r.RetryAt != now+2*lifetime || r.QueuedJob == nil {
		t.Fatalf("reservation %+v, want two machines, expiry after %v, retry after %v, and the queued job", r, lifetime.Duration(), (2 * lifetime).Duration())
	}
	if s.ExpireReservation(j, now+lifetime-1); s.ReservedMachines(j.Spec.ID) != 2 {
		t.Errorf("%d machines reserved just before the reservation expires, want 2", s.ReservedMachines(j.Spec.ID))
	}
	if s.Plan(now); s.queue.waiting[0].ID != j.Spec.ID || r.QueuedJob != s.queue.waiting[0] {
		t.Errorf("first job in the queue: %s, want %s; reservation refers to its queue entry: %t, want true", s.queue.waiting[0].ID, j.Spec.ID, r.QueuedJob == s.queue.waiting[0])
	}
	s.planRequested = false
	if s.ExpireReservation(j, now+lifetime); s.ReservedMachines(j.Spec.ID) != 0 || s.countReserved() != 0 || !s.planRequested {
		t.Errorf("after the expiry: %d machines reserved for the gang, %d for all gangs, plan requested: %t; want 0, 0, true", s.ReservedMachines(j.Spec.ID), s.countReserved(), s.planRequested)
	}
	if s.Plan(now); s.countReserved() != 0 {
		t.Errorf("%d machines reserved before the retry time, want 0", s.countReserved())
	}
	r.RetryAt = now
	if s.Plan(now); s.countReserved() != 2 {
		t.Errorf("%d machines reserved at the retry time, want 2", s.countReserved())
	}
}

// TestAssignmentDropsReservation checks that a gang's reservation is dropped when the gang is assigned to other
// machines.
func TestAssignmentDropsReservation(t *testing.T) {
	s, _ := newTestScheduler(t)
	now := micros.Now()
	addFullMachines(s, 4, now)
	addJob(s, gangJobSpec("j-000100", 2))
	s.Plan(now)
	free := []*state.Machine{addMachine(s, "i-90", now), addMachine(s, "i-91", now)}
	for _, m := range free {
		m.Heartbeat.ReceivedAt = now - testHeartbeatInterval // their next heartbeats are due now
	}
	s.Plan(now)
	assigned := s.Gangs.(*fakeGangs).assigned
	if assigned[free[0]] != 1 || assigned[free[1]] != 1 || s.countReserved() != 0 {
		t.Errorf("%d and %d tasks assigned, %d machines reserved; want 1, 1 and 0", assigned[free[0]], assigned[free[1]], s.countReserved())
	}
}

// TestReserve checks for which jobs and machines a reservation is made.
func TestReserve(t *testing.T) {
	for _, c := range []struct {
		name string
		id   string
		set  func(m *state.Machine)
		want int
	}{
		{"a gang", "j-000100", func(*state.Machine) {}, 1},
		{"a job that has ended", "j-000101", func(*state.Machine) {}, 0},
		{"a machine of another reservation", "j-000100", func(m *state.Machine) { m.Reservation = &state.GangReservation{} }, 0},
	} {
		s, _ := newTestScheduler(t)
		now := micros.Now()
		m := addMachine(s, "i-1", now)
		addJob(s, gangJobSpec("j-000100", 2))
		c.set(m)
		s.reserve(c.id, m, now)
		if got := s.ReservedMachines(c.id); got != c.want {
			t.Errorf("%s: %d machines reserved, want %d", c.name, got, c.want)
		}
	}
}
