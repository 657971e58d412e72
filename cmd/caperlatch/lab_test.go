package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// buildProgram builds this program once and returns the path of the executable.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "caperlatch-test-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "caperlatch")
	out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// TestMain removes the directory of the built program after all tests.
func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := buildProgram(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// runProgram runs the built program until it exits, and returns its output and exit code.
func runProgram(t *testing.T, args ...string) (out string, code int) {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(path, args...)
	b, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return string(b), cmd.ProcessState.ExitCode()
}

// TestLabRun checks that a small cluster completes all jobs, without a violated rule, while its leader is killed and
// restarted.
func TestLabRun(t *testing.T) {
	t.Parallel()
	report := filepath.Join(t.TempDir(), "report.html")
	faults := writeFile(t, "faults.toml", "[[fault]]\nat_s = 2.0\nfor_s = 1.0\nkind = \"kill\"\nnode = \"leader\"\n")
	out, code := runProgram(t, "lab", "run", "--machines", "8", "--seconds", "4", "--faults", faults, "--report", report, "--features", "../../deploy/membership.xml")
	if code != 0 || !strings.Contains(out, "0 rules broken, 0 jobs open") || !strings.Contains(out, "2 terms of leaders") {
		t.Errorf("got exit code %d and output\n%s\nwant exit code 0, no violated rule, no open job and 2 terms", code, out)
	}
	if b, err := os.ReadFile(report); err != nil || !bytes.Contains(b, []byte("interactive")) {
		t.Errorf("report: got error %v and %d bytes, want no error and a report that contains the class interactive", err, len(b))
	}
}

// TestLabRejectsInvalidOptions checks that the lab rejects invalid options with a single line of output, before it
// starts a process.
func TestLabRejectsInvalidOptions(t *testing.T) {
	t.Parallel()
	faults := writeFile(t, "faults.toml", "[[fault]]\nkind = \"explode\"\n")
	for _, c := range []struct {
		args       []string
		wantOutput string
	}{
		{[]string{"--faults", faults}, faults + ":2: kind"},
		{[]string{"--faults", "none.toml"}, "none.toml"},
		{[]string{"--nodes", "4"}, "--nodes"},
		{[]string{"--machines", "0"}, "--machines"},
		{[]string{"--seconds", "0"}, "--seconds"},
		{[]string{"--features", "none.xml"}, "none.xml"},
	} {
		out, code := runProgram(t, append([]string{"lab", "run"}, c.args...)...)
		if code != exitUsage || strings.Count(out, "\n") != 1 || !strings.Contains(out, c.wantOutput) {
			t.Errorf("%v: got exit code %d, output %q; want exit code %d and a single line that contains %q", c.args, code, out, exitUsage, c.wantOutput)
		}
	}
}

// TestLabUp checks that the nodes of a running lab exit when the lab is terminated or killed, and that the lab starts
// when its first port is in use.
func TestLabUp(t *testing.T) {
	t.Parallel()
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	port := occupied.Addr().(*net.TCPAddr).Port
	if port > 65_000 {
		t.Skip("too few valid ports follow port", port)
	}
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(sig.String(), func(t *testing.T) {
			cmd := exec.Command(path, "lab", "up", "--port", fmt.Sprint(port))
			out, err := cmd.StdoutPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			defer cmd.Process.Kill()
			address, children := readLabNodes(t, bufio.NewScanner(out))
			if sig == syscall.SIGTERM {
				checkJobCommands(t, address)
			}
			if err := cmd.Process.Signal(sig); err != nil {
				t.Fatal(err)
			}
			if err := cmd.Wait(); (err != nil) != (sig == syscall.SIGKILL) {
				t.Errorf("got error %v when the lab exited, want an error only after SIGKILL", err)
			}
			for _, pid := range children {
				waitForProcessExit(t, pid)
			}
		})
	}
}

// readLabNodes reads the output of the lab and returns the address of the first node and the process IDs of all nodes.
func readLabNodes(t *testing.T, lines *bufio.Scanner) (address string, pids []int) {
	t.Helper()
	for lines.Scan() {
		var host, at string
		var pid int
		if n, _ := fmt.Sscanf(strings.ReplaceAll(lines.Text(), ",", ""), "%s answers at %s process %d", &host, &at, &pid); n == 3 {
			pids = append(pids, pid)
			if address == "" {
				address = at
			}
		}
		if strings.HasPrefix(lines.Text(), "Ctrl-C") {
			break
		}
	}
	if len(pids) != defaultLabNodes {
		t.Fatalf("the lab printed %d process IDs, want one for each of its nodes", len(pids))
	}
	return address, pids
}

// checkJobCommands checks that a job can be submitted, queried and cancelled at a node.
func checkJobCommands(t *testing.T, address string) {
	t.Helper()
	const id, file = "j-100001", "../../deploy/job.example.json"
	for _, c := range []struct {
		args       []string
		wantOutput string
		wantCode   int
	}{
		{[]string{"submit", "--node", "127.0.0.1:1", "--node", address, file}, id + ": pending", 0},
		{[]string{"jobs", "--node", address, "--output", "json", id}, `"id":"` + id + `"`, 0},
		{[]string{"cancel", "--node", address, id}, id + ": withdrawn", 0},
		{[]string{"jobs", "--node", address, id}, id + ": withdrawn", 0},
		{[]string{"jobs", "--node", address, "j-999999"}, "no such job", 1},
		{[]string{"jobs", "--node", address, "--output", "xml", id}, "--output", exitUsage},
	} {
		if out, code := runProgram(t, c.args...); code != c.wantCode || !strings.Contains(out, c.wantOutput) {
			t.Errorf("%v: got exit code %d, output %q; want exit code %d and output that contains %q", c.args, code, out, c.wantCode, c.wantOutput)
		}
	}
}

// waitForProcessExit waits until a process does not exist or is a zombie, for at most 10 s.
func waitForProcessExit(t *testing.T, pid int) {
	t.Helper()
	for range 100 {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if _, state, _ := strings.Cut(string(stat), ") "); err != nil || strings.HasPrefix(state, "Z") {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Errorf("process %d is still running after 10 s", pid)
}
