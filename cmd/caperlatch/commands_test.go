package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"caperlatch/internal/api"
	"caperlatch/internal/membership"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// execute runs a command of the program. It must say something, or fail with an error that does.
func execute(t *testing.T, says []string, wrong string, args ...string) {
	t.Helper()
	root := rootCommand()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetArgs(args)
	err := root.Execute()
	if (err != nil) != (wrong != "") || err != nil && !strings.Contains(err.Error(), wrong) {
		t.Errorf("error %v, want %q", err, wrong)
	}
	for _, want := range says {
		if !strings.Contains(out.String(), want) {
			t.Errorf("it does not say %q:\n%s", want, out.String())
		}
	}
}

// answering is the address of a node that answers one kind of request.
func answering(t *testing.T, pattern string, answer func() (code int, body any)) (address string) {
	mux := http.NewServeMux()
	mux.HandleFunc(pattern, func(w http.ResponseWriter, _ *http.Request) {
		code, body := answer()
		b, err := wire.Marshal(body)
		w.WriteHeader(code)
		if _, wrote := w.Write(b); err != nil || wrote != nil {
			t.Error(err, wrote)
		}
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// writeFile writes a file into a folder of the test's.
func writeFile(t *testing.T, name, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestStatusCommands has the commands tell what a node answers.
func TestStatusCommands(t *testing.T) {
	returning := zone.Status{
		Zone: "b", State: "returning", Reason: zone.ReasonStepSucceeded, SinceS: 4, Step: 2, Steps: 4, OpenShare: 0.25, Flaps: 1, Evidence: zone.Evidence{Running: 40, Silent: 2, Recovered: 38},
		Work: zone.WorkStatus{Displaced: map[string]int{"scan": 30, "news": 4}, Moved: map[string]int{"scan": 20}, LeasedMachines: 2, LeasedTasks: 8, NextLeaseEndS: 1, LastLeaseEndS: 9, ClosedMachines: 30, ReplacedMachines: 15},
	}
	doubted := membership.Status{Member: "host-0", Slow: true, Isolated: true, Counts: membership.Counts{Suspicions: 3, Failures: 1}, Members: []membership.MemberStatus{
		{Member: "host-1", State: membership.Suspected, SinceS: 1.2, SilenceS: 4.2, SuspicionLeftS: 2.1, ConfirmedBy: []string{"host-2", "host-3"}},
		{Member: "host-2", State: membership.Alive, SinceS: 60, SilenceS: 9, RoundTripS: 0.0005, HeardThrough: "host-3"},
		{Member: "host-3", State: membership.Suspected, FailureWithheld: true},
	}}
	cases := []struct {
		name    string
		command string
		status  int
		body    any
		says    []string
		wrong   string
	}{
		{"members", "members", 200, doubted, []string{"as host-0 sees them", "host-1: suspected for 1.2 s, heard 4.2 s ago\n  verdict in 2.1 s\n  doubted as well by host-2, host-3",
			"host-2: alive for 60.0 s, heard 9.0 s ago, last answered in 0.5 ms\n  heard by host-3 alone", "no verdict: its session lives", "host-0 is slow itself",
			"hears neither the state service nor any node", "3 suspicions, 1 verdicts, 0 doubts of itself refuted"}, ""},
		{"members, off", "members", 404, wire.ErrorResponse{Error: api.ErrMembershipOff.Error()}, nil, "membership is off"},
		{"members, by a version without them", "members", 404, nil, nil, "404 Not Found"},
		{"all well", "zones", 200, api.ZonesStatus{Leader: "host-1", Zones: []zone.Status{{Zone: "a", State: "healthy", Reason: zone.ReasonHeartbeatsArrive, OpenShare: 1}}},
			[]string{"as host-1 sees them", "a: healthy: its machines are heard"}, ""},
		{"one returns", "zones", 200, api.ZonesStatus{Leader: "host-1", Zones: []zone.Status{returning}},
			[]string{"b: returning, step 2 of 4 for 4 s: starts succeed there", "40 up, 0 late, 2 silent", "losses not forgotten: 1", "25% open, 30 machines closed, 15 being replaced elsewhere",
				"lost with the zone: news 4, scan 30", "begun again elsewhere: scan 20", "8 tasks on 2 machines wait for the ends of their leases, in 1 to 9 s"}, ""},
		{"one is held down", "zones", 200, api.ZonesStatus{Zones: []zone.Status{{Zone: "b", State: "held down", HoldDownS: 3}}}, []string{"held down for 3 s more"}, ""},
		{"off", "zones", 404, wire.ErrorResponse{Error: api.ErrZonesOff.Error()}, nil, "the policy on zones is off"},
		{"nobody leads", "zones", 503, wire.ErrorResponse{Error: "no leader known"}, nil, "no leader known"},
		{"a version without it", "zones", 404, nil, nil, "404 Not Found"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			node := answering(t, "GET /"+c.command, func() (int, any) { return c.status, c.body })
			execute(t, c.says, c.wrong, c.command, "--node", node)
		})
	}
}

// TestFeatureFiles has the files of optional parts be checked with the settings, before
// anything starts.
func TestFeatureFiles(t *testing.T) {
	config := writeFile(t, "settings.toml", `member = "host-0"
client_listen = "127.0.0.1:8080"
peer_bind = "127.0.0.1:8081"
external = {cloud = "127.0.0.1:8082", state = "127.0.0.1:8083"}
[params]
zones = ["a", "b"]
teams = [{name = "blue"}]
workers = {report_s = 8.0, lease_s = 45.0, cancel_s = 75.0}
state = {rps = 100.0, write_rps = 30.0, value_kb = 4.0, txn_ops = 8}
cloud = {rps = 8.0, list_lag_s = 3.0}
limits = {cpu = 1.0, mem_mb = 300.0, max_sockets = 1000}`)
	const zones, standby = "--features=../../deploy/zones.xml", "--standby=../../deploy/standby.xml"
	cases := []struct {
		name  string
		args  []string
		wrong string
	}{
		{"none", nil, ""},
		{"zones", []string{zones}, ""},
		{"the standby by either", []string{standby}, ""},
		{"the standby by its own, zones by the other", []string{zones, standby}, ""},
		{"the standby by both", []string{"--features", writeFile(t, "both.xml", "<caperlatch><standby/><zones/></caperlatch>"), standby}, "both files"},
		{"an unknown zone", []string{"--features", writeFile(t, "zone.xml", "<caperlatch><zones><exempt>c</exempt></zones></caperlatch>")}, "there is no zone c"},
		{"no file", []string{"--features", filepath.Join(t.TempDir(), "none.xml")}, "none.xml"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			says := []string{"ok: member host-0"}
			if c.wrong != "" {
				says = nil
			}
			execute(t, says, c.wrong, append([]string{"check", config}, c.args...)...)
		})
	}
}
