package fleet

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"caperlatch/internal/leader/persist"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/replica"
)

// MachineList is the stored list of machines that may have got tasks. The lists are apart from the
// launch intents, so that all machines that come up at about the same time share a write: with an intent
// written anew for each of its machines, a thousand that booted waited seconds for their first tasks. Each
// machine stands with its address, so that a next leader can query its tasks.
type MachineList struct {
	Entries []string `json:"m"` // "id address"

	// splitFrom is set while a list that is too large is being split: it is the index of the list
	// that names these machines until this one is stored.
	splitFrom *int
}

// maxLists bounds the index of a list that is read. It only refuses what is no list of this service.
const maxLists = 1 << 20

// ErrInvalidListKey is returned for a stored key with the prefix of machine lists that is none.
var ErrInvalidListKey = errors.New("no list of machines")

// listEntry is a machine's entry in its list.
func listEntry(m *state.Machine) string { return m.ID + " " + m.Instance.Address }

// entryID is the ID of the machine that an entry names.
func entryID(entry string) string {
	id, _, _ := strings.Cut(entry, " ")
	return id
}

// ListKey is the key under which the list with an index is stored.
func ListKey(index int) string { return replica.MachineListPrefix + strconv.Itoa(index) }

// parseListKey is the index of the list that is stored under a key.
func parseListKey(key string) (index int, err error) {
	index, err = strconv.Atoi(strings.TrimPrefix(key, replica.MachineListPrefix))
	if err != nil || index < 0 || index > maxLists {
		return 0, fmt.Errorf("stored %s: %w", key, ErrInvalidListKey)
	}
	return index, nil
}

// RestoreLists reads which machines an earlier term may have given tasks. The launch intents must have
// been read before.
func (f *Fleet) RestoreLists() error {
	for _, key := range f.Replica.Keys(replica.MachineListPrefix) {
		index, err := parseListKey(key)
		if err != nil {
			return err
		}
		for len(f.lists) <= index {
			f.lists = append(f.lists, &MachineList{})
		}
		if _, err := f.Replica.Get(key, f.lists[index]); err != nil {
			return err
		}
	}
	for index, list := range f.lists {
		f.markListed(index, list)
	}
	for index, list := range f.lists {
		// A leader that ended while it split a list left machines in two.
		if before := len(list.Entries); f.dropForeignEntries(index) < before {
			f.Writes.EnqueueLowPriority(ListKey(index))
		}
	}
	for index := range f.lists {
		f.splitIfTooLarge(index)
	}
	return nil
}

// markListed notes of the machines of a stored list that they may hold tasks.
func (f *Fleet) markListed(index int, list *MachineList) {
	for _, entry := range list.Entries {
		id, address, _ := strings.Cut(entry, " ")
		if m := f.Machines[id]; m != nil {
			i := &m.Instance
			i.Running, i.ListStored, i.StoredListIndex, i.Address = true, true, index, address
			m.Reconciliation.Knowledge = state.TasksUnknown
		}
	}
}

// dropForeignEntries takes machines off a list that are in another as well, or were
// terminated, and returns how many are left.
func (f *Fleet) dropForeignEntries(index int) (left int) {
	list := f.lists[index]
	list.Entries = slices.DeleteFunc(list.Entries, func(entry string) bool {
		m := f.Machines[entryID(entry)]
		return m != nil && m.Instance.StoredListIndex != index || f.terminated[entryID(entry)]
	})
	return len(list.Entries)
}

// splitIfTooLarge divides a list that an earlier version stored larger than the state service may
// take now. The new lists are written first; the old one, which may not be written as it is, names their
// machines until they are known to be stored. So whatever gets no response and whoever takes over, every
// machine is in a stored list at any time.
func (f *Fleet) splitIfTooLarge(index int) {
	entries := f.lists[index].Entries
	for rest := entries[min(len(entries), f.mostThatFit(entries)):]; len(rest) > 0; {
		part := rest[:f.mostThatFit(rest)]
		rest = rest[len(part):]
		f.lists = append(f.lists, &MachineList{Entries: slices.Clone(part), splitFrom: &index})
		for _, entry := range part {
			if m := f.Machines[entryID(entry)]; m != nil {
				m.Instance.StoredListIndex = len(f.lists) - 1
			}
		}
		f.Writes.Enqueue(ListKey(len(f.lists) - 1))
	}
}

// mostThatFit is how many of the entries fit into one list, one at least.
func (f *Fleet) mostThatFit(entries []string) int {
	low, high := 1, len(entries)
	for low < high {
		if middle := (low + high + 1) / 2; f.ValueFits(MachineList{Entries: entries[:middle]}) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// finishSplit is called once a part of a list that was split is stored, or is empty: the list
// that it was part of need not name its machines any more.
func (f *Fleet) finishSplit(index int) {
	if from := f.lists[index].splitFrom; from != nil {
		f.lists[index].splitFrom = nil
		f.dropForeignEntries(*from)
		f.Writes.EnqueueLowPriority(ListKey(*from))
	}
}

// RegisterRunning has it stored that a machine may get tasks.
func (f *Fleet) RegisterRunning(m *state.Machine) {
	m.Instance.Running = true
	last := len(f.lists) - 1
	// Room for one entry more than is added, as the list may be written together with others.
	if last < 0 || !f.ValueFits(MachineList{Entries: append(f.lists[last].Entries, listEntry(m), listEntry(m))}) {
		f.lists = append(f.lists, &MachineList{})
		last++
	}
	m.Instance.StoredListIndex = last
	f.lists[last].Entries = append(f.lists[last].Entries, listEntry(m))
	f.Writes.Enqueue(ListKey(last))
	f.Writes.Wake()
}

// removeFromList takes a terminated machine off its list.
func (f *Fleet) removeFromList(m *state.Machine) {
	list := f.lists[m.Instance.StoredListIndex]
	list.Entries = slices.DeleteFunc(list.Entries, func(entry string) bool { return entryID(entry) == m.ID })
	f.Writes.EnqueueLowPriority(ListKey(m.Instance.StoredListIndex))
}

// EncodeList makes the write of a machine list's key.
func (f *Fleet) EncodeList(w persist.Write) (persist.Write, bool) {
	index, err := parseListKey(w.Key)
	if err != nil || index >= len(f.lists) {
		return w, false
	}
	snapshot := slices.Clone(f.lists[index].Entries)
	if len(snapshot) == 0 {
		f.finishSplit(index)
		return w, w.ModRevision != 0
	}
	w.Value = MachineList{Entries: snapshot}
	if w.ModRevision != 0 && len(snapshot) > 1 && !f.ValueFits(w.Value) {
		return w, false // it is being split
	}
	w.OnStored = func() {
		f.finishSplit(index)
		for _, entry := range snapshot {
			if m := f.Machines[entryID(entry)]; m != nil {
				m.Instance.ListStored = true
			}
		}
		f.OnChange()
	}
	return w, true
}
