package zoning

import (
	"fmt"

	"caperlatch/internal/leader/quarantine"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/zone"
)

// Thresholds for a machine to count as evidence of the loss of its zone.
const (
	// A machine counts as silent if it has sent no heartbeat for more than silentIntervals heartbeat intervals plus
	// silentMargin.
	silentIntervals = 2
	silentMargin    = micros.Second
	// minMissedLists is the number of consecutive lists from the cloud that must lack a machine which was listed
	// before. The machine's heartbeat must be late as well.
	minMissedLists = 2
)

// evidence counts the running machines of each zone by their condition, except those that are being terminated. A
// machine with several conditions counts only under the most severe one. A machine that has returned also counts as
// recovered, unless it is evidence of a loss. Through addEvidence, evidence also resets the evidence of return of
// machines and counts relapses.
func (z *Zones) evidence(now micros.Micros) map[string]zone.Evidence {
	counted := map[string]*zone.Evidence{}
	forZone := func(name string) *zone.Evidence {
		if counted[name] == nil {
			counted[name] = &zone.Evidence{}
		}
		return counted[name]
	}
	for _, m := range z.Fleet.Sorted {
		if m.Instance.Running && !m.Instance.Terminating {
			e := forZone(m.Offering.Zone)
			e.Running++
			z.addEvidence(m, e, now)
		}
	}
	for name, c := range z.counters {
		e := forZone(name)
		e.Relapses, e.StartsSent, e.StartsSeen = c.relapses, c.startsSent, c.startsSeen
	}
	zones := make(map[string]zone.Evidence, len(counted))
	for name, e := range counted {
		zones[name] = *e
	}
	return zones
}

// addEvidence counts a machine under its condition. A machine that is silent, loses responses or is no longer listed
// is evidence of a loss: addEvidence resets its evidence of return, and counts a relapse if the machine had returned.
func (z *Zones) addEvidence(m *state.Machine, e *zone.Evidence, now micros.Micros) {
	silence := m.Silence(z.TermStartedAt, now)
	late := silence > state.HeartbeatTimeout(z.HeartbeatInterval)
	switch {
	case silence > silentIntervals*z.HeartbeatInterval+silentMargin:
		e.Silent++
	case m.LosesResponses():
		e.LostResponses++
	case late && m.Instance.SeenInCloudList && m.Instance.MissedCloudLists >= minMissedLists:
		e.Unlisted++
	default:
		if late {
			e.Late++
		} else if m.DrainReason == quarantine.DrainReason {
			e.Quarantined++
		}
		if m.ZoneReturn.Returned {
			e.Recovered++
		}
		return
	}
	if m.ZoneReturn.Returned {
		z.countersFor(m).relapses++
	}
	m.ResetZoneReturn()
}

// ObserveReturn decides whether a heartbeat that the worker sent in this term proves that its machine is reachable
// again. A single heartbeat is no proof in general: it may have been in flight when the zone was cut off, and delayed
// until now. A machine that loses responses is not reachable, whatever it sends. Otherwise, the following heartbeats
// are proof:
//   - A heartbeat of a later incarnation.
//   - A heartbeat that skips a sequence number. The worker gave up the skipped heartbeat, so it sent the later one
//     during the cut or after it. A heartbeat that was sent during the cut arrives only when the cut ends.
//   - A heartbeat that arrives at least half an interval after the first one since the evidence was reset.
//   - A heartbeat of a machine of which none had arrived in this term when the evidence was reset: its worker has
//     received a response of this term.
func (z *Zones) ObserveReturn(m *state.Machine, now micros.Micros) {
	r := &m.ZoneReturn
	switch {
	case r.Returned || m.LosesResponses():
	case r.IncarnationBefore == 0 || m.Heartbeat.Incarnation > r.IncarnationBefore || m.Heartbeat.Sequence > r.SequenceBefore+1:
		r.Returned = true
	case r.FirstHeartbeatAt == 0:
		r.FirstHeartbeatAt = now
	case now-r.FirstHeartbeatAt >= z.HeartbeatInterval/2:
		r.Returned = true
	}
}

// CheckReportedZone adds an event if a worker's first heartbeat in this term reports a different zone than the one
// that its machine was launched in. It must be called before the heartbeat is recorded. The zone of the launch remains
// in use.
func (z *Zones) CheckReportedZone(m *state.Machine, reported string) {
	if reported != m.Offering.Zone && m.Instance.FirstHeartbeatAt == 0 {
		z.Events.Add("worker reports a different zone than its launch; using the zone of the launch", fmt.Sprintf("%.40q, launched in %s", reported, m.Offering.Zone), m.ID)
	}
}
