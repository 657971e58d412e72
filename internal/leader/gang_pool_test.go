package leader

import (
	"fmt"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/leader/workload"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// newPoolTest makes a leader of 32 idle machines of four CPUs, and of no jobs. A gang is to start within 2 s with a
// chance of 0.85.
func newPoolTest(t *testing.T) *Leader {
	t.Helper()
	l, _ := newTestLeader(t)
	l.Settings.Params.Objectives = []settings.Objective{{Kind: "wait", Class: "pairs", WithinS: 2, Share: 0.85}}
	l.workload = workload.New(l.Settings.Params)
	l.heartbeatInterval = 8 * micros.Second
	l.liveness.HeartbeatInterval = l.heartbeatInterval
	l.zones.HeartbeatInterval = l.heartbeatInterval
	l.scaler.HeartbeatInterval, l.scaler.Workload = l.heartbeatInterval, l.workload
	l.scheduler.HeartbeatInterval, l.scheduler.Workload = l.heartbeatInterval, l.workload
	l.gangs.HeartbeatInterval = l.heartbeatInterval
	clear(l.jobs)
	for i := range 31 {
		l.fleet.Add(fmt.Sprintf("i-%d", 10+i), l.fleet.Intent("r-1"), l.startedAt)
	}
	for _, m := range l.fleet.Sorted {
		m.Instance.Running, m.Instance.IntentStored, m.Instance.ListStored, m.Heartbeat.FromCurrentTerm = true, true, true, true
		m.Reconciliation.Knowledge = state.TasksConfirmed
		m.Instance.Address, m.Heartbeat.Incarnation, m.Heartbeat.ReceivedAt, m.Lease.RenewedAt = m.ID+":9000", 1, l.startedAt, l.startedAt
	}
	return l
}

// addPairsJob has a job of class pairs come in, or be known at a failover.
func addPairsJob(l *Leader, id string, kind wire.JobKind, tasks int, earlierTerm bool, edit func(*wire.Job)) *state.Job {
	spec := &wire.Job{ID: id, Class: "pairs", Team: "blue", Kind: kind, Priority: "normal", Tasks: tasks, CPUs: 1, MemoryGB: 1, EstimatedRuntimeS: 60, AllowSpot: true}
	if edit != nil {
		edit(spec)
	}
	j := state.NewJob(replica.Job{Spec: spec, SubmittedAt: micros.WallTime()}, earlierTerm)
	l.jobs[id] = j
	l.scaler.AddDemand(j)
	return j
}

// countPooled counts the machines on which only gangs start.
func countPooled(l *Leader) (n int) {
	for _, m := range l.fleet.Sorted {
		if m.Pool.IsSet() {
			n++
		}
	}
	return n
}

// TestGangPoolUse has work start beside a pool: gangs start there and arrays don't, its machines are not terminated
// while they are wanted, and are open to all when they are not.
func TestGangPoolUse(t *testing.T) {
	l := newPoolTest(t)
	addPairsJob(l, "j-000100", wire.KindGang, 2, false, nil)
	l.autoscale(micros.Now())
	if countPooled(l) == 0 {
		t.Fatal("no machine is in a pool")
	}
	addPairsJob(l, "j-000200", wire.KindArray, 1000, false, nil)
	l.scheduler.PlannedAt = 0
	for _, m := range l.fleet.Sorted {
		if _, err := l.HandleHeartbeat(&wire.Heartbeat{MachineID: m.ID, Address: m.Instance.Address, InstanceType: "m4", Zone: "a", Incarnation: 1, Sequence: m.Heartbeat.Sequence + 1, FencingToken: testToken}); err != nil {
			t.Fatal(err)
		}
	}
	gangs := 0
	for _, m := range l.fleet.Sorted {
		for _, a := range m.Attempts {
			switch {
			case a.Job.IsGang() && m.Pool.IsSet():
				gangs++
			case !a.Job.IsGang() && m.Pool.IsSet():
				t.Errorf("a task of an array starts on %s, which is in a pool", m.ID)
			}
		}
	}
	if gangs != 2 {
		t.Errorf("%d tasks of the gang start on machines of the pool, want 2", gangs)
	}
	before := countPooled(l)
	for _, m := range l.fleet.Sorted {
		m.Instance.LaunchedAt, m.Instance.IdleSince = m.Instance.LaunchedAt-1000*micros.Second, m.Instance.IdleSince-1000*micros.Second
	}
	l.autoscale(micros.Now())
	for _, m := range l.fleet.Sorted {
		if m.Instance.Terminating && m.Pool.IsSet() {
			t.Errorf("%s is terminated, and is in a pool", m.ID)
		}
	}
	if countPooled(l) != before {
		t.Errorf("%d machines are in a pool, were %d", countPooled(l), before)
	}
	for _, p := range l.scaler.Pools() {
		p.Mean = 0
		p.Demand.Seed(micros.Now(), 0)
	}
	l.autoscale(micros.Now() + l.Tuning.ReviewInterval)
	if n := countPooled(l); n != 0 {
		t.Errorf("%d machines stay in a pool for gangs that do not come", n)
	}
}

// TestGangPoolAfterFailover has a new leader know two gangs, and get heartbeats of machines whose tasks are not known
// yet: full of an array, idle, or with a gang.
func TestGangPoolAfterFailover(t *testing.T) {
	l := newPoolTest(t)
	gang := addPairsJob(l, "j-000100", wire.KindGang, 2, true, nil)
	addPairsJob(l, "j-000101", wire.KindGang, 2, true, nil)
	array := addPairsJob(l, "j-000200", wire.KindArray, 1000, true, nil)
	l.scaler.StepPools(micros.Now())
	running := func(j *state.Job, tasks ...int) (out []wire.TaskStatus) {
		for _, n := range tasks {
			out = append(out, wire.TaskStatus{TaskID: state.TaskID(j.Spec.ID, n), Attempt: 5, State: wire.TaskRunning})
		}
		return out
	}
	for _, c := range []struct {
		name    string
		machine string
		tasks   []wire.TaskStatus
		pooled  bool
	}{
		{"tasks of an array", "i-10", running(array, 0, 1), false},
		{"idle", "i-11", nil, true},
		{"a gang", "i-12", running(gang, 0, 1), true},
		{"idle as well", "i-13", nil, true},
		{"a fourth", "i-14", nil, true},
		{"beyond an eighth of the fleet", "i-15", nil, false},
	} {
		m := l.fleet.Machines[c.machine]
		m.Reconciliation.Knowledge = state.TasksUnknown
		l.reconcile(m, &wire.Heartbeat{MachineID: m.ID, Incarnation: 1, Sequence: 1, FencingToken: testToken, Tasks: c.tasks}, micros.Now())
		if got := m.Pool.IsSet(); got != c.pooled {
			t.Errorf("%s: in a pool: %t, want %t", c.name, got, c.pooled)
		}
	}
}
