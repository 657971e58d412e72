package wire

import (
	"fmt"
	"testing"

	"caperlatch/internal/golden"
)

// encodedTypes are those whose values go to and come from users, workers, the cloud and the state service.
var encodedTypes = []golden.Type{
	golden.Of[Job]("a job"),
	golden.Of[submission]("a submission"),
	golden.Of[JobStatus]("the status of a job"),
	golden.Of[Heartbeat]("a worker's report"),
	golden.Of[TaskStatus]("a task in a report"),
	golden.Of[Command]("an order to a worker"),
	golden.Of[HeartbeatResponse]("the answer to a report"),
	golden.Of[Redirect]("the answer that sends a worker to another node"),
	golden.Of[CommandRequest]("a request to a worker's own address"),
	golden.Of[InstanceType]("a type in the catalog"),
	golden.Of[InstanceTypeList]("the catalog"),
	golden.Of[LaunchRequest]("a request for machines"),
	golden.Of[InstanceIDs]("names of machines"),
	golden.Of[InstanceStatus]("a machine in the cloud's list"),
	golden.Of[InstancePage]("a page of the cloud's list"),
	golden.Of[KeyValue]("a key of the state service"),
	golden.Of[KeyPage]("a page of keys"),
	golden.Of[Compare]("a condition of a transaction"),
	golden.Of[Op]("a change in a transaction"),
	golden.Of[Txn]("a transaction"),
	golden.Of[TxnResponse]("the answer to a transaction"),
	golden.Of[Event]("a change seen by a watch"),
	golden.Of[WatchResponse]("the answer to a watch"),
	golden.Of[SessionRequest]("a request for a hold"),
	golden.Of[SessionResponse]("the answer to it"),
	golden.Of[ErrorResponse]("what was wrong"),
	golden.Of[struct{}]("nothing"),
}

// TestEncoded has them be encoded as they were.
func TestEncoded(t *testing.T) {
	golden.CheckEncoded(t, "encoded.golden", golden.Codec{Encode: Marshal, Decode: Unmarshal}, encodedTypes...)
}

// TestEncodedTags has all their fields be named by tags.
func TestEncodedTags(t *testing.T) { golden.CheckTags(t, "json", encodedTypes...) }

// TestWords has the words of the protocol be what they were, and its limits.
func TestWords(t *testing.T) {
	words := []struct {
		what string
		list any
	}{
		{"priorities", priorities},
		{"the priority of urgent work", PriorityUrgent},
		{"shapes of jobs", []string{KindArray, KindGang, KindService}},
		{"states of jobs", []string{JobPending, JobRunning, JobDone, JobCancelled}},
		{"states of tasks", []string{TaskPullingImage, TaskWaitingForGang, TaskRunning, TaskCheckpointing, TaskExited}},
		{"causes of exits", []string{ExitDone, ExitStopped, ExitError, ExitInsufficientResources, ExitOtherAttemptPresent, ExitJobNotFound, ExitGangTaskLost, ExitGangTimeout}},
		{"orders", []string{VerbStart, VerbStop, VerbClear}},
		{"states of machines", []string{InstanceBooting, InstanceRunning, InstanceFailed}},
		{"type of bodies", ContentType},
		{"limits", []int{MaxBodyBytes, MaxTasks}},
	}
	var sections []golden.Section
	for _, w := range words {
		sections = append(sections, golden.Section{Name: w.what, Text: golden.Values(w.list)})
	}
	golden.Check(t, "words.golden", sections)
}

// TestErrorTexts has what a user is told of a body that is no job be what it was. Errors of
// decoding name the type and fields here, so that these are seen outside.
func TestErrorTexts(t *testing.T) {
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
		var report Heartbeat
		sections = append(sections, golden.Section{Name: c.name + ", for a report", Text: fmt.Sprint(Unmarshal(b, &report))})
	}
	golden.Check(t, "errors.golden", sections)
}
