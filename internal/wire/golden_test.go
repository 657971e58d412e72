package wire

import (
	"fmt"
	"testing"

	"caperlatch/internal/golden"
)

// encodedTypes are the types that are exchanged with users, workers, the cloud and the state service. The strings are
// section names in the golden files and must not change.
var encodedTypes = []golden.Type{
	golden.TypeOf[Job]("a job"),
	golden.TypeOf[submission]("a submission"),
	golden.TypeOf[JobStatus]("the status of a job"),
	golden.TypeOf[Heartbeat]("a worker's report"),
	golden.TypeOf[TaskStatus]("a task in a report"),
	golden.TypeOf[Command]("an order to a worker"),
	golden.TypeOf[HeartbeatResponse]("the answer to a report"),
	golden.TypeOf[Redirect]("the answer that sends a worker to another node"),
	golden.TypeOf[CommandRequest]("a request to a worker's own address"),
	golden.TypeOf[InstanceType]("a type in the catalog"),
	golden.TypeOf[InstanceTypeList]("the catalog"),
	golden.TypeOf[LaunchRequest]("a request for machines"),
	golden.TypeOf[InstanceIDs]("names of machines"),
	golden.TypeOf[InstanceStatus]("a machine in the cloud's list"),
	golden.TypeOf[InstancePage]("a page of the cloud's list"),
	golden.TypeOf[KeyValue]("a key of the state service"),
	golden.TypeOf[KeyPage]("a page of keys"),
	golden.TypeOf[Compare]("a condition of a transaction"),
	golden.TypeOf[Op]("a change in a transaction"),
	golden.TypeOf[Txn]("a transaction"),
	golden.TypeOf[TxnResponse]("the answer to a transaction"),
	golden.TypeOf[Event]("a change seen by a watch"),
	golden.TypeOf[WatchResponse]("the answer to a watch"),
	golden.TypeOf[SessionRequest]("a request for a hold"),
	golden.TypeOf[SessionResponse]("the answer to it"),
	golden.TypeOf[ErrorResponse]("what was wrong"),
	golden.TypeOf[struct{}]("nothing"),
}

// TestEncoding checks that the encoding of all messages matches the golden file.
func TestEncoding(t *testing.T) {
	golden.CheckEncoded(t, "encoded.golden", golden.Codec{Encode: Marshal, Decode: Unmarshal}, encodedTypes...)
}

// TestEncodingTags checks that every encoded field has a tag.
func TestEncodingTags(t *testing.T) { golden.CheckTags(t, "json", encodedTypes...) }

// TestConstants checks that the string constants and limits of the protocol match the golden file.
func TestConstants(t *testing.T) {
	constants := []struct {
		section string
		values  any
	}{
		{"priorities", priorities},
		{"the priority of urgent work", PriorityUrgent},
		{"shapes of jobs", []JobKind{KindArray, KindGang, KindService}},
		{"states of jobs", []string{JobPending, JobRunning, JobDone, JobCancelled}},
		{"states of tasks", []string{TaskPullingImage, TaskWaitingForGang, TaskRunning, TaskCheckpointing, TaskExited}},
		{"causes of exits", []string{ExitDone, ExitStopped, ExitError, ExitInsufficientResources, ExitOtherAttemptPresent, ExitJobNotFound, ExitGangTaskLost, ExitGangTimeout}},
		{"orders", []Verb{VerbStart, VerbStop, VerbClear}},
		{"states of machines", []InstanceState{InstanceBooting, InstanceRunning, InstanceFailed}},
		{"type of bodies", ContentType},
		{"limits", []int{MaxBodyBytes, MaxTasks}},
	}
	var sections []golden.Section
	for _, c := range constants {
		sections = append(sections, golden.Section{Name: c.section, Text: golden.FormatValues(c.values)})
	}
	golden.Check(t, "words.golden", sections)
}

// TestDecodingErrors checks the error texts for invalid submissions and heartbeats. These texts are sent to users and
// workers, and contain the names of Go types and fields, which therefore must not change.
func TestDecodingErrors(t *testing.T) {
	var sections []golden.Section
	for _, c := range []struct {
		name string
		body any
	}{
		{"no text", map[string]any{"lane": 3}},
		{"no number", map[string]any{"pieces": "x"}},
		{"no list of texts", map[string]any{"builds": []int{1}}},
		{"a list", []int{1}},
		{"a number", 7},
		{"nothing said", nil},
	} {
		b, err := Marshal(c.body)
		if err != nil {
			t.Fatal(err)
		}
		_, err = ParseJob(b)
		sections = append(sections, golden.Section{Name: c.name, Text: fmt.Sprint(err)})
		var heartbeat Heartbeat
		sections = append(sections, golden.Section{Name: c.name + ", for a report", Text: fmt.Sprint(Unmarshal(b, &heartbeat))})
	}
	golden.Check(t, "errors.golden", sections)
}
