package liveness

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

const (
	// minLostResponsesForBackoff is the number of consecutive lost responses after which starts are delayed. A single
	// lost response is tolerated.
	minLostResponsesForBackoff = 2
	// maxBackoffDoublings limits how often the backoff doubles. The backoff is also never longer than a lease.
	maxBackoffDoublings = 10
)

// CheckDelivery detects lost responses by comparing the task IDs that a heartbeat lists with the start and clear
// commands in the previous response. If none of them was executed, the response was lost. A machine whose heartbeats
// arrive but which receives no responses looks healthy, but every start that it is given is lost until its lease
// expires.
func (mon *Monitor) CheckDelivery(m *state.Machine, listed map[string]bool, now micros.Micros) {
	executed, notExecuted := false, false
	for _, c := range m.Delivery.Sent {
		if listed[c.TaskID] == (c.Verb == wire.VerbStart) {
			executed = true
		} else {
			notExecuted = true
		}
	}
	m.Delivery.Sent = m.Delivery.Sent[:0]
	switch {
	case executed:
		m.Delivery.LostResponses = 0
	case notExecuted:
		mon.RecordLostResponse(m, now)
	}
}

// RecordLostResponse counts a response that did not reach a machine. From the second consecutive lost response on, it
// delays starts on the machine, for longer each time, up to a lease duration. TerminationReason decides when a machine
// that receives no responses is terminated.
func (mon *Monitor) RecordLostResponse(m *state.Machine, now micros.Micros) {
	d := &m.Delivery
	if d.LostResponses == 0 {
		d.FirstLostAt = now
	}
	d.LostResponses++
	if d.LostResponses >= minLostResponsesForBackoff {
		backoff := min(mon.LeaseDuration, micros.Second<<min(d.LostResponses, maxBackoffDoublings))
		m.StartBackoffUntil = max(m.StartBackoffUntil, now+backoff)
	}
}
