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

	"caperlatch/internal/wire"
)

// program builds this program, once.
var program = sync.OnceValues(func() (string, error) {
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

// TestMain removes the built program.
func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := program(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// run runs the built program to its end.
func run(t *testing.T, args ...string) (out string, code int) {
	t.Helper()
	path, err := program()
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

// TestLabRun has a small cluster do jobs while its leader is killed.
func TestLabRun(t *testing.T) {
	t.Parallel()
	report := filepath.Join(t.TempDir(), "report.html")
	faults := writeFile(t, "faults.toml", "[[fault]]\nat_s = 2.0\nfor_s = 1.0\nkind = \"kill\"\nnode = \"leader\"\n")
	out, code := run(t, "lab", "run", "--machines", "8", "--seconds", "4", "--faults", faults, "--report", report, "--features", "../../deploy/membership.xml")
	if code != 0 || !strings.Contains(out, "0 rules broken, 0 jobs open") || !strings.Contains(out, "2 terms of leaders") {
		t.Errorf("exit code %d\n%s", code, out)
	}
	if b, err := os.ReadFile(report); err != nil || !bytes.Contains(b, []byte("interactive")) {
		t.Errorf("report: %v, %d bytes", err, len(b))
	}
}

// TestLabRefuses has the lab refuse what cannot be carried out, before it starts anything.
func TestLabRefuses(t *testing.T) {
	t.Parallel()
	faults := writeFile(t, "faults.toml", "[[fault]]\nkind = \"explode\"\n")
	for _, c := range []struct {
		args []string
		says string
	}{
		{[]string{"--faults", faults}, faults + ":2: kind"},
		{[]string{"--faults", "none.toml"}, "none.toml"},
		{[]string{"--nodes", "4"}, "--nodes"},
		{[]string{"--machines", "0"}, "--machines"},
		{[]string{"--seconds", "0"}, "--seconds"},
		{[]string{"--features", "none.xml"}, "none.xml"},
	} {
		out, code := run(t, append([]string{"lab", "run"}, c.args...)...)
		if code != exitUsage || strings.Count(out, "\n") != 1 || !strings.Contains(out, c.says) {
			t.Errorf("%v: exit code %d, %q", c.args, code, out)
		}
	}
}

// TestLabUp uses a cluster that stays up, with the first port taken, and ends the lab in several
// ways: its nodes must end with it.
func TestLabUp(t *testing.T) {
	t.Parallel()
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	port := taken.Addr().(*net.TCPAddr).Port
	if port > 65_000 {
		t.Skip("no room for the ports after", port)
	}
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	for _, end := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(end.String(), func(t *testing.T) {
			cmd := exec.Command(path, "lab", "up", "--port", fmt.Sprint(port))
			out, err := cmd.StdoutPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			defer cmd.Process.Kill()
			address, children := readUp(t, bufio.NewScanner(out))
			if end == syscall.SIGTERM {
				useJobs(t, address)
			}
			if err := cmd.Process.Signal(end); err != nil {
				t.Fatal(err)
			}
			if err := cmd.Wait(); (err != nil) != (end == syscall.SIGKILL) {
				t.Errorf("ended: %v", err)
			}
			for _, pid := range children {
				awaitGone(t, pid)
			}
		})
	}
}

// readUp reads where the first node answers, and the nodes' processes.
func readUp(t *testing.T, lines *bufio.Scanner) (address string, pids []int) {
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
	if len(pids) != labNodes {
		t.Fatalf("%d processes told", len(pids))
	}
	return address, pids
}

// useJobs submits, asks for and cancels a job.
func useJobs(t *testing.T, address string) {
	t.Helper()
	const id, file = "j-100001", "../../deploy/job.example.json"
	for _, c := range []struct {
		args []string
		says string
		code int
	}{
		{[]string{"submit", "--node", "127.0.0.1:1", "--node", address, file}, id + ": pending", 0},
		{[]string{"jobs", "--node", address, "--output", "json", id}, `"id":"` + id + `"`, 0},
		{[]string{"cancel", "--node", address, id}, id + ": withdrawn", 0},
		{[]string{"jobs", "--node", address, id}, id + ": withdrawn", 0},
		{[]string{"jobs", "--node", address, "j-999999"}, "no such job", 1},
		{[]string{"jobs", "--node", address, "--output", "xml", id}, "--output", exitUsage},
	} {
		if out, code := run(t, c.args...); code != c.code || !strings.Contains(out, c.says) {
			t.Errorf("%v: exit code %d, %q", c.args, code, out)
		}
	}
}

// awaitGone waits until a process is no more, or has ended and nobody has asked how.
func awaitGone(t *testing.T, pid int) {
	t.Helper()
	for range 100 {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if _, state, _ := strings.Cut(string(stat), ") "); err != nil || strings.HasPrefix(state, "Z") {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Errorf("process %d still runs", pid)
}

// TestSubmitRetries has users' requests be repeated at the next node where the protocol says so.
func TestSubmitRetries(t *testing.T) {
	cases := []struct {
		name  string
		codes []int // of the answers, the last one for ever
		asked int
		says  []string
		wrong string
	}{
		{"at once", []int{201}, 1, []string{"j-100001: pending"}, ""},
		{"known already", []int{200}, 1, []string{"j-100001: pending"}, ""},
		{"overload, then an outage", []int{429, 503, 201}, 3, []string{"j-100001: pending"}, ""},
		{"refused", []int{400}, 1, nil, "bad request"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			asked := 0
			node := answering(t, "POST /v1/jobs", func() (int, any) {
				asked++
				return c.codes[min(asked, len(c.codes))-1], wire.JobStatus{ID: "j-100001", State: wire.JobPending}
			})
			execute(t, c.says, c.wrong, "submit", "--node", node, "../../deploy/job.example.json")
			if asked != c.asked {
				t.Errorf("asked %d times, want %d", asked, c.asked)
			}
		})
	}
}
