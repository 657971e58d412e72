// Package fleet keeps the instances of the cloud, and launches and terminates them as the autoscaler decides.
//
// It owns the set of machines, launch intents, machine lists, the queue of terminations, the backoff after
// the cloud had no capacity, and how long boots take. It does not decide how many machines there are to
// be (that is the autoscaler's part), nor which tasks run on them. Two rules hold everywhere: an intent is
// stored before the cloud gets its request, and a machine is in a stored list before it may get tasks, so that every
// later leader finds all machines that may hold tasks.
//
// Its methods are called with the leader's lock held, but for Run.
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

// Term is what the fleet needs of the leader's term.
type Term interface {
	HoldsSession() bool
	IsExclusive() bool
}

// InstanceType is what the fleet knows of an instance type.
type InstanceType struct {
	Capacity placement.Resources
	BootTime micros.Micros // nominal
}

// Config is what a fleet works with. The functions are called with the lock held.
type Config struct {
	Lock    sync.Locker // the leader's; never held over a request
	Cloud   *cloud.Client
	Replica *replica.Replica
	Writes  *persist.Queue
	Term    Term
	Events  *eventlog.Log
	// FencingToken is part of the IDs of launch intents, which no other term may use.
	FencingToken uint64
	// ValueFits reports whether a value may be stored under one key at any time.
	ValueFits func(v any) bool
	// ListLag is by how much the cloud's list may be late.
	ListLag micros.Micros
	// InstanceType finds an instance type by its name.
	InstanceType func(name string) (InstanceType, bool)
	// IsHandingOver reports whether the term is handing over: nothing more is launched or terminated then.
	IsHandingOver func() bool
	// OnChange is called when machines may get tasks that could not before.
	OnChange func()
	// OnTerminating is called when a machine's termination is requested, with the reason.
	OnTerminating func(m *state.Machine, reason string)
	// OnTerminated is called when the cloud has confirmed a machine's termination, before it is forgotten.
	OnTerminated func(m *state.Machine)
}

// Fleet is the leader's view of the cloud's instances.
type Fleet struct {
	Config
	// Machines are all that may exist, by ID. Sorted has the same ones by ID, which is the
	// order of their creation.
	Machines map[string]*state.Machine
	Sorted   []*state.Machine

	intents        map[string]*LaunchIntent // by ID
	intentSequence uint64
	lists          []*MachineList
	backoffs       map[state.Offering]*capacityBackoff
	boots          bootOutcomes

	terminationQueue []string        // machines to be terminated
	terminated       map[string]bool // machines whose termination the cloud has confirmed
	// unexplained are instances in the cloud's list that no launch intent has, and since when.
	unexplained map[string]micros.Micros
}

// New makes a fleet without machines.
func New(c Config) *Fleet {
	return &Fleet{
		Config:      c,
		Machines:    map[string]*state.Machine{},
		intents:     map[string]*LaunchIntent{},
		backoffs:    map[state.Offering]*capacityBackoff{},
		terminated:  map[string]bool{},
		unexplained: map[string]micros.Micros{},
	}
}

// Run launches and terminates instances and reads the cloud's list until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){f.launchLoop, f.terminateLoop, f.listLoop} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// Add takes a machine into the fleet that came from a launch intent.
func (f *Fleet) Add(id string, intent *LaunchIntent, now micros.Micros) *state.Machine {
	m := &state.Machine{
		ID:       id,
		IntentID: intent.id,
		Offering: intent.offering(),
		Attempts: map[string]*state.Attempt{},
	}
	m.Instance.LaunchedAt = now - max(0, micros.Wall()-intent.At)
	m.Instance.IdleSince = now
	m.Quarantine.SuspectJobs = map[string]bool{}
	// Unless it is stored as running, it cannot have got tasks from an earlier term.
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

// Remove forgets a machine that the cloud has terminated.
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

// WasTerminated reports whether a machine's termination was answered in this term.
func (f *Fleet) WasTerminated(id string) bool { return f.terminated[id] }

// CountWithUnknownTasks counts the machines that may hold tasks of earlier terms which are not known.
func (f *Fleet) CountWithUnknownTasks() int {
	n := 0
	for _, m := range f.Machines {
		if !m.TasksKnown() {
			n++
		}
	}
	return n
}
