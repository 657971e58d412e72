package settings

import (
	"fmt"
	"strings"
	"testing"
)

// TestCheckErrors checks the error messages for settings that can be decoded but are invalid, and which field is
// reported when several are invalid.
func TestCheckErrors(t *testing.T) {
	cases := []struct {
		name         string
		replacements []string // old, new, old, new ...
		want         string   // the error message
	}{
		{"missing string", []string{`member = "host-0"`, ""}, "settings: member is missing"},
		{"missing address", []string{`client_listen = "127.0.0.1:8080"`, ""}, "settings: client_listen is missing"},
		{"address without a port", []string{"127.0.0.1:8080", "127.0.0.1"}, "settings: client_listen must have the form host:port"},
		{"duplicate member", []string{`"host-1"`, `"host-0"`}, "settings: seeds[0].member must be unique"},
		{"duplicate address", []string{"127.0.0.2:8081", "127.0.0.1:8081"}, "settings: seeds[0].addr must be unique"},
		{"no zones", []string{`zones = ["north"]`, "zones = []"}, "settings: params.zones is missing"},
		{"no teams", []string{"[[params.teams]]", "[[params.crews]]"}, "settings: params.teams is missing"},
		{"team without a name", []string{`name = "ops"`, ""}, "settings: params.teams[0].name is missing"},
		{"duplicate team", []string{"[params.workers]", "[[params.teams]]\nname = \"ops\"\n[params.workers]"}, "settings: params.teams[1].name must be unique"},
		{"guarantee that exceeds the limit", []string{"cpus = 4.0", "cpus = 9.0"}, "settings: params.teams[0].cpus must not exceed cpus_max"},
		{"negative number", []string{"clock_error_ms = 5.0", "clock_error_ms = -1.0"}, "settings: params.clock_error_ms must be a finite number and at least 0"},
		{"missing lease duration", []string{"lease_s = 16.0", ""}, "settings: params.workers.lease_s must be a finite number and at least 0.001"},
		{"cancellation timeout equal to the lease duration", []string{"cancel_s = 41.0", "cancel_s = 16.0"}, "settings: params.workers.cancel_s must be greater than lease_s"},
		{"infinity", []string{"rps = 60.0", "rps = inf"}, "settings: params.state.rps must be a finite number and at least 0.001"},
		{"value limit that is too small", []string{"value_kb = 8.0", "value_kb = 1.5"}, "settings: params.state.value_kb must be a finite number and at least 2"},
		{"transaction limit that is too small", []string{"txn_ops = 12", "txn_ops = 2"}, "settings: params.state.txn_ops must be at least 3"},
		{"upcoming transaction limit that is too small", []string{"[params.cloud]", upcomingTable("txn_ops = 2")}, "settings: params.state.next.txn_ops must be at least 3"},
		{"too little memory", []string{"mem_mb = 125.0", "mem_mb = 15.0"}, "settings: params.limits.mem_mb must be a finite number and at least 16"},
		{"too few sockets", []string{"max_sockets = 1200", "max_sockets = 15"}, "settings: params.limits.max_sockets must be at least 16"},
		{"invalid peer and invalid limit", []string{`"host-1"`, `"host-0"`, "txn_ops = 12", "txn_ops = 2"}, "settings: seeds[0].member must be unique"},
		{"invalid team and no zones", []string{"cpus = 4.0", "cpus = 9.0", `zones = ["north"]`, "zones = []"}, "settings: params.zones is missing"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := Parse([]byte(strings.NewReplacer(c.replacements...).Replace(validSettings))); fmt.Sprint(err) != c.want {
				t.Errorf("got error %v, want %s", err, c.want)
			}
		})
	}
}
