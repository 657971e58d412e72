package cluster

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"caperlatch/internal/membership"
	"caperlatch/internal/sim/measure/detection"
	"caperlatch/internal/sim/measure/failover"
	"caperlatch/internal/wire"
)

// Environment variables of TestDetectionTimes, which takes minutes of real time. The first is the number of failures
// to measure for each size of cluster; if it is not set, the test is skipped. The second is the file for the plot.
const (
	membersVariable    = "CAPERLATCH_MEMBERS"
	membersOutVariable = "CAPERLATCH_MEMBERS_OUT"
)

// Times of the measurement.
const (
	membersPollInterval = 20 * time.Millisecond
	briefFreeze         = time.Second // too short for the node to be suspected
	startupPause        = 2 * time.Second
)

// TestDetectionTimes measures failure detection between real processes on loopback. It kills and freezes nodes at
// random times while jobs run, and measures the time until each other node suspects the node and confirms its failure.
// No other node may be suspected or found failed, and a freeze of a second must not cause a suspicion. The rules are
// checked throughout.
func TestDetectionTimes(t *testing.T) {
	failures := envInt(t, membersVariable, 0)
	if failures == 0 {
		t.Skip(membersVariable + " is not set")
	}
	program := filepath.Join(t.TempDir(), "now")
	runScript(t, `go build -ldflags=-linkmode=external -o "$1" ./cmd/caperlatch`, program)
	var verdicts []detection.Verdict
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d nodes", size), func(t *testing.T) {
			r := &detectionRun{processCluster: newProcessCluster(t, size, t.TempDir()), program: program, random: rand.New(rand.NewPCG(uint64(size), 33))}
			verdicts = append(verdicts, r.measureFailures(failures)...)
		})
	}
	for _, s := range detection.Summarize(verdicts) {
		t.Log(s)
	}
	writeReport(t, membersOutVariable, func(w io.Writer) error { return detection.WriteSVG(w, verdicts) })
}

// detectionRun measures failure detection in one cluster of processes.
type detectionRun struct {
	*processCluster
	program string
	random  *rand.Rand
}

// measureFailures starts the nodes and measures a number of failures, each while a job runs.
func (r *detectionRun) measureFailures(failures int) (verdicts []detection.Verdict) {
	defer r.close()
	r.Args = []string{"--features", "deploy/membership.xml"}
	for i := range r.size {
		r.run(i, r.program)
	}
	r.leader()
	time.Sleep(startupPause)
	for n := range failures {
		id := fmt.Sprintf("j-%06d", n+1)
		r.submit(id, 8)
		verdicts = append(verdicts, r.measureFailure(n)...)
		r.awaitStatus(id, "done", time.Minute)
	}
	r.checkRules()
	return verdicts
}

// measureFailure makes a node fail and recover, and returns the verdicts of the other nodes. The leader fails if n is
// even, a follower if it is odd. The node is killed for two values of n and frozen for the next two, in turn. A node
// that is to be frozen is frozen briefly first, which must not cause a suspicion.
func (r *detectionRun) measureFailure(n int) (verdicts []detection.Verdict) {
	time.Sleep(time.Duration(r.random.Int64N(int64(time.Second))))
	leader := r.leader()
	node := leader
	if n%2 == 1 {
		node = (leader + 1) % r.size
	}
	cause := failover.Killed
	if n/2%2 == 1 {
		cause = failover.Frozen
		r.signal(node, syscall.SIGSTOP)
		time.Sleep(briefFreeze)
		r.signal(node, syscall.SIGCONT)
		r.awaitAlive(node, 0)
	}
	startedAt := time.Now()
	if cause == failover.Frozen {
		r.signal(node, syscall.SIGSTOP)
	} else {
		r.kill(node)
	}
	verdicts = r.measureDetection(node, startedAt)
	for i := range verdicts {
		verdicts[i].Nodes, verdicts[i].Cause, verdicts[i].Leader = r.size, cause, node == leader
	}
	if cause == failover.Frozen {
		r.signal(node, syscall.SIGCONT)
	} else {
		r.run(node, r.program)
	}
	r.awaitAlive(node, detectionTimeout)
	return verdicts
}

// signal sends a signal to a node's process.
func (r *detectionRun) signal(node int, s syscall.Signal) {
	r.must(r.Signal(node, s))
}

// measureDetection waits until all others have confirmed that a node failed, and returns when each suspected and
// confirmed it.
func (r *detectionRun) measureDetection(node int, startedAt time.Time) (verdicts []detection.Verdict) {
	seen := map[int]*detection.Verdict{}
	for time.Since(startedAt) < detectionTimeout && len(verdicts) < r.size-1 {
		for i := range r.size {
			if i != node && (seen[i] == nil || seen[i].Confirmed == 0) {
				r.observeNode(i, node, startedAt, seen)
				if v := seen[i]; v != nil && v.Confirmed != 0 {
					verdicts = append(verdicts, *v)
				}
			}
		}
		time.Sleep(membersPollInterval)
	}
	if len(verdicts) < r.size-1 {
		r.t.Errorf("host-%d: %d nodes have confirmed its failure within %v, want %d", node, len(verdicts), detectionTimeout, r.size-1)
	}
	return verdicts
}

// observeNode records what the observer reports about the node that failed, and checks that the observer neither
// suspects another node nor finds it failed.
func (r *detectionRun) observeNode(observer, node int, startedAt time.Time, seen map[int]*detection.Verdict) {
	status, err := r.members(observer)
	if err != nil {
		return // the next poll queries it again
	}
	for _, m := range status.Members {
		suspectedOrFailed := m.State == membership.Suspected || m.State == membership.Failed
		if !suspectedOrFailed {
			continue
		}
		if m.Member != memberName(node) {
			r.t.Errorf("host-%d reports %s as %s although it runs", observer, m.Member, m.State)
			continue
		}
		if seen[observer] == nil {
			seen[observer] = &detection.Verdict{Suspected: microsSince(startedAt)}
		}
		if m.State == membership.Failed {
			seen[observer].Confirmed = microsSince(startedAt)
		}
	}
}

// awaitAlive waits until all nodes report a node as alive, and the node reports all others as alive.
func (r *detectionRun) awaitAlive(node int, timeout time.Duration) {
	for startedAt := time.Now(); ; time.Sleep(membersPollInterval) {
		err := r.checkAlive(node)
		if err == nil {
			return
		}
		if time.Since(startedAt) >= timeout {
			r.t.Errorf("host-%d is not alive for all nodes after %v: %v", node, timeout, err)
			return
		}
	}
}

// checkAlive returns an error if some node does not report a node as alive, or if that node does not report some other
// node as alive.
func (r *detectionRun) checkAlive(node int) error {
	for i := range r.size {
		status, err := r.members(i)
		if err != nil {
			return err
		}
		for _, m := range status.Members {
			if (i == node || m.Member == memberName(node)) && m.State != membership.Alive {
				return fmt.Errorf("%s reports %s as %s, want %s", status.Member, m.Member, m.State, membership.Alive)
			}
		}
	}
	return nil
}

// members returns a node's view of the other members.
func (r *detectionRun) members(node int) (status membership.Status, err error) {
	return status, fetch(r.Addresses[node].Client, "/members", &status)
}

// fetch sends a GET request to a node's process and decodes the response into value.
func fetch(address, path string, value any) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	code, body, err := wire.Call(ctx, http.DefaultClient, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	if code != http.StatusOK {
		return fmt.Errorf("GET %s%s: status %d, want 200", address, path, code)
	}
	return wire.Unmarshal(body, value)
}

// writeReport writes a report to the file that an environment variable names, if the variable is set.
func writeReport(t *testing.T, variable string, write func(io.Writer) error) {
	t.Helper()
	out := os.Getenv(variable)
	if out == "" {
		return
	}
	f, err := os.Create(out)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if err := write(f); err != nil {
		t.Error(err)
	}
}
