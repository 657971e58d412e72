package cluster

import (
	"cmp"
	"net/http"
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
	// Shorter than two leases: none of the zone's machines is terminated for being silent.
	cutAndRestored = zoneScenario{name: "zone isolated and healed", machines: fullMachines, load: fullLoad, steps: []zoneStep{loseZone(14), heal(), checkOrder, waitFor(15), checkSteps}}
	// Most machines are heard between the losses, or nothing would be left there to be lost again.
	threeFlaps = zoneScenario{name: "three losses, as leases expire and as a step opens", nodes: 3, steps: []zoneStep{loseZone(14), heal(zone.Reopening), waitFor(2), loseZone(zoneLeaseS - 6),
		heal(zone.HeldDown, zone.Reopening), loseZone(5), checkFlaps, heal(), checkHoldDown}}
	killedWhenLost = zoneScenario{name: "failover when the zone is lost", nodes: 3, steps: []zoneStep{loseZone(0.3), killLeaders(1, zone.FullDisruption), awaitZone(zone.FullDisruption), waitFor(10)}}
)

// zoneScenarios are all scenarios. At the end of each the zone returns.
var zoneScenarios = []zoneScenario{cutAndRestored, threeFlaps, killedWhenLost,
	{name: "half of the zone is heard again", steps: []zoneStep{loseZone(20), reconnectHalf, waitFor(40)}},
	{name: "stale heartbeats reach all nodes at a failover", steps: []zoneStep{loseZone(15), func(r *zoneRun) {
		time.AfterFunc(5*time.Second, func() { r.Heal(); r.restart(r.leader()) })
		r.InjectFor(30*time.Second, fake.DuplicatedRequest, func(from string, q *http.Request) bool {
			return machineOf(from) != "" && q.URL.Path == "/hello" && from[len(from)-1]%2 == 0
		})
	}}},
	// Two of three nodes are in zone a.
	{name: "the leader is in the zone, and renews leases", nodes: 3, steps: []zoneStep{func(r *zoneRun) { r.makeLeaderIn("a"); r.lostZone = "a" }, loseZone(20), checkOutlivesLease}},
	{name: "failover when the zone is suspected", steps: []zoneStep{isolate, awaitZone(zone.PartialDisruption), killLeaders(1), awaitZone(zone.FullDisruption), waitFor(10)}},
	{name: "failover when the zone is held down", steps: []zoneStep{loseZone(15), heal(zone.HeldDown), waitFor(0.3), killLeaders(1, zone.HeldDown, zone.Reopening)}},
	{name: "failover when the zone returns", steps: []zoneStep{loseZone(15), heal(zone.Reopening), waitFor(0.3), killLeaders(1, zone.HeldDown, zone.Reopening)}},
	{name: "two failovers when the zone is lost", steps: []zoneStep{loseZone(0.3), killLeaders(2, zone.FullDisruption), awaitZone(zone.FullDisruption), waitFor(10)}},
	{name: "two failovers when the zone returns", steps: []zoneStep{loseZone(15), heal(zone.Reopening), waitFor(0.3), killLeaders(2, zone.HeldDown, zone.Reopening)}},
	{name: "all nodes restart at once", steps: []zoneStep{loseZone(10), restartAll, checkNextLeader(zone.FullDisruption)}},
	{name: "state service unavailable to the leader, then to all, during the evacuation", steps: []zoneStep{loseZone(5), stateRefusals}},
	{name: "state service unavailable to the leader, then to all, during the return", steps: []zoneStep{loseZone(20), heal(zone.Reopening), stateRefusals}},
	{name: "two zones are partitioned from each other", steps: []zoneStep{func(r *zoneRun) { r.lostZone = r.zoneByLeader(false); r.SplitZones() }, awaitZone(zone.FullDisruption), waitFor(20)}},
	{name: "the cloud is unavailable meanwhile", steps: []zoneStep{func(r *zoneRun) {
		go r.InjectFor(40*time.Second, fake.ServiceUnavailable, func(_ string, q *http.Request) bool { return q.URL.Host == "cloud" })
	}, loseZone(25)}},
	{name: "machines of the surviving zone are interrupted", nodes: 3, steps: []zoneStep{loseZone(2), faultSurvivors(halfMachines/4, func(w *fake.Worker) { w.Interrupt(3 * time.Second) }), waitFor(20)}},
	{name: "the surviving zone cannot hold the urgent jobs", nodes: 3, machines: 14, load: 0.25, steps: []zoneStep{loseZone(0), faultSurvivors(9, func(w *fake.Worker) { w.Hang(25 * time.Second) }), waitFor(25)}},
	{name: "displaced jobs are cancelled through a third node", steps: []zoneStep{submitAdded(6, func(id string) map[string]any {
		job := testJob(id, 10)
		job["expect_s"] = 60.0
		return job
	}), loseZone(3), cancelAdded, waitFor(20), heal(), waitFor(zoneCancelS), awaitAdded(wire.JobCancelled)}},
	{name: "gangs in both zones", steps: []zoneStep{submitAdded(8, func(id string) map[string]any {
		return gangJob(id, 4, 2, map[string]any{"together": id[len(id)-1]%2 == 0})
	}), loseZone(25), heal(), awaitAdded(wire.JobDone)}},
	{name: "the only zone", nodes: 3, zones: twoZones[:1], machines: 2 * halfMachines, steps: []zoneStep{func(r *zoneRun) {
		r.MarkAllAffected() // its machines are isolated from the nodes, which continue
		r.InjectFor(25*time.Second, fake.DroppedRequest, func(from string, q *http.Request) bool {
			return (machineOf(from) == "") != (machineOf(q.URL.Host) == "")
		})
		if s := r.status("a"); s.Zone == "" || s.Flaps > 0 {
			r.t.Errorf("the only zone was lost: %+v", s)
		}
	}}},
	{name: "two of four zones are isolated", zones: fourZones, machines: halfMachines / 2, steps: []zoneStep{func(r *zoneRun) {
		leads := r.zoneByLeader(true)
		lost := slices.DeleteFunc(slices.Clone(fourZones), func(name string) bool { return name == leads })[:2]
		r.Isolate(lost...)
		for _, want := range []zone.State{zone.FullDisruption, zone.Normal} {
			r.awaitState(lost[0], want)
			r.awaitState(lost[1], want)
			time.Sleep(20 * time.Second)
			r.Heal()
		}
	}}},
	{name: "nodes without the policy lead for a while", steps: []zoneStep{loseZone(8), func(r *zoneRun) {
		r.without = map[int]bool{0: true, 1: true, 2: true, 3: true, 4: true}
		r.restart(r.leader())
		time.Sleep(5 * time.Second)
		r.without = nil
		r.Heal()
	}, restartAll}},
	cutAndRestored.withGuardOff(orderProblem, func(c *zone.Config) { c.EvacuationOrder = nil }),
	cutAndRestored.withGuardOff(stepsProblem, func(c *zone.Config) { c.OpenShares = []float64{1} }),
	threeFlaps.withGuardOff(holdDownProblem, func(c *zone.Config) { c.InitialHoldDown, c.MaxHoldDown = 0, 0 }),
	killedWhenLost.withGuardOff(stateProblem, func(*zone.Config) {}),
}

// withGuardOff returns the scenario with a guard off: a check must then find the problem that the
// guard prevents.
func (s zoneScenario) withGuardOff(problem string, off func(c *zone.Config)) zoneScenario {
	s.name, s.wantProblem, s.guardOff = "without "+strings.TrimSuffix(problem, ":")+", "+s.name, problem, off
	return s
}

// TestZoneLoss runs all scenarios, some of them with one guard off.
func TestZoneLoss(t *testing.T) {
	for _, s := range zoneScenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				problems := s.run(t)
				if s.wantProblem == "" && len(problems) > 0 || s.wantProblem != "" && !slices.ContainsFunc(problems, func(p string) bool { return strings.HasPrefix(p, s.wantProblem) }) {
					t.Errorf("problems %q, want %q", problems, s.wantProblem)
				}
			})
		})
	}
}

// run runs a scenario, and returns the problems that its checks found.
func (s zoneScenario) run(t *testing.T) (problems []string) {
	c := zoneSettings()
	if s.guardOff != nil {
		s.guardOff(c)
	}
	if s.zones == nil {
		s.zones = twoZones
	}
	r := newZoneRun(t, cmp.Or(s.nodes, 5), s.zones, cmp.Or(s.machines, halfMachines), settings.Features{Zones: c})
	defer r.close()
	r.load, r.dropRecord = cmp.Or(s.load, halfLoad), s.wantProblem == stateProblem
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
