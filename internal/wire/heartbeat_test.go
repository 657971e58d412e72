package wire

import (
	"fmt"
	"math"
	"testing"
)

// TestKnownStatesAndExitReasons checks that exactly the protocol's task states and exit reasons are recognized.
func TestKnownStatesAndExitReasons(t *testing.T) {
	cases := []struct {
		word          string
		state, reason bool
	}{
		{"pulling", true, false}, {"waiting", true, false}, {"running", true, false}, {"flushing", true, false}, {"ended", true, false},
		{"done", false, true}, {"stopped", false, true}, {"error", false, true}, {"no_room", false, true}, {"busy", false, true},
		{"no_such", false, true}, {"peers", false, true}, {"incomplete", false, true},
		{"", false, false}, {"Waiting", false, false}, {"unknown", false, false},
	}
	for _, c := range cases {
		if state, reason := IsKnownTaskState(c.word), IsKnownExitReason(c.word); state != c.state || reason != c.reason {
			t.Errorf("%q: known as a task state: %t, as an exit reason: %t; want %t and %t", c.word, state, reason, c.state, c.reason)
		}
	}
}

// TestHeartbeatOfFullMachine guards against a machine that holds more tasks than its heartbeat can list: its worker is
// refused by every node, its lease expires, and all its tasks are lost.
func TestHeartbeatOfFullMachine(t *testing.T) {
	notice := math.Pi
	h := Heartbeat{
		MachineID:           "i-0123456789012345678",
		Address:             "255.255.255.255:65535",
		InstanceType:        "an-instance-type-with-quite-a-long-name",
		Zone:                "a-zone-with-quite-a-long-name",
		Incarnation:         math.MaxUint64,
		Sequence:            math.MaxUint64,
		FencingToken:        math.MaxUint64,
		InterruptionNoticeS: &notice,
	}
	for i := range MaxTasksPerMachine {
		h.Tasks = append(h.Tasks, TaskStatus{
			TaskID:       fmt.Sprintf("j-0123456789012345678/%d", MaxTasks-1-i),
			Attempt:      math.MaxUint64,
			State:        TaskExited,
			ExitReason:   ExitGangTimeout,
			Checkpointed: true,
		})
	}
	if size := JSONSize(h); size > MaxBodyBytes {
		t.Errorf("heartbeat of %d tasks: %d bytes, want at most %d", len(h.Tasks), size, MaxBodyBytes)
	}
}

// TestParseHeartbeat guards against a heartbeat that is handled though it does not tell its machine or its incarnation,
// for example because these are in fields of other names.
func TestParseHeartbeat(t *testing.T) {
	for _, c := range []struct {
		name string
		body any
		ok   bool
	}{
		{"complete", map[string]any{"host": "i-000001", "shift": 1, "tick": 0, "pieces": []any{}}, true},
		{"with unknown fields of similar names", map[string]any{"host": "i-000001", "shift": 1, "Host": 7, "SHIFT": "x", "Pieces": 3}, true},
		{"without its machine", map[string]any{"Host": "i-000001", "shift": 1}, false},
		{"without its incarnation", map[string]any{"host": "i-000001", "Shift": 1}, false},
		{"null", nil, false},
		{"not a map", []int{1}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if h, err := ParseHeartbeat(marshal(t, c.body)); (err == nil) != c.ok || c.ok && h.MachineID != "i-000001" {
				t.Errorf("got %+v, error %v, want an error: %v", h, err, !c.ok)
			}
		})
	}
}
