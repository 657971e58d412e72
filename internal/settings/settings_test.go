package settings

import (
	"strings"
	"testing"

	"caperlatch/internal/micros"
)

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

func TestParse(t *testing.T) {
	cases := []struct{ name, old, new, field string }{
		{"as it should be, with an unknown field", "", "", ""},
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
		{"a negative wait of gangs", "lease_s = 16.0", "lease_s = 16.0\ngang_wait_s = -1.0", "params.workers.gang_wait_s"},
		{"text for a gang's time", "lease_s = 16.0", "lease_s = 16.0\ngang_peer_s = \"4\"", "gang_peer_s"},
		{"a cancellation within the lease", "cancel_s = 41.0", "cancel_s = 10.0", "params.workers.cancel_s"},
		{"not a number", "rps = 60.0", "rps = nan", "params.state.rps"},
		{"limits of a later time", "[params.cloud]", next("write_rps = 9.0\nvalue_kb = 2.0\ntxn_ops = 4"), ""},
		{"one limit of a later time", "[params.cloud]", next("txn_ops = 3"), ""},
		{"a later time without a limit", "[params.cloud]", next("colour = 2"), ""},
		{"a later value too small", "[params.cloud]", next("value_kb = 1.5"), "params.state.next.value_kb"},
		{"a later transaction too small", "[params.cloud]", next("txn_ops = 2"), "params.state.next.txn_ops"},
		{"no changes at a later time", "[params.cloud]", next("write_rps = 0.0"), "params.state.next.write_rps"},
		{"text for a later limit", "[params.cloud]", next(`value_kb = "2"`), "value_kb"},
		{"a later limit of no number", "[params.cloud]", next("value_kb = nan"), "params.state.next.value_kb"},
		{"a present transaction too small, the later one well", "txn_ops = 12", "txn_ops = 2\n[params.state.next]\ntxn_ops = 4", "params.state.txn_ops"},
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

func next(fields string) string { return "[params.state.next]\n" + fields + "\n[params.cloud]" }

// TestLimits asks which limits hold before and after a change of them.
func TestLimits(t *testing.T) {
	present := State{RPS: 60, WriteRPS: 15, ValueKB: 8, TxnOps: 12}
	cases := []struct {
		name, next    string
		later, always State
	}{
		{name: "no change", later: present, always: present},
		{name: "all lower", next: "write_rps = 9.0\nvalue_kb = 2.0\ntxn_ops = 4",
			later: State{RPS: 60, WriteRPS: 9, ValueKB: 2, TxnOps: 4}, always: State{RPS: 60, WriteRPS: 9, ValueKB: 2, TxnOps: 4}},
		// What is missing stays; a limit that is raised may not be used before.
		{name: "one lower, one higher", next: "value_kb = 16.0\ntxn_ops = 4",
			later: State{RPS: 60, WriteRPS: 15, ValueKB: 16, TxnOps: 4}, always: State{RPS: 60, WriteRPS: 15, ValueKB: 8, TxnOps: 4}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, err := Parse([]byte(strings.Replace(file, "[params.cloud]", next(c.next), 1)))
			if err != nil {
				t.Fatal(err)
			}
			if got := s.Params.State.AfterChange(); got != c.later {
				t.Errorf("later %+v, want %+v", got, c.later)
			}
			if got := s.Params.State.Strictest(); got != c.always {
				t.Errorf("at any time %+v, want %+v", got, c.always)
			}
		})
	}
}

func TestRenewFor(t *testing.T) {
	// A lease renewed at the very end must run out before cancel_s.
	for _, w := range []Workers{{HeartbeatIntervalS: 2, LeaseDurationS: 16, CancellationTimeoutS: 41}, {HeartbeatIntervalS: 3, LeaseDurationS: 45, CancellationTimeoutS: 75}, {HeartbeatIntervalS: 1, LeaseDurationS: 10, CancellationTimeoutS: 11}} {
		if end := w.LeaseRenewalWindow() + w.LeaseDuration() + micros.MaxClockDrift(w.LeaseDuration()); end > w.CancellationTimeout() {
			t.Errorf("%+v: leases may last until %v s", w, end.Seconds())
		}
	}
}

func TestParseTuning(t *testing.T) {
	wrap := func(s string) string { return "<caperlatch><staffing>" + s + "</staffing></caperlatch>" }
	cases := []struct {
		name, text string
		ok         bool
	}{
		{"all", wrap("<z>2</z><review_s>10</review_s><window_s>90</window_s><record_s>5</record_s>"), true},
		{"some", wrap("<z>2</z>"), true},
		{"none", "<caperlatch/>", true},
		{"an unknown element", wrap("<zz>2</zz>"), false},
		{"an element in the wrong place", "<caperlatch><z>2</z></caperlatch>", false},
		{"an element twice", wrap("<z>2</z><z>3</z>"), false},
		{"no number", wrap("<z>two</z>"), false},
		{"out of range", wrap("<review_s>0</review_s>"), false},
		{"another root", "<other/>", false},
		{"broken off", "<caperlatch><staffing>", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := ParseTuning(strings.NewReader(c.text))
			if (err == nil) != c.ok {
				t.Fatalf("error %v, want ok %v", err, c.ok)
			}
			if strings.Contains(c.text, "<z>2</z>") && c.ok && (got.Z != 2 || got.RecordInterval != 5*micros.Second) {
				t.Errorf("read %+v", got)
			}
		})
	}
}
