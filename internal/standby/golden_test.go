package standby

import (
	"encoding/hex"
	"reflect"
	"strings"
	"testing"

	"caperlatch/internal/golden"
	"caperlatch/internal/wire"
)

// encodedTypes are those whose values a leader and its followers tell each other, or tell of themselves.
var encodedTypes = []golden.Type{
	golden.Of[Query]("a query"),
	golden.Of[Page]("a page"),
	golden.Of[Entry]("an entry, of all kinds at once"),
	golden.Of[TaskAssigned]("a task is placed"),
	golden.Of[TaskRemoved]("a task has left"),
	golden.Of[MachineObserved]("a machine is observed"),
	golden.Of[MachineTerminating]("a machine is being returned"),
	golden.Of[MachineTerminated]("a machine is gone"),
	golden.Of[EstimateUpdated]("an estimate"),
	golden.Of[Handover]("a handover"),
	golden.Of[TaskState]("a task as it stands"),
	golden.Of[MachineState]("a machine as it stands"),
	golden.Of[SnapshotPage]("a page of a snapshot"),
	golden.Of[MachineRecord]("a machine in a snapshot"),
	golden.Of[TaskRecord]("a task in a snapshot"),
	golden.Of[FollowerState]("a follower"),
	golden.Of[Progress]("how far a follower is"),
	golden.Of[Evidence]("what a take-over rests on"),
	golden.Of[PhaseTime]("a phase of a take-over"),
	golden.Of[FailoverRecord]("a take-over"),
}

// TestEncoded has them be encoded as they were.
func TestEncoded(t *testing.T) {
	golden.CheckEncoded(t, "encoded.golden", golden.Codec{Encode: wire.Marshal, Decode: wire.Unmarshal}, encodedTypes...)
}

// TestEncodedTags has all their fields be named by tags.
func TestEncodedTags(t *testing.T) { golden.CheckTags(t, "json", encodedTypes...) }

// TestEntries has an entry of each kind be encoded as it was.
func TestEntries(t *testing.T) {
	entries := reflect.TypeFor[Entry]()
	var sections []golden.Section
	for i := range entries.NumField() {
		e, all := reflect.New(entries).Elem(), golden.Filled(entries)
		e.Field(i).Set(all.Field(i))
		name, _, _ := strings.Cut(entries.Field(i).Tag.Get("json"), ",")
		b, err := wire.Marshal(e.Interface())
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		entry := e.Interface().(Entry)
		if err := entry.check(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		sections = append(sections, golden.Section{Name: name, Text: hex.EncodeToString(b)})
	}
	golden.Check(t, "entries.golden", sections)
}
