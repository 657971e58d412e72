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

// fleetTasks fill the fleet's machines.
const fleetTasks = 4 * fleetMachines

// fleetRun is a cluster of five nodes whose fleet is full.
type fleetRun struct {
	*cluster
	machines []*fake.Worker // as the job's tasks ran first
	launched int            // machines until then
}

// TestFleetFailover kills nodes of a deployment of 4,100 machines with heartbeats every 8 s. Each
// time the next leader must have called all machines in a fraction of that: when it waited for
// their heartbeats, old jobs stood still for 12 to 25 s. It must do so with a bounded number of
// connections, also when half of the machines do not answer; and no task may be lost or start
// twice, also when one node is left with all machines.
func TestFleetFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fleetRun{cluster: newTunedCluster(t, 5, setFleetLimits)}
		defer r.close()
		r.fillFleet()
		r.restartAllNodes()
		killed := r.failoverWithHalfUnreachable()
		r.leaveOneNode(killed)
		r.awaitStatus("j-000001", wire.JobDone, 5*time.Minute)
		// What runs on machines whose tasks are not known yet is no reason to launch others.
		if n := r.cloud.Launched() - r.launched; n > fleetMachines/10 {
			t.Errorf("%d machines were launched at the failovers", n)
		}
	})
}

// setFleetLimits sets times and limits of a deployment of some 4,000 machines.
func setFleetLimits(s *settings.Settings) {
	s.Params.Workers = settings.Workers{HeartbeatIntervalS: 8, LeaseDurationS: 45, CancellationTimeoutS: 75}
	s.Params.State = settings.State{RPS: 100, WriteRPS: 30, ValueKB: 4, TxnOps: 8}
	s.Params.Limits = settings.Limits{CPU: 1, MemoryMB: 322, MaxSockets: 3200}
}

// fillFleet submits a job that fills the fleet, and waits until the fleet is steady.
func (r *fleetRun) fillFleet() {
	r.cloud.RuntimeOf = func(string) float64 { return 300 }
	time.Sleep(3 * time.Second)
	job := testJob("j-000001", fleetTasks)
	job["expect_s"] = 300.0
	if code, _ := r.submitTo(r.leader(), job); code != http.StatusCreated {
		r.t.Fatalf("not accepted: %d", code)
	}
	for i := 0; r.cloud.Starts() < fleetTasks; i++ {
		if i == 60 {
			r.t.Fatalf("%d tasks started on %d machines", r.cloud.Starts(), r.cloud.Launched())
		}
		time.Sleep(time.Second)
	}
	time.Sleep(70 * time.Second) // until the burst has left the demand rate λ
	r.machines = r.cloud.Workers()
	if len(r.machines) < fleetMachines {
		r.t.Fatalf("%d machines", len(r.machines))
	}
	r.launched = r.cloud.Launched()
}

// countCalled waits for the next leader, and counts the machines that know its fencing token after a
// while.
func (r *fleetRun) countCalled(before uint64, after time.Duration) (called int) {
	r.t.Helper()
	for i := 0; r.fencingToken() == before; i++ {
		if i == 200 {
			r.t.Fatal("nobody leads")
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(after)
	for _, w := range r.machines {
		if w.FencingToken() > before {
			called++
		}
	}
	return called
}

// restartAllNodes restarts all nodes at once: the next leader must call all machines within 2 s.
func (r *fleetRun) restartAllNodes() {
	before := r.fencingToken()
	r.killAll()
	r.startAll()
	if called := r.countCalled(before, 2*time.Second); called != len(r.machines) {
		r.t.Errorf("all nodes restart at once: %d of %d machines called after 2 s", called, len(r.machines))
	}
}

// failoverWithHalfUnreachable kills the leader while every second machine cannot be called; its
// heartbeats still come. The next leader must call the others, over not too many connections. The
// killed node is returned; it stays down.
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
		r.t.Errorf("half unreachable: %d of %d machines called after 6 s", called, len(r.machines))
	}
	time.Sleep(15 * time.Second)
	r.setFault(nil)
	if most := r.net.MaxWorkerCalls(); most > 3200/16 || most < 50 {
		r.t.Errorf("%d calls to workers at a time, want at most %d", most, 3200/16)
	}
	return killed
}

// leaveOneNode kills all nodes but the leader for a minute; one of them is down already. The leader
// must keep all tasks where they are.
func (r *fleetRun) leaveOneNode(killed int) {
	left := r.leader()
	for node := range r.size {
		if node != killed && node != left {
			r.kill(node)
		}
	}
	time.Sleep(60 * time.Second)
	if n := len(r.cloud.TasksOnMachines()); n != fleetTasks {
		r.t.Errorf("%d of %d tasks are still on their machines", n, fleetTasks)
	}
	if n := r.cloud.Starts(); n != fleetTasks {
		r.t.Errorf("%d tasks started, want each of %d once", n, fleetTasks)
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
