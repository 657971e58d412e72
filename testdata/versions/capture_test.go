package caperlatch

// This file is not of the package that it stands beside: ./capture runs it among the
// sources of an earlier version, and must therefore use what all of these have.

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

	"caperlatch/internal/leader"
	"caperlatch/internal/micros"
	"caperlatch/internal/peer"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/standin"
	"caperlatch/internal/wire"
)

// capturedNodes is of how many nodes the captured clusters are.
const capturedNodes = 3

// captures are the lives of clusters that moments are taken of. Those that only one
// version can live are added in a file of its own.
var captures = []func(t *testing.T, m moments){capture, captureLargeList}

// addMessages adds what only one version says, likewise.
var addMessages = func(t *testing.T, said map[string]wire.Raw) {}

// moments is what was there at some moments of clusters' lives, by their names.
type moments struct {
	stored   map[string]map[string]wire.Raw // what the state service holds, by key
	machines map[string][]wire.Raw          // a report of each machine that does not hang
}

// take adds a moment.
func (m moments) take(c *cluster, name string) {
	m.stored[name] = stored(c)
	m.machines[name] = machines(c)
}

// TestCapture writes stored.cbor and machines.cbor, what the state service holds and the
// machines report at some moments, and messages.cbor, one of each message between nodes.
func TestCapture(t *testing.T) {
	dir := os.Getenv("CAPTURE_TO")
	if dir == "" {
		t.Skip("CAPTURE_TO names no directory")
	}
	write := func(name string, v any) {
		b, err := wire.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, name), b, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	m := moments{stored: map[string]map[string]wire.Raw{}, machines: map[string][]wire.Raw{}}
	for _, life := range captures {
		synctest.Test(t, func(t *testing.T) { life(t, m) })
	}
	m.check(t)
	write("stored.cbor", m.stored)
	write("machines.cbor", m.machines)
	said := messages(t)
	addMessages(t, said)
	write("messages.cbor", said)
}

// check looks whether each kind of key was stored at each moment.
func (m moments) check(t *testing.T) {
	for name, keys := range m.stored {
		var kinds []string
		for _, kind := range []string{"c/token", "c/catalog", "c/staffing", "c/j/", "c/p/", "c/b/", "c/u/"} {
			n := 0
			for key := range keys {
				if strings.HasPrefix(key, kind) {
					n++
				}
			}
			if n == 0 {
				t.Errorf("%s: nothing stored under %s", name, kind)
			}
			kinds = append(kinds, fmt.Sprint(kind, " ", n))
		}
		t.Log(name, kinds, "machines", len(m.machines[name]))
	}
}

// machines asks each machine for its report, which it tells to one whose token is too low.
func machines(c *cluster) (out []wire.Raw) {
	for _, w := range c.cloud.Workers() {
		ctx, cancel := context.WithTimeout(c.t.Context(), 50*time.Millisecond)
		code, b, err := wire.Exchange(ctx, c.user, http.MethodPost, "http://"+w.ID+":9000/commands", wire.DirectCommands{})
		cancel()
		if err == nil && code == http.StatusConflict {
			out = append(out, b)
		}
	}
	return out
}

// stored reads every key of the state service.
func stored(c *cluster) map[string]wire.Raw {
	out := map[string]wire.Raw{}
	after := ""
	for {
		_, b, err := wire.Exchange(c.t.Context(), c.user, http.MethodGet, "http://state/store?starts=c/&after="+after, nil)
		var page wire.EntryPage
		if err == nil {
			err = wire.Unmarshal(b, &page)
		}
		if err != nil {
			c.t.Fatal(err)
		}
		for _, e := range page.Entries {
			out[e.Key] = e.Value
			after = e.Key
		}
		if !page.More {
			return out
		}
	}
}

func capture(t *testing.T, m moments) {
	c := newTunedCluster(t, capturedNodes, func(s *settings.Settings) {
		s.Params.State = settings.State{RPS: 200, WriteRPS: 60, ValueKB: 8, TxnOps: 12}
	})
	defer c.close()
	c.cloud.RunFor = func(task string) float64 {
		switch {
		case strings.HasPrefix(task, "j-000001/"):
			return 2
		case strings.HasSuffix(task, "0"):
			return 3
		}
		return 300
	}
	c.cloud.Fails = func(task, _ string) bool { return strings.HasPrefix(task, "j-000004/") }
	put := func(job map[string]any) {
		if code, _ := c.request(http.MethodPost, 0, "/v1/jobs", job); code != http.StatusCreated {
			t.Fatalf("%s: %d", job["id"], code)
		}
	}
	time.Sleep(3 * time.Second)
	c.submit("j-000001", 2)
	c.await("j-000001", wire.JobDone, time.Minute)
	c.submit("j-000002", 2)
	c.request(http.MethodPost, 0, "/v1/jobs/j-000002/abort", nil)
	// Every field filled in; a description over 2 KB.
	full := testJob("j-000003", 20)
	for name, v := range map[string]any{"lane": strings.Repeat("l", 2500), "builds": []string{"m4"}, "hall": "a", "together": true,
		"scatter": true, "due_s": 900.0, "save_every_s": 30.0, "store_s": 4.0, "expect_s": 240.0, "rank": "urgent"} {
		full[name] = v
	}
	put(full)
	c.submit("j-000004", 4) // fails
	gang := testJob("j-000005", 3)
	gang["shape"], gang["expect_s"] = "gang", 300.0
	put(gang)
	long := testJob("j-000006", 40)
	long["expect_s"], long["desk"] = 300.0, "small"
	put(long)
	time.Sleep(40 * time.Second)
	m.take(c, "running")
	many := testJob("j-000007", 500)
	many["expect_s"] = 300.0
	put(many)
	time.Sleep(25 * time.Second)
	m.take(c, "large")
	// Bookings that the cloud has not answered, and nobody leads.
	c.setFault(func(from string, r *http.Request) standin.Fault {
		if r.URL.Host == "cloud" && r.Method == http.MethodPost {
			return standin.LostRequest
		}
		return standin.Pass
	})
	more := testJob("j-000008", 100)
	more["expect_s"] = 300.0
	put(more)
	time.Sleep(8 * time.Second)
	for i := range capturedNodes {
		c.kill(i)
	}
	time.Sleep(5 * time.Second)
	m.take(c, "renting")
	for i := range capturedNodes {
		c.start(i)
	}
}

// manyMachines is a cluster that soon has hundreds of machines, in a list of over 4 KB.
func manyMachines(t *testing.T, tune func(*settings.Settings)) *cluster {
	c := newTunedCluster(t, capturedNodes, func(s *settings.Settings) {
		s.Params.State = settings.State{RPS: 200, WriteRPS: 60, ValueKB: 8, TxnOps: 12}
		tune(s)
	})
	c.cloud.RunFor = func(task string) float64 {
		if strings.HasPrefix(task, "j-000001/") && strings.HasSuffix(task, "0") {
			return 3
		}
		return 300
	}
	time.Sleep(3 * time.Second)
	many := testJob("j-000001", 500)
	many["expect_s"] = 300.0
	if code, _ := c.request(http.MethodPost, 0, "/v1/jobs", many); code != http.StatusCreated {
		t.Fatalf("%s: %d", many["id"], code)
	}
	return c
}

// captureLargeList takes a list of machines that is larger than the lowered limits admit.
func captureLargeList(t *testing.T, m moments) {
	c := manyMachines(t, func(*settings.Settings) {})
	defer c.close()
	time.Sleep(25 * time.Second)
	m.take(c, "a large list")
	var list any
	if err := wire.Unmarshal(m.stored["a large list"]["c/u/0"], &list); err != nil || wire.JSONSize(list) < 4096 {
		t.Errorf("the list of machines has %d bytes, %v", wire.JSONSize(list), err)
	}
}

// messages has each message, with every field that all versions know. The tests know
// these values.
func messages(t *testing.T) map[string]wire.Raw {
	raw := func(v any) wire.Raw {
		b, err := wire.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	notice := 12.5
	report := &wire.Report{Machine: "i-000231", Address: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Session: 1, Seq: 88, Token: 41,
		NoticeS: &notice, Tasks: []wire.ReportTask{{Task: "j-000412/3", Attempt: 2, State: wire.TaskRunning},
			{Task: "j-000398/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseDone}}}
	answer := wire.ReportAnswer{Token: 41, Commands: []wire.Command{{Verb: wire.VerbStart, Task: "j-000412/4", Attempt: 2}}}
	return map[string]wire.Raw{
		"probe": raw(peer.Request{ID: 1, Probe: &peer.Probe{Member: "host-1", Token: 41, Leader: "host-1", Doubt: true,
			Counts: map[string][2]int{"j-000412": {3, 13}}, Since: 430}}),
		"state": raw(peer.Response{ID: 1, State: &peer.State{Loaded: true, Token: 41, Leader: "host-1", SinceHeard: 1500 * micros.Millisecond,
			Promise: peer.PromiseLife, Fronts: true, Through: 431, Whole: true,
			Cancelled: []replica.Cancellation{{ID: "j-000377", Stamp: 431, Job: replica.Job{SubmittedAt: 3, State: wire.JobCancelled, Reason: "cancelled by its user", EndedAt: 5}}}}}),
		"relay":   raw(peer.Request{ID: 2, Relay: []wire.Raw{raw(report)}}),
		"relayed": raw(peer.Response{ID: 2, Relay: []peer.Relayed{{Answer: raw(answer)}, {Error: "not entitled"}}}),
		"explain": raw(peer.Request{ID: 3, Explain: "j-000412"}),
		"explained": raw(peer.Response{ID: 3, Explain: &leader.Explanation{Job: "j-000412", By: "host-1", Tasks: 16, Done: 3, Running: 13,
			Why: []string{"no room"}, On: []leader.TaskNote{{Task: "j-000412/3", Attempt: 2, Machine: "i-000231", State: "running", Since: 5}},
			Stops: []leader.StopNote{{Task: "j-000412/4", Attempt: 1, Machine: "i-000230", At: 4, Why: "spot notice"}}}}),
		"failed": raw(peer.Response{ID: 4, Error: "not leading"}),
	}
}
