package leader

import (
	"fmt"
	"slices"
	"testing"

	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/persist"
	"caperlatch/internal/settings"
	"caperlatch/internal/statestore"
)

// storedLists are the machine lists in the state service, by key, as a leader's writes make them.
type storedLists struct {
	leader   *Leader
	entries  map[string][]string
	revision uint64
}

// put stores a list.
func (s *storedLists) put(key string, list fleet.MachineList) {
	s.revision++
	s.entries[key] = slices.Clone(list.Entries)
	s.leader.Replica.ApplyPut(key, list, s.revision)
}

// carryOut stores one write of the leader's. Without a response the leader repeats it.
func (s *storedLists) carryOut(t *testing.T, w persist.Write, responds bool) {
	t.Helper()
	switch {
	case w.Value == nil:
		delete(s.entries, w.Key)
		s.leader.Replica.ApplyDelete(w.Key, s.revision+1)
	case !s.leader.Store.ValueAlwaysFits(w.Value):
		t.Fatalf("%s is written too large", w.Key)
	default:
		s.put(w.Key, w.Value.(fleet.MachineList))
	}
	if responds {
		w.OnStored()
	} else {
		s.leader.writes.Enqueue(w.Key)
	}
}

// countMachines counts the machines that are in a list.
func (s *storedLists) countMachines() int {
	listed := map[string]bool{}
	for _, list := range s.entries {
		for _, entry := range list {
			listed[entry] = true
		}
	}
	return len(listed)
}

// newMachineListsTest makes a leader of machines, by their entries, whose values may have 2 KB.
func newMachineListsTest(t *testing.T, machines int) (s *storedLists, entries []string) {
	t.Helper()
	l, _ := newTestLeader(t)
	l.Store = statestore.New("unused", settings.State{RPS: 1, WriteRPS: 1, ValueKB: 2, TxnOps: 3}, nil)
	l.writes = l.newWriteQueue()
	l.fleet = l.newFleet()
	l.fleet.AddIntent("r-1", fleet.LaunchIntent{Type: "m4", Zone: "a", Answered: true})
	for i := range machines {
		id := fmt.Sprintf("i-%06d", i)
		l.fleet.Add(id, l.fleet.Intent("r-1"), 0)
		entries = append(entries, id+" 10.0.0.1:9000")
	}
	return &storedLists{leader: l, entries: map[string][]string{}, revision: 100}, entries
}

// TestSplitOversizedMachineList takes over a machine list that is larger than the state service will take. No
// write may leave a machine in no stored list, whether it gets a response or not: the old list is written only
// once every machine taken off it is known to be in another.
func TestSplitOversizedMachineList(t *testing.T) {
	all := func(int) bool { return true }
	first := func(n int) bool { return n%2 == 0 }
	second := func(n int) bool { return n%2 == 1 }
	cases := []struct {
		name       string
		responds   func(n int) bool // whether the nth write gets a response
		carriedOut bool             // those without a response are
		begun      bool             // an earlier leader ended while it split the list
	}{
		{name: "all get responses", responds: all},
		{name: "every other lost", responds: second},
		{name: "every other response lost", responds: second, carriedOut: true},
		{name: "begun by an earlier leader", responds: all, begun: true},
		{name: "begun by an earlier leader, every other lost", responds: first, begun: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, entries := newMachineListsTest(t, 300)
			l := s.leader
			s.put(fleet.ListKey(0), fleet.MachineList{Entries: entries})
			if c.begun {
				s.put(fleet.ListKey(1), fleet.MachineList{Entries: entries[60:100]})
			}
			if err := l.fleet.RestoreLists(); err != nil {
				t.Fatal(err)
			}
			for n := 0; l.writes.Len() > 0; n++ {
				if n == 100 {
					t.Fatalf("%d keys are still to be written", l.writes.Len())
				}
				writes, _ := l.writes.Collect()
				for _, w := range writes {
					if c.responds(n) || c.carriedOut {
						s.carryOut(t, w, c.responds(n))
					} else {
						l.writes.Enqueue(w.Key)
					}
				}
				if listed := s.countMachines(); listed != len(entries) {
					t.Fatalf("after write %d %d of %d machines are in a list", n, listed, len(entries))
				}
			}
			total := 0
			for key, list := range s.entries {
				total += len(list)
				if !l.Store.ValueAlwaysFits(fleet.MachineList{Entries: list}) {
					t.Errorf("%s stays too large", key)
				}
			}
			if total != len(entries) {
				t.Errorf("%d entries for %d machines", total, len(entries))
			}
		})
	}
}
