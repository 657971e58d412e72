package leader

import (
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// checkDelivery compares a report with what the answer before it told. A machine
// whose reports arrive while answers don't reach it looks healthy: fed with work, it
// would lose every start until its lease ends.
func (l *Leader) checkDelivery(m *state.Machine, listed map[string]bool, now micros.Micros) {
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
		l.recordLostResponse(m, now)
	}
}

// recordLostResponse counts an answer that did not reach a machine. One may get lost; from the
// second in a row on, starts wait longer each time. See superviseMachines for what
// becomes of a machine that hears nothing at all.
func (l *Leader) recordLostResponse(m *state.Machine, now micros.Micros) {
	if m.Delivery.LostResponses == 0 {
		m.Delivery.LosingSince = now
	}
	m.Delivery.LostResponses++
	if m.Delivery.LostResponses >= 2 {
		m.StartBackoffUntil = max(m.StartBackoffUntil, now+min(l.leaseDuration, micros.Second<<min(m.Delivery.LostResponses, 10)))
	}
}

// maxLostResponses is how many answers in a row must have been lost before a machine is
// taken for one that receives none.
const maxLostResponses = 3
