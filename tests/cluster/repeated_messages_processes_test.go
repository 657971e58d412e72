package cluster

import (
	"math/rand/v2"
	"path/filepath"
	"testing"
	"time"

	"caperlatch/internal/sim/harness"
	"caperlatch/internal/wire"
)

const (
	// repeatsProcessesVariable is the number of seconds for which TestRepeatedMessagesOfProcesses begins troubles.
	repeatsProcessesVariable = "CAPERLATCH_REPEATS_PROCESSES"
	repeatsProcessesRestart  = 200 * time.Millisecond // for which a killed process is away
	repeatsProcessesSeed     = 52
)

// TestRepeatedMessagesOfProcesses is TestRepeatedMessages with three real processes on loopback, which are killed and back
// within a second, and proxies that repeat requests. It runs only if its environment variable is set.
func TestRepeatedMessagesOfProcesses(t *testing.T) {
	seconds := intFromEnvironment(t, repeatsProcessesVariable, 0)
	if seconds == 0 {
		t.Skip(repeatsProcessesVariable + " is not set")
	}
	program := filepath.Join(t.TempDir(), "now")
	runScript(t, `go build -ldflags=-linkmode=external -o "$1" ./cmd/caperlatch`, program)
	r := &repeatsRun{
		seed:      repeatsProcessesSeed,
		random:    rand.New(rand.NewPCG(repeatsProcessesSeed, 52)),
		cancelled: map[string]bool{},
	}
	const nodes = 3
	p := newConfiguredProcessCluster(t, nodes, t.TempDir(), smallFleetScale(), func(c *harness.ProcessConfig) {
		c.Copies, c.UnknownFields = r.copiesOf, harness.NewUnknownFields()
	})
	defer p.close()
	r.cluster = p.cluster
	r.cloud.MaxMachines = repeatsMachines
	for node := range nodes {
		p.run(node, program)
	}
	for range repeatsInitialJobs {
		r.submitRandomJob()
	}
	restarts := 0
	for start := time.Now(); time.Since(start) < time.Duration(seconds)*time.Second; {
		switch r.random.IntN(5) {
		case 0:
			r.restartProcess(p, max(0, p.CurrentLeader()), program)
			restarts++
		case 1:
			r.restartProcess(p, r.random.IntN(nodes), program)
			restarts++
		case 2:
			r.restartMachines()
		case 3:
			r.cancelRandomJob()
		case 4:
			r.submitRandomJob()
		}
		r.pauseUpTo(4 * time.Second)
	}
	r.users.Wait()
	for _, id := range r.jobs {
		if !r.cancelled[id] {
			r.awaitStatus(id, wire.JobDone, repeatsTimeout)
		}
	}
	r.checkJobsKnown(r.jobs)
	r.checkRules()
	t.Logf("%d restarts of processes, %d jobs, %d cancelled, %d starts, %d copies to nodes",
		restarts, len(r.jobs), len(r.cancelled), r.cloud.Starts(), r.net.DeliveredCopies())
	if restarts == 0 || r.net.DeliveredCopies() == 0 {
		t.Errorf("%d restarts and %d copies to nodes, want some of both", restarts, r.net.DeliveredCopies())
	}
}

// restartProcess kills a node's process and starts it again within a fraction of a second.
func (r *repeatsRun) restartProcess(p *processCluster, node int, program string) {
	p.kill(node)
	time.Sleep(repeatsProcessesRestart)
	p.run(node, program)
}
