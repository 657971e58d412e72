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

// newPoolTest returns a leader with 32 idle machines of four CPUs and no jobs. Its objective is that 85 % of the jobs
// of class pairs start within 2 s.
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

// addPairsJob adds a job of class pairs. If earlierTerm is set, the job was submitted before this term.
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

// countPooled returns the number of machines that are in a pool, on which only gangs start.
func countPooled(l *Leader) (n int) {
	for _, m := range l.fleet.Sorted {
		if m.Pool.IsSet() {
			n++
		}
	}
	return n
}

// TestGangPoolUse checks that gangs start on the machines of a pool and tasks of arrays do not. Idle machines are not
// terminated while they are in the pool. Once gangs demand no machines, the machines leave the pool and are open to all
// jobs.
func TestGangPoolUse(t *testing.T) {
	l := newPoolTest(t)
	addPairsJob(l, "j-000100", wire.KindGang, 2, false, nil)
	l.autoscale(micros.Now())
	if countPooled(l) == 0 {
		t.Fatal("no machine is in a pool, want at least one")
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
				t.Errorf("a task of an array started on %s, which is in a pool", m.ID)
			}
		}
	}
	if gangs != 2 {
		t.Errorf("%d tasks of the gang started on machines of the pool, want 2", gangs)
	}
	pooledBefore := countPooled(l)
	for _, m := range l.fleet.Sorted {
		m.Instance.LaunchedAt, m.Instance.IdleSince = m.Instance.LaunchedAt-1000*micros.Second, m.Instance.IdleSince-1000*micros.Second
	}
	l.autoscale(micros.Now())
	for _, m := range l.fleet.Sorted {
		if m.Instance.Terminating && m.Pool.IsSet() {
			t.Errorf("%s is terminated while it is in a pool", m.ID)
		}
	}
	if countPooled(l) != pooledBefore {
		t.Errorf("%d machines are in a pool after idle machines were terminated, want %d", countPooled(l), pooledBefore)
	}
	for _, p := range l.scaler.Pools() {
		p.Mean = 0
		p.Demand.Seed(micros.Now(), 0)
	}
	l.autoscale(micros.Now() + l.Tuning.ReviewInterval)
	if n := countPooled(l); n != 0 {
		t.Errorf("%d machines are in a pool without any demand by gangs, want 0", n)
	}
}

// TestGangPoolAfterFailover checks which machines join a pool after a failover, by whether their first heartbeats list
// tasks of an array, no tasks, or tasks of a gang. Two gangs are known, and a pool takes an eighth of the fleet at most.
func TestGangPoolAfterFailover(t *testing.T) {
	l := newPoolTest(t)
	gang := addPairsJob(l, "j-000100", wire.KindGang, 2, true, nil)
	addPairsJob(l, "j-000101", wire.KindGang, 2, true, nil)
	array := addPairsJob(l, "j-000200", wire.KindArray, 1000, true, nil)
	l.scaler.StepPools(micros.Now())
	running := func(j *state.Job, tasks ...int) (statuses []wire.TaskStatus) {
		for _, n := range tasks {
			statuses = append(statuses, wire.TaskStatus{TaskID: state.TaskID(j.Spec.ID, n), Attempt: 5, State: wire.TaskRunning})
		}
		return statuses
	}
	for _, c := range []struct {
		name    string
		machine string
		tasks   []wire.TaskStatus
		pooled  bool
	}{
		{"tasks of an array", "i-10", running(array, 0, 1), false},
		{"idle", "i-11", nil, true},
		{"tasks of a gang", "i-12", running(gang, 0, 1), true},
		{"a second idle machine", "i-13", nil, true},
		{"a fourth machine in the pool", "i-14", nil, true},
		{"more than an eighth of the fleet", "i-15", nil, false},
	} {
		m := l.fleet.Machines[c.machine]
		m.Reconciliation.Knowledge = state.TasksUnknown
		l.reconcile(m, &wire.Heartbeat{MachineID: m.ID, Incarnation: 1, Sequence: 1, FencingToken: testToken, Tasks: c.tasks}, micros.Now())
		if got := m.Pool.IsSet(); got != c.pooled {
			t.Errorf("%s: %s is in a pool: %t, want %t", c.name, m.ID, got, c.pooled)
		}
	}
}
