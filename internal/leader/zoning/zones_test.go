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

// Workers' times, and how long a machine must have sent no heartbeat to count as late but not silent, and as
// silent.
const (
	heartbeatInterval = 2 * micros.Second
	leaseDuration     = 16 * micros.Second
	lateSilence       = 4 * micros.Second
	fullSilence       = 6 * micros.Second
)

// newTest makes zones with the lifecycle policy, a and b, of ten machines each that have just sent a heartbeat.
func newTest(t *testing.T) (z *Zones, scaler *autoscaler.Scaler, now micros.Micros) {
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
		intent := z.Fleet.AddIntent(fmt.Sprintf("r-1%02d", i), fleet.LaunchIntent{Type: "m4", Zone: string("ab"[i/10]), Spot: true, Answered: true, At: micros.Wall()})
		m := z.Fleet.Add(fmt.Sprintf("i-%02d", i), intent, now)
		m.Instance.Running, m.Instance.IntentStored, m.Instance.ListStored, m.Heartbeat.FromCurrentTerm, m.Delivery.RespondedThisTerm = true, true, true, true, true
		m.Heartbeat.ReceivedAt, m.Lease.RenewedAt, m.Heartbeat.Incarnation, m.Heartbeat.Sequence, m.Instance.Address = now, now, 1, 100, m.ID+":9000"
	}
	return z, scaler, now
}

// silence has the machines of zone b have sent their last heartbeat so long ago, and the policy observe that.
func silence(z *Zones, now, ago micros.Micros) {
	for _, m := range z.Fleet.Sorted[10:] {
		m.Heartbeat.ReceivedAt, m.Lease.RenewedAt = now-ago, now-ago
	}
	for range 3 {
		z.Observe(now)
	}
}

// TestEvidence counts machines in several states, each in the gravest group.
func TestEvidence(t *testing.T) {
	cases := []struct {
		name string
		edit func(m *state.Machine, now micros.Micros)
		want zone.Evidence
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
		{"returned and silent anew", func(m *state.Machine, now micros.Micros) {
			m.ZoneReturn.Returned, m.Heartbeat.ReceivedAt = true, now-fullSilence
		}, zone.Evidence{Running: 10, Silent: 1, Relapses: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			z, _, now := newTest(t)
			c.edit(z.Fleet.Machines["i-15"], now)
			z.evidence(now)
			if got := z.evidence(now); got["b"] != c.want || got["a"] != (zone.Evidence{Running: 10}) {
				t.Errorf("%+v, want %+v, and the other zone healthy", got, c.want)
			}
		})
	}
}

// TestStartsAsEvidence has starts be sent to a zone and be seen there: both are counted for as long as the term
// lasts, and adopted tasks are not.
func TestStartsAsEvidence(t *testing.T) {
	z, _, now := newTest(t)
	j := state.NewJob(replica.Job{Spec: &wire.Job{ID: "j-000001", Tasks: 4}}, false)
	m := z.Fleet.Sorted[15]
	z.RecordAssigned(&state.Attempt{Job: j, Machine: m, StartSequence: 100})
	z.RecordAssigned(&state.Attempt{Job: j, Index: 1, Machine: m, Reserved: true})
	z.RecordAssigned(&state.Attempt{Job: j, Index: 2, Machine: m}) // adopted
	z.RecordStartSeen(m)
	want := zone.Evidence{Running: 10, StartsSent: 2, StartsSeen: 1}
	if got := z.evidence(now); got["b"] != want || got["a"] != (zone.Evidence{Running: 10}) {
		t.Errorf("%+v, want %+v, and nothing of the other zone", got, want)
	}
}

// TestLossResetsReturns has a zone be lost while one of its machines still sends heartbeats: what was seen of
// it before is no evidence of a return.
func TestLossResetsReturns(t *testing.T) {
	z, _, now := newTest(t)
	elsewhere, m := z.Fleet.Sorted[0], z.Fleet.Sorted[19]
	elsewhere.ZoneReturn.Returned, m.ZoneReturn.Returned = true, true
	for _, other := range z.Fleet.Sorted[10:19] {
		other.Heartbeat.ReceivedAt = now - fullSilence
	}
	for range 3 {
		z.Observe(now)
	}
	if s := z.Policy.Status(now)[1]; s.State != "lost" || m.ZoneReturn.Returned || m.ZoneReturn.SequenceBefore != 100 || !elsewhere.ZoneReturn.Returned {
		t.Errorf("%s, %+v, elsewhere %+v", s.State, m.ZoneReturn, elsewhere.ZoneReturn)
	}
}

// TestDecisionsCarriedOut has what the policy decides be carried out: which machines are closed, for which
// jobs, which do not count as supply, and what is launched there.
func TestDecisionsCarriedOut(t *testing.T) {
	z, scaler, now := newTest(t)
	newJob := func(spec wire.Job) *state.Job { return state.NewJob(replica.Job{Spec: &spec}, false) }
	free := newJob(wire.Job{ID: "j-000001", Team: "blue", Tasks: 3, CPUs: 1, MemoryGB: 1, AllowSpot: true})
	bound := newJob(wire.Job{ID: "j-000002", Team: "blue", Zone: "b", Tasks: 1, AllowSpot: true})
	singleZone := newJob(wire.Job{ID: "j-000003", Team: "blue", SingleZone: true, Tasks: 2, AllowSpot: true})
	singleZone.AttemptsPerZone["b"] = 1
	expect := func(state string, wantClosed, wantReplaced, wantAllowance int, wantOnlyZone string) {
		t.Helper()
		closed := 0
		for _, m := range z.Fleet.Sorted {
			if m.ZoneReturn.Closed {
				closed++
			}
		}
		replaced := z.ReplacedMachines(now)
		supply, ofBound, ofSingleZone := scaler.CountSupply(replaced, now)["m4"].Total, z.OnlyZone(bound), z.OnlyZone(singleZone)
		if closed != wantClosed || len(replaced) != wantReplaced || supply != 20-wantReplaced || z.LaunchAllowance("b") != wantAllowance ||
			ofBound != wantOnlyZone || ofSingleZone != wantOnlyZone || z.OnlyZone(free) != "" {
			t.Errorf("%s: %d closed, %d replaced, supply %d, %d may be launched, bound to %q and %q", state, closed, len(replaced), supply, z.LaunchAllowance("b"), ofBound, ofSingleZone)
		}
	}
	expect("normal", 0, 0, zone.Unlimited, "")
	silence(z, now, lateSilence)
	expect("partial disruption", 0, 5, 0, "")
	silence(z, now, fullSilence)
	expect("full disruption", 10, 5, 0, "b")
	if w, ok := z.EncodeRecord(persist.Write{Key: replica.ZonesKey}); !ok || w.Value.(*zone.Record).Zones["b"].State != zone.FullDisruption || !z.Writes.IsUrgent(replica.ZonesKey) {
		t.Errorf("stored is %+v (%v)", w.Value, ok)
	}
	z.Fleet.Sorted[10].Instance.Running = false // half of the nine others, rounded
	if expect("one boots", 10, 5, 0, "b"); z.ReplacedMachines(now)[z.Fleet.Sorted[10]] {
		t.Error("a machine that boots is replaced")
	}
	z.Fleet.Sorted[10].Instance.Running = true
	for range 4 { // held down, and then the first step
		now += 2 * micros.Second
		for _, m := range z.Fleet.Sorted {
			m.Heartbeat.ReceivedAt, m.ZoneReturn.Returned = now, true
		}
		if z.Observe(now); z.Policy.Status(now)[1].Step == 1 {
			break
		}
	}
	expect("first step", 9, 5, 0, "b")
}

// TestClosingDropsPlans has a zone be lost: what is planned for its machines is planned anew.
func TestClosingDropsPlans(t *testing.T) {
	z, _, now := newTest(t)
	changes := 0
	z.OnChange = func() { changes++ }
	planned := []*state.Job{state.NewJob(replica.Job{Spec: &wire.Job{ID: "j-000001", Tasks: 1}}, false)}
	elsewhere, m := z.Fleet.Sorted[0], z.Fleet.Sorted[10]
	elsewhere.PlannedStarts, m.PlannedStarts = planned, planned
	silence(z, now, fullSilence)
	if changes != 10 || len(m.PlannedStarts) != 0 || len(elsewhere.PlannedStarts) != 1 {
		t.Errorf("%d changes, %d starts planned on a closed machine, %d on an open one", changes, len(m.PlannedStarts), len(elsewhere.PlannedStarts))
	}
}

// TestLaunchAllowance has the policy limit a zone's machines: those that are launched or on their way count
// against the limit, and those that are being terminated do not.
func TestLaunchAllowance(t *testing.T) {
	cases := []struct {
		name             string
		running, pending int
		want             int
	}{
		{"none", 0, 0, 5},
		{"some machines", 2, 0, 3},
		{"and an open launch intent", 2, 2, 1},
		{"more than allowed", 2, 9, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			z, _, now := newTest(t)
			z.Policy = limitedPolicy{Policy: z.Policy, machines: 5}
			for _, m := range z.Fleet.Sorted[10+c.running:] {
				m.Instance.Terminating = true
			}
			z.Fleet.AddIntent("r-200", fleet.LaunchIntent{Type: "m4", Zone: "b", Count: c.pending})
			z.Fleet.AddIntent("r-201", fleet.LaunchIntent{Type: "m4", Zone: "a", Count: 1})
			z.Observe(now)
			if got := z.LaunchAllowance("b"); got != c.want {
				t.Errorf("%d may be launched, want %d", got, c.want)
			}
		})
	}
}

// limitedPolicy limits the machines of each zone.
type limitedPolicy struct {
	zone.Policy
	machines int
}

func (p limitedPolicy) Decide(name string) zone.Decision {
	d := p.Policy.Decide(name)
	d.MaxMachines = p.machines
	return d
}

// TestRestore has a term go on from what the one before stored, though its machines have sent no heartbeats and
// are not silent for long; and start anew where that cannot be read.
func TestRestore(t *testing.T) {
	for _, c := range []struct {
		name   string
		stored any
		want   string
	}{
		{"a lost zone", zone.Record{Version: zone.RecordVersion, Zones: map[string]zone.RecordedZone{"b": {State: zone.FullDisruption, Since: micros.Wall(), Flaps: 2}}}, "lost"},
		{"not readable", "nonsense", "healthy"},
	} {
		t.Run(c.name, func(t *testing.T) {
			z, _, now := newTest(t)
			z.Replica.ApplyPut(replica.ZonesKey, c.stored, 3)
			z.Restore(now)
			if closed := z.Fleet.Sorted[15].ZoneReturn.Closed; closed != (c.want == "lost") {
				t.Errorf("closed %v before anything is observed", closed)
			}
			for range 3 {
				z.Observe(now)
			}
			if s := z.Policy.Status(now)[1]; s.Zone != "b" || s.State != c.want || z.Fleet.Sorted[15].ZoneReturn.Closed != (c.want == "lost") || z.Fleet.Sorted[5].ZoneReturn.Closed {
				t.Errorf("%+v, want %s", s, c.want)
			}
		})
	}
}
