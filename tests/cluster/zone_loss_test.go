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

// The full load is more than one of two zones can hold, with room for it in both; the half load is
// less than one zone can hold, at half the size.
const fullLoad, fullMachines, halfLoad, halfMachines = 1.3, 85, 0.5, 70

// zoneScenario is a combination of faults that affects zones. In all scenarios no rule is violated,
// all accepted jobs end, and urgent jobs neither stall nor restart without a fault.
type zoneScenario struct {
	name     string
	nodes    int      // 0: 5
	zones    []string // nil: two
	machines int      // of each zone at most; 0: halfMachines
	load     float64  // 1: as the classes say; 0: halfLoad
	steps    []zoneStep
	// Of a scenario with a guard off: how it is off, and the kind of problem that the checks must
	// then find.
	guardOff    func(c *zone.Config)
	wantProblem string
}

var (
	cutAndRestored = zoneScenario{
		name:     "zone isolated and healed",
		machines: fullMachines,
		load:     fullLoad,
		steps: []zoneStep{
			loseZone(14), // shorter than two leases: no machine of the zone is terminated for being silent
			heal(),
			checkOrder,
			waitFor(15),
			checkSteps,
		},
	}
	threeFlaps = zoneScenario{
		name:  "three losses, as leases expire and as a step opens",
		nodes: 3,
		// Most machines are heard between the losses, or nothing would be left there to be lost
		// again.
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
	killedWhenLost = zoneScenario{
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

// zoneScenarios are all scenarios. At the end of each the zone returns.
var zoneScenarios = slices.Concat(
	[]zoneScenario{cutAndRestored, threeFlaps, killedWhenLost},
	heartbeatScenarios,
	zoneFailoverScenarios,
	zoneServiceScenarios,
	zoneRoomScenarios,
	[]zoneScenario{
		cutAndRestored.withGuardOff(orderProblem, func(c *zone.Config) { c.EvacuationOrder = nil }),
		cutAndRestored.withGuardOff(stepsProblem, func(c *zone.Config) { c.OpenShares = []float64{1} }),
		threeFlaps.withGuardOff(holdDownProblem, func(c *zone.Config) { c.InitialHoldDown, c.MaxHoldDown = 0, 0 }),
		killedWhenLost.withGuardOff(stateProblem, func(*zone.Config) {}),
	},
)

// heartbeatScenarios differ in which heartbeats of the lost zone arrive, and where.
var heartbeatScenarios = []zoneScenario{
	{
		name:  "half of the zone is heard again",
		steps: []zoneStep{loseZone(20), reconnectHalf, waitFor(40)},
	},
	{
		name:  "stale heartbeats reach all nodes at a failover",
		steps: []zoneStep{loseZone(15), duplicateHeartbeatsWhileZoneHeals},
	},
	{
		name:  "the leader is in the zone, and renews leases",
		nodes: 3, // two of them are in zone a
		steps: []zoneStep{moveLeaderIntoZone("a"), loseZone(20), checkOutlivesLease},
	},
}

// zoneFailoverScenarios have failovers in each state of the zone: the next leader must find it in a
// state from which it goes on as the last one would have.
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
		steps: []zoneStep{loseZone(10), restartAll, checkNextLeader(zone.FullDisruption)},
	},
	{
		name:  "nodes without the policy lead for a while",
		steps: []zoneStep{loseZone(8), leadWithoutPolicy, restartAll},
	},
}

// zoneServiceScenarios have the state service, the cloud or the connections between zones fail
// beside the zone.
var zoneServiceScenarios = []zoneScenario{
	{
		name:  "state service unavailable to the leader, then to all, during the evacuation",
		steps: []zoneStep{loseZone(5), stateRefusals},
	},
	{
		name:  "state service unavailable to the leader, then to all, during the return",
		steps: []zoneStep{loseZone(20), heal(zone.Reopening), stateRefusals},
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

// zoneRoomScenarios differ in what room there is for the displaced work, and in the jobs that are
// displaced.
var zoneRoomScenarios = []zoneScenario{
	{
		name:  "machines of the surviving zone are interrupted",
		nodes: 3,
		steps: []zoneStep{
			loseZone(2),
			faultSurvivors(halfMachines/4, func(w *fake.Worker) { w.Interrupt(3 * time.Second) }),
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
			faultSurvivors(9, func(w *fake.Worker) { w.Hang(25 * time.Second) }),
			waitFor(25),
		},
	},
	{
		name: "displaced jobs are cancelled through a third node",
		steps: []zoneStep{
			submitAdded(6, minuteJob),
			loseZone(3),
			cancelAdded,
			waitFor(20),
			heal(),
			waitFor(zoneCancelS),
			awaitAdded(wire.JobCancelled),
		},
	},
	{
		name: "gangs in both zones",
		steps: []zoneStep{
			submitAdded(8, gangOfFour),
			loseZone(25),
			heal(),
			awaitAdded(wire.JobDone),
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

// withGuardOff returns the scenario with a guard off: a check must then find the problem that the
// guard prevents.
func (s zoneScenario) withGuardOff(problem string, off func(c *zone.Config)) zoneScenario {
	s.name = "without " + strings.TrimSuffix(problem, ":") + ", " + s.name
	s.wantProblem, s.guardOff = problem, off
	return s
}

// TestZoneLoss runs all scenarios, some of them with one guard off.
func TestZoneLoss(t *testing.T) {
	for _, s := range zoneScenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				if problems := s.run(t); !s.isExpected(problems) {
					t.Errorf("problems %q, want %q", problems, s.wantProblem)
				}
			})
		})
	}
}

// isExpected reports whether problems are what the scenario must find: the wanted one, perhaps
// beside others, or none at all.
func (s zoneScenario) isExpected(problems []string) bool {
	if s.wantProblem == "" {
		return len(problems) == 0
	}
	return slices.ContainsFunc(problems, func(problem string) bool { return strings.HasPrefix(problem, s.wantProblem) })
}

// run runs a scenario, and returns the problems that its checks found.
func (s zoneScenario) run(t *testing.T) (problems []string) {
	policy := zoneSettings()
	if s.guardOff != nil {
		s.guardOff(policy)
	}
	if s.zones == nil {
		s.zones = twoZones
	}
	r := newZoneRun(t, cmp.Or(s.nodes, 5), s.zones, cmp.Or(s.machines, halfMachines), settings.Features{Zones: policy})
	defer r.close()
	r.load = cmp.Or(s.load, halfLoad)
	r.dropRecord = s.wantProblem == stateProblem
	r.play(func() {
		for _, step := range s.steps {
			step(r)
		}
		if r.lostZone != "" {
			heal()(r)
		}
	})
	stall, restarted := r.LongestStall("urgent"), r.RestartedTasks("urgent")
	if stall > maxStall || len(restarted) > 0 {
		t.Errorf("urgent jobs stalled for %v; %d tasks restarted without a fault: %v", stall, len(restarted), restarted[:min(5, len(restarted))])
	}
	t.Logf("stall %v, %d starts, %d machines launched", stall, r.cloud.Starts(), r.cloud.Launched())
	return r.problems
}
