// Package wire holds the messages of the protocol and its limits. The odd
// names of the wire stand in the tags here and nowhere else.
//
// It owns the encoding, the size limits of bodies, and which job descriptions are well
// formed. It does not know whether a job can run: that depends on the catalog and the
// teams (internal/api).
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// MaxBody is the most that a request or response body may measure as JSON.
const MaxBody = 64 << 10

// ContentType labels every body.
const ContentType = "application/cbor"

// Limits of decoding, well above what any message of the protocol or between nodes needs.
const (
	maxNestedLevels  = 16
	maxArrayElements = 1 << 18
	maxMapPairs      = 1 << 16
)

var (
	decoder = must(cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		// Maps in an untyped value must have a type that JSON knows: with the library's own,
		// every larger body that held a list of maps, as a machine's report of 200 tasks
		// does, measured as infinite.
		DefaultMapType: reflect.TypeFor[map[string]any](),
	}.DecMode())
	encoder = must(cbor.EncOptions{}.EncMode())
)

// must is the mode, which can only fail by a mistake in its options.
func must[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

// Raw is a value that has not been decoded yet.
type Raw = cbor.RawMessage

// Marshal encodes a body or a stored value.
func Marshal(v any) ([]byte, error) { return encoder.Marshal(v) }

// Unmarshal decodes a whole body; unknown fields are ignored, a body that is
// no map is an error when v is a struct.
func Unmarshal(b []byte, v any) error { return decoder.Unmarshal(b, v) }

// NewEncoder writes a stream of values to w.
func NewEncoder(w io.Writer) *cbor.Encoder { return encoder.NewEncoder(w) }

// NewDecoder reads a stream of values from r.
func NewDecoder(r io.Reader) *cbor.Decoder { return decoder.NewDecoder(r) }

// JSONSize is what v measures under the protocol's limits.
func JSONSize(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		return MaxBody + 1
	}
	return len(b)
}

// ErrTooLarge says that a body is over MaxBody.
var ErrTooLarge = errors.New("body over the limit")

// maxJSONPerByte is how many JSON characters a CBOR byte can stand for. Only bodies that may
// be too large by it need to be measured.
const maxJSONPerByte = 6

// ReadBody reads at most MaxBody bytes and checks what they measure as JSON.
func ReadBody(r io.Reader) ([]byte, error) {
	var buf bytes.Buffer
	if _, err := io.Copy(&buf, io.LimitReader(r, MaxBody+1)); err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if buf.Len() > MaxBody {
		return nil, ErrTooLarge
	}
	if buf.Len() > MaxBody/maxJSONPerByte {
		var v map[string]any
		if err := Unmarshal(buf.Bytes(), &v); err == nil && JSONSize(v) > MaxBody {
			return nil, ErrTooLarge
		}
	}
	return buf.Bytes(), nil
}

// Priorities on the wire, lowest first.
var priorities = []string{"idle", "normal", PriorityUrgent, "prod"}

// PriorityUrgent is the lowest priority of urgent work.
const PriorityUrgent = "urgent"

// PriorityRank orders priorities; it is -1 for an unknown name.
func PriorityRank(name string) int {
	for i, p := range priorities {
		if p == name {
			return i
		}
	}
	return -1
}

// Shapes of jobs: independent tasks; tasks that run at the same time or not at all;
// tasks that run until the job is cancelled. The protocol tells of the first two
// alone; see docs/questions.md.
const (
	ShapeArray   = "sweep"
	ShapeGang    = "gang"
	ShapeService = "service"
)

// Job states as users see them.
const (
	JobPending   = "pending"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "withdrawn"
)

// JobStatus answers submissions, polls and cancellations.
type JobStatus struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

// Task states in reports. A gang's task waits when it has its image and others of its
// attempt do not. One that loses its gang or is being stopped with it is still called
// running until it exits.
const (
	TaskFetching = "pulling"
	TaskWaiting  = "waiting"
	TaskRunning  = "running"
	TaskSaving   = "flushing"
	TaskExited   = "ended"
)

// Causes of an exit.
const (
	CauseDone    = "done"
	CauseStopped = "stopped"
	CauseError   = "error"
	CauseNoRoom  = "no_room"
	CauseBusy    = "busy"
	CauseNoSuch  = "no_such"
	// Of a gang's tasks: another one is gone; not all were there within gang_wait_s.
	CausePeers      = "peers"
	CauseIncomplete = "incomplete"
)

// KnownState tells whether a task's state is one of the protocol's.
func KnownState(state string) bool {
	return slices.Contains([]string{TaskFetching, TaskWaiting, TaskRunning, TaskSaving, TaskExited}, state)
}

// KnownCause tells whether the cause of an exit is one of the protocol's.
func KnownCause(cause string) bool {
	return slices.Contains([]string{CauseDone, CauseStopped, CauseError, CauseNoRoom, CauseBusy, CauseNoSuch, CausePeers, CauseIncomplete}, cause)
}

// Report is what a worker tells of itself.
type Report struct {
	Machine string       `json:"host"`
	Address string       `json:"address"`
	Type    string       `json:"build"`
	Zone    string       `json:"hall"`
	Spot    bool         `json:"standby"`
	Session uint64       `json:"shift"`
	Seq     uint64       `json:"tick"`
	Token   uint64       `json:"baton"`
	NoticeS *float64     `json:"recall_s"`
	Tasks   []ReportTask `json:"pieces"`
}

// ReportTask is one task in a report.
type ReportTask struct {
	Task    string `json:"piece"`
	Attempt uint64 `json:"try"`
	State   string `json:"status"`
	Cause   string `json:"cause,omitempty"`
	Saved   bool   `json:"stored,omitempty"`
}

// Verbs of commands.
const (
	VerbStart = "start"
	VerbStop  = "stop"
	VerbClear = "clear"
)

// Command is one order to a worker.
type Command struct {
	Verb    string   `json:"verb"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"leeway_s,omitempty"`
}

// ReportAnswer is the answer to a report.
type ReportAnswer struct {
	Token    uint64    `json:"baton"`
	Commands []Command `json:"orders"`
}

// Redirect sends a worker to another node.
type Redirect struct {
	ReportTo string `json:"reports_to,omitempty"`
}

// DirectCommands is the body of a request to a worker's own address.
type DirectCommands struct {
	Token    uint64    `json:"baton"`
	Session  uint64    `json:"shift"`
	Commands []Command `json:"orders"`
}

// MachineType is an entry of the catalog.
type MachineType struct {
	Name        string   `json:"name"`
	CPUs        float64  `json:"vcpus"`
	GPUs        float64  `json:"cards"`
	MemoryGB    float64  `json:"memory_gb"`
	CacheGB     float64  `json:"local_gb"`
	FetchGBPerS float64  `json:"fetch_gb_per_s"`
	Price       float64  `json:"price"`
	SpotPrice   float64  `json:"low_price"`
	BootS       float64  `json:"startup_s"`
	Zones       []string `json:"halls"`
}

// Catalog is what the cloud offers.
type Catalog struct {
	Types []MachineType `json:"builds"`
}

// Rental asks the cloud for machines.
type Rental struct {
	Request string `json:"booking"`
	Type    string `json:"build"`
	Zone    string `json:"hall"`
	Spot    bool   `json:"standby"`
	Count   int    `json:"how_many"`
}

// Names lists machines by name.
type Names struct {
	Machines []string `json:"hosts"`
}

// Machine states in the cloud's list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// ListedMachine is an entry of the cloud's list.
type ListedMachine struct {
	ID      string  `json:"id"`
	Address string  `json:"address"`
	Type    string  `json:"build"`
	Zone    string  `json:"hall"`
	Spot    bool    `json:"standby"`
	State   string  `json:"status"`
	AgeS    float64 `json:"age_s"`
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `json:"hosts"`
	More     bool            `json:"has_next"`
}

// Entry is a key of the state service.
type Entry struct {
	Key   string `json:"key"`
	Value Raw    `json:"data"`
	Stamp uint64 `json:"stamp"`
	Hold  uint64 `json:"permit,omitempty"`
}

// EntryPage is a page of keys.
type EntryPage struct {
	Entries  []Entry `json:"entries"`
	More     bool    `json:"has_next"`
	Revision uint64  `json:"ledger"`
}

// Condition asks that a key has a version; 0 stands for no such key.
type Condition struct {
	Key   string `json:"key"`
	Stamp uint64 `json:"stamp"`
}

// Op is one change in a transaction: a write or a removal.
type Op struct {
	Write  string `json:"write,omitempty"`
	Value  any    `json:"data,omitempty"`
	Hold   uint64 `json:"permit,omitempty"`
	Remove string `json:"remove,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	If   []Condition `json:"when"`
	Then []Op        `json:"then"`
}

// TxnAnswer answers a transaction.
type TxnAnswer struct {
	Revision uint64   `json:"ledger"`
	Failed   []string `json:"failed,omitempty"`
}

// Event is one change seen by a watch.
type Event struct {
	Write  string `json:"write,omitempty"`
	Remove string `json:"remove,omitempty"`
	Value  Raw    `json:"data,omitempty"`
	Stamp  uint64 `json:"stamp"`
}

// Events answers a watch.
type Events struct {
	Revision uint64  `json:"ledger"`
	Events   []Event `json:"events"`
}

// HoldRequest asks for a hold: a session, in the words of the state service, whose keys are
// removed when it ends.
type HoldRequest struct {
	LifeMS int64 `json:"life_ms"`
}

// HoldAnswer names the granted hold.
type HoldAnswer struct {
	Hold uint64 `json:"permit"`
}

// ErrorBody says what was wrong.
type ErrorBody struct {
	Error string `json:"error"`
}
