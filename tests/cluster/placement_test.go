package cluster

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/settings"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
)

// TestOnDemandOnly submits a job that may not use spot machines to a fleet of idle spot machines:
// it must get an on-demand one, not starve.
func TestOnDemandOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.submit("j-000001", 4)
		c.awaitStatus("j-000001", wire.JobDone, time.Minute)
		job := testJob("j-000002", 2)
		job["standby"] = false
		if code, _ := c.request(http.MethodPost, 0, "/v1/jobs", job); code != http.StatusCreated {
			t.Fatalf("submission answered %d", code)
		}
		c.awaitStatus("j-000002", wire.JobDone, 2*time.Minute)
	})
}

// TestTeamLimit submits a job of twelve CPUs of a team with a limit of four.
func TestTeamLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.submit("j-000009", 1)
		time.Sleep(time.Second) // until every node knows the instance types
		job := testJob("j-000001", 12)
		job["desk"] = "small"
		if code, _ := c.request(http.MethodPost, 0, "/v1/jobs", job); code != http.StatusCreated {
			t.Fatalf("submission answered %d", code)
		}
		most := 0
		for range 240 { // a minute
			time.Sleep(250 * time.Millisecond)
			own := slices.DeleteFunc(c.cloud.TasksOnMachines(), func(task string) bool { return !strings.HasPrefix(task, "j-000001/") })
			most = max(most, len(own))
		}
		c.awaitStatus("j-000001", wire.JobDone, time.Minute)
		if most > 4 {
			t.Errorf("%d tasks at once of a team with a limit of 4", most)
		}
	})
}

// TestTeamLimitAcrossFailover has a team at its limit whose job is cancelled while its machines are
// isolated or hang, across one or two failovers. The team's next job waits until what may still run
// there is certainly gone.
func TestTeamLimitAcrossFailover(t *testing.T) {
	cases := []struct {
		name        string
		hang        bool            // else they are isolated
		pauses      []time.Duration // before each failover
		cancelFirst bool            // before the first failover
	}{
		{"isolated, one failover", false, []time.Duration{0}, true},
		{"isolated, two failovers", false, []time.Duration{0, 2 * time.Second}, true},
		{"isolated, cancelled after the failover", false, []time.Duration{0, 3 * time.Second}, false},
		{"hang, one failover", true, []time.Duration{0}, true},
		{"hang, two failovers", true, []time.Duration{0, 300 * time.Millisecond}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newClusterOf(t, 5)
				defer c.close()
				c.cloud.RuntimeOf = func(task string) float64 {
					if strings.HasPrefix(task, "j-000009/") {
						return 30
					}
					return 300
				}
				idle := testJob("j-000009", 8) // its machines stay reachable
				idle["expect_s"] = 200.0
				c.runJob(idle)
				full := testJob("j-000001", 4)
				full["desk"], full["expect_s"] = "small", 200.0
				c.runJob(full)
				time.Sleep(2 * time.Second)
				ids := map[string]bool{}
				for _, w := range c.cloud.WorkersOf("j-000001") {
					ids[w.ID] = true
				}
				var dropped counter
				stillOn := 0
				if tc.hang {
					c.setFault(isolateMachines(nil, &dropped))
					for _, w := range c.cloud.WorkersOf("j-000001") {
						w.Hang(7 * time.Second)
					}
				} else {
					c.setFault(isolateMachines(ids, &dropped))
				}
				if tc.cancelFirst {
					c.cancelJob("j-000001", 0)
				}
				for i, pause := range tc.pauses {
					time.Sleep(pause)
					before := c.fencingToken()
					c.restartNodes(c.leader())
					if i == 0 && !tc.cancelFirst {
						c.cancelJob("j-000001", 1)
					}
					next := testJob(fmt.Sprintf("j-00000%d", 2+i), 4)
					next["desk"] = "small"
					for try := range 40 {
						if c.accept(try%5, next) {
							break
						}
						time.Sleep(100 * time.Millisecond)
					}
					c.awaitLeaderAfter(before)
					stillOn += c.runningTasks("j-000001")
				}
				time.Sleep(4 * time.Second)
				c.setFault(nil)
				if stillOn < 4*len(tc.pauses) {
					t.Errorf("only %d tasks still ran under the next leaders", stillOn)
				}
				if !tc.hang && dropped.count("dropped") == 0 {
					t.Error("no message was dropped")
				}
				for range 120 {
					if c.runningTasks("j-000002") == 4 {
						break
					}
					time.Sleep(time.Second)
				}
				if c.runningTasks("j-000002") != 4 {
					t.Errorf("the team's next job does not run: %v", c.cloud.TasksOnMachines())
				}
				c.checkRules()
			})
		})
	}
}

// TestZoneConstraints submits a job whose tasks must be in one zone, or spread over zones, beside a
// job that is in one zone: machines must be launched in the zone where the next task may start.
// They once came up in the other one, one after the other, for up to 150 s.
func TestZoneConstraints(t *testing.T) {
	for _, bind := range []string{"together", "scatter"} {
		synctest.Test(t, func(t *testing.T) {
			c := newTunedCluster(t, 3, func(s *settings.Settings) { s.Params.Zones = []string{"a", "b"} })
			defer c.close()
			c.cloud.Zones = []string{"a", "b"}
			c.rules.InstanceTypes[0].Zones = c.cloud.Zones
			c.cloud.RuntimeOf = func(string) float64 { return 400 }
			first, second := testJob("j-000001", 6), testJob("j-000002", 6)
			first["together"], second[bind] = true, true
			first["expect_s"], second["expect_s"] = 200.0, 200.0 // for a fleet with room
			c.submitJob(first)
			time.Sleep(5 * time.Second)
			c.submitJob(second)
			startedAt := time.Now()
			for len(c.tasksOn("j-000002/")) < 6 && time.Since(startedAt) < 2*time.Minute {
				time.Sleep(200 * time.Millisecond)
			}
			if duration := time.Since(startedAt); duration > 30*time.Second {
				t.Errorf("%s: %d of 6 tasks run after %v", bind, len(c.tasksOn("j-000002/")), duration)
			}
			if broken := c.cloud.Violations(); broken != nil {
				t.Error(broken)
			}
		})
	}
}

// TestZoneConstraintsUnderPartition has jobs with all kinds of zone constraints lose machines as a
// zone with a node is isolated for longer than a lease, with the leader in it or not.
func TestZoneConstraintsUnderPartition(t *testing.T) {
	cases := []struct {
		name         string
		leaderInside bool // in the isolated zone
		terminations bool // answered meanwhile
	}{
		{"the zone of the leader is isolated", true, true},
		{"the zone of a follower is isolated", false, true},
		{"the zone of a follower is isolated, and terminations are not answered", false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTunedCluster(t, 5, func(s *settings.Settings) { s.Params.Zones = []string{"a", "b"} })
				defer c.close()
				c.cloud.Zones = []string{"a", "b"}
				c.rules.InstanceTypes[0].Zones = c.cloud.Zones
				c.cloud.ImagePullS = 1
				c.cloud.RuntimeOf = func(string) float64 { return 40 }
				time.Sleep(3 * time.Second)
				for n, bind := range []map[string]any{{"together": true}, {"scatter": true}, {"hall": "a"}, {"hall": "b"}, {}} {
					job := testJob(fmt.Sprintf("j-00000%d", n+1), 6)
					job["expect_s"] = 200.0
					for k, v := range bind {
						job[k] = v
					}
					c.submitJob(job)
				}
				time.Sleep(15 * time.Second)
				inside := c.leader()
				if !tc.leaderInside {
					inside = (inside + 1) % 5
				}
				p, host := fake.NewZonePartition(), memberName(inside)
				p.MachineOf, p.ZoneOf = machineOf, func(name string) string {
					if strings.HasPrefix(name, host+"/") || strings.HasPrefix(name, host+":") || name == host {
						return "a"
					}
					return c.rules.ZoneOf(machineOf(name))
				}
				p.OnChange = func() { c.pipes.SetPartition(p.Blocks) }
				var dropped counter
				c.setFault(func(from string, r *http.Request) fake.Fault {
					fault := p.FaultOf(from, r)
					if fault != fake.NoFault {
						dropped.add("dropped")
					} else if r.URL.Path == "/hosts/return" && !tc.terminations {
						fault = fake.ServiceUnavailable
					}
					return fault
				})
				p.Isolate("a")
				held := 0
				for i := 0; i < int(leaseDurationS)+10; i++ {
					time.Sleep(time.Second)
					for _, w := range c.cloud.Workers() {
						if w.Zone() == "a" {
							held += len(w.Tasks())
						}
					}
				}
				c.setFault(nil)
				c.healPeers()
				if dropped.count("dropped") == 0 || held == 0 {
					t.Errorf("%d messages were dropped, %d tasks seen in the zone", dropped.count("dropped"), held)
				}
				for n := range 5 {
					c.awaitStatus(fmt.Sprintf("j-00000%d", n+1), wire.JobDone, 5*time.Minute)
				}
				c.checkRules()
			})
		})
	}
}
