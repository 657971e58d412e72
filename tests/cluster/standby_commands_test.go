package cluster

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestStandbyCommands runs the commands of docs/operations-standby.md and docs/operations-zones.md
// with real processes: against leaders, followers and nodes without a standby. It runs with
// TestFailoverTimes.
func TestStandbyCommands(t *testing.T) {
	if os.Getenv(failoverVariable) == "" {
		t.Skip(failoverVariable + " is not set")
	}
	program := filepath.Join(t.TempDir(), "now")
	shell(t, `go build -ldflags=-linkmode=external -o "$1" ./cmd/caperlatch`, program)
	c := newProcesses(t, 3, t.TempDir())
	defer c.close()
	withParts := []string{"--standby", "deploy/standby.xml", "--features", "deploy/zones.xml"}
	c.run(2, program) // without optional parts
	c.Args = withParts
	c.run(0, program)
	c.run(1, program)
	c.submit("j-000001", 6)
	for c.leader() == 2 {
		token := c.fencingToken()
		c.kill(2)
		c.awaitLeaderAfter(token)
		c.Args = nil
		c.run(2, program)
		c.Args = withParts
	}
	time.Sleep(3 * time.Second)
	leader := c.leader()
	follower := 1 - leader
	address := func(node int) string { return c.Addresses[node].Client }
	invalid := filepath.Join(t.TempDir(), "wrong.xml")
	if err := os.WriteFile(invalid, []byte("<caperlatch><standby><pull>1</pull></standby></caperlatch>"), 0o644); err != nil {
		t.Fatal(err)
	}
	settingsFile := c.SettingsFile(0)
	cases := []struct {
		name  string
		args  []string
		fails bool
		want  []string // parts of the output
	}{
		{"check", []string{"check", "--standby", "deploy/standby.xml", settingsFile}, false, []string{"ok: member host-0"}},
		{"check of invalid settings", []string{"check", "--standby", invalid, settingsFile}, true, []string{"element pull is unknown"}},
		{"the leader", []string{"standby", "--node", address(leader)}, false, []string{"active", "0 entries behind", "last take-over here"}},
		{"a follower", []string{"standby", "--node", address(follower)}, false, []string{"following", "whole"}},
		{"a node without", []string{"standby", "--node", address(2)}, true, []string{"the warm standby is off"}},
		{"a node that does not run", []string{"standby", "--node", "127.0.0.1:1"}, true, []string{"refused"}},
		{"check of zones", []string{"check", "--features", "deploy/zones.xml", settingsFile}, false, []string{"ok: member host-0"}},
		{"zones, by the leader", []string{"zones", "--node", address(leader)}, false, []string{"as host-", "sees them", "healthy: its machines are heard"}},
		{"zones, by a follower", []string{"zones", "--node", address(follower)}, false, []string{"as host-", "healthy: its machines are heard"}},
		{"zones, by a node without", []string{"zones", "--node", address(2)}, false, []string{"healthy: its machines are heard"}},
		{"handover by a follower", []string{"handover", "--node", address(follower)}, true, []string{"not leading"}},
		{"handover by a node without", []string{"handover", "--node", address(2)}, true, []string{"the warm standby is off"}},
		{"handover by the leader", []string{"handover", "--node", address(leader)}, false, []string{"handed over to host-"}},
	}
	token := c.fencingToken()
	for _, tc := range cases {
		out, err := exec.Command(program, tc.args...).CombinedOutput()
		t.Logf("%s: caperlatch %s\n%s", tc.name, strings.Join(tc.args, " "), out)
		if (err != nil) != tc.fails {
			t.Errorf("%s: %v", tc.name, err)
		}
		for _, want := range tc.want {
			if !strings.Contains(string(out), want) {
				t.Errorf("the output of %s lacks %q", tc.name, want)
			}
		}
		if tc.fails && strings.Count(strings.TrimSpace(string(out)), "\n") > 0 {
			t.Errorf("%s: more than one line", tc.name)
		}
	}
	c.awaitLeaderAfter(token)
	if next := c.leader(); next != follower {
		t.Errorf("node %d leads, want %d", next, follower)
	}
	time.Sleep(2 * time.Second)
	out, err := exec.Command(program, "standby", "--node", address(follower)).CombinedOutput()
	if t.Logf("after the handover (%v)\n%s", err, out); !strings.Contains(string(out), "handed over") {
		t.Error("the failover is not shown as handed over")
	}
	token = c.fencingToken()
	c.ExpectExit(follower)
	c.must(c.Signal(follower, syscall.SIGTERM))
	startedAt := time.Now()
	c.awaitLeaderAfter(token)
	if duration := time.Since(startedAt); duration > 2500*time.Millisecond {
		t.Errorf("after SIGTERM no node led for %v", duration)
	}
	c.awaitStatus("j-000001", "done", time.Minute)
	c.checkRules()
}
