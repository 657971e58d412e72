package caperlatch

// This file is not of the package that it stands beside: ../capture runs it among the
// sources of 01da0cf, the first version with a policy on zones and with heartbeats.

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"caperlatch/internal/api"
	"caperlatch/internal/leader"
	"caperlatch/internal/membership"
	"caperlatch/internal/micros"
	"caperlatch/internal/peer"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/standby"
	"caperlatch/internal/standin"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// init comes after that of moments_test.go, by the files' names.
func init() {
	captures = append(captures, captureZones)
	gangs := addMessages
	addMessages = func(t *testing.T, said map[string]wire.Raw) {
		gangs(t, said)
		addPolicyMessages(t, said)
	}
}

// captureZones takes a zone that is lost and comes back.
func captureZones(t *testing.T, m moments) {
	zones := []string{"a", "b"}
	config := zone.DefaultConfig(reportS * micros.Second)
	config.StepHold, config.HoldDown = 4*micros.Second, 6*micros.Second
	c := newFeaturesCluster(t, capturedNodes, func(s *settings.Settings) {
		s.Params.Zones = zones
		s.Params.State = settings.State{RPS: 200, WriteRPS: 60, ValueKB: 8, TxnOps: 12}
	}, settings.Features{Zones: &config})
	defer c.close()
	c.cloud.Zones, c.rules.Offers[0].Zones, c.cloud.MostIn = zones, zones, map[string]int{"a": 30, "b": 8}
	c.cloud.RunFor = func(task string) float64 {
		if strings.HasSuffix(task, "0") {
			return 3
		}
		return 300
	}
	long := testJob("j-000001", 120)
	long["expect_s"] = 300.0
	c.submitJob(long)
	time.Sleep(60 * time.Second)
	lost := zones[slices.IndexFunc(zones, func(name string) bool { return name != c.zoneOfMost() })]
	state := func() (s zone.Status) {
		code, b, err := wire.Exchange(t.Context(), c.user, http.MethodGet, "http://host-0:8080/zones", nil)
		var all api.ZonesStatus
		if err != nil || code != http.StatusOK || wire.Unmarshal(b, &all) != nil {
			return s
		}
		for _, s := range all.Zones {
			if s.Zone == lost {
				return s
			}
		}
		return s
	}
	until := func(want zone.State) {
		for try := 0; state().State != want.String(); try++ {
			if try == 600 {
				t.Fatalf("zone %s is %+v, want %v", lost, state(), want)
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond) // it is stored
	}
	c.setFault(func(from string, r *http.Request) standin.Fault {
		if c.rules.ZoneOf(machineOf(from)) == lost || c.rules.ZoneOf(machineOf(r.URL.Host)) == lost {
			return standin.LostRequest
		}
		return standin.Pass
	})
	until(zone.Lost)
	m.take(c, "a zone is lost")
	c.setFault(nil)
	until(zone.HeldDown)
	m.take(c, "a zone is held down")
	until(zone.Returning)
	m.take(c, "a zone returns")
	for _, moment := range []string{"a zone is lost", "a zone is held down", "a zone returns"} {
		if m.stored[moment][replica.ZonesKey] == nil {
			t.Errorf("%s: nothing is stored of zones", moment)
		}
	}
}

// zoneOfMost is the zone that most machines are in.
func (c *cluster) zoneOfMost() string {
	n := map[string]int{}
	for _, w := range c.cloud.Workers() {
		n[c.rules.ZoneOf(w.ID)]++
	}
	if n["a"] >= n["b"] {
		return "a"
	}
	return "b"
}

// addPolicyMessages adds what a follower of the warm standby, a node that asks for the zones and
// members say to each other, and an explanation with every field. The tests know these values.
func addPolicyMessages(t *testing.T, said map[string]wire.Raw) {
	state := standby.TaskState{Attempt: 7, Stopping: true, Urgent: true, Reserved: true}
	machine := standby.MachineState{Session: 3, Resolved: true}
	heartbeat := &membership.Heartbeat{Member: "host-2", Incarnation: 3, Leaving: true, Opinions: []membership.Opinion{
		{Member: "host-1", State: membership.Suspected, Incarnation: 2, Silence: 3500 * micros.Millisecond},
		{Member: "host-0", State: membership.Alive, Incarnation: 1, Silence: 200}}}
	for name, v := range map[string]any{
		"standby query": peer.Request{ID: 5, Standby: &standby.Query{Version: standby.Version, Member: "host-2", Token: 41, Position: 7, Snapshot: true, After: "i-000230"}},
		"standby page": peer.Response{ID: 5, Standby: &standby.Page{Version: standby.Version, Token: 41, Latest: 19, From: 12, Compacted: true,
			Entries: []standby.Entry{
				{Placed: &standby.Placed{Machine: "i-000231", Task: "j-000412/3", TaskState: state}},
				{Left: &standby.Left{Machine: "i-000231", Task: "j-000412/4"}},
				{Observed: &standby.Observed{Machine: "i-000232", MachineState: machine}},
				{Returning: &standby.Returning{Machine: "i-000233", Why: "idle"}},
				{Gone: &standby.Gone{Machine: "i-000234"}},
				{Estimated: &standby.Estimated{Class: "batch", Moments: []float64{2, 3.5, 8.25}}},
				{Handover: &standby.Handover{To: "host-2", Complete: true}},
			},
			Snapshot: &standby.SnapshotPage{
				Machines:  []standby.MachineRecord{{Name: "i-000235", MachineState: machine, Returning: true, Tasks: []standby.TaskRecord{{Task: "j-000413/0", TaskState: state}}}},
				More:      true,
				Estimates: []standby.Estimated{{Class: "scan", Moments: []float64{1, 0.5}}},
				Handover:  &standby.Handover{To: "host-1", Complete: true},
			},
			Followers: []standby.FollowerState{{Member: "host-2", Position: 18, Whole: true, AgeS: 0.25}},
		}},
		"zones asked": peer.Request{ID: 6, Zones: true},
		"zones told": peer.Response{ID: 6, Zones: []zone.Status{{Zone: "b", State: zone.Returning.String(), Reason: zone.ReasonStepHeld, SinceS: 4.5, Step: 2, Steps: 4,
			OpenPart: 0.25, HoldS: 1.5, Flaps: 1, Evidence: zone.Evidence{Up: 40, Late: 1, Silent: 2, Deaf: 3, Vanished: 4, Failing: 5, Back: 38, Relapses: 6, Sent: 70, Started: 69},
			Work: zone.Work{Displaced: map[string]int{"scan": 30}, Moved: map[string]int{"scan": 20}, Restarted: map[string]int{"scan": 9},
				Machines: 2, Tasks: 8, NextEndS: 1.25, LastEndS: 9.5, Closed: 30, Replaced: 15}}}},
		"heartbeat":          peer.Request{ID: 7, Heartbeat: heartbeat},
		"heartbeat answered": peer.Response{ID: 7, Heartbeat: heartbeat},
		"explained": peer.Response{ID: 3, Explain: &leader.Explanation{Job: "j-000412", By: "host-1", AgeS: 1.5, Notes: []string{"no report yet"}, State: "pending",
			Team: "blue", Class: "batch", Priority: "normal", Submitted: 4, Ended: 6, Tasks: 16, Done: 2, Running: 13, Waiting: 1, Why: []string{"no room"},
			On:    []leader.TaskNote{{Task: "j-000412/3", Attempt: 2, Machine: "i-000231", State: "running", Since: 5}},
			Stops: []leader.StopNote{{Task: "j-000412/4", Attempt: 1, Machine: "i-000230", At: 4, Why: "spot notice"}}}},
	} {
		b, err := wire.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		said[name] = b
	}
}
