package settings

import (
	"strings"
	"testing"
)

// file is a complete file, with an unknown field.
const file = `
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

// threeMore makes five nodes.
const threeMore = `
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

// TestParse checks which files are read; an error is one line that names the field.
func TestParse(t *testing.T) {
	cases := []struct{ name, old, new, field string }{
		{"all fields, and an unknown one", "", "", ""},
		{"no member", `member = "host-0"`, "", "member"},
		{"a listen address without a port", "127.0.0.1:8080", "127.0.0.1", "client_listen"},
		{"no state service", `state = "127.0.0.3:2"`, "", "external.state"},
		{"the member among its peers", `"host-1"`, `"host-0"`, "seeds[0].member"},
		{"five nodes", "[external]", threeMore + "[external]", ""},
		{"a member twice among five", "[external]", strings.Replace(threeMore, "host-4", "host-2", 1) + "[external]", "seeds[3].member"},
		{"an address twice among five", "[external]", strings.Replace(threeMore, "127.0.0.6", "127.0.0.2", 1) + "[external]", "seeds[3].addr"},
		{"its own address among five", "[external]", strings.Replace(threeMore, "127.0.0.5", "127.0.0.1", 1) + "[external]", "seeds[2].addr"},
		{"a peer without a port among five", "[external]", strings.Replace(threeMore, "127.0.0.4:8081", "127.0.0.4", 1) + "[external]", "seeds[1].addr"},
		{"no teams", "[[params.teams]]", "[[params.crews]]", "params.teams"},
		{"a guarantee over the limit", "cpus = 4.0", "cpus = 9.0", "params.teams[0].cpus"},
		{"text for a number", "lease_s = 16.0", `lease_s = "16"`, "lease_s"},
		{"no lease", "lease_s = 16.0", "", "params.workers.lease_s"},
		{"a negative time of gangs", "lease_s = 16.0", "lease_s = 16.0\ngang_wait_s = -1.0", "params.workers.gang_wait_s"},
		{"text for a gang's time", "lease_s = 16.0", "lease_s = 16.0\ngang_peer_s = \"4\"", "gang_peer_s"},
		{"a cancellation within the lease", "cancel_s = 41.0", "cancel_s = 10.0", "params.workers.cancel_s"},
		{"not a number", "rps = 60.0", "rps = nan", "params.state.rps"},
		{"upcoming limits", "[params.cloud]", upcoming("write_rps = 9.0\nvalue_kb = 2.0\ntxn_ops = 4"), ""},
		{"one upcoming limit", "[params.cloud]", upcoming("txn_ops = 3"), ""},
		{"a change of no limit", "[params.cloud]", upcoming("colour = 2"), ""},
		{"an upcoming limit on values that is too small", "[params.cloud]", upcoming("value_kb = 1.5"), "params.state.next.value_kb"},
		{"an upcoming limit on transactions that is too small", "[params.cloud]", upcoming("txn_ops = 2"), "params.state.next.txn_ops"},
		{"an upcoming limit of no operations", "[params.cloud]", upcoming("write_rps = 0.0"), "params.state.next.write_rps"},
		{"text for an upcoming limit", "[params.cloud]", upcoming(`value_kb = "2"`), "value_kb"},
		{"an upcoming limit that is no number", "[params.cloud]", upcoming("value_kb = nan"), "params.state.next.value_kb"},
		{"a present limit on transactions that is too small, before one that is not", "txn_ops = 12", "txn_ops = 2\n[params.state.next]\ntxn_ops = 4", "params.state.txn_ops"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(file, c.old, c.new, 1)))
			if c.field == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.field) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %q, want one line naming %s", err, c.field)
			}
		})
	}
}

// upcoming returns a table of upcoming limits, to stand before the table of the cloud.
func upcoming(fields string) string { return "[params.state.next]\n" + fields + "\n[params.cloud]" }
