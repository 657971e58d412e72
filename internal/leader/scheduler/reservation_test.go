package scheduler

import (
	"fmt"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// gangJob is a gang of which each task needs most of a machine of four CPUs.
func gangJob(id string, tasks int) wire.Job {
	spec := arrayJob(id, tasks)
	spec.Kind, spec.CPUs = wire.KindGang, 3
	return spec
}

// fillMachines adds machines that are full of tasks which end within a few seconds.
func fillMachines(s *Scheduler, count int, now micros.Micros) {
	spec := arrayJob("j-000900", 4*count)
	spec.EstimatedRuntimeS = 5
	j := addJob(s, spec)
	for i := range count {
		m := addMachine(s, fmt.Sprintf("i-%02d", i), now)
		for range 4 {
			runTask(j, m, now)
		}
	}
}

// TestReserveForGangs has gangs of two tasks find no room beside work that ends soon.
func TestReserveForGangs(t *testing.T) {
	for _, c := range []struct {
		name            string
		machines, gangs int
		reserved        int
	}{
		{"the first gang has what it needs", 4, 1, 2},
		{"others have an eighth of the fleet at most", 16, 3, 2},
		{"a larger fleet", 17, 3, 4},
		{"no more gangs than a plan looks for room for", 200, 12, 16},
	} {
		s, _ := newTest(t)
		now := micros.Now()
		fillMachines(s, c.machines, now)
		for i := range c.gangs {
			addJob(s, gangJob(fmt.Sprintf("j-00010%d", i), 2))
		}
		s.Plan(now)
		if got := s.countReserved(); got != c.reserved {
			t.Errorf("%s: %d machines are reserved, want %d", c.name, got, c.reserved)
		}
	}
}

// TestReservationExpires has a gang's reservation expire, and the gang then wait as long for the next one.
func TestReservationExpires(t *testing.T) {
	s, _ := newTest(t)
	now := micros.Now()
	fillMachines(s, 4, now)
	j := addJob(s, gangJob("j-000100", 2))
	s.Plan(now)
	lifetime := reservationHorizon + testHeartbeatInterval
	r := s.reservations[j.Spec.ID]
	if r == nil || len(r.Machines) != 2 || r.ExpiresAt != now+lifetime || r.RetryAt != now+2*lifetime || r.QueuedJob == nil {
		t.Fatalf("%+v", r)
	}
	if s.ExpireReservation(j, now+lifetime-1); s.ReservedMachines(j.Spec.ID) != 2 {
		t.Error("it expires too soon")
	}
	if s.Plan(now); s.queue.waiting[0].ID != j.Spec.ID || r.QueuedJob != s.queue.waiting[0] {
		t.Error("the reservation is for the gang as of an earlier queue")
	}
	s.planRequested = false
	if s.ExpireReservation(j, now+lifetime); s.ReservedMachines(j.Spec.ID) != 0 || s.countReserved() != 0 || !s.planRequested {
		t.Error("it does not expire")
	}
	if s.Plan(now); s.countReserved() != 0 {
		t.Error("machines are reserved again at once")
	}
	r.RetryAt = now
	if s.Plan(now); s.countReserved() != 2 {
		t.Error("machines are not reserved again")
	}
}

// TestReservationEndsWithAssignment has a gang find room elsewhere than on the machines that are reserved for it.
func TestReservationEndsWithAssignment(t *testing.T) {
	s, _ := newTest(t)
	now := micros.Now()
	fillMachines(s, 4, now)
	addJob(s, gangJob("j-000100", 2))
	s.Plan(now)
	free := []*state.Machine{addMachine(s, "i-90", now), addMachine(s, "i-91", now)}
	for _, m := range free {
		m.Heartbeat.ReceivedAt = now - testHeartbeatInterval // their next ones come at once
	}
	s.Plan(now)
	assigned := s.Gangs.(*fakeGangs).assigned
	if assigned[free[0]] != 1 || assigned[free[1]] != 1 || s.countReserved() != 0 {
		t.Errorf("%d and %d tasks are assigned, %d machines are reserved", assigned[free[0]], assigned[free[1]], s.countReserved())
	}
}

// TestReserve has a machine be reserved for a job.
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
		s, _ := newTest(t)
		now := micros.Now()
		m := addMachine(s, "i-1", now)
		addJob(s, gangJob("j-000100", 2))
		c.set(m)
		s.reserve(c.id, m, now)
		if got := s.ReservedMachines(c.id); got != c.want {
			t.Errorf("%s: %d machines are reserved, want %d", c.name, got, c.want)
		}
	}
}
