package cluster

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"caperlatch/internal/api"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/sim/checker"
	"caperlatch/internal/sim/fake"
	"caperlatch/internal/wire"
	"caperlatch/internal/zone"
)

// zoneClass is a class of the jobs that are submitted all the time in runs of lost zones.
type zoneClass struct {
	name, rank  string
	first       int // number of its first job
	every       time.Duration
	tasks       int
	runS, saveS float64 // saveS is the checkpoint interval; 0: no checkpoints
}

// zoneClasses need some 410 CPUs in all, which is more than one of two zones has.
var zoneClasses = []zoneClass{
	{"urgent", "urgent", 100_000, time.Second, 10, 8, 0},
	{"scan", "normal", 200_000, 2 * time.Second, 24, 20, 5},
	{"update", "normal", 300_000, 2 * time.Second, 12, 15, 5},
}

// zoneClassOf returns the class of a task by its job's number; one without a name for jobs that a
// step adds.
func zoneClassOf(task string) zoneClass {
	var n int
	if _, err := fmt.Sscanf(task, "j-%d", &n); err != nil || n < zoneClasses[0].first {
		return zoneClass{runS: 60}
	}
	return zoneClasses[n/100_000-1]
}

// Times of the workers in runs of lost zones, in seconds.
const zoneHeartbeatS, zoneLeaseS, zoneCancelS = 2.0, 16.0, 41.0

// The full load is more than one of two zones can hold, with room for it in both; the half load is
// less than one zone can hold, at half the size.
const fullLoad, fullMachines, halfLoad, halfMachines = 1.3, 85, 0.5, 70

// Bounds of the checks.
const (
	maxStall          = 30 * time.Second // of urgent jobs
	maxOrderRatio     = 5                // starts of scans for each of an update while scans wait, at least
	minMeasuredStarts = 60               // starts for an order to be checked
	minWaiting        = 30               // scans for which updates are out of order
)

// Kinds of problems that checks find.
const orderProblem, stepsProblem, holdDownProblem, stateProblem = "order:", "steps:", "hold-down:", "stored state:"

var twoZones, fourZones = []string{"a", "b"}, []string{"a", "b", "c", "d"}

// zoneSettings returns the policy of the runs. Workers that were isolated are heard again within
// some 6 s; steps must show beside that.
func zoneSettings() *zone.Config {
	c := zone.DefaultConfig(micros.FromSeconds(zoneHeartbeatS))
	c.EvacuationOrder = []string{"scan", "update"}
	c.MinStepTime, c.InitialHoldDown = 4*micros.Second, 2*micros.Second
	return &c
}

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

// zoneStep injects a fault, waits, or checks.
type zoneStep func(r *zoneRun)

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

// zoneRun is a cluster over some zones with a steady load, some of which are isolated.
type zoneRun struct {
	*cluster
	*checker.History
	*fake.ZonePartition
	zones      []string
	load       float64 // of the jobs' sizes, 1: as the classes say
	seed       uint64  // of the jobs' sizes; 0: all of a class have one size
	dropRecord bool    // each leader finds no usable record of zones
	// What the steps did: the zone that is isolated, when it was isolated, declared lost and
	// healed, machines launched until it was first lost, jobs added, and problems that checks
	// found.
	lostZone               string
	cutAt, lostAt, healsAt time.Duration
	launched               int
	added, problems        []string
}

// newZoneRun starts nodes in turn in the zones, each zone with so many machines at most.
func newZoneRun(t *testing.T, nodes int, zones []string, machines int, features settings.Features) *zoneRun {
	r := &zoneRun{zones: zones, History: checker.NewHistory(), ZonePartition: fake.NewZonePartition()}
	r.cluster = newFeaturesCluster(t, nodes, func(s *settings.Settings) {
		s.Params.Zones = zones
		s.Params.Workers.HeartbeatIntervalS, s.Params.Workers.LeaseDurationS, s.Params.Workers.CancellationTimeoutS = zoneHeartbeatS, zoneLeaseS, zoneCancelS
	}, features)
	r.cloud.Zones, r.rules.InstanceTypes[0].Zones, r.cloud.MaxMachinesByZone = zones, zones, map[string]int{}
	for _, name := range zones {
		r.cloud.MaxMachinesByZone[name] = machines
	}
	r.cloud.RuntimeOf = func(task string) float64 { return zoneClassOf(task).runS }
	r.ClassOf = func(task string) string { return zoneClassOf(task).name }
	r.History.Affected, r.UnreportedFor, r.rules.OnTaskEvent = r.ZonePartition.Affects, 2*zoneHeartbeatS*time.Second, r.ObserveTask
	r.ZoneOf, r.MachineOf = r.zoneOfName, machineOf
	r.OnChange = func() { r.ObserveFault(); r.pipes.SetPartition(r.Blocks) }
	r.setFault(r.FaultOf)
	return r
}

// zoneOfName returns the zone of a sender or host, empty for the services and users.
func (r *zoneRun) zoneOfName(name string) string {
	var node int
	if _, err := fmt.Sscanf(name, "host-%d", &node); err == nil {
		return r.zones[node%len(r.zones)]
	}
	return r.rules.ZoneOf(machineOf(name))
}

// submitAll submits jobs of a class until ctx ends.
func (r *zoneRun) submitAll(ctx context.Context, c zoneClass) {
	var users sync.WaitGroup
	random := rand.New(rand.NewPCG(r.seed, uint64(c.first)))
	for n := 0; ctx.Err() == nil; n++ {
		size := r.load * float64(c.tasks)
		if r.seed != 0 {
			size *= 0.5 + random.Float64()
		}
		id, tasks := fmt.Sprintf("j-%06d", c.first+n), max(1, int(math.Round(size)))
		job := testJob(id, tasks)
		job["lane"], job["rank"], job["expect_s"], job["save_every_s"] = c.name, c.rank, c.runS, c.saveS
		users.Go(func() {
			if !r.submitWithRetries(n%r.size, time.Second, job) {
				r.t.Errorf("%s was not accepted", id)
			}
			r.ObserveAccepted(id, c.name, tasks)
		})
		time.Sleep(c.every)
	}
	users.Wait()
}

// play runs a script beside the load, then waits until all accepted jobs are done.
func (r *zoneRun) play(script func()) {
	var users sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	for _, c := range zoneClasses {
		users.Go(func() { r.submitAll(ctx, c) })
	}
	users.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(time.Second)
			r.RecordSample(r.cloud.Machines())
		}
	})
	time.Sleep(100 * time.Second) // until the fleet is steady
	script()
	r.Heal()
	time.Sleep(20 * time.Second)
	stop()
	users.Wait()
	jobs := r.Jobs()
	for _, id := range jobs {
		r.awaitStatus(id, wire.JobDone, 6*time.Minute)
	}
	r.checkAnswers(jobs[:min(len(jobs), 50)])
	r.checkRules()
}

// status returns the leader's view of a zone, from the first node that has it; empty while none
// has.
func (r *zoneRun) status(name string) zone.Status {
	for node := range r.size {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		code, b, err := wire.Call(ctx, r.user, http.MethodGet, fmt.Sprintf("http://host-%d:8080/zones", node), nil)
		cancel()
		var all api.ZonesStatus
		if err != nil || code != http.StatusOK || wire.Unmarshal(b, &all) != nil {
			continue
		}
		if i := slices.IndexFunc(all.Zones, func(s zone.Status) bool { return s.Zone == name }); i >= 0 {
			return all.Zones[i]
		}
	}
	return zone.Status{}
}

// poll polls a zone's status until it is enough, for so many times.
func (r *zoneRun) poll(name string, tries int, enough func(s zone.Status) bool) (s zone.Status) {
	for s = r.status(name); tries > 0 && !enough(s); tries-- {
		time.Sleep(100 * time.Millisecond)
		s = r.status(name)
	}
	return s
}

// isInState reports whether a zone is in one of some states.
func isInState(s zone.Status, states []zone.State) bool {
	return slices.ContainsFunc(states, func(want zone.State) bool { return s.State == want.String() })
}

// awaitState waits until the leader finds a zone in one of some states.
func (r *zoneRun) awaitState(name string, states ...zone.State) {
	r.t.Helper()
	if s := r.poll(name, 1200, func(s zone.Status) bool { return isInState(s, states) }); !isInState(s, states) {
		r.t.Fatalf("zone %s is %s (%s: %+v), want %v", name, s.State, s.Reason, s.Evidence, states)
	}
}

// restart kills nodes, starts them again at once, and waits for the next leader. With dropRecord it
// finds no usable record of zones in the state service.
func (r *zoneRun) restart(nodes ...int) {
	token := r.fencingToken()
	for _, i := range nodes {
		r.kill(i)
	}
	if r.dropRecord {
		b, err := wire.Marshal(zone.Record{Version: zone.RecordVersion + 1})
		if err != nil {
			panic(err)
		}
		r.state.Put(replica.ZonesKey, b)
	}
	time.Sleep(100 * time.Millisecond)
	for _, i := range nodes {
		r.start(i)
	}
	r.awaitLeaderAfter(token)
}

// zoneByLeader returns a zone that the leader is in, or one that it is not in.
func (r *zoneRun) zoneByLeader(leads bool) string {
	inside := r.zoneOfName(memberName(r.leader()))
	return r.zones[slices.IndexFunc(r.zones, func(name string) bool { return (name == inside) == leads })]
}

// makeLeaderIn restarts leaders until the leader is in a zone.
func (r *zoneRun) makeLeaderIn(name string) {
	for r.zoneByLeader(true) != name {
		r.restart(r.leader())
		time.Sleep(10 * time.Second)
	}
}

// waitFor waits for a while.
func waitFor(seconds float64) zoneStep {
	return func(*zoneRun) { time.Sleep(time.Duration(seconds * float64(time.Second))) }
}

// awaitZone waits until the zone is in one of some states.
func awaitZone(states ...zone.State) zoneStep {
	return func(r *zoneRun) { r.awaitState(r.lostZone, states...) }
}

// restartAll restarts all of five nodes at once.
func restartAll(r *zoneRun) { r.restart(0, 1, 2, 3, 4) }

// isolate isolates the zone that was isolated before, or one that the leader is not in.
func isolate(r *zoneRun) {
	if r.lostZone == "" {
		r.lostZone = r.zoneByLeader(false)
	}
	r.cutAt = r.Elapsed()
	r.Isolate(r.lostZone)
}

// loseZone isolates the zone, waits until it is declared lost, and then for a while.
func loseZone(seconds float64) zoneStep {
	return func(r *zoneRun) {
		isolate(r)
		r.awaitState(r.lostZone, zone.FullDisruption)
		r.lostAt = r.Elapsed()
		waitFor(seconds)(r)
		r.launched = cmp.Or(r.launched, r.cloud.Launched())
	}
}

// heal ends all isolation, and waits until the zone is in one of some states, or healthy.
func heal(states ...zone.State) zoneStep {
	return func(r *zoneRun) {
		r.healsAt = r.Elapsed()
		r.Heal()
		r.awaitState(r.lostZone, append(states, zone.Normal)...)
	}
}

// killLeaders kills the leader so many times; the next one must find the zone in one of some
// states, if any are given.
func killLeaders(times int, states ...zone.State) zoneStep {
	return func(r *zoneRun) {
		for range times {
			if r.restart(r.leader()); len(states) > 0 {
				checkNextLeader(states...)(r)
			}
		}
	}
}

// stateRefusals makes the state service unavailable to the leader alone for a while, and then to
// all. Workers then try another node, and their leases may expire in the surviving zone.
func stateRefusals(r *zoneRun) {
	r.MarkAllAffected()
	leads := r.leader()
	r.InjectFor(8*time.Second, fake.ServiceUnavailable, func(from string, q *http.Request) bool { return isStateRequest(q) && isFromNode(from, leads) })
	r.state.SetOutage(true)
	time.Sleep(8 * time.Second)
	r.state.SetOutage(false)
}

// reconnectHalf has half of the machines of the isolated zone be heard again.
func reconnectHalf(r *zoneRun) {
	for i, w := range r.cloud.Workers() {
		if w.Zone() == r.lostZone && i%2 == 0 {
			r.AllowMachines(w.ID)
		}
	}
}

// faultSurvivors injects a fault into so many of the machines in the other zones.
func faultSurvivors(most int, inject func(w *fake.Worker)) zoneStep {
	return func(r *zoneRun) {
		left := slices.DeleteFunc(r.cloud.Workers(), func(w *fake.Worker) bool { return w.Zone() == r.lostZone })
		for _, w := range left[:min(most, len(left))] {
			inject(w)
		}
		r.MarkAllAffected()
	}
}

// submitAdded submits further jobs and lets them start.
func submitAdded(n int, job func(id string) map[string]any) zoneStep {
	return func(r *zoneRun) {
		for i := range n {
			r.added = append(r.added, fmt.Sprintf("j-%06d", 100+i))
			r.submitJob(job(r.added[i]))
		}
		time.Sleep(8 * time.Second)
	}
}

// cancelAdded cancels the jobs that were added, at a node of a zone that is not isolated.
func cancelAdded(r *zoneRun) {
	third := slices.IndexFunc(r.zones, func(name string) bool { return name != r.lostZone }) + 2
	for _, id := range r.added {
		r.cancelJob(id, third)
	}
}

// awaitAdded waits until the jobs that were added have a final status. None of their tasks may
// still run.
func awaitAdded(status string) zoneStep {
	return func(r *zoneRun) {
		for _, id := range r.added {
			r.awaitStatus(id, status, 4*time.Minute)
			if n := r.runningTasks(id); n > 0 {
				r.t.Errorf("%d tasks of %s still run", n, id)
			}
		}
	}
}

// checkOutlivesLease checks that tasks in the zone completed after a lease from its isolation.
func checkOutlivesLease(r *zoneRun) {
	if r.CompletionsIn(r.lostZone, r.cutAt+zoneLeaseS*time.Second) == 0 {
		r.t.Error("no task in the zone completed after a lease")
	}
}

// checkFlaps checks that the losses of the zone are counted, and that few machines were launched again.
func checkFlaps(r *zoneRun) {
	if s, more := r.status(r.lostZone), r.cloud.Launched()-r.launched; s.Flaps < 3 || more > halfMachines/4 {
		r.t.Errorf("%d losses are counted; %d machines were launched again for the same loss", s.Flaps, more)
	}
}

// reportProblem records a problem of a kind, if there is one.
func (r *zoneRun) reportProblem(found bool, kind, format string, args ...any) {
	if found {
		r.problems = append(r.problems, kind+" "+fmt.Sprintf(format, args...))
	}
}

// checkOrder checks the order in which tasks started from the loss until the zone was healed.
func checkOrder(r *zoneRun) {
	scansWait := checker.Contention{Class: "scan", Waiting: minWaiting, From: r.lostAt, To: r.healsAt}
	scans, updates := r.StartsUnder(scansWait, "scan"), r.StartsUnder(scansWait, "update")
	if scans+updates < minMeasuredStarts {
		r.t.Errorf("%d tasks started while scans waited, too few to tell, between %v and %v", scans+updates, r.lostAt, r.healsAt)
	}
	r.reportProblem(updates*maxOrderRatio > scans, orderProblem, "%d updates started beside %d scans while scans waited", updates, scans)
}

// checkSteps checks how fast the zone's machines got tasks again.
func checkSteps(r *zoneRun) {
	at, c := r.FirstStarts(r.lostZone, r.healsAt), zoneSettings()
	if len(at) < fullMachines/2 {
		r.t.Errorf("%d machines got tasks again, too few to tell", len(at))
		return
	}
	soon, _ := slices.BinarySearch(at, at[0]+c.MinStepTime.Duration()/2)
	most := 1 + int(c.OpenShares[0]*float64(r.cloud.MaxMachinesByZone[r.lostZone])) // rounded up
	r.reportProblem(soon > most, stepsProblem, "%d machines got tasks within the first step, want at most %d", soon, most)
	half := at[len(at)*6/10] - at[0]
	r.reportProblem(half < 5*c.MinStepTime.Duration()/2, stepsProblem, "more than half of the machines got tasks after %v", half)
}

// checkHoldDown checks when the zone's first machine got a task that could run elsewhere, after a
// third loss.
func checkHoldDown(r *zoneRun) {
	least := r.healsAt + 4*zoneSettings().InitialHoldDown.Duration()
	at := append(r.FirstStarts(r.lostZone, r.healsAt), least)[0]
	r.reportProblem(at < least, holdDownProblem, "a task started %v after the zone was heard again", at-r.healsAt)
}

// checkNextLeader checks that a leader that has just begun finds the zone in one of some states.
func checkNextLeader(states ...zone.State) zoneStep {
	return func(r *zoneRun) {
		s := r.poll(r.lostZone, 30, func(s zone.Status) bool { return s.Zone != "" })
		r.reportProblem(!isInState(s, states), stateProblem, "zone %s is %q (%s) under the next leader, want %v", r.lostZone, s.State, s.Reason, states)
	}
}
