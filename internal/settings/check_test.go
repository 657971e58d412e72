package settings

import (
	"fmt"
	"strings"
	"testing"
)

// TestCheckErrors checks the texts that operators get of settings that can be read but are wrong,
// and which one they get if several are.
func TestCheckErrors(t *testing.T) {
	cases := []struct {
		name         string
		replacements []string // old, new, old, new ...
		want         string
	}{
		{"a missing text", []string{`member = "host-0"`, ""}, "settings: member is missing"},
		{"a missing address", []string{`client_listen = "127.0.0.1:8080"`, ""}, "settings: client_listen is missing"},
		{"an address without a port", []string{"127.0.0.1:8080", "127.0.0.1"}, "settings: client_listen is no address with a port"},
		{"a member twice", []string{`"host-1"`, `"host-0"`}, "settings: seeds[0].member stands there twice"},
		{"an address twice", []string{"127.0.0.2:8081", "127.0.0.1:8081"}, "settings: seeds[0].addr stands there twice"},
		{"no zones", []string{`zones = ["north"]`, "zones = []"}, "settings: params.zones is missing"},
		{"no teams", []string{"[[params.teams]]", "[[params.crews]]"}, "settings: params.teams is missing"},
		{"a team without a name", []string{`name = "ops"`, ""}, "settings: params.teams[0].name is missing"},
		{"a team twice", []string{"[params.workers]", "[[params.teams]]\nname = \"ops\"\n[params.workers]"}, "settings: params.teams[1].name stands there twice"},
		{"a guarantee over the limit", []string{"cpus = 4.0", "cpus = 9.0"}, "settings: params.teams[0].cpus is over cpus_max"},
		{"a negative number", []string{"clock_error_ms = 5.0", "clock_error_ms = -1.0"}, "settings: params.clock_error_ms must be a number of at least 0"},
		{"no lease", []string{"lease_s = 16.0", ""}, "settings: params.workers.lease_s must be a number of at least 0.001"},
		{"a cancellation within the lease", []string{"cancel_s = 41.0", "cancel_s = 16.0"}, "settings: params.workers.cancel_s must be over lease_s"},
		{"infinity", []string{"rps = 60.0", "rps = inf"}, "settings: params.state.rps must be a number of at least 0.001"},
		{"a value that is too small", []string{"value_kb = 8.0", "value_kb = 1.5"}, "settings: params.state.value_kb must be a number of at least 2"},
		{"a transaction that is too small", []string{"txn_ops = 12", "txn_ops = 2"}, "settings: params.state.txn_ops must be at least 3"},
		{"an upcoming limit", []string{"[params.cloud]", upcoming("txn_ops = 2")}, "settings: params.state.next.txn_ops must be at least 3"},
		{"too little memory", []string{"mem_mb = 125.0", "mem_mb = 15.0"}, "settings: params.limits.mem_mb must be a number of at least 16"},
		{"too few sockets", []string{"max_sockets = 1200", "max_sockets = 15"}, "settings: params.limits.max_sockets must be at least 16"},
		{"a wrong peer and a wrong limit", []string{`"host-1"`, `"host-0"`, "txn_ops = 12", "txn_ops = 2"}, "settings: seeds[0].member stands there twice"},
		{"a wrong team and no zones", []string{"cpus = 4.0", "cpus = 9.0", `zones = ["north"]`, "zones = []"}, "settings: params.zones is missing"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := Parse([]byte(strings.NewReplacer(c.replacements...).Replace(file))); fmt.Sprint(err) != c.want {
				t.Errorf("error %v, want %s", err, c.want)
			}
		})
	}
}
