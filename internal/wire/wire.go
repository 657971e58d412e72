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

// MaxBodyBytes is the most that a request or response body may measure as JSON.
const MaxBodyBytes = 64 << 10

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
		return MaxBodyBytes + 1
	}
	return len(b)
}

// ErrBodyTooLarge says that a body is over MaxBodyBytes.
var ErrBodyTooLarge = errors.New("body over the limit")

// maxJSONPerByte is how many JSON characters a CBOR byte can stand for. Only bodies that may
// be too large by it need to be measured.
const maxJSONPerByte = 6

// ReadBody reads at most MaxBodyBytes bytes and checks what they measure as JSON.
func ReadBody(r io.Reader) ([]byte, error) {
	var buf bytes.Buffer
	if _, err := io.Copy(&buf, io.LimitReader(r, MaxBodyBytes+1)); err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if buf.Len() > MaxBodyBytes {
		return nil, ErrBodyTooLarge
	}
	if buf.Len() > MaxBodyBytes/maxJSONPerByte {
		var v map[string]any
		if err := Unmarshal(buf.Bytes(), &v); err == nil && JSONSize(v) > MaxBodyBytes {
			return nil, ErrBodyTooLarge
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
	KindArray   = "sweep"
	KindGang    = "gang"
	KindService = "service"
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
	State   string `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

// Task states in reports. A gang's task waits when it has its image and others of its
// attempt do not. One that loses its gang or is being stopped with it is still called
// running until it exits.
const (
	TaskPullingImage   = "pulling"
	TaskWaitingForGang = "waiting"
	TaskRunning        = "running"
	TaskCheckpointing  = "flushing"
	TaskExited         = "ended"
)

// Causes of an exit.
const (
	ExitDone                  = "done"
	ExitStopped               = "stopped"
	ExitError                 = "error"
	ExitInsufficientResources = "no_room"
	ExitOtherAttemptPresent   = "busy"
	ExitJobNotFound           = "no_such"
	// Of a gang's tasks: another one is gone; not all were there within gang_wait_s.
	ExitGangTaskLost = "peers"
	ExitGangTimeout  = "incomplete"
)

// IsKnownTaskState tells whether a task's state is one of the protocol's.
func IsKnownTaskState(state string) bool {
	return slices.Contains([]string{TaskPullingImage, TaskWaitingForGang, TaskRunning, TaskCheckpointing, TaskExited}, state)
}

// IsKnownExitReason tells whether the cause of an exit is one of the protocol's.
func IsKnownExitReason(cause string) bool {
	return slices.Contains([]string{ExitDone, ExitStopped, ExitError, ExitInsufficientResources, ExitOtherAttemptPresent, ExitJobNotFound, ExitGangTaskLost, ExitGangTimeout}, cause)
}

// Heartbeat is what a worker tells of itself.
type Heartbeat struct {
	MachineID           string       `json:"host"`
	Address             string       `json:"address"`
	InstanceType        string       `json:"build"`
	Zone                string       `json:"hall"`
	Spot                bool         `json:"standby"`
	Incarnation         uint64       `json:"shift"`
	Sequence            uint64       `json:"tick"`
	FencingToken        uint64       `json:"baton"`
	InterruptionNoticeS *float64     `json:"recall_s"`
	Tasks               []TaskStatus `json:"pieces"`
}

// TaskStatus is one task in a report.
type TaskStatus struct {
	TaskID       string `json:"piece"`
	Attempt      uint64 `json:"try"`
	State        string `json:"status"`
	ExitReason   string `json:"cause,omitempty"`
	Checkpointed bool   `json:"stored,omitempty"`
}

// Verbs of commands.
const (
	VerbStart = "start"
	VerbStop  = "stop"
	VerbClear = "clear"
)

// Command is one order to a worker.
type Command struct {
	Verb         string   `json:"verb"`
	TaskID       string   `json:"piece"`
	Attempt      uint64   `json:"try"`
	GracePeriodS *float64 `json:"leeway_s,omitempty"`
}

// HeartbeatResponse is the answer to a report.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// Redirect sends a worker to another node.
type Redirect struct {
	Member string `json:"reports_to,omitempty"`
}

// CommandRequest is the body of a request to a worker's own address.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}

// InstanceType is an entry of the catalog.
type InstanceType struct {
	Name            string   `json:"name"`
	CPUs            float64  `json:"vcpus"`
	GPUs            float64  `json:"cards"`
	MemoryGB        float64  `json:"memory_gb"`
	ImageCacheGB    float64  `json:"local_gb"`
	ImagePullGBPerS float64  `json:"fetch_gb_per_s"`
	OnDemandPrice   float64  `json:"price"`
	SpotPrice       float64  `json:"low_price"`
	BootTimeS       float64  `json:"startup_s"`
	Zones           []string `json:"halls"`
}

// InstanceTypeList is what the cloud offers.
type InstanceTypeList struct {
	Types []InstanceType `json:"builds"`
}

// LaunchRequest asks the cloud for machines.
type LaunchRequest struct {
	RequestID    string `json:"booking"`
	InstanceType string `json:"build"`
	Zone         string `json:"hall"`
	Spot         bool   `json:"standby"`
	Count        int    `json:"how_many"`
}

// InstanceIDs lists machines by name.
type InstanceIDs struct {
	IDs []string `json:"hosts"`
}

// Machine states in the cloud's list.
const (
	InstanceBooting = "booting"
	InstanceRunning = "running"
	InstanceFailed  = "failed"
)

// InstanceStatus is an entry of the cloud's list.
type InstanceStatus struct {
	ID           string  `json:"id"`
	Address      string  `json:"address"`
	InstanceType string  `json:"build"`
	Zone         string  `json:"hall"`
	Spot         bool    `json:"standby"`
	State        string  `json:"status"`
	AgeS         float64 `json:"age_s"`
}

// InstancePage is a page of the cloud's list.
type InstancePage struct {
	Instances []InstanceStatus `json:"hosts"`
	HasMore   bool             `json:"has_next"`
}

// KeyValue is a key of the state service.
type KeyValue struct {
	Key         string `json:"key"`
	Value       Raw    `json:"data"`
	ModRevision uint64 `json:"stamp"`
	SessionID   uint64 `json:"permit,omitempty"`
}

// KeyPage is a page of keys.
type KeyPage struct {
	Entries  []KeyValue `json:"entries"`
	HasMore  bool       `json:"has_next"`
	Revision uint64     `json:"ledger"`
}

// Compare asks that a key has a version; 0 stands for no such key.
type Compare struct {
	Key         string `json:"key"`
	ModRevision uint64 `json:"stamp"`
}

// Op is one change in a transaction: a write or a removal.
type Op struct {
	Put       string `json:"write,omitempty"`
	Value     any    `json:"data,omitempty"`
	SessionID uint64 `json:"permit,omitempty"`
	Delete    string `json:"remove,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	If   []Compare `json:"when"`
	Then []Op      `json:"then"`
}

// TxnResponse answers a transaction.
type TxnResponse struct {
	Revision   uint64   `json:"ledger"`
	FailedKeys []string `json:"failed,omitempty"`
}

// Event is one change seen by a watch.
type Event struct {
	Put         string `json:"write,omitempty"`
	Delete      string `json:"remove,omitempty"`
	Value       Raw    `json:"data,omitempty"`
	ModRevision uint64 `json:"stamp"`
}

// WatchResponse answers a watch.
type WatchResponse struct {
	Revision uint64  `json:"ledger"`
	Events   []Event `json:"events"`
}

// SessionRequest asks for a hold: a session, in the words of the state service, whose keys are
// removed when it ends.
type SessionRequest struct {
	TTLMS int64 `json:"life_ms"`
}

// SessionResponse names the granted hold.
type SessionResponse struct {
	SessionID uint64 `json:"permit"`
}

// ErrorResponse says what was wrong.
type ErrorResponse struct {
	Message string `json:"error"`
}
