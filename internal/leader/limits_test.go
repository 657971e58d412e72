package leader

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// TestSplitOversizedMachineList takes over a list of machines that is larger than the state service will
// take. No write may leave a machine in no stored list, whether it is answered or not:
// the old list is written only once every machine taken off it is known to stand in
// another.
func TestSplitOversizedMachineList(t *testing.T) {
	cases := []struct {
		name     string
		answered func(n int) bool // whether the nth write is
		carried  bool             // unanswered ones are carried out
		twice    bool             // an earlier leader ended while it divided
	}{
		{name: "all answered", answered: func(int) bool { return true }},
		{name: "every other lost", answered: func(n int) bool { return n%2 == 1 }},
		{name: "every other answer lost", answered: func(n int) bool { return n%2 == 1 }, carried: true},
		{name: "begun by an earlier leader", answered: func(int) bool { return true }, twice: true},
		{name: "begun by an earlier leader, every other lost", answered: func(n int) bool { return n%2 == 0 }, twice: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, _ := newTestLeader(t)
			l.Store = statestore.New("unused", settings.State{RPS: 1, WriteRPS: 1, ValueKB: 2, TxnOps: 3}, nil)
			l.machineLists = nil
			var entries []string
			for i := range 300 {
				id := fmt.Sprintf("i-%06d", i)
				l.addMachine(id, l.intents["r-1"], 0)
				entries = append(entries, id+" 10.0.0.1:9000")
			}
			stored := map[string][]string{}
			revision := uint64(100)
			put := func(key string, u machineList) {
				revision++
				stored[key] = slices.Clone(u.Machines)
				l.Replica.ApplyPut(key, u, revision)
			}
			put(machineListKey(0), machineList{Machines: entries})
			if c.twice {
				put(machineListKey(1), machineList{Machines: entries[60:100]})
			}
			if err := l.restoreMachineLists(); err != nil {
				t.Fatal(err)
			}
			for n := 0; len(l.dirty) > 0; n++ {
				if n == 100 {
					t.Fatalf("still to be written: %v", l.dirty)
				}
				ws, _ := l.collectWrites()
				for _, w := range ws {
					switch {
					case !c.answered(n) && !c.carried:
						l.dirty[w.key] = true
						continue
					case w.value == nil:
						delete(stored, w.key)
						l.Replica.ApplyDelete(w.key, revision+1)
					case !l.Store.ValueAlwaysFits(w.value):
						t.Fatalf("%s is written too large", w.key)
					default:
						put(w.key, w.value.(machineList))
					}
					if c.answered(n) {
						w.onStored()
					} else {
						l.dirty[w.key] = true
					}
				}
				in := map[string]int{}
				for _, list := range stored {
					for _, e := range list {
						in[e]++
					}
				}
				if len(in) != len(entries) {
					t.Fatalf("after write %d %d of %d machines stand in a list", n, len(in), len(entries))
				}
			}
			total := 0
			for key, list := range stored {
				total += len(list)
				if !l.Store.ValueAlwaysFits(machineList{Machines: list}) {
					t.Errorf("%s stays too large", key)
				}
			}
			if total != len(entries) {
				t.Errorf("%d entries for %d machines", total, len(entries))
			}
		})
	}
}

// TestRejectedTransactions has the state service refuse transactions as they are. None is sent
// again with the same content, and what can be stored is.
func TestRejectedTransactions(t *testing.T) {
	cases := []struct {
		name    string
		refuses func(ws []pendingWrite) bool
		lost    string // the key that cannot be stored
		most    int    // changes in a transaction afterwards
	}{
		{"nothing", func([]pendingWrite) bool { return false }, "", 6},
		{"more than two changes", func(ws []pendingWrite) bool { return len(ws) > 2 }, "", 2},
		{"one value", func(ws []pendingWrite) bool {
			return slices.ContainsFunc(ws, func(w pendingWrite) bool { return w.key == "c/j/j-000104" })
		}, "c/j/j-000104", 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, _ := newTestLeader(t)
			l.Store = statestore.New("unused", settings.State{RPS: 1, WriteRPS: 60, ValueKB: 8, TxnOps: 6}, nil)
			l.maxOps = l.Store.MaxLeaderOps()
			clear(l.dirty)
			for i := range 8 {
				id := fmt.Sprintf("j-%06d", 101+i)
				l.Replica.ApplyPut(replica.JobPrefix+id, replica.Job{State: wire.JobPending}, uint64(10+i))
				l.finalJobs[id] = replica.Job{State: wire.JobDone}
				l.dirty[replica.JobPrefix+id] = true
			}
			sent, stored := map[string]bool{}, 0
			for n := 0; len(l.dirty) > 0; n++ {
				ws, _ := l.collectWrites()
				var keys []string
				for _, w := range ws {
					keys = append(keys, w.key)
				}
				if !c.refuses(ws) {
					stored += len(ws)
					continue
				}
				all := strings.Join(keys, " ")
				if sent[all] || n > 50 {
					t.Fatalf("sent again as it was refused: %s", all)
				}
				sent[all] = true
				l.shrinkRejected(ws, errors.New("refused"))
			}
			want := 8
			if c.lost != "" {
				want--
				l.dirty[c.lost] = true
				if ws, _ := l.collectWrites(); len(ws) != 0 {
					t.Errorf("a value as large as the one refused is sent")
				}
			}
			if stored != want || l.maxOps != c.most {
				t.Errorf("%d stored, then %d changes at a time; want %d, %d", stored, l.maxOps, want, c.most)
			}
		})
	}
}
