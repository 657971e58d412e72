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

// Variables of TestDetectionTimes, which takes minutes of real time: how many failures it measures
// for each size of cluster (without it, it is skipped), and where the plot is written.
const (
	membersVariable    = "CAPERLATCH_MEMBERS"
	membersOutVariable = "CAPERLATCH_MEMBERS_OUT"
)

// Times of the measurement.
const (
	membersPollInterval = 20 * time.Millisecond
	shortFreeze         = time.Second // too short for a suspicion
	settlePause         = 2 * time.Second
)

// TestDetectionTimes kills and freezes nodes of real processes on loopback at random times while
// jobs run, and measures until each of the others suspects the node and confirms its failure. No
// other node may be found failed, nor may one that froze for a second be suspected. All of it runs
// under the checker of the rules.
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
			verdicts = append(verdicts, r.measure(failures)...)
		})
	}
	for _, s := range detection.Summarize(verdicts) {
		t.Log(s)
	}
	writeReport(t, membersOutVariable, func(w io.Writer) error { return detection.WriteSVG(w, verdicts) })
}

// detectionRun measures with one cluster of processes.
type detectionRun struct {
	*processCluster
	program string
	random  *rand.Rand
}

// measure measures some failures.
func (r *detectionRun) measure(failures int) (verdicts []detection.Verdict) {
	defer r.close()
	r.Args = []string{"--features", "deploy/membership.xml"}
	for i := range r.size {
		r.run(i, r.program)
	}
	r.leader()
	time.Sleep(settlePause)
	for n := range failures {
		id := fmt.Sprintf("j-%06d", n+1)
		r.submit(id, 8)
		verdicts = append(verdicts, r.fail(n)...)
		r.awaitStatus(id, "done", time.Minute)
	}
	r.checkRules()
	return verdicts
}

// fail has one node fail, the leader and a follower in turn, killed or frozen, and recover.
func (r *detectionRun) fail(n int) (verdicts []detection.Verdict) {
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
		time.Sleep(shortFreeze)
		r.signal(node, syscall.SIGCONT)
		r.awaitAlive(node, 0)
	}
	startedAt := time.Now()
	if cause == failover.Frozen {
		r.signal(node, syscall.SIGSTOP)
	} else {
		r.kill(node)
	}
	verdicts = r.observe(node, startedAt)
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

// observe waits until all others have confirmed that a node failed.
func (r *detectionRun) observe(node int, startedAt time.Time) (verdicts []detection.Verdict) {
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
		r.t.Errorf("host-%d: %d nodes have confirmed its failure within %v", node, len(verdicts), detectionTimeout)
	}
	return verdicts
}

// observeNode queries one node about the one that failed, and checks that it finds no other node
// failed.
func (r *detectionRun) observeNode(observer, node int, startedAt time.Time, seen map[int]*detection.Verdict) {
	status, err := r.members(observer)
	if err != nil {
		return // it is queried again
	}
	for _, m := range status.Members {
		doubted := m.State == membership.Suspected || m.State == membership.Failed
		if !doubted {
			continue
		}
		if m.Member != memberName(node) {
			r.t.Errorf("host-%d finds %s %s, which runs", observer, m.Member, m.State)
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

// awaitAlive waits until all nodes find a node alive, and it finds all of them alive.
func (r *detectionRun) awaitAlive(node int, timeout time.Duration) {
	for startedAt := time.Now(); ; time.Sleep(membersPollInterval) {
		err := r.checkAlive(node)
		if err == nil {
			return
		}
		if time.Since(startedAt) >= timeout {
			r.t.Errorf("host-%d: %v", node, err)
			return
		}
	}
}

// checkAlive returns an error if some node does not find a node alive, or it does not find some
// node alive.
func (r *detectionRun) checkAlive(node int) error {
	for i := range r.size {
		status, err := r.members(i)
		if err != nil {
			return err
		}
		for _, m := range status.Members {
			if (i == node || m.Member == memberName(node)) && m.State != membership.Alive {
				return fmt.Errorf("%s finds %s %s", status.Member, m.Member, m.State)
			}
		}
	}
	return nil
}

// members returns a node's view of the others.
func (r *detectionRun) members(node int) (status membership.Status, err error) {
	return status, fetch(r.Addresses[node].Client, "/members", &status)
}

// fetch gets a value from a node's process.
func fetch(address, path string, value any) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	code, body, err := wire.Call(ctx, http.DefaultClient, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	if code != http.StatusOK {
		return fmt.Errorf("%s%s answers %d", address, path, code)
	}
	return wire.Unmarshal(body, value)
}

// writeReport writes a report to the file that an environment variable names, if it does.
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
