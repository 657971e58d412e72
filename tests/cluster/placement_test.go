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

// TestOnDemandJobWithIdleSpotMachines submits a job that may not run on spot machines to a fleet of idle spot machines.
// The job must get an on-demand machine instead of starving.
func TestOnDemandJobWithIdleSpotMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.submit("j-000001", 4)
		c.awaitStatus("j-000001", wire.JobDone, time.Minute)
		job := testJob("j-000002", 2)
		job["standby"] = false
		if code, _ := c.submitTo(0, job); code != http.StatusCreated {
			t.Fatalf("submission: got code %d, want 201", code)
		}
		c.awaitStatus("j-000002", wire.JobDone, 2*time.Minute)
	})
}

// TestTeamLimit submits a job that needs twelve CPUs for a team with a limit of four. At most four of its tasks may run
// at a time.
func TestTeamLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.submit("j-000009", 1)
		time.Sleep(time.Second) // until every node knows the instance types
		job := testJob("j-000001", 12)
		job["desk"] = "small"
		if code, _ := c.submitTo(0, job); code != http.StatusCreated {
			t.Fatalf("submission: got code %d, want 201", code)
		}
		maxRunning := 0
		for range 240 { // a minute
			time.Sleep(250 * time.Millisecond)
			maxRunning = max(maxRunning, c.runningTasks("j-000001"))
		}
		c.awaitStatus("j-000001", wire.JobDone, time.Minute)
		if maxRunning > 4 {
			t.Errorf("%d tasks of the team ran at a time, want at most 4", maxRunning)
		}
	})
}

// teamLimitScenario is how a team at its limit loses contact with its machines, and when its job is cancelled.
type teamLimitScenario struct {
	name                 string
	hangMachines         bool            // the machines hang; otherwise they are isolated
	failoverDelays       []time.Duration // delay before each failover
	cancelBeforeFailover bool            // before the first failover; otherwise during it
}

var teamLimitScenarios = []teamLimitScenario{
	{name: "isolated, one failover", failoverDelays: []time.Duration{0}, cancelBeforeFailover: true},
	{name: "isolated, two failovers", failoverDelays: []time.Duration{0, 2 * time.Second}, cancelBeforeFailover: true},
	{name: "isolated, cancelled after the failover", failoverDelays: []time.Duration{0, 3 * time.Second}},
	{name: "hang, one failover", hangMachines: true, failoverDelays: []time.Duration{0}, cancelBeforeFailover: true},
	{name: "hang, two failovers", hangMachines: true, failoverDelays: []time.Duration{0, 300 * time.Millisecond}},
}

// TestTeamLimitAcrossFailover cancels the job of a team at its limit while the job's machines are isolated or hang,
// across one or two failovers. The team's next job must wait until the tasks that may still run on these machines are
// certainly gone.
func TestTeamLimitAcrossFailover(t *testing.T) {
	for _, scenario := range teamLimitScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { scenario.run(t) })
		})
	}
}

// run runs the scenario. The team's tasks must still be on their machines after each failover, and its next job must run
// in the end.
func (s teamLimitScenario) run(t *testing.T) {
	c := newClusterOf(t, 5)
	defer c.close()
	c.fillTeamLimit()
	var dropped counter
	s.isolateOrHangMachines(c, &dropped)
	if s.cancelBeforeFailover {
		c.cancelJob("j-000001", 0)
	}
	stillOn := 0
	for i, delay := range s.failoverDelays {
		time.Sleep(delay)
		before := c.fencingToken()
		c.restartNodes(c.leader())
		if i == 0 && !s.cancelBeforeFailover {
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
	if stillOn < 4*len(s.failoverDelays) {
		t.Errorf("%d tasks still ran after the failovers, want at least 4 after each", stillOn)
	}
	if !s.hangMachines && dropped.count("dropped") == 0 {
		t.Error("no message of the isolated machines was dropped")
	}
	for range 120 {
		if c.runningTasks("j-000002") == 4 {
			break
		}
		time.Sleep(time.Second)
	}
	if c.runningTasks("j-000002") != 4 {
		t.Errorf("not all 4 tasks of the team's next job run; tasks on machines: %v", c.cloud.TasksOnMachines())
	}
	c.checkRules()
}

// fillTeamLimit runs a job that uses all four CPUs of its team's limit, beside a job of another team whose machines stay
// reachable and have room.
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

// isolateOrHangMachines isolates the machines with the team's tasks, or makes them hang for 7 s.
func (s teamLimitScenario) isolateOrHangMachines(c *cluster, dropped *counter) {
	if !s.hangMachines {
		c.setFault(isolateMachines(c.machinesOf("j-000001"), dropped))
		return
	}
	c.setFault(isolateMachines(nil, dropped))
	for _, w := range c.cloud.WorkersOf("j-000001") {
		w.Hang(7 * time.Second)
	}
}

// newTwoZoneCluster starts a cluster whose machines may be in either of two zones.
func newTwoZoneCluster(t *testing.T, nodes int) *cluster {
	c := newTunedCluster(t, nodes, func(s *settings.Settings) { s.Params.Zones = []string{"a", "b"} })
	c.cloud.Zones = []string{"a", "b"}
	c.rules.InstanceTypes[0].Zones = c.cloud.Zones
	return c
}

// TestZoneConstraints submits a job whose tasks must all be in one zone, or be spread over zones, beside a job that is
// in one zone. Machines must be launched in a zone where the job's next task may start. For up to 150 s, an earlier
// version launched one machine at a time in the zone where the task could not start.
func TestZoneConstraints(t *testing.T) {
	for _, constraint := range []string{"together", "scatter"} {
		synctest.Test(t, func(t *testing.T) {
			c := newTwoZoneCluster(t, 3)
			defer c.close()
			c.cloud.RuntimeOf = func(string) float64 { return 400 }
			first, second := longJob("j-000001", 6), longJob("j-000002", 6) // long, so that machines are launched for all tasks
			first["together"], second[constraint] = true, true
			c.submitJob(first)
			time.Sleep(5 * time.Second)
			c.submitJob(second)
			startedAt := time.Now()
			for len(c.tasksWithPrefix("j-000002/")) < 6 && time.Since(startedAt) < 2*time.Minute {
				time.Sleep(200 * time.Millisecond)
			}
			if duration := time.Since(startedAt); duration > 30*time.Second {
				t.Errorf("%s: %d of 6 tasks run after %v, want 6 within 30 s", constraint, len(c.tasksWithPrefix("j-000002/")), duration)
			}
			if violations := c.cloud.Violations(); violations != nil {
				t.Error(violations)
			}
		})
	}
}

// zoneConstraints are all kinds of zone constraints of jobs, by the names of their fields on the wire.
var zoneConstraints = []map[string]any{{"together": true}, {"scatter": true}, {"hall": "a"}, {"hall": "b"}, {}}

// zoneIsolation is how a zone that contains a node is isolated.
type zoneIsolation struct {
	name               string
	leaderInside       bool // the leader is in the isolated zone
	answerTerminations bool // the cloud terminates machines during the isolation
}

var zoneIsolations = []zoneIsolation{
	{name: "the zone of the leader is isolated", leaderInside: true, answerTerminations: true},
	{name: "the zone of a follower is isolated", answerTerminations: true},
	{name: "the zone of a follower is isolated, and the cloud refuses terminations"},
}

// TestZoneConstraintsUnderPartition isolates a zone for longer than a lease, so that jobs with all kinds of zone
// constraints lose machines. The zone contains the leader or another node.
func TestZoneConstraintsUnderPartition(t *testing.T) {
	for _, isolation := range zoneIsolations {
		t.Run(isolation.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { isolation.run(t) })
		})
	}
}

// run isolates the zone. Tasks must be on the zone's machines during the isolation, and all jobs must complete after it.
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
	tasksSeen := c.countTasksInZone("a", int(leaseDurationS)+10)
	c.setFault(nil)
	c.healPartitions()
	if dropped.count("dropped") == 0 || tasksSeen == 0 {
		t.Errorf("%d messages dropped, %d tasks seen in the isolated zone; want some of each", dropped.count("dropped"), tasksSeen)
	}
	for n := range zoneConstraints {
		c.awaitStatus(fmt.Sprintf("j-00000%d", n+1), wire.JobDone, 5*time.Minute)
	}
	c.checkRules()
}

// isolate isolates zone a together with one node, and counts the messages that the isolation drops.
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
		} else if !z.answerTerminations {
			fault = refuseTerminations(from, r)
		}
		return fault
	})
	p.Isolate("a")
}

// countTasksInZone counts the tasks on the machines of a zone once a second for the given number of seconds, and returns
// the sum of the counts.
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
