package leader

import (
	"slices"
	"testing"

	"caperlatch/internal/leader/fleet"
	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/replica"
	"caperlatch/internal/standby"
	"caperlatch/internal/wire"
)

// handedOverView is a view of the term before, whose leader has handed over: machine i-1 has the task
// j-000001/0.
func handedOverView() *standby.View {
	v := standby.NewView(testToken - 1)
	v.Machines["i-1"] = &standby.Machine{
		MachineState: standby.MachineState{Incarnation: 4, TasksKnown: true},
		Tasks:        map[string]standby.TaskState{"j-000001/0": {Attempt: 5}},
	}
	v.Handover = &standby.Handover{To: "host-1", Complete: true}
	return v
}

// addSecondMachine adds a machine that this term knows to be empty and that may get tasks.
func addSecondMachine(l *Leader) *state.Machine {
	intent := l.fleet.AddIntent("r-2", fleet.LaunchIntent{Type: "m4", Zone: "a", Answered: true, Machines: []string{"i-2"}})
	m := l.fleet.Add("i-2", intent, l.startedAt)
	m.Instance.Running, m.Instance.IntentStored, m.Instance.ListStored = true, true, true
	return m
}

// heartbeatOf makes a heartbeat of a machine in this term.
func heartbeatOf(machine string, sequence uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	h := heartbeat(sequence, testToken, tasks...)
	h.MachineID = machine
	return h
}

// TestRestoreFromPreviousTerm has a leader start with the view of the term before. Only a complete handover by the
// very term before, of which all was applied, lets an old job go on while a machine has sent no heartbeat; and then
// only with the tasks that the machine cannot have.
func TestRestoreFromPreviousTerm(t *testing.T) {
	cases := []struct {
		name string
		edit func(v *standby.View)
		want []string // commands to the second machine before the first sends a heartbeat
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
		{"an ID that is none", func(v *standby.View) {
			v.Machines["i-1"].Tasks["j-000001"] = standby.TaskState{Attempt: 9}
		}, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, _ := newTestLeader(t)
			addSecondMachine(l)
			v := handedOverView()
			tc.edit(v)
			l.PreviousTerm = v
			l.restoreFromPreviousTerm()
			a, err := l.HandleHeartbeat(heartbeatOf("i-2", 1))
			if err != nil {
				t.Fatal(err)
			}
			if got := commandNames(a); !slices.Equal(got, tc.want) {
				t.Errorf("commands %v, want %v", got, tc.want)
			}
		})
	}
}

// TestTerminationsGoOn has a leader start with a view in which a machine was being terminated: it is terminated again,
// unless another leader may have used it since. One that the term before had dropped before a complete handover is
// terminated as well.
func TestTerminationsGoOn(t *testing.T) {
	cases := []struct {
		name string
		edit func(v *standby.View)
		want []string
	}{
		{"being terminated", func(v *standby.View) { v.Machines["i-1"].Terminating = true }, []string{"i-1"}},
		{"after a crash", func(v *standby.View) { v.Machines["i-1"].Terminating, v.Handover = true, nil }, []string{"i-1"}},
		{"another term led in between", func(v *standby.View) { v.Machines["i-1"].Terminating = true; v.FencingToken-- }, nil},
		{"not being terminated", func(*standby.View) {}, nil},
		{"dropped", func(v *standby.View) { delete(v.Machines, "i-1") }, []string{"i-1"}},
		{"not known after a crash", func(v *standby.View) { delete(v.Machines, "i-1"); v.Handover = nil }, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, _ := newTestLeader(t)
			v := handedOverView()
			tc.edit(v)
			l.PreviousTerm = v
			l.restoreFromPreviousTerm()
			if !slices.Equal(l.fleet.TerminationQueue(), tc.want) {
				t.Errorf("to be terminated: %v, want %v", l.fleet.TerminationQueue(), tc.want)
			}
		})
	}
}

// TestHandedOverLease has the machine of a handover stay silent: its task starts elsewhere only once the lease has
// expired that the leader before may have renewed until this term started.
func TestHandedOverLease(t *testing.T) {
	l, term := newTestLeader(t)
	addSecondMachine(l)
	l.PreviousTerm = handedOverView()
	l.restoreFromPreviousTerm()
	m := l.fleet.Machines["i-1"]
	if expiry := l.liveness.LeaseExpiry(m); expiry < l.startedAt+l.leaseDuration {
		t.Errorf("the lease expires %v after the term started, want %v at least", (expiry - l.startedAt).Duration(), l.leaseDuration.Duration())
	}
	l.superviseMachines(l.startedAt + l.leaseDuration)
	if l.jobs["j-000001"].Attempts[0] == nil {
		t.Error("the task is released within the lease")
	}
	term.lastConfirmed = l.liveness.LeaseExpiry(m)
	l.superviseMachines(l.liveness.LeaseExpiry(m) + 1)
	if l.jobs["j-000001"].Attempts[0] != nil || m.Reconciliation.Knowledge == state.TasksHandedOver {
		t.Error("the task is kept after the lease")
	}
}

// TestHandedOverConfirmed has the machine send a heartbeat after a handover: what it does not show is lost, what it
// shows is kept, and what the handover did not name is adopted.
func TestHandedOverConfirmed(t *testing.T) {
	running := func(task string) wire.TaskStatus {
		return wire.TaskStatus{TaskID: task, Attempt: 5, State: wire.TaskRunning}
	}
	cases := []struct {
		name  string
		tasks []wire.TaskStatus
		on    []int
	}{
		{"as handed over", []wire.TaskStatus{running("j-000001/0")}, []int{0}},
		{"its start was lost", nil, nil},
		{"another task", []wire.TaskStatus{running("j-000001/0"), running("j-000001/2")}, []int{0, 2}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, _ := newTestLeader(t)
			l.PreviousTerm = handedOverView()
			l.restoreFromPreviousTerm()
			m := l.fleet.Machines["i-1"]
			if m.LikelyIncarnation() != 4 {
				t.Errorf("it is queried in incarnation %d", m.LikelyIncarnation())
			}
			m.StartBackoffUntil = l.startedAt + 100*micros.Second // no starts here
			if _, err := l.HandleHeartbeat(heartbeatOf("i-1", 3, tc.tasks...)); err != nil {
				t.Fatal(err)
			}
			var on []int
			for task := range l.jobs["j-000001"].Attempts {
				on = append(on, task)
			}
			slices.Sort(on)
			if !slices.Equal(on, tc.on) || m.Reconciliation.Knowledge == state.TasksHandedOver || l.fleet.CountWithUnknownTasks() > 0 {
				t.Errorf("on machines %v, want %v; unconfirmed %v", on, tc.on, m.Reconciliation.Knowledge == state.TasksHandedOver)
			}
		})
	}
}

// TestHandedOverGang has a gang wait until its machine has confirmed: the view does not show whether its attempt runs,
// waits or ends, and a task that is added to an attempt that runs would be one too many.
func TestHandedOverGang(t *testing.T) {
	l, _ := newTestLeader(t)
	m := addSecondMachine(l)
	l.jobs["j-000001"].Spec.Kind = wire.KindGang
	l.PreviousTerm = handedOverView()
	l.restoreFromPreviousTerm()
	response, err := l.HandleHeartbeat(heartbeatOf("i-2", 1))
	if err != nil || len(response.Commands) > 0 {
		t.Errorf("commands %v (%v) before the gang's machine has confirmed", commandNames(response), err)
	}
	if l.jobs["j-000001"].Gang.Number != 5 {
		t.Errorf("the gang's attempt is %d, want 5", l.jobs["j-000001"].Gang.Number)
	}
	waiting := wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskWaitingForGang}
	l.fleet.Machines["i-1"].StartBackoffUntil = l.startedAt + 100*micros.Second
	if _, err := l.HandleHeartbeat(heartbeatOf("i-1", 3, waiting)); err != nil {
		t.Fatal(err)
	}
	l.scheduler.PlannedAt, m.StartBackoffUntil = 0, 0
	if response, err = l.HandleHeartbeat(heartbeatOf("i-2", 2)); err != nil || len(response.Commands) != 2 || response.Commands[0].Attempt != 5 {
		t.Errorf("commands %v (%v), want the other two under attempt 5", response.Commands, err)
	}
}

// TestMustAwaitReconciliation checks which old jobs wait for a machine whose tasks are not known. With the standby,
// those need not that may not be on a machine of its offering.
func TestMustAwaitReconciliation(t *testing.T) {
	cases := []struct {
		name       string
		edit       func(j *state.Job)
		cold, warm bool // it waits, without and with the standby
		allKnown   bool
	}{
		{"any machine will do", func(*state.Job) {}, true, true, false},
		{"it is new", func(j *state.Job) { j.MayHaveEarlierTasks = false }, false, false, false},
		{"no machine is unknown", func(*state.Job) {}, false, false, true},
		{"it may be there", func(j *state.Job) { j.Spec.Zone, j.Spec.InstanceTypes = "a", []string{"m4", "m8"} }, true, true, false},
		{"only in another zone", func(j *state.Job) { j.Spec.Zone = "b" }, true, false, false},
		{"only on another type", func(j *state.Job) { j.Spec.InstanceTypes = []string{"m8"} }, true, false, false},
		{"only on on-demand machines", func(j *state.Job) { j.Spec.AllowSpot = false }, true, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, _ := newTestLeader(t)
			m := l.fleet.Machines["i-1"]
			m.Offering.Spot = true
			m.Reconciliation.Knowledge = taskKnowledge(tc.allKnown)
			j := l.jobs["j-000001"]
			tc.edit(j)
			if got := l.mustAwaitReconciliation(j, l.findMachinesWithUnknownTasks()); got != tc.cold {
				t.Errorf("without the standby it waits: %v", got)
			}
			l.Followers = &fakeFollowers{}
			if got := l.mustAwaitReconciliation(j, l.findMachinesWithUnknownTasks()); got != tc.warm {
				t.Errorf("with the standby it waits: %v", got)
			}
		})
	}
}

// TestQueryPriority has a new leader sort the machines that it queries.
func TestQueryPriority(t *testing.T) {
	for _, urgent := range []bool{false, true} {
		l, _ := newTestLeader(t)
		ms := []*state.Machine{{ID: "unknown"}, {ID: "idle"}, {ID: "busy"}, {ID: "busiest"}}
		tasks := func(names ...string) *standby.Machine {
			m := &standby.Machine{Tasks: map[string]standby.TaskState{}}
			for _, name := range names {
				m.Tasks[name] = standby.TaskState{}
			}
			return m
		}
		ms[1].Reconciliation.PreviousTerm, ms[2].Reconciliation.PreviousTerm, ms[3].Reconciliation.PreviousTerm = tasks(), tasks("a"), tasks("a", "b")
		want := []string{"busiest", "busy", "unknown", "idle"}
		if urgent {
			spec := &wire.Job{ID: "j-000002", Tasks: 1, Priority: wire.PriorityUrgent}
			l.jobs["j-000002"] = state.NewJob(replica.Job{Spec: spec}, true)
			want = []string{"unknown", "idle", "busiest", "busy"}
		}
		l.sortByQueryPriority(ms)
		var got []string
		for _, m := range ms {
			got = append(got, m.ID)
		}
		if !slices.Equal(got, want) {
			t.Errorf("urgent work waits: %v: queried %v, want %v", urgent, got, want)
		}
	}
}

// TestHandedOverCancelled has a handover name a task whose job was cancelled, and whose stop the term before had not
// sent: the response to the next heartbeat carries the stop.
func TestHandedOverCancelled(t *testing.T) {
	l, _ := newTestLeader(t)
	spec := &wire.Job{ID: "j-000009", Team: "blue", Kind: wire.KindArray, Priority: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1, EstimatedRuntimeS: 10, AllowSpot: true}
	l.Replica.ApplyPut(replica.JobPrefix+spec.ID, replica.Job{State: wire.JobCancelled, Spec: spec}, 2)
	l.PreviousTerm = handedOverView()
	l.PreviousTerm.Machines["i-1"].Tasks["j-000009/0"] = standby.TaskState{Attempt: 9}
	l.restoreFromPreviousTerm()
	r := heartbeat(1, testToken, wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskRunning}, wire.TaskStatus{TaskID: "j-000009/0", Attempt: 9, State: wire.TaskRunning})
	r.Incarnation = 4
	a, err := l.HandleHeartbeat(r)
	if err != nil || !slices.Contains(commandNames(a), "stop j-000009/0") {
		t.Errorf("commands %v (%v), want a stop of j-000009/0", commandNames(a), err)
	}
}
