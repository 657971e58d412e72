// Package fleet maintains the leader's records of the cloud's instances, and launches and terminates instances for
// the autoscaler.
//
// It owns the set of machines, the launch intents, the machine lists, the queue of terminations, the backoff
// after the cloud had no capacity, and the statistics of slow boots. It decides neither how many machines there should
// be, which is the autoscaler's task, nor which tasks run on them. Two rules always hold, so that every later leader
// finds all machines that may hold tasks: an intent is stored before its request is sent to the cloud, and a machine
// is in a stored list before it may get tasks.
//
// Its methods are called with the leader's lock held, except for Run.
package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"caperlatch/internal/cloud"
	"caperlatch/internal/leader/eventlog"
	"caperlatch/internal/leader/persist"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/placement"
)

// Term tells the fleet whether the leader's term still allows it to launch and terminate machines.
type Term interface {
	HoldsSession() bool
	IsExclusive() bool
}

// InstanceType holds the properties of an instance type that the fleet uses.
type InstanceType struct {
	Capacity placement.Resources
	BootTime micros.Micros // nominal
}

// Config holds the dependencies of a fleet. The functions are called with the lock held.
type Config struct {
	Lock    sync.Locker // the leader's lock; never held during a request
	Cloud   *cloud.Client
	Replica *replica.Replica
	Writes  *persist.Queue
	Term    Term
	Events  *eventlog.Log
	// FencingToken makes the IDs of launch intents unique to the term.
	FencingToken uint64
	// ValueFits reports whether a value is within the size limit for one key at any time, including after an
	// announced change of the limit.
	ValueFits func(v any) bool
	// ListLag is the maximum delay of the cloud's instance list.
	ListLag micros.Micros
	// InstanceType returns the named instance type and whether it is known.
	InstanceType func(name string) (InstanceType, bool)
	// IsHandingOver reports whether the term is being handed over. Nothing is launched or terminated from
	// then on.
	IsHandingOver func() bool
	// OnChange is called when machines may get tasks that could not get any before.
	OnChange func()
	// OnTerminating is called when the termination of a machine is requested, with the reason.
	OnTerminating func(m *state.Machine, reason string)
	// OnTerminated is called when the cloud has confirmed the termination of a machine, before the machine is
	// removed.
	OnTerminated func(m *state.Machine)
}

// Fleet holds the leader's records of the cloud's instances.
type Fleet struct {
	Config
	// Machines holds all machines that may exist, by ID. Sorted holds the same machines in the order of their
	// IDs, which is the order of their creation.
	Machines map[string]*state.Machine
	Sorted   []*state.Machine

	intents        map[string]*LaunchIntent // by ID
	intentSequence uint64
	lists          []*MachineList
	backoffs       map[state.Offering]*capacityBackoff
	lateBoots      bootOutcomes

	terminationQueue []string        // IDs of machines to be terminated
	terminated       map[string]bool // IDs of machines whose termination the cloud has confirmed
	// orphans holds the IDs of instances in the cloud's list that belong to no launch intent, with the time
	// when each was first seen.
	orphans map[string]micros.Micros
}

// New returns a fleet without machines.
func New(c Config) *Fleet {
	return &Fleet{
		Config:     c,
		Machines:   map[string]*state.Machine{},
		intents:    map[string]*LaunchIntent{},
		backoffs:   map[state.Offering]*capacityBackoff{},
		terminated: map[string]bool{},
		orphans:    map[string]micros.Micros{},
	}
}

// Run launches and terminates instances, and polls the cloud's instance list, until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){f.launchLoop, f.terminateLoop, f.listLoop} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// Add adds a machine that was launched for an intent to the fleet.
func (f *Fleet) Add(id string, intent *LaunchIntent, now micros.Micros) *state.Machine {
	m := &state.Machine{
		ID:       id,
		IntentID: intent.id,
		Offering: intent.offering(),
		Attempts: map[string]*state.Attempt{},
	}
	m.Instance.LaunchedAt = now - max(0, micros.WallTime()-intent.At)
	m.Instance.IdleSince = now
	m.Quarantine.SuspectJobs = map[string]bool{}
	// A machine that is not in a stored list cannot have got tasks from an earlier term.
	m.Reconciliation.Knowledge = state.TasksConfirmed
	if t, ok := f.InstanceType(intent.Type); ok {
		m.Free = t.Capacity
	}
	f.Machines[id] = m
	at, _ := slices.BinarySearchFunc(f.Sorted, id, compareID)
	f.Sorted = slices.Insert(f.Sorted, at, m)
	return m
}

func compareID(m *state.Machine, id string) int { return cmp.Compare(m.ID, id) }

// Remove removes a machine that the cloud has terminated from the fleet, its machine list and its launch intent.
func (f *Fleet) Remove(m *state.Machine) {
	f.OnTerminated(m)
	delete(f.Machines, m.ID)
	if i := slices.Index(f.Sorted, m); i >= 0 {
		f.Sorted = slices.Delete(f.Sorted, i, i+1)
	}
	f.terminated[m.ID] = true
	if m.Instance.Running {
		f.removeFromList(m)
	}
	f.removeFromIntent(m)
}

// WasTerminated reports whether the cloud confirmed the termination of a machine during this term.
func (f *Fleet) WasTerminated(id string) bool { return f.terminated[id] }

// CountWithUnknownTasks returns the number of machines that may hold tasks of earlier terms that this leader
// does not know yet.
func (f *Fleet) CountWithUnknownTasks() int {
	n := 0
	for _, m := range f.Machines {
		if !m.TasksKnown() {
			n++
		}
	}
	return n
}
