package zoning

import (
	"fmt"

	"caperlatch/internal/leader/quarantine"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/zone"
)

// When a machine speaks for the loss of its zone.
const (
	// silentIntervals is for how many heartbeat intervals, and silentMargin beyond these, a machine must
	// have sent no heartbeat to count as silent.
	silentIntervals = 2
	silentMargin    = micros.Second
	// minMissingLists is in how many of the cloud's lists in a row a machine that was listed before must be
	// missing.
	minMissingLists = 2
)

// evidence counts the machines by zone. Each counts in one group, the gravest.
func (z *Zones) evidence(now micros.Micros) map[string]zone.Evidence {
	counted := map[string]*zone.Evidence{}
	of := func(name string) *zone.Evidence {
		if counted[name] == nil {
			counted[name] = &zone.Evidence{}
		}
		return counted[name]
	}
	for _, m := range z.Fleet.Sorted {
		if m.Instance.Running && !m.Instance.Terminating {
			e := of(m.Offering.Zone)
			e.Running++
			z.addEvidence(m, e, now)
		}
	}
	for name, c := range z.counters {
		e := of(name)
		e.Relapses, e.StartsSent, e.StartsSeen = c.relapses, c.startsSent, c.startsSeen
	}
	zones := make(map[string]zone.Evidence, len(counted))
	for name, e := range counted {
		zones[name] = *e
	}
	return zones
}

// addEvidence counts a machine in its group. One that speaks for a loss has not returned, or no longer.
func (z *Zones) addEvidence(m *state.Machine, e *zone.Evidence, now micros.Micros) {
	silence := m.Silence(z.TermStartedAt, now)
	late := silence > state.HeartbeatTimeout(z.HeartbeatInterval)
	switch {
	case silence > silentIntervals*z.HeartbeatInterval+silentMargin:
		e.Silent++
	case m.LosesResponses():
		e.LostResponses++
	case late && m.Instance.SeenInCloudList && m.Instance.MissedCloudLists >= minMissingLists:
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
		z.countersOf(m).relapses++
	}
	m.ResetZoneReturn()
}

// ObserveReturn notes a heartbeat that its worker made in this term, as evidence that its zone has returned. A
// single one that was on its way when the zone was cut off, and was held back, is no such evidence. One of a
// later incarnation is, and one that skips a sequence number: its worker has given up the one between, so made
// it during the cut or after, and what is held back arrives when the cut ends. So is a second heartbeat half an
// interval later, and the first of a machine of which none had arrived in this term: its worker has had a
// response of this term.
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

// CheckReportedZone logs that a worker's first heartbeat, which is not recorded yet, names another zone than
// its launch. That of the launch counts.
func (z *Zones) CheckReportedZone(m *state.Machine, reported string) {
	if reported != m.Offering.Zone && m.Instance.FirstHeartbeatAt == 0 {
		z.Events.Add("worker names another zone than its launch, which counts", fmt.Sprintf("%.40q, launched in %s", reported, m.Offering.Zone), m.ID)
	}
}
