package scheduler

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/placement"
)

// Limits of reservations for gangs.
const (
	reservationHorizon = 16 * micros.Second // the room on reserved machines must be expected to be free within this time
	reservationDivisor = 8                  // once 1/reservationDivisor of the machines are reserved, no further gang gets any
	maxReservationJobs = 8                  // maximum number of gangs for which a plan seeks machines
)

// reserveForGangs reserves machines for gangs that found no room, in queue order. A machine is reserved for one
// gang only, so that no gang waits for the room of another.
func (s *Scheduler) reserveForGangs(now micros.Micros) {
	q := &s.queue
	var view machineView
	reserved, tries := s.countReserved(), 0
	for i, w := range q.waiting {
		if !s.canReserve(w, now) || reserved > 0 && reservationDivisor*reserved >= len(s.Fleet.Sorted) {
			continue
		}
		if tries++; tries > maxReservationJobs {
			break
		}
		if view.placement == nil {
			view = s.viewWithCompletions(now)
		}
		for _, n := range placement.PickReservation(view.placement, w, q.teams[w.Team], reservationHorizon) {
			view.placement[n].ReservedFor = w
			s.reserve(q.jobs[i].Spec.ID, view.machines[n], now)
			reserved++
		}
	}
}

// countReserved returns the number of machines that are reserved for gangs.
func (s *Scheduler) countReserved() int {
	n := 0
	for _, m := range s.Fleet.Sorted {
		if m.Reservation != nil {
			n++
		}
	}
	return n
}

// canReserve reports whether machines may be reserved for a waiting job: it must be a gang that has no reserved
// machines and whose last reservation, if any, is past its retry time.
func (s *Scheduler) canReserve(waiting *placement.Job, now micros.Micros) bool {
	if !waiting.Gang || waiting.WaitingTasks == 0 {
		return false
	}
	reservation := s.reservations[waiting.ID]
	return reservation == nil || len(reservation.Machines) == 0 && now >= reservation.RetryAt
}

// reserve adds a machine to a job's reservation, or begins a new reservation if the job has none with machines. It does
// nothing if the job has ended or the machine is already reserved.
func (s *Scheduler) reserve(jobID string, m *state.Machine, now micros.Micros) {
	j := s.Jobs[jobID]
	if j == nil || m.Reservation != nil {
		return
	}
	reservation := s.reservations[jobID]
	if reservation == nil || len(reservation.Machines) == 0 {
		lifetime := reservationHorizon + s.HeartbeatInterval
		reservation = &state.GangReservation{ExpiresAt: now + lifetime, RetryAt: now + 2*lifetime}
		s.reservations[jobID] = reservation
		for _, w := range s.queue.waiting {
			if w.ID == jobID {
				reservation.QueuedJob = w
			}
		}
	}
	m.Reservation = reservation
	reservation.Machines = append(reservation.Machines, m)
}

// ReservedMachines returns the number of machines that are reserved for a job.
func (s *Scheduler) ReservedMachines(jobID string) int {
	if r := s.reservations[jobID]; r != nil {
		return len(r.Machines)
	}
	return 0
}

// DropReservation makes the machines that are reserved for a gang available to all jobs again. Unless the job has
// ended, the reservation itself is kept until its retry time, so that the gang gets no new one before.
func (s *Scheduler) DropReservation(j *state.Job) {
	reservation := s.reservations[j.Spec.ID]
	if reservation == nil {
		return
	}
	for _, m := range reservation.Machines {
		if m.Reservation == reservation {
			m.Reservation = nil
			s.RequestPlan()
		}
	}
	reservation.Machines = nil
	if j.Ended || micros.Now() >= reservation.RetryAt {
		delete(s.reservations, j.Spec.ID)
	}
}

// ExpireReservation drops a gang's reservation if it has expired, and deletes it at its retry time.
func (s *Scheduler) ExpireReservation(j *state.Job, now micros.Micros) {
	if reservation := s.reservations[j.Spec.ID]; reservation != nil && now >= reservation.ExpiresAt && (len(reservation.Machines) > 0 || now >= reservation.RetryAt) {
		s.DropReservation(j)
	}
}
