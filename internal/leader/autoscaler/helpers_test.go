package autoscaler

import (
	"fmt"
	"sync"
	"testing"

	"caperlatch/internal/leader/eventlog"
	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/persist"
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

// Instance types with four and eight CPUs. A CPU of the larger type costs more.
var (
	typeM4 = wire.InstanceType{Name: "m4", CPUs: 4, MemoryGB: 16, ImagePullGBPerS: 1, OnDemandPrice: 1, SpotPrice: 1, Zones: []string{"a"}}
	typeM8 = wire.InstanceType{Name: "m8", CPUs: 8, MemoryGB: 32, ImagePullGBPerS: 1, OnDemandPrice: 3, SpotPrice: 3, Zones: []string{"a"}}
)

// exclusiveTerm is a term in which no other node can lead.
type exclusiveTerm struct{}

func (exclusiveTerm) HoldsSession() bool { return true }
func (exclusiveTerm) IsExclusive() bool  { return true }

// newTest returns an autoscaler with the given number of idle on-demand machines of type m4, and without
// jobs. Heartbeats come every 8 s. A share of 0.85 of the gangs of class pairs should start within 2 s.
func newTest(t *testing.T, machines int, types ...wire.InstanceType) *Scaler {
	t.Helper()
	params := settings.Params{
		Teams:      []settings.Team{{Name: "blue"}},
		Objectives: []settings.Objective{{Kind: settings.ObjectiveWait, Class: "pairs", WithinS: 2, Share: 0.85}},
	}
	stored := replica.New(nil)
	client := statestore.New("unused", settings.State{RPS: 1, WriteRPS: 1, ValueKB: 8, TxnOps: 6}, nil)
	s := New(Config{
		Tuning:               settings.DefaultTuning(),
		Term:                 exclusiveTerm{},
		Workload:             workload.New(params),
		Jobs:                 map[string]*state.Job{},
		HeartbeatInterval:    8 * micros.Second,
		TeamUsage:            func() map[string]*placement.Team { return map[string]*placement.Team{"blue": {}} },
		AwaitsReconciliation: func() func(*state.Job) bool { return func(*state.Job) bool { return false } },
		ReplacedMachines:     func(micros.Micros) map[*state.Machine]bool { return nil },
		ZonePolicy:           zone.NewThresholdPolicy(),
		LaunchAllowance:      func(string) int { return zone.Unlimited },
		OnChange:             func() {},
	})
	s.SetInstanceTypes(wire.InstanceTypeList{Types: types})
	s.Fleet = fleet.New(fleet.Config{
		Lock:      &sync.Mutex{},
		Replica:   stored,
		Writes:    persist.NewQueue(persist.Config{Lock: &sync.Mutex{}, Store: client, Replica: stored}),
		Term:      exclusiveTerm{},
		Events:    eventlog.New(),
		ValueFits: client.ValueAlwaysFits,
		InstanceType: func(name string) (fleet.InstanceType, bool) {
			return fleet.InstanceType{Capacity: s.Type(name).Capacity, BootTime: micros.FromSeconds(s.Type(name).BootTimeS)}, true
		},
		IsHandingOver: func() bool { return false },
		OnTerminating: func(*state.Machine, string) {},
	})
	addMachines(s, machines)
	return s
}

// addMachines adds idle on-demand machines of type m4 that may get tasks.
func addMachines(s *Scaler, count int) {
	now := micros.Now()
	intent := s.Fleet.AddIntent("r-1", fleet.LaunchIntent{Type: "m4", Zone: "a", Answered: true})
	for range count {
		m := s.Fleet.Add(fmt.Sprintf("i-%04d", len(s.Fleet.Sorted)), intent, now)
		m.Instance.Running, m.Instance.IntentStored, m.Instance.ListStored = true, true, true
		m.Heartbeat.FromCurrentTerm, m.Heartbeat.ReceivedAt = true, now
	}
}

// newJob returns a job of class pairs that was submitted just now. Its tasks need one CPU each.
func newJob(id string, kind wire.JobKind, tasks int) *state.Job {
	return state.NewJob(replica.Job{SubmittedAt: micros.WallTime(), Spec: &wire.Job{ID: id, Class: "pairs", Team: "blue", Kind: kind,
		Priority: "normal", Tasks: tasks, CPUs: 1, MemoryGB: 1, EstimatedRuntimeS: 60, AllowSpot: true}}, false)
}

// submit adds a newly submitted job to the autoscaler.
func submit(s *Scaler, j *state.Job) {
	s.Jobs[j.Spec.ID] = j
	s.AddDemand(j)
}
