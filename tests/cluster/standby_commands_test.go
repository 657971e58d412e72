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

// featureArgs are the arguments of a node with a standby and the zone policy.
var featureArgs = []string{"--standby", "deploy/standby.xml", "--features", "deploy/zones.xml"}

// TestStandbyCommands runs the commands of docs/operations-standby.md and docs/operations-zones.md against real
// processes: leaders, followers and nodes without a standby. It runs only if the environment variable of
// TestFailoverTimes is set.
func TestStandbyCommands(t *testing.T) {
	if os.Getenv(failoverVariable) == "" {
		t.Skip(failoverVariable + " is not set")
	}
	program := filepath.Join(t.TempDir(), "now")
	runScript(t, `go build -ldflags=-linkmode=external -o "$1" ./cmd/caperlatch`, program)
	c := newProcessCluster(t, 3, t.TempDir())
	defer c.close()
	c.runWithAndWithoutFeatures(program)
	leader := c.leader()
	follower := 1 - leader
	invalid := filepath.Join(t.TempDir(), "wrong.xml")
	if err := os.WriteFile(invalid, []byte("<caperlatch><standby><pull>1</pull></standby></caperlatch>"), 0o644); err != nil {
		t.Fatal(err)
	}
	token := c.fencingToken()
	for _, command := range c.operatorCommands(leader, follower, invalid) {
		command.check(t, program)
	}
	c.awaitLeaderAfter(token)
	if next := c.leader(); next != follower {
		t.Errorf("node %d leads after the handover, want node %d", next, follower)
	}
	time.Sleep(2 * time.Second)
	out, err := exec.Command(program, "standby", "--node", c.Addresses[follower].Client).CombinedOutput()
	if t.Logf("standby after the handover (error %v):\n%s", err, out); !strings.Contains(string(out), "handed over") {
		t.Error("the output of standby after the handover lacks \"handed over\"")
	}
	c.terminateLeader(follower)
	c.awaitStatus("j-000001", "done", time.Minute)
	c.checkRules()
}

// runWithAndWithoutFeatures runs nodes 0 and 1 with the optional features and node 2 without, and makes node 0 or 1
// the leader.
func (c *processCluster) runWithAndWithoutFeatures(program string) {
	c.t.Helper()
	c.run(2, program)
	c.Args = featureArgs
	c.run(0, program)
	c.run(1, program)
	c.submit("j-000001", 6)
	for c.leader() == 2 {
		token := c.fencingToken()
		c.kill(2)
		c.awaitLeaderAfter(token)
		c.Args = nil
		c.run(2, program)
		c.Args = featureArgs
	}
	time.Sleep(3 * time.Second)
}

// operatorCommand is a command line of the program and what it must print.
type operatorCommand struct {
	name  string
	args  []string
	fails bool     // it must exit with an error
	want  []string // parts of the output
}

// operatorCommands returns the commands for a cluster whose node 2 runs without the optional features. The last
// command makes the leader hand over to the follower. invalid is the path of a file with invalid settings.
func (c *processCluster) operatorCommands(leader, follower int, invalid string) []operatorCommand {
	settingsFile := c.SettingsFile(0)
	leaderAddr, followerAddr := c.Addresses[leader].Client, c.Addresses[follower].Client
	addrWithoutFeatures := c.Addresses[2].Client
	return []operatorCommand{
		{"check", []string{"check", "--standby", "deploy/standby.xml", settingsFile}, false, []string{"ok: member host-0"}},
		{"check of invalid settings", []string{"check", "--standby", invalid, settingsFile}, true, []string{"element pull is unknown"}},
		{"the leader", []string{"standby", "--node", leaderAddr}, false, []string{"active", "0 entries behind", "last take-over here"}},
		{"a follower", []string{"standby", "--node", followerAddr}, false, []string{"following", "whole"}},
		{"a node without", []string{"standby", "--node", addrWithoutFeatures}, true, []string{"the warm standby is off"}},
		{"a node that does not run", []string{"standby", "--node", "127.0.0.1:1"}, true, []string{"refused"}},
		{"check of zones", []string{"check", "--features", "deploy/zones.xml", settingsFile}, false, []string{"ok: member host-0"}},
		{"zones, by the leader", []string{"zones", "--node", leaderAddr}, false, []string{"as host-", "sees them", "healthy: its machines are heard"}},
		{"zones, by a follower", []string{"zones", "--node", followerAddr}, false, []string{"as host-", "healthy: its machines are heard"}},
		{"zones, by a node without", []string{"zones", "--node", addrWithoutFeatures}, false, []string{"healthy: its machines are heard"}},
		{"handover by a follower", []string{"handover", "--node", followerAddr}, true, []string{"not leading"}},
		{"handover by a node without", []string{"handover", "--node", addrWithoutFeatures}, true, []string{"the warm standby is off"}},
		{"handover by the leader", []string{"handover", "--node", leaderAddr}, false, []string{"handed over to host-"}},
	}
}

// check runs the command and checks its output. A command that fails must print its reason in one line.
func (o operatorCommand) check(t *testing.T, program string) {
	t.Helper()
	out, err := exec.Command(program, o.args...).CombinedOutput()
	t.Logf("%s: caperlatch %s\n%s", o.name, strings.Join(o.args, " "), out)
	if (err != nil) != o.fails {
		t.Errorf("%s: error %v, want an error: %v", o.name, err, o.fails)
	}
	for _, want := range o.want {
		if !strings.Contains(string(out), want) {
			t.Errorf("the output of %s lacks %q", o.name, want)
		}
	}
	if o.fails && strings.Count(strings.TrimSpace(string(out)), "\n") > 0 {
		t.Errorf("%s: the output has several lines, want one", o.name)
	}
}

// terminateLeader sends the leader a SIGTERM. The leader hands over as it exits, so the next leader must lead sooner
// than the session of a crashed leader would expire.
func (c *processCluster) terminateLeader(leader int) {
	c.t.Helper()
	token := c.fencingToken()
	c.ExpectExit(leader)
	c.must(c.Signal(leader, syscall.SIGTERM))
	startedAt := time.Now()
	c.awaitLeaderAfter(token)
	if duration := time.Since(startedAt); duration > 2500*time.Millisecond {
		c.t.Errorf("no node led for %v after SIGTERM, want at most 2.5 s", duration)
	}
}

// Number of handovers of TestHandoverCommand, and the time in which a follower must complete its view before each.
const (
	commandHandovers = 20
	followerTimeout  = 20 * time.Second
)

// TestHandoverCommand runs the handover command repeatedly against real processes, one of which has no standby. Each
// time the named node must lead, and the output must say so. It runs only if the environment variable of
// TestFailoverTimes is set.
func TestHandoverCommand(t *testing.T) {
	if os.Getenv(failoverVariable) == "" {
		t.Skip(failoverVariable + " is not set")
	}
	program := filepath.Join(t.TempDir(), "now")
	runScript(t, `go build -ldflags=-linkmode=external -o "$1" ./cmd/caperlatch`, program)
	c := newProcessCluster(t, 3, t.TempDir())
	defer c.close()
	c.runWithAndWithoutFeatures(program)
	for n := range commandHandovers {
		leader := c.leader()
		c.awaitFollowerOf(program, leader)
		out, err := exec.Command(program, "handover", "--node", c.Addresses[leader].Client).CombinedOutput()
		next := memberName(c.leader())
		if want := "handed over to " + next + "\n"; err != nil || string(out) != want {
			t.Errorf("handover %d by node %d: %s leads, and the output is %q (error %v), want %q", n, leader, next, out, err, want)
		}
	}
	c.awaitStatus("j-000001", "done", time.Minute)
	c.checkRules()
}

// awaitFollowerOf waits until the leader has a follower without lag that has queried it within the last second.
func (c *processCluster) awaitFollowerOf(program string, leader int) {
	c.t.Helper()
	for startedAt := time.Now(); time.Since(startedAt) < followerTimeout; time.Sleep(200 * time.Millisecond) {
		out, err := exec.Command(program, "standby", "--node", c.Addresses[leader].Client).CombinedOutput()
		if err == nil && strings.Contains(string(out), "active") && strings.Contains(string(out), "0 entries behind, asked 0.") {
			return
		}
	}
	c.t.Fatalf("node %d has no follower without lag after %v", leader, followerTimeout)
}
