package taskquery

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"caperlatch/internal/leader/dispatch"
	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

const fencingToken = 7

// TestMostRespond checks which counts mean that most machines respond, in one zone and in all zones.
func TestMostRespond(t *testing.T) {
	cases := []struct {
		counts ResponseCounts
		want   bool
	}{
		{ResponseCounts{}, false},
		{ResponseCounts{Queried: 1}, false},
		{ResponseCounts{Queried: 1, Responded: 1}, true},
		{ResponseCounts{Queried: 10, Responded: 5}, true},
		{ResponseCounts{Queried: 10, Responded: 4}, false},
	}
	for _, c := range cases {
		q := New(Config{})
		q.ByZone["a"] = c.counts
		if got := q.MostOfZoneRespond("a"); got != c.want || q.MostRespond() != c.want || q.MostOfZoneRespond("b") {
			t.Errorf("%+v: most respond in the zone: %t, in all zones: %t, in another zone: %t; want %t, %t, false", c.counts, got, q.MostRespond(), q.MostOfZoneRespond("b"), c.want, c.want)
		}
	}
}

// fakeMachines holds machines of one zone that respond to calls after a number of failures.
type fakeMachines struct {
	mu         sync.Mutex
	fleet      fleet.Fleet
	failures   int            // failed calls to each machine before it responds
	supersedes bool           // the first call reveals a higher fencing token
	calls      map[string]int // number of calls by machine
	superseded bool
	order      []string // machine IDs in the order given to Prioritize
}

func newFakeMachines(count, failures int, supersedes bool) *fakeMachines {
	f := &fakeMachines{failures: failures, supersedes: supersedes, calls: map[string]int{}}
	f.fleet.Machines = map[string]*state.Machine{}
	for i := range count {
		m := &state.Machine{ID: fmt.Sprintf("i-%d", i), Offering: state.Offering{Zone: "a"}, Instance: state.InstanceState{Address: "i:9000"}}
		f.fleet.Machines[m.ID] = m
		f.fleet.Sorted = append(f.fleet.Sorted, m)
	}
	return f
}

// call responds like a worker, after the given number of failures.
func (f *fakeMachines) call(_ context.Context, to dispatch.Target) (*wire.Heartbeat, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[to.MachineID]++
	f.superseded = f.supersedes
	if f.calls[to.MachineID] <= f.failures {
		return nil, errors.New("no response")
	}
	return &wire.Heartbeat{MachineID: to.MachineID, Incarnation: to.Incarnation, FencingToken: fencingToken, Sequence: 20}, nil
}

// queries returns Queries for the machines, with up to three calls at a time.
func (f *fakeMachines) queries(t *testing.T) *Queries {
	return New(Config{
		Lock:          &f.mu,
		Fleet:         &f.fleet,
		FencingToken:  fencingToken,
		IsExclusive:   func() bool { return true },
		Call:          f.call,
		MaxCalls:      func() int { return 3 },
		IsSuperseded:  func() bool { return f.superseded },
		IsHandingOver: func() bool { return false },
		Prioritize: func(machines []*state.Machine) {
			for _, m := range machines {
				f.order = append(f.order, m.ID)
			}
		},
		OnStatus: func(m *state.Machine, status *wire.Heartbeat, _ micros.Micros) {
			m.Reconciliation.Knowledge = state.TasksConfirmed
			if m.Reconciliation.QueriedSequence != status.Sequence {
				t.Errorf("%s: queried sequence %d, want %d", m.ID, m.Reconciliation.QueriedSequence, status.Sequence)
			}
		},
	})
}

// TestRun checks how many machines confirm their tasks, after how many calls and after how long. The machines respond
// at once, after some failed calls, or never.
func TestRun(t *testing.T) {
	type outcome struct {
		confirmed, calls int
		took             micros.Micros
	}
	cases := []struct {
		name       string
		machines   int
		failures   int
		ends       micros.Micros // when ctx ends; 0: it does not
		supersedes bool
		want       outcome
	}{
		{"no machine", 0, 0, 0, false, outcome{}},
		{"all respond at once", 3, 0, 0, false, outcome{confirmed: 3, calls: 3}},
		{"all respond to the third call", 3, 2, 0, false, outcome{confirmed: 3, calls: 9, took: 2 * retryInterval}},
		{"more machines than concurrent calls", 5, 0, 0, false, outcome{confirmed: 5, calls: 5}},
		{"none responds until the term ends", 2, 100, retryInterval / 2, false, outcome{calls: 2, took: retryInterval / 2}},
		{"superseded after a failed call", 1, 100, 0, true, outcome{calls: 1, took: retryInterval}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeMachines(c.machines, c.failures, c.supersedes)
				q := f.queries(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.ends != 0 {
					go func() {
						c.ends.Sleep()
						cancel()
					}()
				}
				began := micros.Now()
				q.Run(ctx)
				got := outcome{took: micros.Now() - began}
				for _, m := range f.fleet.Sorted {
					got.calls += f.calls[m.ID]
					if m.TasksConfirmed() {
						got.confirmed++
					}
					if want := min(f.calls[m.ID], c.failures); m.Reconciliation.FailedQueries != want {
						t.Errorf("%s: %d failed queries, want %d", m.ID, m.Reconciliation.FailedQueries, want)
					}
				}
				if got != c.want {
					t.Errorf("outcome %+v, want %+v", got, c.want)
				}
				counts := ResponseCounts{Queried: c.machines, Responded: c.want.confirmed}
				if got := q.ByZone["a"]; got != counts || !slices.IsSorted(f.order) || len(f.order) != c.machines {
					t.Errorf("counts %+v, want %+v; query order %v, want %d machines in ascending order", got, counts, f.order, c.machines)
				}
			})
		})
	}
}
