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

// MachineList is a stored list of machines that may have got tasks. The lists are separate from the launch
// intents, so that all machines that come up at about the same time share one write. When the intent was
// written again for each of its machines, a thousand booted machines waited seconds for their first tasks.
// Each entry includes the address of the machine, so that the next leader can query its tasks.
type MachineList struct {
	Entries []string `json:"m"` // "id address"

	// splitFrom is set on a list that is being split off from a list that is too large. It is the index of the large
	// list, which names the machines of both lists until the new list is stored.
	splitFrom *int
}

// maxListIndex is the largest list index that is accepted. It only rejects keys that no leader can have written.
const maxListIndex = 1 << 20

// ErrInvalidListKey is returned for a stored key that has the prefix of machine lists but no valid list
// index.
var ErrInvalidListKey = errors.New("key has no valid machine list index")

// listEntry returns the entry of a machine in its list.
func listEntry(m *state.Machine) string { return m.ID + " " + m.Instance.Address }

// entryID returns the ID of the machine in an entry.
func entryID(entry string) string {
	id, _, _ := strings.Cut(entry, " ")
	return id
}

// ListKey returns the key under which the list with the given index is stored.
func ListKey(index int) string { return replica.MachineListPrefix + strconv.Itoa(index) }

// parseListKey returns the index of the list that is stored under a key.
func parseListKey(key string) (index int, err error) {
	index, err = strconv.Atoi(strings.TrimPrefix(key, replica.MachineListPrefix))
	if err != nil || index < 0 || index > maxListIndex {
		return 0, fmt.Errorf("parse stored key %q: %w", key, ErrInvalidListKey)
	}
	return index, nil
}

// RestoreLists reads the stored lists of machines to which an earlier term may have assigned tasks.
// RestoreIntents must be called first.
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
		// A leader that ended while it was splitting a list left some machines in two lists.
		if before := len(list.Entries); f.pruneEntries(index) < before {
			f.Writes.EnqueueLowPriority(ListKey(index))
		}
	}
	for index := range f.lists {
		f.splitIfTooLarge(index)
	}
	return nil
}

// markListed records that the machines of a stored list may hold tasks.
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

// pruneEntries removes from a list the machines that are in another list or were terminated, and returns the
// number of remaining entries.
func (f *Fleet) pruneEntries(index int) (remaining int) {
	list := f.lists[index]
	list.Entries = slices.DeleteFunc(list.Entries, func(entry string) bool {
		m := f.Machines[entryID(entry)]
		return m != nil && m.Instance.StoredListIndex != index || f.terminated[entryID(entry)]
	})
	return len(list.Entries)
}

// splitIfTooLarge splits a list that an earlier version stored at a size that the state service no longer accepts. The
// new lists are written first. The old list stays stored unchanged, and names the machines of the new lists until the
// new lists are known to be stored. So every machine is in a stored list at any time, even if a request gets no
// response or another leader takes over.
func (f *Fleet) splitIfTooLarge(index int) {
	entries := f.lists[index].Entries
	for remaining := entries[min(len(entries), f.maxEntriesThatFit(entries)):]; len(remaining) > 0; {
		part := remaining[:f.maxEntriesThatFit(remaining)]
		remaining = remaining[len(part):]
		f.lists = append(f.lists, &MachineList{Entries: slices.Clone(part), splitFrom: &index})
		for _, entry := range part {
			if m := f.Machines[entryID(entry)]; m != nil {
				m.Instance.StoredListIndex = len(f.lists) - 1
			}
		}
		f.Writes.Enqueue(ListKey(len(f.lists) - 1))
	}
}

// maxEntriesThatFit returns how many of the entries fit into one list, and at least one.
func (f *Fleet) maxEntriesThatFit(entries []string) int {
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

// finishSplit removes the machines of a list from the list that it was split from. It is called once the new
// list is stored or empty.
func (f *Fleet) finishSplit(index int) {
	if from := f.lists[index].splitFrom; from != nil {
		f.lists[index].splitFrom = nil
		f.pruneEntries(*from)
		f.Writes.EnqueueLowPriority(ListKey(*from))
	}
}

// RegisterRunning adds a machine that has come up to a machine list and enqueues the write. Once the list is
// stored, the machine may get tasks.
func (f *Fleet) RegisterRunning(m *state.Machine) {
	m.Instance.Running = true
	last := len(f.lists) - 1
	// Leave room for one more entry than is added, because the list may be written together with others.
	if last < 0 || !f.ValueFits(MachineList{Entries: append(f.lists[last].Entries, listEntry(m), listEntry(m))}) {
		f.lists = append(f.lists, &MachineList{})
		last++
	}
	m.Instance.StoredListIndex = last
	f.lists[last].Entries = append(f.lists[last].Entries, listEntry(m))
	f.Writes.Enqueue(ListKey(last))
	f.Writes.Wake()
}

// removeFromList removes a terminated machine from its list.
func (f *Fleet) removeFromList(m *state.Machine) {
	list := f.lists[m.Instance.StoredListIndex]
	list.Entries = slices.DeleteFunc(list.Entries, func(entry string) bool { return entryID(entry) == m.ID })
	f.Writes.EnqueueLowPriority(ListKey(m.Instance.StoredListIndex))
}

// EncodeList fills in the write of a machine list's key, and reports whether there is anything to write.
func (f *Fleet) EncodeList(w persist.Write) (persist.Write, bool) {
	index, err := parseListKey(w.Key)
	if err != nil || index >= len(f.lists) {
		return w, false
	}
	snapshot := slices.Clone(f.lists[index].Entries)
	if len(snapshot) == 0 {
		f.finishSplit(index)
		return w, w.ModRevision != 0 // delete the list if it is stored
	}
	w.Value = MachineList{Entries: snapshot}
	if w.ModRevision != 0 && len(snapshot) > 1 && !f.ValueFits(w.Value) {
		return w, false // the list is being split
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
