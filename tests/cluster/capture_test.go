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

// captureDirEnv names the environment variable that makes TestCapture run. Its value is the directory that TestCapture
// writes to.
const captureDirEnv = "CAPTURE_TO"

// captureNodes is the number of nodes of each captured cluster.
const captureNodes = 3

// captureRequestTimeout is the timeout of a request to a machine. A machine that does not respond within it, because it
// hangs, is not captured.
const captureRequestTimeout = 50 * time.Millisecond

// TestCapture captures what this version stores and sends, as test data of later versions; testdata/versions/capture
// runs it. It writes stored.cbor and machines.cbor, which later versions read with oldVersion.readCapture, and
// messages.cbor with an example of each message between nodes. Later versions look up situations and messages by name,
// so the names must not change.
func TestCapture(t *testing.T) {
	directory := os.Getenv(captureDirEnv)
	if directory == "" {
		t.Skip(captureDirEnv + " is not set")
	}
	data := &captureData{stored: map[string]map[string]wire.RawMessage{}, machines: map[string][]wire.Heartbeat{}}
	captures := []func(t *testing.T, data *captureData){captureJobs, captureLargeList, captureGang, captureDividedList, captureZoneLoss}
	for _, capture := range captures {
		synctest.Test(t, func(t *testing.T) { capture(t, data) })
	}
	data.check(t)
	for file, content := range map[string]any{
		"stored.cbor":   data.stored,
		"machines.cbor": data.machines,
		"messages.cbor": capturedMessages(t),
	} {
		if err := os.WriteFile(filepath.Join(directory, file), encode(t, content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// encode returns the encoding in which a message is sent or a value is stored.
func encode(t *testing.T, value any) wire.RawMessage {
	t.Helper()
	b, err := wire.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// add captures the current state of a cluster, under the name of the situation that the cluster is in.
func (data *captureData) add(c *cluster, situation string) {
	c.t.Helper()
	data.stored[situation] = map[string]wire.RawMessage{}
	for _, entry := range c.state.Entries(replica.Prefix) {
		data.stored[situation][entry.Key] = entry.Value
	}
	data.machines[situation] = c.machineHeartbeats()
}

// machineHeartbeats returns a heartbeat of each machine that does not hang. It sends commands with too low a fencing
// token, to which a machine responds with 409 and its heartbeat.
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

// check checks that values of every kind of key are stored in each situation, and that all situations in
// wantGangStarts, which TestFailoverFromOldVersions looks up, were captured.
func (data *captureData) check(t *testing.T) {
	kinds := []string{replica.TokenKey, replica.InstanceTypesKey, replica.AutoscalerKey, replica.JobPrefix, replica.ProgressPrefix,
		replica.LaunchIntentPrefix, replica.MachineListPrefix}
	for situation, stored := range data.stored {
		var counts []string
		for _, kind := range kinds {
			count := 0
			for key := range stored {
				if strings.HasPrefix(key, kind) {
					count++
				}
			}
			if count == 0 {
				t.Errorf("%s: no value is stored under %s", situation, kind)
			}
			counts = append(counts, fmt.Sprint(kind, " ", count))
		}
		t.Log(situation, counts, "machines", len(data.machines[situation]))
	}
	for situation := range wantGangStarts {
		if data.stored[situation] == nil {
			t.Errorf("the situation %q was not captured", situation)
		}
	}
}

// unansweredIntents returns the number of launch intents stored in a situation to which the cloud has not responded.
func (data *captureData) unansweredIntents(t *testing.T, situation string) (count int) {
	t.Helper()
	for key, value := range data.stored[situation] {
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
