package caperlatch

// This file is not of the package that it stands beside: ./capture runs it among the
// sources of the version in production.

import (
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

// TestCapture writes stored.cbor, what the state service holds at some moments of a
// cluster's life, and messages.cbor, one of each message between nodes.
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
	moments := map[string]map[string]wire.Raw{}
	synctest.Test(t, func(t *testing.T) { capture(t, moments) })
	write("stored.cbor", moments)
	write("messages.cbor", messages(t))
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

func capture(t *testing.T, moments map[string]map[string]wire.Raw) {
	c := newTunedCluster(t, 3, func(s *settings.Settings) {
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
	moments["running"] = stored(c)
	// A list of machines over 2 KB.
	many := testJob("j-000007", 500)
	many["expect_s"] = 300.0
	put(many)
	time.Sleep(25 * time.Second)
	moments["large"] = stored(c)
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
	for i := range c.stops {
		c.kill(i)
	}
	time.Sleep(5 * time.Second)
	moments["renting"] = stored(c)
	for i := range c.stops {
		c.start(i)
	}
	for name, m := range moments {
		var kinds []string
		for _, kind := range []string{"c/token", "c/catalog", "c/staffing", "c/j/", "c/p/", "c/b/", "c/u/"} {
			n := 0
			for key := range m {
				if strings.HasPrefix(key, kind) {
					n++
				}
			}
			if n == 0 {
				t.Errorf("%s: nothing stored under %s", name, kind)
			}
			kinds = append(kinds, fmt.Sprint(kind, " ", n))
		}
		t.Log(name, kinds)
	}
}

// messages has each message with every field filled in. The new version's tests know
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
