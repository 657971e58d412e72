package liveness

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

const (
	// backoffLostResponses is from how many lost responses in a row on starts are held back. One may get lost.
	backoffLostResponses = 2
	// maxBackoffDoublings bounds how often the backoff doubles, which is also never longer than a lease.
	maxBackoffDoublings = 10
)

// CheckDelivery compares the tasks that a heartbeat lists, by ID, with what the response before it commanded. A
// machine whose heartbeats arrive while responses don't reach it looks healthy: given work, it would lose
// every start until its lease expires.
func (o *Monitor) CheckDelivery(m *state.Machine, listed map[string]bool, now micros.Micros) {
	obeyed, missed := false, false
	for _, c := range m.Delivery.Sent {
		if listed[c.TaskID] == (c.Verb == wire.VerbStart) {
			obeyed = true
		} else {
			missed = true
		}
	}
	m.Delivery.Sent = m.Delivery.Sent[:0]
	switch {
	case obeyed:
		m.Delivery.LostResponses = 0
	case missed:
		o.RecordLostResponse(m, now)
	}
}

// RecordLostResponse counts a response that did not reach a machine. From the second in a row on, starts wait
// longer each time. See TerminationReason for what becomes of a machine that no response reaches.
func (o *Monitor) RecordLostResponse(m *state.Machine, now micros.Micros) {
	d := &m.Delivery
	if d.LostResponses == 0 {
		d.FirstLostAt = now
	}
	d.LostResponses++
	if d.LostResponses >= backoffLostResponses {
		backoff := min(o.LeaseDuration, micros.Second<<min(d.LostResponses, maxBackoffDoublings))
		m.StartBackoffUntil = max(m.StartBackoffUntil, now+backoff)
	}
}
