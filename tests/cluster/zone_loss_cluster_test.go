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

// zoneClass is a class of jobs that are submitted at regular intervals throughout a zoneRun.
type zoneClass struct {
	name                string
	priority            string
	firstJob            int           // number in the ID of its first job
	submitInterval      time.Duration // between two submissions
	tasksPerJob         int           // number of tasks of a job at a load of 1
	runtimeS            float64       // runtime of a task, in seconds
	checkpointIntervalS float64       // time between checkpoints, in seconds; 0: no checkpoints
}

// zoneClasses need about 410 CPUs in all at a load of 1, which is more than one of two zones has.
var zoneClasses = []zoneClass{
	{name: "urgent", priority: "urgent", firstJob: 100_000, submitInterval: time.Second, tasksPerJob: 10, runtimeS: 8},
	{name: "scan", priority: "normal", firstJob: 200_000, submitInterval: 2 * time.Second, tasksPerJob: 24, runtimeS: 20, checkpointIntervalS: 5},
	{name: "update", priority: "normal", firstJob: 300_000, submitInterval: 2 * time.Second, tasksPerJob: 12, runtimeS: 15, checkpointIntervalS: 5},
}

// zoneClassOf returns the class of a task, which its job's number determines. Jobs that a step submits belong to a
// class without a name.
func zoneClassOf(task string) zoneClass {
	var n int
	if _, err := fmt.Sscanf(task, "j-%d", &n); err != nil || n < zoneClasses[0].firstJob {
		return zoneClass{runtimeS: 60}
	}
	return zoneClasses[n/100_000-1]
}

// Heartbeat interval, lease duration and cancellation timeout of the workers of a zoneRun, in seconds.
const zoneHeartbeatS, zoneLeaseS, zoneCancelS = 2.0, 16.0, 41.0

var twoZones, fourZones = []string{"a", "b"}, []string{"a", "b", "c", "d"}

// zoneSettings returns the zone policy of a zoneRun. Heartbeats of workers that were isolated arrive again within
// about 6 s, so the steps must be long enough to be distinguished from that.
func zoneSettings() *zone.Config {
	policy := zone.DefaultConfig(micros.FromSeconds(zoneHeartbeatS))
	policy.EvacuationOrder = []string{"scan", "update"}
	policy.MinStepTime = 4 * micros.Second
	policy.InitialHoldDown = 2 * micros.Second
	return &policy
}

// zoneRun is a cluster over several zones under a steady load. Its steps isolate and heal zones.
type zoneRun struct {
	*cluster
	*checker.History
	*fake.ZonePartition
	zones            []string
	load             float64 // factor of the job sizes that the classes give
	seed             uint64  // seed of random job sizes; 0: all jobs of a class have the same size
	invalidateRecord bool    // no leader finds a usable record of zones

	// Results of the steps.
	lostZone   string        // the zone that the steps isolate
	isolatedAt time.Duration // when it was last isolated
	lostAt     time.Duration // when the leader declared it lost
	healedAt   time.Duration // when its isolation ended
	launched   int           // number of machines launched by the end of the first loseZone step
	addedJobs  []string      // IDs of jobs that steps submitted
	problems   []string      // problems that checks found, each prefixed with its kind
}

// newZoneRun starts nodes, which are assigned to the zones in turn. machines is the maximum number of machines per
// zone.
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
	r.cloud.RuntimeOf = func(task string) float64 { return zoneClassOf(task).runtimeS }
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

// zoneOfName returns the zone of a sender or host, or "" for services and users.
func (r *zoneRun) zoneOfName(name string) string {
	var node int
	if _, err := fmt.Sscanf(name, "host-%d", &node); err == nil {
		return r.zones[node%len(r.zones)]
	}
	return r.rules.ZoneOf(machineOf(name))
}

// submitAll submits jobs of a class until ctx is done.
func (r *zoneRun) submitAll(ctx context.Context, class zoneClass) {
	var users sync.WaitGroup
	random := rand.New(rand.NewPCG(r.seed, uint64(class.firstJob)))
	for n := 0; ctx.Err() == nil; n++ {
		size := r.load * float64(class.tasksPerJob)
		if r.seed != 0 {
			size *= 0.5 + random.Float64()
		}
		id, tasks := fmt.Sprintf("j-%06d", class.firstJob+n), max(1, int(math.Round(size)))
		job := testJob(id, tasks)
		job["lane"], job["rank"] = class.name, class.priority
		job["expect_s"], job["save_every_s"] = class.runtimeS, class.checkpointIntervalS
		users.Go(func() {
			if !r.submitWithRetries(n%r.size, time.Second, job) {
				r.t.Errorf("job %s was not accepted", id)
			}
			r.ObserveAcceptedJob(id, class.name, tasks)
		})
		time.Sleep(class.submitInterval)
	}
	users.Wait()
}

// runUnderLoad runs a script while jobs of all classes are submitted, ends the isolation, and then waits until all
// accepted jobs are done. It checks the rules, and that the nodes know the first 50 jobs.
func (r *zoneRun) runUnderLoad(script func()) {
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
	time.Sleep(100 * time.Second) // until the number of machines is steady
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

// status returns the leader's view of a zone, from the first node that returns it. The result is empty if none does.
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

// pollStatus polls a zone's status until done reports true for it, or until it has been polled the given number of
// times.
func (r *zoneRun) pollStatus(name string, tries int, done func(s zone.Status) bool) (s zone.Status) {
	for s = r.status(name); tries > 0 && !done(s); tries-- {
		time.Sleep(100 * time.Millisecond)
		s = r.status(name)
	}
	return s
}

// isInState reports whether a zone is in one of the given states.
func isInState(s zone.Status, states []zone.State) bool {
	return slices.ContainsFunc(states, func(want zone.State) bool { return s.State == want.String() })
}

// awaitState waits until the leader reports a zone in one of the given states.
func (r *zoneRun) awaitState(name string, states ...zone.State) {
	r.t.Helper()
	if s := r.pollStatus(name, 1200, func(s zone.Status) bool { return isInState(s, states) }); !isInState(s, states) {
		r.t.Fatalf("zone %s is %s (%s: %+v) after 2 min, want %v", name, s.State, s.Reason, s.Evidence, states)
	}
}

// restart kills nodes, starts them again after 0.1 s, and waits for the next leader. If invalidateRecord is set, the
// next leader finds a record of zones of an unknown version in the state service, which it cannot use.
func (r *zoneRun) restart(nodes ...int) {
	token := r.fencingToken()
	for _, i := range nodes {
		r.kill(i)
	}
	if r.invalidateRecord {
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

// zoneByLeaderPresence returns the zone that the leader is in if present is true, or else a zone that it is not in.
func (r *zoneRun) zoneByLeaderPresence(present bool) string {
	leaderZone := r.zoneOfName(memberName(r.leader()))
	return r.zones[slices.IndexFunc(r.zones, func(name string) bool { return (name == leaderZone) == present })]
}

// makeLeaderIn restarts leaders until a node in a zone leads.
func (r *zoneRun) makeLeaderIn(name string) {
	for r.zoneByLeaderPresence(true) != name {
		r.restart(r.leader())
		time.Sleep(10 * time.Second)
	}
}
