package main

import (
	"path/filepath"
	"testing"
)

// TestFeatureFiles checks that the check command validates feature files against the settings, and that the warm
// standby may be enabled in either file but not in both.
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
		name      string
		args      []string
		wantError string
	}{
		{"none", nil, ""},
		{"zones", []string{zones}, ""},
		{"standby in its own file", []string{standby}, ""},
		{"standby in its own file, zones in the feature file", []string{zones, standby}, ""},
		{"standby in both files", []string{"--features", writeFile(t, "both.xml", "<caperlatch><standby/><zones/></caperlatch>"), standby}, "both files"},
		{"unknown zone", []string{"--features", writeFile(t, "zone.xml", "<caperlatch><zones><exempt>c</exempt></zones></caperlatch>")}, "there is no zone c"},
		{"missing file", []string{"--features", filepath.Join(t.TempDir(), "none.xml")}, "none.xml"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			wantOutput := []string{"ok: member host-0"}
			if c.wantError != "" {
				wantOutput = nil
			}
			checkCommandOutput(t, wantOutput, c.wantError, append([]string{"check", config}, c.args...)...)
		})
	}
}
