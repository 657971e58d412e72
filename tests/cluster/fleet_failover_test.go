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

// TestFleetFailover kills nodes of a deployment of 4,100 machines with heartbeats every 8 s. Each
// time the next leader must have called all machines in a fraction of that: when it waited for
// their heartbeats, old jobs stood still for 12 to 25 s. It must do so with a bounded number of
// connections, also when half of the machines do not answer; and no task may be lost or start
// twice, also when one node is left with all machines.
func TestFleetFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTunedCluster(t, 5, func(s *settings.Settings) {
			s.Params.Workers = settings.Workers{HeartbeatIntervalS: 8, LeaseDurationS: 45, CancellationTimeoutS: 75}
			s.Params.State = settings.State{RPS: 100, WriteRPS: 30, ValueKB: 4, TxnOps: 8}
			s.Params.Limits = settings.Limits{CPU: 1, MemoryMB: 322, MaxSockets: 3200}
		})
		defer c.close()
		c.cloud.RuntimeOf = func(string) float64 { return 300 }
		time.Sleep(3 * time.Second)
		job := testJob("j-000001", 4*fleetMachines)
		job["expect_s"] = 300.0
		if code, _ := c.request(http.MethodPost, c.leader(), "/v1/jobs", job); code != http.StatusCreated {
			t.Fatalf("not accepted: %d", code)
		}
		for i := 0; c.cloud.Starts() < 4*fleetMachines; i++ {
			if i == 60 {
				t.Fatalf("%d tasks started on %d machines", c.cloud.Starts(), c.cloud.Launched())
			}
			time.Sleep(time.Second)
		}
		time.Sleep(70 * time.Second) // until the burst has left the demand rate λ
		machines := c.cloud.Workers()
		all := len(machines)
		if all < fleetMachines {
			t.Fatalf("%d machines", all)
		}
		launched := c.cloud.Launched()

		// countCalled waits for the next leader, and counts the machines that know its fencing
		// token after a while.
		countCalled := func(before uint64, after time.Duration) (called int) {
			for i := 0; c.fencingToken() == before; i++ {
				if i == 200 {
					t.Fatal("nobody leads")
				}
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(after)
			for _, w := range machines {
				if w.FencingToken() > before {
					called++
				}
			}
			return called
		}
		before := c.fencingToken()
		for i := range 5 {
			c.kill(i)
		}
		for i := range 5 {
			c.start(i)
		}
		if called := countCalled(before, 2*time.Second); called != all {
			t.Errorf("all nodes restart at once: %d of %d machines called after 2 s", called, all)
		}

		// Every second machine cannot be called; its heartbeats still come.
		c.setFault(func(from string, r *http.Request) fake.Fault {
			var n int
			if _, err := fmt.Sscanf(r.URL.Host, "i-%d:", &n); err == nil && n%2 == 0 && strings.HasPrefix(from, "host") {
				return fake.DroppedRequest
			}
			return fake.NoFault
		})
		before = c.fencingToken()
		i := c.leader()
		c.kill(i)
		if called := countCalled(before, 6*time.Second); called < all/2 {
			t.Errorf("half unreachable: %d of %d machines called after 6 s", called, all)
		}
		time.Sleep(15 * time.Second)
		c.setFault(nil)
		if most := c.net.MaxWorkerCalls(); most > 3200/16 || most < 50 {
			t.Errorf("%d calls to workers at a time, want at most %d", most, 3200/16)
		}

		// One node is left.
		j := c.leader()
		for k := range 5 {
			if k != i && k != j {
				c.kill(k)
			}
		}
		time.Sleep(60 * time.Second)
		if n := len(c.cloud.TasksOnMachines()); n != 4*fleetMachines {
			t.Errorf("%d of %d tasks are still on their machines", n, 4*fleetMachines)
		}
		if n := c.cloud.Starts(); n != 4*fleetMachines {
			t.Errorf("%d tasks started, want each of %d once", n, 4*fleetMachines)
		}
		for _, b := range c.cloud.Violations() {
			t.Error(b)
		}
		for k := range 5 {
			if k != j {
				c.start(k)
			}
		}
		c.awaitStatus("j-000001", wire.JobDone, 5*time.Minute)
		// What runs on machines whose tasks are not known yet is no reason to launch others.
		if n := c.cloud.Launched() - launched; n > fleetMachines/10 {
			t.Errorf("%d machines were launched at the failovers", n)
		}
	})
}
