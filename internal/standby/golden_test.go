package standby

import (
	"encoding/hex"
	"reflect"
	"strings"
	"testing"

	"caperlatch/internal/golden"
	"caperlatch/internal/wire"
)

// encodedTypes lists the types whose values a leader and its followers send each other or show to operators.
var encodedTypes = []golden.Type{
	golden.TypeOf[Query]("a query"),
	golden.TypeOf[Page]("a page"),
	golden.TypeOf[Entry]("an entry, of all kinds at once"),
	golden.TypeOf[TaskAssigned]("a task is placed"),
	golden.TypeOf[TaskRemoved]("a task has left"),
	golden.TypeOf[MachineObserved]("a machine is observed"),
	golden.TypeOf[MachineTerminating]("a machine is being returned"),
	golden.TypeOf[MachineTerminated]("a machine is gone"),
	golden.TypeOf[EstimateUpdated]("an estimate"),
	golden.TypeOf[Handover]("a handover"),
	golden.TypeOf[TaskState]("a task as it stands"),
	golden.TypeOf[MachineState]("a machine as it stands"),
	golden.TypeOf[SnapshotPage]("a page of a snapshot"),
	golden.TypeOf[MachineRecord]("a machine in a snapshot"),
	golden.TypeOf[TaskRecord]("a task in a snapshot"),
	golden.TypeOf[FollowerState]("a follower"),
	golden.TypeOf[Progress]("how far a follower is"),
	golden.TypeOf[Evidence]("what a take-over rests on"),
	golden.TypeOf[PhaseTime]("a phase of a take-over"),
	golden.TypeOf[FailoverRecord]("a take-over"),
}

// TestEncoded guards against changes of the encoding of these types, which nodes of other versions read.
func TestEncoded(t *testing.T) {
	golden.CheckEncoded(t, "encoded.golden", golden.Codec{Encode: wire.Marshal, Decode: wire.Unmarshal}, encodedTypes...)
}

// TestEncodedTags checks that a tag names each field of these types, so that renaming a field in Go does not change
// the encoding.
func TestEncodedTags(t *testing.T) { golden.CheckTags(t, "json", encodedTypes...) }

// TestEntries compares the encoding of an entry of each kind with the golden file, and checks that Entry.check accepts
// the entry.
func TestEntries(t *testing.T) {
	entries := reflect.TypeFor[Entry]()
	var sections []golden.Section
	for i := range entries.NumField() {
		e, all := reflect.New(entries).Elem(), golden.Filled(entries)
		e.Field(i).Set(all.Field(i))
		name, _, _ := strings.Cut(entries.Field(i).Tag.Get("json"), ",")
		b, err := wire.Marshal(e.Interface())
		if err != nil {
			t.Fatalf("encoding an entry of kind %q failed: %v", name, err)
		}
		entry := e.Interface().(Entry)
		if err := entry.check(); err != nil {
			t.Errorf("check() of an entry of kind %q = %v, want nil", name, err)
		}
		sections = append(sections, golden.Section{Name: name, Text: hex.EncodeToString(b)})
	}
	golden.Check(t, "entries.golden", sections)
}
