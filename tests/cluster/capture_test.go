package cluster

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/replica"
	"caperlatch/internal/wire"
)

// captureVariable has TestCapture run, and is the directory that it writes to.
const captureVariable = "CAPTURE_TO"

// captureNodes is the size of the clusters that are captured.
const captureNodes = 3

// captureRequestTimeout bounds a request to a machine: one that hangs is left out.
const captureRequestTimeout = 50 * time.Millisecond

// TestCapture captures what this version stores and sends, as test data of later versions (testdata/versions/capture
// runs it): stored.cbor and machines.cbor, which are read as captured, and messages.cbor, one of each message between
// nodes. Later versions look situations and messages up by their names, which therefore do not change.
func TestCapture(t *testing.T) {
	directory := os.Getenv(captureVariable)
	if directory == "" {
		t.Skip(captureVariable + " is not set")
	}
	all := &captured{stored: map[string]map[string]wire.RawMessage{}, machines: map[string][]wire.Heartbeat{}}
	captures := []func(t *testing.T, all *captured){captureJobs, captureLargeList, captureGang, captureDividedList, captureZoneLoss}
	for _, capture := range captures {
		synctest.Test(t, func(t *testing.T) { capture(t, all) })
	}
	all.check(t)
	for file, content := range map[string]any{
		"stored.cbor":   all.stored,
		"machines.cbor": all.machines,
		"messages.cbor": capturedMessages(t),
	} {
		if err := os.WriteFile(filepath.Join(directory, file), encode(t, content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// encode returns a message or value as it is sent and stored.
func encode(t *testing.T, value any) wire.RawMessage {
	t.Helper()
	b, err := wire.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// add captures the situation that a cluster is in.
func (all *captured) add(c *cluster, situation string) {
	c.t.Helper()
	all.stored[situation] = map[string]wire.RawMessage{}
	for _, entry := range c.state.Entries(replica.Prefix) {
		all.stored[situation][entry.Key] = entry.Value
	}
	all.machines[situation] = c.machineHeartbeats()
}

// machineHeartbeats returns a heartbeat of each machine that does not hang. A machine answers with it to commands whose
// fencing token is too low.
func (c *cluster) machineHeartbeats() (heartbeats []wire.Heartbeat) {
	c.t.Helper()
	for _, worker := range c.cloud.Workers() {
		ctx, cancel := context.WithTimeout(c.t.Context(), captureRequestTimeout)
		code, body, err := wire.Call(ctx, c.userClient, http.MethodPost, "http://"+worker.ID+":9000/commands", wire.CommandRequest{})
		cancel()
		if err != nil || code != http.StatusConflict {
			continue
		}
		var heartbeat wire.Heartbeat
		c.must(wire.Unmarshal(body, &heartbeat))
		heartbeats = append(heartbeats, heartbeat)
	}
	return heartbeats
}

// check checks that in each situation something is stored under each kind of key, and that all situations of gangs that
// TestFailoverFromOldVersions knows were captured.
func (all *captured) check(t *testing.T) {
	kinds := []string{replica.TokenKey, replica.InstanceTypesKey, replica.AutoscalerKey, replica.JobPrefix, replica.ProgressPrefix,
		replica.LaunchIntentPrefix, replica.MachineListPrefix}
	for situation, stored := range all.stored {
		var counts []string
		for _, kind := range kinds {
			count := 0
			for key := range stored {
				if strings.HasPrefix(key, kind) {
					count++
				}
			}
			if count == 0 {
				t.Errorf("%s: nothing is stored under %s", situation, kind)
			}
			counts = append(counts, fmt.Sprint(kind, " ", count))
		}
		t.Log(situation, counts, "machines", len(all.machines[situation]))
	}
	for situation := range wantGangStarts {
		if all.stored[situation] == nil {
			t.Errorf("%s: not captured", situation)
		}
	}
}

// unansweredIntents counts the stored launch intents to which the cloud has not responded.
func (all *captured) unansweredIntents(t *testing.T, situation string) (count int) {
	t.Helper()
	for key, value := range all.stored[situation] {
		if !strings.HasPrefix(key, replica.LaunchIntentPrefix) {
			continue
		}
		var intent fleet.LaunchIntent
		if err := wire.Unmarshal(value, &intent); err != nil {
			t.Fatalf("%s: %v", key, err)
		}
		if !intent.Answered {
			count++
		}
	}
	return count
}
