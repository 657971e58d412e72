package cluster

import (
	"fmt"
	"maps"
	"net/http"
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
		if code, _ := c.submitTo(0, job); code != http.StatusCreated {
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
		if code, _ := c.submitTo(0, job); code != http.StatusCreated {
			t.Fatalf("submission answered %d", code)
		}
		most := 0
		for range 240 { // a minute
			time.Sleep(250 * time.Millisecond)
			most = max(most, c.runningTasks("j-000001"))
		}
		c.awaitStatus("j-000001", wire.JobDone, time.Minute)
		if most > 4 {
			t.Errorf("%d tasks at once of a team with a limit of 4", most)
		}
	})
}

// teamLimitScenario is how a team at its limit loses its machines, and when its job is cancelled.
type teamLimitScenario struct {
	name        string
	hang        bool            // the machines do; else they are isolated
	pauses      []time.Duration // before each failover
	cancelFirst bool            // before the first failover
}

var teamLimitScenarios = []teamLimitScenario{
	{name: "isolated, one failover", pauses: []time.Duration{0}, cancelFirst: true},
	{name: "isolated, two failovers", pauses: []time.Duration{0, 2 * time.Second}, cancelFirst: true},
	{name: "isolated, cancelled after the failover", pauses: []time.Duration{0, 3 * time.Second}},
	{name: "hang, one failover", hang: true, pauses: []time.Duration{0}, cancelFirst: true},
	{name: "hang, two failovers", hang: true, pauses: []time.Duration{0, 300 * time.Millisecond}},
}

// TestTeamLimitAcrossFailover has a team at its limit whose job is cancelled while its machines are
// isolated or hang, across one or two failovers. The team's next job waits until what may still run
// there is certainly gone.
func TestTeamLimitAcrossFailover(t *testing.T) {
	for _, scenario := range teamLimitScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { scenario.run(t) })
		})
	}
}

// run runs a scenario: the team's tasks must still be on their machines after each failover, and its
// next job must run in the end.
func (s teamLimitScenario) run(t *testing.T) {
	c := newClusterOf(t, 5)
	defer c.close()
	c.fillTeamLimit()
	var dropped counter
	s.loseMachines(c, &dropped)
	if s.cancelFirst {
		c.cancelJob("j-000001", 0)
	}
	stillOn := 0
	for i, pause := range s.pauses {
		time.Sleep(pause)
		before := c.fencingToken()
		c.restartNodes(c.leader())
		if i == 0 && !s.cancelFirst {
			c.cancelJob("j-000001", 1)
		}
		next := testJob(fmt.Sprintf("j-00000%d", 2+i), 4)
		next["desk"] = "small"
		c.submitWithin(4*time.Second, next)
		c.awaitLeaderAfter(before)
		stillOn += c.runningTasks("j-000001")
	}
	time.Sleep(4 * time.Second)
	c.setFault(nil)
	if stillOn < 4*len(s.pauses) {
		t.Errorf("only %d tasks still ran under the next leaders", stillOn)
	}
	if !s.hang && dropped.count("dropped") == 0 {
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
}

// fillTeamLimit runs a job of the team with a limit of four CPUs that uses them all, beside a job of
// another team whose machines will stay reachable, and have room.
func (c *cluster) fillTeamLimit() {
	c.t.Helper()
	c.cloud.RuntimeOf = func(task string) float64 {
		if strings.HasPrefix(task, "j-000009/") {
			return 30
		}
		return 300
	}
	c.submitAndAwaitRunning(longJob("j-000009", 8))
	full := longJob("j-000001", 4)
	full["desk"] = "small"
	c.submitAndAwaitRunning(full)
	time.Sleep(2 * time.Second)
}

// loseMachines isolates the machines with the team's tasks, or has them hang for 7 s.
func (s teamLimitScenario) loseMachines(c *cluster, dropped *counter) {
	if !s.hang {
		c.setFault(isolateMachines(c.machinesOf("j-000001"), dropped))
		return
	}
	c.setFault(isolateMachines(nil, dropped))
	for _, w := range c.cloud.WorkersOf("j-000001") {
		w.Hang(7 * time.Second)
	}
}

// newTwoZoneCluster starts a cluster whose machines may be in two zones.
func newTwoZoneCluster(t *testing.T, nodes int) *cluster {
	c := newTunedCluster(t, nodes, func(s *settings.Settings) { s.Params.Zones = []string{"a", "b"} })
	c.cloud.Zones = []string{"a", "b"}
	c.rules.InstanceTypes[0].Zones = c.cloud.Zones
	return c
}

// TestZoneConstraints submits a job whose tasks must be in one zone, or spread over zones, beside a
// job that is in one zone: machines must be launched in the zone where the next task may start.
// They once came up in the other one, one after the other, for up to 150 s.
func TestZoneConstraints(t *testing.T) {
	for _, bind := range []string{"together", "scatter"} {
		synctest.Test(t, func(t *testing.T) {
			c := newTwoZoneCluster(t, 3)
			defer c.close()
			c.cloud.RuntimeOf = func(string) float64 { return 400 }
			first, second := longJob("j-000001", 6), longJob("j-000002", 6) // long, for a fleet with room
			first["together"], second[bind] = true, true
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

// zoneConstraints are all kinds of zone constraints of jobs, by the protocol's names.
var zoneConstraints = []map[string]any{{"together": true}, {"scatter": true}, {"hall": "a"}, {"hall": "b"}, {}}

// zoneIsolation is how a zone with a node is isolated.
type zoneIsolation struct {
	name         string
	leaderInside bool // in the isolated zone
	terminations bool // answered meanwhile
}

var zoneIsolations = []zoneIsolation{
	{name: "the zone of the leader is isolated", leaderInside: true, terminations: true},
	{name: "the zone of a follower is isolated", terminations: true},
	{name: "the zone of a follower is isolated, and terminations are not answered"},
}

// TestZoneConstraintsUnderPartition has jobs with all kinds of zone constraints lose machines as a
// zone with a node is isolated for longer than a lease, with the leader in it or not.
func TestZoneConstraintsUnderPartition(t *testing.T) {
	for _, isolation := range zoneIsolations {
		t.Run(isolation.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { isolation.run(t) })
		})
	}
}

// run isolates the zone: tasks must be on its machines meanwhile, and all jobs must complete after.
func (z zoneIsolation) run(t *testing.T) {
	c := newTwoZoneCluster(t, 5)
	defer c.close()
	c.cloud.ImagePullS = 1
	c.cloud.RuntimeOf = func(string) float64 { return 40 }
	time.Sleep(3 * time.Second)
	for n, constraint := range zoneConstraints {
		job := longJob(fmt.Sprintf("j-00000%d", n+1), 6)
		maps.Copy(job, constraint)
		c.submitJob(job)
	}
	time.Sleep(15 * time.Second)
	inside := c.leader()
	if !z.leaderInside {
		inside = (inside + 1) % 5
	}
	var dropped counter
	z.isolate(c, memberName(inside), &dropped)
	held := c.countTasksInZone("a", int(leaseDurationS)+10)
	c.setFault(nil)
	c.healPartitions()
	if dropped.count("dropped") == 0 || held == 0 {
		t.Errorf("%d messages were dropped, %d tasks seen in the zone", dropped.count("dropped"), held)
	}
	for n := range zoneConstraints {
		c.awaitStatus(fmt.Sprintf("j-00000%d", n+1), wire.JobDone, 5*time.Minute)
	}
	c.checkRules()
}

// isolate isolates zone a with one node, and counts the messages that are dropped for it.
func (z zoneIsolation) isolate(c *cluster, member string, dropped *counter) {
	p := fake.NewZonePartition()
	p.MachineOf = machineOf
	p.ZoneOf = func(name string) string {
		if strings.HasPrefix(name, member+"/") || strings.HasPrefix(name, member+":") || name == member {
			return "a"
		}
		return c.rules.ZoneOf(machineOf(name))
	}
	p.OnChange = func() { c.peerNet.SetPartition(p.Blocks) }
	c.setFault(func(from string, r *http.Request) fake.Fault {
		fault := p.FaultOf(from, r)
		if fault != fake.NoFault {
			dropped.add("dropped")
		} else if !z.terminations {
			fault = refuseTerminations(from, r)
		}
		return fault
	})
	p.Isolate("a")
}

// countTasksInZone counts the tasks on the machines of a zone once a second, and returns the sum.
func (c *cluster) countTasksInZone(name string, seconds int) (sum int) {
	for range seconds {
		time.Sleep(time.Second)
		for _, w := range c.cloud.Workers() {
			if w.Zone() == name {
				sum += len(w.Tasks())
			}
		}
	}
	return sum
}
