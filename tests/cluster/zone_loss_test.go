package cluster

import (
	"cmp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/settings"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// Loads of the scenarios, and the maximum number of machines per zone at each. The full load exceeds the capacity of
// one of two zones but not of both. The half load is smaller than the capacity of one zone, and its jobs have half the
// size.
const fullLoad, fullMachines, halfLoad, halfMachines = 1.3, 85, 0.5, 70

// zoneScenario is a combination of faults that affect zones. In all scenarios no rule is violated, all accepted jobs
// end, and urgent jobs neither stall nor restart without a fault.
type zoneScenario struct {
	name     string
	nodes    int      // 0: 5
	zones    []string // nil: two
	machines int      // maximum per zone; 0: halfMachines
	load     float64  // factor of the classes' job sizes; 0: halfLoad
	steps    []zoneStep
	// disableSafeguard, if it is set, disables a safeguard of the policy. The checks must then find a problem of the
	// kind wantProblem.
	disableSafeguard func(c *zone.Config)
	wantProblem      string
}

var (
	isolatedAndHealed = zoneScenario{
		name:     "zone isolated and healed",
		machines: fullMachines,
		load:     fullLoad,
		steps: []zoneStep{
			loseZone(14), // shorter than two leases, so that no silent machine of the zone is terminated
			heal(),
			checkEvacuationOrder,
			waitFor(15),
			checkReopeningSteps,
		},
	}
	threeFlaps = zoneScenario{
		name:  "three losses, as leases expire and as a step opens",
		nodes: 3,
		// Heartbeats of most machines arrive between the losses. Otherwise no machines would be left in the zone that
		// could be lost again.
		steps: []zoneStep{
			loseZone(14),
			heal(zone.Reopening),
			waitFor(2),
			loseZone(zoneLeaseS - 6),
			heal(zone.HeldDown, zone.Reopening),
			loseZone(5),
			checkFlaps,
			heal(),
			checkHoldDown,
		},
	}
	failoverWhenLost = zoneScenario{
		name:  "failover when the zone is lost",
		nodes: 3,
		steps: []zoneStep{
			loseZone(0.3),
			killLeaders(1, zone.FullDisruption),
			awaitZone(zone.FullDisruption),
			waitFor(10),
		},
	}
)

// zoneScenarios are all scenarios. At the end of each the lost zone becomes healthy.
var zoneScenarios = slices.Concat(
	[]zoneScenario{isolatedAndHealed, threeFlaps, failoverWhenLost},
	heartbeatScenarios,
	zoneFailoverScenarios,
	zoneServiceScenarios,
	zoneCapacityScenarios,
	[]zoneScenario{
		isolatedAndHealed.withoutSafeguard(orderProblem, func(c *zone.Config) { c.EvacuationOrder = nil }),
		isolatedAndHealed.withoutSafeguard(stepsProblem, func(c *zone.Config) { c.OpenShares = []float64{1} }),
		threeFlaps.withoutSafeguard(holdDownProblem, func(c *zone.Config) { c.InitialHoldDown, c.MaxHoldDown = 0, 0 }),
		failoverWhenLost.withoutSafeguard(stateProblem, func(*zone.Config) {}),
	},
)

// heartbeatScenarios are scenarios in which some heartbeats of the lost zone still arrive, at different nodes.
var heartbeatScenarios = []zoneScenario{
	{
		name:  "half of the zone is heard again",
		steps: []zoneStep{loseZone(20), reconnectHalfOfZone, waitFor(40)},
	},
	{
		name:  "stale heartbeats reach all nodes at a failover",
		steps: []zoneStep{loseZone(15), duplicateHeartbeatsWhileZoneHeals},
	},
	{
		name:  "the leader is in the zone, and renews leases",
		nodes: 3, // two of them are in zone a
		steps: []zoneStep{moveLeaderIntoZone("a"), loseZone(20), checkCompletionsAfterLease},
	},
}

// zoneFailoverScenarios are scenarios with failovers in each state of the zone. The next leader must restore a state
// from which it continues as the previous leader would have.
var zoneFailoverScenarios = []zoneScenario{
	{
		name: "failover when the zone is suspected",
		steps: []zoneStep{
			isolate,
			awaitZone(zone.PartialDisruption),
			killLeaders(1),
			awaitZone(zone.FullDisruption),
			waitFor(10),
		},
	},
	{
		name: "failover when the zone is held down",
		steps: []zoneStep{
			loseZone(15),
			heal(zone.HeldDown),
			waitFor(0.3),
			killLeaders(1, zone.HeldDown, zone.Reopening),
		},
	},
	{
		name: "failover when the zone returns",
		steps: []zoneStep{
			loseZone(15),
			heal(zone.Reopening),
			waitFor(0.3),
			killLeaders(1, zone.HeldDown, zone.Reopening),
		},
	},
	{
		name: "two failovers when the zone is lost",
		steps: []zoneStep{
			loseZone(0.3),
			killLeaders(2, zone.FullDisruption),
			awaitZone(zone.FullDisruption),
			waitFor(10),
		},
	},
	{
		name: "two failovers when the zone returns",
		steps: []zoneStep{
			loseZone(15),
			heal(zone.Reopening),
			waitFor(0.3),
			killLeaders(2, zone.HeldDown, zone.Reopening),
		},
	},
	{
		name:  "all nodes restart at once",
		steps: []zoneStep{loseZone(10), restartAll, checkZoneAfterFailover(zone.FullDisruption)},
	},
	{
		name:  "nodes without the policy lead for a while",
		steps: []zoneStep{loseZone(8), leadWithoutPolicy, restartAll},
	},
}

// zoneServiceScenarios are scenarios in which the state service, the cloud or the connections between zones fail in
// addition to the zone.
var zoneServiceScenarios = []zoneScenario{
	{
		name:  "state service unavailable to the leader, then to all, during the evacuation",
		steps: []zoneStep{loseZone(5), refuseStateToLeaderThenToEveryNode},
	},
	{
		name:  "state service unavailable to the leader, then to all, during the return",
		steps: []zoneStep{loseZone(20), heal(zone.Reopening), refuseStateToLeaderThenToEveryNode},
	},
	{
		name:  "two zones are partitioned from each other",
		steps: []zoneStep{splitZones, awaitZone(zone.FullDisruption), waitFor(20)},
	},
	{
		name:  "the cloud is unavailable meanwhile",
		steps: []zoneStep{refuseCloudRequests, loseZone(25)},
	},
}

// zoneCapacityScenarios are scenarios that differ in the capacity that is left for displaced tasks, and in the jobs
// that are displaced.
var zoneCapacityScenarios = []zoneScenario{
	{
		name:  "machines of the surviving zone are interrupted",
		nodes: 3,
		steps: []zoneStep{
			loseZone(2),
			injectIntoSurvivors(halfMachines/4, func(w *fake.Worker) { w.Interrupt(3 * time.Second) }),
			waitFor(20),
		},
	},
	{
		name:     "the surviving zone cannot hold the urgent jobs",
		nodes:    3,
		machines: 14,
		load:     0.25,
		steps: []zoneStep{
			loseZone(0),
			injectIntoSurvivors(9, func(w *fake.Worker) { w.Hang(25 * time.Second) }),
			waitFor(25),
		},
	},
	{
		name: "displaced jobs are cancelled through a third node",
		steps: []zoneStep{
			submitJobs(6, minuteJob),
			loseZone(3),
			cancelAddedJobs,
			waitFor(20),
			heal(),
			waitFor(zoneCancelS),
			awaitAddedJobs(wire.JobCancelled),
		},
	},
	{
		name: "gangs in both zones",
		steps: []zoneStep{
			submitJobs(8, gangOfFour),
			loseZone(25),
			heal(),
			awaitAddedJobs(wire.JobDone),
		},
	},
	{
		name:     "the only zone",
		nodes:    3,
		zones:    twoZones[:1],
		machines: 2 * halfMachines,
		steps:    []zoneStep{isolateOnlyZone},
	},
	{
		name:     "two of four zones are isolated",
		zones:    fourZones,
		machines: halfMachines / 2,
		steps:    []zoneStep{loseTwoOfFourZones},
	},
}

// withoutSafeguard returns the scenario with a safeguard disabled: a check must then find the kind of problem that the
// safeguard prevents.
func (s zoneScenario) withoutSafeguard(problem string, disable func(c *zone.Config)) zoneScenario {
	s.name = "without " + strings.TrimSuffix(problem, ":") + ", " + s.name
	s.wantProblem, s.disableSafeguard = problem, disable
	return s
}

// TestZoneLoss runs all scenarios. In some of them a safeguard is disabled, to show that the checks find the problem.
func TestZoneLoss(t *testing.T) {
	for _, s := range zoneScenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				if problems := s.run(t); !s.isExpected(problems) {
					t.Errorf("the checks found problems %q, want one of kind %q (none if the kind is empty)", problems, s.wantProblem)
				}
			})
		})
	}
}

// isExpected reports whether a run found the problems that it must find. Without wantProblem these are none; otherwise
// at least one must be of this kind.
func (s zoneScenario) isExpected(problems []string) bool {
	if s.wantProblem == "" {
		return len(problems) == 0
	}
	return slices.ContainsFunc(problems, func(problem string) bool { return strings.HasPrefix(problem, s.wantProblem) })
}

// run runs the scenario, and returns the problems that its checks found.
func (s zoneScenario) run(t *testing.T) (problems []string) {
	policy := zoneSettings()
	if s.disableSafeguard != nil {
		s.disableSafeguard(policy)
	}
	if s.zones == nil {
		s.zones = twoZones
	}
	r := newZoneRun(t, cmp.Or(s.nodes, 5), s.zones, cmp.Or(s.machines, halfMachines), settings.Features{Zones: policy})
	defer r.close()
	r.load = cmp.Or(s.load, halfLoad)
	r.invalidateRecord = s.wantProblem == stateProblem
	r.runUnderLoad(func() {
		for _, step := range s.steps {
			step(r)
		}
		if r.lostZone != "" {
			heal()(r)
		}
	})
	stall, restarted := r.LongestStall("urgent"), r.RestartedTasks("urgent")
	if stall > maxStall || len(restarted) > 0 {
		t.Errorf("urgent jobs stalled for %v, want at most %v; %d of their tasks restarted without a fault, want none: %v", stall, maxStall, len(restarted), restarted[:min(5, len(restarted))])
	}
	t.Logf("longest stall of urgent jobs %v, %d starts, %d machines launched", stall, r.cloud.Starts(), r.cloud.Launched())
	return r.problems
}
