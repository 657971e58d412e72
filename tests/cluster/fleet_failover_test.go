package cluster

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/settings"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// fleetMachines is somewhat more than the 4,000 machines that a deployment may have.
const fleetMachines = 4100

// fleetTasks is the number of tasks that fill the fleet's machines.
const fleetTasks = 4 * fleetMachines

// fleetRun is a cluster of five nodes in which tasks fill all machines of the fleet.
type fleetRun struct {
	*cluster
	machines []*fake.Worker // machines when all tasks of the job ran for the first time
	launched int            // number of machines launched until then
}

// TestFleetFailover kills nodes of a deployment of 4,100 machines with heartbeats every 8 s. After each failover the next
// leader must call all machines within a fraction of that interval: when the leader waited for their heartbeats instead,
// existing jobs made no progress for 12 to 25 s. It must do so with a bounded number of connections, also when half of
// the machines do not answer. No task may be lost or start twice, also when a single node is left for all machines.
func TestFleetFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fleetRun{cluster: newTunedCluster(t, 5, setFleetLimits)}
		defer r.close()
		r.fillFleet()
		r.restartAllNodes()
		killed := r.failoverWithHalfUnreachable()
		r.leaveOneNode(killed)
		r.awaitStatus("j-000001", wire.JobDone, 5*time.Minute)
		// The leader must not launch machines for tasks that run on machines whose tasks it does not know yet.
		if n := r.cloud.Launched() - r.launched; n > fleetMachines/10 {
			t.Errorf("%d machines were launched during the failovers, want at most %d", n, fleetMachines/10)
		}
	})
}

// setFleetLimits sets the worker times and the limits of a deployment of about 4,000 machines.
func setFleetLimits(s *settings.Settings) {
	s.Params.Workers = settings.Workers{HeartbeatIntervalS: 8, LeaseDurationS: 45, CancellationTimeoutS: 75}
	s.Params.State = settings.State{RPS: 100, WriteRPS: 30, ValueKB: 4, TxnOps: 8}
	s.Params.Limits = settings.Limits{CPU: 1, MemoryMB: 322, MaxSockets: 3200}
}

// fillFleet submits a job whose tasks fill the fleet, and waits until the fleet is stable.
func (r *fleetRun) fillFleet() {
	r.cloud.RuntimeOf = func(string) float64 { return 300 }
	time.Sleep(3 * time.Second)
	job := testJob("j-000001", fleetTasks)
	job["expect_s"] = 300.0
	if code, _ := r.submitTo(r.leader(), job); code != http.StatusCreated {
		r.t.Fatalf("submission: got code %d, want 201", code)
	}
	for i := 0; r.cloud.Starts() < fleetTasks; i++ {
		if i == 60 {
			r.t.Fatalf("only %d tasks started on %d machines within 60 s", r.cloud.Starts(), r.cloud.Launched())
		}
		time.Sleep(time.Second)
	}
	time.Sleep(70 * time.Second) // until the burst no longer counts in the demand rate λ
	r.machines = r.cloud.Workers()
	if len(r.machines) < fleetMachines {
		r.t.Fatalf("%d machines are up, want at least the size of the fleet", len(r.machines))
	}
	r.launched = r.cloud.Launched()
}

// countCalled waits until a leader has a higher fencing token than before, and counts the machines that know the new
// token after the given delay.
func (r *fleetRun) countCalled(before uint64, delay time.Duration) (called int) {
	r.t.Helper()
	for i := 0; r.fencingToken() == before; i++ {
		if i == 200 {
			r.t.Fatal("no node became leader within 20 s")
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(delay)
	for _, w := range r.machines {
		if w.FencingToken() > before {
			called++
		}
	}
	return called
}

// restartAllNodes restarts all nodes at once. The next leader must call all machines within 2 s.
func (r *fleetRun) restartAllNodes() {
	before := r.fencingToken()
	r.killAll()
	r.startAll()
	if called := r.countCalled(before, 2*time.Second); called != len(r.machines) {
		r.t.Errorf("after a restart of all nodes, %d of %d machines were called within 2 s, want all", called, len(r.machines))
	}
}

// failoverWithHalfUnreachable kills the leader while calls to every second machine fail, although the machines' heartbeats
// still arrive. The next leader must call the other machines within 6 s, over a bounded number of connections. The killed
// node stays down; its index is returned.
func (r *fleetRun) failoverWithHalfUnreachable() (killed int) {
	r.setFault(func(from string, q *http.Request) fake.Fault {
		var n int
		if _, err := fmt.Sscanf(q.URL.Host, "i-%d:", &n); err == nil && n%2 == 0 && strings.HasPrefix(from, "host") {
			return fake.DroppedRequest
		}
		return fake.NoFault
	})
	before := r.fencingToken()
	killed = r.leader()
	r.kill(killed)
	if called := r.countCalled(before, 6*time.Second); called < len(r.machines)/2 {
		r.t.Errorf("with half of the machines unreachable, %d of %d machines were called within 6 s, want at least half", called, len(r.machines))
	}
	time.Sleep(15 * time.Second)
	r.setFault(nil)
	if maxCalls := r.net.MaxWorkerCalls(); maxCalls > 3200/16 || maxCalls < 50 {
		r.t.Errorf("up to %d calls to workers at a time, want 50 to %d", maxCalls, 3200/16)
	}
	return killed
}

// leaveOneNode kills all nodes but the leader for a minute; the node killed before is down already. The leader must keep
// all tasks on their machines.
func (r *fleetRun) leaveOneNode(killed int) {
	left := r.leader()
	for node := range r.size {
		if node != killed && node != left {
			r.kill(node)
		}
	}
	time.Sleep(60 * time.Second)
	if n := len(r.cloud.TasksOnMachines()); n != fleetTasks {
		r.t.Errorf("%d of %d tasks are still on their machines, want all", n, fleetTasks)
	}
	if n := r.cloud.Starts(); n != fleetTasks {
		r.t.Errorf("%d task starts, want one for each of %d tasks", n, fleetTasks)
	}
	for _, violation := range r.cloud.Violations() {
		r.t.Error(violation)
	}
	for node := range r.size {
		if node != left {
			r.start(node)
		}
	}
}
