package settings

import (
	"strings"
	"testing"
)

// validSettings is a complete settings file of two nodes that also contains an unknown field.
const validSettings = `
member = "host-0"
zone = "north"
client_listen = "127.0.0.1:8080"
peer_bind = "127.0.0.1:8081"
colour = "blue"
[[seeds]]
member = "host-1"
addr = "127.0.0.2:8081"
[external]
cloud = "127.0.0.3:1"
state = "127.0.0.3:2"
[params]
zones = ["north"]
clock_error_ms = 5.0
[[params.teams]]
name = "ops"
cpus = 4.0
cpus_max = 8.0
[params.workers]
report_s = 2.0
lease_s = 16.0
cancel_s = 41.0
[params.state]
rps = 60.0
write_rps = 15.0
value_kb = 8.0
txn_ops = 12
[params.cloud]
rps = 8.0
list_lag_s = 4.0
[params.limits]
cpu = 0.144
mem_mb = 125.0
max_sockets = 1200
`

// threeMorePeers adds three peers to validSettings, for a cluster of five nodes.
const threeMorePeers = `
[[seeds]]
member = "host-2"
addr = "127.0.0.4:8081"
[[seeds]]
member = "host-3"
addr = "127.0.0.5:8081"
[[seeds]]
member = "host-4"
addr = "127.0.0.6:8081"
`

// TestParse checks which files are accepted, and that an error is a single line that names the invalid field.
func TestParse(t *testing.T) {
	cases := []struct{ name, old, new, field string }{
		{"all fields and an unknown one", "", "", ""},
		{"no member", `member = "host-0"`, "", "member"},
		{"listen address without a port", "127.0.0.1:8080", "127.0.0.1", "client_listen"},
		{"no state service", `state = "127.0.0.3:2"`, "", "external.state"},
		{"own name among the peers", `"host-1"`, `"host-0"`, "seeds[0].member"},
		{"five nodes", "[external]", threeMorePeers + "[external]", ""},
		{"duplicate member among five nodes", "[external]", strings.Replace(threeMorePeers, "host-4", "host-2", 1) + "[external]", "seeds[3].member"},
		{"duplicate address among five nodes", "[external]", strings.Replace(threeMorePeers, "127.0.0.6", "127.0.0.2", 1) + "[external]", "seeds[3].addr"},
		{"own address among five nodes", "[external]", strings.Replace(threeMorePeers, "127.0.0.5", "127.0.0.1", 1) + "[external]", "seeds[2].addr"},
		{"peer address without a port among five nodes", "[external]", strings.Replace(threeMorePeers, "127.0.0.4:8081", "127.0.0.4", 1) + "[external]", "seeds[1].addr"},
		{"no teams", "[[params.teams]]", "[[params.crews]]", "params.teams"},
		{"guarantee that exceeds the limit", "cpus = 4.0", "cpus = 9.0", "params.teams[0].cpus"},
		{"text for a number", "lease_s = 16.0", `lease_s = "16"`, "lease_s"},
		{"no lease duration", "lease_s = 16.0", "", "params.workers.lease_s"},
		{"negative gang assembly timeout", "lease_s = 16.0", "lease_s = 16.0\ngang_wait_s = -1.0", "params.workers.gang_wait_s"},
		{"text for the gang loss timeout", "lease_s = 16.0", "lease_s = 16.0\ngang_peer_s = \"4\"", "gang_peer_s"},
		{"cancellation timeout below the lease duration", "cancel_s = 41.0", "cancel_s = 10.0", "params.workers.cancel_s"},
		{"not a number", "rps = 60.0", "rps = nan", "params.state.rps"},
		{"upcoming limits", "[params.cloud]", upcomingTable("write_rps = 9.0\nvalue_kb = 2.0\ntxn_ops = 4"), ""},
		{"one upcoming limit", "[params.cloud]", upcomingTable("txn_ops = 3"), ""},
		{"change without a known limit", "[params.cloud]", upcomingTable("colour = 2"), ""},
		{"upcoming value limit that is too small", "[params.cloud]", upcomingTable("value_kb = 1.5"), "params.state.next.value_kb"},
		{"upcoming transaction limit that is too small", "[params.cloud]", upcomingTable("txn_ops = 2"), "params.state.next.txn_ops"},
		{"upcoming write rate of 0", "[params.cloud]", upcomingTable("write_rps = 0.0"), "params.state.next.write_rps"},
		{"text for an upcoming limit", "[params.cloud]", upcomingTable(`value_kb = "2"`), "value_kb"},
		{"upcoming limit that is not a number", "[params.cloud]", upcomingTable("value_kb = nan"), "params.state.next.value_kb"},
		{"current transaction limit that is too small, upcoming one that is not", "txn_ops = 12", "txn_ops = 2\n[params.state.next]\ntxn_ops = 4", "params.state.txn_ops"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validSettings, c.old, c.new, 1)))
			if c.field == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.field) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %q, want a single line that contains %s", err, c.field)
			}
		})
	}
}

// upcomingTable returns a TOML table of upcoming limits and, after it, the header of the cloud table. Tests replace the
// header of the cloud table by this text.
func upcomingTable(fields string) string {
	return "[params.state.next]\n" + fields + "\n[params.cloud]"
}
