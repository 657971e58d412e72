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

// storedLists holds the machine lists that the writes of a leader have left in the state service.
type storedLists struct {
	leader   *Leader
	entries  map[string][]string // by key
	revision uint64
}

// put stores a list under a key, and applies it to the leader's replica.
func (s *storedLists) put(key string, list fleet.MachineList) {
	s.revision++
	s.entries[key] = slices.Clone(list.Entries)
	s.leader.Replica.ApplyPut(key, list, s.revision)
}

// apply applies a write of the leader to the stored lists. If the leader gets no response, it queues the write again.
func (s *storedLists) apply(t *testing.T, w persist.Write, responds bool) {
	t.Helper()
	switch {
	case w.Value == nil:
		delete(s.entries, w.Key)
		s.leader.Replica.ApplyDelete(w.Key, s.revision+1)
	case !s.leader.Store.ValueAlwaysFits(w.Value):
		t.Fatalf("the value written to %s is too large for the state service", w.Key)
	default:
		s.put(w.Key, w.Value.(fleet.MachineList))
	}
	if responds {
		w.OnStored()
	} else {
		s.leader.writes.Enqueue(w.Key)
	}
}

// countMachines returns the number of machines that are in at least one list.
func (s *storedLists) countMachines() int {
	listed := map[string]bool{}
	for _, list := range s.entries {
		for _, entry := range list {
			listed[entry] = true
		}
	}
	return len(listed)
}

// newMachineListsTest returns the stored lists of a leader, and the list entries of the leader's machines. The state
// service accepts values of at most 2 KB. No list is stored yet.
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

// TestSplitOversizedMachineList checks that a leader splits a stored machine list that is larger than the state service
// accepts. After every round of writes, with or without responses, every machine must be in a stored list. So the
// shortened old list may be written only once each machine removed from it is known to be in another stored list.
func TestSplitOversizedMachineList(t *testing.T) {
	allRounds := func(int) bool { return true }
	evenRounds := func(n int) bool { return n%2 == 0 }
	oddRounds := func(n int) bool { return n%2 == 1 }
	cases := []struct {
		name     string
		responds func(n int) bool // whether the writes of round n get responses
		applied  bool             // writes without a response are applied all the same
		resumed  bool             // an earlier leader had stored one of the new lists, but not the shortened old list
	}{
		{name: "all writes get responses", responds: allRounds},
		{name: "every other request is lost", responds: oddRounds},
		{name: "every other response is lost", responds: oddRounds, applied: true},
		{name: "split begun by an earlier leader", responds: allRounds, resumed: true},
		{name: "split begun by an earlier leader, every other request is lost", responds: evenRounds, resumed: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, entries := newMachineListsTest(t, 300)
			l := s.leader
			s.put(fleet.ListKey(0), fleet.MachineList{Entries: entries})
			if c.resumed {
				s.put(fleet.ListKey(1), fleet.MachineList{Entries: entries[60:100]})
			}
			if err := l.fleet.RestoreLists(); err != nil {
				t.Fatal(err)
			}
			for n := 0; l.writes.Len() > 0; n++ {
				if n == 100 {
					t.Fatalf("%d keys are still to be written after %d rounds of writes, want 0", l.writes.Len(), n)
				}
				writes, _ := l.writes.Collect()
				for _, w := range writes {
					if c.responds(n) || c.applied {
						s.apply(t, w, c.responds(n))
					} else {
						l.writes.Enqueue(w.Key)
					}
				}
				if listed := s.countMachines(); listed != len(entries) {
					t.Fatalf("after round %d of the writes, %d of %d machines are in a stored list, want all", n, listed, len(entries))
				}
			}
			total := 0
			for key, list := range s.entries {
				total += len(list)
				if !l.Store.ValueAlwaysFits(fleet.MachineList{Entries: list}) {
					t.Errorf("the list stored under %s is still too large", key)
				}
			}
			if total != len(entries) {
				t.Errorf("%d stored entries for %d machines, want one per machine", total, len(entries))
			}
		})
	}
}
