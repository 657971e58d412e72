package zoning

import (
	"fmt"
	"testing"

	"caperlatch/internal/leader/autoscaler"
	"caperlatch/internal/leader/eventlog"
	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/persist"
	"caperlatch/internal/leader/quarantine"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/leader/workload"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
	"caperlatch/placement"
)

// Time settings of the workers, and two times since the last heartbeat of a machine: after lateSilence, the machine
// counts as late but not as silent, and after fullSilence, it counts as silent.
const (
	heartbeatInterval = 2 * micros.Second
	leaseDuration     = 16 * micros.Second
	lateSilence       = 4 * micros.Second
	fullSilence       = 6 * micros.Second
)

// newTestZones returns the zones a and b under the lifecycle policy. Each has ten machines that have just sent a
// heartbeat.
func newTestZones(t *testing.T) (z *Zones, scaler *autoscaler.Scaler, now micros.Micros) {
	t.Helper()
	c := zone.DefaultConfig(heartbeatInterval)
	c.ConfirmationTime = 0
	store := statestore.New("unused", settings.State{RPS: 1, WriteRPS: 1, ValueKB: 8, TxnOps: 6}, nil)
	z = New(Config{
		Policy: zone.NewLifecyclePolicy(c),
		Fleet: fleet.New(fleet.Config{InstanceType: func(string) (fleet.InstanceType, bool) {
			return fleet.InstanceType{Capacity: placement.Resources{CPU: 4000, Memory: 16000}}, true
		}}),
		Replica:           replica.New(nil),
		Writes:            persist.NewQueue(persist.Config{Store: store}),
		Events:            eventlog.New(),
		ValueFits:         store.ValueAlwaysFits,
		HeartbeatInterval: heartbeatInterval,
		TermStartedAt:     micros.Now(),
		LeaseExpiry:       func(m *state.Machine) micros.Micros { return m.Lease.RenewedAt + leaseDuration },
		Offerings:         func(j *state.Job) []state.Offering { return scaler.OfferingsFor(j) },
		OnChange:          func() {},
	})
	scaler = autoscaler.New(autoscaler.Config{
		Tuning:     settings.DefaultTuning(),
		Fleet:      z.Fleet,
		Workload:   workload.New(settings.Params{}),
		ZonePolicy: z.Policy,
	})
	scaler.SetInstanceTypes(wire.InstanceTypeList{Types: []wire.InstanceType{{Name: "m4", CPUs: 4, MemoryGB: 16, ImageCacheGB: 50, ImagePullGBPerS: 1, OnDemandPrice: 1, SpotPrice: 1, Zones: []string{"a", "b"}}}})
	now = micros.Now() + 1000*micros.Second
	for i := range 20 {
		intent := z.Fleet.AddIntent(fmt.Sprintf("r-1%02d", i), fleet.LaunchIntent{Type: "m4", Zone: string("ab"[i/10]), Spot: true, Answered: true, At: micros.WallTime()})
		m := z.Fleet.Add(fmt.Sprintf("i-%02d", i), intent, now)
		m.Instance.Running, m.Instance.IntentStored, m.Instance.ListStored, m.Heartbeat.FromCurrentTerm, m.Delivery.RespondedThisTerm = true, true, true, true, true
		m.Heartbeat.ReceivedAt, m.Lease.RenewedAt, m.Heartbeat.Incarnation, m.Heartbeat.Sequence, m.Instance.Address = now, now, 1, 100, m.ID+":9000"
	}
	return z, scaler, now
}

// silenceZoneB sets the time since the last heartbeat of the machines of zone b, and lets the policy observe it.
func silenceZoneB(z *Zones, now, silence micros.Micros) {
	for _, m := range z.Fleet.Sorted[10:] {
		m.Heartbeat.ReceivedAt, m.Lease.RenewedAt = now-silence, now-silence
	}
	for range 3 {
		z.Observe(now)
	}
}

// TestEvidence checks that each machine counts only under its most severe condition, and that a relapse counts once
// although the evidence is gathered twice.
func TestEvidence(t *testing.T) {
	cases := []struct {
		name   string
		modify func(m *state.Machine, now micros.Micros)
		want   zone.Evidence
	}{
		{"healthy", func(*state.Machine, micros.Micros) {}, zone.Evidence{Running: 10}},
		{"late", func(m *state.Machine, now micros.Micros) { m.Heartbeat.ReceivedAt = now - lateSilence }, zone.Evidence{Running: 10, Late: 1}},
		{"silent", func(m *state.Machine, now micros.Micros) { m.Heartbeat.ReceivedAt = now - fullSilence }, zone.Evidence{Running: 10, Silent: 1}},
		{"late and no longer listed", func(m *state.Machine, now micros.Micros) {
			m.Heartbeat.ReceivedAt, m.Instance.SeenInCloudList, m.Instance.MissedCloudLists = now-lateSilence, true, 2
		}, zone.Evidence{Running: 10, Unlisted: 1}},
		{"no longer listed, with heartbeats", func(m *state.Machine, _ micros.Micros) {
			m.Instance.SeenInCloudList, m.Instance.MissedCloudLists = true, 9
		}, zone.Evidence{Running: 10}},
		{"loses responses", func(m *state.Machine, _ micros.Micros) { m.Delivery.LostResponses = state.MaxLostResponses }, zone.Evidence{Running: 10, LostResponses: 1}},
		{"silent and loses responses", func(m *state.Machine, now micros.Micros) {
			m.Heartbeat.ReceivedAt, m.Delivery.LostResponses = now-fullSilence, state.MaxLostResponses
		}, zone.Evidence{Running: 10, Silent: 1}},
		{"quarantined", func(m *state.Machine, _ micros.Micros) { m.DrainReason = quarantine.DrainReason }, zone.Evidence{Running: 10, Quarantined: 1}},
		{"being terminated", func(m *state.Machine, _ micros.Micros) { m.Instance.Terminating = true }, zone.Evidence{Running: 9}},
		{"booting", func(m *state.Machine, _ micros.Micros) { m.Instance.Running = false }, zone.Evidence{Running: 9}},
		{"returned", func(m *state.Machine, _ micros.Micros) { m.ZoneReturn.Returned = true }, zone.Evidence{Running: 10, Recovered: 1}},
		{"returned and silent again", func(m *state.Machine, now micros.Micros) {
			m.ZoneReturn.Returned, m.Heartbeat.ReceivedAt = true, now-fullSilence
		}, zone.Evidence{Running: 10, Silent: 1, Relapses: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			z, _, now := newTestZones(t)
			c.modify(z.Fleet.Machines["i-15"], now)
			z.evidence(now)
			if got := z.evidence(now); got["b"] != c.want || got["a"] != (zone.Evidence{Running: 10}) {
				t.Errorf("evidence %+v, want %+v for zone b, and zone a healthy", got, c.want)
			}
		})
	}
}

// TestStartsAsEvidence checks that starts sent to a zone and starts seen there are counted for as long as the term
// lasts, and that adopted tasks are not counted.
func TestStartsAsEvidence(t *testing.T) {
	z, _, now := newTestZones(t)
	j := state.NewJob(replica.Job{Spec: &wire.Job{ID: "j-000001", Tasks: 4}}, false)
	m := z.Fleet.Sorted[15]
	z.RecordAssigned(&state.Attempt{Job: j, Machine: m, StartSequence: 100})
	z.RecordAssigned(&state.Attempt{Job: j, Index: 1, Machine: m, Reserved: true})
	z.RecordAssigned(&state.Attempt{Job: j, Index: 2, Machine: m}) // an adopted task, whose start was not sent in this term
	z.RecordStartSeen(m)
	want := zone.Evidence{Running: 10, StartsSent: 2, StartsSeen: 1}
	if got := z.evidence(now); got["b"] != want || got["a"] != (zone.Evidence{Running: 10}) {
		t.Errorf("evidence %+v, want %+v for zone b, and no starts in zone a", got, want)
	}
}

// TestLossResetsReturns checks that, when a zone is lost while one of its machines still sends heartbeats, the
// heartbeats from before the loss are no evidence of a return.
func TestLossResetsReturns(t *testing.T) {
	z, _, now := newTestZones(t)
	zoneAMachine, m := z.Fleet.Sorted[0], z.Fleet.Sorted[19]
	zoneAMachine.ZoneReturn.Returned, m.ZoneReturn.Returned = true, true
	for _, other := range z.Fleet.Sorted[10:19] {
		other.Heartbeat.ReceivedAt = now - fullSilence
	}
	for range 3 {
		z.Observe(now)
	}
	if s := z.Policy.Status(now)[1]; s.State != "lost" || m.ZoneReturn.Returned || m.ZoneReturn.SequenceBefore != 100 || !zoneAMachine.ZoneReturn.Returned {
		t.Errorf("zone b is %s, want lost; its machine has %+v, want not returned and sequence before 100; machine of zone a has %+v, want returned", s.State, m.ZoneReturn, zoneAMachine.ZoneReturn)
	}
}

// TestApplyDecisions checks which machines are closed, which jobs are bound to the zone, which machines do not count as
// supply, and how many may be launched in each state of the zone.
func TestApplyDecisions(t *testing.T) {
	z, scaler, now := newTestZones(t)
	newJob := func(spec wire.Job) *state.Job { return state.NewJob(replica.Job{Spec: &spec}, false) }
	unbound := newJob(wire.Job{ID: "j-000001", Team: "blue", Tasks: 3, CPUs: 1, MemoryGB: 1, AllowSpot: true})
	bound := newJob(wire.Job{ID: "j-000002", Team: "blue", Zone: "b", Tasks: 1, AllowSpot: true})
	singleZone := newJob(wire.Job{ID: "j-000003", Team: "blue", SingleZone: true, Tasks: 2, AllowSpot: true})
	singleZone.AttemptsPerZone["b"] = 1
	expect := func(state string, wantClosed, wantReplaced, wantAllowance int, wantOnlyZone string) {
		t.Helper()
		closed := 0
		for _, m := range z.Fleet.Sorted {
			if m.ZoneReturn.ZoneBoundOnly {
				closed++
			}
		}
		replaced := z.ReplacedMachines(now)
		supply, ofBound, ofSingleZone := scaler.CountSupply(replaced, now)["m4"].Total, z.OnlyZone(bound), z.OnlyZone(singleZone)
		if closed != wantClosed || len(replaced) != wantReplaced || supply != 20-wantReplaced || z.LaunchAllowance("b") != wantAllowance ||
			ofBound != wantOnlyZone || ofSingleZone != wantOnlyZone || z.OnlyZone(unbound) != "" {
			t.Errorf("%s: %d machines closed, want %d; %d replaced, want %d; supply %d, want %d; launch allowance %d, want %d; only zone %q of the bound job and %q of the single-zone job, want %q; only zone %q of the unbound job, want none", state,
				closed, wantClosed, len(replaced), wantReplaced, supply, 20-wantReplaced, z.LaunchAllowance("b"), wantAllowance, ofBound, ofSingleZone, wantOnlyZone, z.OnlyZone(unbound))
		}
	}
	expect("normal", 0, 0, zone.Unlimited, "")
	silenceZoneB(z, now, lateSilence)
	expect("partial disruption", 0, 5, 0, "")
	silenceZoneB(z, now, fullSilence)
	expect("full disruption", 10, 5, 0, "b")
	if w, ok := z.EncodeRecord(persist.Write{Key: replica.ZonesKey}); !ok || w.Value.(*zone.Record).Zones["b"].State != zone.FullDisruption || !z.Writes.IsUrgent(replica.ZonesKey) {
		t.Errorf("record %+v, to be written: %t, urgent: %t; want zone b lost, true, true", w.Value, ok, z.Writes.IsUrgent(replica.ZonesKey))
	}
	z.Fleet.Sorted[10].Instance.Running = false // of the nine other machines, half are replaced, rounded to five
	if expect("one machine boots", 10, 5, 0, "b"); z.ReplacedMachines(now)[z.Fleet.Sorted[10]] {
		t.Error("the booting machine is to be replaced, want only running machines replaced")
	}
	z.Fleet.Sorted[10].Instance.Running = true
	for range 4 { // the hold-down passes, then the first step of reopening begins
		now += 2 * micros.Second
		for _, m := range z.Fleet.Sorted {
			m.Heartbeat.ReceivedAt, m.ZoneReturn.Returned = now, true
		}
		if z.Observe(now); z.Policy.Status(now)[1].Step == 1 {
			break
		}
	}
	expect("first step of reopening", 9, 5, 0, "b")
}

// TestClosingDropsPlannedStarts checks that the starts planned on the machines of a lost zone are dropped, so that they
// are planned again elsewhere.
func TestClosingDropsPlannedStarts(t *testing.T) {
	z, _, now := newTestZones(t)
	changes := 0
	z.OnChange = func() { changes++ }
	planned := []*state.Job{state.NewJob(replica.Job{Spec: &wire.Job{ID: "j-000001", Tasks: 1}}, false)}
	zoneAMachine, m := z.Fleet.Sorted[0], z.Fleet.Sorted[10]
	zoneAMachine.PlannedStarts, m.PlannedStarts = planned, planned
	silenceZoneB(z, now, fullSilence)
	if changes != 10 || len(m.PlannedStarts) != 0 || len(zoneAMachine.PlannedStarts) != 1 {
		t.Errorf("%d calls of OnChange, %d starts planned on a closed machine, %d on an open one; want 10, 0, 1", changes, len(m.PlannedStarts), len(zoneAMachine.PlannedStarts))
	}
}

// TestLaunchAllowance checks that running machines and open launch intents count against the policy's limit of machines
// in a zone, and that machines being terminated do not.
func TestLaunchAllowance(t *testing.T) {
	cases := []struct {
		name             string
		running, pending int
		want             int
	}{
		{"no machines", 0, 0, 5},
		{"some machines", 2, 0, 3},
		{"some machines and an open launch intent", 2, 2, 1},
		{"more machines than allowed", 2, 9, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			z, _, now := newTestZones(t)
			z.Policy = limitedPolicy{Policy: z.Policy, maxMachines: 5}
			for _, m := range z.Fleet.Sorted[10+c.running:] {
				m.Instance.Terminating = true
			}
			z.Fleet.AddIntent("r-200", fleet.LaunchIntent{Type: "m4", Zone: "b", Count: c.pending})
			z.Fleet.AddIntent("r-201", fleet.LaunchIntent{Type: "m4", Zone: "a", Count: 1})
			z.Observe(now)
			if got := z.LaunchAllowance("b"); got != c.want {
				t.Errorf("%d machines may be launched, want %d", got, c.want)
			}
		})
	}
}

// limitedPolicy is a policy that limits the number of machines in each zone.
type limitedPolicy struct {
	zone.Policy
	maxMachines int
}

func (p limitedPolicy) Decide(name string) zone.Decision {
	d := p.Policy.Decide(name)
	d.MaxMachines = p.maxMachines
	return d
}

// TestRestore checks that a term restores the zone states stored by the previous term, although its machines have sent
// no heartbeats and have not been silent for long, and that all zones are healthy if the record cannot be read.
func TestRestore(t *testing.T) {
	for _, c := range []struct {
		name   string
		stored any
		want   string
	}{
		{"a lost zone", zone.Record{Version: zone.RecordVersion, Zones: map[string]zone.RecordedZone{"b": {State: zone.FullDisruption, Since: micros.WallTime(), Flaps: 2}}}, "lost"},
		{"an unreadable record", "nonsense", "healthy"},
	} {
		t.Run(c.name, func(t *testing.T) {
			z, _, now := newTestZones(t)
			z.Replica.ApplyPut(replica.ZonesKey, c.stored, 3)
			z.Restore(now)
			if closed := z.Fleet.Sorted[15].ZoneReturn.ZoneBoundOnly; closed != (c.want == "lost") {
				t.Errorf("machine of zone b closed before the first observation: %t, want %t", closed, c.want == "lost")
			}
			for range 3 {
				z.Observe(now)
			}
			if s := z.Policy.Status(now)[1]; s.Zone != "b" || s.State != c.want || z.Fleet.Sorted[15].ZoneReturn.ZoneBoundOnly != (c.want == "lost") || z.Fleet.Sorted[5].ZoneReturn.ZoneBoundOnly {
				t.Errorf("status %+v, machine of zone b closed: %t, of zone a: %t; want zone b %s, %t, false", s, z.Fleet.Sorted[15].ZoneReturn.ZoneBoundOnly, z.Fleet.Sorted[5].ZoneReturn.ZoneBoundOnly, c.want, c.want == "lost")
			}
		})
	}
}
