package leader

import (
	"slices"
	"strings"
	"testing"

	"caperlatch/internal/leader/state"
	"caperlatch/internal/micros"
	"caperlatch/internal/wire"
)

// TestGangHeartbeatsCross has heartbeats with a gang's tasks cross each other and the commands to them.
func TestGangHeartbeatsCross(t *testing.T) {
	type step struct {
		before  func(l *Leader) // the heartbeat
		machine string
		tasks   gangStatuses
		want    []string
	}
	// The task on the second machine leaves it, and a fourth machine is there.
	moved := []step{
		{func(l *Leader) { evictGangTask(l, "i-2"); addSchedulable(l, "i-4", "a") }, "i-2", gangStatuses{here.waiting()}, []string{"stop"}},
		{nil, "i-2", gangStatuses{here.exited(wire.ExitStopped)}, []string{"clear"}},
	}
	replaced := append(slices.Clone(moved), step{nil, "i-4", nil, []string{"start"}})
	cases := []struct {
		name        string
		launch      string // state that its tasks have at first, empty if none has started in this term
		earlierTerm bool   // an earlier leader may have started them
		steps       []step
	}{
		{"a task that was replaced is listed again as stopped", wire.TaskWaitingForGang, false, append(slices.Clone(replaced),
			step{nil, "i-4", gangStatuses{here.running()}, nil},
			step{nil, "i-1", gangStatuses{here.running()}, nil},
			step{nil, "i-2", gangStatuses{gangTask(1).exited(wire.ExitStopped)}, []string{"clear"}},
			step{nil, "i-1", gangStatuses{here.running()}, nil})},
		{"the others run, so the one whose start was not sent is too late", wire.TaskWaitingForGang, false, append(slices.Clone(moved),
			step{nil, "i-1", gangStatuses{here.running()}, []string{"stop"}},
			step{nil, "i-4", nil, nil})},
		{"one is evicted while they wait, and another shows that they run", wire.TaskWaitingForGang, false, []step{
			{func(l *Leader) { evictGangTask(l, "i-2") }, "i-1", gangStatuses{here.running()}, []string{"stop"}},
			{nil, "i-3", gangStatuses{here.running()}, []string{"stop"}},
			{nil, "i-2", gangStatuses{here.checkpointing()}, []string{"stop"}}}},
		{"one of a lower attempt is stopped, which does not stop the others", "", true, []step{
			{nil, "i-1", gangStatuses{gangTask(0).running().ofAttempt(6)}, nil},
			{nil, "i-3", gangStatuses{gangTask(2).waiting().ofAttempt(5)}, []string{"stop"}},
			{nil, "i-2", gangStatuses{gangTask(1).running().ofAttempt(6)}, nil}}},
		{"others run, and no heartbeat has shown the last start yet", "", false, []step{
			{func(l *Leader) { addSchedulable(l, "i-4", "a") }, "i-1", nil, []string{"start"}},
			{nil, "i-2", nil, []string{"start"}},
			{nil, "i-3", nil, []string{"start"}},
			{nil, "i-1", gangStatuses{here.running()}, nil},
			{nil, "i-3", gangStatuses{here.running()}, nil}}},
		{"a start is carried out when the others have given up waiting", wire.TaskWaitingForGang, false, append(slices.Clone(replaced),
			step{nil, "i-1", gangStatuses{here.exited(wire.ExitGangTimeout)}, []string{"clear"}},
			step{nil, "i-3", gangStatuses{here.exited(wire.ExitGangTimeout)}, []string{"clear"}},
			step{nil, "i-4", gangStatuses{here.waiting()}, []string{"stop"}},
			step{nil, "i-1", nil, nil},
			step{nil, "i-3", nil, nil},
			step{nil, "i-4", gangStatuses{here.exited(wire.ExitStopped)}, []string{"clear", "start"}})},
		{"one has lost its gang before any was seen running", wire.TaskWaitingForGang, false, []step{
			{nil, "i-3", gangStatuses{here.exited(wire.ExitGangTaskLost)}, []string{"clear"}},
			{nil, "i-1", gangStatuses{here.waiting()}, []string{"stop"}}}},
		{"a task that runs without the others exits", wire.TaskRunning, false, []step{
			{func(l *Leader) { l.fleet.Remove(l.fleet.Machines["i-2"]) }, "i-1", gangStatuses{here.running()}, []string{"stop"}},
			{nil, "i-3", gangStatuses{here.exited(wire.ExitGangTaskLost)}, []string{"clear"}},
			{nil, "i-1", gangStatuses{here.running()}, []string{"stop"}},
			{nil, "i-3", nil, nil}}},
		// A new leader gets heartbeats first of what has ended, then of what is left.
		{"one had lost its gang, then another shows to run", "", true, []step{
			{nil, "i-2", gangStatuses{gangTask(1).exited(wire.ExitGangTaskLost).ofAttempt(5)}, []string{"clear"}},
			{nil, "i-1", gangStatuses{gangTask(0).running().ofAttempt(5)}, []string{"stop"}}}},
		{"one had given up waiting, then another shows to wait", "", true, []step{
			{nil, "i-2", gangStatuses{gangTask(1).exited(wire.ExitGangTimeout).ofAttempt(5)}, []string{"clear"}},
			{nil, "i-1", gangStatuses{gangTask(0).waiting().ofAttempt(5)}, []string{"stop"}}}},
		{"one task is nowhere, which is known once the tasks of all machines are", "", true, []step{
			{nil, "i-1", gangStatuses{gangTask(0).running().ofAttempt(5)}, nil},
			{nil, "i-2", gangStatuses{gangTask(1).running().ofAttempt(5)}, nil},
			{func(l *Leader) { l.gangs.Check(micros.Now()) }, "i-1", gangStatuses{gangTask(0).running().ofAttempt(5)}, nil},
			{nil, "i-3", nil, nil},
			{func(l *Leader) { l.gangs.Check(micros.Now()) }, "i-1", gangStatuses{gangTask(0).running().ofAttempt(5)}, []string{"stop"}}}},
		{"one had lost the gang of an earlier attempt", "", true, []step{
			{nil, "i-2", gangStatuses{gangTask(1).exited(wire.ExitGangTaskLost).ofAttempt(5)}, []string{"clear"}},
			{nil, "i-1", gangStatuses{gangTask(0).running().ofAttempt(6)}, nil},
			{nil, "i-3", gangStatuses{gangTask(2).running().ofAttempt(5)}, []string{"stop"}},
			{nil, "i-1", gangStatuses{gangTask(0).running().ofAttempt(6)}, nil}}},
	}
	for _, c := range cases {
		l := newGangTest(t, c.earlierTerm)
		if c.launch != "" {
			launchGang(t, l, c.launch)
		}
		for i, s := range c.steps {
			if s.before != nil {
				s.before(l)
			}
			if got := commandVerbs(gangHeartbeat(t, l, s.machine, s.tasks...)); !slices.Equal(got, append([]string{}, s.want...)) {
				t.Errorf("%s: step %d: commands %v, want %v", c.name, i, got, s.want)
				break
			}
		}
	}
}

// TestUnknownTaskStates has heartbeats use words that the protocol does not have. Each is logged once, and the task
// counts as being on its machine, or as exited.
func TestUnknownTaskStates(t *testing.T) {
	cases := []struct {
		name  string
		tasks gangStatuses
		lines int
		there bool
	}{
		{"known state", gangStatuses{here.waiting()}, 0, true},
		{"unknown state", gangStatuses{here.inState(unknownTaskState)}, 1, true},
		{"unknown exit reason", gangStatuses{here.exited(unknownExitReason)}, 1, false},
		{"exit reason of gangs", gangStatuses{here.exited(wire.ExitGangTaskLost)}, 0, false},
		{"unknown state with an unknown exit reason", gangStatuses{{index: here, state: unknownTaskState, exitReason: unknownExitReason}}, 1, true},
	}
	for _, c := range cases {
		l := newGangTest(t, false)
		launchGang(t, l, wire.TaskPullingImage)
		a := gangAttemptOn(l, "i-2")
		l.fleet.Machines["i-2"].StartBackoffUntil = micros.Now() + 100*micros.Second
		for range 3 {
			gangHeartbeat(t, l, "i-2", c.tasks...)
		}
		lines := 0
		for what, count := range l.events.Counts() {
			if strings.Contains(what, "unknown") {
				lines += count
			}
		}
		if there := l.fleet.Machines["i-2"].Attempts[state.TaskID(gangID, a.Index)] == a; lines != c.lines || there != c.there {
			t.Errorf("%s: %d lines, its task counts as being there: %t", c.name, lines, there)
		}
	}
}

// TestGangLateHeartbeatCopy has a task of a gang be refused, cleared and started again on the same machine, under the
// same number: while a gang waits, an attempt does not tell its starts apart. A late copy of the refusal, made in
// this term, must not count for the second start: the leader would take the task for gone and start it on another
// machine as well. What guards is the order of heartbeats within an incarnation.
func TestGangLateHeartbeatCopy(t *testing.T) {
	l := newGangTest(t, false)
	for _, machine := range []string{"i-1", "i-2", "i-3"} {
		gangHeartbeat(t, l, machine)
	}
	j, m, a := l.jobs[gangID], l.fleet.Machines["i-2"], gangAttemptOn(l, "i-2")
	number := j.Gang.Number
	refusal := &wire.Heartbeat{MachineID: m.ID, Address: m.Instance.Address, InstanceType: "m4", Zone: "a", Incarnation: 1, Sequence: m.Heartbeat.Sequence + 1, FencingToken: testToken,
		Tasks: []wire.TaskStatus{{TaskID: a.TaskID(), Attempt: number, State: wire.TaskExited, ExitReason: wire.ExitStopped}}}
	l.scheduler.PlannedAt = 0
	if response, err := l.HandleHeartbeat(refusal); err != nil || !slices.Contains(commandNames(response), "start "+a.TaskID()) {
		t.Fatalf("commands %v (%v), want the start again", response.Commands, err)
	}
	next := *refusal
	next.Sequence, next.Tasks = refusal.Sequence+1, []wire.TaskStatus{{TaskID: a.TaskID(), Attempt: number, State: wire.TaskWaitingForGang}}
	if _, err := l.HandleHeartbeat(&next); err != nil || j.Gang.Number != number {
		t.Fatalf("attempt %d (%v), want %d", j.Gang.Number, err, number)
	}
	if _, err := l.HandleHeartbeat(refusal); err == nil {
		t.Error("a late copy got a response")
	}
	addSchedulable(l, "i-4", "a")
	if commands := gangHeartbeat(t, l, "i-4"); len(commands) > 0 {
		t.Errorf("another machine has commands %v", commands)
	}
	if counted := j.Attempts[a.Index]; counted == nil || counted.Machine != m {
		t.Errorf("the task is not counted on %s any more", m.ID)
	}
}
