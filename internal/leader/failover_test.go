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

// handedOverIncarnation is the incarnation of machine i-1 in handedOverView.
const handedOverIncarnation = 4

// handedOverView returns a view of the previous term, whose leader has handed over. In it, machine i-1 has the task
// j-000001/0.
func handedOverView() *standby.View {
	v := standby.NewView(testToken - 1)
	v.Machines["i-1"] = &standby.Machine{
		MachineState: standby.MachineState{Incarnation: handedOverIncarnation, TasksKnown: true},
		Tasks:        map[string]standby.TaskState{"j-000001/0": {Attempt: 5}},
	}
	v.Handover = &standby.Handover{To: "host-1", Complete: true}
	return v
}

// addSecondMachine adds machine i-2, which is known to have no tasks and is schedulable.
func addSecondMachine(l *Leader) *state.Machine {
	intent := l.fleet.AddIntent("r-2", fleet.LaunchIntent{Type: "m4", Zone: "a", Answered: true, Machines: []string{"i-2"}})
	m := l.fleet.Add("i-2", intent, l.startedAt)
	m.Instance.Running, m.Instance.IntentStored, m.Instance.ListStored = true, true, true
	return m
}

// heartbeatOf returns a heartbeat that a machine sends in this term.
func heartbeatOf(machine string, sequence uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	h := heartbeat(sequence, testToken, tasks...)
	h.MachineID = machine
	return h
}

// heartbeatAfterHandover returns a heartbeat that machine i-1 sends in this term, in the incarnation of handedOverView.
func heartbeatAfterHandover(sequence uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	h := heartbeatOf("i-1", sequence, tasks...)
	h.Incarnation = handedOverIncarnation
	return h
}

// TestRestoreFromPreviousTerm checks which tasks of a job from an earlier term a new leader starts on machine i-2 while
// machine i-1, which may also have tasks of the job, has sent no heartbeat. The leader may start tasks only if the
// immediately preceding term ended with a complete handover, and if the handover's view shows which tasks i-1 has. It
// must not start the tasks that the view shows on i-1.
func TestRestoreFromPreviousTerm(t *testing.T) {
	cases := []struct {
		name string
		edit func(v *standby.View)
		want []string // commands for the second machine before the first has sent a heartbeat
	}{
		{"complete handover", func(*standby.View) {}, []string{"start j-000001/1", "start j-000001/2"}},
		{"incomplete handover", func(v *standby.View) { v.Handover.Complete = false }, nil},
		{"no handover because the leader crashed", func(v *standby.View) { v.Handover = nil }, nil},
		{"another term in between", func(v *standby.View) { v.FencingToken-- }, nil},
		{"the machine's tasks are unknown in the view", func(v *standby.View) { v.Machines["i-1"].TasksKnown = false }, nil},
		{"the machine is not in the view", func(v *standby.View) { delete(v.Machines, "i-1") }, nil},
		{"the start was never sent", func(v *standby.View) {
			v.Machines["i-1"].Tasks["j-000001/0"] = standby.TaskState{Attempt: 5, Reserved: true}
		}, []string{"start j-000001/0", "start j-000001/1", "start j-000001/2"}},
		{"a task of an ended job whose description is not stored", func(v *standby.View) {
			v.Machines["i-1"].Tasks["j-000777/0"] = standby.TaskState{Attempt: 9}
		}, nil},
		{"a task index that the job does not have", func(v *standby.View) {
			v.Machines["i-1"].Tasks["j-000001/9"] = standby.TaskState{Attempt: 9}
		}, nil},
		{"an invalid task ID", func(v *standby.View) {
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
			response, err := l.HandleHeartbeat(heartbeatOf("i-2", 1))
			if err != nil {
				t.Fatal(err)
			}
			if got := commandNames(response); !slices.Equal(got, tc.want) {
				t.Errorf("commands %v, want %v", got, tc.want)
			}
		})
	}
}

// TestRepeatTerminations checks that a new leader repeats the terminations that its view of an earlier term contains,
// unless there was another term in between, whose leader may have used the machines. The new leader also terminates a
// stored machine that the view of a complete handover lacks.
func TestRepeatTerminations(t *testing.T) {
	cases := []struct {
		name string
		edit func(v *standby.View)
		want []string
	}{
		{"terminating", func(v *standby.View) { v.Machines["i-1"].Terminating = true }, []string{"i-1"}},
		{"terminating, and no handover", func(v *standby.View) { v.Machines["i-1"].Terminating, v.Handover = true, nil }, []string{"i-1"}},
		{"another term in between", func(v *standby.View) { v.Machines["i-1"].Terminating = true; v.FencingToken-- }, nil},
		{"not terminating", func(*standby.View) {}, nil},
		{"not in the view of a complete handover", func(v *standby.View) { delete(v.Machines, "i-1") }, []string{"i-1"}},
		{"not in the view, and no handover", func(v *standby.View) { delete(v.Machines, "i-1"); v.Handover = nil }, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, _ := newTestLeader(t)
			v := handedOverView()
			tc.edit(v)
			l.PreviousTerm = v
			l.restoreFromPreviousTerm()
			if !slices.Equal(l.fleet.TerminationQueue(), tc.want) {
				t.Errorf("termination queue: %v, want %v", l.fleet.TerminationQueue(), tc.want)
			}
		})
	}
}

// TestHandedOverMachineLease checks that the task of a handed-over machine that stays silent is released only once the
// machine's lease has expired. The previous leader may have renewed that lease until this term started.
func TestHandedOverMachineLease(t *testing.T) {
	l, term := newTestLeader(t)
	addSecondMachine(l)
	l.PreviousTerm = handedOverView()
	l.restoreFromPreviousTerm()
	m := l.fleet.Machines["i-1"]
	if expiry := l.liveness.LeaseExpiry(m); expiry < l.startedAt+l.leaseDuration {
		t.Errorf("the lease expires %v after the start of the term, want at least %v", (expiry - l.startedAt).Duration(), l.leaseDuration.Duration())
	}
	l.superviseMachines(l.startedAt + l.leaseDuration)
	if l.jobs["j-000001"].Attempts[0] == nil {
		t.Error("the task was released before the lease expired")
	}
	term.lastConfirmed = l.liveness.LeaseExpiry(m)
	l.superviseMachines(l.liveness.LeaseExpiry(m) + 1)
	if l.jobs["j-000001"].Attempts[0] != nil || m.Reconciliation.Knowledge == state.TasksHandedOver {
		t.Errorf("after the lease expired: task released: %t, want true; the machine still counts as handed over: %t, want false",
			l.jobs["j-000001"].Attempts[0] == nil, m.Reconciliation.Knowledge == state.TasksHandedOver)
	}
}

// TestReconcileHandedOverMachine checks the first heartbeat of a machine after a handover: tasks that the heartbeat
// lists are kept, tasks that it does not list are released, and tasks that the handover did not name are adopted.
func TestReconcileHandedOverMachine(t *testing.T) {
	running := func(task string) wire.TaskStatus {
		return wire.TaskStatus{TaskID: task, Attempt: 5, State: wire.TaskRunning}
	}
	cases := []struct {
		name  string
		tasks []wire.TaskStatus
		want  []int // indexes of the tasks that are on machines afterwards
	}{
		{"the task of the handover", []wire.TaskStatus{running("j-000001/0")}, []int{0}},
		{"no task, because its start was lost", nil, nil},
		{"a task that the handover does not name", []wire.TaskStatus{running("j-000001/0"), running("j-000001/2")}, []int{0, 2}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, _ := newTestLeader(t)
			l.PreviousTerm = handedOverView()
			l.restoreFromPreviousTerm()
			m := l.fleet.Machines["i-1"]
			if m.LikelyIncarnation() != handedOverIncarnation {
				t.Errorf("likely incarnation %d, want %d", m.LikelyIncarnation(), handedOverIncarnation)
			}
			m.StartBackoffUntil = l.startedAt + 100*micros.Second // no starts on this machine
			if _, err := l.HandleHeartbeat(heartbeatAfterHandover(3, tc.tasks...)); err != nil {
				t.Fatal(err)
			}
			var assigned []int
			for task := range l.jobs["j-000001"].Attempts {
				assigned = append(assigned, task)
			}
			slices.Sort(assigned)
			if !slices.Equal(assigned, tc.want) || m.Reconciliation.Knowledge == state.TasksHandedOver || l.fleet.CountWithUnknownTasks() > 0 {
				t.Errorf("tasks %v on machines, want %v; the machine still counts as handed over: %v, want false; %d machines with unknown tasks, want 0",
					assigned, tc.want, m.Reconciliation.Knowledge == state.TasksHandedOver, l.fleet.CountWithUnknownTasks())
			}
		})
	}
}

// TestHandedOverGangAwaitsConfirmation checks that no task of a gang starts after a handover until the gang's machine
// has confirmed its tasks. The view does not show whether the gang's attempt is waiting, running or ending, and no task
// may be added to an attempt that runs.
func TestHandedOverGangAwaitsConfirmation(t *testing.T) {
	l, _ := newTestLeader(t)
	m := addSecondMachine(l)
	l.jobs["j-000001"].Spec.Kind = wire.KindGang
	l.PreviousTerm = handedOverView()
	l.restoreFromPreviousTerm()
	response, err := l.HandleHeartbeat(heartbeatOf("i-2", 1))
	if err != nil || len(response.Commands) > 0 {
		t.Errorf("commands %v (error %v) before the gang's machine has confirmed its tasks, want none", commandNames(response), err)
	}
	if l.jobs["j-000001"].Gang.Number != 5 {
		t.Errorf("attempt number of the gang: %d, want 5", l.jobs["j-000001"].Gang.Number)
	}
	waiting := wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskWaitingForGang}
	l.fleet.Machines["i-1"].StartBackoffUntil = l.startedAt + 100*micros.Second
	if _, err := l.HandleHeartbeat(heartbeatAfterHandover(3, waiting)); err != nil {
		t.Fatal(err)
	}
	l.scheduler.PlannedAt, m.StartBackoffUntil = 0, 0
	if response, err = l.HandleHeartbeat(heartbeatOf("i-2", 2)); err != nil || len(response.Commands) != 2 || response.Commands[0].Attempt != 5 {
		t.Errorf("commands %v (error %v), want the starts of the other two tasks with attempt number 5", response.Commands, err)
	}
}

// TestMustAwaitReconciliation checks which jobs of earlier terms wait for a machine whose tasks are not known. With the
// standby on, a job that does not allow the machine's offering need not wait.
func TestMustAwaitReconciliation(t *testing.T) {
	cases := []struct {
		name                        string
		edit                        func(j *state.Job)
		withoutStandby, withStandby bool // whether the job waits while the standby is off, and while it is on
		allKnown                    bool // the machine's tasks are known
	}{
		{"the job allows any machine", func(*state.Job) {}, true, true, false},
		{"the job is new", func(j *state.Job) { j.MayHaveEarlierTasks = false }, false, false, false},
		{"the tasks of all machines are known", func(*state.Job) {}, false, false, true},
		{"the job allows the machine's zone and type", func(j *state.Job) { j.Spec.Zone, j.Spec.InstanceTypes = "a", []string{"m4", "m8"} }, true, true, false},
		{"the job allows only another zone", func(j *state.Job) { j.Spec.Zone = "b" }, true, false, false},
		{"the job allows only another instance type", func(j *state.Job) { j.Spec.InstanceTypes = []string{"m8"} }, true, false, false},
		{"the job allows only on-demand machines", func(j *state.Job) { j.Spec.AllowSpot = false }, true, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, _ := newTestLeader(t)
			m := l.fleet.Machines["i-1"]
			m.Offering.Spot = true
			m.Reconciliation.Knowledge = taskKnowledge(tc.allKnown)
			j := l.jobs["j-000001"]
			tc.edit(j)
			if got := l.mustAwaitReconciliation(j, l.findMachinesWithUnknownTasks()); got != tc.withoutStandby {
				t.Errorf("without the standby, the job must wait for reconciliation: %v, want %v", got, tc.withoutStandby)
			}
			l.Followers = &fakeFollowers{}
			if got := l.mustAwaitReconciliation(j, l.findMachinesWithUnknownTasks()); got != tc.withStandby {
				t.Errorf("with the standby, the job must wait for reconciliation: %v, want %v", got, tc.withStandby)
			}
		})
	}
}

// TestQueryPriority checks the order in which a new leader queries machines for their tasks, with and without waiting
// urgent work.
func TestQueryPriority(t *testing.T) {
	for _, urgent := range []bool{false, true} {
		l, _ := newTestLeader(t)
		machines := []*state.Machine{{ID: "unknown"}, {ID: "idle"}, {ID: "busy"}, {ID: "busiest"}}
		tasks := func(names ...string) *standby.Machine {
			m := &standby.Machine{Tasks: map[string]standby.TaskState{}}
			for _, name := range names {
				m.Tasks[name] = standby.TaskState{}
			}
			return m
		}
		machines[1].Reconciliation.PreviousTerm, machines[2].Reconciliation.PreviousTerm, machines[3].Reconciliation.PreviousTerm = tasks(), tasks("a"), tasks("a", "b")
		want := []string{"busiest", "busy", "unknown", "idle"}
		if urgent {
			spec := &wire.Job{ID: "j-000002", Tasks: 1, Priority: wire.PriorityUrgent}
			l.jobs["j-000002"] = state.NewJob(replica.Job{Spec: spec}, true)
			want = []string{"unknown", "idle", "busiest", "busy"}
		}
		l.sortByQueryPriority(machines)
		var got []string
		for _, m := range machines {
			got = append(got, m.ID)
		}
		if !slices.Equal(got, want) {
			t.Errorf("urgent work waits: %v: query order %v, want %v", urgent, got, want)
		}
	}
}

// TestHandedOverTaskOfCancelledJob checks that, if a handover names a task of a cancelled job, the response to the
// machine's next heartbeat stops the task. The previous leader may not have sent the stop.
func TestHandedOverTaskOfCancelledJob(t *testing.T) {
	l, _ := newTestLeader(t)
	spec := &wire.Job{ID: "j-000009", Team: "blue", Kind: wire.KindArray, Priority: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1, EstimatedRuntimeS: 10, AllowSpot: true}
	l.Replica.ApplyPut(replica.JobPrefix+spec.ID, replica.Job{State: wire.JobCancelled, Spec: spec}, 2)
	l.PreviousTerm = handedOverView()
	l.PreviousTerm.Machines["i-1"].Tasks["j-000009/0"] = standby.TaskState{Attempt: 9}
	l.restoreFromPreviousTerm()
	h := heartbeat(1, testToken, wire.TaskStatus{TaskID: "j-000001/0", Attempt: 5, State: wire.TaskRunning}, wire.TaskStatus{TaskID: "j-000009/0", Attempt: 9, State: wire.TaskRunning})
	h.Incarnation = 4
	response, err := l.HandleHeartbeat(h)
	if err != nil || !slices.Contains(commandNames(response), "stop j-000009/0") {
		t.Errorf("commands %v (error %v), want a stop of j-000009/0", commandNames(response), err)
	}
}

// TestStaleIncarnationsAfterHandover guards against a task that is started a second time because late copies of heartbeats
// from earlier incarnations reach a new leader, which knows the tasks of the machine's present incarnation from a handover
// and has had no heartbeat of the machine. Only an incarnation after that of the handover proves that the tasks are gone.
func TestStaleIncarnationsAfterHandover(t *testing.T) {
	for _, c := range []struct {
		name         string
		incarnations []uint64 // of the heartbeats that arrive; that of the handover is handedOverIncarnation
		released     bool
	}{
		{"of two earlier incarnations", []uint64{1, 2}, false},
		{"of an earlier and of the present incarnation", []uint64{3, 4}, false},
		{"of the present incarnation", []uint64{4}, false},
		{"of the present and of an earlier incarnation", []uint64{4, 3, 4}, false},
		{"of a later incarnation", []uint64{5}, true},
		{"of an earlier and of a later incarnation", []uint64{3, 5}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, _ := newTestLeader(t)
			l.PreviousTerm = handedOverView()
			l.restoreFromPreviousTerm()
			for i, incarnation := range c.incarnations {
				stale := heartbeat(uint64(10+i), testToken-1)
				stale.Incarnation = incarnation
				_, _ = l.HandleHeartbeat(stale) // whether it gets a response does not matter
			}
			if _, assigned := l.fleet.Machines["i-1"].Attempts["j-000001/0"]; assigned == c.released {
				t.Errorf("the task is assigned to the machine: %t, want %t", assigned, !c.released)
			}
		})
	}
}
