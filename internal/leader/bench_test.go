package leader

import (
	"fmt"
	"testing"

	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/statestore"
	"caperlatch/internal/wire"
)

// benchFleets lists the fleet sizes of the benchmarks, in machines. The ratio of the results for the two sizes shows
// how the cost grows with the fleet.
var benchFleets = []int{2050, 4100}

// Waiting work of the benchmarks, which is much more than either fleet has room for.
const (
	benchJobs  = 1000
	benchTasks = 100 // per job
)

// forEachBenchFleet runs a benchmark for each fleet size.
func forEachBenchFleet(b *testing.B, run func(b *testing.B, machines int)) {
	for _, machines := range benchFleets {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) { run(b, machines) })
	}
}

// benchSettings returns the settings of a large deployment.
func benchSettings() *settings.Settings {
	return &settings.Settings{Params: settings.Params{
		Teams:   []settings.Team{{Name: "blue"}, {Name: "red", GuaranteedCPUs: 500, MaxCPUs: 5000}},
		Workers: settings.Workers{HeartbeatIntervalS: 8, LeaseDurationS: 45, CancellationTimeoutS: 75},
		State:   settings.State{RPS: 1e6, WriteRPS: 1e6, ValueKB: 4, TxnOps: 8},
		Objectives: []settings.Objective{
			{Kind: "wait", Class: "c0", WithinS: 2, Share: 0.96}, {Kind: "finished", Class: "c1", WithinS: 150, Share: 0.9},
			{Kind: "finished", Class: "c1", WithinS: 250, Share: 0.99}, {Kind: "guarantee", WithinS: 10, Share: 0.9}},
	}}
}

// benchReplica returns a replica of the stored jobs and machines of a large fleet.
func benchReplica(machines int) *replica.Replica {
	r := replica.New(nil)
	for i := range benchJobs {
		id := fmt.Sprintf("j-%06d", i+1)
		spec := &wire.Job{ID: id, Class: fmt.Sprintf("c%d", i%3), Team: []string{"blue", "red"}[i%2], Kind: wire.KindArray,
			Priority: []wire.Priority{"normal", "urgent"}[i%2], Tasks: benchTasks, CPUs: 4, MemoryGB: 12, Image: fmt.Sprintf("img-%d", i%20),
			ImageSizeGB: 2, EstimatedRuntimeS: float64(20 + i%50), AllowSpot: true}
		r.ApplyPut(replica.JobPrefix+id, replica.Job{State: wire.JobPending, SubmittedAt: micros.WallTime(), Spec: spec}, uint64(i+10))
	}
	for i := range machines / 50 {
		intent := fleet.LaunchIntent{Type: "m16", Zone: []string{"a", "b"}[i%2], Spot: true, Count: 50, Answered: true, At: micros.WallTime() - 100*micros.Second}
		for k := range 50 {
			intent.Machines = append(intent.Machines, benchMachineID(i*50+k))
		}
		r.ApplyPut(replica.LaunchIntentPrefix+fmt.Sprintf("r-1-%d", i), intent, uint64(i+5000))
		r.ApplyPut(fleet.ListKey(i), fleet.MachineList{Entries: intent.Machines}, uint64(i+6000))
	}
	return r
}

// benchMachineID returns the ID of the machine with the given index.
func benchMachineID(i int) string { return fmt.Sprintf("i-%06d", i) }

// newBenchLeader returns a leader that has just restored the stored state after a failover.
func newBenchLeader(b *testing.B, r *replica.Replica) *Leader {
	b.Helper()
	now := micros.Now()
	s := benchSettings()
	l := New(Config{Settings: s, Tuning: settings.DefaultTuning(), Replica: r,
		Store: statestore.New("unused", s.Params.State, nil), FencingToken: testToken,
		Term: &fakeTerm{holdsSession: true, exclusive: true, lastConfirmed: now + 3600*micros.Second, earlierTermsFencedSince: now}})
	l.setInstanceTypes(wire.InstanceTypeList{Types: []wire.InstanceType{{Name: "m16", CPUs: 16, MemoryGB: 64, ImageCacheGB: 60, ImagePullGBPerS: 1, OnDemandPrice: 0.97, SpotPrice: 0.35, BootTimeS: 50, Zones: []string{"a", "b"}}}})
	if err := l.restoreState(); err != nil {
		b.Fatal(err)
	}
	return l
}

// fillMachines sends three heartbeats of every machine, after which all of them run tasks, and returns the latest
// heartbeats by machine ID.
func fillMachines(b *testing.B, l *Leader, machines int) map[string]*wire.Heartbeat {
	b.Helper()
	heartbeats := map[string]*wire.Heartbeat{}
	for round := range 3 {
		for i := range machines {
			id := benchMachineID(i)
			h := heartbeats[id]
			if h == nil {
				h = &wire.Heartbeat{MachineID: id, InstanceType: "m16", Zone: []string{"a", "b"}[i/50%2], Spot: true, Incarnation: 1, FencingToken: testToken}
				heartbeats[id] = h
			}
			if round == 2 && i == 0 {
				l.scheduler.Plan(micros.Now())
			}
			l.scheduler.PlannedAt = micros.Now() + micros.Second
			benchHeartbeat(b, l, h)
		}
	}
	return heartbeats
}

// benchHeartbeat sends a worker's next heartbeat, and adds the tasks that the response starts to the heartbeat.
func benchHeartbeat(b *testing.B, l *Leader, h *wire.Heartbeat) {
	h.Sequence++
	response, err := l.HandleHeartbeat(h)
	if err != nil {
		b.Fatal(err)
	}
	for _, c := range response.Commands {
		if c.Verb == wire.VerbStart {
			h.Tasks = append(h.Tasks, wire.TaskStatus{TaskID: c.TaskID, Attempt: c.Attempt, State: wire.TaskRunning})
		}
	}
}

// BenchmarkFailover measures restoring a leader's state from the stored state.
func BenchmarkFailover(b *testing.B) {
	forEachBenchFleet(b, func(b *testing.B, machines int) {
		r := benchReplica(machines)
		b.ReportAllocs()
		for b.Loop() {
			newBenchLeader(b, r)
		}
	})
}

// BenchmarkHeartbeat measures handling a heartbeat of a machine with tasks, without planning.
func BenchmarkHeartbeat(b *testing.B) {
	forEachBenchFleet(b, func(b *testing.B, machines int) {
		l := newBenchLeader(b, benchReplica(machines))
		heartbeats := fillMachines(b, l, machines)
		i := 0
		b.ResetTimer()
		b.ReportAllocs()
		for b.Loop() {
			l.scheduler.PlannedAt = micros.Now() + micros.Second
			benchHeartbeat(b, l, heartbeats[benchMachineID(i%machines)])
			i++
		}
	})
}

// BenchmarkPlan measures planning while all machines are full except every twentieth, which is empty.
func BenchmarkPlan(b *testing.B) {
	forEachBenchFleet(b, func(b *testing.B, machines int) {
		l := newBenchLeader(b, benchReplica(machines))
		fillMachines(b, l, machines)
		n := 0
		for _, m := range l.fleet.Sorted {
			if n++; n%20 == 0 {
				l.releaseAll(m, "benchmark")
			}
		}
		b.ResetTimer()
		b.ReportAllocs()
		for b.Loop() {
			l.scheduler.Plan(micros.Now())
		}
	})
}

// BenchmarkMachineSupervision measures one check of all machines.
func BenchmarkMachineSupervision(b *testing.B) {
	forEachBenchFleet(b, func(b *testing.B, machines int) {
		l := newBenchLeader(b, benchReplica(machines))
		fillMachines(b, l, machines)
		b.ResetTimer()
		b.ReportAllocs()
		for b.Loop() {
			l.superviseMachines(micros.Now())
		}
	})
}

// BenchmarkAutoscale measures one run of the autoscaler without launches and terminations.
func BenchmarkAutoscale(b *testing.B) {
	forEachBenchFleet(b, func(b *testing.B, machines int) {
		l := newBenchLeader(b, benchReplica(machines))
		fillMachines(b, l, machines)
		l.Term.(*fakeTerm).exclusive = false // no launches
		l.Term.(*fakeTerm).holdsSession = false
		b.ResetTimer()
		b.ReportAllocs()
		for b.Loop() {
			l.autoscale(micros.Now())
		}
	})
}

// BenchmarkTaskCounts measures reading the task counts of all jobs.
func BenchmarkTaskCounts(b *testing.B) {
	forEachBenchFleet(b, func(b *testing.B, machines int) {
		l := newBenchLeader(b, benchReplica(machines))
		fillMachines(b, l, machines)
		b.ResetTimer()
		b.ReportAllocs()
		for b.Loop() {
			l.AllTaskCounts()
		}
	})
}
