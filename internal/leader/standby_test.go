package leader

import (
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
)

// handedView is a view of the term before, whose leader has handed over: machine i-1 has the
// task j-000001/0.
func handedView() *standby.View {
	v := standby.NewView(testToken - 1)
	v.Machines["i-1"] = &standby.Machine{
		MachineState: standby.MachineState{Incarnation: 4, TasksKnown: true},
		Tasks:        map[string]standby.TaskState{"j-000001/0": {Attempt: 5}},
	}
	v.Handover = &standby.Handover{To: "host-1", Complete: true}
	return v
}

// withSecond adds a machine that this term knows to be empty and that may get tasks.
func withSecond(l *Leader) *machine {
	b := &launchIntent{id: "r-2", Type: "m4", Zone: "a", Answered: true, Machines: []string{"i-2"}}
	l.intents[b.id] = b
	m := l.addMachine("i-2", b, l.startedAt)
	m.instance.running, m.instance.intentStored, m.instance.listStored = true, true, true
	return m
}

func heartbeatOf(machine string, seq uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	r := heartbeat(seq, testToken, tasks...)
	r.MachineID = machine
	return r
}

// TestHandedOver has a leader begin with the view of the term before. Only a complete
// handover by the very term before, applied whole, lets an old job go on while a machine has
// not been heard; and then only with the tasks that the machine cannot have.
func TestHandedOver(t *testing.T) {
	cases := []struct {
		name string
		edit func(v *standby.View)
		want []string // told to the second machine before the first is heard
	}{
		{"complete", func(*standby.View) {}, []string{"start j-000001/1", "start j-000001/2"}},
		{"not complete", func(v *standby.View) { v.Handover.Complete = false }, nil},
		{"no handover, a crash", func(v *standby.View) { v.Handover = nil }, nil},
		{"another term led in between", func(v *standby.View) { v.FencingToken-- }, nil},
		{"the machine's tasks were not known", func(v *standby.View) { v.Machines["i-1"].TasksKnown = false }, nil},
		{"the machine is not in the view", func(v *standby.View) { delete(v.Machines, "i-1") }, nil},
		{"the start was never sent", func(v *standby.View) {
			v.Machines["i-1"].Tasks["j-000001/0"] = standby.TaskState{Attempt: 5, Reserved: true}
		}, []string{"start j-000001/0", "start j-000001/1", "start j-000001/2"}},
		{"a task of a job that is over", func(v *standby.View) {
			v.Machines["i-1"].Tasks["j-000777/0"] = standby.TaskState{Attempt: 9}
		}, nil},
		{"a task that the job does not have", func(v *standby.View) {
			v.Machines["i-1"].Tasks["j-000001/9"] = standby.TaskState{Attempt: 9}
		}, nil},
		{"a name that is none", func(v *standby.View) {
			v.Machines["i-1"].Tasks["j-000001"] = standby.TaskState{Attempt: 9}
		}, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, _ := newTestLeader(t)
			withSecond(l)
			v := handedView()
			tc.edit(v)
			l.PreviousTerm = v
			l.usePreviousTerm()
			a, err := l.HandleHeartbeat(heartbeatOf("i-2", 1))
			if err != nil {
				t.Fatal(err)
			}
			if got := commandNames(a); !slices.Equal(got, tc.want) {
				t.Errorf("told %v, want %v", got, tc.want)
			}
		})
	}
}

// TestReturnsGoOn has a leader begin with a view in which a machine was being returned: it
// is returned again, unless another leader may have used it since. One that the term before
// had dropped after a complete handover is returned as well.
func TestReturnsGoOn(t *testing.T) {
	cases := []struct {
		name string
		edit func(v *standby.View)
		want []string
	}{
		{"being returned", func(v *standby.View) { v.Machines["i-1"].Terminating = true }, []string{"i-1"}},
		{"after a crash", func(v *standby.View) { v.Machines["i-1"].Terminating, v.Handover = true, nil }, []string{"i-1"}},
		{"another term led in between", func(v *standby.View) { v.Machines["i-1"].Terminating = true; v.FencingToken-- }, nil},
		{"not being returned", func(*standby.View) {}, nil},
		{"dropped", func(v *standby.View) { delete(v.Machines, "i-1") }, []string{"i-1"}},
		{"not known after a crash", func(v *standby.View) { delete(v.Machines, "i-1"); v.Handover = nil }, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, _ := newTestLeader(t)
			v := handedView()
			tc.edit(v)
			l.PreviousTerm = v
			l.usePreviousTerm()
			if !slices.Equal(l.terminationQueue, tc.want) {
				t.Errorf("to be returned: %v, want %v", l.terminationQueue, tc.want)
			}
		})
	}
}

// TestHandedOverLease has the machine that a handover told of stay silent: its task starts
// elsewhere only once the lease is over that the leader before may have renewed until this
// term began.
func TestHandedOverLease(t *testing.T) {
	l, term := newTestLeader(t)
	withSecond(l)
	l.PreviousTerm = handedView()
	l.usePreviousTerm()
	m := l.machines["i-1"]
	if over := l.leaseExpiry(m); over < l.startedAt+l.leaseDuration {
		t.Errorf("the lease is over %v after the term began, want %v at least", (over - l.startedAt).Duration(), l.leaseDuration.Duration())
	}
	l.superviseMachines(l.startedAt + l.leaseDuration)
	if l.jobs["j-000001"].attempts[0] == nil {
		t.Error("the task is given up within the lease")
	}
	term.lastConfirmed = l.leaseExpiry(m)
	l.superviseMachines(l.leaseExpiry(m) + 1)
	if l.jobs["j-000001"].attempts[0] != nil || m.reconciliation.knowledge == tasksHandedOver {
		t.Error("the task is kept after the lease")
	}
}

// TestHandedOverConfirmed has the machine report after a handover: what it does not show is
// lost, what it shows is kept, and what nobody told of is adopted.
func TestHandedOverConfirmed(t *testing.T) {
	running := func(task string) wire.TaskStatus {
		return wire.TaskStatus{TaskID: task, Attempt: 5, State: wire.TaskRunning}
	}
	cases := []struct {
		name  string
		tasks []wire.TaskStatus
		on    []int
	}{
		{"as told", []wire.TaskStatus{running("j-000001/0")}, []int{0}},
		{"its start was lost", nil, nil},
		{"another task", []wire.TaskStatus{running("j-000001/0"), running("j-000001/2")}, []int{0, 2}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, _ := newTestLeader(t)
			l.PreviousTerm = handedView()
			l.usePreviousTerm()
			m := l.machines["i-1"]
			if m.likelyIncarnation() != 4 {
				t.Errorf("it is asked in session %d", m.likelyIncarnation())
			}
			m.startBackoffUntil = l.startedAt + 100*micros.Second // no starts here
			if _, err := l.HandleHeartbeat(heartbeatOf("i-1", 3, tc.tasks...)); err != nil {
				t.Fatal(err)
			}
			var on []int
			for task := range l.jobs["j-000001"].attempts {
				on = append(on, task)
			}
			slices.Sort(on)
			if !slices.Equal(on, tc.on) || m.reconciliation.knowledge == tasksHandedOver || l.countUnknownMachines() > 0 {
				t.Errorf("on machines %v, want %v; unconfirmed %v", on, tc.on, m.reconciliation.knowledge == tasksHandedOver)
			}
		})
	}
}

// TestHandedOverGang has a gang wait until its machine has confirmed: the view does not tell
// whether its attempt runs, waits or ends, and a task completed under an attempt that runs
// would be one too many.
func TestHandedOverGang(t *testing.T) {
	l, _ := newTestLeader(t)
	m := withSecond(l)
	l.jobs["j-000001"].spec.Kind = wire.KindGang
	l.PreviousTerm = handedView()
	l.usePreviousTerm()
	a, err := l.HandleHeartbeat(heartbeatOf("i-2", 1))
	if err != nil || len(a.Commands) > 0 {
		t.Errorf("told %v (%v) before the gang's machine has confirmed", commandNames(a), err)
	}
	if l.jobs["j-000001"].gang.number != 5 {
		t.Errorf("the gang's attempt is %d, want 5", l.jobs["j-000001"].gang.number)
	}
	waiting := wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskWaitingForGang}
	l.machines["i-1"].startBackoffUntil = l.startedAt + 100*micros.Second
	if _, err := l.HandleHeartbeat(heartbeatOf("i-1", 3, waiting)); err != nil {
		t.Fatal(err)
	}
	l.plannedAt, m.startBackoffUntil = 0, 0
	if a, err = l.HandleHeartbeat(heartbeatOf("i-2", 2)); err != nil || len(a.Commands) != 2 || a.Commands[0].Attempt != 5 {
		t.Errorf("told %v (%v), want the other two under attempt 5", a.Commands, err)
	}
}

// TestMustWait asks which old jobs wait for a machine whose tasks are not known. With the
// standby, those need not that may not be on a machine of its kind.
func TestMustWait(t *testing.T) {
	cases := []struct {
		name        string
		edit        func(j *job)
		cold, warm  bool // it waits
		allResolved bool
	}{
		{"any machine will do", func(*job) {}, true, true, false},
		{"it is new", func(j *job) { j.mayHaveEarlierTasks = false }, false, false, false},
		{"no machine is unknown", func(*job) {}, false, false, true},
		{"it may be there", func(j *job) { j.spec.Zone, j.spec.InstanceTypes = "a", []string{"m4", "m8"} }, true, true, false},
		{"only in another zone", func(j *job) { j.spec.Zone = "b" }, true, false, false},
		{"only on another type", func(j *job) { j.spec.InstanceTypes = []string{"m8"} }, true, false, false},
		{"only on ordinary machines", func(j *job) { j.spec.AllowSpot = false }, true, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, _ := newTestLeader(t)
			m := l.machines["i-1"]
			m.offering.Spot = true
			m.reconciliation.knowledge = taskKnowledge(tc.allResolved)
			j := l.jobs["j-000001"]
			tc.edit(j)
			if got := l.mustAwaitReconciliation(j, l.unknownMachinesNow()); got != tc.cold {
				t.Errorf("without the standby it waits: %v", got)
			}
			l.Followers = &fakeFollowers{}
			if got := l.mustAwaitReconciliation(j, l.unknownMachinesNow()); got != tc.warm {
				t.Errorf("with the standby it waits: %v", got)
			}
		})
	}
}

// fakeFollowers notes what is published.
type fakeFollowers struct {
	mu       sync.Mutex
	entries  []standby.Entry
	follower string
	applies  bool
}

func (f *fakeFollowers) Publish(e standby.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, e)
}

func (f *fakeFollowers) Position() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return uint64(len(f.entries))
}

func (f *fakeFollowers) FurthestFollower(micros.Micros) standby.FollowerState {
	return standby.FollowerState{Member: f.follower}
}

func (f *fakeFollowers) HasApplied(string, uint64) bool { return f.applies }

// TestPublished has tasks start, run, stop and end: a follower's view shows at each step what
// the leader counts on the machine, before the answer leaves.
func TestPublished(t *testing.T) {
	l, _ := newTestLeader(t)
	p := standby.NewPublisher(testToken, 1000)
	l.Followers = p
	steps := []struct {
		name   string
		report *wire.Heartbeat
	}{
		{"the first", heartbeat(11, testToken, wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskRunning})},
		{"starts lost", heartbeat(12, testToken, wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskRunning})},
		{"one is done", heartbeat(13, testToken, wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskExited, ExitReason: wire.ExitDone},
			wire.TaskStatus{TaskID: "j-000001/1", Attempt: testToken<<32 | 3, State: wire.TaskRunning})},
		{"nothing is left", heartbeat(14, testToken)},
	}
	for _, s := range steps {
		l.plannedAt = 0
		if _, err := l.HandleHeartbeat(s.report); err != nil {
			t.Fatal(err)
		}
		f := standby.NewFollower("host-1")
		for !f.Progress().Complete || f.Progress().Position < p.Position() {
			if err := f.ApplyPage(p.HandleQuery(f.NextQuery(testToken)), micros.Now()); err != nil {
				t.Fatal(err)
			}
		}
		known := f.TakeView().Machines["i-1"]
		if !known.TasksKnown || known.Incarnation != 1 || len(known.Tasks) != len(l.machines["i-1"].attempts) {
			t.Errorf("%s: the view has %+v, the leader %d tasks", s.name, known, len(l.machines["i-1"].attempts))
		}
		for name, a := range l.machines["i-1"].attempts {
			if known.Tasks[name].Attempt != a.number {
				t.Errorf("%s: %s: attempt %d, want %d", s.name, name, known.Tasks[name].Attempt, a.number)
			}
		}
	}
}

// TestPublishedReserved has a gang get its places: they are published as reserved, and as
// started with the answer that carries the starts. A place that was still published as
// reserved then would be taken for a start that was never sent.
func TestPublishedReserved(t *testing.T) {
	l, _ := newTestLeader(t)
	p := standby.NewPublisher(testToken, 1000)
	l.Followers = p
	l.jobs["j-000001"].spec.Kind = wire.KindGang
	m := l.machines["i-1"]
	m.reconciliation.knowledge = tasksConfirmed
	view := func() map[string]standby.TaskState {
		f := standby.NewFollower("host-1")
		if err := f.ApplyPage(p.HandleQuery(f.NextQuery(testToken)), micros.Now()); err != nil {
			t.Fatal(err)
		}
		return f.TakeView().Machines["i-1"].Tasks
	}
	l.plan(micros.Now())
	l.planStarts(m, l.jobs["j-000001"], 3, micros.Now())
	for task, state := range view() {
		if !state.Reserved {
			t.Errorf("%s is published as started before any answer", task)
		}
	}
	answer, err := l.HandleHeartbeat(heartbeat(11, testToken))
	if err != nil || len(answer.Commands) != 3 {
		t.Fatalf("told %v (%v)", commandNames(answer), err)
	}
	for task, state := range view() {
		if state.Reserved {
			t.Errorf("%s is published as reserved after its start was sent", task)
		}
	}
}

// TestHandOver has a leader hand over: from then on it answers nothing, and its last entry
// says whether all machines were known. It ends within its limit, heard or not.
func TestHandOver(t *testing.T) {
	cases := []struct {
		name     string
		resolved bool
		follower string
		applies  bool
	}{
		{"heard", true, "host-1", true},
		{"not heard in time", true, "host-1", false},
		{"nobody follows", true, "", false},
		{"a machine's tasks are not known", false, "host-1", true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, _ := newTestLeader(t)
			f := &fakeFollowers{follower: tc.follower, applies: tc.applies}
			l.Followers = f
			l.machines["i-1"].reconciliation.knowledge = taskKnowledge(tc.resolved)
			const limit = 300 * micros.Millisecond
			begun := time.Now()
			to, err := l.HandOver(limit)
			if err != nil || to != tc.follower {
				t.Errorf("handed over to %q (%v)", to, err)
			}
			if took := time.Since(begun); took > 2*limit.Duration() {
				t.Errorf("it took %v", took)
			}
			select {
			case <-l.termLost:
			default:
				t.Error("the term goes on")
			}
			last := f.entries[len(f.entries)-1].Handover
			if last == nil || last.To != tc.follower || last.Complete != tc.resolved {
				t.Errorf("the last entry is %+v", last)
			}
			if _, err := l.HandleHeartbeat(heartbeat(12, testToken)); !errors.Is(err, ErrCannotRespond) {
				t.Errorf("a report is answered after the handover: %v", err)
			}
			if len(f.entries) > 0 && f.entries[len(f.entries)-1].Handover == nil {
				t.Error("something was decided after the handover")
			}
			if _, err := l.HandOver(limit); !errors.Is(err, ErrNotReady) {
				t.Errorf("handed over twice: %v", err)
			}
		})
	}
}

// TestAskOrder has a new leader order the machines that it asks.
func TestAskOrder(t *testing.T) {
	for _, urgent := range []bool{false, true} {
		l, _ := newTestLeader(t)
		ms := []*machine{{id: "unknown"}, {id: "idle"}, {id: "busy"}, {id: "busiest"}}
		tasks := func(names ...string) *standby.Machine {
			m := &standby.Machine{Tasks: map[string]standby.TaskState{}}
			for _, name := range names {
				m.Tasks[name] = standby.TaskState{}
			}
			return m
		}
		ms[1].reconciliation.previousTerm, ms[2].reconciliation.previousTerm, ms[3].reconciliation.previousTerm = tasks(), tasks("a"), tasks("a", "b")
		want := []string{"busiest", "busy", "unknown", "idle"}
		if urgent {
			spec := &wire.Job{ID: "j-000002", Tasks: 1, Priority: wire.PriorityUrgent}
			l.jobs["j-000002"] = newJob(replica.Job{Spec: spec}, true)
			want = []string{"unknown", "idle", "busiest", "busy"}
		}
		l.sortByQueryPriority(ms)
		var got []string
		for _, m := range ms {
			got = append(got, m.id)
		}
		if !slices.Equal(got, want) {
			t.Errorf("urgent work waits: %v: asked %v, want %v", urgent, got, want)
		}
	}
}

// TestHandedOverCancelled has a handover tell of a task whose job was cancelled, and which the
// term before had not told to stop: the next report is answered with the stop.
func TestHandedOverCancelled(t *testing.T) {
	l, _ := newTestLeader(t)
	spec := &wire.Job{ID: "j-000009", Team: "blue", Kind: wire.KindArray, Priority: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1, EstimatedRuntimeS: 10, AllowSpot: true}
	l.Replica.ApplyPut(replica.JobPrefix+spec.ID, replica.Job{State: wire.JobCancelled, Spec: spec}, 2)
	l.PreviousTerm = handedView()
	l.PreviousTerm.Machines["i-1"].Tasks["j-000009/0"] = standby.TaskState{Attempt: 9}
	l.usePreviousTerm()
	r := heartbeat(1, testToken, wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskRunning}, wire.TaskStatus{TaskID: "j-000009/0", Attempt: 9, State: wire.TaskRunning})
	r.Incarnation = 4
	a, err := l.HandleHeartbeat(r)
	if err != nil || !slices.Contains(commandNames(a), "stop j-000009/0") {
		t.Errorf("told %v (%v), want a stop of j-000009/0", commandNames(a), err)
	}
}
