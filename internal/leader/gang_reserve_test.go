package leader

import (
	"fmt"
	"testing"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/settings"
	"caperlatch/internal/wire"
)

// newReserveTest makes a leader of 32 machines of four GuaranteedCPUs that are up and idle, and of no
// jobs. A gang is to start within 2 s with a chance of 0.85.
func newReserveTest(t *testing.T) *Leader {
	t.Helper()
	l, _ := newTestLeader(t)
	l.Settings.Params.Objectives = []settings.Objective{{Kind: "wait", Class: "pairs", WithinS: 2, Share: 0.85}}
	l.heartbeatInterval = 8 * micros.Second
	clear(l.jobs)
	for i := range 31 {
		l.addMachine(fmt.Sprintf("i-%d", 10+i), l.intents["r-1"], l.startedAt)
	}
	for _, m := range l.sorted {
		m.instance.running, m.instance.intentStored, m.instance.listStored, m.heartbeat.ofThisTerm = true, true, true, true
		m.reconciliation.knowledge = tasksConfirmed
		m.instance.address, m.heartbeat.incarnation, m.heartbeat.receivedAt, m.lease.renewedAt = m.id+":9000", 1, l.startedAt, l.startedAt
	}
	return l
}

// addJob has a job come in, or be known at a take-over.
func addJob(l *Leader, id string, shape string, tasks int, old bool, edit func(*wire.Job)) *job {
	spec := &wire.Job{ID: id, Class: "pairs", Team: "blue", Kind: shape, Priority: "normal", Tasks: tasks, CPUs: 1, MemoryGB: 1, EstimatedRuntimeS: 60, AllowSpot: true}
	if edit != nil {
		edit(spec)
	}
	j := newJob(replica.Job{Spec: spec, SubmittedAt: micros.Wall()}, old)
	l.jobs[id] = j
	l.addDemand(j)
	return j
}

// reserved counts the machines on which only gangs start.
func reserved(l *Leader) (n int) {
	for _, m := range l.sorted {
		if m.pool != nil {
			n++
		}
	}
	return n
}

// TestGangReserve has gangs come in and counts the machines that are then reserved.
func TestGangReserve(t *testing.T) {
	gang := func(edit func(*wire.Job)) func(*Leader) {
		return func(l *Leader) {
			for i := range 4 {
				addJob(l, fmt.Sprintf("j-00010%d", i), wire.KindGang, 2, false, edit)
			}
		}
	}
	// Two GuaranteedCPUs of four: a gang is half of a machine. Four that came in now, over a third
	// of a window at least and with 1.3 deviations of their number, are 3.9 machines in the mean
	// by the end of an interval, rounded up. Seven machines that report every 8 s
	// must have room: 0.75^7 = 0.13. The fleet's share bounds both.
	for _, c := range []struct {
		name string
		play func(*Leader)
		want int
	}{
		{"arrays alone", func(l *Leader) { addJob(l, "j-000100", wire.KindArray, 40, false, nil) }, 0},
		{"gangs", gang(nil), 4},
		{"gangs in a larger fleet", func(l *Leader) {
			for i := range 200 {
				m := l.addMachine(fmt.Sprintf("i-%d", 100+i), l.intents["r-1"], l.startedAt)
				m.instance.running, m.instance.intentStored, m.instance.listStored, m.heartbeat.ofThisTerm, m.heartbeat.receivedAt = true, true, true, true, l.startedAt
				m.reconciliation.knowledge = tasksConfirmed
			}
			gang(nil)(l)
		}, 11},
		{"known at a take-over", func(l *Leader) {
			for i := range 4 {
				addJob(l, fmt.Sprintf("j-00010%d", i), wire.KindGang, 2, true, nil)
			}
		}, 4},
		{"larger than a machine", gang(func(j *wire.Job) { j.CPUs = 3 }), 0},
		{"scattered", gang(func(j *wire.Job) { j.SpreadZones = true }), 0},
		{"bound to a zone", gang(func(j *wire.Job) { j.Zone = "a" }), 0},
		{"bound to a type", gang(func(j *wire.Job) { j.InstanceTypes = []string{"m4"} }), 0},
	} {
		l := newReserveTest(t)
		c.play(l)
		l.autoscale(micros.Now())
		if got := reserved(l); got != c.want {
			t.Errorf("%s: %d machines are reserved, want %d", c.name, got, c.want)
		}
	}
}

// TestGangReserveUse has work start beside a reserve: gangs start there and arrays don't,
// it is not returned while it is wanted, and is open to all when it is not.
func TestGangReserveUse(t *testing.T) {
	l := newReserveTest(t)
	addJob(l, "j-000100", wire.KindGang, 2, false, nil)
	l.autoscale(micros.Now())
	if reserved(l) == 0 {
		t.Fatal("nothing is reserved")
	}
	addJob(l, "j-000200", wire.KindArray, 1000, false, nil)
	l.plannedAt = 0
	for _, m := range l.sorted {
		if _, err := l.HandleHeartbeat(&wire.Heartbeat{MachineID: m.id, Address: m.instance.address, InstanceType: "m4", Zone: "a", Incarnation: 1, Sequence: m.heartbeat.sequence + 1, FencingToken: testToken}); err != nil {
			t.Fatal(err)
		}
	}
	gangs := 0
	for _, m := range l.sorted {
		for _, a := range m.attempts {
			switch {
			case a.job.isGang() && m.pool != nil:
				gangs++
			case !a.job.isGang() && m.pool != nil:
				t.Errorf("a task of an array starts on %s, which is reserved", m.id)
			}
		}
	}
	if gangs != 2 {
		t.Errorf("%d tasks of the gang start on reserved machines, want 2", gangs)
	}
	before := reserved(l)
	for _, m := range l.sorted {
		m.instance.launchedAt, m.instance.idleSince = m.instance.launchedAt-1000*micros.Second, m.instance.idleSince-1000*micros.Second
	}
	l.autoscale(micros.Now())
	for _, m := range l.sorted {
		if m.instance.terminating && m.pool != nil {
			t.Errorf("%s is returned, and is reserved", m.id)
		}
	}
	if reserved(l) != before {
		t.Errorf("%d machines are reserved, were %d", reserved(l), before)
	}
	for _, r := range l.pools {
		r.mean, r.heldUntil = 0, 0
		r.window.Seed(micros.Now(), 0)
	}
	l.autoscale(micros.Now())
	if n := reserved(l); n != 0 {
		t.Errorf("%d machines stay reserved for gangs that do not come", n)
	}
}

// TestGangReserveTakeOver has a leader take over with two gangs known and show it machines
// whose tasks are not known yet, full of an array, idle, or with a gang.
func TestGangReserveTakeOver(t *testing.T) {
	l := newReserveTest(t)
	gang := addJob(l, "j-000100", wire.KindGang, 2, true, nil)
	addJob(l, "j-000101", wire.KindGang, 2, true, nil)
	array := addJob(l, "j-000200", wire.KindArray, 1000, true, nil)
	l.stepPools(micros.Now())
	running := func(j *job, tasks ...int) (out []wire.TaskStatus) {
		for _, n := range tasks {
			out = append(out, wire.TaskStatus{TaskID: taskID(j.spec.ID, n), Attempt: 5, State: wire.TaskRunning})
		}
		return out
	}
	for _, c := range []struct {
		name     string
		machine  string
		tasks    []wire.TaskStatus
		reserved bool
	}{
		{"tasks of an array", "i-10", running(array, 0, 1), false},
		{"idle", "i-11", nil, true},
		{"a gang", "i-12", running(gang, 0, 1), true},
		{"idle as well", "i-13", nil, true},
		{"a fourth", "i-14", nil, true},
		{"beyond an eighth of the fleet", "i-15", nil, false},
	} {
		m := l.machines[c.machine]
		m.reconciliation.knowledge = tasksUnknown
		l.reconcile(m, &wire.Heartbeat{MachineID: m.id, Incarnation: 1, Sequence: 1, FencingToken: testToken, Tasks: c.tasks}, micros.Now())
		if got := m.pool != nil; got != c.reserved {
			t.Errorf("%s: reserved: %t, want %t", c.name, got, c.reserved)
		}
	}
}

// TestRaiseMeans has a leader of two types know, after a take-over, what their machines
// hold. Tasks run on other types than those their demand was counted for, so only what is
// held beyond all means raises them.
func TestRaiseMeans(t *testing.T) {
	for _, c := range []struct {
		name        string
		small, wide float64 // their means
		held        int     // tasks of one CPU on machines of four
		want, other float64
	}{
		{"less is held than known", 10, 0, 20, 10, 0},
		{"more is held", 2, 0, 20, 5, 0},
		{"the other type's mean is of the same demand", 2, 2, 20, 2, 2},
		{"and does not explain all", 2, 1, 20, 3, 1},
	} {
		l := newReserveTest(t)
		l.setInstanceTypes(wire.InstanceTypeList{Types: []wire.InstanceType{
			{Name: "m4", CPUs: 4, MemoryGB: 16, ImagePullGBPerS: 1, OnDemandPrice: 1, SpotPrice: 1, Zones: []string{"a"}},
			{Name: "m8", CPUs: 8, MemoryGB: 32, ImagePullGBPerS: 1, OnDemandPrice: 3, SpotPrice: 3, Zones: []string{"a"}}}})
		array := addJob(l, "j-000200", wire.KindArray, 1000, false, nil)
		for n := range c.held {
			l.assign(&attempt{job: array, index: n, number: 1, machine: l.sorted[n/4]})
		}
		l.types["m4"].mean, l.types["m8"].mean = c.small, c.wide
		l.raiseMeans()
		if got, other := l.types["m4"].mean, l.types["m8"].mean; got != c.want || other != c.other {
			t.Errorf("%s: means of %v and %v, want %v and %v", c.name, got, other, c.want, c.other)
		}
	}
}
