package cluster

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
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
	name     string
	priority string
	first    int           // number of its first job
	every    time.Duration // between two submissions
	tasks    int           // of a job at a load of 1
	runS     float64       // how long a task runs
	saveS    float64       // the checkpoint interval; 0: no checkpoints
}

// zoneClasses need some 410 CPUs in all, which is more than one of two zones has.
var zoneClasses = []zoneClass{
	{name: "urgent", priority: "urgent", first: 100_000, every: time.Second, tasks: 10, runS: 8},
	{name: "scan", priority: "normal", first: 200_000, every: 2 * time.Second, tasks: 24, runS: 20, saveS: 5},
	{name: "update", priority: "normal", first: 300_000, every: 2 * time.Second, tasks: 12, runS: 15, saveS: 5},
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

var twoZones, fourZones = []string{"a", "b"}, []string{"a", "b", "c", "d"}

// zoneSettings returns the policy of the runs. Workers that were isolated are heard again within
// some 6 s; steps must show beside that.
func zoneSettings() *zone.Config {
	policy := zone.DefaultConfig(micros.FromSeconds(zoneHeartbeatS))
	policy.EvacuationOrder = []string{"scan", "update"}
	policy.MinStepTime = 4 * micros.Second
	policy.InitialHoldDown = 2 * micros.Second
	return &policy
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

	// What the steps did.
	lostZone   string        // the zone that is isolated
	isolatedAt time.Duration // when it was isolated last
	lostAt     time.Duration // when it was declared lost
	healedAt   time.Duration // when its isolation ended
	launched   int           // machines until it was first lost
	added      []string      // IDs of jobs that steps submitted
	problems   []string      // what checks found, each by its kind
}

// newZoneRun starts nodes in turn in the zones, each zone with so many machines at most.
func newZoneRun(t *testing.T, nodes int, zones []string, machines int, features settings.Features) *zoneRun {
	r := &zoneRun{zones: zones, History: checker.NewHistory(), ZonePartition: fake.NewZonePartition()}
	r.cluster = newFeaturesCluster(t, nodes, func(s *settings.Settings) {
		s.Params.Zones = zones
		s.Params.Workers.HeartbeatIntervalS = zoneHeartbeatS
		s.Params.Workers.LeaseDurationS = zoneLeaseS
		s.Params.Workers.CancellationTimeoutS = zoneCancelS
	}, features)
	r.cloud.Zones = zones
	r.rules.InstanceTypes[0].Zones = zones
	r.cloud.MaxMachinesByZone = map[string]int{}
	for _, name := range zones {
		r.cloud.MaxMachinesByZone[name] = machines
	}
	r.cloud.RuntimeOf = func(task string) float64 { return zoneClassOf(task).runS }
	r.ClassOf = func(task string) string { return zoneClassOf(task).name }
	r.History.IsZoneAffected = r.ZonePartition.Affects
	r.MaxReportDelay = 2 * zoneHeartbeatS * time.Second
	r.rules.OnTaskEvent = r.ObserveTaskEvent
	r.ZoneOf, r.MachineOf = r.zoneOfName, machineOf
	r.OnChange = func() {
		r.ObserveFault()
		r.peerNet.SetPartition(r.Blocks)
	}
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
func (r *zoneRun) submitAll(ctx context.Context, class zoneClass) {
	var users sync.WaitGroup
	random := rand.New(rand.NewPCG(r.seed, uint64(class.first)))
	for n := 0; ctx.Err() == nil; n++ {
		size := r.load * float64(class.tasks)
		if r.seed != 0 {
			size *= 0.5 + random.Float64()
		}
		id, tasks := fmt.Sprintf("j-%06d", class.first+n), max(1, int(math.Round(size)))
		job := testJob(id, tasks)
		job["lane"], job["rank"] = class.name, class.priority
		job["expect_s"], job["save_every_s"] = class.runS, class.saveS
		users.Go(func() {
			if !r.submitWithRetries(n%r.size, time.Second, job) {
				r.t.Errorf("%s was not accepted", id)
			}
			r.ObserveAcceptedJob(id, class.name, tasks)
		})
		time.Sleep(class.every)
	}
	users.Wait()
}

// play runs a script beside the load, then waits until all accepted jobs are done.
func (r *zoneRun) play(script func()) {
	var users sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	for _, class := range zoneClasses {
		users.Go(func() { r.submitAll(ctx, class) })
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
	r.checkJobsKnown(jobs[:min(len(jobs), 50)])
	r.checkRules()
}

// status returns the leader's view of a zone, from the first node that has it; empty while none
// has.
func (r *zoneRun) status(name string) zone.Status {
	for node := range r.size {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		code, b, err := wire.Call(ctx, r.userClient, http.MethodGet, fmt.Sprintf("http://host-%d:8080/zones", node), nil)
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
